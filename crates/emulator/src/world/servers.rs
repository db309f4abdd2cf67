//! Servers: execution of attempts, load in slow start, and announcements of the endpoint list.

use super::model::{Event, NodeId};
use super::{World, START};
use crate::plan::{Plan, ServerBehavior};
use crate::server::{AttemptId, Server, SlowStartLoad, State};
use crate::streams::sample_lognormal;
use crate::violations::Rule;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use reelfall_balancer::interface::{
    Endpoint, Idempotency, MachineTypeId, Outcome, ServerId, ServerState, ZoneId,
};

/// Coefficient of variation of the work of an attempt around that of its request.
const ATTEMPT_VARIATION: f64 = 0.3;
/// Work in a queue beyond which it counts as long, in seconds of the server's capacity.
const LONG_QUEUE: f64 = 0.3;
/// Minimum fraction of the work from nodes that knew when the server had started, for an overload to violate the rule.
const INFORMED_FRACTION: f64 = 2.0 / 3.0;

impl World {
    /// Handles the arrival of an attempt at its server.
    pub(super) fn receive_attempt(&mut self, id: AttemptId) {
        let now = self.queue.now();
        let attempt = &self.attempts[id];
        let (node, server_id) = (attempt.node, attempt.server);
        let (client_attempt, is_new) = (attempt.client_attempt, attempt.is_new_connection);
        let incarnation = attempt.server_incarnation;
        let latency = self.latency(node, server_id);
        let is_partitioned = self.is_partitioned(node, server_id);
        let server = &self.servers[server_id as usize];
        if server.incarnation != incarnation || server.state != State::Up || is_partitioned {
            // An ended server resets the connection; an unreachable one sends nothing.
            if server.state != State::Lost && !is_partitioned {
                let event = Event::AttemptEnded(id, Outcome::ConnectionLost);
                self.queue.schedule(now + latency, event);
            }
            return;
        }
        let connection_work = if is_new {
            self.plan.connection_work
        } else {
            0.0
        };
        let work = self.client_attempts[client_attempt].work + connection_work;
        self.add_load(node, server_id, work);
        let server = &mut self.servers[server_id as usize];
        if server.state != State::Up || server.behavior == ServerBehavior::Unresponsive {
            return;
        }
        if server.behavior == ServerBehavior::Failing {
            self.client_attempts[client_attempt].executions += 1;
            self.queue
                .schedule(now + latency, Event::AttemptEnded(id, Outcome::Error));
        } else if server.queue.len() >= server.queue_capacity {
            self.queue
                .schedule(now + latency, Event::AttemptEnded(id, Outcome::Rejected));
        } else {
            server.queue.push_back(id);
            self.run_next(server_id);
        }
    }

    /// Whether a partition separates a node from a server.
    pub(super) fn is_partitioned(&self, node: NodeId, server: ServerId) -> bool {
        let node_zone = self.nodes[node].zone;
        let server_zone = self.servers[server as usize].endpoint.zone;
        let zone = self.partition.value;
        self.queue.now() < self.partition.until
            && node_zone != server_zone
            && (node_zone == zone || server_zone == zone)
    }

    /// Adds work to the load of a server; an overload in slow start ends the server.
    fn add_load(&mut self, node: NodeId, id: ServerId, work: f64) {
        let now = self.queue.now();
        let server = &mut self.servers[id as usize];
        let known = self.nodes[node].endpoints.get(&id);
        let started_at = server.endpoint.started_at;
        let knew = known.is_some_and(|endpoint| endpoint.started_at == started_at);
        let capacity = server.capacity(now, &self.plan);
        let load = server.receive(now, work, knew, &self.plan);
        let work_of = |id: &AttemptId| {
            let attempt = &self.attempts[*id];
            self.client_attempts[attempt.client_attempt].work
        };
        let queued: f64 = server.queue.iter().map(work_of).sum();
        if queued > LONG_QUEUE * capacity {
            self.report.second_at(now - START).work_to_long_queues += work;
        }
        self.check_slow_start_load(id, load);
    }

    fn check_slow_start_load(&mut self, id: ServerId, load: SlowStartLoad) {
        let violations = &mut self.report.violations;
        let is_informed = load.informed_fraction >= INFORMED_FRACTION;
        if is_informed {
            violations.max_slow_start_load = violations.max_slow_start_load.max(load.factor);
        }
        if load.factor > self.plan.overload.factor {
            if is_informed {
                let now = self.queue.now();
                violations.record(now, Rule::OverloadedDuringSlowStart, id as usize);
            }
            self.end_server(id, State::Ended);
        }
    }

