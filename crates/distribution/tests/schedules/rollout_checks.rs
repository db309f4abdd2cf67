//! What must hold of the rollouts of a schedule: no stage ends before its soak time or above its thresholds, and
//! nothing that was rolled back stays applied.

use crate::checks::{expected_body, stable_body};
use crate::rollouts::{RandomRollouts, StartedRollout};
use crate::schedule::Schedule;
use crate::world::{Config, RecordedEvent, REJECTED_BY_ODD_NODES};
use reelfall_distribution::output::Event;
use reelfall_distribution::resource::{Key, Name, NodeFraction, Slot};
use reelfall_distribution::rollout::record::RolloutState;
use reelfall_distribution::rollout::stage::StageCounts;
use reelfall_distribution::Time;
use std::collections::BTreeMap;

/// The share of all nodes, in thousandths.
const ALL_NODES_THOUSANDTHS: u16 = 1000;
/// Minimum ratio of a soak time on the world's clock to the same time on the clock of a publisher.
const MIN_CLOCK_RATE: f64 = 0.999;

/// The outcomes of the rollouts of schedules.
#[derive(Default)]
pub struct RolloutCounts {
    pub started: usize,
    pub advanced: usize,
    /// Advances whose rollout is known, so that they could be checked.
    pub checked: usize,
    pub resumed: usize,
    pub rolled_back: usize,
    pub completed: usize,
}

/// A stage of a rollout, and when it started.
#[derive(Clone, Copy)]
struct StartedStage {
    started_at: Time,
    thousandths: u16,
}

/// An advance of a rollout from one stage to the next.
struct Advance<'a> {
    at: Time,
    name: &'a Name,
    from: StartedStage,
    to_thousandths: u16,
    counts: StageCounts,
}

impl RandomRollouts {
    pub fn check(&self, schedule: &Schedule) -> RolloutCounts {
        let counts = self.check_events(schedule);
        self.check_outcomes(schedule);
        counts
    }

    fn check_events(&self, schedule: &Schedule) -> RolloutCounts {
        let mut outcomes = RolloutCounts {
            started: self.started.len(),
            ..RolloutCounts::default()
        };
        let mut stages: BTreeMap<Name, StartedStage> = BTreeMap::new();
        let mut started = self.started.iter().peekable();
        for RecordedEvent { at, event, .. } in &schedule.world.invariants.events {
            while let Some(next) = started.next_if(|rollout| rollout.started_at <= *at) {
                stages.insert(next.draft.name.clone(), next.first_stage());
            }
            match event {
                Event::RolloutAdvanced {
                    name,
                    thousandths,
                    counts,
                } => {
                    outcomes.advanced += 1;
                    if let Some(from) = stages.get(name).copied() {
                        let advance = Advance {
                            at: *at,
                            name,
                            from,
                            to_thousandths: *thousandths,
                            counts: *counts,
                        };
                        let is_checked = self.check_advance(schedule, &advance);
                        outcomes.checked += usize::from(is_checked);
                    }
                    stages.insert(name.clone(), StartedStage::new(*at, *thousandths));
                }
                Event::RolloutResumed { name, thousandths } => {
                    outcomes.resumed += 1;
                    stages.insert(name.clone(), StartedStage::new(*at, *thousandths));
                }
                Event::RolloutStopped {
                    name,
                    state,
                    counts,
                } => outcomes.count_stop(state, *counts, stages.get(name)),
                _ => {}
            }
        }
        outcomes
    }

    /// The rollout that this advance belongs to. A publisher that succeeds another one without knowing its last rollout
    /// may continue an earlier one.
    fn rollout_of(&self, advance: &Advance) -> Option<&StartedRollout> {
        let stages = [advance.from.thousandths, advance.to_thousandths];
        self.started
            .iter()
            .rev()
            .filter(|rollout| {
                rollout.draft.name == *advance.name && rollout.started_at <= advance.at
            })
            .find(|rollout| {
                let mut successive = rollout.draft.policy.stages.windows(2);
                successive.any(|pair| *pair == stages)
            })
    }

