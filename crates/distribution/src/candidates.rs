//! Which upstream is tried next.
//!
//! A candidate that fails is tried again after all others. What is remembered of failures ends as soon as an upstream
//! brings something fresh. Fallbacks are tried early: once [`UPSTREAMS_IN_VAIN`] upstreams did not answer, all of a region
//! may be lost, and trying each of them takes longer than a change may.

use crate::chance::Chance;
use crate::follow::FollowRules;
use crate::peer::PeerId;
use crate::Time;
use std::collections::BTreeMap;

/// After so many upstreams that did not answer, fallbacks and upstreams are tried by turns: one that is lost is an ordinary
/// failure, for which the others of its region are there.
const UPSTREAMS_IN_VAIN: usize = 2;

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
    fallback_failed_last: bool,
}

impl Candidates {
    pub fn new(rules: &FollowRules) -> Candidates {
        Candidates {
            upstreams: rules.upstreams.clone(),
            fallbacks: rules.fallbacks.clone(),
            barred: BTreeMap::new(),
            failures: BTreeMap::new(),
            fallback_failed_last: false,
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
        self.fallback_failed_last = self.fallbacks.contains(&peer);
    }

    /// One of them has brought something fresh.
    pub fn succeeded(&mut self) {
        self.failures.clear();
    }

    /// Whether all of them have been tried in vain, and none is known to run and to keep to the rules.
    pub fn all_unusable(&self) -> bool {
        self.all().all(|peer| self.failures.get(peer).is_some_and(|failure| failure.unusable))
    }

    /// When the first of those that are barred may be tried; never, if none is.
    pub fn free_at(&self) -> Time {
        let barred = self.all().filter_map(|peer| self.barred.get(peer));
        barred.copied().fold(f64::INFINITY, f64::min)
    }

    /// Draws the next one: an upstream that has not failed, unless too many have not answered; else fallbacks and upstreams
    /// by turns, those that have not failed first, then the one that failed longest ago.
    pub fn draw(&self, now: Time, chance: &mut Chance) -> Option<PeerId> {
        let upstreams = self.free(&self.upstreams, now);
        let untried = self.untried(&upstreams);
        if !untried.is_empty() && self.upstreams_in_vain() < UPSTREAMS_IN_VAIN {
            return any(&untried, chance);
        }
        let fallbacks = self.free(&self.fallbacks, now);
        let (first, second) =
            if self.fallback_failed_last { (upstreams, fallbacks) } else { (fallbacks, upstreams) };
        self.least_tried(&first, chance).or_else(|| self.least_tried(&second, chance))
    }

    /// Upstreams that did not answer or broke the rules since something fresh came last.
    fn upstreams_in_vain(&self) -> usize {
        let failures = self.upstreams.iter().filter_map(|peer| self.failures.get(peer));
        failures.filter(|failure| failure.unusable).count()
    }

    fn free(&self, list: &[PeerId], now: Time) -> Vec<PeerId> {
        let is_free = |peer: &&PeerId| self.barred.get(*peer).is_none_or(|until| now >= *until);
        list.iter().filter(is_free).copied().collect()
    }

    fn untried(&self, list: &[PeerId]) -> Vec<PeerId> {
        list.iter().filter(|peer| !self.failures.contains_key(*peer)).copied().collect()
    }

    fn least_tried(&self, list: &[PeerId], chance: &mut Chance) -> Option<PeerId> {
        let untried = self.untried(list);
        if !untried.is_empty() {
            return any(&untried, chance);
        }
        let failed_at = |peer: &PeerId| self.failures.get(peer).map_or(0.0, |failure| failure.at);
        list.iter().min_by(|a, b| failed_at(a).total_cmp(&failed_at(b))).copied()
    }
}

fn any(list: &[PeerId], chance: &mut Chance) -> Option<PeerId> {
    list.get(chance.below(list.len())).copied()
}
