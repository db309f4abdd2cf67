//! Selection of the upstream to try next.
//!
//! A candidate that failed is tried again after all others; failures are cleared once an upstream sends fresh data.
//! After [`UNANSWERED_BEFORE_FALLBACK`] upstreams without an answer a whole region may be lost, so fallbacks are tried
//! early. Parallel attempts include only candidates that have not failed to answer. Once all have failed, one is tried
//! at a time, which keeps many followers from opening sessions with the first relay that recovers.
//!
//! Used by [`crate::upstream`].

use crate::peer::PeerId;
use crate::random::SeededRng;
use crate::upstream_config::UpstreamConfig;
use crate::Time;
use std::collections::BTreeMap;

/// After this number of upstreams without an answer, fallbacks and upstreams are tried alternately. One lost upstream
/// is an ordinary failure, for which others of its region compensate; one more may just be slow, or its frame may be
/// lost.
const UNANSWERED_BEFORE_FALLBACK: usize = 3;

#[derive(Clone, Copy, Debug)]
struct Failure {
    at: Time,
    /// It timed out or violated the protocol; after other failures it is usable.
    is_unusable: bool,
}

/// The candidates and their failures. Both maps have only candidates as keys, which bounds their size.
#[derive(Debug)]
pub(crate) struct Candidates {
    upstreams: Vec<PeerId>,
    fallbacks: Vec<PeerId>,
    /// Candidates that are not tried until a time.
    excluded_until: BTreeMap<PeerId, Time>,
    /// Failures since an upstream last sent fresh data.
    failures: BTreeMap<PeerId, Failure>,
    picked_fallback_last: bool,
}

impl Candidates {
    pub fn new(config: &UpstreamConfig) -> Candidates {
        Candidates {
            upstreams: config.upstreams.clone(),
            fallbacks: config.fallbacks.clone(),
            excluded_until: BTreeMap::new(),
            failures: BTreeMap::new(),
            picked_fallback_last: false,
        }
    }

    fn all(&self) -> impl Iterator<Item = &PeerId> {
        self.upstreams.iter().chain(&self.fallbacks)
    }

    /// Whether there is more than one candidate.
    pub fn has_others(&self) -> bool {
        self.all().count() > 1
    }

    /// Excludes a candidate until a time.
    pub fn exclude_until(&mut self, peer: PeerId, until: Time) {
        self.excluded_until.insert(peer, until);
    }

    /// Records that a candidate failed.
    pub fn record_failure(&mut self, peer: PeerId, at: Time, unusable: bool) {
        self.failures.insert(
            peer,
            Failure {
                at,
                is_unusable: unusable,
            },
        );
    }

    /// Clears all failures, after an upstream has sent fresh data.
    pub fn clear_failures(&mut self) {
        self.failures.clear();
    }

    /// Whether every candidate timed out or violated the protocol.
    pub fn all_unusable(&self) -> bool {
        self.all().all(|peer| self.is_unusable(peer))
    }

    fn is_unusable(&self, peer: &PeerId) -> bool {
        self.failures
            .get(peer)
            .is_some_and(|failure| failure.is_unusable)
    }

    /// When the first candidate can be tried in addition to those that are being tried; infinity if there is none.
    pub fn available_at(&self, attempted: &[PeerId]) -> Time {
        let excluded_until = |peer: &PeerId| {
            self.excluded_until
                .get(peer)
                .copied()
                .unwrap_or(f64::NEG_INFINITY)
        };
        let eligible = self.all().filter(|peer| self.is_eligible(peer, attempted));
        eligible.map(excluded_until).fold(f64::INFINITY, f64::min)
    }

    /// Picks the next candidate in addition to those that are being tried: an upstream without failures, unless too
    /// many have not answered; otherwise fallbacks and upstreams alternately, those without failures first, then the
    /// one with the oldest failure.
    pub fn pick(&mut self, now: Time, attempted: &[PeerId], rng: &mut SeededRng) -> Option<PeerId> {
        let upstreams = self.available(&self.upstreams, now, attempted);
        let fallbacks = self.available(&self.fallbacks, now, attempted);
        let untried = self.without_failures(&upstreams);
        let picked = if !untried.is_empty()
            && self.unanswered_upstreams(attempted) < UNANSWERED_BEFORE_FALLBACK
        {
            pick_random(&untried, rng)
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

    /// Number of upstreams that have not answered or that violated the protocol.
    fn unanswered_upstreams(&self, attempted: &[PeerId]) -> usize {
        let is_unanswered = |peer: &&PeerId| attempted.contains(peer) || self.is_unusable(peer);
        self.upstreams.iter().filter(is_unanswered).count()
    }

    /// Whether a candidate may be tried in addition to those that are being tried; exclusions are not considered.
    fn is_eligible(&self, peer: &PeerId, attempted: &[PeerId]) -> bool {
        attempted.is_empty() || !attempted.contains(peer) && !self.is_unusable(peer)
    }

    fn available(&self, list: &[PeerId], now: Time, attempted: &[PeerId]) -> Vec<PeerId> {
        let is_excluded = |peer: &PeerId| {
            self.excluded_until
                .get(peer)
                .is_some_and(|until| now < *until)
        };
        list.iter()
            .filter(|peer| !is_excluded(peer) && self.is_eligible(peer, attempted))
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
            return pick_random(&untried, rng);
        }
        let failed_at = |peer: &PeerId| self.failures.get(peer).map_or(0.0, |failure| failure.at);
        list.iter()
            .min_by(|a, b| failed_at(a).total_cmp(&failed_at(b)))
            .copied()
    }
}

fn pick_random(list: &[PeerId], rng: &mut SeededRng) -> Option<PeerId> {
    list.get(rng.index_below(list.len())).copied()
}
