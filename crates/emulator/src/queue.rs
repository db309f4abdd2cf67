//! The event queue of emulations in virtual time: [`crate::world`] and [`crate::control::network`] run by it.

use reelfall_balancer::interface::Time;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct ScheduledEvent<E> {
    at: Time,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    /// The heap gives its greatest first: what is due first, and of one instant what was scheduled first.
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .at
            .total_cmp(&self.at)
            .then(other.sequence.cmp(&self.sequence))
    }
}

/// Events by their time; those of one instant are in the order in which they were scheduled. The clock only advances.
pub struct EventQueue<E> {
    heap: BinaryHeap<ScheduledEvent<E>>,
    last_sequence: u64,
    now: Time,
}

impl<E> EventQueue<E> {
    /// An empty queue whose clock is at `now`.
    pub fn new(now: Time) -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            last_sequence: 0,
            now,
        }
    }

    /// The time of the event that was removed last.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Schedules an event; one in the past, or at a time that is not a number, is due now.
    pub fn schedule(&mut self, at: Time, event: E) {
        let at = if at > self.now { at } else { self.now };
        self.last_sequence += 1;
        self.heap.push(ScheduledEvent {
            at,
            sequence: self.last_sequence,
            event,
        });
    }

    /// When the next event is due.
    pub fn next_due(&self) -> Option<Time> {
        self.heap.peek().map(|due| due.at)
    }

    /// Removes the next event, and advances the clock to its time.
    pub fn pop(&mut self) -> Option<E> {
        let due = self.heap.pop()?;
        self.now = due.at;
        Some(due.event)
    }
}
