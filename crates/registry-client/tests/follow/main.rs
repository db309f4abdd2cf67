//! Tests of a follower with a fake registry, in virtual time.

mod entries;
mod fake_registry;
mod fixture;
mod list;
mod random;
mod staleness;

/// The path that is followed.
const PATH: &str = "/flags/evaluate";
