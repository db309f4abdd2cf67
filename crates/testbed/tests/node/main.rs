//! The real program over loopback sockets: one test for each failure that its socket code guards against.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `fixtures` | a node with one server |
//! | `requests` | tests: malformed, incomplete, pipelined and chunked requests |
//! | `responses` | tests: malformed, large and surplus responses |
//! | `connections` | tests: silent connections, and more clients than sockets |
//! | `discovery` | tests: changes of the configuration and of the endpoint list |
//! | `shutdown` | tests: requests and connections during a graceful shutdown |

mod connections;
mod discovery;
mod fixtures;
mod requests;
mod responses;
mod shutdown;
