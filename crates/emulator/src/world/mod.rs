//! Executes a plan: nodes that run the production decision module, with modelled clients, servers and connections.
//!
//! | state | owner | ends |
//! | --- | --- | --- |
//! | request of a client | `World::client_attempts` | with the run |
//! | attempt of a node | `World::attempts` | with the run; in `World::in_flight` until its node is notified of its end or goes down |
//! | connection | the server's count, and its node's idle connections or an attempt | at its idle timeout, or with either side |
//! | incarnation of a node or server | the node or server | at its restart; events of earlier incarnations are ignored |
//!
//! | module | responsibility |
//! | --- | --- |
//! | `model` | nodes, attempts and events |
//! | `settings` | the settings of nodes |
//! | `clients` | clients, and the front end that distributes their requests to nodes |
//! | `nodes` | the commands and connections of nodes, and their updates of the endpoint list |
//! | `servers` | execution of attempts at servers, and announcements of the endpoint list |
//! | `disturbances` | the disturbances of the plan |

mod clients;
mod disturbances;
mod model;
mod nodes;
mod servers;
mod settings;

use self::model::{Attempt, ClientAttempt, Event, Node, NodeId, NodeIncarnation};
use self::servers::make_server;
use crate::plan::{Plan, ServerBehavior};
use crate::queue::EventQueue;
use crate::report::Report;
use crate::server::{AttemptId, Server, State};
use crate::streams::stream;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use reelfall_balancer::engine::Engine;
use reelfall_balancer::interface::{
    Endpoint, Outcome, ServerId, ServerState, Time, UpdateKind, ZoneId,
};
use reelfall_balancer::settings::SettingsError;
use reelfall_balancer::Balancer;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Time at which a run starts. It is not 0, since servers with a start time of 0 count as started long ago.
const START: Time = 1000.0;
/// How long a run continues after the last request, in seconds, so that answers can arrive.
const END_MARGIN: Time = 2.0;
/// Tolerance for final answers after their deadline, in seconds.
const ANSWER_SLACK: Time = 0.005;
/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;

/// Why a plan can't be executed.
#[derive(Debug, Error)]
pub enum PlanError {
    /// It has no nodes, servers, request classes or machine types.
    #[error("a plan needs at least one node, server, request class and machine type")]
    Incomplete,
    /// The settings derived from it are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// A value that applies until a time.
#[derive(Clone, Copy, Debug)]
struct Until<T> {
    value: T,
    until: Time,
}

impl<T> Until<T> {
    fn new(value: T, until: Time) -> Until<T> {
        Until { value, until }
    }

    /// A value that never applies.
    fn never(value: T) -> Until<T> {
        Until::new(value, 0.0)
    }
}

struct World {
    plan: Plan,
    queue: EventQueue<Event>,
    servers: Vec<Server>,
    nodes: Vec<Node>,
    client_attempts: Vec<ClientAttempt>,
    attempts: Vec<Attempt>,
    in_flight: BTreeSet<AttemptId>,
    report: Report,
    /// Requests per second.
    request_rate: f64,
    /// Until when the endpoint list reports no changes.
    discovery_outage_until: Time,
    /// The partitioned zone.
    partition: Until<ZoneId>,
    /// Fraction of the responses that are lost.
    lost_responses: Until<f64>,
    /// Factor on the request rate during a traffic surge.
    surge: Until<f64>,
    /// Factor by which work takes longer at all servers.
    common_slowdown: f64,
    /// Fraction of the clients in the first zone.
    first_zone_fraction: f64,
    client_random: Pcg64Mcg,
    network_random: Pcg64Mcg,
    machine_random: Pcg64Mcg,
    work_random: Pcg64Mcg,
}

/// Executes a plan to its end.
///
/// # Errors
/// If the plan is incomplete or its settings are invalid.
pub fn run_plan(plan: Plan) -> Result<Report, PlanError> {
    let is_incomplete = plan.nodes == 0
        || plan.servers == 0
        || plan.classes.is_empty()
        || plan.machine_types.is_empty();
    if is_incomplete {
        return Err(PlanError::Incomplete);
    }
    let mut world = World::new(plan);
    for node in 0..world.nodes.len() {
        world.start_node(node)?;
    }
    world.queue.schedule(START, Event::NewRequest);
    for (index, scheduled) in world.plan.disturbances.iter().enumerate() {
        world
            .queue
            .schedule(START + scheduled.at, Event::Disturbance(index));
    }
    let end = START + world.plan.duration + END_MARGIN;
    while world.queue.now() < end {
        let Some(event) = world.queue.pop() else {
            break;
        };
        world.handle(event)?;
    }
    world.check_answers();
    Ok(world.report)
}

impl World {
    fn new(plan: Plan) -> World {
        let seed = plan.seed;
        let mut machine_random = stream(seed, "machines");
        let mut servers = Vec::new();
        for id in 0..plan.servers {
            servers.push(make_server(&plan, &mut machine_random, id));
        }
        let speed: f64 = servers.iter().map(|server| server.speed).sum();
        let work = |class: &crate::plan::RequestClass| class.request_fraction * class.mean_work;
        let mean_work: f64 = plan.classes.iter().map(work).sum();
        World {
            nodes: make_nodes(&plan, &servers),
            request_rate: plan.load * speed / mean_work,
            queue: EventQueue::new(START),
            client_attempts: Vec::new(),
            attempts: Vec::new(),
            in_flight: BTreeSet::new(),
            report: Report::default(),
            discovery_outage_until: 0.0,
            partition: Until::never(0),
            lost_responses: Until::never(0.0),
            surge: Until::never(1.0),
            common_slowdown: 1.0,
            first_zone_fraction: plan.first_zone.nodes,
            client_random: stream(seed, "clients"),
            network_random: stream(seed, "network"),
            work_random: stream(seed, "work"),
            machine_random,
            servers,
            plan,
        }
    }

