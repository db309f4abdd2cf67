//! Publishers, relays and nodes in virtual time, over links that lose, duplicate and delay frames and are partitioned.
//! Processes are paused, killed between two outputs, and restarted from their disks. Invariants are checked on the
//! world's clock.

// Each test binary uses a part of this module.
#![allow(dead_code, unused_imports)]

mod access;
mod deployment;
pub mod invariants;
mod network;
pub mod payloads;
mod process;
pub mod writer;

pub use deployment::{
    claim, grant_lease, lease, name, node_of_region, node_with_upstream, peers, put,
    two_publishers_and_relays, REJECTED_BY_ODD_NODES,
};
pub use invariants::RecordedEvent;
pub use network::{DelayRange, Network, SentFrame, CALM};
pub use process::{Config, Machine, Process};

use invariants::InvariantChecker;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_distribution::output::Output;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::Change;
use reelfall_distribution::Time;
use std::collections::BTreeMap;

/// Minimum time between two polls of a process, in seconds.
const MIN_POLL_INTERVAL: Time = 1e-4;

enum Event {
    Frame {
        to: PeerId,
        from: PeerId,
        frame: Vec<u8>,
    },
    Poll(PeerId),
    /// The answer to [`Output::Apply`], unless the process has been restarted meanwhile.
    ApplyFinished {
        node: PeerId,
        incarnation: u64,
        change: Change,
    },
}

impl Event {
    fn process(&self) -> PeerId {
        match self {
            Event::Frame { to, .. } => *to,
            Event::Poll(id) => *id,
            Event::ApplyFinished { node, .. } => *node,
        }
    }
}

/// The order of events: by time, then in the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    /// The bits of the time; for a time that is not negative, they sort like the time.
    time_bits: u64,
    number: u64,
}

impl EventKey {
    fn time(self) -> Time {
        Time::from_bits(self.time_bits)
    }
}

pub struct World {
    pub now: Time,
    pub rng: Pcg64Mcg,
    events: BTreeMap<EventKey, Event>,
    next_event_number: u64,
    pub processes: BTreeMap<PeerId, Process>,
    /// The key of the scheduled poll of each process.
    polls: BTreeMap<PeerId, EventKey>,
    /// Until when frames between two processes are lost; the lower id is first.
    partitions: BTreeMap<(PeerId, PeerId), Time>,
    pub network: Network,
    pub invariants: InvariantChecker,
    pub sent_frames: Vec<SentFrame>,
    /// Hasher of all frames with their times, if a test sets it.
    pub digest: Option<blake3::Hasher>,
}

impl World {
    pub fn new(seed: u64, network: Network) -> World {
        World {
            now: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            events: BTreeMap::new(),
            next_event_number: 0,
            processes: BTreeMap::new(),
            polls: BTreeMap::new(),
            partitions: BTreeMap::new(),
            network,
            invariants: InvariantChecker::default(),
            sent_frames: Vec::new(),
            digest: None,
        }
    }

    fn add_process(&mut self, id: PeerId, config: Config) {
        let process = Process {
            config,
            machine: None,
            disk: Vec::new(),
            incarnation: 0,
            paused_until: 0.0,
            clock_offset: self.rng.random_range(0.0..1000.0),
            clock_rate: 1.0 + self.rng.random_range(-0.0004..0.0004),
            crash_after_outputs: None,
            apply_delay: 0.0,
        };
        self.processes.insert(id, process);
        self.start(id);
    }

    /// Starts a process from its disk, unless it runs.
    pub fn start(&mut self, id: PeerId) {
        let process = self.processes.get_mut(&id).unwrap();
        if process.machine.is_some() {
            return;
        }
        let now = process.clock(self.now);
        process.restore(now);
        self.poll_now(id);
    }

    pub fn kill(&mut self, id: PeerId) {
        let process = self.processes.get_mut(&id).unwrap();
        process.machine = None;
        process.crash_after_outputs = None;
    }

    /// Kills a process once it has performed this many further outputs.
    pub fn kill_after(&mut self, id: PeerId, outputs: usize) {
        self.processes.get_mut(&id).unwrap().crash_after_outputs = Some(outputs);
    }

