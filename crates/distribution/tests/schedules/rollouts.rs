//! Rollouts in drawn schedules, from a generator of their own: schedules without them play as they did.

use super::world::{claim, Config};
use super::{wanted_at, Play, REJECTED_BY_ODD_NODES};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_distribution::author::{Author, RolloutDraft};
use reelfall_distribution::output::Event;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Content, Key, Name, NodeFraction, Slot};
use reelfall_distribution::rollout::policy::{OnRejections, RolloutPolicy};
use reelfall_distribution::rollout::record::{RolloutRecord, RolloutState};
use reelfall_distribution::rollout::stage::StageCounts;
use reelfall_distribution::Time;
use std::collections::BTreeMap;

/// For the generator of rollouts, so that it draws other numbers than the schedule.
const OTHER_SEED: u64 = 0x0b5e_55ed;
/// Resources that rollouts alone change, beside those that the schedule changes as well.
const OWN_NAMES: u32 = 3;

/// A rollout that was begun.
struct Begun {
    t: Time,
    draft: RolloutDraft,
    /// What was for all nodes when it began.
    before: Option<Vec<u8>>,
}

impl Begun {
    fn bad(&self) -> bool {
        self.draft
            .content
            .bytes()
            .starts_with(REJECTED_BY_ODD_NODES)
    }

    fn is_record(&self, record: &RolloutRecord) -> bool {
        record.content_hash
            == reelfall_distribution::resource::ContentHash::of(self.draft.content.bytes())
    }
}

/// What became of the rollouts of schedules.
#[derive(Default)]
pub struct Tally {
    pub begun: usize,
    pub advanced: usize,
    /// Stages whose ends could be judged.
    pub checked: usize,
    pub resumed: usize,
    pub rolled_back: usize,
    pub completed: usize,
}

/// Draws rollouts, and judges them in the end.
pub struct Rollouts {
    draw: Pcg64Mcg,
    begun: Vec<Begun>,
}

impl Rollouts {
    pub fn new(seed: u64) -> Rollouts {
        Rollouts {
            draw: Pcg64Mcg::seed_from_u64(seed ^ OTHER_SEED),
            begun: Vec::new(),
        }
    }

    pub fn step(&mut self, play: &mut Play) {
        match self.draw.random_range(0..12) {
            0 | 1 => self.begin(play),
            2 => self.end_by_hand(play),
            _ => {}
        }
    }

    fn name(&mut self) -> Name {
        let own = self.draw.random_bool(0.7);
        let item = if own {
            format!("o{}", self.draw.random_range(0..OWN_NAMES))
        } else {
            "r0".to_owned()
        };
        // All nodes ask for these: who does not ask for a resource counts as accepting it.
        if self.draw.random_bool(0.5) {
            Name::common(&item)
        } else {
            Name::service("a", &item)
        }
    }

    fn draft(&mut self) -> RolloutDraft {
        let name = self.name();
        let number: u64 = self.draw.random();
        let mut bytes = number.to_le_bytes().to_vec();
        if self.draw.random_bool(0.5) {
            bytes = [REJECTED_BY_ODD_NODES, &bytes].concat();
        }
        if self.draw.random_bool(0.2) {
            bytes.resize(9_000, 7);
        }
        let soak = self.draw.random_range(1.0..5.0);
        let shares = [0, 100, 300];
        let policy = RolloutPolicy {
            stages: vec![
                self.draw.random_range(200..500),
                self.draw.random_range(500..999),
                1000,
            ],
            soak_time: soak,
            decision_time: self.draw.random_range(0.0..soak),
            max_rejected_share: shares[self.draw.random_range(0..shares.len())],
            max_rejected: self.draw.random_range(0..4),
            min_decisions: self.draw.random_range(1..3),
            min_accepted_share: self.draw.random_range(500..=1000),
            max_report_age: 150.0,
            on_rejections: if self.draw.random_bool(0.8) {
                OnRejections::RollBack
            } else {
                OnRejections::Halt
            },
        };
        RolloutDraft {
            name,
            content: Content::body(&bytes),
            seed: self.draw.random(),
            policy,
        }
    }

