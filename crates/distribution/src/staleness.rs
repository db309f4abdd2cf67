//! How stale a replica is: the age that an upstream reported, and the time since.

use crate::{Time, DRIFT};

/// The last known age of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownAge {
    /// When the age was known, on this process's clock.
    pub at: Time,
    /// Upper bound of the age at that time, in seconds.
    pub age: Time,
}

impl KnownAge {
    /// Upper bound of the age now, in seconds.
    pub fn at_time(&self, now: Time) -> Time {
        self.age + (now - self.at).max(0.0) * (1.0 + 2.0 * DRIFT)
    }
}
