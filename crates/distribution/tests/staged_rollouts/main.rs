//! Staged rollouts over two publishers, two relays and twelve nodes: stages, soak times, rejections, partitioned
//! regions, and publishers that crash or are succeeded.

mod advance;
mod fixture;
mod limits;
mod manual;
mod publisher_failover;
mod rejections;
mod stage_verdict;
#[path = "../world/mod.rs"]
mod world;
