//! Keepers and clients in virtual time, on drawn schedules of faults: links that lose, delay and repeat; processes that stand
//! still, end before or after their disk has what they say, and begin anew; folders that are lost, and folders that come
//! back from a backup; clocks that drift. Judged by the world's one clock.

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_lease::durable::{DurableState, Record};
use reelfall_lease::holder::{Config, Lease, LeaseEvent};
use reelfall_lease::keeper::{self, Destination, Keeper};
use reelfall_lease::message::{ClientId, Message, Response};
use reelfall_lease::recovery::Status;
use reelfall_lease::token::{Claim, Fence, FenceError, LeaseName};
use std::collections::{BTreeMap, BTreeSet};

const SECOND: u64 = 1_000_000;

fn name(text: &str) -> LeaseName {
    LeaseName::try_from(text.to_owned()).unwrap()
}

/// What is due.
enum Event {
    ToKeeper(usize, From, Message),
    ToClient(usize, u64, usize, Message),
    /// What a keeper wrote is on its disk.
    Written(usize, u64, Vec<Record>, Vec<(Destination, Message)>),
    /// An act comes to the resource.
    Acted(Claim),
    Fault(Fault),
}

#[derive(Clone)]
enum From {
    Client(ClientId),
    Keeper(usize),
}

#[derive(Clone, Debug)]
enum Fault {
    /// A keeper ends. What it is writing is lost, or is on the disk and nobody hears of it.
    Ends {
        keeper: usize,
        written: bool,
    },
    /// It begins, with its folder.
    Begins(usize),
    /// Its folder is emptied, and it begins.
    Emptied(usize),
    /// It begins with its folder as it was at the last backup.
    Restored(usize),
    /// A backup of all folders.
    Backup,
    Frozen(usize, u64),
    ClientFrozen(usize, u64),
    ClientKilled(usize),
    Cut {
        client: usize,
        keeper: usize,
        lasts: u64,
    },
    KeepersCut {
        one: usize,
        other: usize,
        lasts: u64,
    },
}

struct Process {
    rate: f64,
    frozen_until: u64,
    tag: u64,
}

impl Process {
    fn clock(&self, t: u64) -> u64 {
        (t as f64 * self.rate) as u64 + 1_000
    }
}

struct KeeperSlot {
    process: Process,
    keeper: Option<Keeper>,
    disk: DurableState,
    backup: DurableState,
    /// What is being written is on the disk by then.
    busy_until: u64,
    /// Its folder is not what it was, and it has not been found trusted since.
    lost: bool,
}

struct ClientSlot {
    process: Process,
    lease: Lease,
    acts_at: u64,
}

struct World {
    t: u64,
    draw: Pcg64Mcg,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    keepers: Vec<KeeperSlot>,
    clients: Vec<ClientSlot>,
    config: Config,
    loss: f64,
    cuts: BTreeMap<(bool, usize, usize), u64>,
    fence: Fence,
    got: Vec<u64>,
    accepted: u64,
    stale: u64,
    refused_folders: u64,
    broken: BTreeSet<String>,
    free: u64,
}

impl World {
    fn new(seed: u64, keepers: usize, clients: usize, length: u64) -> World {
        let mut draw = Pcg64Mcg::seed_from_u64(seed);
        let mut process = |n: u64| Process {
            rate: 1.0 + draw.random_range(-0.001..0.001),
            frozen_until: 0,
            tag: seed.wrapping_mul(1000) + n,
        };
        let config = Config::new(keepers, length);
        let keepers = (0..keepers).map(|n| KeeperSlot {
            process: process(n as u64),
            keeper: None,
            disk: DurableState::default(),
            backup: DurableState::default(),
            busy_until: 0,
            lost: false,
        });
        let keepers: Vec<KeeperSlot> = keepers.collect();
        let clients = (0..clients).map(|n| ClientSlot {
            process: process(100 + n as u64),
            lease: Lease::new(name("task"), config),
            acts_at: 0,
        });
        let clients = clients.collect();
        let mut world = World {
            t: 0,
            draw,
            events: BTreeMap::new(),
            next: 0,
            keepers,
            clients,
            config,
            loss: 0.0,
            cuts: BTreeMap::new(),
            fence: Fence::new(4),
            got: Vec::new(),
            accepted: 0,
            stale: 0,
            refused_folders: 0,
            broken: BTreeSet::new(),
            free: 0,
        };
        (0..world.keepers.len()).for_each(|n| world.begin(n));
        world
    }

