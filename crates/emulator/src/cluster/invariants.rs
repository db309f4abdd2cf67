//! Invariants of a [`Cluster`]: no verdict is valid for longer than its time to live by the cluster's clock; nodes report
//! the expiry of each ban; lifted bans do not become valid again.

use super::entry_version::EntryVersion;
use super::process::Process;
use super::Cluster;
use reelfall_cluster::entry::Key;
use reelfall_cluster::table::StoredEntry;
use std::fmt;
use thiserror::Error;

/// How late a node may report that a ban has expired, in seconds of its own clock.
const EXPIRY_TOLERANCE: f64 = 0.01;

/// A violation with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The cluster's time, in seconds.
    pub at: f64,
    /// What was violated.
    pub kind: ViolationKind,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:.3}: {}", self.at, self.kind)
    }
}

/// How an invariant was violated.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ViolationKind {
    /// A ban is valid again at a node that knew that it was lifted.
    #[error("a lifted ban is valid again at node {node}")]
    LiftedBanReturned {
        /// The node.
        node: usize,
    },
    /// A node did not report that a ban has expired.
    #[error("node {node} did not report the expiry of {key:?}")]
    ExpiryNotReported {
        /// The node.
        node: usize,
        /// The ban.
        key: Box<Key>,
    },
    /// An entry is still valid at a node after its time to live.
    #[error("{key:?} is valid at node {node} at an age of {age:.3} s, which exceeds its time to live of {ttl} s")]
    EntryOutlived {
        /// The node.
        node: usize,
        /// The entry.
        key: Box<Key>,
        /// Its age, in seconds.
        age: f64,
        /// Its time to live, in seconds.
        ttl: f64,
    },
}

/// The age of a valid entry, by the cluster's clock.
struct EntryAge<'a> {
    key: &'a Key,
    age: f64,
    ttl: f64,
}

impl Cluster {
    pub(super) fn record_violation(&mut self, kind: ViolationKind) {
        self.violations.push(Violation { at: self.now, kind });
    }

    /// Checks the invariants at all running nodes. Frozen nodes are skipped, since they act on no entry.
    pub fn check_invariants(&mut self) {
        let mut violations = Vec::new();
        let mut max_age_ratio = self.max_age_ratio;
        for (node, process) in self.processes.iter().enumerate() {
            let Some(process) = process.as_ref().filter(|process| !process.is_frozen) else {
                continue;
            };
            for key in self.unreported_expiries(process) {
                let key = Box::new(key.clone());
                violations.push(ViolationKind::ExpiryNotReported { node, key });
            }
            for EntryAge { key, age, ttl } in self.entry_ages(process) {
                max_age_ratio = max_age_ratio.max(age / ttl);
                if age > ttl {
                    let key = Box::new(key.clone());
                    violations.push(ViolationKind::EntryOutlived {
                        node,
                        key,
                        age,
                        ttl,
                    });
                }
            }
        }
        self.max_age_ratio = max_age_ratio;
        violations
            .into_iter()
            .for_each(|kind| self.record_violation(kind));
    }

    /// Bans that have expired but whose expiry a node has not reported.
    fn unreported_expiries<'a>(&self, process: &'a Process) -> impl Iterator<Item = &'a Key> {
        let latest = process.local_time(self.now) - EXPIRY_TOLERANCE;
        let has_expired = move |key: &&Key| process.fleet.table().get(key, latest).is_none();
        process.applied_bans.iter().filter(has_expired)
    }

    /// The ages of a node's valid entries whose time of creation is known.
    fn entry_ages<'a>(&'a self, process: &'a Process) -> impl Iterator<Item = EntryAge<'a>> {
        let live = process.fleet.table().live(process.local_time(self.now));
        let age_of = |(key, entry): (&'a Key, &StoredEntry)| {
            let created_at = self.created_at.get(&EntryVersion {
                key: key.clone(),
                version: entry.version,
            })?;
            Some(EntryAge {
                key,
                age: self.now - created_at,
                ttl: f64::from(entry.ttl_ms) / 1e3,
            })
        };
        live.filter_map(age_of)
    }
}
