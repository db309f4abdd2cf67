//! A probability vector with a common floor, in which entries are added and removed at logarithmic cost.
//!
//! Restoring the floor and the sum after an addition or removal changes every entry, but all by the same function: an
//! entry below the floor is raised to it, and the excess over the floor is scaled. [`FlooredVector`] stores the
//! parameters of that function instead of its results. An entry has a fixed raw value; its value is `floor + scale *
//! (raw - raw_floor)`. Entries that were raised to the floor are *clamped*: they share one raw value, `clamped_raw`.
//! The others are *free*: their raw values are higher, and a heap orders them, so that those that a rising floor
//! reaches are found without an iteration over all entries.

use crate::sums::CompensatedSum;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// The two groups that an entry belongs to, as dense indices.
pub(crate) type Groups = [usize; 2];

/// A value that is lower than another by at most this fraction is considered equal to it.
const ROUNDING_TOLERANCE: f64 = 1e-12;

/// If the scale exceeds this, or falls below its inverse, the raw values are recomputed, as they would lose precision.
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

/// Counts of the entries of one group, and the sum of the raw values of the free ones.
#[derive(Clone, Copy, Debug, Default)]
struct GroupTotals {
    raw: CompensatedSum,
    free: usize,
    clamped: usize,
}

impl GroupTotals {
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
                    self.raw = CompensatedSum::default();
                }
            }
            State::Clamped => self.clamped -= 1,
            State::Removed => {}
        }
    }

    fn count(&self) -> usize {
        self.free + self.clamped
    }

    /// The sum of the excesses of the raw values over `raw_floor`.
    fn excess(&self, raw_floor: f64, clamped_raw: f64) -> f64 {
        self.raw.value() - self.free as f64 * raw_floor
            + self.clamped as f64 * (clamped_raw - raw_floor)
    }
}

/// A heap entry for a free slot, ordered by raw value.
#[derive(Clone, Copy, Debug)]
struct RankedSlot {
    raw: f64,
    slot: usize,
}

impl Ord for RankedSlot {
    fn cmp(&self, other: &Self) -> Ordering {
        self.raw
            .total_cmp(&other.raw)
            .then(self.slot.cmp(&other.slot))
    }
}

impl PartialOrd for RankedSlot {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankedSlot {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for RankedSlot {}

/// The probability vector. Positions change as in a `Vec` with `push` and `swap_remove`.
#[derive(Clone, Debug)]
pub(crate) struct FlooredVector {
    /// All entries since the last [`FlooredVector::rebuild`], including removed ones.
    slots: Vec<Slot>,
    /// The index into `slots` of the entry at each position.
    slots_by_position: Vec<usize>,
    /// The free slots, lowest raw value first. It may also contain removed slots.
    free_slots: BinaryHeap<Reverse<RankedSlot>>,
    /// The sum of the floors of all entries; less than 1.
    total_floor: f64,
    floor: f64,
    /// The raw value that is mapped to the floor.
    raw_floor: f64,
    scale: f64,
    /// Raw value of the clamped entries; no free entry has a lower one.
    clamped_raw: f64,
    all: GroupTotals,
    groups: Vec<GroupTotals>,
}

impl FlooredVector {
    /// Creates a vector of these entries. The floor is `total_floor` divided by their number, and lower entries are
    /// raised to it; [`FlooredVector::restore`] restores the sum.
    pub(crate) fn new(
        total_floor: f64,
        entries: impl ExactSizeIterator<Item = (f64, Groups)>,
    ) -> Self {
        let floor = total_floor / entries.len().max(1) as f64;
        let mut vector = FlooredVector {
            slots: Vec::new(),
            slots_by_position: Vec::new(),
            free_slots: BinaryHeap::new(),
            total_floor,
            floor,
            raw_floor: floor,
            scale: 1.0,
            clamped_raw: floor,
            all: GroupTotals::default(),
            groups: Vec::new(),
        };
        for (value, groups) in entries {
            vector.insert(value, groups);
        }
        vector
    }

    /// The number of entries.
    pub(crate) fn len(&self) -> usize {
        self.slots_by_position.len()
    }

    /// The value of the entry at a position.
    pub(crate) fn value(&self, position: usize) -> f64 {
        let slot = &self.slots[self.slots_by_position[position]];
        self.scaled(if slot.state == State::Clamped {
            self.clamped_raw
        } else {
            slot.raw
        })
    }

    /// The values of all entries, by position.
    pub(crate) fn values(&self) -> Vec<f64> {
        (0..self.len())
            .map(|position| self.value(position))
            .collect()
    }

