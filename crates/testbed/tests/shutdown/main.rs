//! Shutdowns of the real program: what it owes its clients until SIGKILL, and the registry until its end.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `fixtures` | a node with an entry of its own, its registries and its server |
//! | `late_clients` | clients that go on using their connections after SIGTERM |
//! | `last_moment` | tests: a process that is held up right before its end loses no request |
//! | `late_requests` | tests: requests that arrive late in a shutdown are answered |
//! | `own_entry` | tests: the node's entry does not outlive its process |
//! | `takeovers` | tests: SIGTERM to either process of an upgrade |

mod fixtures;
mod last_moment;
mod late_clients;
mod late_requests;
mod own_entry;
mod takeovers;
