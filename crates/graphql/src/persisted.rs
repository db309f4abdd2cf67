//! Documents known by their hash, within bounds: those used least recently go first.
//!
//! A hash alone says nothing of what it stands for: it is looked up here or refused, never passed on.

use crate::{Fault, FaultKind, Limits};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A SHA-256.
pub type Hash = [u8; 32];

#[derive(Debug)]
struct Kept {
    document: Arc<str>,
    used: u64,
}

/// The store.
#[derive(Debug, Default)]
pub struct Persisted {
    kept: HashMap<Hash, Kept>,
    by_use: BTreeMap<u64, Hash>,
    uses: u64,
    bytes: usize,
}

impl Persisted {
    /// An empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Documents kept, and their bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.kept.len(), self.bytes)
    }

    /// The document that a request stands for: its own, or the one kept under its hash. Nothing is kept by this.
    ///
    /// # Errors
    /// If the hash is not that of the document, or is not known.
    pub fn resolve(&mut self, query: Option<&str>, hash: Option<Hash>) -> Result<Arc<str>, Fault> {
        match (query, hash) {
            (Some(query), None) => Ok(query.into()),
            (Some(query), Some(hash)) if hash == of(query) => Ok(query.into()),
            (Some(_), Some(_)) => Err(Fault::new(
                FaultKind::Request,
                "provided sha does not match query",
            )),
            (None, Some(hash)) => self.get(&hash).ok_or_else(|| {
                Fault::new(FaultKind::PersistedQueryNotFound, "PersistedQueryNotFound")
            }),
            (None, None) => Err(Fault::new(FaultKind::Request, "no `query`")),
        }
    }

    fn get(&mut self, hash: &Hash) -> Option<Arc<str>> {
        let kept = self.kept.get_mut(hash)?;
        self.uses += 1;
        self.by_use.remove(&kept.used);
        kept.used = self.uses;
        self.by_use.insert(kept.used, *hash);
        Some(kept.document.clone())
    }

    /// Keeps a document that was found to be valid under its hash. One larger than the store is not kept.
    pub fn keep(&mut self, document: &str, limits: &Limits) {
        let hash = of(document);
        if self.get(&hash).is_some()
            || document.len() > limits.persisted_bytes
            || limits.persisted == 0
        {
            return;
        }
        while self.kept.len() >= limits.persisted
            || self.bytes + document.len() > limits.persisted_bytes
        {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            if let Some(old) = self.kept.remove(&oldest) {
                self.bytes -= old.document.len();
            }
        }
        self.uses += 1;
        self.by_use.insert(self.uses, hash);
        self.bytes += document.len();
        self.kept.insert(
            hash,
            Kept {
                document: document.into(),
                used: self.uses,
            },
        );
    }
}

/// The hash of a document.
pub fn of(document: &str) -> Hash {
    Sha256::digest(document.as_bytes()).into()
}
