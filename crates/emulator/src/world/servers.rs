//! Servers: what comes to them, what they can do, and what the list says of them.

use super::*;

impl World {
    pub(super) fn reach(&mut self, id: AttemptId) {
        let now = self.queue.now();
        let a = &self.attempts[id];
        let (n, sid, of, fresh, life) = (a.node, a.server, a.of, a.fresh, a.server_life);
        let back = self.delay(n, sid);
        let cut = self.parted(n, sid);
        let server = &self.servers[sid as usize];
        if server.life != life || server.state != State::Up || cut {
            // A machine that is cut off says nothing; one that ended has reset the connection.
            if server.state != State::Lost && !cut {
                self.queue
                    .put(now + back, Event::Ends(id, Outcome::ConnectionLost));
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
        if server.waiting.len() >= server.room {
            return self
                .queue
                .put(now + back, Event::Ends(id, Outcome::Rejected));
        }
        server.waiting.push_back(id);
        self.serve(sid);
    }

    /// Whether nothing passes between a node and a server.
    pub(super) fn parted(&self, n: NodeId, sid: ServerId) -> bool {
        let (zone, until) = self.cut;
        let (node, server) = (self.nodes[n].zone, self.servers[sid as usize].entry.zone);
        self.queue.now() < until && node != server && (node == zone || server == zone)
    }

    /// Counts work against what a server can do; a cold one falls over past its multiple.
    pub(super) fn push(&mut self, n: NodeId, sid: ServerId, work: f64) {
        let (now, multiple) = (self.queue.now(), self.plan.tips.0);
        let server = &mut self.servers[sid as usize];
        let knew = self.nodes[n]
            .list
            .get(&sid)
            .is_some_and(|e| e.started_at == server.entry.started_at);
        let capacity = server.capacity(now, &self.plan);
        let (pushed, knowing) = server.push(now, work, knew, &self.plan);
        let waits: f64 = server
            .waiting
            .iter()
            .map(|id| self.tries[self.attempts[*id].of].work)
            .sum();
        let past = if waits > QUEUE_LONG * capacity {
            work
        } else {
            0.0
        };
        self.report.at(now - BEGINS).past += past;
        if knowing >= 2.0 / 3.0 {
            self.report.rules.pushed = self.report.rules.pushed.max(pushed);
        }
        if pushed > multiple {
            if knowing >= 2.0 / 3.0 {
                self.report
                    .rules
                    .breach(now, Broken::PushedOver, sid as usize);
            }
            self.end_server(sid, State::Ended);
        }
    }

    /// Works on what waits longest, if the server is free.
    pub(super) fn serve(&mut self, sid: ServerId) {
        let now = self.queue.now();
        let server = &mut self.servers[sid as usize];
        if server.busy.is_some() {
            return;
        }
        let Some(id) = server.waiting.pop_front() else {
            return;
        };
        server.busy = Some(id);
        let a = &self.attempts[id];
        let t = &mut self.tries[a.of];
        t.ran += 1;
        if t.ran > 1 && self.plan.classes[t.class].effect == Idempotency::AtMostOnce {
            self.report.rules.breach(now, Broken::RanTwice, a.of);
        }
        let mut work = lognormal(&mut self.work, t.work, ATTEMPT_CV);
        work += if a.fresh { self.plan.handshake } else { 0.0 };
        server.done += work;
        let done = server.awake(
            now,
            work * self.common_slow / server.crowded(now, &self.plan),
        );
        self.queue.put(done, Event::Worked(sid, server.life, id));
    }

    pub(super) fn worked(&mut self, sid: ServerId, life: u32, id: AttemptId) {
        let server = &mut self.servers[sid as usize];
        if server.life != life || server.busy != Some(id) {
            return;
        }
        server.busy = None;
        let (now, silent) = (self.queue.now(), server.manner == Manner::Silent);
        let n = self.attempts[id].node;
        let back = self.delay(n, sid);
        let lost = now < self.losing.1 && self.network.random::<f64>() < self.losing.0;
        if !silent && !self.parted(n, sid) {
            let outcome = if lost {
                Outcome::ConnectionLost
            } else {
                Outcome::Served
            };
            self.queue.put(now + back, Event::Ends(id, outcome));
        }
        self.serve(sid);
    }

    pub(super) fn end_server(&mut self, sid: ServerId, state: State) {
        let now = self.queue.now();
        self.servers[sid as usize].end(state);
        if state == State::Ended {
            // Whoever waits there hears of it; what is on a machine that is cut off waits on.
            let hit = |id: &&AttemptId| {
                self.attempts[**id].server == sid && self.attempts[**id].connected
            };
            let hit: Vec<AttemptId> = self.out.iter().filter(hit).copied().collect();
            for id in hit {
                self.queue.put(
                    now + self.plan.latency.1,
                    Event::Ends(id, Outcome::ConnectionLost),
                );
            }
        }
    }

    /// Tells every node what the list says of a server, each at its time.
    pub(super) fn announce(&mut self, sid: ServerId, state: ServerState) {
        let from = self.queue.now().max(self.list_down);
        self.servers[sid as usize].entry.state = state;
        let entry = self.servers[sid as usize].entry.clone();
        for n in 0..self.nodes.len() {
            // Each node hears all news with the same delay, so that none overtakes another.
            let after = self.plan.notice * (1.0 + self.nodes[n].hears);
            self.queue.put(from + after, Event::News(n, entry.clone()));
        }
    }
}

pub(super) fn make(plan: &Plan, rng: &mut Pcg64Mcg, id: usize) -> Server {
    let mut at = rng.random::<f64>();
    let kind = plan.kinds.iter().position(|k| {
        at -= k.share;
        at < 0.0
    });
    let kind = kind.unwrap_or(0);
    let room = rng.random_range(plan.waiting.0..=plan.waiting.1.max(plan.waiting.0));
    let Some(k) = plan.kinds.get(kind) else {
        return Server::new(entry(id, 0, 0, 1.0, rng), 1.0, room);
    };
    let zone = u16::from(rng.random::<f64>() >= plan.zones.1);
    let speed = k.speed.0 + (k.speed.1 - k.speed.0) * rng.random::<f64>();
    Server::new(
        entry(id, zone, kind as MachineTypeId, k.weight, rng),
        speed,
        room,
    )
}

pub(super) fn entry(
    id: usize,
    zone: ZoneId,
    kind: MachineTypeId,
    weight: f64,
    rng: &mut Pcg64Mcg,
) -> Endpoint {
    Endpoint {
        server: id as ServerId,
        hash: rng.random(),
        zone,
        machine_type: kind,
        cell: 0,
        state: ServerState::Up,
        weight,
        started_at: 0.0,
        local_balancers: 1,
    }
}
