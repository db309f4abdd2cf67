#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decide;
pub mod interface;
#[doc(hidden)]
pub mod settings;
#[doc(hidden)]
pub mod wire;

pub use decide::{Automaton, Balancer};
