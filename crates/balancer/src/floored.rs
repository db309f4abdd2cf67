//! A vector with sum 1 and a common floor that entries join and leave at logarithmic cost.
//!
//! Restoring floor and sum after each join or leave changes every entry. All entries change by the same function,
//! though: raised to the floor if they lie under it, scaled above it. [`Floored`] keeps that function instead of
//! its results. An entry has a raw value that stays; its value is `floor + scale * (raw - base)`. Entries that
//! were raised to the floor are *clamped*: they share one raw value, the `level`. Others lie above the level,
//! and a heap holds them by raw value, so that those that a rising floor reaches are found without a walk.

use crate::sums::Sum;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// The two groups that an entry belongs to, as dense numbers.
pub(crate) type Groups = [usize; 2];

/// A value below another by no more than this part of it is taken for equal to it.
const ROUNDING: f64 = 1e-12;

/// Past this scale, or under its inverse, the raw values are computed anew, or they would lose precision.
const MAX_SCALE: f64 = 1e6;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Free,
    Clamped,
    Removed,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    raw: f64,
    groups: Groups,
    state: State,
}

/// Count and sum of the entries of one group.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    raw: Sum,
    free: usize,
    clamped: usize,
}

impl Tally {
    fn add(&mut self, slot: &Slot) {
        match slot.state {
            State::Free => {
                self.raw.add(slot.raw);
                self.free += 1;
            }
            State::Clamped => self.clamped += 1,
            State::Removed => {}
        }
    }

    fn remove(&mut self, slot: &Slot) {
        match slot.state {
            State::Free => {
                self.raw.add(-slot.raw);
                self.free -= 1;
                if self.free == 0 {
                    self.raw = Sum::default();
                }
            }
            State::Clamped => self.clamped -= 1,
            State::Removed => {}
        }
    }

    fn count(&self) -> usize {
        self.free + self.clamped
    }

    /// Sum of what the raw values have above `base`.
    fn above(&self, base: f64, level: f64) -> f64 {
        self.raw.value() - self.free as f64 * base + self.clamped as f64 * (level - base)
    }
}

/// A free slot in the order of raw values.
#[derive(Clone, Copy, Debug)]
struct Rank {
    raw: f64,
    slot: usize,
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        self.raw
            .total_cmp(&other.raw)
            .then(self.slot.cmp(&other.slot))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Rank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Rank {}

/// The vector. Positions are those of a `Vec` with `push` and `swap_remove`.
#[derive(Clone, Debug)]
pub(crate) struct Floored {
    /// Every entry since the last [`Floored::rebuild`], removed ones included.
    slots: Vec<Slot>,
    /// The slot at each position.
    order: Vec<usize>,
    /// The free slots, lowest first, among removed ones.
    lowest: BinaryHeap<Reverse<Rank>>,
    /// What the floors of all entries come to; less than 1.
    floors: f64,
    floor: f64,
    base: f64,
    scale: f64,
    /// Raw value of the clamped entries; no free one lies under it.
    level: f64,
    all: Tally,
    groups: Vec<Tally>,
}

impl Floored {
    /// A vector of these entries, of which none shall have less than `floors` divided by their number. Those that
    /// lie lower are raised to that; the sum is left to [`Floored::restore`].
    pub(crate) fn new(floors: f64, entries: impl ExactSizeIterator<Item = (f64, Groups)>) -> Self {
        let floor = floors / entries.len().max(1) as f64;
        let mut vector = Floored {
            slots: Vec::new(),
            order: Vec::new(),
            lowest: BinaryHeap::new(),
            floors,
            floor,
            base: floor,
            scale: 1.0,
            level: floor,
            all: Tally::default(),
            groups: Vec::new(),
        };
        for (value, groups) in entries {
            vector.insert(value, groups);
        }
        vector
    }

    /// How many entries there are.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// The entry at a position.
    pub(crate) fn value(&self, position: usize) -> f64 {
        let slot = &self.slots[self.order[position]];
        self.scaled(if slot.state == State::Clamped {
            self.level
        } else {
            slot.raw
        })
    }

