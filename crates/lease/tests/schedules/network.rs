//! Messages between processes, and disk writes of keepers: their delays and their delivery.

use crate::fault::Fault;
use crate::simulation::Simulation;
use crate::SECOND;
use rand::Rng;
use reelfall_lease::durable::Record;
use reelfall_lease::holder::{KeeperRequest, LeaseEvent};
use reelfall_lease::keeper::{Destination, Effects, OutgoingMessage};
use reelfall_lease::message::{ClientId, Message};
use reelfall_lease::recovery::Status;
use reelfall_lease::token::{Claim, FenceError};
use reelfall_lease::Micros;

/// Orders events by time; events of the same time in the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventKey {
    pub at: Micros,
    pub number: u64,
}

#[derive(Clone)]
pub enum Sender {
    Client(ClientId),
    Keeper(usize),
}

pub enum Event {
    ToKeeper {
        keeper: usize,
        from: Sender,
        message: Message,
    },
    ToClient {
        client: usize,
        /// The run of the client to which the message is addressed.
        run_id: u64,
        keeper: usize,
        message: Message,
    },
    /// The records of a keeper are on its disk, and the messages that depend on them can be sent.
    Persisted {
        keeper: usize,
        run_id: u64,
        effects: Effects,
    },
    /// A write arrives at the protected resource.
    Write(Claim),
    Fault(Fault),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    ClientToKeeper { client: usize, keeper: usize },
    Keepers { lower: usize, higher: usize },
}

impl Link {
    pub fn between_keepers(one: usize, other: usize) -> Link {
        Link::Keepers {
            lower: one.min(other),
            higher: one.max(other),
        }
    }
}

impl Simulation {
    /// Takes the effects of a keeper, and schedules the end of the write of its records.
    pub fn flush_keeper(&mut self, index: usize) {
        let is_slow = self.rng.random_bool(0.02);
        let write_duration = if is_slow {
            self.rng.random_range(1..500_000)
        } else {
            self.rng.random_range(50..5_000)
        };
        let process = &mut self.keepers[index];
        let Some(keeper) = &mut process.keeper else {
            return;
        };
        if keeper.status() == Status::Voting {
            process.is_folder_lost = false;
        }
        let effects = keeper.take_effects();
        if effects == Effects::default() {
            return;
        }
        let started_at = self.now.max(process.writing_until);
        let is_write_needed = !effects.records.is_empty();
        let persisted_at = started_at + if is_write_needed { write_duration } else { 0 };
        process.writing_until = persisted_at;
        let persisted = Event::Persisted {
            keeper: index,
            run_id: process.process.run_id,
            effects,
        };
        self.schedule(persisted_at, persisted);
    }

    /// Sends the requests of a client, and checks the tokens that it has acquired.
    pub fn flush_client(&mut self, index: usize) {
        let client = &mut self.clients[index];
        let id = ClientId {
            name: index.to_string(),
            instance_id: client.process.run_id,
        };
        for event in client.lease.take_events() {
            let LeaseEvent::Acquired(token) = event else {
                continue;
            };
            let token = token.number();
            let last = self.acquired_tokens.last();
            if last.is_some_and(|last| *last >= token) {
                self.violations
                    .insert(format!("token {token} was acquired after token {last:?}"));
            }
            self.acquired_tokens.push(token);
        }
        for KeeperRequest { keeper, request } in client.lease.take_requests() {
            let link = Link::ClientToKeeper {
                client: index,
                keeper,
            };
            for delay in self.delivery_delays(link) {
                let encoded = Message::Request(request.clone()).encode().unwrap();
                let event = Event::ToKeeper {
                    keeper,
                    from: Sender::Client(id.clone()),
                    message: Message::decode(&encoded).unwrap(),
                };
                self.schedule(self.now + delay, event);
            }
        }
    }

    /// The delay of each copy of a message that is sent over a link now; empty if the message is lost.
    fn delivery_delays(&mut self, link: Link) -> Vec<Micros> {
        let partitioned_until = self.partitions.get(&link);
        let is_partitioned = partitioned_until.is_some_and(|until| *until > self.now);
        if is_partitioned || self.rng.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if self.rng.random_bool(0.05) { 2 } else { 1 };
        let is_late = self.rng.random_bool(0.03);
        (0..copies)
            .map(|_| {
                if is_late {
                    self.rng.random_range(0..3 * SECOND)
                } else {
                    self.rng.random_range(100..20_000)
                }
            })
            .collect()
    }

