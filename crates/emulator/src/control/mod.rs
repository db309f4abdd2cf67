//! The control plane of a large fleet in virtual time: cluster membership, and distribution of configuration to nodes. The
//! scale runs and the tests use it.
//!
//! An endpoint is a state machine without I/O, which receives frames and the time ([`endpoint::Endpoint`]). A
//! [`network::Network`] delivers the frames over links with delay, loss, duplication, bandwidth limits and partitions, and
//! accounts for every byte. There is one clock and one seed, so that runs are reproducible.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`topology`] | regions, zones and racks, and the site of each endpoint |
//! | [`links`] | properties of links |
//! | [`errors`] | errors of publishing |
//! | [`endpoint`] | the interface of endpoints |
//! | [`clock`] | drifting clocks of machines |
//! | [`network`] | the event queue, frames between endpoints, partitions, crashes and pauses |
//! | [`account`] | traffic and processor time of each endpoint |
//! | [`times`] | percentiles of durations |
//! | [`membership`] | cluster members of [`reelfall_cluster`] as endpoints |
//! | [`layout`] | the roles of endpoints: publishers, relays and nodes |
//! | [`sizes`] | the sizes of a system |
//! | [`resources`] | the resources of a system |
//! | [`restored`] | machines outside of a network, by which memory is measured |
//! | [`machine`] | machines of [`reelfall_distribution`] as endpoints, with their disks |
//! | [`tenant_subscriptions`] | tenants that nodes subscribe to on demand |
//! | [`world`] | publishers, relays and nodes on a network; changes, and when nodes apply them |
//! | [`scenarios`] | scenarios of configuration distribution, and their outcomes |
//! | [`report`] | the JSON format of the results of scale runs |
//! | [`invariants`] | invariants of configuration distribution |
//! | [`baseline`] | the cost of distribution by full snapshots, by formulas |
//! | [`full_snapshots`] | distribution by full snapshots, emulated at small sizes |

pub mod account;
pub mod baseline;
pub mod clock;
pub mod endpoint;
pub mod errors;
pub mod full_snapshots;
pub mod invariants;
pub mod layout;
pub mod links;
pub mod machine;
pub mod membership;
pub mod network;
pub mod report;
pub mod resources;
pub mod restored;
pub mod scenarios;
pub mod sizes;
pub mod tenant_subscriptions;
pub mod times;
pub mod topology;
pub mod world;
