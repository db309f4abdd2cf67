//! One process of a node in a [`Cluster`](super::Cluster): its membership state, its clock, and the bans that it applies.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use reelfall_cluster::entry::Key;
use reelfall_cluster::fleet::Fleet;
use std::collections::BTreeSet;

/// Default of [`Cluster::inbox_capacity`](super::Cluster::inbox_capacity). The default receive buffer of a socket is 208 KiB,
/// of which a small datagram takes 0.75 to 1.25 KiB.
pub const MAX_INBOX: usize = 200;
/// Maximum difference of a process's clock rate from the cluster's, as a fraction.
const CLOCK_DRIFT: f64 = 400e-6;

/// One process of a node.
pub struct Process {
    /// The state machine of [`reelfall_cluster`].
    pub fleet: Fleet,
    /// Whether it is frozen: it is not called, and datagrams to it are queued.
    pub is_frozen: bool,
    /// When it started, by the cluster's clock.
    pub(super) started_at: f64,
    /// Seconds of its clock per second of the cluster's clock.
    pub(super) clock_rate: f64,
    pub(super) inbox: Vec<Vec<u8>>,
    /// Bans in force according to the node's events.
    pub(super) applied_bans: BTreeSet<Key>,
    /// Bans that the node knows to be lifted.
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

    /// Converts a time of the cluster's clock to the process's clock, which starts at 0.
    pub fn local_time(&self, now: f64) -> f64 {
        (now - self.started_at).max(0.0) * self.clock_rate
    }
}

/// Samples the rate of a drifting clock.
pub(super) fn sample_clock_rate(rng: &mut Pcg64Mcg) -> f64 {
    1.0 + (rng.random::<f64>() - 0.5) * 2.0 * CLOCK_DRIFT
}
