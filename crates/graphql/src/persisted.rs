//! A cache of persisted documents by their hash, which evicts the least recently used ones.
//!
//! A request that has only a hash is resolved here or rejected; the hash is never forwarded alone.

use crate::{GraphQlError, GraphQlErrorKind, Limits};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The SHA-256 hash of a document's text.
pub type DocumentHash = [u8; 32];

#[derive(Debug)]
struct CachedDocument {
    document: Arc<str>,
    /// The value of [`PersistedDocuments::uses`] at its last use.
    last_use: u64,
}

/// The cache of persisted documents.
#[derive(Debug, Default)]
pub struct PersistedDocuments {
    documents: HashMap<DocumentHash, CachedDocument>,
    /// The documents ordered by their last use.
    by_last_use: BTreeMap<u64, DocumentHash>,
    /// Number of uses of any document, which serves as the time of a use.
    uses: u64,
    /// Total length of the documents, in bytes.
    bytes: usize,
}

impl PersistedDocuments {
    /// An empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of cached documents.
    pub fn len(&self) -> usize {
        self.documents.len()
    }

    /// Whether no document is cached.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    /// Total length of the cached documents, in bytes.
    pub fn total_bytes(&self) -> usize {
        self.bytes
    }

    /// The document of a request: the one that it contains, or the cached one with its hash. Does not cache anything.
    ///
    /// # Errors
    /// If the request has neither, the hash does not match the document, or no document with the hash is cached.
    pub fn resolve(
        &mut self,
        query: Option<&str>,
        hash: Option<DocumentHash>,
    ) -> Result<Arc<str>, GraphQlError> {
        match (query, hash) {
            (Some(query), None) => Ok(query.into()),
            (Some(query), Some(hash)) if hash == hash_of(query) => Ok(query.into()),
            (Some(_), Some(_)) => Err(GraphQlError::new(
                GraphQlErrorKind::Request,
                "provided sha does not match query",
            )),
            (None, Some(hash)) => self.get(&hash).ok_or_else(|| {
                GraphQlError::new(
                    GraphQlErrorKind::PersistedQueryNotFound,
                    "PersistedQueryNotFound",
                )
            }),
            (None, None) => Err(GraphQlError::new(GraphQlErrorKind::Request, "no `query`")),
        }
    }

    fn get(&mut self, hash: &DocumentHash) -> Option<Arc<str>> {
        let cached = self.documents.get_mut(hash)?;
        self.uses += 1;
        self.by_last_use.remove(&cached.last_use);
        cached.last_use = self.uses;
        self.by_last_use.insert(self.uses, *hash);
        Some(cached.document.clone())
    }

    /// Caches a document that was found valid, and evicts others as the limits require. A document that exceeds the
    /// limit on bytes is not cached.
    pub fn insert(&mut self, document: &str, limits: &Limits) {
        let hash = hash_of(document);
        if self.get(&hash).is_some()
            || document.len() > limits.persisted_bytes
            || limits.persisted == 0
        {
            return;
        }
        while self.documents.len() >= limits.persisted
            || self.bytes + document.len() > limits.persisted_bytes
        {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                break;
            };
            if let Some(evicted) = self.documents.remove(&oldest) {
                self.bytes -= evicted.document.len();
            }
        }
        self.uses += 1;
        self.by_last_use.insert(self.uses, hash);
        self.bytes += document.len();
        self.documents.insert(
            hash,
            CachedDocument {
                document: document.into(),
                last_use: self.uses,
            },
        );
    }
}

/// The hash of a document.
pub fn hash_of(document: &str) -> DocumentHash {
    Sha256::digest(document.as_bytes()).into()
}
