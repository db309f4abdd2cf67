//! Sampling a server for an attempt. The automaton's probabilities are multiplied by weights for load, health, speed
//! and zone, and by 0 for servers that must not be used; the server is sampled from the products.

use super::requests::Request;
use super::servers::{relative_size, Server};
use super::slow_start::probability_factor;
use super::Balancer;
use crate::interface::{Idempotency, KeyScope, RequestId, Settings, Time};
use crate::random::{rendezvous, sample};

/// The weight of a server falls with this power of the number of attempts that this node has in flight there. The
/// probability vector reflects a queue only after the responses that waited in it have arrived.
const LOAD_EXPONENT: i32 = 8;
/// The weight of a server rises with this power of its speed relative to the mean.
const SPEED_EXPONENT: i32 = 2;
/// The relative speed of a server is limited to this factor, and to its inverse.
const MAX_SPEED_FACTOR: f64 = 3.0;
/// The running average of a server that has been sent no attempt for this time, in seconds, no longer lowers its
/// weight.
const AVERAGE_VALIDITY: Time = 2.0;
/// The weight of a server that returns from ejection, until its first good response.
const RETURNING_WEIGHT: f64 = 0.3;
/// The weight of an unproven server for requests that can't be retried, if requests of other classes can be.
const UNPROVEN_WEIGHT: f64 = 0.2;

/// Which weights apply to the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Eligibility {
    /// All weights.
    Preferred,
    /// Only those that must not be ignored: the probability, slow start, and the scope of an idempotency key.
    Permitted,
}

/// The inputs that the weights of all servers depend on.
struct Selection<'a> {
    settings: &'a Settings,
    request: &'a Request,
    now: Time,
    /// Typical work of a request, in seconds on a standard core.
    typical_work: f64,
    mean_weight: f64,
    mean_response: Time,
    /// Weight of servers in other zones.
    spill_weight: f64,
    /// More servers fail than may be ejected, so that the cause is not the servers' own.
    is_fault_common: bool,
    /// The request can be repeated anywhere.
    is_idempotent: bool,
    /// The request can't be retried, and requests of another class can.
    needs_proven_server: bool,
}

impl Selection<'_> {
    /// The weighted probability of a server; the results do not sum to 1.
    fn weight(
        &self,
        server: &Server,
        probability: f64,
        mean_response: Time,
        eligibility: Eligibility,
    ) -> f64 {
        let mut weight = if self.may_repeat_at(server) {
            let (work, typical) = (self.request.work, self.typical_work);
            let rules = &self.settings.rules;
            probability * probability_factor(server, rules, self.now, work, typical)
        } else {
            0.0
        };
        if eligibility == Eligibility::Preferred {
            let load = load_weight(server, self.settings.has_server_weights, self.mean_weight);
            weight *= self.health_weight(server) * load * self.speed_weight(server, mean_response);
            weight *= self.zone_weight(server);
        }
        weight
    }

    /// Whether a server discards a repeat of the request, if the request has an idempotency key and may have run.
    fn may_repeat_at(&self, server: &Server) -> bool {
        let class = &self.settings.classes[usize::from(self.request.class)];
        let (Idempotency::Keyed { scope, .. }, Some(first)) =
            (class.idempotency, self.request.first_execution)
        else {
            return true;
        };
        match scope {
            KeyScope::All => true,
            KeyScope::Zone => server.endpoint.zone == first.zone,
            KeyScope::Cell => server.endpoint.cell == first.cell,
        }
    }

    fn health_weight(&self, server: &Server) -> f64 {
        let health = &server.health;
        // A prober checks the server for all nodes, also for itself.
        let is_probe = health.is_probing(self.now) && self.is_idempotent;
        let is_ejected = health.is_ejected(self.now) && !is_probe;
        if is_ejected
            || server.load.overdue > 0
            || health.is_blocked_by_peers(self.now)
            || self.request.tried_servers.contains(&server.endpoint.server)
        {
            return 0.0;
        }
        let is_excused = self.is_fault_common && !health.is_unreachable;
        let has_failed = health.is_failing && !is_excused;
        if health.has_peer_verdict(self.now) || has_failed {
            // Trials: one attempt at a time, and only of requests that can be retried.
            let is_allowed = !self.needs_proven_server && server.load.in_flight == 0;
            return if is_allowed { RETURNING_WEIGHT } else { 0.0 };
        }
        if self.needs_proven_server && !health.is_proven {
            UNPROVEN_WEIGHT
        } else {
            1.0
        }
    }

    /// Whether the request may be used for a trial that is due at the server.
    fn may_be_trial(&self, server: &Server) -> bool {
        server.health.awaits_trial() && self.is_idempotent
    }

    fn speed_weight(&self, server: &Server, mean_response: Time) -> f64 {
        let is_average_valid = self.now - server.load.last_sent_at < AVERAGE_VALIDITY;
        let min = if is_average_valid { 0.0 } else { 1.0 };
        speed_weight(self.mean_response / mean_response).max(min)
    }

    fn zone_weight(&self, server: &Server) -> f64 {
        let is_remote = self
            .settings
            .zone
            .is_some_and(|zone| zone != server.endpoint.zone);
        if is_remote {
            self.spill_weight
        } else {
            1.0
        }
    }
}

