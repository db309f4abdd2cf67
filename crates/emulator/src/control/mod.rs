//! The control side of a large fleet in virtual time: cluster membership, and how configuration reaches every node. The
//! scale runs and the tests drive it.
//!
//! An endpoint is any code without I/O that is given frames and time ([`endpoint::Endpoint`]); a [`network::Network`]
//! delivers the frames over links with delay, loss, duplication, bandwidth and partitions, and accounts for every byte.
//! There is one clock and one seed, so that a run can be repeated exactly.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`topology`] | regions, zones and racks, and the site of each endpoint |
//! | [`links`] | properties of links |
//! | [`errors`] | why a world could not publish |
//! | [`endpoint`] | the interface of what runs at the ends of links |
//! | [`clock`] | clocks of machines |
//! | [`network`] | the event queue, frames between endpoints, partitions, crashes and pauses |
//! | [`account`] | what each endpoint sent, received and computed |
//! | [`times`] | percentiles of durations |
//! | [`membership`] | cluster members of [`reelfall_cluster`] as endpoints |
//! | [`layout`] | the roles of endpoints: publishers, relays and nodes |
//! | [`sizes`] | the sizes of a system |
//! | [`resources`] | the resources of a system |
//! | [`restored`] | machines outside of a network, for the memory that they take |
//! | [`machine`] | machines of [`reelfall_distribution`] as endpoints, with their disks |
//! | [`tenant_subscriptions`] | tenants that nodes subscribe to on demand |
//! | [`world`] | publishers, relays and nodes over a network; changes, and when nodes apply them |
//! | [`scenarios`] | scenarios of the distribution and their outcomes |
//! | [`report`] | the figures of scale runs, here and of the testbed, as they are written to and read from JSON |
//! | [`invariants`] | invariants, checked by what nodes do |
//! | [`baseline`] | what distribution without deltas costs, by formulas |
//! | [`full_snapshots`] | the same, emulated at small sizes |

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
