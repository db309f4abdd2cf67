//! Staged rollouts: a canary reaches a growing fraction of the nodes, and is rolled back once too many of them reject
//! it.
//!
//! | module | contents |
//! | --- | --- |
//! | [`policy`] | the policy: stages, soak time, thresholds |
//! | [`record`] | the stored record, from which another publisher continues |
//! | [`stage`] | what the nodes of a stage reported, and the verdict on it |
//!
//! Driven by `publisher::rollouts`.

pub mod policy;
pub mod record;
pub mod stage;
