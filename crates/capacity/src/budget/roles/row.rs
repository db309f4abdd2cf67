//! Rows of the roles' tables, made short.

use super::super::kind::Kind;
use super::super::model;
use super::super::table::{Row, Unit};
use crate::scale::report::Size;

/// Amounts at the three sizes.
pub fn at(of: impl Fn(&Size) -> f64) -> [f64; 3] {
    model::sizes().each_ref().map(of)
}

/// What a row is about, how its amounts are got, and their unit.
pub struct Of(pub &'static str, pub &'static str, pub Kind, pub Unit);

impl Of {
    /// A row whose amounts are all known.
    pub fn row(self, at: [f64; 3], budget: Option<f64>, carried: &'static str) -> Row {
        self.known(at.map(Some), budget, carried)
    }

    /// A row of which some amounts may not be known.
    pub fn known(self, at: [Option<f64>; 3], budget: Option<f64>, carried: &'static str) -> Row {
        let Of(what, how, kind, unit) = self;
        Row {
            what,
            how,
            kind,
            at,
            budget,
            unit,
            carried,
            with: None,
        }
    }
}

/// The same row, with what would make it fit.
pub fn with(mut row: Row, what: &'static str, amount: f64) -> Row {
    row.with = Some((what, amount));
    row
}
