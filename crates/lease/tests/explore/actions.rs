//! The actions of an exploration: time, deliveries, timers, writes and restarts.

use crate::config::{Exploration, RemovedPart, CLIENTS};
use crate::delivery::post_response;
use crate::properties::properties;
use crate::state::{Packet, TokenUse, World};
use reelfall_lease::keeper::Destination;
use reelfall_lease::message::Message;
use stateright::{Model, Property};

/// Writes of an exploration.
const MAX_WRITES: usize = 2;
/// The tag of a keeper after a restart.
const RESTART_TAG: u64 = 20;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    AdvanceTime,
    /// A request is delivered, and its response at once; or a write, or a late response.
    Deliver(Packet),
    /// The response is delivered later, or never.
    DeliverWithLateResponse(Packet),
    DeliverDuplicate(Packet),
    /// The keeper handles the request and restarts before it has sent anything.
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
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![self.initial_world()]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        if world.now < self.end {
            actions.push(Action::AdvanceTime);
        }
        for packet in &world.in_flight {
            self.add_deliveries(world, packet, actions);
        }
        for client in 0..CLIENTS {
            if self.can_fire_timer(world, client) {
                actions.push(Action::FireTimer { client });
            }
            if self.can_write(world, client) {
                actions.push(Action::Write { client });
            }
        }
    }

    fn next_state(&self, last: &World, action: Action) -> Option<World> {
        let mut world = last.clone();
        match action {
            Action::AdvanceTime => world.now += 1,
            Action::Deliver(packet) => self.deliver_with_response(&mut world, &packet),
            Action::DeliverWithLateResponse(packet) => {
                world.late_responses += 1;
                world.in_flight.remove(&packet);
                self.deliver(&mut world, &packet);
            }
            Action::DeliverDuplicate(packet) => {
                world.duplicates += 1;
                self.deliver(&mut world, &packet);
            }
            Action::DeliverAndRestart {
                packet,
                is_persisted,
            } => self.deliver_and_restart(&mut world, &packet, is_persisted)?,
            Action::FireTimer { client } => self.fire_timer(&mut world, client),
            Action::Write { client } => {
                let now = self.client_clock(world.now);
                let active = world.clients[client].active(now)?;
                let token = active.operation(()).claim().token;
                let write = TokenUse { client, token };
                world.in_flight.insert(Packet::Write(write));
            }
        }
        self.drop_ineffective(&mut world);
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties()
    }
}

impl Exploration {
    fn add_deliveries(&self, world: &World, packet: &Packet, actions: &mut Vec<Action>) {
        actions.push(Action::Deliver(packet.clone()));
        if world.late_responses < self.max_late_responses && packet.is_prepare_or_grant() {
            actions.push(Action::DeliverWithLateResponse(packet.clone()));
        }
        if world.duplicates < self.max_duplicates {
            actions.push(Action::DeliverDuplicate(packet.clone()));
        }
        if world.restarts < self.max_restarts && packet.is_prepare_or_grant() {
            for is_persisted in [false, true] {
                actions.push(Action::DeliverAndRestart {
                    packet: packet.clone(),
                    is_persisted,
                });
            }
        }
    }

    fn can_fire_timer(&self, world: &World, client: usize) -> bool {
        let now = self.client_clock(world.now);
        let deadline = world.clients[client].deadline();
        let is_due = deadline.is_some_and(|deadline| deadline <= now);
        let is_allowed = if world.clients[client].active(now).is_some() {
            world.renewals < self.max_renewals
        } else {
            world.acquisitions[client] < self.max_acquisitions[client]
        };
        is_due && is_allowed
    }

    fn can_write(&self, world: &World, client: usize) -> bool {
        let now = self.client_clock(world.now);
        let is_writing = world
            .in_flight
            .iter()
            .any(|packet| matches!(packet, Packet::Write(write) if write.client == client));
        self.has_writes
            && !is_writing
            && world.writes.len() < MAX_WRITES
            && world.clients[client].active(now).is_some()
    }

    fn deliver_with_response(&self, world: &mut World, packet: &Packet) {
        world.in_flight.remove(packet);
        let before = world.in_flight.clone();
        self.deliver(world, packet);
        let Packet::Request {
            client: requester, ..
        } = packet
        else {
            return;
        };
        let responses: Vec<Packet> = world
            .in_flight
            .difference(&before)
            .filter(
                |packet| matches!(packet, Packet::Response { client, .. } if client == requester),
            )
            .cloned()
            .collect();
        for response in responses {
            world.in_flight.remove(&response);
            self.deliver(world, &response);
        }
    }

    /// None if the packet is no request.
    fn deliver_and_restart(
        &self,
        world: &mut World,
        packet: &Packet,
        is_persisted: bool,
    ) -> Option<()> {
        world.in_flight.remove(packet);
        world.restarts += 1;
        let keeper = self.deliver_request(world, packet)?;
        let effects = world.keepers[keeper].keeper.take_effects();
        if is_persisted {
            for record in &effects.records {
                world.keepers[keeper].disk.apply(record);
            }
        }
        if self.removed == RemovedPart::Disk {
            for outgoing in effects.messages {
                if let (Destination::Client(to), Message::Response(response)) =
                    (outgoing.destination, outgoing.message)
                {
                    post_response(world, keeper, &to, response);
                }
            }
        }
        self.restart(world, keeper, RESTART_TAG);
        Some(())
    }

    fn fire_timer(&self, world: &mut World, client: usize) {
        let now = self.client_clock(world.now);
        if world.clients[client].active(now).is_some() {
            world.renewals += 1;
        } else {
            world.acquisitions[client] += 1;
        }
        world.clients[client].tick(now, 0);
        self.post(world, client);
    }
}
