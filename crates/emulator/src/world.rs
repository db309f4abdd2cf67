//! Plays a plan.
//!
//! | state | owner | ends |
//! | --- | --- | --- |
//! | request (one try of a client) | `World::tries` | with the run |
//! | attempt | `World::attempts` | with the run; in `World::out` until its node knows how it ended, or dies |
//! | connection | the server's count, and its node's idle ones or an attempt | at its idle time, or with either side |
//! | life of a node or server | itself | a later life drops what belongs to an earlier one |

use crate::plan::{Happening, Manner, Plan};
use crate::queue::Queue;
use crate::report::Report;
use crate::rules::Broken;
use crate::server::{AttemptId, Server, State};
use crate::streams::{lognormal, stream};
use rand::Rng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use reelfall_core::engine::{Arrival, Command, Engine, Final, Host, Place};
use reelfall_core::interface::*;
use reelfall_core::Balancer;
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
    News(NodeId, Entry),
    /// The happening of this number.
    Happens(usize),
    NodesStart(Vec<NodeId>),
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
    /// Idle connections by server, since when, the latest last.
    idle: BTreeMap<ServerId, Vec<(Time, u32)>>,
    /// The list as it has been told, also while it is dead.
    list: BTreeMap<ServerId, Entry>,
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
        world.queue.put(BEGINS + world.plan.happenings[n].0, Event::Happens(n));
    }
    // Answers to what was asked last come a while after; timers go on for ever.
    let end = BEGINS + world.plan.length + 2.0;
    while world.queue.now() < end {
        let Some(event) = world.queue.take() else { break };
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
        let list: BTreeMap<ServerId, Entry> =
            servers.iter().map(|s| (s.entry.server, s.entry.clone())).collect();
        let mut order = stream(seed, "zones of nodes");
        let node = |_| Node {
            zone: u16::from(order.random::<f64>() >= plan.zones.0),
            hears: order.random(),
            life: 0,
            engine: None,
            died: 0.0,
            shunned: 0.0,
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
            aim: c.aim,
            deadline: c.deadline,
            worth: c.worth,
            late_value: 0.3,
            effect: c.effect,
            streamed: false,
        };
        let (quota, plan) = (if self.plan.whole { 0.0 } else { 1.2 * self.rate }, &self.plan);
        Settings {
            classes: plan.classes.iter().map(class).collect(),
            tenants: vec![Tenant { quota }],
            zone: Some(self.nodes[node].zone),
            replicas: plan.nodes as u32,
            number: Some(node as u32),
            discovery: Discovery::Push,
            reports: Reports::Silent,
            limits: Limits {
                max_attempts: 4,
                retry_share: 0.2,
                max_retry_after: 0.3,
                cancelling: true,
                may_probe: false,
                second_copies: false,
                conn_idle: plan.idle,
            },
            rules: Rules {
                drain_grace: 0.5,
                cold_from: 0.8 * plan.cold.0,
                warm_after: 1.2 * plan.cold.1,
                overload_factor: plan.tips.0,
                tip_after: plan.tips.1,
                must_ask_in: 10.0,
            },
            prices: Prices { cross_zone: 0.02, waste: 0.05, probe: 0.0, handshake: 0.08 },
            goal: Goal { overall: 0.8, worst_class: 0.1, worst_tenant: 0.1 },
            over_share_worth: 0.1,
            worth_by_work: true,
            warm_keys: false,
            weighted: true,
            tick: 0.001,
        }
    }

    fn start(&mut self, n: NodeId) -> Result<(), String> {
        let seed = self.plan.seed ^ (n as u64) << 20 ^ u64::from(self.nodes[n].life) << 50;
        let now = self.queue.now();
        let settings = self.settings(n);
        let classes = settings.classes.clone();
        let module = Balancer::new(settings, seed, now)?;
        let node = &mut self.nodes[n];
        node.engine = Some(Engine::new(module, &classes, 4));
        let known = node.list.values().filter(|e| e.state != ServerState::Gone).cloned().collect();
        self.tell(n, ListKind::Cached, known);
        Ok(())
    }

    fn on(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Asks => self.ask(),
            Event::Tries(id) => self.try_once(id),
            Event::Reaches(id) => self.reach(id),
            Event::Worked(server, life, id) => self.worked(server, life, id),
            Event::Ends(id, outcome) => self.end(id, outcome),
            Event::Expires(id) => self.end(id, Outcome::Expired),
            Event::Timer(n, life, tag) if self.nodes[n].life == life => {
                self.drive(n, |engine, now, out| engine.timer(now, tag, out));
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
            Event::ServersEnd(ids) => ids.into_iter().for_each(|id| self.end_server(id, State::Ended)),
            Event::Relieved(ids) => {
                ids.into_iter().for_each(|id| self.servers[id as usize].manner = Manner::Sound);
            }
            Event::Says(id, state) => self.announce(id, state),
        }
        Ok(())
    }

    // ---- clients ----

    fn ask(&mut self) {
        let now = self.queue.now();
        if now > BEGINS + self.plan.length {
            return;
        }
        let next = Exp::new(self.rate).map_or(1.0, |d| d.sample(&mut self.clients));
        self.queue.put(now + next, Event::Asks);
        let mut at = self.clients.random::<f64>();
        let class = self.plan.classes.iter().position(|c| {
            at -= c.share;
            at < 0.0
        });
        let class = class.unwrap_or(0);
        let c = &self.plan.classes[class];
        let (mean, worth, deadline) = (c.work, c.worth, c.deadline);
        let work = lognormal(&mut self.clients, mean, WORK_CV);
        let hint = lognormal(&mut self.clients, work, HINT_CV);
        let zone = u16::from(self.clients.random::<f64>() >= self.plan.zones.0);
        let second = self.report.at(now - BEGINS);
        second.asked += worth * work;
        second.first += 1;
        let id = self.tries.len();
        let deadline = now + deadline;
        self.tries.push(Try {
            class,
            work,
            hint,
            zone,
            first: now,
            number: 0,
            node: None,
            deadline,
            answered: false,
            ran: 0,
        });
        self.queue.put(now, Event::Tries(id));
    }

    /// The front picks a node of the client's zone; that one has died is noticed late.
    fn pick(&mut self, zone: ZoneId) -> Option<NodeId> {
        let (now, front) = (self.queue.now(), self.plan.front);
        let open = |n: &Node| (n.engine.is_some() || now - n.died < front) && n.shunned <= now;
        let near: Vec<NodeId> =
            (0..self.nodes.len()).filter(|n| self.nodes[*n].zone == zone && open(&self.nodes[*n])).collect();
        let all = || (0..self.nodes.len()).filter(|n| open(&self.nodes[*n])).collect();
        let from: Vec<NodeId> = if near.is_empty() { all() } else { near };
        // The first node may have a share of its own.
        let heavy = self.plan.heavy / (self.plan.heavy + from.len() as f64 - 1.0);
        if from.first() == Some(&0) && self.plan.heavy > 1.0 && self.clients.random::<f64>() < heavy {
            return Some(0);
        }
        (!from.is_empty()).then(|| from[self.clients.random_range(0..from.len())])
    }

    fn try_once(&mut self, id: TryId) {
        let now = self.queue.now();
        let picked = self.pick(self.tries[id].zone);
        self.report.at(now - BEGINS).tries += 1;
        let Some(n) = picked.filter(|n| self.nodes[*n].engine.is_some()) else {
            // Nobody is there: nothing has run.
            self.tries[id].answered = true;
            return self.again(id, None);
        };
        let life = self.nodes[n].life;
        let t = &mut self.tries[id];
        t.node = Some((n, life));
        let arrival = Arrival {
            class: t.class as ClassId,
            tenant: Some(0),
            hint: Some(t.hint),
            key: None,
            deadline: t.deadline,
            flows: None,
        };
        self.drive(n, |engine, now, out| {
            engine.submit(now, id, id, arrival, out);
        });
    }

    /// The client tries again, if it does and there is time.
    fn again(&mut self, id: TryId, retry_after: Option<Time>) {
        let (now, (most, pause, follows)) = (self.queue.now(), self.plan.retries);
        let advice = retry_after.filter(|_| self.clients.random::<f64>() < follows);
        let at = now + advice.unwrap_or(pause);
        let t = &self.tries[id];
        if t.number >= most || at >= t.deadline - 0.02 {
            return;
        }
        let next = Try { number: t.number + 1, node: None, answered: false, ran: 0, ..*t };
        self.tries.push(next);
        self.queue.put(at, Event::Tries(self.tries.len() - 1));
    }

    /// A try has its final answer.
    fn answer(&mut self, id: TryId, answer: &Final<()>) {
        let now = self.queue.now();
        let class = &self.plan.classes[self.tries[id].class];
        let (aim, worth, effect) = (class.aim, class.worth, class.effect);
        let t = &mut self.tries[id];
        if std::mem::replace(&mut t.answered, true) {
            return self.report.rules.breach(now, Broken::AnsweredTwice, id);
        }
        if now > t.deadline + SLACK {
            self.report.rules.breach(now, Broken::Unanswered, id);
        }
        let (work, first, ran) = (t.work, t.first, t.ran);
        let second = self.report.at(now - BEGINS);
        match answer {
            Final::Served(()) if now - first <= aim => self.report.at(first - BEGINS).earned += worth * work,
            Final::Served(()) => {}
            Final::Refused { retry_after } => {
                second.refused += 1;
                if effect == Effect::AtMostOnce && ran > 0 {
                    self.report.rules.breach(now, Broken::RanTwice, id);
                }
                self.again(id, *retry_after);
            }
            Final::Failed(_) => {
                second.failed += 1;
                if effect == Effect::Idempotent {
                    self.again(id, None);
                }
            }
        }
    }

    /// Whatever a node took and lived to answer has its answer.
    fn judge_answers(&mut self) {
        let now = self.queue.now();
        for (id, t) in self.tries.iter().enumerate() {
            let lived = t.node.is_some_and(|(n, life)| self.nodes[n].life == life);
            if !t.answered && lived && t.deadline + SLACK < now {
                self.report.rules.breach(t.deadline, Broken::Unanswered, id);
            }
        }
    }

    // ---- nodes ----

    /// Tells a node's engine something and does what it wants done.
    fn drive(
        &mut self, n: NodeId, what: impl FnOnce(&mut Engine<Virtual>, Time, &mut Vec<Command<Virtual>>),
    ) {
        let now = self.queue.now();
        let Some(engine) = self.nodes[n].engine.as_mut() else { return };
        let mut commands = Vec::new();
        what(engine, now, &mut commands);
        for command in commands {
            self.carry_out(n, command);
        }
    }

    fn carry_out(&mut self, n: NodeId, command: Command<Virtual>) {
        let (now, life) = (self.queue.now(), self.nodes[n].life);
        match command {
            Command::Send { request, attempt, server, expires } => {
                self.send(n, request, attempt, server, expires)
            }
            Command::Answer { to, answer, .. } => self.answer(to, &answer),
            Command::Timer { after, tag } => self.queue.put(now + after, Event::Timer(n, life, tag)),
            Command::Forget { server } => {
                let closed = self.nodes[n].idle.remove(&server).unwrap_or_default();
                let server = &mut self.servers[server as usize];
                let open = closed.iter().filter(|(_, life)| *life == server.life).count();
                server.connections = server.connections.saturating_sub(open as u32);
            }
            // Lists come by themselves, no module of this project calls attempts off, and numbers are never reused.
            Command::Abort { .. } | Command::Watch | Command::Release { .. } => {}
        }
    }

    fn delay(&mut self, n: NodeId, server: ServerId) -> Time {
        let near = self.nodes[n].zone == self.servers[server as usize].entry.zone;
        let mean = if near { self.plan.latency.0 } else { self.plan.latency.1 };
        mean * (0.8 + 0.4 * self.network.random::<f64>())
    }

    /// An idle connection of a node to a server; those that are too old are closed on the way.
    fn kept(&mut self, n: NodeId, id: ServerId) -> bool {
        let (now, idle) = (self.queue.now(), self.plan.idle);
        let server = &mut self.servers[id as usize];
        let Some(kept) = self.nodes[n].idle.get_mut(&id) else { return false };
        kept.retain(|(since, life)| {
            let stays = *life == server.life && now - since < 0.8 * idle;
            if !stays && *life == server.life {
                server.connections = server.connections.saturating_sub(1);
            }
            stays
        });
        kept.pop().is_some()
    }

    fn send(&mut self, n: NodeId, request: RequestId, number: u32, id: ServerId, expires: Time) {
        let now = self.queue.now();
        let Some(of) = self.nodes[n].engine.as_mut().and_then(|e| e.payload(request).copied()) else {
            return;
        };
        if self.tries[of].answered {
            self.report.rules.breach(now, Broken::SentAfter, of);
        }
        if self.nodes[n].gone.get(&id).is_some_and(|since| now - since > 0.5) {
            self.report.rules.breach(now, Broken::SentToGone, id as usize);
        }
        let fresh = !self.kept(n, id);
        let there = self.delay(n, id);
        let server = &mut self.servers[id as usize];
        let dead = server.state != State::Up || server.manner == Manner::Silent;
        let attempt = self.attempts.len();
        let server_life = server.life;
        let mut connected = true;
        let at = if !fresh {
            self.queue.put(now + there, Event::Reaches(attempt));
            now
        } else if server.state == State::Lost {
            connected = false;
            now + self.plan.connect_within
        } else if server.state == State::Ended || server.connections >= self.plan.connections {
            connected = false;
            now + 2.0 * there
        } else {
            server.connections += 1;
            self.queue.put(now + 4.0 * there, Event::Reaches(attempt));
            now
        };
        if !connected {
            self.queue.put(at, Event::Ends(attempt, Outcome::DialFailed));
        }
        self.attempts.push(Attempt {
            node: n,
            request,
            number,
            of,
            server: id,
            server_life,
            fresh,
            connected,
        });
        self.out.insert(attempt);
        self.queue.put(expires, Event::Expires(attempt));
        let second = self.report.at(now - BEGINS);
        second.sends += 1;
        second.repeats += u32::from(number > 0);
        second.dials += u32::from(fresh);
        second.undialled += u32::from(!connected);
        second.to_dead += u32::from(dead);
    }

    /// The node hears how an attempt ended, unless it has stopped waiting for it.
    fn end(&mut self, id: AttemptId, outcome: Outcome) {
        let now = self.queue.now();
        if !self.out.remove(&id) {
            return;
        }
        let a = &self.attempts[id];
        let (n, server, request, number) = (a.node, a.server, a.request, a.number);
        let lives = self.servers[server as usize].life == a.server_life;
        if a.connected && lives {
            if matches!(outcome, Outcome::Delivered | Outcome::Error | Outcome::Shed) {
                self.nodes[n].idle.entry(server).or_default().push((now, a.server_life));
            } else {
                let server = &mut self.servers[server as usize];
                server.connections = server.connections.saturating_sub(1);
            }
        }
        let second = self.report.at(now - BEGINS);
        second.expired += u32::from(outcome == Outcome::Expired);
        second.shed += u32::from(outcome == Outcome::Shed);
        let answer = (outcome == Outcome::Delivered).then_some(());
        self.drive(n, |engine, now, out| engine.ended(now, request, number, outcome, answer, out));
    }

    fn tell(&mut self, n: NodeId, kind: ListKind, entries: Vec<Entry>) {
        let places = entries.into_iter().map(|entry| Place { address: entry.server, entry }).collect();
        self.drive(n, |engine, now, out| engine.members(now, kind, places, out));
    }

    /// News of the list comes to a node, or to the place where it will find it at its start.
    fn hear(&mut self, n: NodeId, entry: Entry) {
        let now = self.queue.now();
        let node = &mut self.nodes[n];
        if entry.state == ServerState::Up {
            node.gone.remove(&entry.server);
        } else {
            node.gone.entry(entry.server).or_insert(now);
        }
        node.list.insert(entry.server, entry.clone());
        self.tell(n, ListKind::Delta, vec![entry]);
    }

    // ---- servers ----

    fn reach(&mut self, id: AttemptId) {
        let now = self.queue.now();
        let a = &self.attempts[id];
        let (n, sid, of, fresh, life) = (a.node, a.server, a.of, a.fresh, a.server_life);
        let back = self.delay(n, sid);
        let server = &self.servers[sid as usize];
        if server.life != life || server.state != State::Up {
            // A machine that is cut off says nothing; one that ended has reset the connection.
            if server.state != State::Lost {
                self.queue.put(now + back, Event::Ends(id, Outcome::Dropped));
            }
            return;
        }
        let work = self.tries[of].work + if fresh { self.plan.handshake } else { 0.0 };
        self.push(n, sid, work);
        let server = &mut self.servers[sid as usize];
        if server.state != State::Up || server.manner == Manner::Silent {
            return;
        }
        if server.manner == Manner::Failing {
            self.tries[of].ran += 1;
            return self.queue.put(now + back, Event::Ends(id, Outcome::Error));
        }
        if server.waiting.len() >= self.plan.waiting {
            return self.queue.put(now + back, Event::Ends(id, Outcome::Shed));
        }
        server.waiting.push_back(id);
        self.serve(sid);
    }

    /// Counts work against what a server can do; a cold one falls over past its multiple.
    fn push(&mut self, n: NodeId, sid: ServerId, work: f64) {
        let (now, cold, (multiple, window)) = (self.queue.now(), self.plan.cold, self.plan.tips);
        let server = &mut self.servers[sid as usize];
        let knew = self.nodes[n].list.get(&sid).is_some_and(|e| e.ready_at == server.entry.ready_at);
        let capacity = server.capacity(now, cold);
        let (pushed, knowing) = server.push(now, work, knew, cold, window);
        let waits: f64 = server.waiting.iter().map(|id| self.tries[self.attempts[*id].of].work).sum();
        let past = if waits > QUEUE_LONG * capacity { work } else { 0.0 };
        self.report.at(now - BEGINS).past += past;
        if knowing >= 2.0 / 3.0 {
            self.report.rules.pushed = self.report.rules.pushed.max(pushed);
        }
        if pushed > multiple {
            if knowing >= 2.0 / 3.0 {
                self.report.rules.breach(now, Broken::PushedOver, sid as usize);
            }
            self.end_server(sid, State::Ended);
        }
    }

    /// Works on what waits longest, if the server is free.
    fn serve(&mut self, sid: ServerId) {
        let (now, cold) = (self.queue.now(), self.plan.cold);
        let server = &mut self.servers[sid as usize];
        if server.busy.is_some() {
            return;
        }
        let Some(id) = server.waiting.pop_front() else { return };
        server.busy = Some(id);
        let a = &self.attempts[id];
        let t = &mut self.tries[a.of];
        t.ran += 1;
        if t.ran > 1 && self.plan.classes[t.class].effect == Effect::AtMostOnce {
            self.report.rules.breach(now, Broken::RanTwice, a.of);
        }
        let mut work = lognormal(&mut self.work, t.work, ATTEMPT_CV);
        work += if a.fresh { self.plan.handshake } else { 0.0 };
        let done = now + work / server.capacity(now, cold);
        self.queue.put(done, Event::Worked(sid, server.life, id));
    }

    fn worked(&mut self, sid: ServerId, life: u32, id: AttemptId) {
        let server = &mut self.servers[sid as usize];
        if server.life != life || server.busy != Some(id) {
            return;
        }
        server.busy = None;
        let (now, silent) = (self.queue.now(), server.manner == Manner::Silent);
        let back = self.delay(self.attempts[id].node, sid);
        if !silent {
            self.queue.put(now + back, Event::Ends(id, Outcome::Delivered));
        }
        self.serve(sid);
    }

    fn end_server(&mut self, sid: ServerId, state: State) {
        let now = self.queue.now();
        self.servers[sid as usize].end(state);
        if state == State::Ended {
            // Whoever waits there hears of it; what is on a machine that is cut off waits on.
            let hit = |id: &&AttemptId| self.attempts[**id].server == sid && self.attempts[**id].connected;
            let hit: Vec<AttemptId> = self.out.iter().filter(hit).copied().collect();
            for id in hit {
                self.queue.put(now + self.plan.latency.1, Event::Ends(id, Outcome::Dropped));
            }
        }
    }

    /// Tells every node what the list says of a server, each at its time.
    fn announce(&mut self, sid: ServerId, state: ServerState) {
        let from = self.queue.now().max(self.list_down);
        self.servers[sid as usize].entry.state = state;
        let entry = self.servers[sid as usize].entry.clone();
        for n in 0..self.nodes.len() {
            // Each node hears all news with the same delay, so that none overtakes another.
            let after = self.plan.notice * (1.0 + self.nodes[n].hears);
            self.queue.put(from + after, Event::News(n, entry.clone()));
        }
    }

    // ---- what happens ----

    /// Servers that are there, in an order of chance, so many of them.
    fn some_servers(&mut self, part: f64) -> Vec<ServerId> {
        let up = |s: &&Server| {
            s.state == State::Up && s.entry.state == ServerState::Up && s.manner == Manner::Sound
        };
        let mut ids: Vec<ServerId> = self.servers.iter().filter(up).map(|s| s.entry.server).collect();
        shuffle(&mut ids, &mut self.machines);
        ids.truncate((part * self.plan.servers as f64).round() as usize);
        ids
    }

    fn some_nodes(&mut self, part: f64) -> Vec<NodeId> {
        let mut ids: Vec<NodeId> = (0..self.nodes.len()).collect();
        shuffle(&mut ids, &mut self.machines);
        ids.truncate((part * self.nodes.len() as f64).round() as usize);
        ids
    }

    fn happen(&mut self, which: usize) {
        let now = self.queue.now();
        match self.plan.happenings[which].1.clone() {
            Happening::NodesDie(part, back) => {
                let nodes = self.some_nodes(part);
                nodes.iter().for_each(|n| self.kill(*n));
                self.queue.put(now + back, Event::NodesStart(nodes));
            }
            Happening::ZoneLost(zone, back) => {
                let nodes: Vec<NodeId> =
                    (0..self.nodes.len()).filter(|n| self.nodes[*n].zone == zone).collect();
                nodes.iter().for_each(|n| self.kill(*n));
                self.queue.put(now + back, Event::NodesStart(nodes));
                let there = |s: &&Server| s.entry.zone == zone && s.state == State::Up;
                let ids: Vec<ServerId> = self.servers.iter().filter(there).map(|s| s.entry.server).collect();
                ids.iter().for_each(|id| self.end_server(*id, State::Lost));
                self.queue.put(now + back + 0.3, Event::ServersStart(ids));
            }
            Happening::Replace(part, after) => {
                let ids = self.some_servers(part);
                let mut new = Vec::new();
                for id in &ids {
                    self.announce(*id, ServerState::Draining);
                    let fresh = self.servers.len();
                    let server = make(&self.plan, &mut self.machines, fresh);
                    self.servers.push(server);
                    self.servers[fresh].end(State::Ended);
                    new.push(fresh as ServerId);
                }
                self.queue.put(now + 2.0 * self.plan.notice + 1.0, Event::ServersEnd(ids));
                self.queue.put(now + after, Event::ServersStart(new));
            }
            Happening::Vanish(part) => {
                for id in self.some_servers(part) {
                    self.end_server(id, State::Ended);
                    self.announce(id, ServerState::Gone);
                }
            }
            Happening::Flap(part, times) => {
                for id in self.some_servers(part) {
                    for n in 0..times {
                        let (off, on) = (f64::from(2 * n) * FLAPS, f64::from(2 * n + 1) * FLAPS);
                        self.queue.put(now + off, Event::Says(id, ServerState::Draining));
                        self.queue.put(now + on, Event::Says(id, ServerState::Up));
                    }
                }
            }
            Happening::Trouble(part, manner, length) => {
                let ids = self.some_servers(part);
                ids.iter().for_each(|id| self.servers[*id as usize].manner = manner);
                self.queue.put(now + length, Event::Relieved(ids));
            }
            Happening::ListDown(length) => self.list_down = now + length,
            Happening::Shunned(part, length) => {
                for n in self.some_nodes(part) {
                    self.nodes[n].shunned = now + length;
                }
            }
        }
    }

    /// A node is gone, with its connections; whoever waited at it tries again if that is harmless.
    fn kill(&mut self, n: NodeId) {
        let now = self.queue.now();
        let node = &mut self.nodes[n];
        let life = node.life;
        node.engine = None;
        node.life += 1;
        node.died = now;
        for (sid, kept) in std::mem::take(&mut node.idle) {
            let server = &mut self.servers[sid as usize];
            let open = kept.iter().filter(|(_, life)| *life == server.life).count();
            server.connections = server.connections.saturating_sub(open as u32);
        }
        let out = std::mem::take(&mut self.out);
        for id in out {
            let a = &self.attempts[id];
            let server = &mut self.servers[a.server as usize];
            if a.node != n {
                self.out.insert(id);
            } else if a.connected && server.life == a.server_life {
                server.connections = server.connections.saturating_sub(1);
            }
        }
        // A client waits for no longer than the longest deadline.
        let held = |t: &Try| t.node == Some((n, life)) && !t.answered && t.deadline > now;
        let held: Vec<TryId> = (0..self.tries.len()).filter(|t| held(&self.tries[*t])).collect();
        for id in held {
            self.tries[id].answered = true;
            if self.plan.classes[self.tries[id].class].effect == Effect::Idempotent {
                self.again(id, None);
            }
        }
    }
}

fn make(plan: &Plan, rng: &mut Pcg64Mcg, id: usize) -> Server {
    let mut at = rng.random::<f64>();
    let kind = plan.kinds.iter().position(|k| {
        at -= k.share;
        at < 0.0
    });
    let kind = kind.unwrap_or(0);
    let Some(k) = plan.kinds.get(kind) else { return Server::new(entry(id, 0, 0, 1.0, rng), 1.0) };
    let zone = u16::from(rng.random::<f64>() >= plan.zones.1);
    let speed = k.speed.0 + (k.speed.1 - k.speed.0) * rng.random::<f64>();
    Server::new(entry(id, zone, kind as KindId, k.weight, rng), speed)
}

fn entry(id: usize, zone: ZoneId, kind: KindId, weight: f64, rng: &mut Pcg64Mcg) -> Entry {
    Entry {
        server: id as ServerId,
        hash: rng.random(),
        zone,
        kind,
        cell: 0,
        state: ServerState::Up,
        weight,
        ready_at: 0.0,
        sharers: 1,
    }
}

fn shuffle<T>(items: &mut [T], rng: &mut Pcg64Mcg) {
    for n in (1..items.len()).rev() {
        items.swap(n, rng.random_range(0..=n));
    }
}