    /// Pauses a process: frames to it are delivered when the pause ends.
    pub fn pause(&mut self, id: PeerId, duration: Time) {
        let until = self.now + duration;
        let process = self.processes.get_mut(&id).unwrap();
        process.paused_until = process.paused_until.max(until);
    }

    /// Ends all faults: all links work, and all processes run.
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.network = CALM;
        let ids: Vec<PeerId> = self.processes.keys().copied().collect();
        for id in ids {
            let process = self.processes.get_mut(&id).unwrap();
            process.paused_until = 0.0;
            process.crash_after_outputs = None;
            self.start(id);
            self.poll_now(id);
        }
    }

    fn schedule(&mut self, at: Time, event: Event) -> EventKey {
        let key = EventKey {
            time_bits: at.max(0.0).to_bits(),
            number: self.next_event_number,
        };
        self.events.insert(key, event);
        self.next_event_number += 1;
        key
    }

    fn poll_now(&mut self, id: PeerId) {
        self.poll_at(id, self.now);
    }

    fn poll_at(&mut self, id: PeerId, at: Time) {
        if let Some(previous) = self.polls.remove(&id) {
            self.events.remove(&previous);
        }
        if at.is_finite() {
            let key = self.schedule(at, Event::Poll(id));
            self.polls.insert(id, key);
        }
    }

    /// Advances the world by this many seconds.
    pub fn run(&mut self, duration: Time) {
        let end = self.now + duration;
        while let Some((key, _)) = self.events.first_key_value() {
            let at = key.time();
            if at > end {
                break;
            }
            let (_, event) = self.events.pop_first().unwrap();
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let Some(process) = self.processes.get(&event.process()) else {
            return;
        };
        if self.now < process.paused_until {
            self.postpone(event, process.paused_until);
            return;
        }
        match event {
            Event::Frame { to, from, frame } => {
                self.act(to, |machine, now, outputs| {
                    machine.receive(now, from, &frame, outputs);
                });
            }
            Event::Poll(id) => {
                self.act(id, |_, _, _| {});
            }
            Event::ApplyFinished {
                node,
                incarnation,
                change,
            } => {
                if process.incarnation == incarnation {
                    self.act(node, |machine, _, outputs| {
                        machine.finish_apply(node, &change, outputs);
                    });
                }
            }
        }
    }

    fn postpone(&mut self, event: Event, until: Time) {
        match event {
            Event::Poll(id) => self.poll_at(id, until),
            other => {
                self.schedule(until, other);
            }
        }
    }

    /// Calls a machine, polls it, and performs its outputs.
    pub fn act<T>(
        &mut self,
        id: PeerId,
        call: impl FnOnce(&mut Machine, Time, &mut Vec<Output>) -> T,
    ) -> Option<T> {
        let process = self.processes.get_mut(&id)?;
        let now = process.clock(self.now);
        let machine = process.machine.as_mut()?;
        let mut outputs = Vec::new();
        let result = call(machine, now, &mut outputs);
        let next_poll = machine.poll(now, &mut outputs);
        let earliest = self.now + MIN_POLL_INTERVAL;
        let at = process.world_time(next_poll).max(earliest);
        self.poll_at(id, at);
        self.perform(id, outputs);
        self.invariants
            .check_process(self.now, id, &self.processes[&id]);
        Some(result)
    }

    fn perform(&mut self, id: PeerId, outputs: Vec<Output>) {
        for output in outputs {
            let process = self.processes.get_mut(&id).unwrap();
            if let Some(remaining) = &mut process.crash_after_outputs {
                if *remaining == 0 {
                    self.kill(id);
                    return;
                }
                *remaining -= 1;
            }
            match output {
                Output::Send { to, frame } => self.send(id, to, frame),
                Output::Persist(record) => process.disk.push(record),
                Output::Apply(change) => {
                    let at = self.now + process.apply_delay;
                    let incarnation = process.incarnation;
                    let finished = Event::ApplyFinished {
                        node: id,
                        incarnation,
                        change,
                    };
                    self.schedule(at, finished);
                }
                Output::Event(event) => self.invariants.record_event(self.now, id, event),
            }
        }
    }
}
