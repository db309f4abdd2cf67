//! Rare failures, each forced by a case of its own: expired leases, publishers in succession, gaps in a coverage, and
//! crashes during an unsubscription.

mod coverage_gaps;
mod fixture;
mod lease_expiry;
mod publisher_succession;
mod unsubscription;
#[path = "../world/mod.rs"]
mod world;
