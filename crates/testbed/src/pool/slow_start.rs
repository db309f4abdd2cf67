//! The reduced capacity of a server that has just started, and its collapse under too many requests. Called by
//! `server_state` for each request.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

const DEFAULT_INITIAL_CAPACITY: f64 = 0.33;
const DEFAULT_DURATION: Duration = Duration::from_secs(10);
const DEFAULT_OVERLOAD_FACTOR: f64 = 3.0;
const DEFAULT_OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

/// How the capacity of a server grows after its start, and what overload it withstands until then.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The share of the full capacity at the start; it grows linearly.
    pub initial_capacity: f64,
    /// The server has its full capacity after this time.
    pub duration: Duration,
    /// A server that receives more than this multiple of its present capacity collapses.
    pub overload_factor: f64,
    /// The time over which requests are counted.
    pub overload_window: Duration,
}

impl Default for SlowStart {
    /// The defaults of a service's settings.
    fn default() -> SlowStart {
        SlowStart {
            initial_capacity: DEFAULT_INITIAL_CAPACITY,
            duration: DEFAULT_DURATION,
            overload_factor: DEFAULT_OVERLOAD_FACTOR,
            overload_window: DEFAULT_OVERLOAD_WINDOW,
        }
    }
}

/// The requests that a server has received since its start.
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

    /// The highest multiple of the capacity at that time which the server has received.
    pub(super) fn peak_overload(&self) -> f64 {
        self.peak_overload
    }

    /// Counts a request at a server with this full capacity, in requests per second. Returns whether the server
    /// withstands it.
    pub(super) fn admit(&mut self, now: Instant, full_capacity: f64) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        if age < self.config.duration {
            self.recent_requests.push_back(now);
            self.drop_old_requests(now);
            let capacity = full_capacity * self.capacity_share(age);
            let window = self.config.overload_window.as_secs_f64();
            let overload = self.recent_requests.len() as f64 / (capacity * window);
            self.peak_overload = self.peak_overload.max(overload);
        }
        // A server that has collapsed stays so.
        self.peak_overload <= self.config.overload_factor
    }

    fn drop_old_requests(&mut self, now: Instant) {
        let window = self.config.overload_window;
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= window;
        while self.recent_requests.front().is_some_and(is_old) {
            self.recent_requests.pop_front();
        }
    }

    fn capacity_share(&self, age: Duration) -> f64 {
        let initial = self.config.initial_capacity;
        let progress = age.as_secs_f64() / self.config.duration.as_secs_f64();
        initial + (1.0 - initial) * progress
    }
}
