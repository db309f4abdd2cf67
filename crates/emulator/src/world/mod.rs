//! Plays a plan.
//!
//! | state | owner | ends |
//! | --- | --- | --- |
//! | request (one try of a client) | `World::tries` | with the run |
//! | attempt | `World::attempts` | with the run; in `World::out` until its node knows how it ended, or dies |
//! | connection | the server's count, and its node's idle ones or an attempt | at its idle time, or with either side |
//! | life of a node or server | itself | a later life drops what belongs to an earlier one |

mod clients;
mod happen;
mod nodes;
mod servers;

use self::servers::make;
use crate::plan::{Happening, Manner, Plan};
use crate::queue::Queue;
use crate::report::Report;
use crate::rules::Broken;
use crate::server::{AttemptId, Server, State};
use crate::streams::{lognormal, stream};
use rand::Rng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use reelfall_balancer::engine::{AddressedEndpoint, Arrival, Command, Engine, FinalAnswer, Host};
use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;
use std::collections::{BTreeMap, BTreeSet};

/// The clock does not begin at 0: a start at 0 is one of long ago.
const BEGINS: Time = 1000.0;
/// A final answer may come so much after the deadline.
const SLACK: Time = 0.005;
/// How rough the hints are that clients give of a request's work.
const HINT_CV: f64 = 0.5;
/// How unlike each other two attempts of one request are, and two requests of one class.
const ATTEMPT_CV: f64 = 0.3;
const WORK_CV: f64 = 0.5;

/// How long a flapping entry stays off the list, and on it.
const FLAPS: Time = 0.15;
/// What comes to a server with this much queued, in seconds, counts as sent past what it can do.
const QUEUE_LONG: Time = 0.3;

/// How long a node that is told to end answers what it has.
const STOPPING: Time = 0.7;

type TryId = usize;
type NodeId = usize;

/// The engine's host in virtual time.
struct Virtual;

impl Host for Virtual {
    type Payload = TryId;
    type Reply = TryId;
    type Address = ServerId;
    type Answer = ();
}

enum Event {
    /// A client asks for something new.
    Asks,
    /// A try goes to a node.
    Tries(TryId),
    /// An attempt's last byte is at its server.
    Reaches(AttemptId),
    /// A server has worked on an attempt.
    Worked(ServerId, u32, AttemptId),
    /// The node hears how an attempt ended.
    Ends(AttemptId, Outcome),
    /// The node stops waiting for an attempt.
    Expires(AttemptId),
    /// A timer of a node's module.
    Timer(NodeId, u32, u64),
    /// A node hears what the list says of a server.
    News(NodeId, Endpoint),
    /// The happening of this number.
    Happens(usize),
    NodesStart(Vec<NodeId>),
    /// Nodes end in order, and are back after so long.
    NodesEnd(Vec<NodeId>, Time),
    /// What made all servers slow is over.
    Eases,
    ServersStart(Vec<ServerId>),
    ServersEnd(Vec<ServerId>),
    Relieved(Vec<ServerId>),
    /// The list says something of a server, true or not.
    Says(ServerId, ServerState),
}

/// One try of a client.
struct Try {
    class: usize,
    work: f64,
    hint: f64,
    zone: ZoneId,
    /// When the client first asked, and how many tries came before this one.
    first: Time,
    number: u32,
    /// Until when the client wants an answer at all, and how long it gives a try.
    until: Time,
    patience: Time,
    /// Where it went, and in which life of the node; nowhere yet at first.
    node: Option<(NodeId, u32)>,
    deadline: Time,
    answered: bool,
    /// Attempts that have begun to run.
    ran: u32,
}

struct Attempt {
    node: NodeId,
    request: RequestId,
    number: u32,
    of: TryId,
    server: ServerId,
    server_life: u32,
    /// It dialled, and the connection came up.
    fresh: bool,
    connected: bool,
}

