//! A network in virtual time, which runs the processes of all endpoints and delivers frames between them.
//!
//! | state of a process | owner | ends |
//! | --- | --- | --- |
//! | running: receives frames, is polled | the endpoint's slot | killed or frozen |
//! | frozen: frames are queued in its inbox, it is not polled | the slot | thawed, which delivers the queued frames, or killed |
//! | ended: frames to it are dropped | the slot | started again |
//!
//! | module | responsibility |
//! | --- | --- |
//! | `frames` | sending: bandwidth, loss, duplication, retransmission and delay |
//! | `partitions` | which endpoints can't reach which |
//! | `accounting` | traffic and processor time of endpoints |

mod accounting;
mod frames;
mod partitions;

use self::frames::Stream;
use self::partitions::Partition;
use super::endpoint::{CpuClock, Endpoint, OutgoingFrame, ReceivedFrame, Slot};
use super::links::{Delivery, Links};
use super::topology::Topology;
use crate::queue::EventQueue;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;

/// Minimum time between two polls of an endpoint, in seconds, so that time advances even if an endpoint is always due.
pub const POLL_INTERVAL: f64 = 0.000_5;
/// Maximum number of datagrams that are queued for a frozen endpoint: as many small ones as a socket's default buffer holds.
pub const MAX_FROZEN_INBOX: usize = 200;

/// Number of frames that were not delivered, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Undelivered {
    /// Lost by a link.
    pub lost: u64,
    /// Dropped by a partition.
    pub partitioned: u64,
    /// Sent to an endpoint that did not run or, with streams, that was restarted in the meantime.
    pub ended: u64,
    /// Sent to a frozen endpoint whose inbox was full.
    pub overflowed: u64,
}

enum Event {
    Arrival(Arrival),
    Wakeup { endpoint: u32 },
}

/// The arrival of a frame at an endpoint.
struct Arrival {
    to: u32,
    /// The incarnation of the endpoint when the frame was sent.
    incarnation: u32,
    received: ReceivedFrame,
}

/// Endpoints, the links between them, and the event queue.
pub struct Network<E> {
    topology: Topology,
    links: Links,
    cpu_clock: Option<CpuClock>,
    slots: Vec<Slot<E>>,
    queue: EventQueue<Event>,
    now: f64,
    rng: Pcg64Mcg,
    partitions: Vec<Partition>,
    /// When the last frame of each stream arrives.
    last_arrivals: HashMap<Stream, f64>,
    undelivered: Undelivered,
    accounting_since: f64,
    /// Buffer for the frames that a process sends; empty between calls.
    outgoing: Vec<OutgoingFrame>,
}

impl<E: Endpoint> Network<E> {
    /// Creates a network at time 0 without processes.
    pub fn new(topology: Topology, links: Links, seed: u64) -> Network<E> {
        let slots = (0..topology.len()).map(|_| Slot::empty()).collect();
        Network {
            topology,
            links,
            cpu_clock: None,
            slots,
            queue: EventQueue::new(0.0),
            now: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            partitions: Vec::new(),
            last_arrivals: HashMap::new(),
            undelivered: Undelivered::default(),
            accounting_since: 0.0,
            outgoing: Vec::new(),
        }
    }

    /// Measures processor time with this clock. The measurements do not influence the simulation.
    pub fn measure_cpu(&mut self, clock: CpuClock) {
        self.cpu_clock = Some(clock);
    }

    /// The simulation time, in seconds.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// The sites of endpoints.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Counts of frames that were not delivered so far.
    pub fn undelivered(&self) -> Undelivered {
        self.undelivered
    }

    /// Starts a process at an endpoint and replaces any that is running there.
    pub fn start(&mut self, endpoint: u32, process: E) {
        let Some(slot) = self.slots.get_mut(endpoint as usize) else {
            return;
        };
        slot.process = Some(process);
        slot.is_frozen = false;
        slot.inbox.clear();
        slot.incarnation += 1;
        slot.scheduled_wakeup = f64::INFINITY;
        slot.last_polled_at = f64::NEG_INFINITY;
        slot.uplink_free_at = self.now;
        self.schedule_wakeup(endpoint);
    }

    /// Ends and returns the process at an endpoint, without notifying others.
    pub fn kill(&mut self, endpoint: u32) -> Option<E> {
        let slot = self.slots.get_mut(endpoint as usize)?;
        slot.inbox.clear();
        slot.scheduled_wakeup = f64::INFINITY;
        slot.process.take()
    }

    /// Suspends the process at an endpoint. Frames to it are queued; datagrams only up to [`MAX_FROZEN_INBOX`].
    pub fn freeze(&mut self, endpoint: u32) {
        if let Some(slot) = self.slots.get_mut(endpoint as usize) {
            slot.is_frozen = true;
        }
    }

