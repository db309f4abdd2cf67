//! The stored form of bans and drains, which outlive the process that received the requests.
//!
//! All processes of a node share one ledger. To change it, a process reads and replaces it under a lock, which the caller
//! of this module holds: otherwise one process could undo the change of another.

use crate::ban::{Bans, LiftedBan};
use crate::drain::Drain;
use crate::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Version of the stored format.
pub const FORMAT_VERSION: u32 = 1;
/// Maximum length of a ledger, in bytes.
pub const MAX_LEDGER_LEN: usize = 4 << 20;

/// Why a ledger can't be decoded.
#[derive(Debug, Error)]
pub enum LedgerError {
    /// It is not a ledger, or it is incomplete.
    #[error("it can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A program with another format version wrote it.
    #[error("it has version {0}, and this program knows {FORMAT_VERSION}")]
    UnknownVersion(u32),
    /// It exceeds [`MAX_LEDGER_LEN`].
    #[error("it is larger than {MAX_LEDGER_LEN} bytes")]
    TooLarge,
}

/// The bans and the drain that operators have requested at one node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// The servers that are banned, and the bans that were lifted.
    pub bans: Bans,
    /// Whether and since when the node is draining.
    pub drain: Drain,
}

/// The stored form of a ledger, a JSON object.
#[derive(Serialize, Deserialize)]
struct StoredLedger {
    version: u32,
    #[serde(default, rename = "out")]
    banned: BTreeMap<String, Time>,
    /// Name, time of the ban, time when it was lifted.
    #[serde(default, rename = "back")]
    lifted: Vec<(String, Time, Time)>,
    #[serde(default)]
    draining_since: Option<Time>,
}

impl Ledger {
    /// Decodes a stored ledger.
    ///
    /// # Errors
    /// If it is too large, not a ledger, or of another version.
    pub fn decode(text: &[u8]) -> Result<Self, LedgerError> {
        if text.len() > MAX_LEDGER_LEN {
            return Err(LedgerError::TooLarge);
        }
        let stored: StoredLedger = serde_json::from_slice(text)?;
        if stored.version != FORMAT_VERSION {
            return Err(LedgerError::UnknownVersion(stored.version));
        }
        let to_lifted = |(name, banned_at, lifted_at)| LiftedBan {
            name,
            banned_at,
            lifted_at,
        };
        let lifted = stored.lifted.into_iter().map(to_lifted).collect();
        let bans = Bans::from_parts(stored.banned, lifted);
        Ok(Ledger {
            bans,
            drain: Drain::new(stored.draining_since),
        })
    }

    /// Encodes the ledger as JSON.
    pub fn encode(&self) -> String {
        let banned = self
            .bans
            .banned()
            .map(|(name, banned_at)| (name.to_owned(), banned_at));
        let lifted = self
            .bans
            .lifted()
            .map(|ban| (ban.name.clone(), ban.banned_at, ban.lifted_at));
        let stored = StoredLedger {
            version: FORMAT_VERSION,
            banned: banned.collect(),
            lifted: lifted.collect(),
            draining_since: self.drain.since(),
        };
        // Serializing maps of strings and numbers does not fail.
        serde_json::to_string(&stored).unwrap_or_default()
    }
}
