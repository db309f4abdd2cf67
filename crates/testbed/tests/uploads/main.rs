//! Requests with a body while servers stop in every way, on the real program: each gets one answer in time, and none that
//! may have run is refused.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `harness` | the nodes, servers and clients |
//! | `resets` | servers that stop after they have received a body |

mod harness;
mod resets;
