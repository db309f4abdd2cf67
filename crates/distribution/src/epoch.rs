//! The term of one author: the fencing token of its lease, and the versions that it knew when it took over.

use crate::coverage::Coverage;
use reelfall_lease::token::Claim;
use serde::{Deserialize, Serialize};

/// Who an author is, and what it knew when it took over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// The lease and its token.
    pub claim: Claim,
    /// What the author had of earlier authors. Another change of theirs is an orphan.
    pub known: Coverage,
}
