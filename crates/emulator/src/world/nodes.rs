//! Nodes: what their engines want done, their connections, and what they are told of the list.

use super::*;

impl World {
    /// Tells a node's engine something and does what it wants done.
    pub(super) fn drive(
        &mut self,
        n: NodeId,
        what: impl FnOnce(&mut Engine<Virtual>, Time, &mut Vec<Command<Virtual>>),
    ) {
        let now = self.queue.now();
        let Some(engine) = self.nodes[n].engine.as_mut() else {
            return;
        };
        let mut commands = Vec::new();
        what(engine, now, &mut commands);
        for command in commands {
            self.carry_out(n, command);
        }
    }

    pub(super) fn carry_out(&mut self, n: NodeId, command: Command<Virtual>) {
        let (now, life) = (self.queue.now(), self.nodes[n].life);
        self.report.commands.add(now, n, &command);
        match command {
            Command::Send {
                request,
                attempt,
                server,
                deadline: expires,
                ..
            } => self.send(n, request, attempt, server, expires),
            Command::Answer { to, answer, .. } => self.answer(to, &answer),
            Command::StartTimer { after, tag } => {
                self.queue.put(now + after, Event::Timer(n, life, tag))
            }
            Command::CloseConnections { server } => {
                let closed = self.nodes[n].idle.remove(&server).unwrap_or_default();
                let server = &mut self.servers[server as usize];
                let open = closed
                    .iter()
                    .filter(|(_, life)| *life == server.life)
                    .count();
                server.connections = server.connections.saturating_sub(open as u32);
            }
            // Lists come by themselves, no module of this project calls attempts off, and numbers are never reused.
            Command::CancelAttempt { .. } | Command::Watch | Command::ReleaseServerId { .. } => {}
        }
    }

    pub(super) fn delay(&mut self, n: NodeId, server: ServerId) -> Time {
        let near = self.nodes[n].zone == self.servers[server as usize].entry.zone;
        let mean = if near {
            self.plan.latency.0
        } else {
            self.plan.latency.1
        };
        mean * (0.8 + 0.4 * self.network.random::<f64>())
    }

    /// An idle connection of a node to a server; those that are too old are closed on the way.
    pub(super) fn kept(&mut self, n: NodeId, id: ServerId) -> bool {
        let (now, idle) = (self.queue.now(), self.plan.idle);
        let server = &mut self.servers[id as usize];
        let Some(kept) = self.nodes[n].idle.get_mut(&id) else {
            return false;
        };
        kept.retain(|(since, life)| {
            let stays = *life == server.life && now - since < 0.8 * idle;
            if !stays && *life == server.life {
                server.connections = server.connections.saturating_sub(1);
            }
            stays
        });
        kept.pop().is_some()
    }

    pub(super) fn send(
        &mut self,
        n: NodeId,
        request: RequestId,
        number: u32,
        id: ServerId,
        expires: Time,
    ) {
        let now = self.queue.now();
        let Some(of) = self.nodes[n]
            .engine
            .as_mut()
            .and_then(|e| e.payload(request).copied())
        else {
            return;
        };
        if self.tries[of].answered {
            self.report.rules.breach(now, Broken::SentAfter, of);
        }
        if self.nodes[n]
            .gone
            .get(&id)
            .is_some_and(|since| now - since > 0.5)
        {
            self.report
                .rules
                .breach(now, Broken::SentToGone, id as usize);
        }
        let fresh = !self.kept(n, id);
        let there = self.delay(n, id);
        let cut = self.parted(n, id);
        let server = &mut self.servers[id as usize];
        let dead = cut || server.state != State::Up || server.manner == Manner::Silent;
        let attempt = self.attempts.len();
        let server_life = server.life;
        let mut connected = true;
        let at = if !fresh {
            self.queue.put(now + there, Event::Reaches(attempt));
            now
        } else if server.state == State::Lost || cut {
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
            self.queue
                .put(at, Event::Ends(attempt, Outcome::ConnectFailed));
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
    pub(super) fn end(&mut self, id: AttemptId, outcome: Outcome) {
        let now = self.queue.now();
        if !self.out.remove(&id) {
            return;
        }
        let a = &self.attempts[id];
        let (n, server, request, number) = (a.node, a.server, a.request, a.number);
        let lives = self.servers[server as usize].life == a.server_life;
        if a.connected && lives {
            if matches!(
                outcome,
                Outcome::Served | Outcome::Error | Outcome::Rejected
            ) {
                self.nodes[n]
                    .idle
                    .entry(server)
                    .or_default()
                    .push((now, a.server_life));
            } else {
                let server = &mut self.servers[server as usize];
                server.connections = server.connections.saturating_sub(1);
            }
        }
        let second = self.report.at(now - BEGINS);
        second.expired += u32::from(outcome == Outcome::TimedOut);
        second.shed += u32::from(outcome == Outcome::Rejected);
        let answer = (outcome == Outcome::Served).then_some(());
        self.drive(n, |engine, now, out| {
            engine.end_attempt(now, request, number, outcome, answer, out)
        });
    }

    pub(super) fn tell(&mut self, n: NodeId, kind: UpdateKind, entries: Vec<Endpoint>) {
        let places = entries
            .into_iter()
            .map(|entry| AddressedEndpoint {
                address: entry.server,
                endpoint: entry,
            })
            .collect();
        self.drive(n, |engine, now, out| {
            engine.update_endpoints(now, kind, places, out)
        });
    }

    /// News of the list comes to a node, or to the place where it will find it at its start.
    pub(super) fn hear(&mut self, n: NodeId, entry: Endpoint) {
        let now = self.queue.now();
        let node = &mut self.nodes[n];
        if entry.state == ServerState::Up {
            node.gone.remove(&entry.server);
        } else {
            node.gone.entry(entry.server).or_insert(now);
        }
        node.list.insert(entry.server, entry.clone());
        self.tell(n, UpdateKind::Delta, vec![entry]);
    }
}
