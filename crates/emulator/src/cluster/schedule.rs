//! The order in which a [`Cluster`] delivers datagrams and polls nodes.

use super::links::{InFlight, MICROSECONDS};
use super::Cluster;
use std::collections::BTreeSet;

/// Minimum time between two polls of a node, in seconds, so that virtual time advances even if a node is always due.
const POLL_INTERVAL: f64 = 0.0005;
/// Interval between checks of the invariants, in seconds.
const CHECK_INTERVAL: f64 = 0.05;
/// Time of a timer that is not set, in microseconds.
const NEVER: u64 = u64::MAX;

/// When each node is due to be polled: an ordered queue with at most one timer per node.
struct Timers {
    queue: BTreeSet<Timer>,
    by_node: Vec<Option<Timer>>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    microseconds: u64,
    node: usize,
}

impl Timers {
    fn new(nodes: usize) -> Timers {
        Timers {
            queue: BTreeSet::new(),
            by_node: vec![None; nodes],
        }
    }

    fn next(&self) -> u64 {
        self.queue.first().map_or(NEVER, |timer| timer.microseconds)
    }

    fn pop(&mut self) -> Option<usize> {
        let timer = self.queue.pop_first()?;
        self.by_node[timer.node] = None;
        Some(timer.node)
    }

    /// Replaces or removes the timer of a node.
    fn set(&mut self, node: usize, microseconds: Option<u64>) {
        let timer = microseconds.map(|microseconds| Timer { microseconds, node });
        if let Some(replaced) = std::mem::replace(&mut self.by_node[node], timer) {
            self.queue.remove(&replaced);
        }
        self.queue.extend(timer);
    }
}

impl Cluster {
    /// Runs for this many seconds, and checks the invariants periodically and at the end.
    pub fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        let mut timers = Timers::new(self.processes.len());
        let mut next_check = self.now;
        for node in 0..self.processes.len() {
            timers.set(node, self.poll_time(node));
        }
        loop {
            let next_arrival = self
                .in_flight
                .first_key_value()
                .map_or(NEVER, |(at, _)| at.microseconds);
            let next = next_arrival.min(timers.next()) as f64 / MICROSECONDS;
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            let node = if next_arrival <= timers.next() {
                self.deliver_next()
            } else {
                self.poll_next(&mut timers)
            };
            let Some(node) = node else { break };
            timers.set(node, self.poll_time(node));
            if self.now >= next_check {
                next_check = self.now + CHECK_INTERVAL;
                self.check_invariants();
            }
        }
        self.now = end;
        self.check_invariants();
    }

    /// Delivers the next datagram; returns its receiver.
    fn deliver_next(&mut self) -> Option<usize> {
        let (_, InFlight { to, datagram }) = self.in_flight.pop_first()?;
        let inbox_capacity = self.inbox_capacity;
        match &mut self.processes[to] {
            // Like a full socket buffer, a full inbox drops new datagrams.
            Some(process) if process.is_frozen && process.inbox.len() >= inbox_capacity => {}
            Some(process) if process.is_frozen => process.inbox.push(datagram),
            Some(_) => drop(self.with_node(to, |fleet, now| fleet.receive(now, &datagram))),
            None => {}
        }
        Some(to)
    }

    /// Polls the node whose timer is next; returns the node.
    fn poll_next(&mut self, timers: &mut Timers) -> Option<usize> {
        let node = timers.pop()?;
        let listed_servers = self.listed_servers;
        let process = self.processes[node].as_mut();
        if let Some(process) = process.filter(|process| !process.is_frozen) {
            process.last_polled_at = self.now;
            self.with_node(node, |fleet, now| fleet.tick(now, listed_servers));
        }
        Some(node)
    }

    /// When a node is due to be polled, in microseconds; `None` if it is dead or frozen.
    fn poll_time(&self, node: usize) -> Option<u64> {
        let process = self.processes[node].as_ref();
        let process = process.filter(|process| !process.is_frozen)?;
        let deadline = process.started_at + process.fleet.deadline() / process.clock_rate;
        let earliest = process.last_polled_at + POLL_INTERVAL;
        let at = deadline.max(earliest).max(self.now);
        Some((at * MICROSECONDS).ceil() as u64)
    }
}
