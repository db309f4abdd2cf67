//! Counts the keepers' votes on one round of requests.

use crate::majority;
use crate::message::{LogPosition, Vote};

/// The votes on one round of requests, by the index of the keeper.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Votes {
    pub(super) accepted: Vec<Option<Vote>>,
    pub(super) rejected: Vec<bool>,
}

impl Votes {
    pub(super) fn new(keepers: usize) -> Votes {
        Votes {
            accepted: vec![None; keepers],
            rejected: vec![false; keepers],
        }
    }

    /// The latest log position of each keeper that any vote reports.
    pub(super) fn latest_positions(&self) -> Vec<Option<LogPosition>> {
        let mut latest = vec![None; self.accepted.len()];
        for (keeper, vote) in self.accepted.iter().enumerate() {
            let Some(vote) = vote else {
                continue;
            };
            for (known, reported) in latest.iter_mut().zip(&vote.known_positions) {
                *known = (*known).max(*reported);
            }
            latest[keeper] = latest[keeper].max(Some(vote.own_position));
        }
        latest
    }

    /// Whether a majority has accepted. The vote of a storage folder that another one has replaced does not count, since
    /// the new folder does not have the promises of the replaced one.
    pub(super) fn has_majority(&self) -> bool {
        let latest = self.latest_positions();
        let accepted = self
            .accepted
            .iter()
            .zip(&latest)
            .filter(|(vote, latest)| vote.as_ref().is_some_and(|vote| is_current(vote, latest)))
            .count();
        accepted >= majority(self.accepted.len())
    }

    /// Whether too many keepers have rejected the request for a majority to accept it.
    pub(super) fn is_rejected(&self) -> bool {
        let rejected = self.rejected.iter().filter(|rejected| **rejected).count();
        rejected > self.rejected.len() - majority(self.rejected.len())
    }
}

/// Whether a vote comes from the latest storage folder of its keeper that is known.
fn is_current(vote: &Vote, latest: &Option<LogPosition>) -> bool {
    latest.is_none_or(|latest| latest.storage_id <= vote.own_position.storage_id)
}
