//! Random numbers for the leases.

use std::cell::Cell;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

/// A source of random numbers, seeded by the operating system.
#[derive(Default)]
pub struct RandomNumbers {
    state: RandomState,
    /// Number of values generated so far.
    count: Cell<u64>,
}

impl RandomNumbers {
    /// Generates a value, uniform over the range of the type.
    pub fn next(&self) -> u32 {
        self.count.set(self.count.get() + 1);
        self.state.hash_one(self.count.get()) as u32
    }

    /// The random tag of a new storage folder: the same at each call, and never 0.
    pub fn storage_tag(&self) -> u64 {
        self.state.hash_one("storage") | 1
    }
}
