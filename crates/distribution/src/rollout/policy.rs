//! The policy of a staged rollout, as an operator requests it.

use crate::resource::ALL_NODES_THOUSANDTHS;
use crate::Time;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of stages of a rollout.
pub const MAX_STAGES: usize = 16;
/// The age limit of reports has to exceed this many seconds: a node reports at least every
/// [`crate::subscriber::ACKNOWLEDGEMENT_REFRESH_INTERVAL`], and the report takes time to reach the publisher.
pub const MIN_REPORT_AGE: Time = 60.0;
/// Longest soak time and greatest age of a report, in seconds: thirty days.
pub const MAX_DURATION: Time = 30.0 * 86_400.0;

/// The reaction once rejections exceed a threshold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnRejections {
    /// The canary ends: all nodes return to the stable content.
    RollBack,
    /// The canary stays at its stage until an operator promotes or reverts it.
    Halt,
}

/// The policy of one rollout. Shares are in thousandths.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutPolicy {
    /// The fraction of the nodes in each stage, ascending; the last stage has all of them.
    pub stages: Vec<u16>,
    /// Shortest duration of a stage, in seconds.
    pub soak_time: Time,
    /// Seconds within which the nodes of a stage decide, no longer than the soak time. Rejections are reported at
    /// once and acceptances with the next acknowledgement, so until then a node that has not reported counts as
    /// accepting.
    pub decision_time: Time,
    /// Largest share of rejections: among all known nodes of the stage during `decision_time`, and afterwards among the
    /// nodes that decided, or among `min_decisions` nodes if fewer have decided.
    pub max_rejected_share: u16,
    /// Largest number of rejecting nodes, whatever their share. The publisher does not know which nodes subscribe to a
    /// resource; the others count as accepting, so a resource of few nodes needs this limit.
    pub max_rejected: u32,
    /// Number of nodes that have to decide before a stage ends.
    pub min_decisions: u32,
    /// Smallest share of accepting nodes among all known nodes of the stage, before it ends.
    pub min_accepted_share: u16,
    /// An acceptance counts towards the end of a stage if its node reported within this many seconds.
    pub max_report_age: Time,
    /// The reaction once rejections exceed a threshold.
    pub on_rejections: OnRejections,
}

/// Why a policy is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidPolicy {
    /// The stages are not 1 to [`MAX_STAGES`] ascending fractions, of which the last has all nodes.
    #[error("a policy must have 1 to {MAX_STAGES} ascending stages, the last of {ALL_NODES_THOUSANDTHS} thousandths")]
    Stages,
    /// A removal cannot be a canary: removing a canary ends it.
    #[error("a removal cannot be rolled out in stages")]
    Removal,
    /// A share exceeds the whole.
    #[error("a share exceeds {ALL_NODES_THOUSANDTHS} thousandths")]
    Share,
    /// The minimum number of decisions is 0, so a stage could end without any decision.
    #[error("the minimum number of decisions must be at least 1")]
    MinDecisions,
    /// The soak time is negative or too long.
    #[error("the soak time is not between 0 and {MAX_DURATION} s")]
    SoakTime,
    /// The decision time is negative or exceeds the soak time.
    #[error("the decision time is not between 0 and the soak time")]
    DecisionTime,
    /// The age limit of reports is too long, or so short that a healthy node would count as missing between two
    /// reports.
    #[error("the age limit of reports is not between {MIN_REPORT_AGE} and {MAX_DURATION} s")]
    ReportAge,
}

impl RolloutPolicy {
    /// Checks that all fields are within their limits.
    ///
    /// # Errors
    /// Says which field is not.
    pub fn check(&self) -> Result<(), InvalidPolicy> {
        let are_ascending = self.stages.windows(2).all(|pair| pair[0] < pair[1]);
        let starts_above_zero = self.stages.first().is_some_and(|first| *first > 0);
        let ends_with_all_nodes = self.stages.last() == Some(&ALL_NODES_THOUSANDTHS);
        if !are_ascending
            || !starts_above_zero
            || !ends_with_all_nodes
            || self.stages.len() > MAX_STAGES
        {
            return Err(InvalidPolicy::Stages);
        }
        if self.max_rejected_share > ALL_NODES_THOUSANDTHS
            || self.min_accepted_share > ALL_NODES_THOUSANDTHS
        {
            return Err(InvalidPolicy::Share);
        }
        if self.min_decisions == 0 {
            return Err(InvalidPolicy::MinDecisions);
        }
        if !(0.0..=MAX_DURATION).contains(&self.soak_time) {
            return Err(InvalidPolicy::SoakTime);
        }
        if !(0.0..=self.soak_time).contains(&self.decision_time) {
            return Err(InvalidPolicy::DecisionTime);
        }
        let report_age_fits =
            self.max_report_age > MIN_REPORT_AGE && self.max_report_age <= MAX_DURATION;
        report_age_fits
            .then_some(())
            .ok_or(InvalidPolicy::ReportAge)
    }

    /// The index of the stage with this fraction.
    pub fn stage_of(&self, thousandths: u16) -> Option<usize> {
        self.stages.iter().position(|stage| *stage == thousandths)
    }
}
