//! Text reports of the management requests, with a maximum length.

use std::fmt::Write;

/// Once the text is longer than this, in bytes, further lines are counted instead of added.
const MAX_LEN: usize = 12 << 10;

/// A report under construction, line by line.
#[derive(Default)]
pub struct Report {
    text: String,
    omitted: usize,
}

impl Report {
    /// Adds a line, or counts it as omitted if the report is full.
    pub fn add(&mut self, line: std::fmt::Arguments) {
        if self.text.len() > MAX_LEN {
            self.omitted += 1;
            return;
        }
        // Writing to a string can't fail.
        let _ = writeln!(self.text, "{line}");
    }

    /// The text, with the number of omitted lines if there are any.
    pub fn finish(mut self) -> String {
        if self.omitted > 0 {
            let _ = writeln!(self.text, "and {} more", self.omitted);
        }
        self.text
    }
}
