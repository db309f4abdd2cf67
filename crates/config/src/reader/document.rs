//! Parses one document of a file: some of its sections, joined.

use super::lines::Lines;
use super::sections::Section;
use super::tables::File;
use crate::model::{ConfigError, ConfigErrors};
use std::borrow::Cow;
use std::sync::Arc;

/// Sections of a file as one TOML document that remembers the lines that they have in the file.
pub(super) struct Document<'a> {
    text: Cow<'a, str>,
    lines: Lines,
}

impl<'a> Document<'a> {
    /// Joins sections of a file's text.
    pub(super) fn of(file: &Arc<str>, text: &'a str, sections: &[Section]) -> Self {
        let mut lines = Lines::new(file.clone());
        let mut joined = Cow::Borrowed("");
        for section in sections {
            let section_text = text.get(section.range.clone()).unwrap_or_default();
            lines.add(joined.len(), section_text, section.first_line);
            joined += section_text;
        }
        Document {
            text: joined,
            lines,
        }
    }

    /// The lines of the document.
    pub(super) fn lines(&self) -> &Lines {
        &self.lines
    }

    /// Parses the document.
    ///
    /// # Errors
    /// Its first syntax error, or else its first invalid value.
    pub(super) fn read(&self) -> Result<File, ConfigErrors> {
        toml::from_str(&self.text).map_err(|error| {
            let origin = error
                .span()
                .map_or_else(|| self.lines.file(), |span| self.lines.at(span.start));
            ConfigErrors(vec![ConfigError {
                origin,
                message: error.message().replace('\n', ", "),
            }])
        })
    }
}
