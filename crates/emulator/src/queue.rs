//! What is to happen, in the order of time.

use reelfall_balancer::interface::Time;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Due<E> {
    at: Time,
    number: u64,
    event: E,
}

impl<E> PartialEq for Due<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Due<E> {}

impl<E> PartialOrd for Due<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Due<E> {
    /// The heap gives its greatest first: what is due first, and of one instant what was put in first.
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .at
            .total_cmp(&self.at)
            .then(other.number.cmp(&self.number))
    }
}

/// Events by their time; those of one instant come in the order in which they were put in. The clock only advances.
pub struct Queue<E> {
    heap: BinaryHeap<Due<E>>,
    numbers: u64,
    now: Time,
}

impl<E> Queue<E> {
    /// Nothing is to happen; it is `now`.
    pub fn new(now: Time) -> Self {
        Queue {
            heap: BinaryHeap::new(),
            numbers: 0,
            now,
        }
    }

    /// The time of the event that was taken last.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Puts in an event; one that is due in the past, or at no time at all, is due now.
    pub fn put(&mut self, at: Time, event: E) {
        let at = if at > self.now { at } else { self.now };
        self.numbers += 1;
        self.heap.push(Due {
            at,
            number: self.numbers,
            event,
        });
    }

    /// When the next event is due.
    pub fn next_at(&self) -> Option<Time> {
        self.heap.peek().map(|due| due.at)
    }

    /// Takes the next event, and turns the clock to its time.
    pub fn take(&mut self) -> Option<E> {
        let due = self.heap.pop()?;
        self.now = due.at;
        Some(due.event)
    }
}
