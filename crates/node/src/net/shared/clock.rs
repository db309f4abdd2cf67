//! The time of engines and limits.

use reelfall_balancer::interface::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Converts between monotonic instants and Unix time. Endpoint lists state start times in Unix time, with 0 for long
/// ago, so a clock that began at 0 would treat every server as past its slow start.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// The Unix time at `started`, in seconds.
    started_unix: Time,
}

impl Clock {
    #[allow(clippy::disallowed_methods)] // The only read of the system clock; later times are monotonic.
    pub(super) fn start() -> Self {
        let started_unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1.0, |since_epoch| since_epoch.as_secs_f64().max(1.0));
        Clock {
            started: Instant::now(),
            started_unix,
        }
    }

    /// The current Unix time, in seconds.
    pub fn now(&self) -> Time {
        self.time(Instant::now())
    }

    /// An instant as Unix time, in seconds.
    pub fn time(&self, instant: Instant) -> Time {
        self.started_unix
            + instant
                .saturating_duration_since(self.started)
                .as_secs_f64()
    }

    /// A Unix time as an instant; one before the start of the clock is the start.
    pub fn instant(&self, time: Time) -> Instant {
        let since_start = Duration::try_from_secs_f64(time - self.started_unix).unwrap_or_default();
        self.started
            .checked_add(since_start)
            .unwrap_or(self.started)
    }
}