    fn start_node(&mut self, node: NodeId) -> Result<(), PlanError> {
        let incarnation = u64::from(self.nodes[node].incarnation);
        let seed = self.plan.seed ^ (node as u64) << 20 ^ incarnation << 50;
        let settings = self.settings(node);
        let classes = settings.classes.clone();
        let module = Balancer::new(settings, seed, self.queue.now())?;
        let started = &mut self.nodes[node];
        started.engine = Some(Engine::new(module, &classes, MAX_ATTEMPTS));
        let known = started.endpoints.values();
        let known = known.filter(|endpoint| endpoint.state != ServerState::Removed);
        let known = known.cloned().collect();
        self.notify(node, UpdateKind::Cached, known);
        Ok(())
    }

    fn handle(&mut self, event: Event) -> Result<(), PlanError> {
        match event {
            Event::NewRequest => self.send_new_request(),
            Event::ClientAttempt(id) => self.send_client_attempt(id),
            Event::AttemptReceived(id) => self.receive_attempt(id),
            Event::WorkCompleted {
                server,
                incarnation,
                attempt,
            } => {
                self.complete_work(server, incarnation, attempt);
            }
            Event::AttemptEnded(id, outcome) => self.end_attempt(id, outcome),
            Event::AttemptTimedOut(id) => self.end_attempt(id, Outcome::TimedOut),
            Event::Timer { of, tag } => self.handle_timer(of, tag),
            Event::EndpointChanged(node, endpoint) => self.notify_of_change(node, endpoint),
            Event::Disturbance(index) => self.disturb(index),
            Event::StartNodes(nodes) => self.start_nodes(&nodes)?,
            Event::RestartNodes { nodes, down_for } => self.restart_nodes(nodes, down_for),
            Event::StartServers(servers) => self.start_servers(&servers),
            Event::EndServers(servers) => {
                servers
                    .into_iter()
                    .for_each(|server| self.end_server(server, State::Ended));
            }
            Event::RecoverServers(servers) => {
                self.set_behavior(&servers, ServerBehavior::Healthy);
            }
            Event::EndCommonSlowdown => self.common_slowdown = 1.0,
            Event::Announce(server, state) => self.announce(server, state),
        }
        Ok(())
    }

    fn handle_timer(&mut self, of: NodeIncarnation, tag: u64) {
        if self.nodes[of.node].incarnation == of.incarnation {
            self.drive(of.node, |engine, now, commands| {
                engine.handle_timer(now, tag, commands);
            });
        }
    }

    /// Starts nodes, except those that are already up because they went down more than once.
    fn start_nodes(&mut self, nodes: &[NodeId]) -> Result<(), PlanError> {
        for node in nodes {
            if self.nodes[*node].engine.is_none() {
                self.start_node(*node)?;
            }
        }
        Ok(())
    }

    fn restart_nodes(&mut self, nodes: Vec<NodeId>, down_for: Time) {
        nodes.iter().for_each(|node| self.kill_node(*node));
        let at = self.queue.now() + down_for;
        self.queue.schedule(at, Event::StartNodes(nodes));
    }

    fn start_servers(&mut self, servers: &[ServerId]) {
        let now = self.queue.now();
        for id in servers {
            let server = &mut self.servers[*id as usize];
            if server.state != State::Up {
                server.start(now);
                self.announce(*id, ServerState::Up);
            }
        }
    }

    fn set_behavior(&mut self, servers: &[ServerId], behavior: ServerBehavior) {
        for id in servers {
            self.servers[*id as usize].behavior = behavior;
        }
    }
}

fn make_nodes(plan: &Plan, servers: &[Server]) -> Vec<Node> {
    let entry = |server: &Server| (server.endpoint.server, server.endpoint.clone());
    let endpoints: BTreeMap<ServerId, Endpoint> = servers.iter().map(entry).collect();
    let mut random = stream(plan.seed, "zones of nodes");
    let node = |_| Node {
        zone: u16::from(random.random::<f64>() >= plan.first_zone.nodes),
        lateness: random.random(),
        incarnation: 0,
        engine: None,
        went_down_at: 0.0,
        idle_until: 0.0,
        restarts: Vec::new(),
        idle_connections: BTreeMap::new(),
        endpoints: endpoints.clone(),
        unavailable_since: BTreeMap::new(),
    };
    (0..plan.nodes).map(node).collect()
}
