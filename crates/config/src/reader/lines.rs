//! Maps byte offsets in a document to lines of the file that it was taken from.

use crate::model::{Located, Origin};
use std::sync::Arc;
use toml::Spanned;

/// Where a line begins.
struct LineStart {
    /// The offset of its first byte in the document.
    offset: usize,
    /// Its number in the file.
    line: u32,
}

/// The lines of a document, found by binary search.
pub(super) struct Lines {
    file: Arc<str>,
    /// In ascending order of offsets.
    starts: Vec<LineStart>,
}

impl Lines {
    /// No lines yet.
    pub(super) fn new(file: Arc<str>) -> Self {
        Lines {
            file,
            starts: Vec::new(),
        }
    }

    /// Adds the lines of a text that begins at an offset of the document and at a line of the file.
    pub(super) fn add(&mut self, offset: usize, text: &str, first_line: u32) {
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

    /// The file as a whole.
    pub(super) fn file(&self) -> Origin {
        Origin {
            file: self.file.clone(),
            line: 0,
        }
    }

    /// The line that contains an offset of the document.
    pub(super) fn at(&self, offset: usize) -> Origin {
        let next_start = self.starts.partition_point(|start| start.offset <= offset);
        let start = next_start
            .checked_sub(1)
            .and_then(|last| self.starts.get(last));
        Origin {
            file: self.file.clone(),
            line: start.map_or(1, |start| start.line),
        }
    }

    /// Converts an item of the document to the model, with its line.
    pub(super) fn located<T, U>(
        &self,
        spanned: Spanned<T>,
        convert: impl FnOnce(&Self, T) -> U,
    ) -> Located<U> {
        let origin = self.at(spanned.span().start);
        Located {
            value: convert(self, spanned.into_inner()),
            origin,
        }
    }

    /// Converts all items of a list to the model, each with its line.
    pub(super) fn all<T, U>(
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
