//! Rare failures, each forced by a case of its own: expired leases, authors in succession, gaps in a coverage, and crashes
//! during an unsubscription.

mod author_succession;
mod coverage_gaps;
mod fixture;
mod lease_expiry;
mod unsubscription;
#[path = "../world/mod.rs"]
mod world;
