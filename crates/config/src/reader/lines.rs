//! Maps byte offsets in a document to lines of the file from which it was joined.

use crate::model::{Located, Origin};
use std::sync::Arc;
use toml::Spanned;

/// The start of a line.
struct LineStart {
    /// The offset of its first byte in the document.
    offset: usize,
    /// Its number in the file.
    line: u32,
}

/// The line starts of a document, in which offsets are found by binary search.
pub(super) struct LineIndex {
    file: Arc<str>,
    /// In ascending order of offsets.
    starts: Vec<LineStart>,
}

impl LineIndex {
    /// An index without lines.
    pub(super) fn new(file: Arc<str>) -> Self {
        LineIndex {
            file,
            starts: Vec::new(),
        }
    }

    /// Adds the lines of a text that begins at `offset` of the document and at `first_line` of the file.
    pub(super) fn add_text(&mut self, offset: usize, text: &str, first_line: u32) {
        let mut line = first_line;
        self.starts.push(LineStart { offset, line });
        for (position, byte) in text.bytes().enumerate() {
            if byte == b'\n' {
                line = line.saturating_add(1);
                self.starts.push(LineStart {
                    offset: offset + position + 1,
                    line,
                });
            }
        }
    }

    /// The origin of the file as a whole.
    pub(super) fn file_origin(&self) -> Origin {
        Origin {
            file: self.file.clone(),
            line: 0,
        }
    }

    /// The line that contains an offset of the document.
    pub(super) fn origin_at(&self, offset: usize) -> Origin {
        let next_start = self.starts.partition_point(|start| start.offset <= offset);
        let start = next_start
            .checked_sub(1)
            .and_then(|last| self.starts.get(last));
        Origin {
            file: self.file.clone(),
            line: start.map_or(1, |start| start.line),
        }
    }

    /// Converts an item of the document to the model and adds its line.
    pub(super) fn located<T, U>(
        &self,
        spanned: Spanned<T>,
        convert: impl FnOnce(&Self, T) -> U,
    ) -> Located<U> {
        let origin = self.origin_at(spanned.span().start);
        Located {
            value: convert(self, spanned.into_inner()),
            origin,
        }
    }

    /// Converts the items of a list to the model and adds the line of each.
    pub(super) fn located_all<T, U>(
        &self,
        items: Vec<Spanned<T>>,
        convert: impl Fn(&Self, T) -> U,
    ) -> Vec<Located<U>> {
        items
            .into_iter()
            .map(|item| self.located(item, &convert))
            .collect()
    }
}
