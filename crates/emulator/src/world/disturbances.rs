//! Executes the disturbances of the plan.

use super::model::{ClientAttempt, Event, NodeId, NodeIncarnation, RestartWindow};
use super::servers::make_server;
use super::{Until, World};
use crate::plan::{Disturbance, ServerBehavior};
use crate::server::{Server, State};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use reelfall_balancer::interface::{Idempotency, ServerId, ServerState, Time};

/// Time between two announcements of a flapping entry, in seconds.
const FLAP_INTERVAL: Time = 0.15;
/// Time in which a node completes its requests before a planned restart, in seconds.
const GRACEFUL_SHUTDOWN: Time = 0.7;
/// Delay between the restart of a lost zone's nodes and that of its servers, in seconds.
const SERVER_START_DELAY: Time = 0.3;
/// Time for a server to drain after all nodes were notified, in seconds.
const DRAIN_TIME: Time = 1.0;

impl World {
    /// Starts the disturbance with this index.
    pub(super) fn disturb(&mut self, index: usize) {
        let now = self.queue.now();
        match self.plan.disturbances[index].disturbance.clone() {
            Disturbance::KillNodes { fraction, down_for } => {
                let nodes = self.sample_nodes(fraction);
                self.kill_nodes(nodes, down_for);
            }
            Disturbance::LoseZone { zone, down_for } => self.lose_zone(zone, down_for),
            Disturbance::ReplaceServers { fraction, after } => {
                self.replace_servers(fraction, after);
            }
            Disturbance::EndServers { fraction } => self.end_servers(fraction),
            Disturbance::FlapEntries { fraction, count } => self.flap_entries(fraction, count),
            Disturbance::ServerFault {
                fraction,
                behavior,
                duration,
            } => self.impair_servers(fraction, behavior, now + duration),
            Disturbance::DiscoveryOutage { duration } => {
                self.discovery_outage_until = now + duration;
            }
            Disturbance::IdleNodes { fraction, duration } => {
                self.idle_nodes(fraction, now + duration);
            }
            Disturbance::RollingRestart {
                steps,
                interval,
                down_for,
            } => self.restart_all_nodes(steps, interval, down_for),
            Disturbance::Partition { zone, duration } => {
                self.partition = Until::new(zone, now + duration);
            }
            Disturbance::LostResponses { fraction, duration } => {
                self.lost_responses = Until::new(fraction, now + duration);
            }
            Disturbance::TrafficSurge { factor, duration } => {
                self.surge = Until::new(factor, now + duration);
            }
            Disturbance::TrafficShift {
                first_zone_fraction,
            } => {
                self.first_zone_fraction = first_zone_fraction;
            }
            Disturbance::CommonSlowdown { factor, duration } => {
                self.common_slowdown = factor;
                self.queue
                    .schedule(now + duration, Event::EndCommonSlowdown);
            }
        }
    }

    /// Ends this fraction of the servers without draining.
    fn end_servers(&mut self, fraction: f64) {
        for server in self.sample_servers(fraction) {
            self.end_server(server, State::Ended);
            self.announce(server, ServerState::Removed);
        }
    }

    /// Makes the front end send no requests to this fraction of the nodes until a time.
    fn idle_nodes(&mut self, fraction: f64, until: Time) {
        for node in self.sample_nodes(fraction) {
            self.nodes[node].idle_until = until;
        }
    }

    /// Sets the behavior of this fraction of the servers until a time.
    fn impair_servers(&mut self, fraction: f64, behavior: ServerBehavior, until: Time) {
        let servers = self.sample_servers(fraction);
        self.set_behavior(&servers, behavior);
        self.queue.schedule(until, Event::RecoverServers(servers));
    }

    /// Selects healthy servers at random; the fraction is of the initial number of servers.
    fn sample_servers(&mut self, fraction: f64) -> Vec<ServerId> {
        let is_healthy = |server: &&Server| {
            server.state == State::Up
                && server.endpoint.state == ServerState::Up
                && server.behavior == ServerBehavior::Healthy
        };
        let healthy = self.servers.iter().filter(is_healthy);
        let mut servers: Vec<ServerId> = healthy.map(|server| server.endpoint.server).collect();
        shuffle(&mut servers, &mut self.machine_random);
        servers.truncate((fraction * self.plan.servers as f64).round() as usize);
        servers
    }

    /// Selects this fraction of the nodes at random.
    fn sample_nodes(&mut self, fraction: f64) -> Vec<NodeId> {
        let mut nodes: Vec<NodeId> = (0..self.nodes.len()).collect();
        shuffle(&mut nodes, &mut self.machine_random);
        nodes.truncate((fraction * self.nodes.len() as f64).round() as usize);
        nodes
    }