    /// Resumes a frozen process: it receives the queued frames, then its due timers fire.
    pub fn thaw(&mut self, endpoint: u32) {
        let Some(slot) = self.slots.get_mut(endpoint as usize) else {
            return;
        };
        slot.is_frozen = false;
        let inbox = std::mem::take(&mut slot.inbox);
        for received in inbox {
            self.deliver(endpoint, &received);
        }
        self.schedule_wakeup(endpoint);
    }

    /// The process at an endpoint; `None` if it has ended.
    pub fn endpoint(&self, endpoint: u32) -> Option<&E> {
        self.slots.get(endpoint as usize)?.process.as_ref()
    }

    /// All processes that have not ended, with the numbers of their endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = (u32, &E)> {
        let numbered = (0u32..).zip(&self.slots);
        numbered.filter_map(|(endpoint, slot)| Some((endpoint, slot.process.as_ref()?)))
    }

    /// Calls a running process, and sends the frames that it returns in `outgoing`. `None` if no process is running there.
    pub fn with<R>(
        &mut self,
        endpoint: u32,
        call: impl FnOnce(&mut E, f64, &mut Vec<OutgoingFrame>) -> R,
    ) -> Option<R> {
        let (now, clock) = (self.now, self.cpu_clock);
        let mut outgoing = std::mem::take(&mut self.outgoing);
        let slot = self.slots.get_mut(endpoint as usize);
        let result =
            slot.and_then(|slot| slot.call(clock, |process| call(process, now, &mut outgoing)));
        for frame in outgoing.drain(..) {
            self.send(endpoint, frame);
        }
        self.outgoing = outgoing;
        self.schedule_wakeup(endpoint);
        result
    }

    /// Runs for this many seconds.
    pub fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.queue.next_due().is_some_and(|at| at <= end) {
            let Some(event) = self.queue.pop() else {
                break;
            };
            self.now = self.queue.now();
            match event {
                Event::Arrival(arrival) => self.handle_arrival(arrival),
                Event::Wakeup { endpoint } => self.handle_wakeup(endpoint),
            }
        }
        self.now = end;
    }

    /// Runs until a condition holds, which is checked every `step` seconds. Returns how long that took, in seconds, or `None` if
    /// the condition does not hold within `timeout` seconds.
    pub fn run_until(
        &mut self,
        timeout: f64,
        step: f64,
        condition: impl Fn(&Network<E>) -> bool,
    ) -> Option<f64> {
        let started_at = self.now;
        while !condition(self) {
            if self.now - started_at >= timeout {
                return None;
            }
            self.run(step);
        }
        Some(self.now - started_at)
    }

    fn handle_arrival(&mut self, arrival: Arrival) {
        let is_stream = matches!(self.links.delivery, Delivery::Streams { .. });
        let Some(slot) = self.slots.get_mut(arrival.to as usize) else {
            return;
        };
        let is_closed_stream = is_stream && slot.incarnation != arrival.incarnation;
        if slot.process.is_none() || is_closed_stream {
            self.undelivered.ended += 1;
        } else if !slot.is_frozen {
            self.deliver(arrival.to, &arrival.received);
        } else if is_stream || slot.inbox.len() < MAX_FROZEN_INBOX {
            slot.inbox.push_back(arrival.received);
        } else {
            self.undelivered.overflowed += 1;
        }
    }

    fn deliver(&mut self, to: u32, received: &ReceivedFrame) {
        let (now, bytes) = (self.now, self.bytes_on_link(&received.frame));
        if let Some(slot) = self.slots.get_mut(to as usize) {
            slot.account.received(now, bytes);
        }
        self.with(to, |process, now, outgoing| {
            process.receive(now, received.from, &received.frame, outgoing);
        });
    }

    fn handle_wakeup(&mut self, endpoint: u32) {
        let now = self.now;
        let Some(slot) = self.slots.get_mut(endpoint as usize) else {
            return;
        };
        // Ignores a wakeup that was replaced by an earlier one, or whose process has ended.
        if slot.scheduled_wakeup > now {
            return;
        }
        slot.scheduled_wakeup = f64::INFINITY;
        let is_due = slot
            .running_process()
            .is_some_and(|process| process.next_wakeup() <= now);
        if is_due {
            slot.last_polled_at = now;
            self.with(endpoint, Endpoint::poll);
        } else {
            self.schedule_wakeup(endpoint);
        }
    }

    /// Schedules the next wakeup of an endpoint, unless one is already queued that is due no later.
    fn schedule_wakeup(&mut self, endpoint: u32) {
        let now = self.now;
        let Some(slot) = self.slots.get_mut(endpoint as usize) else {
            return;
        };
        let earliest = slot.last_polled_at + POLL_INTERVAL;
        let Some(process) = slot.running_process() else {
            return;
        };
        let at = process.next_wakeup().max(earliest).max(now);
        if at < slot.scheduled_wakeup {
            slot.scheduled_wakeup = at;
            self.queue.schedule(at, Event::Wakeup { endpoint });
        }
    }
}
