//! The needed parts of a document, independent of the parser.
//!
//! Positions are byte offsets in the text. Line and column are computed only for errors: computing them for every
//! selection would take time quadratic in the length of the document.

use super::OperationKind;
use std::collections::HashMap;

/// The operations and fragments of a document.
#[derive(Debug, Default)]
pub(super) struct Document {
    pub(super) operations: Vec<OperationDefinition>,
    pub(super) fragments: Fragments,
}

/// The selections of all fragments, by name.
pub(super) type Fragments = HashMap<String, Vec<Selection>>;

/// An operation of a document.
#[derive(Debug)]
pub(super) struct OperationDefinition {
    /// The type; `None` for a subscription.
    pub(super) kind: Option<OperationKind>,
    pub(super) name: Option<String>,
    /// The Boolean defaults of the operation's variables; `None` for a variable without one.
    pub(super) defaults: HashMap<String, Option<bool>>,
    pub(super) selections: Vec<Selection>,
    pub(super) offset: usize,
}

/// An element of a selection set.
#[derive(Debug)]
pub(super) enum Selection {
    Field {
        name: String,
        alias: Option<String>,
        conditions: Conditions,
        selections: Vec<Selection>,
    },
    FragmentSpread {
        name: String,
        conditions: Conditions,
        offset: usize,
    },
    InlineFragment {
        conditions: Conditions,
        selections: Vec<Selection>,
    },
}

impl Selection {
    pub(super) fn conditions(&self) -> &Conditions {
        match self {
            Selection::Field { conditions, .. }
            | Selection::FragmentSpread { conditions, .. }
            | Selection::InlineFragment { conditions, .. } => conditions,
        }
    }
}

/// The arguments of a selection's directives `@skip` and `@include`.
#[derive(Clone, Debug, Default)]
pub(super) struct Conditions {
    pub(super) skip: Vec<Condition>,
    pub(super) include: Vec<Condition>,
}

/// The argument `if` of a directive.
#[derive(Clone, Debug)]
pub(super) enum Condition {
    Literal(bool),
    Variable(String),
    /// The argument is missing or has another type. Servers reject such a directive, so no value is assumed.
    Invalid,
}
