//! A read-only view of a replica, from which a relay or a publisher serves its children.

use crate::coverage::Coverage;
use crate::epoch::Epoch;
use crate::log::ChangeLog;
use crate::resource::Version;
use crate::Time;

/// What a relay or a publisher can send to its children at one moment.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaView<'a> {
    /// The latest change of each key.
    pub log: &'a ChangeLog,
    /// The versions that the log covers.
    pub coverage: &'a Coverage,
    /// Whether the log covers every version up to the last one, without gaps.
    pub is_contiguous: bool,
    /// All removals up to this version are known.
    pub removals_known: Version,
    /// Upper bound of the replica's staleness in seconds, if it is known.
    pub age: Option<Time>,
    /// The term of the current publisher, once it is known.
    pub epoch: Option<&'a Epoch>,
}

impl ReplicaView<'_> {
    /// The same view at the active publisher, whose own changes are never stale.
    pub(crate) fn authoritative(self) -> Self {
        ReplicaView {
            age: Some(0.0),
            ..self
        }
    }
}
