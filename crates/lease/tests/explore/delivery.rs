//! Delivery of messages between clients, keepers and the resource.

use crate::config::{Exploration, RemovedPart, KEEPERS};
use crate::state::{client_id, lease, Packet, TokenUse, World};
use reelfall_lease::holder::{KeeperRequest, LeaseEvent};
use reelfall_lease::keeper::{Destination, Keeper};
use reelfall_lease::message::{ClientId, Message, RejectionReason, Request, Response};
use reelfall_lease::token::{Claim, Fence};

impl Exploration {
    /// Persists the records of a keeper and sends its messages. Messages between keepers are delivered at once.
    pub fn flush(&self, world: &mut World, keeper: usize) {
        let mut due = vec![keeper];
        while let Some(keeper) = due.pop() {
            let effects = world.keepers[keeper].keeper.take_effects();
            if self.removed != RemovedPart::Disk || world.is_prelude {
                for record in &effects.records {
                    world.keepers[keeper].disk.apply(record);
                }
            }
            for outgoing in effects.messages {
                match (outgoing.destination, outgoing.message) {
                    (Destination::Keeper(to), Message::Peer(message)) => {
                        let now = self.keeper_clock(world.now);
                        world.keepers[to]
                            .keeper
                            .handle_peer_message(now, keeper, message);
                        due.push(to);
                    }
                    (Destination::Client(to), Message::Response(response)) => {
                        post_response(world, keeper, &to, response);
                    }
                    other => panic!("{other:?}"),
                }
            }
        }
    }

    /// A keeper restarts from its disk.
    pub fn restart(&self, world: &mut World, keeper: usize, tag: u64) {
        let now = self.keeper_clock(world.now);
        let disk = world.keepers[keeper].disk.clone();
        world.keepers[keeper].keeper =
            Keeper::open(keeper, KEEPERS, self.keeper_config(), disk, tag, now);
        self.flush(world, keeper);
    }

    /// Sends the requests of a client to the keepers that it reaches, and records the tokens that it has acquired.
    pub fn post(&self, world: &mut World, client: usize) {
        for KeeperRequest {
            keeper: index,
            request,
        } in world.clients[client].take_requests()
        {
            let keeper = self.keeper_of(client, index);
            let is_reachable = self.reachable_keepers[client][keeper];
            if is_reachable || world.is_prelude || !self.has_majorities() {
                world.in_flight.insert(Packet::Request {
                    client,
                    keeper,
                    request,
                });
            }
        }
        for event in world.clients[client].take_events() {
            if let LeaseEvent::Acquired(token) = event {
                let token = token.number();
                world.acquired.insert(TokenUse { client, token });
            }
        }
    }

    /// A keeper handles a request, and its effects are left to the caller. Returns the keeper.
    pub fn deliver_request(&self, world: &mut World, packet: &Packet) -> Option<usize> {
        let Packet::Request {
            client,
            keeper,
            request,
        } = packet
        else {
            return None;
        };
        world.keepers[*keeper].keeper.handle_request(
            self.keeper_clock(world.now),
            &client_id(*client),
            request.clone(),
        );
        Some(*keeper)
    }

    pub fn deliver(&self, world: &mut World, packet: &Packet) {
        match packet {
            Packet::Request { .. } => {
                if let Some(keeper) = self.deliver_request(world, packet) {
                    self.flush(world, keeper);
                }
            }
            Packet::Response {
                keeper,
                client,
                response,
            } => {
                let now = self.client_clock(world.now);
                let index = self.index_of(*keeper);
                world.clients[*client].handle_response(now, index, response.clone(), 0);
                self.post(world, *client);
            }
            Packet::Write(write) => {
                if self.removed == RemovedPart::Fence || is_admitted(&world.writes, write.token) {
                    world.writes.push(*write);
                }
            }
        }
    }

    /// Drops packets that have no effect now or later: responses to requests that are no longer pending, and outdated
    /// ballots. States with and without them are the same.
    pub fn drop_ineffective(&self, world: &mut World) {
        let in_flight = std::mem::take(&mut world.in_flight);
        world.in_flight = in_flight
            .into_iter()
            .filter(|packet| self.is_effective(world, packet))
            .collect();
    }

    fn is_effective(&self, world: &World, packet: &Packet) -> bool {
        match packet {
            Packet::Write(_) => true,
            Packet::Response {
                keeper,
                client,
                response,
            } => self.changes_client(world, *keeper, *client, response.clone()),
            Packet::Request {
                client,
                keeper,
                request,
            } => {
                let state = world.keepers[*keeper].keeper.durable_state();
                let promised = state.promised_ballot(&lease());
                let is_awaited = |round: u64| {
                    let rejection = Response::Rejected {
                        lease: lease(),
                        round,
                        reason: RejectionReason::StaleBallot,
                        promised,
                    };
                    self.changes_client(world, *keeper, *client, rejection)
                };
                match request {
                    Request::Prepare { ballot, round, .. } => {
                        *ballot > promised || is_awaited(*round)
                    }
                    Request::Grant { token, round, .. } => *token >= promised || is_awaited(*round),
                    Request::Release { token, .. } => *token >= promised,
                }
            }
        }
    }

    fn changes_client(
        &self,
        world: &World,
        keeper: usize,
        client: usize,
        response: Response,
    ) -> bool {
        let now = self.client_clock(world.now);
        let mut changed = world.clients[client].clone();
        changed.handle_response(now, self.index_of(keeper), response, 0);
        changed != world.clients[client]
    }
}

pub fn post_response(world: &mut World, keeper: usize, to: &ClientId, response: Response) {
    world.in_flight.insert(Packet::Response {
        keeper,
        client: to.instance_id as usize,
        response,
    });
}

/// Whether the resource admits a write by this token after these ones.
fn is_admitted(writes: &[TokenUse], token: u64) -> bool {
    let claim = |token: u64| Claim {
        lease: lease(),
        token,
    };
    let mut fence = Fence::new(1);
    for write in writes {
        // Earlier writes are admitted or not; the fence remembers their tokens.
        let _ = fence.admit(&claim(write.token));
    }
    fence.admit(&claim(token)).is_ok()
}
