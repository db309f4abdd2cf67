//! Endpoints and the frames between them, in virtual time.
//!
//! | state | owner | ends |
//! | --- | --- | --- |
//! | running: takes frames and time | the endpoint's slot | killed or frozen |
//! | frozen: frames wait for it, time does not reach it | the slot | thawed, which delivers them, or killed |
//! | ended: frames to it are lost | the slot | started again |

use super::account::{Account, Usage};
use super::endpoint::{CpuClock, Endpoint, Slot};
use super::links::{Delivery, Link, Links};
use super::topology::{Scope, Topology};
use crate::queue::Queue;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;

/// The least time between two polls of an endpoint, in seconds: one that is always due can't stop the clock.
pub const POLL_INTERVAL: f64 = 0.000_5;
/// Datagrams that wait for a frozen endpoint at most; what a socket's default buffer holds of small ones.
pub const INBOX_MOST: usize = 200;
/// Times that a lost frame of a stream is sent again at most.
const RETRANSMISSIONS_MOST: u32 = 16;

/// Frames that were not delivered, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Undelivered {
    /// Lost by a link.
    pub lost: u64,
    /// Stopped by a partition.
    pub partitioned: u64,
    /// Sent to an endpoint that does not run, or that has begun again since.
    pub ended: u64,
    /// Sent to a frozen endpoint whose buffer was full.
    pub overflowed: u64,
}

enum Event {
    Frame {
        from: u32,
        to: u32,
        life: u32,
        frame: Vec<u8>,
    },
    Wakeup {
        endpoint: u32,
    },
}

/// See the module.
pub struct Network<E> {
    topology: Topology,
    links: Links,
    cpu_clock: Option<CpuClock>,
    slots: Vec<Slot<E>>,
    queue: Queue<Event>,
    now: f64,
    rng: Pcg64Mcg,
    /// Pairs of sets, from and to, between which nothing passes.
    partitions: Vec<(Scope, Scope)>,
    /// When the last frame of each stream arrives.
    arrivals: HashMap<(u32, u32), f64>,
    undelivered: Undelivered,
    accounts_since: f64,
    sends: Vec<(u32, Vec<u8>)>,
}

impl<E: Endpoint> Network<E> {
    /// A network at time 0 in which no endpoint runs yet.
    pub fn new(topology: Topology, links: Links, seed: u64) -> Network<E> {
        let slots = (0..topology.len()).map(|_| Slot::empty()).collect();
        Network {
            topology,
            links,
            cpu_clock: None,
            slots,
            queue: Queue::new(0.0),
            now: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            partitions: Vec::new(),
            arrivals: HashMap::new(),
            undelivered: Undelivered::default(),
            accounts_since: 0.0,
            sends: Vec::new(),
        }
    }

    /// Accounts for processor time by this clock. It has no influence on what happens.
    pub fn measure_cpu(&mut self, clock: CpuClock) {
        self.cpu_clock = Some(clock);
    }

    /// The time, in seconds.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// Where endpoints are.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Frames that were not delivered so far.
    pub fn undelivered(&self) -> Undelivered {
        self.undelivered
    }

    // ---- endpoints ----

    /// A process begins at an endpoint; one that runs there is replaced.
    pub fn start(&mut self, endpoint: u32, process: E) {
        let Some(slot) = self.slots.get_mut(endpoint as usize) else {
            return;
        };
        slot.endpoint = Some(process);
        slot.frozen = false;
        slot.inbox.clear();
        slot.life += 1;
        slot.wakeup = f64::INFINITY;
        slot.polled = f64::NEG_INFINITY;
        slot.uplink_free = self.now;
        self.schedule(endpoint);
    }

    /// The process at an endpoint ends without a word.
    pub fn kill(&mut self, endpoint: u32) -> Option<E> {
        let slot = self.slots.get_mut(endpoint as usize)?;
        slot.inbox.clear();
        slot.wakeup = f64::INFINITY;
        slot.endpoint.take()
    }

    /// The process at an endpoint stands still; datagrams wait for it as far as its buffer holds them.
    pub fn freeze(&mut self, endpoint: u32) {
        if let Some(slot) = self.slots.get_mut(endpoint as usize) {
            slot.frozen = true;
        }
    }

    /// The process at an endpoint goes on: first with the frames that came, then with what is due.
    pub fn thaw(&mut self, endpoint: u32) {
        let Some(slot) = self.slots.get_mut(endpoint as usize) else {
            return;
        };
        slot.frozen = false;
        let waiting = std::mem::take(&mut slot.inbox);
        for (from, frame) in waiting {
            self.hand_over(from, endpoint, &frame);
        }
        self.schedule(endpoint);
    }

