//! The decisions of a load-balancing node and the rules around them.
//!
//! Nothing here does I/O or reads the time: events, moments and seeds come in as arguments, actions go out
//! as values. [`Balancer`] decides; [`engine::Engine`] holds the requests in hand and lets no action break one
//! of the four rules; [`settings`] reads what the platform passes to a node.

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