    /// Checks an advance against the policy of its rollout. Returns whether that rollout is known.
    fn check_advance(&self, schedule: &Schedule, advance: &Advance) -> bool {
        let Some(rollout) = self.rollout_of(advance) else {
            return false;
        };
        let Advance {
            at, name, counts, ..
        } = advance;
        let policy = &rollout.draft.policy;
        let duration = at - advance.from.started_at;
        assert!(
            duration >= policy.soak_time * MIN_CLOCK_RATE,
            "{at}: {name:?} soaked for {duration} s"
        );
        let decided = counts.accepted_recently + counts.rejected;
        assert!(decided >= policy.min_decisions, "{at}: {name:?} {counts:?}");
        let decided_at_any_time = (counts.accepted + counts.rejected).max(policy.min_decisions);
        let allowed = u32::from(policy.max_rejected_share) * decided_at_any_time;
        assert!(
            counts.rejected * u32::from(ALL_NODES_THOUSANDTHS) <= allowed,
            "{at}: {name:?} advanced with {counts:?}"
        );
        assert!(
            counts.rejected <= policy.max_rejected,
            "{at}: {name:?} advanced with {counts:?}"
        );
        let accepting = accepting_nodes(schedule, rollout, advance.from.thousandths);
        assert!(
            counts.accepted <= accepting,
            "{at}: {name:?} {counts:?}, but {accepting} nodes can accept it"
        );
        true
    }

    fn check_outcomes(&self, schedule: &Schedule) {
        let publisher = schedule.world.publisher_of(schedule.lease_holder.unwrap());
        for rollout in &self.started {
            let name = &rollout.draft.name;
            let Some(status) = publisher.rollout(name) else {
                continue;
            };
            if !rollout.matches_record(&status.record) {
                continue;
            }
            let is_withdrawn = matches!(
                status.record.state,
                RolloutState::RolledBack(_) | RolloutState::Ended | RolloutState::Lost
            );
            if !is_withdrawn {
                continue;
            }
            let canary = publisher.log().get(&Key {
                name: name.clone(),
                slot: Slot::Canary,
            });
            assert!(
                status.record.own_canary(canary).is_none(),
                "{name:?} has ended, but its canary remains"
            );
            check_not_applied(schedule, rollout);
            if self.is_only_writer(name) {
                assert_eq!(
                    stable_body(publisher, name),
                    rollout.body_before,
                    "{name:?} does not have the content that it had before the rollout"
                );
            }
        }
    }

    /// Whether one rollout, and nothing else, has changed the resource.
    fn is_only_writer(&self, name: &Name) -> bool {
        let rollouts = self
            .started
            .iter()
            .filter(|rollout| rollout.draft.name == *name);
        rollouts.count() == 1 && !name.item.starts_with('r')
    }
}

impl RolloutCounts {
    fn count_stop(
        &mut self,
        state: &RolloutState,
        counts: StageCounts,
        last: Option<&StartedStage>,
    ) {
        self.rolled_back += usize::from(matches!(state, RolloutState::RolledBack(_)));
        // A manual promotion does not wait for the end of the last stage.
        let is_last_stage = last.is_some_and(|stage| stage.thousandths == ALL_NODES_THOUSANDTHS);
        if *state == RolloutState::Completed && is_last_stage && counts.known > 0 {
            self.completed += 1;
        }
    }
}

impl StartedStage {
    fn new(started_at: Time, thousandths: u16) -> StartedStage {
        StartedStage {
            started_at,
            thousandths,
        }
    }
}

impl StartedRollout {
    fn first_stage(&self) -> StartedStage {
        StartedStage::new(self.started_at, self.draft.policy.stages[0])
    }
}

/// How many nodes of a stage can accept the content of its rollout.
fn accepting_nodes(schedule: &Schedule, rollout: &StartedRollout, thousandths: u16) -> u32 {
    let fraction = NodeFraction {
        thousandths,
        seed: rollout.draft.seed,
    };
    let can_accept = |id: u32| id.is_multiple_of(2) || !rollout.is_rejected_by_odd_nodes();
    let nodes = schedule
        .world
        .ids(|config| matches!(config, Config::Node(..)));
    nodes
        .iter()
        .filter(|id| fraction.contains(**id) && can_accept(id.0))
        .count() as u32
}

/// No node applies the content of this rollout, except those that reject what they are to return to: they retain the
/// last content that they accepted.
fn check_not_applied(schedule: &Schedule, rollout: &StartedRollout) {
    let name = &rollout.draft.name;
    let withdrawn = rollout.draft.content.bytes();
    let publisher = schedule.world.publisher_of(schedule.lease_holder.unwrap());
    for id in schedule
        .world
        .ids(|config| matches!(config, Config::Node(..)))
    {
        let rejects_expected = id.0 % 2 == 1
            && expected_body(publisher, id, name)
                .is_some_and(|expected| expected.starts_with(REJECTED_BY_ODD_NODES));
        if rejects_expected {
            continue;
        }
        let applied = schedule.world.bytes_at(id.0, name);
        assert!(
            applied.is_none_or(|applied| applied != withdrawn),
            "{id:?} still has {name:?}"
        );
    }
}
