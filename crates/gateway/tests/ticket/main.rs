//! Forwarded requests. A model checker explores every order of loss, delay, duplication, reordering, restart, expiry and
//! time-out that up to two tickets can meet. What it explores is the code of the gateway: only the network and the servers
//! are models. Further tests check the parts by hand.

mod exploration;
mod message;
mod model;
mod origin;
mod properties;
mod store;
mod world;

use reelfall_gateway::ticket::{OriginId, Ticket};
use reelfall_gateway::Millis;

/// The time at which the origin stops to wait.
const DEADLINE: Millis = 100;

/// The time between two status queries.
const QUERY_INTERVAL: Millis = 10;

/// The time for which the peer retains the record of a request that has ended.
const RETENTION: Millis = 1000;

/// The first incarnation of the peer.
const FIRST_INCARNATION: u64 = 1;

/// The incarnation of the origin.
const ORIGIN_INCARNATION: u64 = 7;

/// The ticket of a request of the origin.
fn ticket(number: u64) -> Ticket {
    ticket_of(ORIGIN_INCARNATION, number)
}

/// The ticket of a request of an incarnation of the origin.
fn ticket_of(incarnation: u64, number: u64) -> Ticket {
    Ticket {
        origin: OriginId {
            node: 1,
            incarnation,
        },
        number,
    }
}
