//! Which service a request belongs to, and what each service may hold.
//!
//! Pure: no sockets, no clock, no randomness. Moments come in as seconds on whatever clock the caller keeps.
//!
//! | module | decides |
//! | --- | --- |
//! | [`target`] | whether the target of a request can be read in one way only |
//! | [`table`] | the service for host, path, method, class and listener |
//! | [`budget`] | how many units of something limited each service may hold |
//! | [`rate`] | how many requests a second a service takes |
//! | [`limits`] | admission of one request, from the budgets and rates of all services |
//! | [`common`] | what pools that list the same server have to tell each other |

pub mod budget;
pub mod common;

pub mod keep_alive;
pub mod limits;
pub mod rate;
pub mod table;
pub mod target;

/// A moment or a span, in seconds.
pub type Time = f64;
