//! The clock of the fleet's state machine and of the leases.

use reelfall_cluster::Time;
use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// A monotonic clock that includes the time for which the machine was suspended, so that entries age meanwhile.
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock that reads 0 now.
    pub fn start() -> Clock {
        Clock {
            start: Self::read(),
        }
    }

    fn read() -> Duration {
        let now = clock_gettime(ClockId::Boottime);
        Duration::new(
            now.tv_sec.unsigned_abs(),
            u32::try_from(now.tv_nsec).unwrap_or(0),
        )
    }

    fn elapsed(&self) -> Duration {
        Self::read().saturating_sub(self.start)
    }

    /// Seconds since the start.
    pub fn now(&self) -> Time {
        self.elapsed().as_secs_f64()
    }

    /// Microseconds since the start.
    pub fn micros(&self) -> u64 {
        u64::try_from(self.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}
