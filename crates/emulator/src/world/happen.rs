//! What happens by the plan.

use super::*;

impl World {
    /// Servers that are there, in an order of chance, so many of them.
    pub(super) fn some_servers(&mut self, part: f64) -> Vec<ServerId> {
        let up = |s: &&Server| {
            s.state == State::Up && s.entry.state == ServerState::Up && s.manner == Manner::Sound
        };
        let mut ids: Vec<ServerId> = self
            .servers
            .iter()
            .filter(up)
            .map(|s| s.entry.server)
            .collect();
        shuffle(&mut ids, &mut self.machines);
        ids.truncate((part * self.plan.servers as f64).round() as usize);
        ids
    }

    pub(super) fn some_nodes(&mut self, part: f64) -> Vec<NodeId> {
        let mut ids: Vec<NodeId> = (0..self.nodes.len()).collect();
        shuffle(&mut ids, &mut self.machines);
        ids.truncate((part * self.nodes.len() as f64).round() as usize);
        ids
    }

    pub(super) fn happen(&mut self, which: usize) {
        let now = self.queue.now();
        match self.plan.happenings[which].1.clone() {
            Happening::NodesDie(part, back) => {
                let nodes = self.some_nodes(part);
                nodes.iter().for_each(|n| self.kill(*n));
                self.queue.put(now + back, Event::NodesStart(nodes));
            }
            Happening::ZoneLost(zone, back) => {
                let nodes: Vec<NodeId> = (0..self.nodes.len())
                    .filter(|n| self.nodes[*n].zone == zone)
                    .collect();
                nodes.iter().for_each(|n| self.kill(*n));
                self.queue.put(now + back, Event::NodesStart(nodes));
                let there = |s: &&Server| s.entry.zone == zone && s.state == State::Up;
                let ids: Vec<ServerId> = self
                    .servers
                    .iter()
                    .filter(there)
                    .map(|s| s.entry.server)
                    .collect();
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
                self.queue
                    .put(now + 2.0 * self.plan.notice + 1.0, Event::ServersEnd(ids));
                self.queue.put(now + after, Event::ServersStart(new));
            }
            Happening::Vanish(part) => {
                for id in self.some_servers(part) {
                    self.end_server(id, State::Ended);
                    self.announce(id, ServerState::Removed);
                }
            }
            Happening::Flap(part, times) => {
                for id in self.some_servers(part) {
                    for n in 0..times {
                        let (off, on) = (f64::from(2 * n) * FLAPS, f64::from(2 * n + 1) * FLAPS);
                        self.queue
                            .put(now + off, Event::Says(id, ServerState::Draining));
                        self.queue.put(now + on, Event::Says(id, ServerState::Up));
                    }
                }
            }
            Happening::Trouble(part, manner, length) => {
                let ids = self.some_servers(part);
                ids.iter()
                    .for_each(|id| self.servers[*id as usize].manner = manner);
                self.queue.put(now + length, Event::Relieved(ids));
            }
            Happening::ListDown(length) => self.list_down = now + length,
            Happening::Restarts(steps, gap, back) => {
                let order = self.some_nodes(1.0);
                let size = order.len().div_ceil(steps.max(1) as usize).max(1);
                for (step, nodes) in order.chunks(size).enumerate() {
                    // New requests stop, what is open is answered, then the process ends.
                    let ends = now + step as f64 * gap + STOPPING;
                    nodes
                        .iter()
                        .for_each(|n| self.nodes[*n].stops.push((ends - STOPPING, ends + back)));
                    self.queue.put(ends, Event::NodesEnd(nodes.to_vec(), back));
                }
            }
            Happening::Cut(zone, length) => self.cut = (zone, now + length),
            Happening::Losing(part, length) => self.losing = (part, now + length),
            Happening::Surge(times, length) => self.surge = (times, now + length),
            Happening::Shift(part) => self.shift = part,
            Happening::AllSlow(times, length) => {
                self.common_slow = times;
                self.queue.put(now + length, Event::Eases);
            }
            Happening::Shunned(part, length) => {
                for n in self.some_nodes(part) {
                    self.nodes[n].shunned = now + length;
                }
            }
        }
    }

    /// A node is gone, with its connections; whoever waited at it tries again if that is harmless.
    pub(super) fn kill(&mut self, n: NodeId) {
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
        let held: Vec<TryId> = (0..self.tries.len())
            .filter(|t| held(&self.tries[*t]))
            .collect();
        for id in held {
            self.tries[id].answered = true;
            if self.plan.classes[self.tries[id].class].effect == Idempotency::Idempotent {
                self.again(id, None);
            }
        }
    }
}

pub(super) fn shuffle<T>(items: &mut [T], rng: &mut Pcg64Mcg) {
    for n in (1..items.len()).rev() {
        items.swap(n, rng.random_range(0..=n));
    }
}
