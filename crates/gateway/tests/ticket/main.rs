//! Tests of forwarded requests. A model checker explores every order of loss, delay, duplication, reordering, restart,
//! expiry and time-out for up to two requests. It runs the code of the package; only the network and the servers are
//! modelled. Further tests check the components alone.

mod exploration;
mod message;
mod model;
mod origin;
mod properties;
mod store;
mod world;

use reelfall_gateway::ticket::{OriginId, Ticket};
use reelfall_gateway::Millis;

/// The time at which the origin gives up a request.
const DEADLINE: Millis = 100;

/// The time between two status queries.
const QUERY_INTERVAL: Millis = 10;

/// The time for which the peer keeps the record of a request that has ended.
const RETENTION: Millis = 1000;

/// The first incarnation of the peer.
const FIRST_INCARNATION: u64 = 1;

/// The incarnation of the origin.
const ORIGIN_INCARNATION: u64 = 7;

/// The ticket of a request of [`ORIGIN_INCARNATION`].
fn ticket(number: u64) -> Ticket {
    ticket_of(ORIGIN_INCARNATION, number)
}

/// The ticket of a request of any incarnation of the origin.
fn ticket_of(incarnation: u64, number: u64) -> Ticket {
    Ticket {
        origin: OriginId {
            node: 1,
            incarnation,
        },
        number,
    }
}
