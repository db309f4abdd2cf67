//! Which upstream is tried next.
//!
//! A candidate that fails is tried again after all others. What is remembered of failures ends as soon as an upstream
//! brings something fresh. Fallbacks are tried early: once [`UNANSWERED_BEFORE_FALLBACK`] upstreams have not answered, all of a
//! region may be lost. A candidate that is asked beside others is one that has not failed to answer: when all have, one
//! at a time is asked, so that many followers do not come to the first relay that runs again at once.

use crate::peer::PeerId;
use crate::random::SeededRng;
use crate::upstream_config::UpstreamConfig;
use crate::Time;
use std::collections::BTreeMap;

/// After so many upstreams that did not answer, or have not answered yet, fallbacks and upstreams are tried by turns. One
/// that is lost is an ordinary failure, for which the others of its region are there; one more may be slow, or the frame
/// to it lost.
const UNANSWERED_BEFORE_FALLBACK: usize = 3;

#[derive(Clone, Copy, Debug)]
struct Failure {
    at: Time,
    /// It was not heard in the end, or broke the rules. Others were only of no use then.
    is_unusable: bool,
}

/// See the module. Both maps hold candidates alone, so there are no more entries than candidates.
#[derive(Debug)]
pub(crate) struct Candidates {
    upstreams: Vec<PeerId>,
    fallbacks: Vec<PeerId>,
    /// Who is not tried at all until then.
    barred_until: BTreeMap<PeerId, Time>,
    /// Who has failed since something fresh came last.
    failures: BTreeMap<PeerId, Failure>,
    picked_fallback_last: bool,
}

impl Candidates {
    pub fn new(rules: &UpstreamConfig) -> Candidates {
        Candidates {
            upstreams: rules.upstreams.clone(),
            fallbacks: rules.fallbacks.clone(),
            barred_until: BTreeMap::new(),
            failures: BTreeMap::new(),
            picked_fallback_last: false,
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
    pub fn bar_until(&mut self, peer: PeerId, until: Time) {
        self.barred_until.insert(peer, until);
    }

    /// A candidate was of no use.
    pub fn record_failure(&mut self, peer: PeerId, at: Time, unusable: bool) {
        self.failures.insert(
            peer,
            Failure {
                at,
                is_unusable: unusable,
            },
        );
    }

    /// One of them has brought something fresh.
    pub fn clear_failures(&mut self) {
        self.failures.clear();
    }

    /// Whether all of them have been tried in vain, and none is known to run and to keep to the rules.
    pub fn all_unusable(&self) -> bool {
        self.all().all(|peer| self.is_unusable(peer))
    }

    fn is_unusable(&self, peer: &PeerId) -> bool {
        self.failures
            .get(peer)
            .is_some_and(|failure| failure.is_unusable)
    }

    /// When the first of those that may be asked beside those that are asked already is not barred; never, if there is
    /// none.
    pub fn available_at(&self, attempted: &[PeerId]) -> Time {
        let barred_until = |peer: &PeerId| {
            self.barred_until
                .get(peer)
                .copied()
                .unwrap_or(f64::NEG_INFINITY)
        };
        let open = self.all().filter(|peer| self.is_eligible(peer, attempted));
        open.map(barred_until).fold(f64::INFINITY, f64::min)
    }

    /// Draws whom to ask beside those that are asked already: an upstream that has not failed, unless too many have not
    /// answered; else fallbacks and upstreams by turns, those that have not failed first, then the one that failed longest
    /// ago.
    pub fn pick(&mut self, now: Time, attempted: &[PeerId], rng: &mut SeededRng) -> Option<PeerId> {
        let upstreams = self.available(&self.upstreams, now, attempted);
        let fallbacks = self.available(&self.fallbacks, now, attempted);
        let untried = self.without_failures(&upstreams);
        let picked = if !untried.is_empty()
            && self.unanswered_upstreams(attempted) < UNANSWERED_BEFORE_FALLBACK
        {
            any(&untried, rng)
        } else if self.picked_fallback_last {
            self.longest_since_failure(&upstreams, rng)
                .or_else(|| self.longest_since_failure(&fallbacks, rng))
        } else {
            self.longest_since_failure(&fallbacks, rng)
                .or_else(|| self.longest_since_failure(&upstreams, rng))
        };
        if let Some(peer) = &picked {
            self.picked_fallback_last = self.fallbacks.contains(peer);
        }
        picked
    }

    /// Upstreams that have not answered yet, did not answer or broke the rules since something fresh came last.
    fn unanswered_upstreams(&self, attempted: &[PeerId]) -> usize {
        let is_unanswered = |peer: &&PeerId| attempted.contains(peer) || self.is_unusable(peer);
        self.upstreams.iter().filter(is_unanswered).count()
    }

    /// Whether a candidate may be asked beside those that are asked already, unless it is barred.
    fn is_eligible(&self, peer: &PeerId, attempted: &[PeerId]) -> bool {
        attempted.is_empty() || !attempted.contains(peer) && !self.is_unusable(peer)
    }

    fn available(&self, list: &[PeerId], now: Time, attempted: &[PeerId]) -> Vec<PeerId> {
        let is_barred = |peer: &PeerId| {
            self.barred_until
                .get(peer)
                .is_some_and(|until| now < *until)
        };
        list.iter()
            .filter(|peer| !is_barred(peer) && self.is_eligible(peer, attempted))
            .copied()
            .collect()
    }

    fn without_failures(&self, list: &[PeerId]) -> Vec<PeerId> {
        list.iter()
            .filter(|peer| !self.failures.contains_key(*peer))
            .copied()
            .collect()
    }

    fn longest_since_failure(&self, list: &[PeerId], rng: &mut SeededRng) -> Option<PeerId> {
        let untried = self.without_failures(list);
        if !untried.is_empty() {
            return any(&untried, rng);
        }
        let failed_at = |peer: &PeerId| self.failures.get(peer).map_or(0.0, |failure| failure.at);
        list.iter()
            .min_by(|a, b| failed_at(a).total_cmp(&failed_at(b)))
            .copied()
    }
}

fn any(list: &[PeerId], rng: &mut SeededRng) -> Option<PeerId> {
    list.get(rng.index_below(list.len())).copied()
}
