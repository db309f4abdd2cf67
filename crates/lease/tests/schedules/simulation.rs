//! The simulation that a schedule runs in: its time, keepers, clients, and the resource that the lease protects.

use crate::fault::Fault;
use crate::network::{Event, EventKey, Link};
use crate::process::{ClientProcess, KeeperProcess, Process};
use crate::SECOND;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_lease::durable::DurableState;
use reelfall_lease::holder::{Config, Lease};
use reelfall_lease::keeper::{self, Keeper};
use reelfall_lease::recovery::Status;
use reelfall_lease::token::{Fence, LeaseName};
use reelfall_lease::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Time between two polls of all processes, in microseconds.
const POLL_INTERVAL: Micros = 5_000;
/// Time between two writes of a holder, in microseconds.
const WRITE_INTERVAL: Micros = 50_000;
/// The run IDs of clients are numbered from this.
const FIRST_CLIENT_RUN_ID: u64 = 100;

fn lease_name() -> LeaseName {
    LeaseName::try_from("task".to_owned()).unwrap()
}

pub struct Simulation {
    pub now: Micros,
    pub rng: Pcg64Mcg,
    pub events: BTreeMap<EventKey, Event>,
    pub last_event_number: u64,
    pub keepers: Vec<KeeperProcess>,
    pub clients: Vec<ClientProcess>,
    config: Config,
    /// The probability that a message is lost.
    pub loss: f64,
    /// The end of the partition of each link that loses all messages.
    pub partitions: BTreeMap<Link, Micros>,
    pub fence: Fence,
    pub acquired_tokens: Vec<u64>,
    pub admitted_writes: u64,
    pub stale_writes: u64,
    pub rejected_folders: u64,
    pub violations: BTreeSet<String>,
}

impl Simulation {
    pub fn new(seed: u64, keepers: usize, clients: usize, lease_duration: Micros) -> Simulation {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut process = |number: u64| Process {
            clock_rate: 1.0 + rng.random_range(-0.001..0.001),
            paused_until: 0,
            run_id: seed.wrapping_mul(1000) + number,
        };
        let config = Config::new(keepers, lease_duration);
        let keepers: Vec<KeeperProcess> = (0..keepers)
            .map(|index| KeeperProcess {
                process: process(index as u64),
                keeper: None,
                disk: DurableState::default(),
                backup: DurableState::default(),
                writing_until: 0,
                is_folder_lost: false,
            })
            .collect();
        let clients = (0..clients)
            .map(|index| ClientProcess {
                process: process(FIRST_CLIENT_RUN_ID + index as u64),
                lease: Lease::new(lease_name(), config),
                next_write_at: 0,
            })
            .collect();
        let mut simulation = Simulation {
            now: 0,
            rng,
            events: BTreeMap::new(),
            last_event_number: 0,
            keepers,
            clients,
            config,
            loss: 0.0,
            partitions: BTreeMap::new(),
            fence: Fence::new(4),
            acquired_tokens: Vec::new(),
            admitted_writes: 0,
            stale_writes: 0,
            rejected_folders: 0,
            violations: BTreeSet::new(),
        };
        for keeper in 0..simulation.keepers.len() {
            simulation.restart_keeper(keeper);
        }
        simulation
    }

    /// Starts a keeper from its disk.
    pub fn restart_keeper(&mut self, index: usize) {
        let keepers = self.keepers.len();
        let run_id = self.rng.random::<u64>() | 1;
        let process = &mut self.keepers[index];
        process.process.run_id = run_id;
        process.writing_until = self.now;
        let clock = process.process.clock(self.now);
        process.keeper = Some(Keeper::open(
            index,
            keepers,
            keeper::Config::default(),
            process.disk.clone(),
            run_id,
            clock,
        ));
        self.flush_keeper(index);
    }

