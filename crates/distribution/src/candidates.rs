//! Which upstream is tried next.
//!
//! A candidate that fails is tried again after all others. What is remembered of failures ends as soon as an upstream
//! brings something fresh. Fallbacks are tried early: once [`UPSTREAMS_IN_VAIN`] upstreams have not answered, all of a
//! region may be lost. A candidate that is asked beside others is one that has not failed to answer: when all have, one
//! at a time is asked, so that many followers do not come to the first relay that runs again at once.

use crate::chance::Chance;
use crate::follow::FollowRules;
use crate::peer::PeerId;
use crate::Time;
use std::collections::BTreeMap;

/// After so many upstreams that did not answer, or have not answered yet, fallbacks and upstreams are tried by turns. One
/// that is lost is an ordinary failure, for which the others of its region are there; one more may be slow, or the frame
/// to it lost.
const UPSTREAMS_IN_VAIN: usize = 3;

#[derive(Clone, Copy, Debug)]
struct Failure {
    at: Time,
    /// It was not heard in the end, or broke the rules. Others were only of no use then.
    unusable: bool,
}

/// See the module. Both maps hold candidates alone, so there are no more entries than candidates.
#[derive(Debug)]
pub(crate) struct Candidates {
    upstreams: Vec<PeerId>,
    fallbacks: Vec<PeerId>,
    /// Who is not tried at all until then.
    barred: BTreeMap<PeerId, Time>,
    /// Who has failed since something fresh came last.
    failures: BTreeMap<PeerId, Failure>,
    fallback_drawn_last: bool,
}

impl Candidates {
    pub fn new(rules: &FollowRules) -> Candidates {
        Candidates {
            upstreams: rules.upstreams.clone(),
            fallbacks: rules.fallbacks.clone(),
            barred: BTreeMap::new(),
            failures: BTreeMap::new(),
            fallback_drawn_last: false,
        }
    }

    fn all(&self) -> impl Iterator<Item = &PeerId> {
        self.upstreams.iter().chain(&self.fallbacks)
    }

    /// Whether there is more than one.
    pub fn has_others(&self) -> bool {
        self.all().count() > 1
    }

    /// A candidate is not tried until then.
    pub fn bar(&mut self, peer: PeerId, until: Time) {
        self.barred.insert(peer, until);
    }

    /// A candidate was of no use.
    pub fn failed(&mut self, peer: PeerId, at: Time, unusable: bool) {
        self.failures.insert(peer, Failure { at, unusable });
    }

    /// One of them has brought something fresh.
    pub fn succeeded(&mut self) {
        self.failures.clear();
    }

    /// Whether all of them have been tried in vain, and none is known to run and to keep to the rules.
    pub fn all_unusable(&self) -> bool {
        self.all().all(|peer| self.is_unusable(peer))
    }

    fn is_unusable(&self, peer: &PeerId) -> bool {
        self.failures
            .get(peer)
            .is_some_and(|failure| failure.unusable)
    }

    /// When the first of those that may be asked beside those that are asked already is not barred; never, if there is
    /// none.
    pub fn free_at(&self, asked: &[PeerId]) -> Time {
        let barred_until =
            |peer: &PeerId| self.barred.get(peer).copied().unwrap_or(f64::NEG_INFINITY);
        let open = self.all().filter(|peer| self.is_open(peer, asked));
        open.map(barred_until).fold(f64::INFINITY, f64::min)
    }

    /// Draws whom to ask beside those that are asked already: an upstream that has not failed, unless too many have not
    /// answered; else fallbacks and upstreams by turns, those that have not failed first, then the one that failed longest
    /// ago.
    pub fn draw(&mut self, now: Time, asked: &[PeerId], chance: &mut Chance) -> Option<PeerId> {
        let upstreams = self.free(&self.upstreams, now, asked);
        let fallbacks = self.free(&self.fallbacks, now, asked);
        let untried = self.untried(&upstreams);
        let drawn = if !untried.is_empty() && self.upstreams_in_vain(asked) < UPSTREAMS_IN_VAIN {
            any(&untried, chance)
        } else if self.fallback_drawn_last {
            self.least_tried(&upstreams, chance)
                .or_else(|| self.least_tried(&fallbacks, chance))
        } else {
            self.least_tried(&fallbacks, chance)
                .or_else(|| self.least_tried(&upstreams, chance))
        };
        if let Some(peer) = &drawn {
            self.fallback_drawn_last = self.fallbacks.contains(peer);
        }
        drawn
    }

    /// Upstreams that have not answered yet, did not answer or broke the rules since something fresh came last.
    fn upstreams_in_vain(&self, asked: &[PeerId]) -> usize {
        let in_vain = |peer: &&PeerId| asked.contains(peer) || self.is_unusable(peer);
        self.upstreams.iter().filter(in_vain).count()
    }

    /// Whether a candidate may be asked beside those that are asked already, unless it is barred.
    fn is_open(&self, peer: &PeerId, asked: &[PeerId]) -> bool {
        asked.is_empty() || !asked.contains(peer) && !self.is_unusable(peer)
    }

    fn free(&self, list: &[PeerId], now: Time, asked: &[PeerId]) -> Vec<PeerId> {
        let is_barred = |peer: &PeerId| self.barred.get(peer).is_some_and(|until| now < *until);
        list.iter()
            .filter(|peer| !is_barred(peer) && self.is_open(peer, asked))
            .copied()
            .collect()
    }

    fn untried(&self, list: &[PeerId]) -> Vec<PeerId> {
        list.iter()
            .filter(|peer| !self.failures.contains_key(*peer))
            .copied()
            .collect()
    }

    fn least_tried(&self, list: &[PeerId], chance: &mut Chance) -> Option<PeerId> {
        let untried = self.untried(list);
        if !untried.is_empty() {
            return any(&untried, chance);
        }
        let failed_at = |peer: &PeerId| self.failures.get(peer).map_or(0.0, |failure| failure.at);
        list.iter()
            .min_by(|a, b| failed_at(a).total_cmp(&failed_at(b)))
            .copied()
    }
}

fn any(list: &[PeerId], chance: &mut Chance) -> Option<PeerId> {
    list.get(chance.below(list.len())).copied()
}