struct Node {
    zone: ZoneId,
    /// How late it hears of changes, as a part of the notice.
    hears: f64,
    life: u32,
    engine: Option<Engine<Virtual>>,
    /// When it died last.
    died: Time,
    shunned: Time,
    /// When it stops taking requests for a restart, and takes them again.
    stops: Vec<(Time, Time)>,
    /// Idle connections by server, since when, the latest last.
    idle: BTreeMap<ServerId, Vec<(Time, u32)>>,
    /// The list as it has been told, also while it is dead.
    list: BTreeMap<ServerId, Endpoint>,
    /// Since when it knows that a server wants nothing new.
    gone: BTreeMap<ServerId, Time>,
}

struct World {
    plan: Plan,
    queue: Queue<Event>,
    servers: Vec<Server>,
    nodes: Vec<Node>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    out: BTreeSet<AttemptId>,
    report: Report,
    /// Requests a second.
    rate: f64,
    /// Until when the list tells nothing.
    list_down: Time,
    /// Which zone is cut off, and until when.
    cut: (ZoneId, Time),
    /// Which part of the answers gets lost, and until when.
    losing: (f64, Time),
    /// How many times the usual requests come, and until when.
    surge: (f64, Time),
    /// How many times slower all servers are.
    common_slow: f64,
    /// Part of the clients in the first zone.
    shift: f64,
    clients: Pcg64Mcg,
    network: Pcg64Mcg,
    machines: Pcg64Mcg,
    work: Pcg64Mcg,
}

/// Plays a plan to its end.
///
/// # Errors
/// Says what of the plan can't be used.
pub fn play(plan: Plan) -> Result<Report, String> {
    if plan.nodes == 0 || plan.servers == 0 || plan.classes.is_empty() || plan.kinds.is_empty() {
        return Err("a plan has a node, a server, a class and a kind at least".to_owned());
    }
    let mut world = World::new(plan);
    for n in 0..world.nodes.len() {
        world.start(n)?;
    }
    world.queue.put(BEGINS, Event::Asks);
    for n in 0..world.plan.happenings.len() {
        world
            .queue
            .put(BEGINS + world.plan.happenings[n].0, Event::Happens(n));
    }
    // Answers to what was asked last come a while after; timers go on for ever.
    let end = BEGINS + world.plan.length + 2.0;
    while world.queue.now() < end {
        let Some(event) = world.queue.take() else {
            break;
        };
        world.on(event)?;
    }
    world.judge_answers();
    Ok(world.report)
}

impl World {
    fn new(plan: Plan) -> World {
        let seed = plan.seed;
        let mut machines = stream(seed, "machines");
        let mut servers = Vec::new();
        for id in 0..plan.servers {
            servers.push(make(&plan, &mut machines, id));
        }
        let speed: f64 = servers.iter().map(|s| s.speed).sum();
        let mean: f64 = plan.classes.iter().map(|c| c.share * c.work).sum();
        let list: BTreeMap<ServerId, Endpoint> = servers
            .iter()
            .map(|s| (s.entry.server, s.entry.clone()))
            .collect();
        let mut order = stream(seed, "zones of nodes");
        let node = |_| Node {
            zone: u16::from(order.random::<f64>() >= plan.zones.0),
            hears: order.random(),
            life: 0,
            engine: None,
            died: 0.0,
            shunned: 0.0,
            stops: Vec::new(),
            idle: BTreeMap::new(),
            list: list.clone(),
            gone: BTreeMap::new(),
        };
        World {
            nodes: (0..plan.nodes).map(node).collect(),
            rate: plan.load * speed / mean,
            queue: Queue::new(BEGINS),
            tries: Vec::new(),
            attempts: Vec::new(),
            out: BTreeSet::new(),
            report: Report::default(),
            list_down: 0.0,
            cut: (0, 0.0),
            losing: (0.0, 0.0),
            surge: (1.0, 0.0),
            common_slow: 1.0,
            shift: plan.zones.0,
            clients: stream(seed, "clients"),
            network: stream(seed, "network"),
            work: stream(seed, "work"),
            machines,
            servers,
            plan,
        }
    }

