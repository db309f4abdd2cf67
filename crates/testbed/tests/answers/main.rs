//! Answers that servers write slowly, on the real program: a long one is passed on whole, and one that can't be finished ends
//! so that its client can tell.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `nodes`, `clients`, `servers` | what the tests start |
//! | `pauses` | long answers whose servers pause while they write them |
//! | `unfinished` | answers that stop, break or come too late |
//! | `endings` | nodes that end, drain, are upgraded or get another list meanwhile |

mod clients;
mod endings;
mod nodes;
mod pauses;
mod servers;
mod unfinished;