    /// The process at an endpoint, unless it has ended.
    pub fn endpoint(&self, endpoint: u32) -> Option<&E> {
        self.slots.get(endpoint as usize)?.endpoint.as_ref()
    }

    /// All processes that have not ended, by their numbers.
    pub fn endpoints(&self) -> impl Iterator<Item = (u32, &E)> {
        let numbered = (0u32..).zip(&self.slots);
        numbered.filter_map(|(number, slot)| Some((number, slot.endpoint.as_ref()?)))
    }

    /// Does something at an endpoint that runs, and delivers what it sends.
    pub fn with<R>(
        &mut self,
        endpoint: u32,
        act: impl FnOnce(&mut E, f64, &mut Vec<(u32, Vec<u8>)>) -> R,
    ) -> Option<R> {
        let (now, clock) = (self.now, self.cpu_clock);
        let mut sends = std::mem::take(&mut self.sends);
        let slot = self.slots.get_mut(endpoint as usize);
        let result =
            slot.and_then(|slot| slot.call(clock, |process| act(process, now, &mut sends)));
        for (to, frame) in sends.drain(..) {
            self.send(endpoint, to, frame);
        }
        self.sends = sends;
        self.schedule(endpoint);
        result
    }

    // ---- partitions ----

    /// From now on nothing that is sent passes from one set to another.
    pub fn partition(&mut self, from: Scope, to: Scope) {
        self.partitions.push((from, to));
    }

    /// From now on nothing passes between two sets, either way.
    pub fn partition_both(&mut self, one: Scope, other: Scope) {
        self.partition(one, other);
        self.partition(other, one);
    }

