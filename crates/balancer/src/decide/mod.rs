//! The decision module of a node. Its settings, events and actions are in `crates/balancer/src/interface.rs`.
//!
//! Each node runs one learning automaton (after Yazidi et al.): it samples the server for a request from a probability
//! vector with a floor, and rewards a server for each response that is no slower than the mean of the running averages.
//! The other modules constrain or weight that sampling, and each of them owns its state:
//!
//! | module | responsibility |
//! | --- | --- |
//! | `automaton` | the probability vector and the running averages of response times |
//! | `servers` | the listed servers, and what this node knows about each |
//! | `server_health` | the health of one server |
//! | `selection` | sampling a server: which servers are eligible, and with which weights |
//! | `requests` | a request from its arrival to the end of its last attempt; retries |
//! | `attempts` | learning from attempts that end or are overdue |
//! | `endpoint_list` | updates of the endpoint list |
//! | `departed` | servers that recently left the list |
//! | `subset` | the servers of a long list that this node prefers |
//! | `outlier` | ejection of servers that fail or are slow, and their readmission |
//! | `slow_start` | limits the work sent to servers that have just started |
//! | `work_credit` | the token bucket of a server in its slow start |
//! | `admission` | the fraction of the requests that is admitted, and which requests are shed first |
//! | `tenant_quota` | the quotas of tenants |
//! | `retry_budget` | the limit on retries |
//! | `zone_spill` | the weight of servers in other zones |
//! | `hot_keys` | keys that are too popular for key affinity |
//! | `estimates` | estimates of work and of the arrival rate |
//! | `handover` | the state that one balancer hands over to its successor |

mod admission;
mod attempts;
mod automaton;
mod departed;
mod endpoint_list;
mod estimates;
mod handover;
mod hot_keys;
mod outlier;
mod requests;
mod retry_budget;
mod selection;
mod server_health;
mod servers;
mod slow_start;
mod subset;
mod tenant_quota;
mod work_credit;
mod zone_spill;

pub use self::automaton::Automaton;

use self::admission::Admission;
use self::departed::DepartedServers;
use self::endpoint_list::Watch;
use self::estimates::{ArrivalRate, WorkEstimates};
use self::hot_keys::KeyCounts;
use self::outlier::FaultScope;
use self::requests::Request;
use self::retry_budget::RetryBudget;
use self::servers::ServerTable;
use self::slow_start::SustainedWork;
use self::subset::Subset;
use self::tenant_quota::TenantQuotas;
use self::zone_spill::ZoneSpill;
use crate::interface::{Action, Discovery, Event, RequestId, Settings, Time};
use crate::random::SplitMix64;
use crate::settings::{check, SettingsError};
use std::collections::BTreeMap;

/// Tag of the timer of the periodic sweep.
const SWEEP_TIMER: u64 = 0;
/// Tag of the timer that restarts the watch of the endpoint list.
const WATCH_TIMER: u64 = 1;

/// Relative growth of the unloaded response time, per second: when all servers become slower, it catches up within a
/// minute.
const UNLOADED_RESPONSE_GROWTH: f64 = 0.01;
/// Time constant of the exponential decay of counters, in seconds.
const COUNTER_DECAY_TIME: Time = 5.0;
/// The longest interval between two updates of rates and counters, in seconds.
const MAX_COUNTER_INTERVAL: Time = 1.0;
/// Number of sweeps per shortest latency objective.
const SWEEPS_PER_OBJECTIVE: f64 = 3.0;
/// The first poll is delayed by a random time of up to the poll interval divided by this, as all nodes may start at
/// once.
const FIRST_POLL_DIVISOR: f64 = 5.0;

/// The shortest latency objective and the shortest deadline of all classes, in seconds.
#[derive(Clone, Copy, Debug)]
struct StrictestTimes {
    latency_objective: Time,
    deadline: Time,
}

impl StrictestTimes {
    fn of(settings: &Settings) -> Self {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        StrictestTimes {
            latency_objective: objectives.fold(f64::MAX, f64::min),
            deadline: deadlines.fold(f64::MAX, f64::min),
        }
    }
}

