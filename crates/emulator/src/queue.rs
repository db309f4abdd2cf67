//! The event queue of simulations in virtual time, used by [`crate::world`] and [`crate::control::network`].

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
    /// Reversed, since the heap is a max-heap: the greatest event is the one due first, and among events of the same time the
    /// one scheduled first.
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .at
            .total_cmp(&self.at)
            .then(other.sequence.cmp(&self.sequence))
    }
}

/// A queue of events ordered by time, then by the order in which they were scheduled. Its clock never goes back.
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

    /// The time of the last event that was removed.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Schedules an event. If the time is in the past or NaN, the event is due now.
    pub fn schedule(&mut self, at: Time, event: E) {
        let at = if at > self.now { at } else { self.now };
        self.last_sequence += 1;
        self.heap.push(ScheduledEvent {
            at,
            sequence: self.last_sequence,
            event,
        });
    }

    /// When the next event is due; `None` if the queue is empty.
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
