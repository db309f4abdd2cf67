//! Delivers messages between clients, keepers and the resource.

use crate::config::{Exploration, RemovedPart, KEEPERS};
use crate::state::{client_id, lease, Packet, SystemState, TokenUse};
use reelfall_lease::holder::{KeeperRequest, LeaseEvent};
use reelfall_lease::keeper::{Destination, Keeper};
use reelfall_lease::message::{ClientId, Message, RejectionReason, Request, Response};
use reelfall_lease::token::{Claim, Fence};

impl Exploration {
    /// Persists the records of a keeper and sends its messages. Messages between keepers are delivered immediately.
    pub fn flush(&self, system: &mut SystemState, keeper: usize) {
        let mut pending = vec![keeper];
        while let Some(keeper) = pending.pop() {
            let effects = system.keepers[keeper].keeper.take_effects();
            if self.removed != RemovedPart::Disk || system.is_setup {
                for record in &effects.records {
                    system.keepers[keeper].disk.apply(record);
                }
            }
            for outgoing in effects.messages {
                match (outgoing.destination, outgoing.message) {
                    (Destination::Keeper(to), Message::Peer(message)) => {
                        let now = self.keeper_clock(system.now);
                        system.keepers[to]
                            .keeper
                            .handle_peer_message(now, keeper, message);
                        pending.push(to);
                    }
                    (Destination::Client(to), Message::Response(response)) => {
                        post_response(system, keeper, &to, response);
                    }
                    other => panic!("{other:?}"),
                }
            }
        }
    }

    /// Restarts a keeper from its disk.
    pub fn restart(&self, system: &mut SystemState, keeper: usize, nonce: u64) {
        let now = self.keeper_clock(system.now);
        let disk = system.keepers[keeper].disk.clone();
        system.keepers[keeper].keeper =
            Keeper::open(keeper, KEEPERS, self.keeper_config(), disk, nonce, now);
        self.flush(system, keeper);
    }

    /// Sends the requests of a client to the keepers that it reaches, and records the tokens that it has acquired.
    pub fn post(&self, system: &mut SystemState, client: usize) {
        for KeeperRequest {
            keeper: index,
            request,
        } in system.clients[client].take_requests()
        {
            let keeper = self.keeper_of(client, index);
            let is_reachable = self.reachable_keepers[client][keeper];
            if is_reachable || system.is_setup || !self.has_majorities() {
                system.in_flight.insert(Packet::Request {
                    client,
                    keeper,
                    request,
                });
            }
        }
        for event in system.clients[client].take_events() {
            if let LeaseEvent::Acquired(token) = event {
                let token = token.number();
                system.acquired.insert(TokenUse { client, token });
            }
        }
    }

    /// Passes a request to a keeper, and leaves the keeper's effects to the caller. Returns the keeper, or `None` if the
    /// packet is not a request.
    pub fn deliver_request(&self, system: &mut SystemState, packet: &Packet) -> Option<usize> {
        let Packet::Request {
            client,
            keeper,
            request,
        } = packet
        else {
            return None;
        };
        system.keepers[*keeper].keeper.handle_request(
            self.keeper_clock(system.now),
            &client_id(*client),
            request.clone(),
        );
        Some(*keeper)
    }

    pub fn deliver(&self, system: &mut SystemState, packet: &Packet) {
        match packet {
            Packet::Request { .. } => {
                if let Some(keeper) = self.deliver_request(system, packet) {
                    self.flush(system, keeper);
                }
            }
            Packet::Response {
                keeper,
                client,
                response,
            } => {
                let now = self.client_clock(system.now);
                let index = self.index_of(*keeper);
                system.clients[*client].handle_response(now, index, response.clone(), 0);
                self.post(system, *client);
            }
            Packet::Write(write) => {
                if self.removed == RemovedPart::Fence || is_admitted(&system.writes, write.token) {
                    system.writes.push(*write);
                }
            }
        }
    }

    /// Drops packets that have no effect now or later: responses to requests that are no longer pending, and requests
    /// with outdated ballots. States with and without them are equivalent.
    pub fn drop_ineffective(&self, system: &mut SystemState) {
        let in_flight = std::mem::take(&mut system.in_flight);
        system.in_flight = in_flight
            .into_iter()
            .filter(|packet| self.is_effective(system, packet))
            .collect();
    }

    fn is_effective(&self, system: &SystemState, packet: &Packet) -> bool {
        match packet {
            Packet::Write(_) => true,
            Packet::Response {
                keeper,
                client,
                response,
            } => self.changes_client(system, *keeper, *client, response.clone()),
            Packet::Request {
                client,
                keeper,
                request,
            } => {
                let state = system.keepers[*keeper].keeper.durable_state();
                let promised = state.promised_ballot(&lease());
                let is_awaited = |round: u64| {
                    let rejection = Response::Rejected {
                        lease: lease(),
                        round,
                        reason: RejectionReason::StaleBallot,
                        promised,
                    };
                    self.changes_client(system, *keeper, *client, rejection)
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
        system: &SystemState,
        keeper: usize,
        client: usize,
        response: Response,
    ) -> bool {
        let now = self.client_clock(system.now);
        let mut changed = system.clients[client].clone();
        changed.handle_response(now, self.index_of(keeper), response, 0);
        changed != system.clients[client]
    }
}

pub fn post_response(system: &mut SystemState, keeper: usize, to: &ClientId, response: Response) {
    system.in_flight.insert(Packet::Response {
        keeper,
        client: to.instance_id as usize,
        response,
    });
}

/// Whether the resource admits a write with this token after these writes.
fn is_admitted(writes: &[TokenUse], token: u64) -> bool {
    let claim = |token: u64| Claim {
        lease: lease(),
        token,
    };
    let mut fence = Fence::new(1);
    for write in writes {
        // Whether the earlier write is admitted does not matter here: the fence remembers its token.
        let _ = fence.admit(&claim(write.token));
    }
    fence.admit(&claim(token)).is_ok()
}
