//! Nodes: execution of their commands, their connections, and updates of their endpoint lists.

use super::model::{
    Attempt, ClientAttemptId, EmulatedHost, Event, IdleConnection, NodeId, NodeIncarnation,
};
use super::{World, START};
use crate::plan::ServerBehavior;
use crate::server::{AttemptId, Server, State};
use crate::violations::Rule;
use rand::Rng;
use reelfall_balancer::engine::{AddressedEndpoint, Command, Engine};
use reelfall_balancer::interface::{
    Endpoint, Outcome, RequestId, ServerId, ServerState, Time, UpdateKind,
};

/// How long a node may still send to a server after it was notified of its drain, in seconds.
pub(super) const DRAIN_GRACE: Time = 0.5;
/// Maximum time that a connection has been idle when a node reuses it, as a fraction of the idle timeout.
const IDLE_REUSE_FRACTION: f64 = 0.8;
/// Minimum latency, as a fraction of the mean.
const MIN_LATENCY_RATIO: f64 = 0.8;
/// Difference between maximum and minimum latency, as a fraction of the mean.
const LATENCY_RANGE_RATIO: f64 = 0.4;
/// Time until a node learns that a connection was refused, in one-way latencies.
const REFUSAL_LATENCIES: f64 = 2.0;
/// Time until a request arrives on a new connection, in one-way latencies.
const NEW_CONNECTION_LATENCIES: f64 = 4.0;

/// An attempt that a node sends.
struct OutgoingAttempt {
    request: RequestId,
    number: u32,
    server: ServerId,
    deadline: Time,
}

/// The result of obtaining a connection for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    Reused,
    Opened,
    /// The server refuses it.
    Refused,
    /// The server is unreachable, so that the connection attempt times out.
    TimedOut,
}

impl World {
    /// Calls a node's engine, if the node is up, and executes its commands.
    pub(super) fn drive(
        &mut self,
        node: NodeId,
        call: impl FnOnce(&mut Engine<EmulatedHost>, Time, &mut Vec<Command<EmulatedHost>>),
    ) {
        let now = self.queue.now();
        let Some(engine) = self.nodes[node].engine.as_mut() else {
            return;
        };
        let mut commands = Vec::new();
        call(engine, now, &mut commands);
        for command in commands {
            self.execute(node, command);
        }
    }

    fn execute(&mut self, node: NodeId, command: Command<EmulatedHost>) {
        let now = self.queue.now();
        self.report.commands.add(now, node, &command);
        match command {
            Command::Send {
                request,
                attempt,
                server,
                deadline,
                ..
            } => {
                let outgoing = OutgoingAttempt {
                    request,
                    number: attempt,
                    server,
                    deadline,
                };
                self.send_attempt(node, &outgoing);
            }
            Command::Answer { to, answer, .. } => self.receive_answer(to, &answer),
            Command::StartTimer { after, tag } => {
                let of = NodeIncarnation {
                    node,
                    incarnation: self.nodes[node].incarnation,
                };
                self.queue.schedule(now + after, Event::Timer { of, tag });
            }
            Command::CloseConnections { server } => {
                let idle = self.nodes[node].idle_connections.remove(&server);
                self.servers[server as usize].close_idle(&idle.unwrap_or_default());
            }
            // Endpoint lists are pushed, the balancer cancels no attempts here, and server identifiers are never reused.
            Command::CancelAttempt { .. } | Command::Watch | Command::ReleaseServerId { .. } => {}
        }
    }

    /// Samples the one-way latency between a node and a server.
    pub(super) fn latency(&mut self, node: NodeId, server: ServerId) -> Time {
        let is_same_zone = self.nodes[node].zone == self.servers[server as usize].endpoint.zone;
        let latency = self.plan.latency;
        let mean = if is_same_zone {
            latency.same_zone
        } else {
            latency.cross_zone
        };
        mean * (MIN_LATENCY_RATIO + LATENCY_RANGE_RATIO * self.network_random.random::<f64>())
    }

    /// Takes an idle connection of a node to a server, if there is one, and closes those that are too old.
    fn take_idle_connection(&mut self, node: NodeId, id: ServerId) -> bool {
        let now = self.queue.now();
        let max_age = IDLE_REUSE_FRACTION * self.plan.idle_timeout;
        let server = &mut self.servers[id as usize];
        let Some(idle) = self.nodes[node].idle_connections.get_mut(&id) else {
            return false;
        };
        idle.retain(|connection| {
            let is_open = connection.server_incarnation == server.incarnation;
            let is_usable = is_open && now - connection.since < max_age;
            if is_open && !is_usable {
                server.connections = server.connections.saturating_sub(1);
            }
            is_usable
        });
        idle.pop().is_some()
    }

    fn send_attempt(&mut self, node: NodeId, outgoing: &OutgoingAttempt) {
        let now = self.queue.now();
        let server_id = outgoing.server;
        let engine = self.nodes[node].engine.as_mut();
        let payload = engine.and_then(|engine| engine.payload(outgoing.request).copied());
        let Some(client_attempt) = payload else {
            return;
        };
        self.check_attempt(node, server_id, client_attempt);
        let is_new_connection = !self.take_idle_connection(node, server_id);
        let latency = self.latency(node, server_id);
        let is_partitioned = self.is_partitioned(node, server_id);
        let connection = self.connect(server_id, is_new_connection, is_partitioned);
        let server = &self.servers[server_id as usize];
        let is_unresponsive = is_partitioned
            || server.state != State::Up
            || server.behavior == ServerBehavior::Unresponsive;
        let server_incarnation = server.incarnation;
        let id = self.attempts.len();
        self.schedule_connection(id, connection, latency);
        let is_connected = matches!(connection, Connection::Reused | Connection::Opened);
        self.attempts.push(Attempt {
            node,
            request: outgoing.request,
            number: outgoing.number,
            client_attempt,
            server: server_id,
            server_incarnation,
            is_new_connection,
            is_connected,
        });
        self.in_flight.insert(id);
        self.queue
            .schedule(outgoing.deadline, Event::AttemptTimedOut(id));
        let second = self.report.second_at(now - START);
        second.attempts += 1;
        second.retries += u32::from(outgoing.number > 0);
        second.connections += u32::from(is_new_connection);
        second.failed_connections += u32::from(!is_connected);
        second.to_unresponsive += u32::from(is_unresponsive);
    }

