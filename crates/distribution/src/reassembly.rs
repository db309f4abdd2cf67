//! Reassembly of bodies that arrive in chunks.

use crate::message::Chunk;
use crate::resource::{Change, Content, ContentHash, MAX_BODY_BYTES};

/// Result of adding a chunk.
#[derive(Debug, PartialEq)]
pub enum ChunkOutcome {
    /// More chunks have to arrive.
    Incomplete,
    /// It was the last chunk, and the hash matches.
    Complete(Box<Change>),
    /// The chunk is out of sequence, exceeds the stated length, or completes a body with another hash.
    Invalid,
}

#[derive(Debug)]
struct PartialBody {
    id: u32,
    first: Chunk,
    bytes: Vec<u8>,
}

/// The bodies in transit: at most one urgent and one normal body.
#[derive(Debug, Default)]
pub struct Reassembler {
    urgent: Option<PartialBody>,
    normal: Option<PartialBody>,
}

impl Reassembler {
    /// Adds a chunk of subscription `id`. A link delivers chunks in order, so one that is out of sequence violates the
    /// protocol.
    pub fn take(&mut self, id: u32, chunk: Chunk) -> ChunkOutcome {
        let partial = if chunk.is_urgent {
            &mut self.urgent
        } else {
            &mut self.normal
        };
        if chunk.offset == 0 {
            let bytes = Vec::new();
            *partial = Some(PartialBody {
                id,
                first: Chunk {
                    bytes: Vec::new(),
                    ..chunk.clone()
                },
                bytes,
            });
        }
        let outcome = partial
            .as_mut()
            .map_or(ChunkOutcome::Invalid, |body| body.add(id, &chunk));
        if outcome != ChunkOutcome::Incomplete {
            *partial = None;
        }
        outcome
    }

    /// Drops all partial bodies.
    pub fn clear(&mut self) {
        *self = Reassembler::default();
    }
}

impl PartialBody {
    fn add(&mut self, id: u32, chunk: &Chunk) -> ChunkOutcome {
        let first = &self.first;
        let is_same_body = self.id == id
            && first.key == chunk.key
            && first.version == chunk.version
            && first.total == chunk.total
            && first.hash == chunk.hash;
        let end = self.bytes.len() + chunk.bytes.len();
        let total = chunk.total as usize;
        let fits =
            chunk.offset as usize == self.bytes.len() && end <= total && total <= MAX_BODY_BYTES;
        if !is_same_body || !fits || chunk.bytes.is_empty() {
            return ChunkOutcome::Invalid;
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        if end < total {
            return ChunkOutcome::Incomplete;
        }
        self.finish()
    }

    fn finish(&self) -> ChunkOutcome {
        if ContentHash::of(&self.bytes) != self.first.hash {
            return ChunkOutcome::Invalid;
        }
        ChunkOutcome::Complete(Box::new(Change {
            key: self.first.key.clone(),
            version: self.first.version,
            urgency: self.first.urgency,
            fraction: self.first.fraction,
            replaces: self.first.replaces,
            content: Content::body(&self.bytes),
        }))
    }
}
