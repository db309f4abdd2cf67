//! A part of a file that is read at once.

use super::lines::Lines;
use super::sections::Section;
use super::tables::File;
use crate::model::{Fault, Faults};
use std::borrow::Cow;
use std::sync::Arc;

/// Sections of a file as one TOML document, with the lines that they have in the file.
pub(super) struct Document<'a> {
    text: Cow<'a, str>,
    lines: Lines,
}

impl<'a> Document<'a> {
    /// Sections of a file's text, one after the other.
    pub(super) fn of(file: &Arc<str>, text: &'a str, sections: &[Section]) -> Self {
        let mut lines = Lines::new(file.clone());
        let mut joined = Cow::Borrowed("");
        for section in sections {
            let part = text.get(section.range.clone()).unwrap_or_default();
            lines.add(joined.len(), part, section.first_line);
            joined += part;
        }
        Document {
            text: joined,
            lines,
        }
    }

    /// Where its lines are.
    pub(super) fn lines(&self) -> &Lines {
        &self.lines
    }

    /// Reads it.
    ///
    /// # Errors
    /// Its first mistake of syntax, or else of a single value.
    pub(super) fn read(&self) -> Result<File, Faults> {
        toml::from_str(&self.text).map_err(|e| {
            let origin = e
                .span()
                .map_or_else(|| self.lines.file(), |span| self.lines.at(span.start));
            Faults(vec![Fault {
                origin,
                mistake: e.message().replace('\n', ", "),
            }])
        })
    }
}
