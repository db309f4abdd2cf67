//! The control side of a large fleet in virtual time: who is in the fleet, and how configuration reaches every node.
//!
//! Endpoints are any code without I/O that takes frames and time ([`endpoint::Endpoint`]); a [`network::Network`]
//! delivers what they send over links with delay, loss, duplication, bandwidth and partitions, and accounts for every
//! byte. One clock, one seed: the same run each time.
//!
//! | module | what belongs there |
//! | --- | --- |
//! | [`topology`] | regions, zones and racks, and which endpoint is in which |
//! | [`links`] | what links do to frames |
//! | [`endpoint`] | what runs at the ends of links |
//! | [`clock`] | machines' own clocks |
//! | [`network`] | the event queue, frames between endpoints, partitions, crashes and pauses |
//! | [`account`] | what each endpoint sent, received and computed |
//! | [`times`] | percentiles of times |
//! | [`membership`] | nodes of [`reelfall_cluster`] as endpoints |
//! | [`layout`] | authors, relays and nodes of a system: where they are, what they subscribe to |
//! | [`sizes`] | how large a system is |
//! | [`contents`] | which resources there are, and how long their bodies are |
//! | [`holdings`] | machines by themselves, for what they hold in memory |
//! | [`machine`] | machines of [`reelfall_distribution`] as endpoints, with their disks |
//! | [`demand`] | tenants that nodes ask for when they first meet them |
//! | [`world`] | authors, relays and nodes over a network; what is published and when it is in force |
//! | [`plays`] | what is played with them |
//! | [`report`] | the figures of scale runs, here and of the rig, as they are written to and read from JSON |
//! | [`check`] | promises, checked by what nodes do |
//! | [`baseline`] | what distribution without deltas costs: whole files and whole lists |
//! | [`whole_copies`] | the same, played at sizes that can be |

pub mod account;
pub mod baseline;
pub mod check;
pub mod clock;
pub mod contents;
pub mod demand;
pub mod endpoint;
pub mod holdings;
pub mod layout;
pub mod links;
pub mod machine;
pub mod membership;
pub mod network;
pub mod plays;
pub mod report;
pub mod sizes;
pub mod times;
pub mod topology;
pub mod whole_copies;
pub mod world;