    fn keeper_config() -> keeper::Config {
        keeper::Config::default()
    }

    fn at(&mut self, t: u64, event: Event) {
        self.next += 1;
        self.events.insert((t, self.next), event);
    }

    fn begin(&mut self, n: usize) {
        let keepers = self.keepers.len();
        let tag = self.draw.random::<u64>() | 1;
        let slot = &mut self.keepers[n];
        slot.process.tag = tag;
        slot.busy_until = self.t;
        let now = slot.process.clock(self.t);
        slot.keeper = Some(Keeper::open(
            n,
            keepers,
            World::keeper_config(),
            slot.disk.clone(),
            tag,
            now,
        ));
        self.flush_keeper(n);
    }

    fn flush_keeper(&mut self, n: usize) {
        let slow = self.draw.random_bool(0.02);
        let takes = if slow {
            self.draw.random_range(1..500_000)
        } else {
            self.draw.random_range(50..5_000)
        };
        let slot = &mut self.keepers[n];
        let Some(keeper) = &mut slot.keeper else {
            return;
        };
        if keeper.status() == Status::Voting {
            slot.lost = false;
        }
        let effects = keeper.take_effects();
        if effects == keeper::Effects::default() {
            return;
        }
        let done = self.t.max(slot.busy_until) + if effects.records.is_empty() { 0 } else { takes };
        slot.busy_until = done;
        let tag = slot.process.tag;
        self.at(
            done,
            Event::Written(n, tag, effects.records, effects.messages),
        );
    }

    /// Whether something passes now, and how long it takes; twice, if it comes twice.
    fn ways(&mut self, key: (bool, usize, usize)) -> Vec<u64> {
        let cut = self.cuts.get(&key).is_some_and(|until| *until > self.t);
        if cut || self.draw.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if self.draw.random_bool(0.05) { 2 } else { 1 };
        let late = self.draw.random_bool(0.03);
        (0..copies)
            .map(|_| {
                if late {
                    self.draw.random_range(0..3 * SECOND)
                } else {
                    self.draw.random_range(100..20_000)
                }
            })
            .collect()
    }

    fn send_from_keeper(&mut self, n: usize, to: Destination, message: Message) {
        match to {
            Destination::Keeper(to) => {
                for way in self.ways((true, n.min(to), n.max(to))) {
                    self.at(
                        self.t + way,
                        Event::ToKeeper(to, From::Keeper(n), message.clone()),
                    );
                }
            }
            Destination::Client(client) => {
                if matches!(message, Message::Response(Response::Available { .. })) {
                    self.free += 1;
                }
                let place: usize = client.name.parse().unwrap();
                for way in self.ways((false, place, n)) {
                    self.at(
                        self.t + way,
                        Event::ToClient(place, client.tag, n, message.clone()),
                    );
                }
            }
        }
    }

    fn flush_client(&mut self, n: usize) {
        let slot = &mut self.clients[n];
        let who = ClientId {
            name: n.to_string(),
            tag: slot.process.tag,
        };
        for event in slot.lease.take_events() {
            if let LeaseEvent::Acquired(token) = event {
                if self.got.last().is_some_and(|last| *last >= token.number()) {
                    self.broken.insert(format!(
                        "token {} after {:?}",
                        token.number(),
                        self.got.last()
                    ));
                }
                self.got.push(token.number());
            }
        }
        for (keeper, request) in slot.lease.take_requests() {
            for way in self.ways((false, n, keeper)) {
                let message =
                    Message::decode(&Message::Request(request.clone()).encode().unwrap()).unwrap();
                self.at(
                    self.t + way,
                    Event::ToKeeper(keeper, From::Client(who.clone()), message),
                );
            }
        }
    }

