//! A group of keepers and clients in one process. Messages are delivered immediately, except over links that are cut.

use reelfall_lease::durable::DurableState;
use reelfall_lease::holder::{Config, KeeperRequest, Lease};
use reelfall_lease::keeper::{self, Destination, Keeper};
use reelfall_lease::message::{ClientId, Message, Response};
use reelfall_lease::recovery::Status;
use reelfall_lease::token::LeaseName;
use reelfall_lease::Micros;

pub const SECOND: Micros = 1_000_000;
const LEASE_DURATION: Micros = 2 * SECOND;
const POLL_INTERVAL: Micros = 10_000;
/// Random number for which a backoff after a response has the middle of its range.
const MEDIAN_RANDOM: u32 = u32::MAX / 2;

pub fn lease_name() -> LeaseName {
    LeaseName::try_from("task".to_owned()).unwrap()
}

pub struct DurableKeeper {
    pub keeper: Keeper,
    pub disk: DurableState,
    pub is_running: bool,
}

/// A client and a keeper that receive no messages from each other.
#[derive(Clone, Copy, PartialEq)]
pub struct UnreachableKeeper {
    pub client: usize,
    pub keeper: usize,
}

pub struct KeeperGroup {
    pub now: Micros,
    pub keepers: Vec<DurableKeeper>,
    pub clients: Vec<Lease>,
    pub unreachable: Vec<UnreachableKeeper>,
    /// Number of notifications of an available lease that keepers have sent.
    pub notifications: usize,
    last_nonce: u64,
}

impl KeeperGroup {
    /// Starts keepers and clients, and waits until all keepers vote.
    pub fn new(keepers: usize, clients: usize) -> KeeperGroup {
        let config = Config::new(keepers, LEASE_DURATION);
        let durable_keeper = |index: usize| DurableKeeper {
            keeper: Keeper::open(
                index,
                keepers,
                keeper::Config::default(),
                DurableState::default(),
                1 + index as u64,
                0,
            ),
            disk: DurableState::default(),
            is_running: true,
        };
        let mut group = KeeperGroup {
            now: 0,
            keepers: (0..keepers).map(durable_keeper).collect(),
            clients: (0..clients)
                .map(|_| Lease::new(lease_name(), config))
                .collect(),
            unreachable: Vec::new(),
            notifications: 0,
            last_nonce: 100,
        };
        group.run(2 * SECOND);
        assert!((0..keepers).all(|index| group.status(index) == Status::Voting));
        group
    }

    pub fn status(&self, keeper: usize) -> Status {
        self.keepers[keeper].keeper.status()
    }

    /// Restarts a keeper with this state as the contents of its folder.
    pub fn restart(&mut self, index: usize, disk: DurableState) {
        self.last_nonce += 1;
        let keeper = Keeper::open(
            index,
            self.keepers.len(),
            keeper::Config::default(),
            disk.clone(),
            self.last_nonce,
            self.now,
        );
        self.keepers[index] = DurableKeeper {
            keeper,
            disk,
            is_running: true,
        };
    }

    /// Delivers messages until there are none.
    pub fn settle(&mut self) {
        loop {
            let mut is_settled = true;
            for keeper in 0..self.keepers.len() {
                is_settled &= self.flush_keeper(keeper);
            }
            for client in 0..self.clients.len() {
                is_settled &= self.flush_client(client);
            }
            if is_settled {
                return;
            }
        }
    }

    /// Delivers the messages of a keeper; returns whether there were none.
    fn flush_keeper(&mut self, index: usize) -> bool {
        let process = &mut self.keepers[index];
        let effects = process.keeper.take_effects();
        for record in &effects.records {
            process.disk.apply(record);
        }
        if !process.is_running {
            return true;
        }
        let is_settled = effects.messages.is_empty();
        for outgoing in effects.messages {
            match (outgoing.destination, outgoing.message) {
                (Destination::Keeper(to), Message::Peer(message)) => {
                    // Each page of promises fits into a message.
                    assert!(Message::Peer(message.clone()).encode().is_some());
                    let receiver = &mut self.keepers[to];
                    if receiver.is_running {
                        receiver
                            .keeper
                            .handle_peer_message(self.now, index, message);
                    }
                }
                (Destination::Client(to), Message::Response(response)) => {
                    self.deliver_response(index, &to, response);
                }
                other => panic!("{other:?}"),
            }
        }
        is_settled
    }

    fn deliver_response(&mut self, keeper: usize, to: &ClientId, response: Response) {
        self.notifications += usize::from(matches!(response, Response::Available { .. }));
        let client: usize = to.name.parse().unwrap();
        if self.reaches(client, keeper) {
            self.clients[client].handle_response(self.now, keeper, response, MEDIAN_RANDOM);
        }
    }

    /// Delivers the requests of a client; returns whether there were none.
    fn flush_client(&mut self, client: usize) -> bool {
        let requests: Vec<_> = self.clients[client].take_requests().into_iter().collect();
        let is_settled = requests.is_empty();
        for KeeperRequest { keeper, request } in requests {
            if self.keepers[keeper].is_running && self.reaches(client, keeper) {
                let id = ClientId {
                    name: client.to_string(),
                    instance_id: client as u64,
                };
                self.keepers[keeper]
                    .keeper
                    .handle_request(self.now, &id, request);
            }
        }
        is_settled
    }

    fn reaches(&self, client: usize, keeper: usize) -> bool {
        !self
            .unreachable
            .contains(&UnreachableKeeper { client, keeper })
    }

    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += POLL_INTERVAL;
            for process in &mut self.keepers {
                if process.keeper.deadline() <= self.now {
                    process.keeper.tick(self.now);
                }
            }
            for (index, client) in self.clients.iter_mut().enumerate() {
                if client
                    .deadline()
                    .is_some_and(|deadline| deadline <= self.now)
                {
                    client.tick(self.now, random_of(index));
                }
            }
            self.settle();
        }
    }

    pub fn holder(&self) -> Option<usize> {
        self.clients
            .iter()
            .position(|client| client.active(self.now).is_some())
    }

    /// The token of a client that holds the lease.
    pub fn token(&self, client: usize) -> u64 {
        let active = self.clients[client].active(self.now).unwrap();
        active.token().number()
    }
}

/// A random number for each client, spread over the whole range by a multiplicative hash.
fn random_of(client: usize) -> u32 {
    (client as u32 + 1).wrapping_mul(2_654_435_761)
}