    fn begin(&mut self, play: &mut Play) {
        let draft = self.draft();
        let Some(holder) = play.holder.filter(|holder| play.runs(*holder)) else {
            return;
        };
        let before = body_of(play.world.author_of(holder), &draft.name);
        let (copy, token, t) = (draft.clone(), play.token, play.world.now);
        // What the rollout comes to is for all nodes at a moment that the schedule does not know.
        play.last.remove(&draft.name);
        let version = play
            .write(|author, now, outputs| author.start_rollout(now, &claim(token), copy, outputs));
        // An author that ended meanwhile may have told it.
        if version.is_some() || !play.runs(holder) {
            self.begun.push(Begun { t, draft, before });
        }
    }

    fn end_by_hand(&mut self, play: &mut Play) {
        if self.begun.is_empty() {
            return;
        }
        let name = self.begun[self.draw.random_range(0..self.begun.len())]
            .draft
            .name
            .clone();
        let Some(holder) = play.holder.filter(|holder| play.runs(*holder)) else {
            return;
        };
        let trial = play.world.author_of(holder).log().get(&Key {
            name: name.clone(),
            slot: Slot::Canary,
        });
        let Some(version) = trial.map(|trial| trial.version) else {
            return;
        };
        let token = play.token;
        play.last.remove(&name);
        if self.draw.random_bool(0.5) {
            play.write(|author, now, outputs| {
                author.promote_canary(now, &claim(token), &name, outputs)
            });
        } else {
            play.write(|author, now, outputs| author.revert(now, &claim(token), version, outputs));
        }
    }

    /// No stage ends before its soak time, none past the threshold; of what was taken back nothing is in force.
    pub fn check(&self, play: &Play) -> Tally {
        let mut tally = Tally {
            begun: self.begun.len(),
            ..Tally::default()
        };
        let mut since: BTreeMap<Name, (Time, u16)> = BTreeMap::new();
        let mut begun = self.begun.iter().peekable();
        for (t, _, event) in &play.world.invariants.events {
            while let Some(next) = begun.next_if(|begun| begun.t <= *t) {
                since.insert(
                    next.draft.name.clone(),
                    (next.t, next.draft.policy.stages[0]),
                );
            }
            match event {
                Event::RolloutAdvanced {
                    name,
                    thousandths,
                    counts,
                } => {
                    tally.advanced += 1;
                    if let Some((since, stage)) = since.get(name).copied() {
                        let lasted = t - since;
                        let checked = self.check_advance(
                            play,
                            *t,
                            name,
                            lasted,
                            (stage, *thousandths),
                            *counts,
                        );
                        tally.checked += usize::from(checked);
                    }
                    since.insert(name.clone(), (*t, *thousandths));
                }
                Event::RolloutResumed { name, thousandths } => {
                    tally.resumed += 1;
                    since.insert(name.clone(), (*t, *thousandths));
                }
                Event::RolloutStopped {
                    name,
                    state,
                    counts,
                } => {
                    tally.rolled_back += usize::from(matches!(state, RolloutState::RolledBack(_)));
                    // By hand the last stage was not watched to its end.
                    let last = since
                        .get(name)
                        .is_some_and(|(_, thousandths)| *thousandths == 1000);
                    if *state == RolloutState::Completed && last && counts.known > 0 {
                        tally.completed += 1;
                    }
                }
                _ => {}
            }
        }
        self.check_ends(play);
        tally
    }

    /// The rollout of a resource that went from one stage to another at a moment. Where an author is followed by one that
    /// does not know its last rollout, an earlier one may go on.
    fn of(&self, name: &Name, t: Time, (stage, next): (u16, u16)) -> Option<&Begun> {
        let steps = |begun: &&Begun| {
            begun
                .draft
                .policy
                .stages
                .windows(2)
                .any(|pair| *pair == [stage, next])
        };
        let mut begun = self
            .begun
            .iter()
            .rev()
            .filter(|begun| begun.draft.name == *name && begun.t <= t);
        begun.find(steps)
    }

