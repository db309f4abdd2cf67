//! Management requests, drains and upgrades of the real program, over loopback sockets.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `fixtures` | a node with two servers, and requests to it |
//! | `client_load` | concurrent clients that count lost requests |
//! | `management` | tests: management requests and the command line |
//! | `bans` | tests: manual bans of servers |
//! | `drain` | tests: draining and resuming a node |
//! | `upgrade` | tests: upgrades, in which a successor takes over connections |

mod bans;
mod client_load;
mod drain;
mod fixtures;
mod management;
mod upgrade;