    /// All entries by position.
    pub(crate) fn values(&self) -> Vec<f64> {
        (0..self.len())
            .map(|position| self.value(position))
            .collect()
    }

    /// The mean entry of a group, if it has any.
    pub(crate) fn mean(&self, group: usize) -> Option<f64> {
        let tally = self.groups.get(group).filter(|tally| tally.count() > 0)?;
        let above = tally.above(self.base, self.level) / tally.count() as f64;
        Some(self.floor + self.scale * above)
    }

    /// Adds an entry at the end, and restores floor and sum. One that is lower than entries clamped before
    /// costs a walk, as these are no longer the lowest.
    pub(crate) fn push(&mut self, value: f64, groups: Groups) {
        if self.all.clamped == 0 {
            self.level = self.base;
        } else if value < (1.0 - ROUNDING) * self.scaled(self.level) {
            self.rebuild(self.values());
        }
        self.insert(self.base + (value - self.floor) / self.scale, groups);
        self.restore();
    }

    /// Removes an entry, and restores floor and sum; the last one takes its place.
    pub(crate) fn swap_remove(&mut self, position: usize) {
        let slot = self.order.swap_remove(position);
        self.uncount(slot);
        self.slots[slot].state = State::Removed;
        self.restore();
    }

    /// Moves an entry to other groups.
    pub(crate) fn regroup(&mut self, position: usize, groups: Groups) {
        let slot = self.order[position];
        self.uncount(slot);
        self.slots[slot].groups = groups;
        self.count(slot);
    }

    /// Raises what lies under the floor to it, and scales what the entries have above it, so that all of them sum
    /// to 1; where none has anything, all get the same.
    pub(crate) fn restore(&mut self) {
        let (floor, above) = (self.floors / self.len().max(1) as f64, 1.0 - self.floors);
        self.base += (floor - self.floor) / self.scale;
        self.floor = floor;
        self.clamp();
        let now = self.all.above(self.base, self.level);
        if now < 0.0 || !now.is_normal() {
            return self.rebuild(vec![1.0 / self.len() as f64; self.len()]);
        }
        self.scale = above / now;
        if !(1.0 / MAX_SCALE..=MAX_SCALE).contains(&self.scale) {
            self.rebuild(self.values());
        }
    }

    fn scaled(&self, raw: f64) -> f64 {
        self.floor + self.scale * (raw - self.base)
    }

    /// Clamps the free entries that do not lie above the base.
    fn clamp(&mut self) {
        if self.all.clamped == 0 || self.level < self.base {
            self.level = self.base;
        }
        while let Some(Reverse(rank)) = self
            .lowest
            .peek()
            .copied()
            .filter(|r| r.0.raw <= self.level)
        {
            self.lowest.pop();
            if self.slots[rank.slot].state == State::Free {
                self.uncount(rank.slot);
                self.slots[rank.slot].state = State::Clamped;
                self.count(rank.slot);
            }
        }
    }

    fn insert(&mut self, raw: f64, groups: Groups) {
        let slot = self.slots.len();
        let state = if raw <= self.level {
            State::Clamped
        } else {
            State::Free
        };
        self.slots.push(Slot { raw, groups, state });
        self.order.push(slot);
        if state == State::Free {
            self.lowest.push(Reverse(Rank { raw, slot }));
        }
        self.count(slot);
    }

    fn count(&mut self, slot: usize) {
        let slot = self.slots[slot];
        self.all.add(&slot);
        for group in slot.groups {
            if self.groups.len() <= group {
                self.groups.resize(group + 1, Tally::default());
            }
            self.groups[group].add(&slot);
        }
    }

    fn uncount(&mut self, slot: usize) {
        let slot = self.slots[slot];
        self.all.remove(&slot);
        for group in slot.groups {
            self.groups[group].remove(&slot);
        }
    }

    /// Computes the raw values anew, from these values.
    fn rebuild(&mut self, values: Vec<f64>) {
        let groups: Vec<Groups> = self
            .order
            .iter()
            .map(|slot| self.slots[*slot].groups)
            .collect();
        *self = Floored::new(self.floors, values.into_iter().zip(groups));
    }
}
