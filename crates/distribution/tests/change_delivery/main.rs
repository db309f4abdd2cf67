//! Delivery of changes: rejections and reverts, urgency, bursts, canaries, subscriptions, and changes of two
//! publishers.

mod canaries;
mod fixture;
mod limits;
mod ordering;
mod publisher_conflicts;
mod rejections;
mod subscriptions;
#[path = "../world/mod.rs"]
mod world;
