//! Random rollouts in addition to a schedule. They have a random generator of their own, so that the draws of the
//! schedule stay the same.

use crate::checks::stable_body;
use crate::schedule::Schedule;
use crate::world::{claim, REJECTED_BY_ODD_NODES};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_distribution::publisher::RolloutDraft;
use reelfall_distribution::resource::{Content, ContentHash, Key, Name, Slot};
use reelfall_distribution::rollout::policy::{OnRejections, RolloutPolicy};
use reelfall_distribution::rollout::record::RolloutRecord;
use reelfall_distribution::Time;

/// Combined with the seed of the schedule, so that the generators differ.
const ROLLOUT_SEED_MASK: u64 = 0x0b5e_55ed;
/// Number of resources that only rollouts change, in addition to one that the schedule changes as well.
const ROLLOUT_ONLY_ITEMS: u32 = 3;

/// A rollout that a publisher has started.
pub struct StartedRollout {
    pub started_at: Time,
    pub draft: RolloutDraft,
    /// The content for all nodes when it started.
    pub body_before: Option<Vec<u8>>,
}

impl StartedRollout {
    pub fn is_rejected_by_odd_nodes(&self) -> bool {
        self.draft
            .content
            .bytes()
            .starts_with(REJECTED_BY_ODD_NODES)
    }

    pub fn matches_record(&self, record: &RolloutRecord) -> bool {
        record.content_hash == ContentHash::of(self.draft.content.bytes())
    }
}

pub struct RandomRollouts {
    rng: Pcg64Mcg,
    /// In the order in which they were started.
    pub started: Vec<StartedRollout>,
}

impl RandomRollouts {
    pub fn new(seed: u64) -> RandomRollouts {
        RandomRollouts {
            rng: Pcg64Mcg::seed_from_u64(seed ^ ROLLOUT_SEED_MASK),
            started: Vec::new(),
        }
    }

    pub fn step(&mut self, schedule: &mut Schedule) {
        match self.rng.random_range(0..12) {
            0 | 1 => self.start(schedule),
            2 => self.end_manually(schedule),
            _ => {}
        }
    }

    fn random_name(&mut self) -> Name {
        let is_rollout_only = self.rng.random_bool(0.7);
        let item = if is_rollout_only {
            format!("o{}", self.rng.random_range(0..ROLLOUT_ONLY_ITEMS))
        } else {
            "r0".to_owned()
        };
        // All nodes subscribe to these: one that is not subscribed to a resource would count as accepting it.
        if self.rng.random_bool(0.5) {
            Name::common(&item)
        } else {
            Name::service("a", &item)
        }
    }

    fn random_draft(&mut self) -> RolloutDraft {
        let name = self.random_name();
        let number: u64 = self.rng.random();
        let mut bytes = number.to_le_bytes().to_vec();
        if self.rng.random_bool(0.5) {
            bytes = [REJECTED_BY_ODD_NODES, &bytes].concat();
        }
        if self.rng.random_bool(0.2) {
            bytes.resize(9_000, 7);
        }
        let soak_time = self.rng.random_range(1.0..5.0);
        let max_rejected_shares = [0, 100, 300];
        let policy = RolloutPolicy {
            stages: vec![
                self.rng.random_range(200..500),
                self.rng.random_range(500..999),
                1000,
            ],
            soak_time,
            decision_time: self.rng.random_range(0.0..soak_time),
            max_rejected_share: max_rejected_shares
                [self.rng.random_range(0..max_rejected_shares.len())],
            max_rejected: self.rng.random_range(0..4),
            min_decisions: self.rng.random_range(1..3),
            min_accepted_share: self.rng.random_range(500..=1000),
            max_report_age: 150.0,
            on_rejections: if self.rng.random_bool(0.8) {
                OnRejections::RollBack
            } else {
                OnRejections::Halt
            },
        };
        RolloutDraft {
            name,
            content: Content::body(&bytes),
            seed: self.rng.random(),
            policy,
        }
    }

    fn start(&mut self, schedule: &mut Schedule) {
        let draft = self.random_draft();
        let Some(holder) = schedule
            .lease_holder
            .filter(|holder| schedule.is_running(*holder))
        else {
            return;
        };
        let body_before = stable_body(schedule.world.publisher_of(holder), &draft.name);
        let token = schedule.token;
        let started_at = schedule.world.now;
        let started_draft = draft.clone();
        // The schedule does not know when the outcome of the rollout is published for all nodes.
        schedule.last_published.remove(&draft.name);
        let version = schedule.call_holder(|publisher, now, outputs| {
            publisher.start_rollout(now, &claim(token), started_draft, outputs)
        });
        // A publisher that crashed meanwhile may have sent it.
        if version.is_some() || !schedule.is_running(holder) {
            self.started.push(StartedRollout {
                started_at,
                draft,
                body_before,
            });
        }
    }

    fn end_manually(&mut self, schedule: &mut Schedule) {
        if self.started.is_empty() {
            return;
        }
        let name = self.started[self.rng.random_range(0..self.started.len())]
            .draft
            .name
            .clone();
        let Some(holder) = schedule
            .lease_holder
            .filter(|holder| schedule.is_running(*holder))
        else {
            return;
        };
        let canary = schedule.world.publisher_of(holder).log().get(&Key {
            name: name.clone(),
            slot: Slot::Canary,
        });
        let Some(version) = canary.map(|canary| canary.version) else {
            return;
        };
        let token = schedule.token;
        schedule.last_published.remove(&name);
        if self.rng.random_bool(0.5) {
            schedule.call_holder(|publisher, now, outputs| {
                publisher.promote_canary(now, &claim(token), &name, outputs)
            });
        } else {
            schedule.call_holder(|publisher, now, outputs| {
                publisher.revert(now, &claim(token), version, outputs)
            });
        }
    }
}
