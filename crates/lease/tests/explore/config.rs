//! The configuration of an exploration, and the configurations of keepers and clients that follow from it.

use reelfall_lease::clock::DriftMargin;
use reelfall_lease::holder::Config;
use reelfall_lease::keeper;
use reelfall_lease::queue::QueueTimeouts;
use reelfall_lease::Micros;

pub const KEEPERS: usize = 3;
pub const CLIENTS: usize = 2;
/// The rate of a clock without drift, in eighths.
pub const NOMINAL_RATE_EIGHTHS: u64 = 8;
/// The maximum drift of the explored clocks: an eighth, in parts per million.
const DRIFT_PPM: u32 = 125_000;

/// A part of the protocol that is removed, to show that the model checker finds the violation that the part prevents.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RemovedPart {
    None,
    /// The resource admits writes with any token.
    Fence,
    /// The holder uses the lease for its whole duration, without a margin for drift.
    DriftMargin,
    /// Keepers send messages before their records are on disk.
    Disk,
    /// The grant of one keeper is enough, and each client uses a different keeper.
    Majority,
}

pub struct Exploration {
    pub removed: RemovedPart,
    pub lease_duration: Micros,
    /// The time at which the exploration ends.
    pub end: u8,
    pub keeper_clock_eighths: u64,
    pub client_clock_eighths: u64,
    /// Maximum number of attempts of each client to acquire the lease.
    pub max_acquisitions: [u8; CLIENTS],
    pub max_renewals: u8,
    pub max_restarts: u8,
    pub max_duplicates: u8,
    /// Maximum number of responses that are not delivered immediately.
    pub max_late_responses: u8,
    /// Whether clients write to the resource.
    pub has_writes: bool,
    /// The keepers that receive each client's messages. Majorities that share a single keeper are the worst case.
    pub reachable_keepers: [[bool; KEEPERS]; CLIENTS],
    /// Whether the first client holds the lease at the start.
    pub is_held_at_start: bool,
}

impl Default for Exploration {
    fn default() -> Self {
        Exploration {
            removed: RemovedPart::None,
            lease_duration: 3,
            end: 5,
            keeper_clock_eighths: NOMINAL_RATE_EIGHTHS,
            client_clock_eighths: NOMINAL_RATE_EIGHTHS,
            max_acquisitions: [0, 1],
            max_renewals: 0,
            max_restarts: 0,
            max_duplicates: 0,
            max_late_responses: 1,
            has_writes: false,
            reachable_keepers: [[true, false, true], [true, true, false]],
            is_held_at_start: true,
        }
    }
}

impl Exploration {
    pub fn keeper_clock(&self, now: u8) -> Micros {
        u64::from(now) * self.keeper_clock_eighths / NOMINAL_RATE_EIGHTHS
    }

    pub fn client_clock(&self, now: u8) -> Micros {
        u64::from(now) * self.client_clock_eighths / NOMINAL_RATE_EIGHTHS
    }

    fn drift_margin(&self) -> DriftMargin {
        let has_drift = self.keeper_clock_eighths != NOMINAL_RATE_EIGHTHS
            || self.client_clock_eighths != NOMINAL_RATE_EIGHTHS;
        let has_margin = self.removed != RemovedPart::DriftMargin;
        DriftMargin {
            drift_ppm: if has_drift && has_margin {
                DRIFT_PPM
            } else {
                0
            },
        }
    }

    pub fn keeper_config(&self) -> keeper::Config {
        keeper::Config {
            drift_margin: self.drift_margin(),
            max_duration: 100,
            queue_timeouts: QueueTimeouts {
                reservation: 1,
                idle: 2,
            },
            ..keeper::Config::default()
        }
    }

    pub fn client_config(&self) -> Config {
        Config {
            keepers: if self.has_majorities() { KEEPERS } else { 1 },
            drift_margin: self.drift_margin(),
            duration: self.lease_duration,
            response_timeout: 1,
            min_backoff: 0,
            max_backoff: 0,
        }
    }

    pub fn has_majorities(&self) -> bool {
        self.removed != RemovedPart::Majority
    }

    /// The keeper that a client addresses by this index.
    pub fn keeper_of(&self, client: usize, index: usize) -> usize {
        if self.has_majorities() {
            index
        } else {
            client
        }
    }

    /// The index by which clients address this keeper.
    pub fn index_of(&self, keeper: usize) -> usize {
        if self.has_majorities() {
            keeper
        } else {
            0
        }
    }
}
