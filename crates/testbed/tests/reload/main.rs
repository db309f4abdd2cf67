//! Reloads of the settings file: requests do not wait for them, and each takes effect atomically or not at all.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `fixtures` | servers, settings, a node and requests |
//! | `pending_read` | a read of the settings file that lasts until a test completes it |
//! | `client_loop` | a client that sends requests in sequence during a test |
//! | `availability` | tests: requests are served during a reload |
//! | `signals` | tests: reload signals during a read |
//! | `invalid_file` | tests: files that are rejected |
//! | `shutdown` | tests: a shutdown during a read |
//! | `consistency` | tests: unchanged services keep their connections, and changes are atomic |

mod availability;
mod client_loop;
mod consistency;
mod fixtures;
mod invalid_file;
mod pending_read;
#[path = "../../examples/reload/settings.rs"]
mod settings;
mod shutdown;
mod signals;
