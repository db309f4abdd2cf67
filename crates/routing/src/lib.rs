//! Routes requests to services, and limits the resources that each service may use.
//!
//! Nothing here does I/O, reads a clock or draws random numbers: the caller passes the time, in seconds of its own clock.
//!
//! | module | content |
//! | --- | --- |
//! | [`target`] | validates the target of a request |
//! | [`table`] | the route table: finds the route for a listener, host, path, method and class |
//! | [`specificity`] | precedence among several matching routes |
//! | [`limits`] | admission control over all services, with budgets and rate limits |
//! | [`budget`] | divides one limited resource among consumers |
//! | [`rate`] | token bucket |
//! | [`shared_servers`] | the combined state of servers that several pools list |
//! | [`keep_alive`] | adaptive timeout of idle connections to servers |

pub mod budget;
pub mod keep_alive;
pub mod limits;
pub mod rate;
pub mod shared_servers;
pub mod specificity;
pub mod table;
pub mod target;

/// A time on the caller's clock, or a duration, in seconds.
pub type Time = f64;