    fn send_from_keeper(&mut self, index: usize, to: Destination, message: &Message) {
        match to {
            Destination::Keeper(to) => {
                for delay in self.delivery_delays(Link::between_keepers(index, to)) {
                    let event = Event::ToKeeper {
                        keeper: to,
                        from: Sender::Keeper(index),
                        message: message.clone(),
                    };
                    self.schedule(self.now + delay, event);
                }
            }
            Destination::Client(id) => {
                let client: usize = id.name.parse().unwrap();
                let link = Link::ClientToKeeper {
                    client,
                    keeper: index,
                };
                for delay in self.delivery_delays(link) {
                    let event = Event::ToClient {
                        client,
                        run_id: id.instance_id,
                        keeper: index,
                        message: message.clone(),
                    };
                    self.schedule(self.now + delay, event);
                }
            }
        }
    }

    pub fn handle_next_event(&mut self) {
        let (key, event) = self.events.pop_first().unwrap();
        self.now = key.at.max(self.now);
        if let Some(paused_until) = self.receiver_paused_until(&event) {
            self.schedule(paused_until, event);
            return;
        }
        match event {
            Event::ToKeeper {
                keeper,
                from,
                message,
            } => self.deliver_to_keeper(keeper, from, message),
            Event::ToClient {
                client,
                run_id,
                keeper,
                message,
            } => {
                if self.clients[client].process.run_id == run_id {
                    self.deliver_to_client(client, keeper, message);
                }
            }
            Event::Persisted {
                keeper,
                run_id,
                effects,
            } => {
                let process = &self.keepers[keeper];
                if process.keeper.is_some() && process.process.run_id == run_id {
                    self.apply_records(keeper, &effects.records);
                    for OutgoingMessage {
                        destination,
                        message,
                    } in effects.messages
                    {
                        self.send_from_keeper(keeper, destination, &message);
                    }
                }
            }
            Event::Write(claim) => match self.fence.admit(&claim) {
                Ok(()) => self.admitted_writes += 1,
                Err(FenceError::StaleToken { .. }) => self.stale_writes += 1,
                Err(other) => panic!("{other}"),
            },
            Event::Fault(fault) => self.inject(fault),
        }
    }

    /// The end of the pause of the process that receives an event; `None` if it is not paused.
    fn receiver_paused_until(&self, event: &Event) -> Option<Micros> {
        let process = match event {
            Event::ToKeeper { keeper, .. } | Event::Persisted { keeper, .. } => {
                &self.keepers[*keeper].process
            }
            Event::ToClient { client, .. } => &self.clients[*client].process,
            Event::Write(_) | Event::Fault(_) => return None,
        };
        (process.paused_until > self.now).then_some(process.paused_until)
    }

    fn deliver_to_keeper(&mut self, index: usize, from: Sender, message: Message) {
        let process = &mut self.keepers[index];
        let clock = process.process.clock(self.now);
        let Some(keeper) = &mut process.keeper else {
            return;
        };
        match (from, message) {
            (Sender::Client(id), Message::Request(request)) => {
                keeper.handle_request(clock, &id, request);
            }
            (Sender::Keeper(from), Message::Peer(message)) => {
                keeper.handle_peer_message(clock, from, message);
            }
            _ => unreachable!(),
        }
        self.flush_keeper(index);
    }

    fn deliver_to_client(&mut self, index: usize, keeper: usize, message: Message) {
        let jitter = self.rng.random();
        let Message::Response(response) = message else {
            unreachable!()
        };
        let client = &mut self.clients[index];
        let clock = client.process.clock(self.now);
        client
            .lease
            .handle_response(clock, keeper, response, jitter);
        self.flush_client(index);
    }

    pub fn apply_records(&mut self, keeper: usize, records: &[Record]) {
        for record in records {
            self.keepers[keeper].disk.apply(record);
        }
    }
}
