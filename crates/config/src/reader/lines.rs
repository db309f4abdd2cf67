//! Places in a text, told as lines of the file that the text is from.

use crate::model::{Located, Origin};
use std::sync::Arc;
use toml::Spanned;

/// Where a line begins.
struct LineStart {
    /// Its first byte in the text.
    place: usize,
    /// Its number in the file.
    line: u32,
}

/// The lines of a text; a look-up takes as many steps as their number has digits in base 2.
pub(super) struct Lines {
    file: Arc<str>,
    /// In their order in the text.
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

    /// Adds lines that begin at a place in the text, the first with its number in the file.
    pub(super) fn add(&mut self, place: usize, lines: &str, first: u32) {
        let mut line = first;
        self.starts.push(LineStart { place, line });
        for (end, byte) in lines.bytes().enumerate() {
            if byte == b'\n' {
                line = line.saturating_add(1);
                self.starts.push(LineStart {
                    place: place + end + 1,
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

    /// The line of a place in the text.
    pub(super) fn at(&self, place: usize) -> Origin {
        let behind = self.starts.partition_point(|start| start.place <= place);
        let start = behind.checked_sub(1).and_then(|last| self.starts.get(last));
        Origin {
            file: self.file.clone(),
            line: start.map_or(1, |start| start.line),
        }
    }

    /// One item of the text as the model has it.
    pub(super) fn located<T, U>(
        &self,
        spanned: Spanned<T>,
        as_model: impl FnOnce(&Self, T) -> U,
    ) -> Located<U> {
        let origin = self.at(spanned.span().start);
        Located {
            value: as_model(self, spanned.into_inner()),
            origin,
        }
    }

    /// All items of a list as the model has them.
    pub(super) fn all<T, U>(
        &self,
        items: Vec<Spanned<T>>,
        as_model: impl Fn(&Self, T) -> U,
    ) -> Vec<Located<U>> {
        items
            .into_iter()
            .map(|item| self.located(item, &as_model))
            .collect()
    }
}
