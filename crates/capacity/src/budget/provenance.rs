//! Provenance of figures. Inputs state it, and each row of a table shows it.

use serde::Deserialize;

/// Whether a figure is measured, derived or assumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Provenance {
    /// Printed by a command at a commit.
    Measured,
    /// Computed from other figures, or read off the code.
    #[serde(rename = "worked-out")]
    Derived,
    /// Assumed, without a source.
    Assumed,
}

impl Provenance {
    /// Returns the label shown on the page.
    pub fn label(self) -> &'static str {
        match self {
            Provenance::Measured => "measured",
            Provenance::Derived => "worked out",
            Provenance::Assumed => "assumed",
        }
    }
}
