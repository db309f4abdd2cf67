//! When servers are banned and restarted within a window, for [`window`](super::window).

use super::discovery_stub::ALWAYS_FAILING_SERVERS;
use super::report::Size;
use reelfall_testbed::SeededRng;
use serde::{Deserialize, Serialize};

/// Seconds of a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;
/// How long a server fails before its restart is in the list, in seconds.
pub const FAILURE_DURATION: f64 = 1.0;

/// How often something changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rates {
    /// Changes a day; a change is a ban at a random node.
    pub changes: usize,
    /// Restarts of servers a day.
    pub restarts: usize,
}

impl Rates {
    /// Nothing changes.
    pub const NONE: Rates = Rates {
        changes: 0,
        restarts: 0,
    };

    /// The rates of a size.
    pub fn of(size: &Size) -> Rates {
        Rates {
            changes: size.changes,
            restarts: size.restarts,
        }
    }
}

/// A change within a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A server is banned at a random node.
    Ban,
    /// A server begins to fail.
    ServerFails(usize),
    /// Its restart is in the list.
    ServerRestarted(usize),
}

/// A change and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledEvent {
    /// Seconds since the window began.
    pub at: f64,
    /// The change.
    pub event: Event,
}

/// Evenly spaced times at a rate, in seconds: the first after half an interval, and at least one in the window.
pub fn event_times(per_day: usize, window_seconds: f64) -> Vec<f64> {
    if per_day == 0 {
        return Vec::new();
    }
    let interval = SECONDS_PER_DAY / per_day as f64;
    let first = (interval / 2.0).min(window_seconds / 2.0);
    (0..)
        .map(|index| first + f64::from(index) * interval)
        .take_while(|at| *at < window_seconds)
        .collect()
}

/// The changes of a window, in order.
pub fn schedule(
    rates: Rates,
    window_seconds: f64,
    servers: usize,
    rng: &mut SeededRng,
) -> Vec<ScheduledEvent> {
    let mut events: Vec<ScheduledEvent> = event_times(rates.changes, window_seconds)
        .into_iter()
        .map(|at| ScheduledEvent {
            at,
            event: Event::Ban,
        })
        .collect();
    let restartable = servers.saturating_sub(ALWAYS_FAILING_SERVERS).max(1);
    for at in event_times(rates.restarts, window_seconds) {
        let server = ALWAYS_FAILING_SERVERS + rng.next_u64() as usize % restartable;
        events.push(ScheduledEvent {
            at: (at - FAILURE_DURATION).max(0.0),
            event: Event::ServerFails(server),
        });
        events.push(ScheduledEvent {
            at,
            event: Event::ServerRestarted(server),
        });
    }
    events.sort_by(|left, right| left.at.total_cmp(&right.at));
    events
}
