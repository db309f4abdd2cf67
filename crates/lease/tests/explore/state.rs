//! A state of an exploration, and the messages in flight in it.

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

/// A keeper, and what of its records is on its disk.
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
    /// A write on its way to the resource.
    Write(TokenUse),
}

impl Packet {
    /// Whether it asks a keeper for a promise or a grant.
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

/// A token in the hands of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TokenUse {
    pub client: usize,
    pub token: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub now: u8,
    pub keepers: Vec<DurableKeeper>,
    pub clients: Vec<Lease>,
    pub acquisitions: [u8; CLIENTS],
    pub renewals: u8,
    /// While the first client acquires the lease, nothing fails.
    pub is_prelude: bool,
    pub in_flight: BTreeSet<Packet>,
    pub restarts: u8,
    pub duplicates: u8,
    pub late_responses: u8,
    /// Writes in the order in which the resource admitted them.
    pub writes: Vec<TokenUse>,
    pub acquired: BTreeSet<TokenUse>,
}

impl Exploration {
    /// All keepers vote; the first client holds the lease, if the exploration starts so.
    pub fn initial_world(&self) -> World {
        let mut world = self.unconnected_world();
        self.connect_keepers(&mut world);
        world
            .clients
            .iter_mut()
            .for_each(|client| client.acquire(0));
        if self.is_held_at_start {
            world.clients[0].tick(0, 0);
            self.post(&mut world, 0);
            while let Some(packet) = world.in_flight.pop_first() {
                self.deliver(&mut world, &packet);
            }
            assert_eq!(self.held_tokens(&world), [1]);
            world.is_prelude = false;
        }
        world
    }

    fn unconnected_world(&self) -> World {
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
        World {
            now: 0,
            keepers: (0..KEEPERS).map(durable_keeper).collect(),
            clients: (0..CLIENTS)
                .map(|_| Lease::new(lease(), self.client_config()))
                .collect(),
            acquisitions: [0; CLIENTS],
            renewals: 0,
            is_prelude: self.is_held_at_start,
            in_flight: BTreeSet::new(),
            restarts: 0,
            duplicates: 0,
            late_responses: 0,
            writes: Vec::new(),
            acquired: BTreeSet::new(),
        }
    }

    fn connect_keepers(&self, world: &mut World) {
        // The first keepers sent messages before the others had started; they repeat them with time.
        for _ in 0..4 {
            for keeper in 0..KEEPERS {
                self.flush(world, keeper);
            }
            for keeper in 0..KEEPERS {
                world.keepers[keeper].keeper.tick(0);
                self.flush(world, keeper);
            }
        }
        // Their state is on their disks now, and they restart with it.
        for keeper in 0..KEEPERS {
            self.restart(world, keeper, 10 + keeper as u64);
        }
        for keeper in &world.keepers {
            assert_eq!(keeper.keeper.status(), Status::Voting);
        }
    }

    pub fn held_tokens(&self, world: &World) -> Vec<u64> {
        (0..CLIENTS)
            .filter_map(|client| self.held_token(world, client))
            .collect()
    }

    pub fn held_token(&self, world: &World, client: usize) -> Option<u64> {
        let now = self.client_clock(world.now);
        let active = world.clients[client].active(now)?;
        Some(active.token().number())
    }
}
