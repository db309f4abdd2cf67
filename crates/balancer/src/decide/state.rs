//! What a node knows and holds. The rules on it are the other files.

use super::automaton::Automaton;
use crate::chance::fraction;
use crate::index::Index;
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// An attempt is overdue at this multiple of the mean response for its size; three means are rare by chance.
pub(super) const OVERDUE: f64 = 3.0;

/// Least weight of a server outside the zone beside one inside: its worth stays known, and an idle far server
/// is preferred to a near one that holds two requests more than it can work on.
pub(super) const SPILL_MIN: f64 = 0.15;

/// Counters for hot keys; a collision only costs a sticky draw.
pub(super) const KEY_SLOTS: usize = 256;

pub(super) const SWEEP: u64 = 0;
pub(super) const WATCH: u64 = 1;

/// What this node knows of one listed server.
pub(super) struct Server {
    pub(super) entry: Endpoint,
    /// Bad answers in a row, and whether the last of them was more than lateness.
    pub(super) strikes: u32,
    pub(super) failing: bool,
    /// It could not be reached, or said nothing time and again: no load of the fleet explains that.
    pub(super) dead: bool,
    /// Its last word was a good answer.
    pub(super) sound: bool,
    /// When it was sent something last; 0 if nothing since it came.
    pub(super) asked: Time,
    /// It is of this node's part of the list.
    pub(super) own: bool,
    pub(super) ejected_until: Time,
    /// Others of the fleet find fault with it until then; whether this node tries it all the same.
    pub(super) told_until: Time,
    pub(super) tries: bool,
    /// Tells this stay on the list from an earlier one: attempts of that one count no more.
    pub(super) stay: u32,
    /// Attempts out, and those of them that are overdue.
    pub(super) open: u32,
    pub(super) overdue: u32,
    /// The latest time of sending that it has answered: what was sent before and is still out is held up on
    /// its own connection, and tells nothing of the server.
    pub(super) heard: Time,
    /// Work that may still be sent while it is cold, and the most that may be saved.
    pub(super) budget: f64,
    pub(super) most: f64,
}

/// What is kept of a server that left the list.
pub(super) struct Left {
    pub(super) hash: u64,
    pub(super) ready_at: Time,
    pub(super) at: Time,
    /// Its entry of the vector as a multiple of the mean.
    pub(super) share: f64,
    pub(super) average: f64,
    pub(super) budget: f64,
}

pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) stay: u32,
    pub(super) sent: Time,
    pub(super) overdue: bool,
}

/// One request until its last attempt has ended.
#[derive(Default)]
pub(super) struct Request {
    pub(super) class: ClassId,
    pub(super) key: Option<u64>,
    pub(super) work: f64,
    pub(super) hinted: bool,
    /// Work against the typical request, pulled half way to it: waiting does not grow with a request's size.
    pub(super) size: f64,
    pub(super) deadline: Time,
    pub(super) made: u32,
    pub(super) out: Option<Attempt>,
    pub(super) tried: Vec<ServerId>,
    /// Zone, cell and time of the first attempt that may have run.
    pub(super) ran: Option<(ZoneId, u32, Time)>,
    pub(super) answered: bool,
    /// Row in the admission tally.
    pub(super) row: usize,
}

/// Work asked for and served of one class, within or over the tenant's share.
#[derive(Clone, Copy, Default)]
pub(super) struct Tally {
    pub(super) asked: f64,
    pub(super) served: f64,
}

/// The decision maker of one node.
pub struct Balancer {
    pub(super) settings: Settings,
    pub(super) rng: u64,
    pub(super) started: bool,
    pub(super) automaton: Automaton,
    pub(super) servers: Vec<Server>,
    pub(super) slot: Index,
    pub(super) stays: u32,
    pub(super) left: VecDeque<Left>,
    pub(super) requests: BTreeMap<RequestId, Request>,
    /// Typical work by class, and over all classes.
    pub(super) class_work: Vec<f64>,
    pub(super) typical: f64,
    pub(super) tenants: Vec<(f64, Time)>,
    /// Steps between two nodes that are neighbours in the order of parts.
    pub(super) stride: u64,
    /// Requests a second that the tenants may send, by all nodes.
    pub(super) quota: f64,
    /// Requests that came since the last slow sweep, and how many come a second.
    pub(super) came: f64,
    pub(super) arrivals: f64,
    pub(super) retries: f64,
    pub(super) tally: Vec<Tally>,
    pub(super) admit: f64,
    /// The weight of servers outside the zone.
    pub(super) spill: f64,
    /// Share of answers past the aim, inside and outside the zone.
    pub(super) missed: [f64; 2],
    /// More servers fail than ejection may mask: the trouble is common to all.
    pub(super) common: bool,
    /// Mean response when little waits: the least seen, creeping up.
    pub(super) base: f64,
    pub(super) late: f64,
    pub(super) late_at: Time,
    /// Listed servers, a cold one in part.
    pub(super) capacity: f64,
    /// Work delivered a second, and the most a warm server was seen to bear of late.
    pub(super) delivered: f64,
    pub(super) delivered_rate: f64,
    pub(super) bearable: f64,
    pub(super) keys: Vec<f64>,
    pub(super) subscribed: bool,
    pub(super) backoff: f64,
    pub(super) last_sweep: Time,
    pub(super) last_slow: Time,
    pub(super) weights: Vec<f64>,
}

impl Balancer {
    /// SplitMix64, as a fraction.
    pub(super) fn random(&mut self) -> f64 {
        self.rng = self.rng.wrapping_add(0x9e37_79b9_7f4a_7c15);
        fraction(self.rng)
    }

    pub(super) fn shortest(&self, of: impl Fn(&Class) -> Time) -> Time {
        self.settings
            .classes
            .iter()
            .map(of)
            .fold(f64::MAX, f64::min)
    }

    /// Mean of the averages. An ejected server's frozen average would skew every payoff: it leaves the mean.
    pub(super) fn mean(&self, now: Time) -> f64 {
        self.mean_by(now, |_| 1.0)
    }

    /// The same as the draws see it if `weight` is p: the few that answer nothing hardly move it.
    pub(super) fn mean_by(&self, now: Time, weight: impl Fn(f64) -> f64) -> f64 {
        let (mut sum, mut n) = (0.0, 0.0);
        for ((s, a), p) in self
            .servers
            .iter()
            .zip(&self.automaton.average)
            .zip(&self.automaton.p)
        {
            if s.ejected_until <= now {
                sum += weight(*p) * a;
                n += weight(*p);
            }
        }
        // With nothing to average, what a typical request takes.
        [self.typical, sum / n][usize::from(n > 0.0)]
    }

    /// Mean listed size.
    pub(super) fn mean_size(&self) -> f64 {
        self.servers.iter().map(|s| s.entry.weight).sum::<f64>() / self.servers.len() as f64
    }

    pub(super) fn far(&self, i: usize) -> usize {
        usize::from(
            self.settings
                .zone
                .is_some_and(|z| z != self.servers[i].entry.zone),
        )
    }

    /// Where a server stands, if it is listed still and has not left and come back.
    pub(super) fn at(&self, server: ServerId, stay: u32) -> Option<usize> {
        let i = self.slot.get(server)?;
        (self.servers[i].stay == stay).then_some(i)
    }
}

/// A server's listed size against the mean, where the list tells one.
pub(super) fn listed(told: bool, size: f64) -> f64 {
    if told && size.is_finite() {
        size.clamp(0.25, 4.0)
    } else {
        1.0
    }
}
