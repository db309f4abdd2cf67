//! Staged rollouts of a publisher.
//!
//! | the log has | the rollout |
//! | --- | --- |
//! | the canary of the record | is at the stage of the canary's fraction |
//! | a later stable change with the same content | is completed |
//! | a later stable change with another content, or another canary | is superseded |
//! | no canary | was ended |
//!
//! So an operator ends a rollout by [`Publisher::promote_canary`] or [`Publisher::revert`] as with any canary, and a
//! publisher that takes over continues from its log. Counts and soak times start again there, since they are measured
//! on another clock.

mod advance;
mod start;
mod takeover;

use super::Publisher;
use crate::log::ChangeLog;
use crate::peer::PeerId;
use crate::resource::{Change, Content, Key, Name, Slot, Version};
use crate::rollout::policy::RolloutPolicy;
use crate::rollout::record::{
    RejectingNode, RolloutRecord, RolloutState, StopSummary, MAX_STORED_REJECTIONS,
};
use crate::rollout::stage::{self, AdvanceBlocker, RejectingNodes, StageCounts};
use crate::Time;
use std::collections::BTreeMap;

/// Maximum number of records of ended rollouts; beyond it the oldest are removed.
pub const MAX_ENDED_RECORDS: usize = 64;
/// Interval in seconds at which a stage is checked after its soak time: reports age without any event.
pub const STAGE_CHECK_INTERVAL: Time = 1.0;

/// A change that is to be rolled out by stages.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutDraft {
    /// The resource.
    pub name: Name,
    /// Its new content; a removal cannot be rolled out.
    pub content: Content,
    /// Seed of the order in which nodes are included, as in [`crate::resource::NodeFraction::seed`].
    pub seed: u64,
    /// When the rollout advances, and when it stops.
    pub policy: RolloutPolicy,
}

/// Status of a rollout, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStatus {
    /// The stored record.
    pub record: RolloutRecord,
    /// The current stage, in thousandths of the nodes; none once the rollout has ended.
    pub thousandths: Option<u16>,
    /// What the nodes of the stage reported to this publisher.
    pub counts: StageCounts,
    /// Why the stage does not advance yet; none if the rollout has ended or halted, or advances with the next poll.
    pub blocker: Option<AdvanceBlocker>,
    /// The nodes that rejected the change, as reported to this publisher.
    pub rejecting_nodes: Vec<RejectingNode>,
}

/// The stage that a rollout is at.
#[derive(Clone, Copy, Debug)]
struct CurrentStage {
    /// The version of its canary.
    version: Version,
    /// When it began, on this publisher's clock.
    began_at: Time,
}

/// A rollout of the active publisher.
#[derive(Debug)]
struct Rollout {
    record: RolloutRecord,
    /// The current stage, once it has been checked.
    stage: Option<CurrentStage>,
    counts: StageCounts,
    blocker: Option<AdvanceBlocker>,
    rejecting_nodes: RejectingNodes,
}

impl Rollout {
    fn new(record: RolloutRecord) -> Rollout {
        let (counts, rejecting_nodes) = (StageCounts::default(), RejectingNodes::default());
        Rollout {
            record,
            stage: None,
            counts,
            blocker: None,
            rejecting_nodes,
        }
    }

    /// When the verdict on the current stage can change without an event.
    fn next_check(&self, now: Time) -> Time {
        let (RolloutState::Running, Some(stage)) = (&self.record.state, self.stage) else {
            return f64::INFINITY;
        };
        let RolloutPolicy {
            decision_time,
            soak_time: soak,
            ..
        } = self.record.policy;
        let deadlines = [stage.began_at + decision_time, stage.began_at + soak];
        deadlines
            .into_iter()
            .find(|deadline| *deadline > now)
            .unwrap_or(now + STAGE_CHECK_INTERVAL)
    }

    fn stop_summary(&self, thousandths: u16) -> StopSummary {
        let StageCounts {
            accepted, rejected, ..
        } = self.counts;
        StopSummary {
            thousandths,
            accepted,
            rejected,
            rejecting_nodes: self.rejecting_nodes.first(MAX_STORED_REJECTIONS),
        }
    }
}

