//! Finds the service of a request, and limits what each service may use.
//!
//! Pure: no sockets, no clock, no randomness. The caller passes times as seconds of its own clock.
//!
//! | module | content |
//! | --- | --- |
//! | [`target`] | validates the target of a request |
//! | [`table`] | the route table: the service for host, path, method, class and listener |
//! | [`specificity`] | which of several matching routes wins |
//! | [`limits`] | admission control over all services, with budgets and rate limits |
//! | [`budget`] | divides one limited resource among its consumers |
//! | [`rate`] | token bucket |
//! | [`shared_servers`] | state of servers that several pools list |
//! | [`keep_alive`] | adaptive keep-alive of idle connections to servers |

pub mod budget;
pub mod keep_alive;
pub mod limits;
pub mod rate;
pub mod shared_servers;
pub mod specificity;
pub mod table;
pub mod target;

/// A point in time or a duration, in seconds.
pub type Time = f64;
