//! How well a figure is known.

use serde::Deserialize;

/// How a figure was got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// By a command, at a commit.
    Measured,
    /// By a formula from other figures, or by reading the code.
    WorkedOut,
    /// By nobody: it has to be taken for something.
    Assumed,
}

impl Kind {
    /// The word for it on the page.
    pub fn word(self) -> &'static str {
        match self {
            Kind::Measured => "measured",
            Kind::WorkedOut => "worked out",
            Kind::Assumed => "assumed",
        }
    }
}
