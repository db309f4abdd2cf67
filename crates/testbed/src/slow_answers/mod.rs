//! Servers that write answers slowly, by scripts, and clients that record when each part comes.
//!
//! Uses blocking sockets with one thread per connection. Used by the tests of answers and by the soak.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `script` | how a server writes an answer |
//! | `servers` | servers that write each answer by the script for its request |
//! | `upload` | bodies of requests, and how a server reads one |
//! | `client` | clients, and the answers as they received them |

mod client;
mod script;
mod servers;
mod upload;

pub use client::{Class, Connection, End, Reception, SentRequest, Version, MAX_LATENESS};
pub use script::{Ending, Framing, Progress, Script};
pub use servers::Servers;
pub use upload::{Reading, Upload, UploadFraming};
