//! The term of one author: the fencing token of its lease, and the versions that it knew when it took over.

use crate::coverage::Coverage;
use reelfall_lease::token::Claim;
use serde::{Deserialize, Serialize};

/// An author's claim, and what the author knew when it took over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// The lease and its fencing token.
    pub claim: Claim,
    /// Versions of earlier authors that the author had. Other changes of theirs are orphans.
    pub known: Coverage,
}
