//! News of the server list: which servers came, changed and went, and what the module is told of it.

use super::servers::Listed;
use super::{Command, Decide, Engine, Host, Place};
use crate::interface::*;
use std::collections::{HashMap, HashSet};

/// The lines that the module is told.
#[derive(Default)]
struct News {
    lines: Vec<Endpoint>,
    /// Servers that were supplanted, and how many of the lines were there then: those on such a server count no more.
    supplanted: HashMap<ServerId, usize>,
}

impl News {
    /// What was said of a server so far counts no more: it is gone, as another has its address.
    fn supplant(&mut self, old: ServerId, by: &Endpoint) {
        self.supplanted.insert(old, self.lines.len());
        self.lines.push(Endpoint {
            server: old,
            state: ServerState::Removed,
            ..by.clone()
        });
    }

    fn into_entries(self) -> Vec<Endpoint> {
        let News { lines, supplanted } = self;
        if supplanted.is_empty() {
            return lines;
        }
        let counts = |(n, line): &(usize, Endpoint)| {
            supplanted.get(&line.server).is_none_or(|from| n >= from)
        };
        lines
            .into_iter()
            .enumerate()
            .filter(counts)
            .map(|(_, line)| line)
            .collect()
    }
}

impl<H: Host, D: Decide> Engine<H, D> {
    /// News of the list. What is kept of a server that left, restarted or moved goes at once.
    pub fn members(
        &mut self,
        now: Time,
        list: UpdateKind,
        places: Vec<Place<H::Address>>,
        out: &mut Vec<Command<H>>,
    ) {
        if matches!(list, UpdateKind::Snapshot | UpdateKind::Cached) {
            let named: HashSet<ServerId> = places.iter().map(|p| p.entry.server).collect();
            for server in self.servers.missing(&named) {
                self.remove(now, server, out);
            }
        }
        let mut news = News::default();
        for place in places {
            self.take_in(now, place, &mut news, out);
        }
        // Names are ever new: without an end, they and what is kept by their numbers would fill the memory.
        for server in self.servers.rested(now) {
            out.push(Command::Release { server });
        }
        let entries = news.into_entries();
        self.feed(
            now,
            Event::EndpointUpdate {
                kind: list,
                endpoints: entries,
            },
            out,
        );
    }

    fn take_in(
        &mut self,
        now: Time,
        place: Place<H::Address>,
        news: &mut News,
        out: &mut Vec<Command<H>>,
    ) {
        let Place { entry, address } = place;
        let server = entry.server;
        if entry.state == ServerState::Removed {
            self.remove(now, server, out);
        } else {
            if entry.state == ServerState::Up {
                self.supplant(now, &entry, &address, news, out);
            }
            let old = self.servers.get(server);
            let same = old.is_some_and(|o| o.address == address && o.ready_at == entry.started_at);
            if !same || entry.state != ServerState::Up {
                out.push(Command::Forget { server });
            }
            self.servers.insert(
                server,
                Listed {
                    address,
                    state: entry.state,
                    ready_at: entry.started_at,
                },
            );
        }
        news.lines.push(entry);
    }

    fn remove(&mut self, now: Time, server: ServerId, out: &mut Vec<Command<H>>) {
        out.push(Command::Forget { server });
        self.servers.remove(now, server);
    }

    /// A server at the address of another: that one is gone, though nobody has said so yet.
    ///
    /// Guards against sending to a machine under two names while the news of the old one's end is late, which
    /// would give a cold server twice its part; it ought to catch any list that names one address twice. Harm: if
    /// two servers did share an address behind something that parts them, only the one named last gets requests.
    fn supplant(
        &mut self,
        now: Time,
        by: &Endpoint,
        address: &H::Address,
        news: &mut News,
        out: &mut Vec<Command<H>>,
    ) {
        for old in self.servers.others_at(address, by.server) {
            self.remove(now, old, out);
            news.supplant(old, by);
        }
    }
}
