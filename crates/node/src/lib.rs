//! The node program: its configuration, its command line, and the connections to clients and servers.
//!
//! [`reelfall_balancer`] chooses servers, retries requests and sheds load, [`reelfall_routing`] chooses a service; this
//! crate performs their decisions on the network and enforces the limits of the process.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`cli`] | the command line |
//! | `operate` | the client of a node's management address |
//! | `platform` | a node that is configured by its platform: one pool behind one listener |
//! | `standalone` | a node that is configured by a settings file |
//! | `process` | what `platform` and `standalone` have in common |
//! | `fleet` | membership in a fleet, and its effects on the pools |
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
