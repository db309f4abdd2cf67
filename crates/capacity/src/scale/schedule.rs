//! The schedule of bans and server restarts within a [`window`](super::window).

use super::discovery_stub::ALWAYS_FAILING_SERVERS;
use super::report::Size;
use reelfall_testbed::SeededRng;
use serde::{Deserialize, Serialize};

/// Seconds per day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;
/// Time that a server fails before its restart appears in the list, in seconds.
pub const FAILURE_DURATION: f64 = 1.0;

/// Rates of changes and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rates {
    /// Changes per day; a change is a ban at a random node.
    pub changes: usize,
    /// Server restarts per day.
    pub restarts: usize,
}

impl Rates {
    /// No changes and no restarts.
    pub const NONE: Rates = Rates {
        changes: 0,
        restarts: 0,
    };

    /// Returns the rates of a size.
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
    /// The restart of a server appears in the list.
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

/// Returns evenly spaced times at a rate, in seconds since the window began. The first is after half an interval, but no later
/// than the middle of the window, so that the window has at least one unless the rate is zero.
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

/// Returns the changes of a window, ordered by time.
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
