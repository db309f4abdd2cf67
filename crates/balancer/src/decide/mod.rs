//! Every decision of a node. The types, events and actions are in `crates/balancer/src/interface.rs`.
//!
//! One learning automaton a node, after Yazidi et al.: a request's server is drawn from the vector `p`; an
//! answer no slower than the mean of the averages pays off and moves `p` towards the server that gave it.
//! Everything else is an exception around that draw, a function of its own with its condition stated.

mod admission;
mod automaton;
mod cold;
mod draw;
mod health;
mod list;
mod part;
mod request;
mod state;

pub use self::automaton::Automaton;
pub use self::state::Balancer;

use self::admission::{ADMIT_MIN, HEADROOM};
use self::cold::COLD_PRIOR;
use self::list::{LEFT_FOR, LEFT_MOST};
use self::request::SAVED_LEAST;
use self::state::*;
use crate::chance::stride;
use crate::index::Index;
use crate::interface::*;
use crate::settings::{check, SettingsError};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// How fast the unloaded response may rise a second, so that a slower fleet becomes the rule in a minute; and
/// how fast it is forgotten what servers were seen to bear.
const BASE_CREEP: f64 = 0.01;
/// How fast the weight of servers outside the zone follows what crossing gains: by which part a second for a
/// gain of one request in time.
const SPILL_PACE: f64 = 7.0;