    /// Starts to execute the next attempt of the queue, if the server is idle.
    fn run_next(&mut self, id: ServerId) {
        let now = self.queue.now();
        let server = &mut self.servers[id as usize];
        if server.running.is_some() {
            return;
        }
        let Some(attempt_id) = server.queue.pop_front() else {
            return;
        };
        server.running = Some(attempt_id);
        let attempt = &self.attempts[attempt_id];
        let request = &mut self.client_attempts[attempt.client_attempt];
        request.executions += 1;
        let class = &self.plan.classes[request.class];
        if request.executions > 1 && class.idempotency == Idempotency::AtMostOnce {
            let violations = &mut self.report.violations;
            violations.record(now, Rule::RepeatedEffect, attempt.client_attempt);
        }
        let mut work = sample_lognormal(&mut self.work_random, request.work, ATTEMPT_VARIATION);
        work += if attempt.is_new_connection {
            self.plan.connection_work
        } else {
            0.0
        };
        server.work_done += work;
        let work_time = work * self.common_slowdown / server.capacity_with_queue(now, &self.plan);
        let done_at = server.completion_time(now, work_time);
        let incarnation = server.incarnation;
        let event = Event::WorkCompleted {
            server: id,
            incarnation,
            attempt: attempt_id,
        };
        self.queue.schedule(done_at, event);
    }

    /// Completes the work of an attempt and sends the response, which may be lost.
    pub(super) fn complete_work(&mut self, id: ServerId, incarnation: u32, attempt: AttemptId) {
        let server = &mut self.servers[id as usize];
        if server.incarnation != incarnation || server.running != Some(attempt) {
            return;
        }
        server.running = None;
        let is_unresponsive = server.behavior == ServerBehavior::Unresponsive;
        let now = self.queue.now();
        let node = self.attempts[attempt].node;
        let latency = self.latency(node, id);
        let is_lost = now < self.lost_responses.until
            && self.network_random.random::<f64>() < self.lost_responses.value;
        if !is_unresponsive && !self.is_partitioned(node, id) {
            let outcome = if is_lost {
                Outcome::ConnectionLost
            } else {
                Outcome::Served
            };
            self.queue
                .schedule(now + latency, Event::AttemptEnded(attempt, outcome));
        }
        self.run_next(id);
    }

    /// Ends a server or makes it unreachable. If it ends, its attempts lose their connections.
    pub(super) fn end_server(&mut self, id: ServerId, state: State) {
        let now = self.queue.now();
        self.servers[id as usize].end(state);
        if state != State::Ended {
            return;
        }
        let is_lost = |attempt: &&AttemptId| {
            let attempt = &self.attempts[**attempt];
            attempt.server == id && attempt.is_connected
        };
        let lost: Vec<AttemptId> = self.in_flight.iter().filter(is_lost).copied().collect();
        let at = now + self.plan.latency.cross_zone;
        for attempt in lost {
            self.queue
                .schedule(at, Event::AttemptEnded(attempt, Outcome::ConnectionLost));
        }
    }

    /// Announces a state of a server in the endpoint list. The notification delay differs between nodes but is constant for
    /// each, so that a node receives changes in order.
    pub(super) fn announce(&mut self, id: ServerId, state: ServerState) {
        let from = self.queue.now().max(self.discovery_outage_until);
        let endpoint = &mut self.servers[id as usize].endpoint;
        endpoint.state = state;
        let endpoint = endpoint.clone();
        for (node, notified) in self.nodes.iter().enumerate() {
            let delay = self.plan.notification_delay * (1.0 + notified.lateness);
            self.queue
                .schedule(from + delay, Event::EndpointChanged(node, endpoint.clone()));
        }
    }
}

/// Creates a server with sampled machine type, zone, speed and queue capacity.
pub(super) fn make_server(plan: &Plan, random: &mut Pcg64Mcg, id: usize) -> Server {
    let mut point = random.random::<f64>();
    let machine_type = plan.machine_types.iter().position(|machine_type| {
        point -= machine_type.server_fraction;
        point < 0.0
    });
    let index = machine_type.unwrap_or(0);
    let (min, max) = (*plan.queue_capacity.start(), *plan.queue_capacity.end());
    let queue_capacity = random.random_range(min..=max.max(min));
    let Some(machine_type) = plan.machine_types.get(index) else {
        return Server::new(make_endpoint(id, 0, 0, 1.0, random), 1.0, queue_capacity);
    };
    let zone = u16::from(random.random::<f64>() >= plan.first_zone.servers);
    let (slowest, fastest) = (*machine_type.speed.start(), *machine_type.speed.end());
    let speed = slowest + (fastest - slowest) * random.random::<f64>();
    let weight = machine_type.listed_weight;
    let endpoint = make_endpoint(id, zone, index as MachineTypeId, weight, random);
    Server::new(endpoint, speed, queue_capacity)
}

fn make_endpoint(
    id: usize,
    zone: ZoneId,
    machine_type: MachineTypeId,
    weight: f64,
    random: &mut Pcg64Mcg,
) -> Endpoint {
    Endpoint {
        server: id as ServerId,
        hash: random.random(),
        zone,
        machine_type,
        cell: 0,
        state: ServerState::Up,
        weight,
        started_at: 0.0,
        local_balancers: 1,
    }
}
