//! Staged rollouts: a change goes to a growing part of the nodes, and is taken back once too many of them refuse it.
//!
//! | module | what belongs there |
//! | --- | --- |
//! | [`policy`] | what the operator asks for: stages, soak time, thresholds |
//! | [`record`] | what is stored of a rollout, so that another author goes on with it |
//! | [`stage`] | what the nodes of a stage have said, and what follows from it by the policy |
//!
//! The author's part is `author::rollouts`.

pub mod policy;
pub mod record;
pub mod stage;