impl Balancer {
    /// Makes a balancer for one life of a node.
    ///
    /// # Errors
    /// Says which setting cannot be used.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        check(&settings, now)?;
        let n = settings.classes.len();
        let first_guess = settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .fold(f64::MAX, f64::min)
            / 4.0;
        Ok(Balancer {
            rng: seed,
            started: false,
            automaton: Automaton::default(),
            servers: Vec::new(),
            slot: Index::default(),
            stays: 0,
            left: VecDeque::new(),
            requests: BTreeMap::new(),
            class_work: vec![first_guess; n],
            typical: first_guess,
            tenants: vec![(f64::NAN, now); settings.tenants.len()],
            stride: stride(u64::from(settings.node_count)),
            quota: settings.tenants.iter().map(|t| t.quota.max(0.0)).sum(),
            came: 0.0,
            arrivals: 0.0,
            retries: SAVED_LEAST,
            tally: vec![Tally::default(); 2 * n],
            admit: HEADROOM,
            spill: 1.0,
            missed: [0.0; 2],
            common: false,
            base: first_guess,
            capacity: 0.0,
            late: 0.0,
            late_at: now,
            delivered: 0.0,
            delivered_rate: 0.0,
            bearable: COLD_PRIOR,
            keys: vec![0.0; KEY_SLOTS],
            subscribed: false,
            backoff: 1.0,
            last_sweep: now,
            last_slow: now,
            weights: Vec::new(),
            settings,
        })
    }

    /// For inspection.
    pub fn automaton(&self) -> &Automaton {
        &self.automaton
    }

    /// What it has learned.
    pub fn learned(&self, now: Time) -> LearnedState {
        let r = self.servers.len() as f64;
        let of = |(i, s): (usize, &Server)| LearnedServer {
            hash: s.entry.hash,
            started_at: s.entry.started_at,
            relative_probability: self.automaton.p[i] * r,
            mean_response: self.automaton.average[i],
            slow_start_credit: s.budget,
            ejected_for: (s.ejected_until - now).max(0.0),
        };
        LearnedState {
            servers: self.servers.iter().enumerate().map(of).collect(),
            class_work: self.class_work.clone(),
            typical_work: self.typical,
            unloaded_response: self.base,
            sustainable_work_rate: self.bearable,
            admitted_share: self.admit.min(1.0),
            zone_spill_weight: self.spill,
        }
    }

    /// Begins with what another has learned, after the first list. Figures that can be none are left.
    pub fn adopt(&mut self, now: Time, learned: &LearnedState) {
        let fine = |x: f64| x.is_finite() && x > 0.0;
        let r = self.servers.len() as f64;
        // Zeros of either sign are equal.
        let start = |hash: u64, ready_at: Time| (hash, (ready_at + 0.0).to_bits());
        let starts = self.servers.iter().enumerate().rev();
        let places: HashMap<_, _> = starts
            .map(|(i, s)| (start(s.entry.hash, s.entry.started_at), i))
            .collect();
        for l in learned.servers.iter().filter(|l| {
            fine(l.relative_probability) && fine(l.mean_response) && l.slow_start_credit.is_finite()
        }) {
            let LearnedServer {
                hash,
                started_at: ready_at,
                relative_probability: share,
                mean_response: average,
                slow_start_credit: budget,
                ejected_for: out_for,
            } = *l;
            match places.get(&start(hash, ready_at)).copied() {
                Some(i) => {
                    (self.automaton.p[i], self.automaton.average[i]) = (share / r, average);
                    let s = &mut self.servers[i];
                    s.budget = s.budget.min(budget);
                    s.ejected_until = now + out_for.clamp(0.0, LEFT_FOR);
                }
                None if self.left.len() < LEFT_MOST => {
                    self.left.push_back(Left {
                        hash,
                        ready_at,
                        at: now,
                        share,
                        average,
                        budget,
                    });
                }
                None => {}
            }
        }
        self.automaton.settle();
        if learned.class_work.len() == self.class_work.len()
            && learned.class_work.iter().all(|w| fine(*w))
        {
            self.class_work.clone_from(&learned.class_work);
        }
        let figures = [
            (&mut self.typical, learned.typical_work),
            (&mut self.base, learned.unloaded_response),
            (&mut self.bearable, learned.sustainable_work_rate),
        ];
        figures
            .into_iter()
            .filter(|(_, new)| fine(*new))
            .for_each(|(old, new)| *old = new);
        self.admit = if fine(learned.admitted_share) {
            learned.admitted_share.clamp(ADMIT_MIN, 1.0)
        } else {
            1.0
        };
        self.spill = if fine(learned.zone_spill_weight) {
            learned.zone_spill_weight.clamp(SPILL_MIN, 1.0)
        } else {
            SPILL_MIN
        };
    }

    /// Takes one event and appends what the node has to do about it.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if !now.is_finite() {
            return;
        }
        if !self.started {
            self.start(actions);
        }
        match event {
            Event::EndpointUpdate {
                kind: list,
                endpoints: entries,
            } => self.members(now, list, entries, actions),
            Event::Request {
                request,
                class,
                tenant,
                work_hint: hint,
                key,
                remaining: left,
            } => self.arrive(now, request, class, tenant, hint, key, left, actions),
            Event::AttemptEnded {
                request,
                attempt,
                server,
                outcome,
                request_ended: ended,
                ..
            } => self.outcome(now, request, attempt, server, outcome, ended, actions),
            Event::Upload {
                request,
                remaining: left,
            } => self.upload(now, request, left),
            Event::PeerVerdict {
                server,
                until,
                is_prober: tries,
            } => self.told(server, until, tries),
            Event::ResponseStarted { request, .. } | Event::ClientGone { request } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.answered = true;
                    if r.out.is_none() {
                        self.requests.remove(&request);
                    }
                }
            }
            Event::Timer { tag: SWEEP } => self.sweep(now, actions),
            Event::Timer { tag: WATCH } if !self.subscribed => actions.push(Action::Watch),
            Event::Timer { .. } | Event::HealthChecked { .. } => {}
        }
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.started = true;
        let after = self.sweep_period() * (0.5 + self.random());
        actions.push(Action::StartTimer { after, tag: SWEEP });
        if self.settings.discovery == Discovery::Poll {
            // All nodes start together; a fifth of the time in which they must ask spreads their calls.
            let after = self.random() * self.settings.rules.max_poll_interval / 5.0;
            actions.push(Action::StartTimer { after, tag: WATCH });
        }
    }

    fn sweep(&mut self, now: Time, actions: &mut Vec<Action>) {
        actions.push(Action::StartTimer {
            after: self.sweep_period(),
            tag: SWEEP,
        });
        let dt = (now - self.last_sweep).max(0.0);
        self.last_sweep = now;
        self.regain(dt);
        self.foresee(now);
        self.common =
            self.servers.iter().filter(|s| s.failing && !s.dead).count() as f64 > self.ejectable();
        self.charge_overdue(now);
        self.refill_cold(now, dt);
        if now - self.last_slow >= 2.0 * self.shortest(|c| c.deadline).min(0.5) {
            self.slow_sweep(now);
        }
    }

    fn sweep_period(&self) -> Time {
        (self.shortest(|c| c.latency_objective) / 3.0).max(self.settings.clock_resolution)
    }

    /// What needs no haste: rates, tallies, the zone's spill, kin.
    fn slow_sweep(&mut self, now: Time) {
        let dt = now - self.last_slow;
        self.last_slow = now;
        let keep = (-dt / 5.0).exp();
        for t in &mut self.tally {
            t.asked *= keep;
            t.served *= keep;
        }
        self.keys.iter_mut().for_each(|k| *k *= keep);
        let rate = self.came / dt;
        self.came = 0.0;
        self.arrivals = if self.arrivals > 0.0 {
            self.arrivals + 0.2 * (rate - self.arrivals)
        } else {
            rate
        };
        self.delivered_rate += (1.0 - keep) * (self.delivered / dt - self.delivered_rate);
        self.delivered = 0.0;
        let warm = self
            .servers
            .iter()
            .filter(|s| self.warmth(s, now) >= 1.0)
            .count()
            .max(1);
        // Guards against one busy second, and against the traffic of nodes that died, being taken for what
        // servers bear for ever. Harm: after a quiet hour, a cold server is sent less than it could do.
        let borne = self.delivered_rate / self.traffic_part() / warm as f64;
        self.bearable = borne
            .max(self.bearable * (1.0 - BASE_CREEP * dt))
            .max(COLD_PRIOR);
        let gain = self.missed[0] - self.missed[1] - self.settings.costs.cross_zone;
        self.spill = (self.spill * (SPILL_PACE * gain * dt).exp()).clamp(SPILL_MIN, 1.0);
        let mean = self.mean(now);
        self.base = if mean < self.base {
            mean
        } else {
            self.base * (1.0 + BASE_CREEP * dt)
        };
    }
}
