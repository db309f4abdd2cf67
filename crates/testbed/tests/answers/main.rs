//! Answers that servers write slowly, on the real program: a long one is passed on whole, and one that can't be finished ends
//! so that its client can tell.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `nodes` | the nodes of the tests |
//! | `pauses` | long answers whose servers pause while they write them |
//! | `unfinished` | answers that stop, break or come too late |
//! | `endings` | nodes that end, drain, are upgraded or get another list meanwhile |

mod endings;
mod nodes;
mod pauses;
mod unfinished;

use reelfall_testbed::slow_answers::{Class, Connection, Reception, SentRequest};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a client waits for the first bytes of its answer.
const TIME_LEFT: Duration = Duration::from_millis(600);

/// A request on a connection of its own, whose answer is awaited.
struct Request {
    connection: Connection,
    sent: SentRequest,
}

impl Request {
    fn start(node: SocketAddr, class: Class, id: &str, time_left: Duration) -> Request {
        let mut connection = Connection::open(node).unwrap();
        let sent = connection.send(class, id, time_left);
        Request { connection, sent }
    }

    fn receive(mut self) -> Reception {
        self.connection.receive(self.sent)
    }
}

/// Sends a request on a new connection and receives its answer.
fn send(node: SocketAddr, class: Class, id: &str) -> Reception {
    Request::start(node, class, id, TIME_LEFT).receive()
}
