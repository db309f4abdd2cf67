//! Lease names, fencing tokens, and the operations that carry them.
//!
//! A holder that is paused between its last check of the clock and its operation acts too late, and its clock can't
//! prevent that. So each operation carries the token of its lease, and the resource remembers the highest token that it
//! has seen and rejects lower ones. The types enforce both: only an active lease creates an [`Operation`], and a
//! [`Fence`] admits an operation only if its token is not lower than one that it has seen.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Maximum length of a lease name, in bytes.
pub const MAX_LEASE_NAME_LEN: usize = 64;

/// The name of a lease: 1 to [`MAX_LEASE_NAME_LEN`] bytes of letters, digits, `-`, `_`, `.`, `/` and `:`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct LeaseName(String);

/// The text is not a valid [`LeaseName`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a lease's name has 1 to {MAX_LEASE_NAME_LEN} letters, digits, '-', '_', '.', '/' or ':'")]
pub struct InvalidLeaseName;

impl TryFrom<String> for LeaseName {
    type Error = InvalidLeaseName;

    fn try_from(name: String) -> Result<LeaseName, InvalidLeaseName> {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_./:".contains(&b);
        let is_valid =
            !name.is_empty() && name.len() <= MAX_LEASE_NAME_LEN && name.bytes().all(is_allowed);
        is_valid.then_some(LeaseName(name)).ok_or(InvalidLeaseName)
    }
}

impl From<LeaseName> for String {
    fn from(name: LeaseName) -> String {
        name.0
    }
}

impl std::fmt::Display for LeaseName {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl LeaseName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A fencing token: identifies one acquisition of a lease. A later acquisition of the same lease has a greater token,
/// whichever client acquires it and whichever processes were restarted in between.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub(crate) u64);

impl Token {
    /// The token as a number, to be sent to a resource.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// An operation that is performed under a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation<T> {
    claim: Claim,
    payload: T,
}

impl<T> Operation<T> {
    pub(crate) fn new(lease: &LeaseName, token: u64, payload: T) -> Operation<T> {
        Operation {
            claim: Claim {
                lease: lease.clone(),
                token,
            },
            payload,
        }
    }

    /// The lease and the token that the operation is performed under.
    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    /// The claim and the payload, to be sent to a resource.
    pub fn into_parts(self) -> (Claim, T) {
        (self.claim, self.payload)
    }
}

/// The lease and the token that an operation presents to a resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The lease that the operation is performed under.
    pub lease: LeaseName,
    /// The number of the fencing token; see [`Token::number`].
    pub token: u64,
}

/// Why a fence rejects an operation.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FenceError {
    /// A later holder of the lease has performed an operation already.
    #[error("token {presented} of lease {lease} is stale: token {highest} was seen already")]
    StaleToken {
        /// The lease of the operation.
        lease: LeaseName,
        /// The token of the operation.
        presented: u64,
        /// The highest token seen so far.
        highest: u64,
    },
    /// The fence tracks its maximum number of leases already.
    #[error("lease {0} exceeds the number of leases that the fence can track")]
    AtCapacity(LeaseName),
}

/// Rejects operations with stale tokens: tracks the highest token of each lease that a resource has seen.
///
/// A lease is never removed, since a lower token may arrive at any later time; so the number of leases is bounded.
#[derive(Clone, Debug)]
pub struct Fence {
    highest: BTreeMap<LeaseName, u64>,
    max_leases: usize,
}

impl Fence {
    /// Creates a fence that has seen no token, and tracks at most this number of leases.
    pub fn new(max_leases: usize) -> Fence {
        Fence {
            highest: BTreeMap::new(),
            max_leases,
        }
    }

    /// Admits an operation unless a later holder of its lease has acted: a holder that was paused past the end of its
    /// lease may resume in the middle of an operation that another holder has performed since.
    ///
    /// # Errors
    /// If the token is stale, or the fence can't track another lease. The operation must not be performed then.
    pub fn admit(&mut self, claim: &Claim) -> Result<(), FenceError> {
        let is_full = self.highest.len() >= self.max_leases;
        match self.highest.get_mut(&claim.lease) {
            Some(highest) if claim.token < *highest => Err(FenceError::StaleToken {
                lease: claim.lease.clone(),
                presented: claim.token,
                highest: *highest,
            }),
            Some(highest) => {
                *highest = claim.token;
                Ok(())
            }
            None if is_full => Err(FenceError::AtCapacity(claim.lease.clone())),
            None => {
                self.highest.insert(claim.lease.clone(), claim.token);
                Ok(())
            }
        }
    }

    /// The highest token seen for a lease; `None` if none was.
    pub fn highest(&self, lease: &LeaseName) -> Option<u64> {
        self.highest.get(lease).copied()
    }
}
