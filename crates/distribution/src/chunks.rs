//! Bodies that take several frames.

use crate::message::Chunk;
use crate::resource::{Change, Content, ContentHash, BODY_MOST};

/// What becomes of a part.
#[derive(Debug, PartialEq)]
pub enum Part {
    /// More have to come.
    More,
    /// It was the last one; the change is whole and its hash is right.
    Whole(Box<Change>),
    /// It fits nothing that was sent before, passes the stated length, or the hash is wrong.
    Wrong,
}

#[derive(Debug)]
struct Assembly {
    id: u32,
    first: Chunk,
    bytes: Vec<u8>,
}

/// The bodies that are coming: one that goes before others, one that does not.
#[derive(Debug, Default)]
pub struct Assemblies {
    express: Option<Assembly>,
    other: Option<Assembly>,
}

impl Assemblies {
    /// Takes a part of subscription `id`.
    ///
    /// Guards against a body without an end, parts out of place, and bytes that were changed. Harm: none, for a link
    /// brings parts in their order.
    pub fn take(&mut self, id: u32, chunk: Chunk) -> Part {
        let place = if chunk.express {
            &mut self.express
        } else {
            &mut self.other
        };
        if chunk.offset == 0 {
            let bytes = Vec::new();
            *place = Some(Assembly {
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
            .map_or(Part::Wrong, |assembly| assembly.add(id, &chunk));
        if part != Part::More {
            *place = None;
        }
        part
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        *self = Assemblies::default();
    }
}

impl Assembly {
    fn add(&mut self, id: u32, chunk: &Chunk) -> Part {
        let first = &self.first;
        let same = self.id == id
            && first.key == chunk.key
            && first.version == chunk.version
            && first.total == chunk.total
            && first.hash == chunk.hash;
        let end = self.bytes.len() + chunk.bytes.len();
        let total = chunk.total as usize;
        let fits = chunk.offset as usize == self.bytes.len() && end <= total && total <= BODY_MOST;
        if !same || !fits || chunk.bytes.is_empty() {
            return Part::Wrong;
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        if end < total {
            return Part::More;
        }
        self.finish()
    }

    fn finish(&self) -> Part {
        if ContentHash::of(&self.bytes) != self.first.hash {
            return Part::Wrong;
        }
        Part::Whole(Box::new(Change {
            key: self.first.key.clone(),
            version: self.first.version,
            urgency: self.first.urgency,
            part: self.first.part,
            replaces: self.first.replaces,
            content: Content::body(&self.bytes),
        }))
    }
}
