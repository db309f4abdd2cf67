//! Parses sections of a file as one TOML document.

use super::lines::LineIndex;
use super::sections::Section;
use super::tables::File;
use crate::model::{ConfigError, ConfigErrors};
use std::borrow::Cow;
use std::sync::Arc;

/// A TOML document that consists of sections of a file, with the lines that they have in the file.
pub(super) struct Document<'a> {
    text: Cow<'a, str>,
    lines: LineIndex,
}

impl<'a> Document<'a> {
    /// Joins sections of a file's text.
    pub(super) fn from_sections(file: &Arc<str>, text: &'a str, sections: &[Section]) -> Self {
        let mut lines = LineIndex::new(file.clone());
        let mut joined = Cow::Borrowed("");
        for section in sections {
            let section_text = text.get(section.range.clone()).unwrap_or_default();
            lines.add_text(joined.len(), section_text, section.first_line);
            joined += section_text;
        }
        Document {
            text: joined,
            lines,
        }
    }

    /// The lines of the file that the document was joined from.
    pub(super) fn lines(&self) -> &LineIndex {
        &self.lines
    }

    /// Parses the document.
    ///
    /// # Errors
    /// The first syntax error, or else the first invalid value.
    pub(super) fn parse(&self) -> Result<File, ConfigErrors> {
        toml::from_str(&self.text).map_err(|error| {
            let origin = error.span().map_or_else(
                || self.lines.file_origin(),
                |span| self.lines.origin_at(span.start),
            );
            ConfigErrors(vec![ConfigError {
                origin,
                message: error.message().replace('\n', ", "),
            }])
        })
    }
}
