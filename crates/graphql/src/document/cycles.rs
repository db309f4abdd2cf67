//! Rejects fragments that include themselves, directly or through other fragments (5.5.2.2). Counting and collecting
//! fields would not terminate for these.

use super::tree::{Fragments, Selection};
use super::{error_at, location};
use crate::{GraphQlError, GraphQlErrorKind};
use std::collections::HashSet;

/// Checks all fragments of a document for cycles.
pub(super) fn check(text: &str, fragments: &Fragments) -> Result<(), GraphQlError> {
    let mut search = CycleSearch {
        text,
        fragments,
        path: Vec::new(),
        visited: HashSet::new(),
    };
    for (name, selections) in fragments {
        search.visit(name, selections)?;
    }
    Ok(())
}

/// A depth-first search for cycles.
struct CycleSearch<'a> {
    text: &'a str,
    fragments: &'a Fragments,
    /// The names of the fragments that lead to the current one.
    path: Vec<&'a str>,
    /// The names of fragments that are known to be in no cycle.
    visited: HashSet<&'a str>,
}

impl<'a> CycleSearch<'a> {
    /// Visits a fragment and all fragments that it includes. The recursion depth is bounded by the number of fragments,
    /// which is limited.
    fn visit(&mut self, name: &'a str, selections: &'a [Selection]) -> Result<(), GraphQlError> {
        if self.visited.contains(name) {
            return Ok(());
        }
        self.path.push(name);
        let mut pending = vec![selections];
        while let Some(selections) = pending.pop() {
            for selection in selections {
                match selection {
                    Selection::Field { selections, .. }
                    | Selection::InlineFragment { selections, .. } => pending.push(selections),
                    Selection::FragmentSpread { name, offset, .. } => self.follow(name, *offset)?,
                }
            }
        }
        self.path.pop();
        self.visited.insert(name);
        Ok(())
    }

    fn follow(&mut self, name: &'a str, offset: usize) -> Result<(), GraphQlError> {
        if self.path.contains(&name) {
            return Err(error_at(
                GraphQlErrorKind::Validation,
                format!("fragment `{name}` leads back to itself"),
                location(self.text, offset),
            ));
        }
        // Unknown fragments are reported when the cost is counted.
        match self.fragments.get(name) {
            Some(selections) => self.visit(name, selections),
            None => Ok(()),
        }
    }
}
