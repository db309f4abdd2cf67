//! The clock of engines and limits.

use reelfall_balancer::interface::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The moments of engines and limits. Lists state starts in Unix time and 0 for long ago: a clock that began at 0
/// here would make every cold server look warm.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix: Time,
}

impl Clock {
    #[allow(clippy::disallowed_methods)] // Once, as the process begins; from there on it counts by itself.
    pub(super) fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1.0, |d| d.as_secs_f64().max(1.0));
        Clock {
            started: Instant::now(),
            unix,
        }
    }

    pub fn now(&self) -> Time {
        self.time(Instant::now())
    }

    pub fn time(&self, at: Instant) -> Time {
        self.unix + at.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn instant(&self, at: Time) -> Instant {
        let since = Duration::try_from_secs_f64(at - self.unix).unwrap_or_default();
        self.started.checked_add(since).unwrap_or(self.started)
    }
}
