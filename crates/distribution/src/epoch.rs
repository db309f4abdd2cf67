//! The term of one publisher: the fencing token of its lease, and the versions that it knew when it took over.

use crate::coverage::Coverage;
use reelfall_lease::token::Claim;
use serde::{Deserialize, Serialize};

/// A publisher's claim, and what the publisher knew when it took over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// The lease and its fencing token.
    pub claim: Claim,
    /// Versions of earlier publishers that the publisher had received. Their other changes are orphans.
    pub known: Coverage,
}
