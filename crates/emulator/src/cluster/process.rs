//! One process of a node in a [`Cluster`](super::Cluster): its part in the cluster, its clock, and the bans that it applies.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use reelfall_cluster::entry::Key;
use reelfall_cluster::fleet::Fleet;
use std::collections::BTreeSet;

/// Maximum number of datagrams that wait for a frozen process, unless a test sets another one. The default buffer of a
/// socket is 208 KiB, of which a small datagram takes 0.75 to 1.25.
pub const MAX_INBOX: usize = 200;
/// Clocks run faster or slower than the cluster's by up to this fraction.
const CLOCK_DRIFT: f64 = 400e-6;

/// One process of a node.
pub struct Process {
    /// Its part in the cluster.
    pub fleet: Fleet,
    /// Whether it is frozen, so that datagrams wait for it.
    pub is_frozen: bool,
    /// When it started, by the cluster's clock.
    pub(super) started_at: f64,
    /// Seconds of its clock per second of the cluster's.
    pub(super) clock_rate: f64,
    pub(super) inbox: Vec<Vec<u8>>,
    /// Bans that whoever drives the node applies, by the events of the node.
    pub(super) applied_bans: BTreeSet<Key>,
    /// Bans of which it knows that they were lifted.
    pub(super) lifted_bans: BTreeSet<Key>,
    /// When it was polled last, by the cluster's clock.
    pub(super) last_polled_at: f64,
}

impl Process {
    pub(super) fn new(fleet: Fleet, now: f64, clock_rate: f64) -> Process {
        Process {
            fleet,
            is_frozen: false,
            started_at: now,
            clock_rate,
            inbox: Vec::new(),
            applied_bans: BTreeSet::new(),
            lifted_bans: BTreeSet::new(),
            last_polled_at: now,
        }
    }

    /// The time of its own clock at a time of the cluster's.
    pub fn local_time(&self, now: f64) -> f64 {
        (now - self.started_at).max(0.0) * self.clock_rate
    }
}

/// The rate of a clock that drifts.
pub(super) fn sample_clock_rate(rng: &mut Pcg64Mcg) -> f64 {
    1.0 + (rng.random::<f64>() - 0.5) * 2.0 * CLOCK_DRIFT
}
