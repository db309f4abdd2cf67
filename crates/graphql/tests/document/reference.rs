//! A reference evaluator, which works on the tree of a document instead of its text.

use crate::tree::{Condition, Document, OperationForm, Selection};
use std::collections::BTreeSet;

/// A root field.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RootField {
    /// The key in the response: the alias, or the name if there is none.
    pub key: String,
    /// The name of the field in the schema.
    pub field: String,
}

/// What a request for a document executes.
pub struct Evaluation {
    /// Whether the operation is a mutation.
    pub is_mutation: bool,
    /// The root fields that may run.
    pub roots: BTreeSet<RootField>,
}

impl Evaluation {
    /// Whether a root field of this name may run.
    pub fn has_field(&self, name: &str) -> bool {
        self.roots.iter().any(|root| root.field == name)
    }
}

/// The value of a condition, if it is known.
fn condition_value(document: &Document, condition: &Condition) -> Option<bool> {
    let defines_no_variables = document.has_single_operation()
        && document.chosen_operation().form == OperationForm::Shorthand;
    match condition {
        Condition::Absent => None,
        Condition::Literal(value) => Some(*value),
        Condition::Variable(_) if defines_no_variables => None,
        Condition::Variable(variable) => {
            let index = usize::from(*variable);
            document.values[index].or(document.defaults[index])
        }
    }
}

/// Evaluates the operation that the request executes.
pub fn evaluate(document: &Document) -> Evaluation {
    let is_skipped = |skip: &Condition| condition_value(document, skip) == Some(true);
    let is_excluded = |include: &Condition| condition_value(document, include) == Some(false);
    let operation = document.chosen_operation();
    let mut roots = BTreeSet::new();
    let mut remaining: Vec<&Selection> = operation.selections.iter().collect();
    while let Some(selection) = remaining.pop() {
        match selection {
            Selection::Field {
                alias,
                name,
                skip,
                include,
                ..
            } => {
                if !is_skipped(skip) && !is_excluded(include) {
                    roots.insert(RootField {
                        key: alias.unwrap_or(name).to_owned(),
                        field: (*name).to_owned(),
                    });
                }
            }
            Selection::Spread { fragment, include } => {
                if !is_excluded(include) {
                    remaining.extend(&document.fragments[*fragment]);
                }
            }
            Selection::InlineFragment {
                skip, selections, ..
            } => {
                if !is_skipped(skip) {
                    remaining.extend(selections);
                }
            }
        }
    }
    Evaluation {
        is_mutation: operation.form == OperationForm::Mutation,
        roots,
    }
}
