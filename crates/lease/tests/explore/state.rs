//! A state of an exploration: keepers, clients and the messages in flight.

use crate::config::{Exploration, CLIENTS, KEEPERS};
use reelfall_lease::durable::DurableState;
use reelfall_lease::holder::Lease;
use reelfall_lease::keeper::Keeper;
use reelfall_lease::message::{ClientId, Request, Response};
use reelfall_lease::recovery::Status;
use reelfall_lease::token::LeaseName;
use std::collections::BTreeSet;

pub fn lease() -> LeaseName {
    LeaseName::try_from("task".to_owned()).unwrap()
}

pub fn client_id(client: usize) -> ClientId {
    ClientId {
        name: format!("n{client}"),
        instance_id: client as u64,
    }
}

/// A keeper, and the state that is on its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DurableKeeper {
    pub keeper: Keeper,
    pub disk: DurableState,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Packet {
    Request {
        client: usize,
        keeper: usize,
        request: Request,
    },
    Response {
        keeper: usize,
        client: usize,
        response: Response,
    },
    /// A write that has not arrived at the resource yet.
    Write(TokenUse),
}

impl Packet {
    /// Whether this is a request for a promise or a grant.
    pub fn is_prepare_or_grant(&self) -> bool {
        matches!(
            self,
            Packet::Request {
                request: Request::Prepare { .. } | Request::Grant { .. },
                ..
            }
        )
    }
}

/// A token that a client acquired, or used for a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TokenUse {
    pub client: usize,
    pub token: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SystemState {
    pub now: u8,
    pub keepers: Vec<DurableKeeper>,
    pub clients: Vec<Lease>,
    pub acquisitions: [u8; CLIENTS],
    pub renewals: u8,
    /// Whether the first client is still acquiring the lease. Until it has, no message is lost and all records are
    /// persisted.
    pub is_setup: bool,
    pub in_flight: BTreeSet<Packet>,
    pub restarts: u8,
    pub duplicates: u8,
    pub late_responses: u8,
    /// The admitted writes, in the order of their admission.
    pub writes: Vec<TokenUse>,
    pub acquired: BTreeSet<TokenUse>,
}

impl Exploration {
    /// The initial state: all keepers vote, and the first client holds the lease if `is_held_at_start` is set.
    pub fn initial_state(&self) -> SystemState {
        let mut system = self.unconnected_system();
        self.connect_keepers(&mut system);
        system
            .clients
            .iter_mut()
            .for_each(|client| client.acquire(0));
        if self.is_held_at_start {
            system.clients[0].tick(0, 0);
            self.post(&mut system, 0);
            while let Some(packet) = system.in_flight.pop_first() {
                self.deliver(&mut system, &packet);
            }
            assert_eq!(self.held_tokens(&system), [1]);
            system.is_setup = false;
        }
        system
    }

    fn unconnected_system(&self) -> SystemState {
        let durable_keeper = |index: usize| DurableKeeper {
            keeper: Keeper::open(
                index,
                KEEPERS,
                self.keeper_config(),
                DurableState::default(),
                index as u64 + 1,
                0,
            ),
            disk: DurableState::default(),
        };
        SystemState {
            now: 0,
            keepers: (0..KEEPERS).map(durable_keeper).collect(),
            clients: (0..CLIENTS)
                .map(|_| Lease::new(lease(), self.client_config()))
                .collect(),
            acquisitions: [0; CLIENTS],
            renewals: 0,
            is_setup: self.is_held_at_start,
            in_flight: BTreeSet::new(),
            restarts: 0,
            duplicates: 0,
            late_responses: 0,
            writes: Vec::new(),
            acquired: BTreeSet::new(),
        }
    }

    fn connect_keepers(&self, system: &mut SystemState) {
        // The first messages are sent before all keepers have started, and are repeated by the keepers' timers.
        for _ in 0..4 {
            for keeper in 0..KEEPERS {
                self.flush(system, keeper);
            }
            for keeper in 0..KEEPERS {
                system.keepers[keeper].keeper.tick(0);
                self.flush(system, keeper);
            }
        }
        // The keepers restart with the state that is now on their disks.
        for keeper in 0..KEEPERS {
            self.restart(system, keeper, 10 + keeper as u64);
        }
        for keeper in &system.keepers {
            assert_eq!(keeper.keeper.status(), Status::Voting);
        }
    }

    pub fn held_tokens(&self, system: &SystemState) -> Vec<u64> {
        (0..CLIENTS)
            .filter_map(|client| self.held_token(system, client))
            .collect()
    }

    pub fn held_token(&self, system: &SystemState, client: usize) -> Option<u64> {
        let now = self.client_clock(system.now);
        let active = system.clients[client].active(now)?;
        Some(active.token().number())
    }
}
