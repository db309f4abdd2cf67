//! What an operator asks of a staged rollout.

use crate::resource::WHOLE;
use crate::Time;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Most stages of one rollout.
pub const STAGES_MOST: usize = 16;
/// A node in good order is heard again within [`crate::subscriber::STANDING_AGAIN`] and its way up; a report counts for
/// longer than so many seconds.
pub const REPORT_AGE_LEAST: Time = 60.0;
/// Longest soak time and greatest age of a report, in seconds: thirty days.
pub const LONGEST: Time = 30.0 * 86_400.0;

/// What is done once refusals pass the threshold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnRefusals {
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
    pub soak: Time,
    /// How long the nodes of a stage get to decide, in seconds; no longer than the soak time. Refusals are told at once and
    /// acceptances with the next standing, so until then whoever has not decided counts as accepting.
    pub decision_time: Time,
    /// The greatest share of refusals: among all known nodes of the stage during its `decision_time`, among the nodes that
    /// decided afterwards; of no fewer than `min_decisions`.
    pub max_refused_share: u16,
    /// The greatest number of nodes that refuse, whatever their share. The author does not know which nodes ask for a
    /// resource: those that do not count as accepting, so a resource of few nodes needs this bound.
    pub max_refused: u32,
    /// So many nodes have to have decided before a stage ends.
    pub min_decisions: u32,
    /// The least share of nodes that accepted among all known nodes of the stage, before a stage ends.
    pub min_accepted_share: u16,
    /// An acceptance counts for the end of a stage if its node was heard within so many seconds.
    pub max_report_age: Time,
    /// What is done once refusals pass the threshold.
    pub on_refusals: OnRefusals,
}

/// Why a policy can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BadPolicy {
    /// The stages are not 1 to [`STAGES_MOST`] rising parts, of which the last holds all nodes.
    #[error("1 to {STAGES_MOST} rising stages of thousandths, the last of {WHOLE}")]
    Stages,
    /// A removal can't be on trial: a trial that is removed is over.
    #[error("a removal can't be rolled out by stages")]
    Removal,
    /// A share is greater than the whole.
    #[error("a share has {WHOLE} thousandths at most")]
    Share,
    /// No decision at all would be enough.
    #[error("at least one node has to decide")]
    Decisions,
    /// The soak time is negative or too long.
    #[error("the soak time is not between 0 and {LONGEST} s")]
    Soak,
    /// The time to decide is negative or longer than the soak time.
    #[error("the time to decide is not between 0 and the soak time")]
    DecisionTime,
    /// A node in good order would count as unheard between two reports.
    #[error("the age of reports is not between {REPORT_AGE_LEAST} and {LONGEST} s")]
    ReportAge,
}

impl RolloutPolicy {
    /// Whether all parts keep to their bounds.
    ///
    /// # Errors
    /// Says which part does not.
    pub fn check(&self) -> Result<(), BadPolicy> {
        let rising = self.stages.windows(2).all(|pair| pair[0] < pair[1]);
        let starts_above_zero = self.stages.first().is_some_and(|first| *first > 0);
        let ends_whole = self.stages.last() == Some(&WHOLE);
        if !rising || !starts_above_zero || !ends_whole || self.stages.len() > STAGES_MOST {
            return Err(BadPolicy::Stages);
        }
        if self.max_refused_share > WHOLE || self.min_accepted_share > WHOLE {
            return Err(BadPolicy::Share);
        }
        if self.min_decisions == 0 {
            return Err(BadPolicy::Decisions);
        }
        if !(0.0..=LONGEST).contains(&self.soak) {
            return Err(BadPolicy::Soak);
        }
        if !(0.0..=self.soak).contains(&self.decision_time) {
            return Err(BadPolicy::DecisionTime);
        }
        let report_age_fits =
            self.max_report_age > REPORT_AGE_LEAST && self.max_report_age <= LONGEST;
        report_age_fits.then_some(()).ok_or(BadPolicy::ReportAge)
    }

    /// The number of the stage with this part of the nodes.
    pub fn stage_of(&self, thousandths: u16) -> Option<usize> {
        self.stages.iter().position(|stage| *stage == thousandths)
    }
}
