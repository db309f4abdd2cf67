//! The cost and the root fields of an operation.

use super::tree::{Condition, Conditions, Fragments, Selection};
use super::{error_at, location, RootField};
use crate::{GraphQlError, GraphQlErrorKind, Limits};
use serde_json::{Map, Value};
use std::collections::{HashMap, HashSet};

/// Counts the fields and aliases of an operation up to their limits; those of a fragment count as often as it is used.
pub(super) struct CostCounter<'a> {
    text: &'a str,
    fragments: &'a Fragments,
    limits: &'a Limits,
    cost: usize,
    aliases: usize,
}

impl<'a> CostCounter<'a> {
    /// A counter that starts from zero.
    pub(super) fn new(text: &'a str, fragments: &'a Fragments, limits: &'a Limits) -> Self {
        CostCounter {
            text,
            fragments,
            limits,
            cost: 0,
            aliases: 0,
        }
    }

    /// The cost of an operation with these selections.
    pub(super) fn cost(mut self, selections: &[Selection]) -> Result<usize, GraphQlError> {
        self.count(selections)?;
        Ok(self.cost)
    }

    fn count(&mut self, selections: &[Selection]) -> Result<(), GraphQlError> {
        for selection in selections {
            match selection {
                Selection::Field {
                    alias, selections, ..
                } => {
                    self.count_field(alias.is_some())?;
                    self.count(selections)?;
                }
                Selection::InlineFragment { selections, .. } => self.count(selections)?,
                Selection::FragmentSpread { name, offset, .. } => {
                    // A spread counts as a field: otherwise nested fragments without fields could take exponential
                    // time.
                    self.count_field(false)?;
                    self.count(self.fragment(name, *offset)?)?;
                }
            }
        }
        Ok(())
    }

    fn count_field(&mut self, has_alias: bool) -> Result<(), GraphQlError> {
        self.cost += 1;
        self.aliases += usize::from(has_alias);
        if self.cost > self.limits.cost {
            return Err(GraphQlError::limit(
                "cost: fields of an operation",
                self.limits.cost,
            ));
        }
        if self.aliases > self.limits.aliases {
            return Err(GraphQlError::limit(
                "aliases of an operation",
                self.limits.aliases,
            ));
        }
        Ok(())
    }

    fn fragment(&self, name: &str, offset: usize) -> Result<&'a [Selection], GraphQlError> {
        let selections = self.fragments.get(name).ok_or_else(|| {
            error_at(
                GraphQlErrorKind::Validation,
                format!("there is no fragment `{name}`"),
                location(self.text, offset),
            )
        })?;
        Ok(selections)
    }
}

/// Collects root fields (6.3.2).
///
/// Type conditions are ignored: without a schema it is unknown which of them hold, and an additional field can only
/// make the class of an operation stricter.
pub(super) struct Collector<'a> {
    pub(super) fragments: &'a Fragments,
    /// The variables of the request.
    pub(super) variables: &'a Map<String, Value>,
    /// The defaults of the operation's variables.
    pub(super) defaults: &'a HashMap<String, Option<bool>>,
    pub(super) max_root_fields: usize,
}

impl<'a> Collector<'a> {
    /// The root fields of an operation with these selections, in order and without duplicates.
    pub(super) fn root_fields(
        &self,
        selections: &'a [Selection],
    ) -> Result<Vec<RootField>, GraphQlError> {
        let mut roots = Vec::new();
        self.collect(selections, &mut HashSet::new(), &mut roots)?;
        Ok(roots)
    }

    fn collect(
        &self,
        selections: &'a [Selection],
        visited: &mut HashSet<&'a str>,
        roots: &mut Vec<RootField>,
    ) -> Result<(), GraphQlError> {
        for selection in selections {
            if self.is_skipped(selection.conditions()) {
                continue;
            }
            match selection {
                Selection::Field { name, alias, .. } => {
                    let key = alias.as_ref().unwrap_or(name);
                    self.add_root(roots, name, key)?;
                }
                Selection::InlineFragment { selections, .. } => {
                    self.collect(selections, visited, roots)?;
                }
                Selection::FragmentSpread { name, .. } => {
                    let Some(selections) = self.fragments.get(name) else {
                        continue;
                    };
                    if visited.insert(name) {
                        self.collect(selections, visited, roots)?;
                    }
                }
            }
        }
        Ok(())
    }

    fn add_root(
        &self,
        roots: &mut Vec<RootField>,
        field: &str,
        key: &str,
    ) -> Result<(), GraphQlError> {
        let root = RootField {
            field: field.to_owned(),
            key: key.to_owned(),
        };
        if !roots.contains(&root) {
            roots.push(root);
        }
        if roots.len() > self.max_root_fields {
            return Err(GraphQlError::limit(
                "root fields of an operation",
                self.max_root_fields,
            ));
        }
        Ok(())
    }

    /// Whether a selection is certainly skipped. If this is unknown, the selection is kept, which is the safe choice.
    fn is_skipped(&self, conditions: &Conditions) -> bool {
        let is_certainly = |condition, expected| self.value(condition) == Some(expected);
        conditions.skip.iter().any(|skip| is_certainly(skip, true))
            || conditions
                .include
                .iter()
                .any(|include| is_certainly(include, false))
    }

    /// The value of a condition; `None` if it is unknown.
    fn value(&self, condition: &Condition) -> Option<bool> {
        match condition {
            Condition::Literal(value) => Some(*value),
            Condition::Variable(name) => {
                // Only a server can reject a variable that the operation does not define.
                let default = self.defaults.get(name)?;
                match self.variables.get(name) {
                    Some(value) => value.as_bool(),
                    None => *default,
                }
            }
            Condition::Invalid => None,
        }
    }
}