    fn settings(&self, node: NodeId) -> Settings {
        let class = |c: &crate::plan::Class| Class {
            latency_objective: c.aim,
            deadline: c.deadline,
            priority_weight: c.worth,
            late_response_weight: 0.3,
            idempotency: c.effect,
            streams_response: false,
        };
        let (quota, plan) = (
            if self.plan.whole {
                0.0
            } else {
                1.2 * self.rate
            },
            &self.plan,
        );
        Settings {
            classes: plan.classes.iter().map(class).collect(),
            tenants: vec![Tenant { quota }],
            zone: Some(self.nodes[node].zone),
            node_count: plan.nodes as u32,
            node_index: Some(node as u32),
            discovery: Discovery::Push,
            load_reports: LoadReports::Absent,
            limits: Limits {
                max_attempts: 4,
                retry_budget_ratio: 0.2,
                max_retry_after: 0.3,
                can_cancel: true,
                can_health_check: false,
                can_hedge: false,
                idle_connection_timeout: plan.idle,
            },
            rules: Rules {
                drain_grace: 0.5,
                initial_capacity: 0.8 * plan.cold.0,
                slow_start_duration: 1.2 * plan.cold.1,
                overload_factor: plan.tips.0,
                overload_window: plan.tips.1,
                max_poll_interval: 10.0,
            },
            costs: Costs {
                cross_zone: 0.02,
                wasted_work: 0.05,
                health_check: 0.0,
                new_connection: 0.08,
            },
            objective: Objective {
                overall: 0.8,
                worst_class: 0.1,
                worst_tenant: 0.1,
            },
            over_quota_weight: 0.1,
            weight_per_work: true,
            has_key_affinity: false,
            has_server_weights: true,
            clock_resolution: 0.001,
        }
    }

    fn start(&mut self, n: NodeId) -> Result<(), String> {
        let seed = self.plan.seed ^ (n as u64) << 20 ^ u64::from(self.nodes[n].life) << 50;
        let now = self.queue.now();
        let settings = self.settings(n);
        let classes = settings.classes.clone();
        let module = Balancer::new(settings, seed, now).map_err(|error| error.to_string())?;
        let node = &mut self.nodes[n];
        node.engine = Some(Engine::new(module, &classes, 4));
        let known = node
            .list
            .values()
            .filter(|e| e.state != ServerState::Removed)
            .cloned()
            .collect();
        self.tell(n, UpdateKind::Cached, known);
        Ok(())
    }

    fn on(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Asks => self.ask(),
            Event::Tries(id) => self.try_once(id),
            Event::Reaches(id) => self.reach(id),
            Event::Worked(server, life, id) => self.worked(server, life, id),
            Event::Ends(id, outcome) => self.end(id, outcome),
            Event::Expires(id) => self.end(id, Outcome::TimedOut),
            Event::Timer(n, life, tag) if self.nodes[n].life == life => {
                self.drive(n, |engine, now, out| engine.handle_timer(now, tag, out));
            }
            Event::Timer(..) => {}
            Event::News(n, entry) => self.hear(n, entry),
            Event::Happens(n) => self.happen(n),
            Event::NodesStart(nodes) => {
                // One that died twice has been started by now.
                for n in nodes {
                    if self.nodes[n].engine.is_none() {
                        self.start(n)?;
                    }
                }
            }
            Event::ServersStart(ids) => ids.into_iter().for_each(|id| {
                let now = self.queue.now();
                if self.servers[id as usize].state != State::Up {
                    self.servers[id as usize].start(now);
                    self.announce(id, ServerState::Up);
                }
            }),
            Event::ServersEnd(ids) => ids
                .into_iter()
                .for_each(|id| self.end_server(id, State::Ended)),
            Event::Relieved(ids) => {
                ids.into_iter()
                    .for_each(|id| self.servers[id as usize].manner = Manner::Sound);
            }
            Event::Says(id, state) => self.announce(id, state),
            Event::NodesEnd(nodes, back) => {
                nodes.iter().for_each(|n| self.kill(*n));
                self.queue
                    .put(self.queue.now() + back, Event::NodesStart(nodes));
            }
            Event::Eases => self.common_slow = 1.0,
        }
        Ok(())
    }
}