impl Balancer {
    /// Samples a server for an attempt of a request and returns its position. If all weights exclude every server, only
    /// the weights that must not be ignored apply.
    pub(super) fn select_server(&mut self, now: Time, id: RequestId) -> Option<usize> {
        let random = self.random.fraction();
        let mean_response = self.sampled_mean_response(now);
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[usize::from(request.class)];
        let selection = Selection {
            settings: &self.settings,
            request,
            now,
            typical_work: self.work.typical(),
            mean_weight: self.servers.mean_weight(),
            mean_response,
            spill_weight: self.zone_spill.weight(),
            is_fault_common: self.fault_scope.is_common(),
            is_idempotent: class.idempotency == Idempotency::Idempotent,
            needs_proven_server: needs_proven_server(&self.settings, request),
        };
        for eligibility in [Eligibility::Preferred, Eligibility::Permitted] {
            self.selection_weights.clear();
            let mut total = 0.0;
            let mut awaiting_trial = None;
            let entries = self
                .automaton
                .probability
                .iter()
                .zip(&self.automaton.mean_response);
            for (server, (probability, mean_response)) in self.servers.iter().zip(entries) {
                let weight = selection.weight(server, *probability, *mean_response, eligibility);
                total += weight;
                if weight > 0.0 && selection.may_be_trial(server) {
                    awaiting_trial = Some(self.selection_weights.len());
                }
                self.selection_weights.push(weight);
            }
            if eligibility == Eligibility::Preferred && awaiting_trial.is_some() {
                return awaiting_trial;
            }
            if total > 0.0 {
                let key = self.affinity_key(request);
                return self.sample(key, random * total);
            }
        }
        None
    }

    /// The affinity key of a request, by which it is sent to the same server each time, unless the key is hot.
    fn affinity_key(&self, request: &Request) -> Option<u64> {
        let key = request.key.filter(|_| self.settings.has_key_affinity)?;
        let eligible = self
            .selection_weights
            .iter()
            .filter(|weight| **weight > 0.0)
            .count();
        (!self.key_counts.is_hot(key, eligible)).then_some(key)
    }

    fn sample(&self, key: Option<u64>, point: f64) -> Option<usize> {
        let weights = &self.selection_weights;
        match key {
            Some(key) => {
                let hashes = self.servers.iter().map(|server| server.endpoint.hash);
                rendezvous(key, hashes.zip(weights.iter().copied()))
            }
            None => sample(weights, point),
        }
    }
}

/// Whether a request should go to a proven server: it can't be retried, and requests of another class can.
fn needs_proven_server(settings: &Settings, request: &Request) -> bool {
    let is_idempotent = |idempotency| idempotency == Idempotency::Idempotent;
    let class = &settings.classes[usize::from(request.class)];
    !is_idempotent(class.idempotency)
        && settings
            .classes
            .iter()
            .any(|other| is_idempotent(other.idempotency))
}

/// The weight of a server for its load: the attempts that this node has in flight there, relative to its size.
fn load_weight(server: &Server, has_server_weights: bool, mean_weight: f64) -> f64 {
    let size = relative_size(has_server_weights, server.endpoint.weight / mean_weight);
    (1.0 + f64::from(server.load.in_flight) / size).powi(-LOAD_EXPONENT)
}

/// The weight of a server for its speed: the mean response time divided by its own.
fn speed_weight(speed: f64) -> f64 {
    if speed.is_finite() {
        speed
            .clamp(1.0 / MAX_SPEED_FACTOR, MAX_SPEED_FACTOR)
            .powi(SPEED_EXPONENT)
    } else {
        1.0
    }
}
