//! What an operator asks of a staged rollout.

use crate::resource::ALL_NODES_THOUSANDTHS;
use crate::Time;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Most stages of one rollout.
pub const MAX_STAGES: usize = 16;
/// A node in good order is heard again within [`crate::subscriber::ACKNOWLEDGEMENT_REFRESH_INTERVAL`] and its way up; a report counts for
/// longer than so many seconds.
pub const MIN_REPORT_AGE: Time = 60.0;
/// Longest soak time and greatest age of a report, in seconds: thirty days.
pub const MAX_DURATION: Time = 30.0 * 86_400.0;

/// What is done once refusals pass the threshold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnRejections {
    /// The trial ends: all nodes return to the earlier content.
    RollBack,
    /// The trial stays at its stage until an operator releases or reverts it.
    Halt,
}

/// The rules of one rollout. Shares are thousandths.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutPolicy {
    /// The part of the nodes in each stage, rising; the last stage holds all of them.
    pub stages: Vec<u16>,
    /// How long a stage lasts at least, in seconds.
    pub soak_time: Time,
    /// How long the nodes of a stage get to decide, in seconds; no longer than the soak time. Refusals are told at once and
    /// acceptances with the next standing, so until then whoever has not decided counts as accepting.
    pub decision_time: Time,
    /// The greatest share of refusals: among all known nodes of the stage during its `decision_time`, among the nodes that
    /// decided afterwards; of no fewer than `min_decisions`.
    pub max_rejected_share: u16,
    /// The greatest number of nodes that refuse, whatever their share. The author does not know which nodes ask for a
    /// resource: those that do not count as accepting, so a resource of few nodes needs this bound.
    pub max_rejected: u32,
    /// So many nodes have to have decided before a stage ends.
    pub min_decisions: u32,
    /// The least share of nodes that accepted among all known nodes of the stage, before a stage ends.
    pub min_accepted_share: u16,
    /// An acceptance counts for the end of a stage if its node was heard within so many seconds.
    pub max_report_age: Time,
    /// What is done once refusals pass the threshold.
    pub on_rejections: OnRejections,
}

/// Why a policy can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidPolicy {
    /// The stages are not 1 to [`MAX_STAGES`] rising parts, of which the last holds all nodes.
    #[error("1 to {MAX_STAGES} rising stages of thousandths, the last of {ALL_NODES_THOUSANDTHS}")]
    Stages,
    /// A removal can't be on trial: a trial that is removed is over.
    #[error("a removal can't be rolled out by stages")]
    Removal,
    /// A share is greater than the whole.
    #[error("a share has {ALL_NODES_THOUSANDTHS} thousandths at most")]
    Share,
    /// No decision at all would be enough.
    #[error("at least one node has to decide")]
    Decisions,
    /// The soak time is negative or too long.
    #[error("the soak time is not between 0 and {MAX_DURATION} s")]
    Soak,
    /// The time to decide is negative or longer than the soak time.
    #[error("the time to decide is not between 0 and the soak time")]
    DecisionTime,
    /// A node in good order would count as unheard between two reports.
    #[error("the age of reports is not between {MIN_REPORT_AGE} and {MAX_DURATION} s")]
    ReportAge,
}

impl RolloutPolicy {
    /// Whether all parts keep to their bounds.
    ///
    /// # Errors
    /// Says which part does not.
    pub fn check(&self) -> Result<(), InvalidPolicy> {
        let rising = self.stages.windows(2).all(|pair| pair[0] < pair[1]);
        let starts_above_zero = self.stages.first().is_some_and(|first| *first > 0);
        let ends_whole = self.stages.last() == Some(&ALL_NODES_THOUSANDTHS);
        if !rising || !starts_above_zero || !ends_whole || self.stages.len() > MAX_STAGES {
            return Err(InvalidPolicy::Stages);
        }
        if self.max_rejected_share > ALL_NODES_THOUSANDTHS
            || self.min_accepted_share > ALL_NODES_THOUSANDTHS
        {
            return Err(InvalidPolicy::Share);
        }
        if self.min_decisions == 0 {
            return Err(InvalidPolicy::Decisions);
        }
        if !(0.0..=MAX_DURATION).contains(&self.soak_time) {
            return Err(InvalidPolicy::Soak);
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

    /// The number of the stage with this part of the nodes.
    pub fn stage_of(&self, thousandths: u16) -> Option<usize> {
        self.stages.iter().position(|stage| *stage == thousandths)
    }
}
