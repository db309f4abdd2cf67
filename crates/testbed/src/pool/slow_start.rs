//! Simulates slow start: a server that has just started has a reduced capacity and collapses under too many requests.
//! Called by `server_state` for each request.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

const DEFAULT_INITIAL_CAPACITY: f64 = 0.33;
const DEFAULT_DURATION: Duration = Duration::from_secs(10);
const DEFAULT_OVERLOAD_FACTOR: f64 = 3.0;
const DEFAULT_OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

/// How the capacity of a server grows after its start, and which overload it withstands meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Fraction of the full capacity that is available at the start. It grows linearly.
    pub initial_capacity: f64,
    /// Time after which the full capacity is available.
    pub duration: Duration,
    /// The server collapses if it receives more than this multiple of its current capacity.
    pub overload_factor: f64,
    /// Length of the sliding window in which requests are counted.
    pub overload_window: Duration,
}

impl Default for SlowStart {
    /// The same values as the defaults of a service's settings.
    fn default() -> SlowStart {
        SlowStart {
            initial_capacity: DEFAULT_INITIAL_CAPACITY,
            duration: DEFAULT_DURATION,
            overload_factor: DEFAULT_OVERLOAD_FACTOR,
            overload_window: DEFAULT_OVERLOAD_WINDOW,
        }
    }
}

/// Load of a server since its start, relative to its capacity.
pub(super) struct SlowStartState {
    config: SlowStart,
    started_at: Instant,
    recent_requests: VecDeque<Instant>,
    peak_overload: f64,
}

impl SlowStartState {
    pub(super) fn new(config: SlowStart, started_at: Instant) -> SlowStartState {
        SlowStartState {
            config,
            started_at,
            recent_requests: VecDeque::new(),
            peak_overload: 0.0,
        }
    }

    /// The highest request rate so far, as a multiple of the capacity at that time.
    pub(super) fn peak_overload(&self) -> f64 {
        self.peak_overload
    }

    /// Counts a request; `full_capacity` is in requests per second. Returns `false` if the server has collapsed.
    pub(super) fn admit(&mut self, now: Instant, full_capacity: f64) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        if age < self.config.duration {
            self.recent_requests.push_back(now);
            self.drop_old_requests(now);
            let capacity = full_capacity * self.capacity_fraction(age);
            let window = self.config.overload_window.as_secs_f64();
            let overload = self.recent_requests.len() as f64 / (capacity * window);
            self.peak_overload = self.peak_overload.max(overload);
        }
        // A collapse is permanent.
        self.peak_overload <= self.config.overload_factor
    }

    fn drop_old_requests(&mut self, now: Instant) {
        let window = self.config.overload_window;
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= window;
        while self.recent_requests.front().is_some_and(is_old) {
            self.recent_requests.pop_front();
        }
    }

    fn capacity_fraction(&self, age: Duration) -> f64 {
        let initial = self.config.initial_capacity;
        let progress = age.as_secs_f64() / self.config.duration.as_secs_f64();
        initial + (1.0 - initial) * progress
    }
}
