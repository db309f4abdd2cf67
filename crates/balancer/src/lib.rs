//! The decisions of a load-balancing node and the rules around them.
//!
//! The crate does no I/O and reads no clock: events, times and seeds are arguments, and actions are return values.
//! [`Balancer`] makes the decisions; [`engine::Engine`] holds the open requests and lets no action break the rules;
//! [`settings`] reads the settings that the platform passes to a node.

mod decide;
pub mod engine;
mod floored;
mod index;
pub mod interface;
mod list_sums;
mod random;
pub mod settings;
mod sums;

pub use decide::{Automaton, Balancer};