/// The rollouts of the active publisher.
#[derive(Debug)]
pub(super) struct Rollouts {
    by_name: BTreeMap<Name, Rollout>,
    next_check_at: Time,
    /// When the publisher began to publish.
    publishing_since: Time,
}

impl Default for Rollouts {
    fn default() -> Rollouts {
        Rollouts {
            by_name: BTreeMap::new(),
            next_check_at: f64::INFINITY,
            publishing_since: f64::INFINITY,
        }
    }
}

impl Rollouts {
    /// Schedules a check of the rollouts for the next poll.
    pub fn schedule_check(&mut self, now: Time) {
        if !self.by_name.is_empty() {
            self.next_check_at = self.next_check_at.min(now);
        }
    }

    /// When the rollouts have to be checked next.
    pub fn next_check_at(&self) -> Time {
        self.next_check_at
    }

    /// Records a rejection. Nodes outside of the stage reject the stable change under the canary's version; they are
    /// not counted.
    pub fn record_rejection(
        &mut self,
        now: Time,
        node: PeerId,
        key: &Key,
        version: Version,
        reason: &str,
        log: &ChangeLog,
    ) {
        let Some(rollout) = self.by_name.get_mut(&key.name) else {
            return;
        };
        let RolloutProgress::Stage { canary, .. } = progress_of(&rollout.record, log) else {
            return;
        };
        if rollout.record.state.is_open()
            && version > rollout.record.after
            && canary.fraction.contains(node)
        {
            rollout.rejecting_nodes.add(node, reason.to_owned());
            self.next_check_at = self.next_check_at.min(now);
        }
    }

    fn open_rollouts(&self) -> impl Iterator<Item = &Rollout> {
        self.by_name
            .values()
            .filter(|rollout| rollout.record.state.is_open())
    }

    fn earliest_check(&self, now: Time) -> Time {
        self.open_rollouts()
            .map(|rollout| rollout.next_check(now))
            .fold(f64::INFINITY, Time::min)
    }
}

/// Progress of a rollout, derived from the log.
enum RolloutProgress<'a> {
    Stage { canary: &'a Change, index: usize },
    Promoted,
    Superseded,
    NoCanary,
}

fn progress_of<'a>(record: &RolloutRecord, log: &'a ChangeLog) -> RolloutProgress<'a> {
    let get = |slot| {
        log.get(&Key {
            name: record.name.clone(),
            slot,
        })
    };
    let (stable, canary) = (get(Slot::Stable), get(Slot::Canary));
    let own_canary = record.own_canary(canary);
    let since = own_canary.map_or(record.after, |own_canary| own_canary.version);
    if let Some(stable) = stable.filter(|stable| stable.version > since) {
        return if record.is_content_of(stable) {
            RolloutProgress::Promoted
        } else {
            RolloutProgress::Superseded
        };
    }
    if let Some(canary) = own_canary {
        let index = record
            .policy
            .stage_of(canary.fraction.thousandths)
            .unwrap_or(0);
        return RolloutProgress::Stage { canary, index };
    }
    let has_other_canary = canary.is_some_and(|canary| !canary.is_removal());
    if has_other_canary {
        RolloutProgress::Superseded
    } else {
        RolloutProgress::NoCanary
    }
}

impl Publisher {
    /// The status of a resource's last rollout. A publisher that is not active knows only the stored record.
    pub fn rollout(&self, name: &Name) -> Option<RolloutStatus> {
        let Some(rollout) = self.rollouts.by_name.get(name) else {
            let record = RolloutRecord::from_change(self.log().get(&RolloutRecord::key_of(name))?)?;
            return Some(self.rollout_status(&Rollout::new(record)));
        };
        Some(self.rollout_status(rollout))
    }

    fn rollout_status(&self, rollout: &Rollout) -> RolloutStatus {
        let record = rollout.record.clone();
        let thousandths = match progress_of(&record, self.log()) {
            RolloutProgress::Stage { canary, .. } if record.state.is_open() => {
                Some(canary.fraction.thousandths)
            }
            _ => None,
        };
        let rejecting_nodes = rollout.rejecting_nodes.first(stage::MAX_REJECTING_NODES);
        RolloutStatus {
            record,
            thousandths,
            counts: rollout.counts,
            blocker: rollout.blocker,
            rejecting_nodes,
        }
    }
}