    /// The mean value of the entries of a group, if it has any.
    pub(crate) fn mean(&self, group: usize) -> Option<f64> {
        let totals = self.groups.get(group).filter(|totals| totals.count() > 0)?;
        let excess = totals.excess(self.raw_floor, self.clamped_raw) / totals.count() as f64;
        Some(self.floor + self.scale * excess)
    }

    /// Adds an entry at the end, and restores the floor and the sum. An entry below the clamped ones costs an iteration
    /// over all entries, as the clamped ones are no longer the lowest.
    pub(crate) fn push(&mut self, value: f64, groups: Groups) {
        if self.all.clamped == 0 {
            self.clamped_raw = self.raw_floor;
        } else if value < (1.0 - ROUNDING_TOLERANCE) * self.scaled(self.clamped_raw) {
            self.rebuild(self.values());
        }
        self.insert(self.raw_floor + (value - self.floor) / self.scale, groups);
        self.restore();
    }

    /// Removes an entry, and restores the floor and the sum; the last entry takes its position.
    pub(crate) fn swap_remove(&mut self, position: usize) {
        let slot = self.slots_by_position.swap_remove(position);
        self.remove_from_totals(slot);
        self.slots[slot].state = State::Removed;
        self.restore();
    }

    /// Moves an entry to other groups.
    pub(crate) fn set_groups(&mut self, position: usize, groups: Groups) {
        let slot = self.slots_by_position[position];
        self.remove_from_totals(slot);
        self.slots[slot].groups = groups;
        self.add_to_totals(slot);
    }

    /// Raises entries below the floor to it, and scales the excesses over the floor so that all entries sum to 1. If
    /// there is no excess, all entries become equal.
    pub(crate) fn restore(&mut self) {
        let (floor, target_excess) = (
            self.total_floor / self.len().max(1) as f64,
            1.0 - self.total_floor,
        );
        self.raw_floor += (floor - self.floor) / self.scale;
        self.floor = floor;
        self.clamp();
        let excess = self.all.excess(self.raw_floor, self.clamped_raw);
        if excess < 0.0 || !excess.is_normal() {
            return self.rebuild(vec![1.0 / self.len() as f64; self.len()]);
        }
        self.scale = target_excess / excess;
        if !(1.0 / MAX_SCALE..=MAX_SCALE).contains(&self.scale) {
            self.rebuild(self.values());
        }
    }

    fn scaled(&self, raw: f64) -> f64 {
        self.floor + self.scale * (raw - self.raw_floor)
    }

    /// Clamps the free entries that are at or below the floor.
    fn clamp(&mut self) {
        if self.all.clamped == 0 || self.clamped_raw < self.raw_floor {
            self.clamped_raw = self.raw_floor;
        }
        while let Some(Reverse(ranked)) = self
            .free_slots
            .peek()
            .copied()
            .filter(|lowest| lowest.0.raw <= self.clamped_raw)
        {
            self.free_slots.pop();
            if self.slots[ranked.slot].state == State::Free {
                self.remove_from_totals(ranked.slot);
                self.slots[ranked.slot].state = State::Clamped;
                self.add_to_totals(ranked.slot);
            }
        }
    }

    fn insert(&mut self, raw: f64, groups: Groups) {
        let slot = self.slots.len();
        let state = if raw <= self.clamped_raw {
            State::Clamped
        } else {
            State::Free
        };
        self.slots.push(Slot { raw, groups, state });
        self.slots_by_position.push(slot);
        if state == State::Free {
            self.free_slots.push(Reverse(RankedSlot { raw, slot }));
        }
        self.add_to_totals(slot);
    }

    fn add_to_totals(&mut self, slot: usize) {
        let slot = self.slots[slot];
        self.all.add(&slot);
        for group in slot.groups {
            if self.groups.len() <= group {
                self.groups.resize(group + 1, GroupTotals::default());
            }
            self.groups[group].add(&slot);
        }
    }

    fn remove_from_totals(&mut self, slot: usize) {
        let slot = self.slots[slot];
        self.all.remove(&slot);
        for group in slot.groups {
            self.groups[group].remove(&slot);
        }
    }

    /// Recomputes the raw values from these values.
    fn rebuild(&mut self, values: Vec<f64>) {
        let groups: Vec<Groups> = self
            .slots_by_position
            .iter()
            .map(|slot| self.slots[*slot].groups)
            .collect();
        *self = FlooredVector::new(self.total_floor, values.into_iter().zip(groups));
    }
}