    /// A stage has ended after so long; whether its rollout is known.
    fn check_advance(
        &self,
        play: &Play,
        t: Time,
        name: &Name,
        lasted: Time,
        steps: (u16, u16),
        counts: StageCounts,
    ) -> bool {
        let Some(begun) = self.of(name, t, steps) else {
            return false;
        };
        let policy = &begun.draft.policy;
        assert!(
            lasted >= policy.soak_time * 0.999,
            "{t}: {name:?} soaked for {lasted} s"
        );
        let decided = counts.accepted_recently + counts.rejected;
        assert!(decided >= policy.min_decisions, "{t}: {name:?} {counts:?}");
        let of = (counts.accepted + counts.rejected).max(policy.min_decisions);
        let allowed = u32::from(policy.max_rejected_share) * of;
        assert!(
            counts.rejected * 1000 <= allowed,
            "{t}: {name:?} went on with {counts:?}"
        );
        assert!(
            counts.rejected <= policy.max_rejected,
            "{t}: {name:?} went on with {counts:?}"
        );
        let part = NodeFraction {
            thousandths: steps.0,
            seed: begun.draft.seed,
        };
        let nodes = play.world.ids(|config| matches!(config, Config::Node(..)));
        let able = |id: &&PeerId| part.contains(**id) && (id.0.is_multiple_of(2) || !begun.bad());
        let able = nodes.iter().filter(able).count() as u32;
        assert!(
            counts.accepted <= able,
            "{t}: {name:?} {counts:?}, but {able} can accept it"
        );
        true
    }

    fn check_ends(&self, play: &Play) {
        let author = play.world.author_of(play.holder.unwrap());
        for begun in &self.begun {
            let name = &begun.draft.name;
            let Some(status) = author.rollout(name) else {
                continue;
            };
            let trial = author.log().get(&Key {
                name: name.clone(),
                slot: Slot::Canary,
            });
            if !begun.is_record(&status.record) {
                continue;
            }
            let ended = matches!(
                status.record.state,
                RolloutState::RolledBack(_) | RolloutState::Ended | RolloutState::Lost
            );
            if ended {
                assert!(
                    status.record.own_canary(trial).is_none(),
                    "{name:?} is over and on trial"
                );
                self.check_nowhere(play, begun);
            }
            let only = self
                .begun
                .iter()
                .filter(|other| other.draft.name == *name)
                .count()
                == 1;
            if ended && only && !name.item.starts_with('r') {
                assert_eq!(
                    body_of(author, name),
                    begun.before,
                    "{name:?} is not what it was"
                );
            }
        }
    }

    /// No node has in force what was rolled out, but those that refuse what they are to return to: they keep their last
    /// good content.
    fn check_nowhere(&self, play: &Play, begun: &Begun) {
        let body = begun.draft.content.bytes();
        let author = play.world.author_of(play.holder.unwrap());
        for id in play.world.ids(|config| matches!(config, Config::Node(..))) {
            let wanted = wanted_at(author, id, &begun.draft.name);
            if id.0 % 2 == 1
                && wanted.is_some_and(|wanted| wanted.starts_with(REJECTED_BY_ODD_NODES))
            {
                continue;
            }
            let found = play.world.bytes_at(id.0, &begun.draft.name);
            assert!(
                found.is_none_or(|found| found != body),
                "{id:?} still has {:?}",
                begun.draft.name
            );
        }
    }
}

fn body_of(author: &Author, name: &Name) -> Option<Vec<u8>> {
    let whole = author.log().get(&Key {
        name: name.clone(),
        slot: Slot::Stable,
    })?;
    (!whole.is_removal()).then(|| whole.content.bytes().to_vec())
}
