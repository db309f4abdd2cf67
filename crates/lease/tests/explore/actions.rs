//! The actions of an exploration: the passing of time, deliveries, timers, writes and restarts.

use crate::config::{Exploration, RemovedPart, CLIENTS};
use crate::delivery::post_response;
use crate::properties::properties;
use crate::state::{Packet, SystemState, TokenUse};
use reelfall_lease::keeper::Destination;
use reelfall_lease::message::Message;
use stateright::{Model, Property};

/// Maximum number of admitted writes in an exploration.
const MAX_WRITES: usize = 2;
/// The nonce of a keeper after a restart.
const RESTART_NONCE: u64 = 20;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    AdvanceTime,
    /// Delivers a request and its response; or a write, or a late response.
    Deliver(Packet),
    /// Delivers a request; its response is delivered later, or never.
    DeliverWithLateResponse(Packet),
    DeliverDuplicate(Packet),
    /// Delivers a request to a keeper, which restarts before it has sent a message.
    DeliverAndRestart {
        packet: Packet,
        is_persisted: bool,
    },
    FireTimer {
        client: usize,
    },
    Write {
        client: usize,
    },
}

impl Model for Exploration {
    type State = SystemState;
    type Action = Action;

    fn init_states(&self) -> Vec<SystemState> {
        vec![self.initial_state()]
    }

    fn actions(&self, system: &SystemState, actions: &mut Vec<Action>) {
        if system.now < self.end {
            actions.push(Action::AdvanceTime);
        }
        for packet in &system.in_flight {
            self.add_deliveries(system, packet, actions);
        }
        for client in 0..CLIENTS {
            if self.can_fire_timer(system, client) {
                actions.push(Action::FireTimer { client });
            }
            if self.can_write(system, client) {
                actions.push(Action::Write { client });
            }
        }
    }

    fn next_state(&self, last: &SystemState, action: Action) -> Option<SystemState> {
        let mut system = last.clone();
        match action {
            Action::AdvanceTime => system.now += 1,
            Action::Deliver(packet) => self.deliver_with_response(&mut system, &packet),
            Action::DeliverWithLateResponse(packet) => {
                system.late_responses += 1;
                system.in_flight.remove(&packet);
                self.deliver(&mut system, &packet);
            }
            Action::DeliverDuplicate(packet) => {
                system.duplicates += 1;
                self.deliver(&mut system, &packet);
            }
            Action::DeliverAndRestart {
                packet,
                is_persisted,
            } => self.deliver_and_restart(&mut system, &packet, is_persisted)?,
            Action::FireTimer { client } => self.fire_timer(&mut system, client),
            Action::Write { client } => {
                let now = self.client_clock(system.now);
                let active = system.clients[client].active(now)?;
                let token = active.operation(()).claim().token;
                let write = TokenUse { client, token };
                system.in_flight.insert(Packet::Write(write));
            }
        }
        self.drop_ineffective(&mut system);
        (system != *last).then_some(system)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties()
    }
}

impl Exploration {
    fn add_deliveries(&self, system: &SystemState, packet: &Packet, actions: &mut Vec<Action>) {
        actions.push(Action::Deliver(packet.clone()));
        if system.late_responses < self.max_late_responses && packet.is_prepare_or_grant() {
            actions.push(Action::DeliverWithLateResponse(packet.clone()));
        }
        if system.duplicates < self.max_duplicates {
            actions.push(Action::DeliverDuplicate(packet.clone()));
        }
        if system.restarts < self.max_restarts && packet.is_prepare_or_grant() {
            for is_persisted in [false, true] {
                actions.push(Action::DeliverAndRestart {
                    packet: packet.clone(),
                    is_persisted,
                });
            }
        }
    }

    fn can_fire_timer(&self, system: &SystemState, client: usize) -> bool {
        let now = self.client_clock(system.now);
        let deadline = system.clients[client].deadline();
        let is_due = deadline.is_some_and(|deadline| deadline <= now);
        let is_allowed = if system.clients[client].active(now).is_some() {
            system.renewals < self.max_renewals
        } else {
            system.acquisitions[client] < self.max_acquisitions[client]
        };
        is_due && is_allowed
    }

    fn can_write(&self, system: &SystemState, client: usize) -> bool {
        let now = self.client_clock(system.now);
        let is_writing = system
            .in_flight
            .iter()
            .any(|packet| matches!(packet, Packet::Write(write) if write.client == client));
        self.has_writes
            && !is_writing
            && system.writes.len() < MAX_WRITES
            && system.clients[client].active(now).is_some()
    }

    fn deliver_with_response(&self, system: &mut SystemState, packet: &Packet) {
        system.in_flight.remove(packet);
        let before = system.in_flight.clone();
        self.deliver(system, packet);
        let Packet::Request {
            client: requester, ..
        } = packet
        else {
            return;
        };
        let responses: Vec<Packet> = system
            .in_flight
            .difference(&before)
            .filter(
                |packet| matches!(packet, Packet::Response { client, .. } if client == requester),
            )
            .cloned()
            .collect();
        for response in responses {
            system.in_flight.remove(&response);
            self.deliver(system, &response);
        }
    }

    /// Returns `None` if the packet is not a request.
    fn deliver_and_restart(
        &self,
        system: &mut SystemState,
        packet: &Packet,
        is_persisted: bool,
    ) -> Option<()> {
        system.in_flight.remove(packet);
        system.restarts += 1;
        let keeper = self.deliver_request(system, packet)?;
        let effects = system.keepers[keeper].keeper.take_effects();
        if is_persisted {
            for record in &effects.records {
                system.keepers[keeper].disk.apply(record);
            }
        }
        if self.removed == RemovedPart::Disk {
            for outgoing in effects.messages {
                if let (Destination::Client(to), Message::Response(response)) =
                    (outgoing.destination, outgoing.message)
                {
                    post_response(system, keeper, &to, response);
                }
            }
        }
        self.restart(system, keeper, RESTART_NONCE);
        Some(())
    }

    fn fire_timer(&self, system: &mut SystemState, client: usize) {
        let now = self.client_clock(system.now);
        if system.clients[client].active(now).is_some() {
            system.renewals += 1;
        } else {
            system.acquisitions[client] += 1;
        }
        system.clients[client].tick(now, 0);
        self.post(system, client);
    }
}
