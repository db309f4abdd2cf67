//! Names of leases, their tokens, and what is done by them.
//!
//! A holder that stands still between its last look at the clock and its act acts late, and no clock can tell. So each
//! act carries the token of its lease, and whatever is acted on keeps the highest one that it has seen and refuses
//! lower ones. Both ends are in the types: an [`Act`] comes from a lease that is held and from nowhere else, and a
//! [`Fence`] gives back what was to be done only if the token is not a lower one.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Longest name of a lease, in bytes.
pub const NAME_MOST: usize = 64;

/// The name of a lease: 1 to [`NAME_MOST`] bytes of letters, digits, `-`, `_`, `.`, `/` and `:`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

/// What a name can't be.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a lease's name has 1 to {NAME_MOST} letters, digits, '-', '_', '.', '/' or ':'")]
pub struct BadName;

impl TryFrom<String> for Name {
    type Error = BadName;

    fn try_from(name: String) -> Result<Name, BadName> {
        let sound = |b: u8| b.is_ascii_alphanumeric() || b"-_./:".contains(&b);
        let fits = !name.is_empty() && name.len() <= NAME_MOST && name.bytes().all(sound);
        fits.then_some(Name(name)).ok_or(BadName)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0
    }
}

impl std::fmt::Display for Name {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl Name {
    /// As text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// One holding of a lease. Of two holdings of one lease the later one has the greater token, whoever had it and
/// whatever was started anew between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub(crate) u64);

impl Token {
    /// As a number, for whatever is told it.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// Something that is done by grace of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Act<T> {
    claim: Claim,
    what: T,
}

impl<T> Act<T> {
    pub(crate) fn by(lease: &Name, token: u64, what: T) -> Act<T> {
        Act { claim: Claim { lease: lease.clone(), token }, what }
    }

    /// By which lease.
    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    /// The claim and what is to be done, for the way to whatever is acted on.
    pub fn into_parts(self) -> (Claim, T) {
        (self.claim, self.what)
    }
}

/// What an act says of its lease on the way to whatever is acted on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Which lease.
    pub lease: Name,
    /// The token's number.
    pub token: u64,
}

/// Why something is not done.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fenced {
    /// A later holding of the lease has acted already.
    #[error("token {told} of lease {lease} is over: {seen} was seen")]
    Stale {
        /// Which lease.
        lease: Name,
        /// What the act said.
        told: u64,
        /// The highest one that was seen.
        seen: u64,
    },
    /// No more leases can be told apart.
    #[error("no room for lease {0}")]
    Full(Name),
}

/// The highest token of each lease that whatever is acted on has seen.
///
/// A name is never forgotten, since a lower token may come at any time later; so their number has a bound.
#[derive(Clone, Debug)]
pub struct Fence {
    seen: BTreeMap<Name, u64>,
    most: usize,
}

impl Fence {
    /// One that can tell so many leases apart.
    pub fn new(most: usize) -> Fence {
        Fence { seen: BTreeMap::new(), most }
    }

    /// Lets an act by if no later holding of its lease has acted.
    ///
    /// Guards against a holder that stood still past its lease and wakes in the middle of an act: by then somebody else
    /// may have done it. Harm: an act of the lease's last holder that comes after the next one's first is lost.
    ///
    /// # Errors
    /// Says why it must not be done.
    pub fn admit(&mut self, claim: &Claim) -> Result<(), Fenced> {
        let full = self.seen.len() >= self.most;
        match self.seen.get_mut(&claim.lease) {
            Some(seen) if claim.token < *seen => {
                Err(Fenced::Stale { lease: claim.lease.clone(), told: claim.token, seen: *seen })
            }
            Some(seen) => {
                *seen = claim.token;
                Ok(())
            }
            None if full => Err(Fenced::Full(claim.lease.clone())),
            None => {
                self.seen.insert(claim.lease.clone(), claim.token);
                Ok(())
            }
        }
    }

    /// The highest token of a lease that was seen.
    pub fn seen(&self, lease: &Name) -> Option<u64> {
        self.seen.get(lease).copied()
    }
}