    /// Checks the rules on sending attempts.
    fn check_attempt(&mut self, node: NodeId, server: ServerId, of: ClientAttemptId) {
        let now = self.queue.now();
        if self.client_attempts[of].is_answered {
            self.report
                .violations
                .record(now, Rule::SentAfterAnswer, of);
        }
        let unavailable_since = self.nodes[node].unavailable_since.get(&server);
        if unavailable_since.is_some_and(|since| now - since > DRAIN_GRACE) {
            self.report
                .violations
                .record(now, Rule::SentToRemoved, server as usize);
        }
    }

    fn connect(&mut self, id: ServerId, is_new: bool, is_partitioned: bool) -> Connection {
        let server = &mut self.servers[id as usize];
        if !is_new {
            return Connection::Reused;
        }
        if server.state == State::Lost || is_partitioned {
            return Connection::TimedOut;
        }
        let is_full = server.connections >= self.plan.max_connections;
        if server.state == State::Ended || is_full {
            return Connection::Refused;
        }
        server.connections += 1;
        Connection::Opened
    }

    fn schedule_connection(&mut self, id: AttemptId, connection: Connection, latency: Time) {
        let now = self.queue.now();
        let received = Event::AttemptReceived(id);
        let failed = Event::AttemptEnded(id, Outcome::ConnectFailed);
        match connection {
            Connection::Reused => self.queue.schedule(now + latency, received),
            Connection::Opened => {
                self.queue
                    .schedule(now + NEW_CONNECTION_LATENCIES * latency, received);
            }
            Connection::Refused => self
                .queue
                .schedule(now + REFUSAL_LATENCIES * latency, failed),
            Connection::TimedOut => self.queue.schedule(now + self.plan.connect_timeout, failed),
        }
    }

    /// Notifies a node of the end of an attempt, unless the attempt has ended before.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        let now = self.queue.now();
        if !self.in_flight.remove(&id) {
            return;
        }
        self.release_connection(id, outcome);
        let second = self.report.second_at(now - START);
        second.timed_out += u32::from(outcome == Outcome::TimedOut);
        second.rejected_by_servers += u32::from(outcome == Outcome::Rejected);
        let answer = (outcome == Outcome::Served).then_some(());
        let Attempt {
            node,
            request,
            number,
            ..
        } = self.attempts[id];
        self.drive(node, |engine, now, commands| {
            engine.end_attempt(now, request, number, outcome, answer, commands);
        });
    }

    /// Makes the connection of an attempt idle after a response, and closes it otherwise.
    fn release_connection(&mut self, id: AttemptId, outcome: Outcome) {
        let since = self.queue.now();
        let attempt = &self.attempts[id];
        let server_incarnation = attempt.server_incarnation;
        let server = &mut self.servers[attempt.server as usize];
        if !attempt.is_connected || server.incarnation != server_incarnation {
            return;
        }
        if matches!(
            outcome,
            Outcome::Served | Outcome::Error | Outcome::Rejected
        ) {
            let idle = self.nodes[attempt.node]
                .idle_connections
                .entry(attempt.server);
            idle.or_default().push(IdleConnection {
                since,
                server_incarnation,
            });
        } else {
            server.connections = server.connections.saturating_sub(1);
        }
    }

    /// Notifies a node of the endpoint list or of changes to it.
    pub(super) fn notify(&mut self, node: NodeId, kind: UpdateKind, endpoints: Vec<Endpoint>) {
        let addressed = |endpoint: Endpoint| AddressedEndpoint {
            address: endpoint.server,
            endpoint,
        };
        let endpoints = endpoints.into_iter().map(addressed).collect();
        self.drive(node, |engine, now, commands| {
            engine.update_endpoints(now, kind, endpoints, commands);
        });
    }

    /// Notifies a node of a change of the endpoint list. A node that is down applies it when it starts.
    pub(super) fn notify_of_change(&mut self, id: NodeId, endpoint: Endpoint) {
        let now = self.queue.now();
        let node = &mut self.nodes[id];
        if endpoint.state == ServerState::Up {
            node.unavailable_since.remove(&endpoint.server);
        } else {
            node.unavailable_since.entry(endpoint.server).or_insert(now);
        }
        node.endpoints.insert(endpoint.server, endpoint.clone());
        self.notify(id, UpdateKind::Delta, vec![endpoint]);
    }
}

impl Server {
    /// Closes idle connections of a node; those to earlier incarnations of the server are already closed.
    pub(super) fn close_idle(&mut self, idle: &[IdleConnection]) {
        let is_open =
            |connection: &&IdleConnection| connection.server_incarnation == self.incarnation;
        let open = idle.iter().filter(is_open).count();
        self.connections = self.connections.saturating_sub(open as u32);
    }
}
