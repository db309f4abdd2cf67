//! Staged rollouts over two authors, two relays and twelve nodes: stages, soak times, rejections, partitioned regions,
//! and authors that crash or are succeeded.

mod advance;
mod author_failover;
mod fixture;
mod limits;
mod manual;
mod rejections;
mod stage_verdict;
#[path = "../world/mod.rs"]
mod world;