    /// All partitions are over.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    fn is_partitioned(&self, from: u32, to: u32) -> bool {
        if self.partitions.is_empty() {
            return false;
        }
        let (Some(from_site), Some(to_site)) = (self.topology.site(from), self.topology.site(to))
        else {
            return true;
        };
        let stops = |(a, b): &(Scope, Scope)| {
            from != to && a.contains(from, from_site) && b.contains(to, to_site)
        };
        self.partitions.iter().any(stops)
    }

    // ---- accounts ----

    /// The account of an endpoint.
    pub fn account(&self, endpoint: u32) -> Option<&Account> {
        self.slots.get(endpoint as usize).map(|slot| &slot.account)
    }

    /// Begins all accounts anew.
    pub fn reset_accounts(&mut self) {
        self.accounts_since = self.now;
        for slot in &mut self.slots {
            slot.account = Account::default();
        }
    }

    /// What some endpoints used since accounts began.
    pub fn usage(&self, endpoints: impl IntoIterator<Item = u32>) -> Usage {
        let accounts = endpoints
            .into_iter()
            .filter_map(|endpoint| self.account(endpoint));
        Usage::of(accounts, self.now - self.accounts_since)
    }

    // ---- events ----

    /// Runs on for so many seconds.
    pub fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.queue.next_at().is_some_and(|at| at <= end) {
            let Some(event) = self.queue.take() else {
                break;
            };
            self.now = self.queue.now();
            match event {
                Event::Frame {
                    from,
                    to,
                    life,
                    frame,
                } => self.arrive(from, to, life, frame),
                Event::Wakeup { endpoint } => self.wake(endpoint),
            }
        }
        self.now = end;
    }

    /// Runs until something holds, which is looked at every `step` seconds; how long it took. `None` if it does not hold
    /// within `most` seconds.
    pub fn run_until(
        &mut self,
        most: f64,
        step: f64,
        holds: impl Fn(&Network<E>) -> bool,
    ) -> Option<f64> {
        let begun = self.now;
        while !holds(self) {
            if self.now - begun >= most {
                return None;
            }
            self.run(step);
        }
        Some(self.now - begun)
    }

    fn arrive(&mut self, from: u32, to: u32, life: u32, frame: Vec<u8>) {
        let streams = matches!(self.links.delivery, Delivery::Streams { .. });
        let Some(slot) = self.slots.get_mut(to as usize) else {
            return;
        };
        let ended = slot.endpoint.is_none() || (streams && slot.life != life);
        if ended {
            self.undelivered.ended += 1;
        } else if !slot.frozen {
            self.hand_over(from, to, &frame);
        } else if streams || slot.inbox.len() < INBOX_MOST {
            slot.inbox.push_back((from, frame));
        } else {
            self.undelivered.overflowed += 1;
        }
    }

    fn hand_over(&mut self, from: u32, to: u32, frame: &[u8]) {
        let (now, bytes) = (self.now, self.bytes_on_link(frame));
        if let Some(slot) = self.slots.get_mut(to as usize) {
            slot.account.received(now, bytes);
        }
        self.with(to, |process, now, sends| {
            process.receive(now, from, frame, sends);
        });
    }

    fn wake(&mut self, endpoint: u32) {
        let now = self.now;
        let Some(slot) = self.slots.get_mut(endpoint as usize) else {
            return;
        };
        // One that was put in for a later moment than another, or for a process that has ended.
        if slot.wakeup > now {
            return;
        }
        slot.wakeup = f64::INFINITY;
        let due = slot
            .running()
            .is_some_and(|process| process.next_wakeup() <= now);
        if due {
            slot.polled = now;
            self.with(endpoint, super::endpoint::Endpoint::poll);
        } else {
            self.schedule(endpoint);
        }
    }

    /// Puts in a wakeup, unless one that is as early is in the queue.
    fn schedule(&mut self, endpoint: u32) {
        let now = self.now;
        let Some(slot) = self.slots.get_mut(endpoint as usize) else {
            return;
        };
        let polled = slot.polled;
        let Some(process) = slot.running() else {
            return;
        };
        let at = process.next_wakeup().max(polled + POLL_INTERVAL).max(now);
        if at < slot.wakeup {
            slot.wakeup = at;
            self.queue.put(at, Event::Wakeup { endpoint });
        }
    }

    // ---- frames ----

    fn send(&mut self, from: u32, to: u32, frame: Vec<u8>) {
        let bytes = self.bytes_on_link(&frame);
        if let Some(slot) = self.slots.get_mut(from as usize) {
            slot.account.sent(self.now, bytes);
        }
        let departure = self.departure(from, bytes);
        let Some(distance) = self.topology.distance(from, to) else {
            self.undelivered.ended += 1;
            return;
        };
        if self.is_partitioned(from, to) {
            self.undelivered.partitioned += 1;
            return;
        }
        let link = self.links.over(distance);
        match self.links.delivery {
            Delivery::Datagrams => self.send_datagram(from, to, frame, departure, link),
            Delivery::Streams { retransmit_after } => {
                self.send_in_stream(from, to, frame, departure, link, retransmit_after);
            }
        }
    }

    fn bytes_on_link(&self, frame: &[u8]) -> u64 {
        (frame.len() + self.links.overhead) as u64
    }

    /// When the uplink has sent so many bytes more.
    fn departure(&mut self, from: u32, bytes: u64) -> f64 {
        let takes = bytes as f64 / self.links.bandwidth;
        let Some(slot) = self.slots.get_mut(from as usize) else {
            return self.now;
        };
        slot.uplink_free = slot.uplink_free.max(self.now) + takes;
        slot.uplink_free
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random::<f64>() < share
    }

    fn delay(&mut self, link: Link) -> f64 {
        link.delay_least + (link.delay_most - link.delay_least) * self.rng.random::<f64>()
    }

    fn send_datagram(&mut self, from: u32, to: u32, frame: Vec<u8>, departure: f64, link: Link) {
        if self.chance(link.duplicates) {
            let at = departure + self.delay(link);
            self.put_frame(at, from, to, frame.clone());
        }
        if self.chance(link.loss) {
            self.undelivered.lost += 1;
            return;
        }
        let at = departure + self.delay(link);
        self.put_frame(at, from, to, frame);
    }

    fn send_in_stream(
        &mut self,
        from: u32,
        to: u32,
        frame: Vec<u8>,
        departure: f64,
        link: Link,
        retransmit_after: f64,
    ) {
        let mut at = departure + self.delay(link);
        for _ in 0..RETRANSMISSIONS_MOST {
            if !self.chance(link.loss) {
                break;
            }
            at += retransmit_after;
        }
        let last = self.arrivals.entry((from, to)).or_insert(at);
        // Frames of one instant are delivered in the order in which they were put in.
        at = at.max(*last);
        *last = at;
        self.put_frame(at, from, to, frame);
    }

    fn put_frame(&mut self, at: f64, from: u32, to: u32, frame: Vec<u8>) {
        let life = self.slots.get(to as usize).map_or(0, |slot| slot.life);
        self.queue.put(
            at,
            Event::Frame {
                from,
                to,
                life,
                frame,
            },
        );
    }
}
