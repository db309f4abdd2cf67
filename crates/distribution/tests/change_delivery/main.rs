//! Delivery of changes: rejections and reverts, urgency, bursts, canaries, subscriptions, and changes of two authors.

mod author_conflicts;
mod canaries;
mod fixture;
mod limits;
mod ordering;
mod rejections;
mod subscriptions;
#[path = "../world/mod.rs"]
mod world;