    /// Restarts a client, which then tries to acquire the lease.
    pub fn restart_client(&mut self, index: usize) {
        let client = &mut self.clients[index];
        client.process.run_id = self.rng.random();
        client.lease = Lease::new(lease_name(), self.config);
        client.lease.acquire(client.process.clock(self.now));
    }

    pub fn schedule(&mut self, at: Micros, event: Event) {
        self.last_event_number += 1;
        let number = self.last_event_number;
        self.events.insert(EventKey { at, number }, event);
    }

    pub fn schedule_fault(&mut self, at: Micros, fault: Fault) {
        self.schedule(at, Event::Fault(fault));
    }

    pub fn run(&mut self, until: Micros) {
        while self.now < until {
            let next = self.events.first_key_value();
            let next_at = next.map_or(Micros::MAX, |(key, _)| key.at);
            if next_at <= self.now + POLL_INTERVAL {
                self.handle_next_event();
            } else {
                self.now += POLL_INTERVAL;
            }
            self.poll_keepers();
            self.poll_clients();
            self.empty_rejected_folders();
        }
    }

    pub fn run_until_held(&mut self, timeout: Micros) {
        let end = self.now + timeout;
        while self.holder().is_none() && self.now < end {
            self.run(self.now + SECOND / 10);
        }
    }

    fn poll_keepers(&mut self) {
        for index in 0..self.keepers.len() {
            let process = &mut self.keepers[index];
            let clock = process.process.clock(self.now);
            if process.process.paused_until > self.now {
                continue;
            }
            let keeper = process.keeper.as_mut();
            if let Some(keeper) = keeper.filter(|keeper| keeper.deadline() <= clock) {
                keeper.tick(clock);
                self.flush_keeper(index);
            }
        }
    }

    fn poll_clients(&mut self) {
        let mut holders = Vec::new();
        for index in 0..self.clients.len() {
            let jitter = self.rng.random();
            let client = &mut self.clients[index];
            if client.process.paused_until > self.now {
                continue;
            }
            let clock = client.process.clock(self.now);
            let deadline = client.lease.deadline();
            if deadline.is_some_and(|deadline| deadline <= clock) {
                client.lease.tick(clock, jitter);
            }
            if client.lease.active(clock).is_some() {
                holders.push(index);
                self.write_if_due(index);
            }
            self.flush_client(index);
        }
        if holders.len() > 1 {
            self.violations.insert(format!(
                "clients {holders:?} hold the lease at the same time"
            ));
        }
    }

    fn write_if_due(&mut self, index: usize) {
        let client = &mut self.clients[index];
        if self.now < client.next_write_at {
            return;
        }
        let clock = client.process.clock(self.now);
        let Some(active) = client.lease.active(clock) else {
            return;
        };
        client.next_write_at = self.now + WRITE_INTERVAL;
        let (claim, ()) = active.operation(()).into_parts();
        // The process may be paused between its check of the lease and its write.
        let max_delay = if self.rng.random_bool(0.05) {
            8 * SECOND
        } else {
            500
        };
        let delay = self.rng.random_range(0..max_delay);
        self.schedule(self.now + delay, Event::Write(claim));
    }

    /// Empties the folder of each keeper that rejects it, as an operator would, and restarts the keeper.
    fn empty_rejected_folders(&mut self) {
        for index in 0..self.keepers.len() {
            let is_rejected = |keeper: &Keeper| matches!(keeper.status(), Status::Rejected(_));
            if self.keepers[index].keeper.as_ref().is_some_and(is_rejected) {
                self.rejected_folders += 1;
                self.keepers[index].disk = DurableState::default();
                self.restart_keeper(index);
            }
        }
    }

    pub fn holder(&self) -> Option<usize> {
        self.clients.iter().position(|client| {
            let clock = client.process.clock(self.now);
            client.lease.active(clock).is_some()
        })
    }

    /// Makes all clients try to acquire the lease.
    pub fn acquire_all(&mut self) {
        for client in &mut self.clients {
            let clock = client.process.clock(self.now);
            client.lease.acquire(clock);
        }
    }
}