    /// What is due happens; then every process that is awake looks at its clock.
    fn step(&mut self) {
        let (due, event) = self
            .events
            .pop_first()
            .map(|((due, _), event)| (due, event))
            .unwrap();
        self.t = due.max(self.t);
        match event {
            Event::ToKeeper(n, from, message) => {
                if self.keepers[n].process.frozen_until > self.t {
                    let later = self.keepers[n].process.frozen_until;
                    return self.at(later, Event::ToKeeper(n, from, message));
                }
                let now = self.keepers[n].process.clock(self.t);
                let Some(keeper) = &mut self.keepers[n].keeper else {
                    return;
                };
                match (from, message) {
                    (From::Client(who), Message::Request(request)) => {
                        keeper.handle_request(now, &who, request)
                    }
                    (From::Keeper(from), Message::Peer(message)) => {
                        keeper.handle_peer_message(now, from, message)
                    }
                    _ => unreachable!(),
                }
                self.flush_keeper(n);
            }
            Event::ToClient(n, tag, keeper, message) => {
                if self.clients[n].process.frozen_until > self.t {
                    let later = self.clients[n].process.frozen_until;
                    return self.at(later, Event::ToClient(n, tag, keeper, message));
                }
                if self.clients[n].process.tag == tag {
                    let (now, chance) = (self.clients[n].process.clock(self.t), self.draw.random());
                    let Message::Response(response) = message else {
                        unreachable!()
                    };
                    self.clients[n]
                        .lease
                        .handle_response(now, keeper, response, chance);
                    self.flush_client(n);
                }
            }
            Event::Written(n, tag, records, messages) => {
                if self.keepers[n].process.frozen_until > self.t {
                    let later = self.keepers[n].process.frozen_until;
                    return self.at(later, Event::Written(n, tag, records, messages));
                }
                if self.keepers[n].keeper.is_some() && self.keepers[n].process.tag == tag {
                    records
                        .iter()
                        .for_each(|record| self.keepers[n].disk.apply(record));
                    messages
                        .into_iter()
                        .for_each(|(to, message)| self.send_from_keeper(n, to, message));
                }
            }
            Event::Acted(claim) => match self.fence.admit(&claim) {
                Ok(()) => self.accepted += 1,
                Err(FenceError::StaleToken { .. }) => self.stale += 1,
                Err(other) => panic!("{other}"),
            },
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn turn(&mut self) {
        for n in 0..self.keepers.len() {
            let slot = &mut self.keepers[n];
            let now = slot.process.clock(self.t);
            if slot.process.frozen_until > self.t {
                continue;
            }
            if let Some(keeper) = slot.keeper.as_mut().filter(|k| k.deadline() <= now) {
                keeper.tick(now);
                self.flush_keeper(n);
            }
        }
        let mut holders = Vec::new();
        for n in 0..self.clients.len() {
            let chance = self.draw.random();
            let slot = &mut self.clients[n];
            if slot.process.frozen_until > self.t {
                continue;
            }
            let now = slot.process.clock(self.t);
            if slot.lease.deadline().is_some_and(|due| due <= now) {
                slot.lease.tick(now, chance);
            }
            if let Some(held) = slot.lease.held(now) {
                holders.push(n);
                if self.t >= slot.acts_at {
                    slot.acts_at = self.t + 50_000;
                    let (claim, ()) = held.operation(()).into_parts();
                    // Between the look at the clock and the act the process may stand still.
                    let way = if self.draw.random_bool(0.05) {
                        8 * SECOND
                    } else {
                        500
                    };
                    let way = self.draw.random_range(0..way);
                    self.at(self.t + way, Event::Acted(claim));
                }
            }
            self.flush_client(n);
        }
        if holders.len() > 1 {
            self.broken.insert(format!("{holders:?} hold at once"));
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Ends { keeper, written } => {
                let tag = self.keepers[keeper].process.tag;
                // The oldest of what is being written made it, and nobody hears of it.
                let first = self.events.iter().find_map(|(at, event)| match event {
                    Event::Written(n, t, ..) if *n == keeper && *t == tag => Some(*at),
                    _ => None,
                });
                if let Some(Event::Written(_, _, records, _)) =
                    first.and_then(|at| self.events.remove(&at))
                {
                    if written {
                        records
                            .iter()
                            .for_each(|record| self.keepers[keeper].disk.apply(record));
                    }
                }
                self.keepers[keeper].keeper = None;
                self.keepers[keeper].process.tag = 0;
            }
            Fault::Begins(keeper) => {
                if self.keepers[keeper].keeper.is_none() {
                    self.begin(keeper);
                }
            }
            Fault::Emptied(keeper) | Fault::Restored(keeper) => {
                // A minority of folders is lost at a time.
                let lost = self
                    .keepers
                    .iter()
                    .enumerate()
                    .filter(|(n, k)| *n != keeper && k.lost)
                    .count();
                if lost + 1 > (self.keepers.len() - 1) / 2 {
                    return;
                }
                let slot = &mut self.keepers[keeper];
                slot.lost = true;
                slot.disk = if matches!(fault, Fault::Restored(_)) {
                    slot.backup.clone()
                } else {
                    DurableState::default()
                };
                self.begin(keeper);
            }
            Fault::Backup => self
                .keepers
                .iter_mut()
                .for_each(|k| k.backup = k.disk.clone()),
            Fault::Frozen(keeper, lasts) => {
                self.keepers[keeper].process.frozen_until = self.t + lasts
            }
            Fault::ClientFrozen(client, lasts) => {
                self.clients[client].process.frozen_until = self.t + lasts
            }
            Fault::ClientKilled(client) => {
                self.clients[client].process.tag = self.draw.random();
                self.clients[client].lease = Lease::new(name("task"), self.config);
                let now = self.clients[client].process.clock(self.t);
                self.clients[client].lease.acquire(now);
            }
            Fault::Cut {
                client,
                keeper,
                lasts,
            } => {
                self.cuts.insert((false, client, keeper), self.t + lasts);
            }
            Fault::KeepersCut { one, other, lasts } => {
                self.cuts
                    .insert((true, one.min(other), one.max(other)), self.t + lasts);
            }
        }
    }

    fn run(&mut self, until: u64) {
        while self.t < until {
            let next = self
                .events
                .first_key_value()
                .map_or(u64::MAX, |((due, _), _)| *due);
            if next <= self.t + 5_000 {
                self.step();
            } else {
                self.t += 5_000;
            }
            self.turn();
            self.operate();
        }
    }

    /// Operators empty a folder that was refused.
    fn operate(&mut self) {
        for n in 0..self.keepers.len() {
            let refused = |k: &Keeper| matches!(k.status(), Status::Rejected(_));
            if self.keepers[n].keeper.as_ref().is_some_and(refused) {
                self.refused_folders += 1;
                self.keepers[n].disk = DurableState::default();
                self.begin(n);
            }
        }
    }

    fn holder(&self) -> Option<usize> {
        self.clients
            .iter()
            .position(|a| a.lease.held(a.process.clock(self.t)).is_some())
    }

    fn until_held(&mut self, patience: u64) {
        let end = self.t + patience;
        while self.holder().is_none() && self.t < end {
            self.run(self.t + SECOND / 10);
        }
    }

    /// All want the lease.
    fn acquire_all(&mut self) {
        for client in &mut self.clients {
            let now = client.process.clock(self.t);
            client.lease.acquire(now);
        }
    }
}

fn fault(keepers: usize, clients: usize) -> impl Strategy<Value = Fault> {
    let (keeper, client, lasts) = (0..keepers, 0..clients, 50_000..6 * SECOND);
    prop_oneof![
        3 => (keeper.clone(), any::<bool>()).prop_map(|(keeper, written)| Fault::Ends { keeper, written }),
        4 => keeper.clone().prop_map(Fault::Begins),
        1 => keeper.clone().prop_map(Fault::Emptied),
        1 => keeper.clone().prop_map(Fault::Restored),
        1 => Just(Fault::Backup),
        2 => (keeper.clone(), lasts.clone()).prop_map(|(k, l)| Fault::Frozen(k, l)),
        3 => (client.clone(), lasts.clone()).prop_map(|(a, l)| Fault::ClientFrozen(a, l)),
        1 => client.clone().prop_map(Fault::ClientKilled),
        3 => (client, keeper.clone(), lasts.clone())
            .prop_map(|(client, keeper, lasts)| Fault::Cut { client, keeper, lasts }),
        1 => (keeper.clone(), keeper, lasts).prop_map(|(one, other, lasts)| Fault::KeepersCut { one, other, lasts }),
    ]
}

fn play(seed: u64, keepers: usize, loss: f64, faults: Vec<(u64, Fault)>) -> World {
    let mut world = World::new(seed, keepers, 4, 2 * SECOND);
    world.acquire_all();
    world.until_held(15 * SECOND);
    assert!(
        world.holder().is_some(),
        "nobody gets it with nothing wrong"
    );
    world.loss = loss;
    let mut t = world.t;
    for (gap, fault) in faults {
        t += gap;
        world.at(t, Event::Fault(fault));
    }
    world.run(t + 8 * SECOND);
    // All is well again.
    world.loss = 0.0;
    world.cuts.clear();
    (0..keepers).for_each(|n| world.fault(Fault::Begins(n)));
    world.until_held(30 * SECOND);
    world
}

proptest! {
    #![proptest_config(ProptestConfig { cases: std::env::var("SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(96), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_schedule_makes_two_holders_or_a_lower_token(
        seed in any::<u64>(), five in any::<bool>(), loss in 0.0..0.3,
        faults in prop::collection::vec((1_000..2 * SECOND, fault(3, 4)), 1..40),
    ) {
        let world = play(seed, if five { 5 } else { 3 }, loss, faults);
        prop_assert!(world.broken.is_empty(), "{:?}", world.broken);
        prop_assert!(world.holder().is_some(), "nobody gets it once all is well");
    }
}

#[test]
fn schedules_are_not_too_mild() {
    let (mut stale, mut accepted, mut refused, mut got) = (0, 0, 0, 0);
    for seed in 0..12 {
        let mut draw = Pcg64Mcg::seed_from_u64(seed);
        let mut faults = vec![(1000, Fault::Backup)];
        for _ in 0..15 {
            let (client, keeper) = (draw.random_range(0..4), draw.random_range(0..3));
            faults.push((SECOND, Fault::ClientFrozen(client, 4 * SECOND)));
            faults.push((
                SECOND / 2,
                Fault::Ends {
                    keeper,
                    written: draw.random(),
                },
            ));
            faults.push((SECOND / 2, Fault::Begins(keeper)));
        }
        faults.push((5 * SECOND, Fault::Restored(seed as usize % 3)));
        let world = play(seed, 3, 0.05, faults);
        assert!(world.broken.is_empty(), "{:?}", world.broken);
        stale += world.stale;
        accepted += world.accepted;
        refused += world.refused_folders;
        got += world.got.len();
    }
    println!(
        "{accepted} acts, {stale} refused as stale, {got} holdings, {refused} folders refused"
    );
    assert!(
        stale > 0 && accepted > 1000 && got > 50,
        "{accepted} acts, {stale} stale, {got} holdings"
    );
    assert!(
        refused >= 6,
        "{refused} of 12 folders from a backup were refused"
    );
}
