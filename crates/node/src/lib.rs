//! One node on sockets: what it is told at its start, its command line, and the network on both sides.
//!
//! The choice of servers, retries and refusals is [`reelfall_balancer`]'s, the choice of a service
//! [`reelfall_routing`]'s; what is here translates, carries out and enforces.
#![cfg_attr(
    not(test),
    warn(
        clippy::unwrap_used,
        clippy::expect_used,
        clippy::indexing_slicing,
        clippy::panic
    )
)]

pub mod cli;
mod fleet;
mod lease;
mod net;
mod operate;
mod platform;
mod report;
mod standalone;