    fn kill_nodes(&mut self, nodes: Vec<NodeId>, down_for: Time) {
        nodes.iter().for_each(|node| self.kill_node(*node));
        self.queue
            .schedule(self.queue.now() + down_for, Event::StartNodes(nodes));
    }

    fn lose_zone(&mut self, zone: u16, down_for: Time) {
        let now = self.queue.now();
        let nodes = 0..self.nodes.len();
        let nodes = nodes
            .filter(|node| self.nodes[*node].zone == zone)
            .collect();
        self.kill_nodes(nodes, down_for);
        let is_lost = |server: &&Server| server.endpoint.zone == zone && server.state == State::Up;
        let lost = self.servers.iter().filter(is_lost);
        let servers: Vec<ServerId> = lost.map(|server| server.endpoint.server).collect();
        servers
            .iter()
            .for_each(|server| self.end_server(*server, State::Lost));
        let start = now + down_for + SERVER_START_DELAY;
        self.queue.schedule(start, Event::StartServers(servers));
    }

    fn replace_servers(&mut self, fraction: f64, after: Time) {
        let now = self.queue.now();
        let old = self.sample_servers(fraction);
        let mut new = Vec::new();
        for id in &old {
            self.announce(*id, ServerState::Draining);
            let new_id = self.servers.len();
            let mut server = make_server(&self.plan, &mut self.machine_random, new_id);
            server.end(State::Ended);
            self.servers.push(server);
            new.push(new_id as ServerId);
        }
        let drained = now + 2.0 * self.plan.notification_delay + DRAIN_TIME;
        self.queue.schedule(drained, Event::EndServers(old));
        self.queue.schedule(now + after, Event::StartServers(new));
    }

    fn flap_entries(&mut self, fraction: f64, count: u32) {
        let now = self.queue.now();
        for server in self.sample_servers(fraction) {
            for flap in 0..count {
                let off = now + f64::from(2 * flap) * FLAP_INTERVAL;
                let on = now + f64::from(2 * flap + 1) * FLAP_INTERVAL;
                self.queue
                    .schedule(off, Event::Announce(server, ServerState::Draining));
                self.queue
                    .schedule(on, Event::Announce(server, ServerState::Up));
            }
        }
    }

    fn restart_all_nodes(&mut self, steps: u32, interval: Time, down_for: Time) {
        let now = self.queue.now();
        let order = self.sample_nodes(1.0);
        let size = order.len().div_ceil(steps.max(1) as usize).max(1);
        for (step, nodes) in order.chunks(size).enumerate() {
            let end = now + step as f64 * interval + GRACEFUL_SHUTDOWN;
            let window = RestartWindow {
                from: end - GRACEFUL_SHUTDOWN,
                to: end + down_for,
            };
            for node in nodes {
                self.nodes[*node].restarts.push(window);
            }
            self.queue.schedule(
                end,
                Event::RestartNodes {
                    nodes: nodes.to_vec(),
                    down_for,
                },
            );
        }
    }

    /// Takes a node down and closes its connections. Clients that wait for its answers retry idempotent requests.
    pub(super) fn kill_node(&mut self, id: NodeId) {
        let now = self.queue.now();
        let node = &mut self.nodes[id];
        let killed = NodeIncarnation {
            node: id,
            incarnation: node.incarnation,
        };
        node.engine = None;
        node.incarnation += 1;
        node.went_down_at = now;
        self.close_connections_of(id);
        let is_waiting = |attempt: &ClientAttempt| {
            attempt.node == Some(killed) && !attempt.is_answered && attempt.deadline > now
        };
        let all = 0..self.client_attempts.len();
        let waiting = all.filter(|attempt| is_waiting(&self.client_attempts[*attempt]));
        for attempt in waiting.collect::<Vec<_>>() {
            self.client_attempts[attempt].is_answered = true;
            let class = &self.plan.classes[self.client_attempts[attempt].class];
            if class.idempotency == Idempotency::Idempotent {
                self.retry(attempt, None);
            }
        }
    }

    fn close_connections_of(&mut self, id: NodeId) {
        for (server, idle) in std::mem::take(&mut self.nodes[id].idle_connections) {
            self.servers[server as usize].close_idle(&idle);
        }
        for attempt_id in std::mem::take(&mut self.in_flight) {
            let attempt = &self.attempts[attempt_id];
            let server = &mut self.servers[attempt.server as usize];
            if attempt.node != id {
                self.in_flight.insert(attempt_id);
            } else if attempt.is_connected && server.incarnation == attempt.server_incarnation {
                server.connections = server.connections.saturating_sub(1);
            }
        }
    }
}

fn shuffle<T>(items: &mut [T], random: &mut Pcg64Mcg) {
    for last in (1..items.len()).rev() {
        items.swap(last, random.random_range(0..=last));
    }
}
