//! One node on sockets: its configuration, its command line, and the network on both sides.
//!
//! [`reelfall_balancer`] chooses servers, retries requests and sheds load, [`reelfall_routing`] chooses a service; this
//! crate translates, executes and enforces.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`cli`] | the command line |
//! | `operate` | the client of the management address |
//! | `platform` | a node that is configured by its platform: one pool behind one listener |
//! | `standalone` | a node that is configured by a settings file |
//! | `process` | the steps that both have in common |
//! | `fleet` | the fleet's socket and its effects on the pools |
//! | `lease` | leases over the fleet's socket |
//! | `net` | connections to clients and servers |
//! | `report` | text reports with a maximum length |
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
mod process;
mod report;
mod standalone;