/// Decides for one node where requests are sent, and which are retried or rejected.
pub struct Balancer {
    settings: Settings,
    strictest: StrictestTimes,
    random: SplitMix64,
    is_started: bool,
    automaton: Automaton,
    servers: ServerTable,
    departed: DepartedServers,
    subset: Subset,
    watch: Watch,
    requests: BTreeMap<RequestId, Request>,
    work: WorkEstimates,
    arrivals: ArrivalRate,
    quotas: TenantQuotas,
    retry_budget: RetryBudget,
    admission: Admission,
    zone_spill: ZoneSpill,
    fault_scope: FaultScope,
    sustained_work: SustainedWork,
    key_counts: KeyCounts,
    /// Mean response time of servers with short queues, in seconds: the lowest mean observed, which rises slowly.
    unloaded_response: Time,
    last_sweep: Time,
    last_counter_update: Time,
    /// Weights of the last selection, kept to reuse the allocation.
    selection_weights: Vec<f64>,
}

impl Balancer {
    /// Creates a balancer for one incarnation of a node; `seed` determines its random choices.
    ///
    /// # Errors
    /// If the settings are invalid.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        check(&settings, now)?;
        let strictest = StrictestTimes::of(&settings);
        let first_estimate = strictest.latency_objective / 4.0;
        let quotas = TenantQuotas::new(&settings.tenants, now);
        Ok(Balancer {
            strictest,
            random: SplitMix64::new(seed),
            is_started: false,
            automaton: Automaton::default(),
            servers: ServerTable::default(),
            departed: DepartedServers::default(),
            subset: Subset::new(
                settings.node_count,
                settings.node_index,
                quotas.total_rate(),
            ),
            watch: Watch::default(),
            requests: BTreeMap::new(),
            work: WorkEstimates::new(settings.classes.len(), first_estimate),
            arrivals: ArrivalRate::default(),
            quotas,
            retry_budget: RetryBudget::default(),
            admission: Admission::new(settings.classes.len(), now),
            zone_spill: ZoneSpill::default(),
            fault_scope: FaultScope::default(),
            sustained_work: SustainedWork::default(),
            key_counts: KeyCounts::default(),
            unloaded_response: first_estimate,
            last_sweep: now,
            last_counter_update: now,
            selection_weights: Vec::new(),
            settings,
        })
    }

    /// The automaton, for inspection.
    pub fn automaton(&self) -> &Automaton {
        &self.automaton
    }

    /// Handles one event and appends the actions that the node has to take.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if !now.is_finite() {
            return;
        }
        if !self.is_started {
            self.start(actions);
        }
        match event {
            Event::EndpointUpdate { kind, endpoints } => {
                self.update_endpoints(now, kind, endpoints, actions);
            }
            Event::Request {
                request,
                class,
                tenant,
                work_hint,
                key,
                remaining,
            } => {
                let arrival = requests::Arrival {
                    class,
                    tenant,
                    work_hint,
                    key,
                    remaining,
                };
                self.handle_request(now, request, arrival, actions);
            }
            Event::AttemptEnded {
                request,
                attempt,
                server,
                outcome,
                request_ended,
                ..
            } => {
                let end = requests::AttemptEnd {
                    attempt,
                    server,
                    outcome,
                    request_ended,
                };
                self.handle_attempt_end(now, request, end, actions);
            }
            Event::Upload { request, remaining } => self.handle_upload(now, request, remaining),
            Event::PeerVerdict {
                server,
                until,
                is_prober,
            } => {
                self.servers.set_peer_verdict(now, server, until, is_prober);
            }
            Event::PeerReadmission { server } => self.readmit(now, server),
            Event::ResponseStarted { request, .. } | Event::ClientGone { request } => {
                self.end_request(request);
            }
            Event::Timer { tag } => self.handle_timer(now, tag, actions),
            Event::HealthChecked { .. } => {}
        }
    }

    fn handle_timer(&mut self, now: Time, tag: u64, actions: &mut Vec<Action>) {
        match tag {
            SWEEP_TIMER => self.sweep(now, actions),
            WATCH_TIMER if !self.watch.is_active() => actions.push(Action::Watch),
            _ => {}
        }
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.is_started = true;
        let after = self.sweep_interval() * (0.5 + self.random.fraction());
        actions.push(Action::StartTimer {
            after,
            tag: SWEEP_TIMER,
        });
        if self.settings.discovery == Discovery::Poll {
            let max_interval = self.settings.rules.max_poll_interval;
            let after = self.random.fraction() * max_interval / FIRST_POLL_DIVISOR;
            actions.push(Action::StartTimer {
                after,
                tag: WATCH_TIMER,
            });
        }
    }

    fn sweep_interval(&self) -> Time {
        let interval = self.strictest.latency_objective / SWEEPS_PER_OBJECTIVE;
        interval.max(self.settings.clock_resolution)
    }

    /// Updates admission, penalizes overdue attempts and refills slow start credit, periodically.
    fn sweep(&mut self, now: Time, actions: &mut Vec<Action>) {
        actions.push(Action::StartTimer {
            after: self.sweep_interval(),
            tag: SWEEP_TIMER,
        });
        let elapsed = (now - self.last_sweep).max(0.0);
        self.last_sweep = now;
        self.admission.recover(elapsed, self.strictest.deadline);
        self.admission
            .set_capacity(self.servers.capacity(&self.settings.rules, now));
        self.fault_scope.update(&self.servers);
        self.penalize_overdue_attempts(now);
        self.refill_slow_start_credit(now, elapsed);
        let counter_interval = (2.0 * self.strictest.deadline).min(MAX_COUNTER_INTERVAL);
        if now - self.last_counter_update >= counter_interval {
            self.update_counters(now);
        }
    }

    /// Updates rates and counters, which need less frequent updates than the rest of [`Self::sweep`].
    fn update_counters(&mut self, now: Time) {
        let elapsed = now - self.last_counter_update;
        self.last_counter_update = now;
        let retained = (-elapsed / COUNTER_DECAY_TIME).exp();
        self.admission.decay(retained);
        self.key_counts.decay(retained);
        self.arrivals.update(elapsed);
        let warm = self.servers.warm_count(&self.settings.rules, now);
        let traffic_fraction = self.traffic_fraction();
        self.sustained_work
            .update(elapsed, retained, traffic_fraction, warm);
        self.zone_spill
            .update(elapsed, self.settings.costs.cross_zone);
        let mean = self.mean_response(now);
        self.unloaded_response = if mean < self.unloaded_response {
            mean
        } else {
            self.unloaded_response * (1.0 + UNLOADED_RESPONSE_GROWTH * elapsed)
        };
    }

    /// This node's fraction of the traffic of all nodes: at least an equal share, and more if its arrival rate is a
    /// larger fraction of all quotas, as it is when other nodes are down.
    fn traffic_fraction(&self) -> f64 {
        let equal_fraction = 1.0 / f64::from(self.settings.node_count);
        let total_rate = self.quotas.total_rate();
        if total_rate > 0.0 {
            (self.arrivals.per_second() / total_rate).clamp(equal_fraction, 1.0)
        } else {
            equal_fraction
        }
    }

    /// Returns the mean of the running averages of response times, in seconds. Ejected servers are left out: their
    /// averages are not updated and would distort every comparison.
    fn mean_response(&self, now: Time) -> Time {
        self.weighted_mean_response(now, |_, _| 1.0)
    }

    /// Returns the same mean weighted by the probabilities of the servers, as the sampling sees it.
    fn sampled_mean_response(&self, now: Time) -> Time {
        self.weighted_mean_response(now, |_, probability| probability)
    }

    /// Returns the same mean with a weight for each server, computed from its position and probability.
    fn weighted_mean_response(&self, now: Time, weight: impl Fn(usize, f64) -> f64) -> Time {
        let mut sum = 0.0;
        let mut total_weight = 0.0;
        let entries = self
            .automaton
            .mean_response
            .iter()
            .zip(&self.automaton.probability);
        let servers = self.servers.iter().zip(entries).enumerate();
        for (position, (server, (mean_response, probability))) in servers {
            if !server.health.is_ejected(now) {
                let weight = weight(position, *probability);
                sum += weight * mean_response;
                total_weight += weight;
            }
        }
        if total_weight > 0.0 {
            sum / total_weight
        } else {
            self.work.typical()
        }
    }
}
