//! Bodies that take several frames.

use crate::message::Chunk;
use crate::resource::{Change, Content, ContentHash, MAX_BODY_BYTES};

/// What becomes of a part.
#[derive(Debug, PartialEq)]
pub enum ChunkOutcome {
    /// More have to come.
    Incomplete,
    /// It was the last one; the change is whole and its hash is right.
    Complete(Box<Change>),
    /// It fits nothing that was sent before, passes the stated length, or the hash is wrong.
    Invalid,
}

#[derive(Debug)]
struct PartialBody {
    id: u32,
    first: Chunk,
    bytes: Vec<u8>,
}

/// The bodies that are coming: one that goes before others, one that does not.
#[derive(Debug, Default)]
pub struct Reassembler {
    express: Option<PartialBody>,
    other: Option<PartialBody>,
}

impl Reassembler {
    /// Takes a part of subscription `id`.
    ///
    /// Guards against a body without an end, parts out of place, and bytes that were changed. Harm: none, for a link
    /// brings parts in their order.
    pub fn take(&mut self, id: u32, chunk: Chunk) -> ChunkOutcome {
        let place = if chunk.is_urgent {
            &mut self.express
        } else {
            &mut self.other
        };
        if chunk.offset == 0 {
            let bytes = Vec::new();
            *place = Some(PartialBody {
                id,
                first: Chunk {
                    bytes: Vec::new(),
                    ..chunk.clone()
                },
                bytes,
            });
        }
        let part = place
            .as_mut()
            .map_or(ChunkOutcome::Invalid, |assembly| assembly.add(id, &chunk));
        if part != ChunkOutcome::Incomplete {
            *place = None;
        }
        part
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        *self = Reassembler::default();
    }
}

impl PartialBody {
    fn add(&mut self, id: u32, chunk: &Chunk) -> ChunkOutcome {
        let first = &self.first;
        let same = self.id == id
            && first.key == chunk.key
            && first.version == chunk.version
            && first.total == chunk.total
            && first.hash == chunk.hash;
        let end = self.bytes.len() + chunk.bytes.len();
        let total = chunk.total as usize;
        let fits =
            chunk.offset as usize == self.bytes.len() && end <= total && total <= MAX_BODY_BYTES;
        if !same || !fits || chunk.bytes.is_empty() {
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
