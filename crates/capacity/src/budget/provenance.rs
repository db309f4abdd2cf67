//! How well a figure is known. Inputs state it, and each row of a table shows it.

use serde::Deserialize;

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Provenance {
    /// A command, at a commit.
    Measured,
    /// A formula on other figures, or the code.
    #[serde(rename = "worked-out")]
    Derived,
    /// No source: an assumption.
    Assumed,
}

impl Provenance {
    /// The label on the page.
    pub fn label(self) -> &'static str {
        match self {
            Provenance::Measured => "measured",
            Provenance::Derived => "worked out",
            Provenance::Assumed => "assumed",
        }
    }
}
