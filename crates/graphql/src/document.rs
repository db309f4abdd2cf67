//! Finds the operation that a request executes, with its root fields and cost, in the text of a document.
//!
//! | module | content |
//! | --- | --- |
//! | [`parse`] | parses the text with `apollo-parser`, and converts its tree |
//! | [`tree`] | the converted tree: the needed parts of operations and fragments |
//! | [`cycles`] | rejects fragments that include themselves |
//! | [`collect`] | computes the cost and the root fields of an operation |
//!
//! Source: GraphQL, October 2021: 2.2 to 2.8 (documents), 5.2 and 5.5 (operations, fragments), 6.1 (choice of the
//! operation), 6.3.2 (collecting fields).

mod collect;
mod cycles;
mod parse;
mod tree;

use crate::{GraphQlError, GraphQlErrorKind, Limits, Location};
use collect::{Collector, CostCounter};
use serde_json::{Map, Value};
use std::collections::HashSet;
use tree::OperationDefinition;

/// The type of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// An operation that only reads.
    Query,
    /// An operation that may write.
    Mutation,
}

/// A root field of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RootField {
    /// The name of the field in the schema.
    pub field: String,
    /// The key in the response: the alias, or the field name if there is none.
    pub key: String,
}

/// The operation that a request executes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Whether the operation is a query or a mutation.
    pub kind: OperationKind,
    /// The name of the operation, if it has one.
    pub name: Option<String>,
    /// The root fields in order, without those that are certainly skipped.
    pub roots: Vec<RootField>,
    /// The number of fields at all depths; those of a fragment count as often as it is used.
    pub cost: usize,
}

/// Parses a document and finds the operation that a request with this operation name and these variables executes.
///
/// # Errors
/// If the document can't be parsed, exceeds a limit, or is invalid as far as that is known without a schema.
pub fn parse_operation(
    text: &str,
    name: Option<&str>,
    variables: &Map<String, Value>,
    limits: &Limits,
) -> Result<Operation, GraphQlError> {
    if text.len() > limits.document {
        return Err(GraphQlError::limit("bytes of a document", limits.document));
    }
    check_characters(text)?;
    let document = parse::document(text, limits)?;
    let chosen = choose(text, &document.operations, name)?;
    let Some(kind) = chosen.kind else {
        return Err(error_at(
            GraphQlErrorKind::Subscription,
            "subscriptions are not served here",
            location(text, chosen.offset),
        ));
    };
    cycles::check(text, &document.fragments)?;
    let cost = CostCounter::new(text, &document.fragments, limits).cost(&chosen.selections)?;
    let collector = Collector {
        fragments: &document.fragments,
        variables,
        defaults: &chosen.defaults,
        max_root_fields: limits.root_fields,
    };
    Ok(Operation {
        kind,
        name: chosen.name.clone(),
        roots: collector.root_fields(&chosen.selections)?,
        cost,
    })
}

/// Rejects characters that end a line, a string or a token for some parsers but not for others: a carriage return
/// without a line feed, control characters, and a byte order mark. Otherwise a server could find an operation in text
/// that this parser reads as a comment.
fn check_characters(text: &str) -> Result<(), GraphQlError> {
    let mut characters = text.chars().peekable();
    while let Some(character) = characters.next() {
        let is_allowed = match character {
            '\r' => characters.peek() == Some(&'\n'),
            '\t' | '\n' => true,
            _ => !character.is_control() && character != '\u{feff}',
        };
        if !is_allowed {
            return Err(GraphQlError::new(
                GraphQlErrorKind::Syntax,
                format!(
                    "the document holds U+{:04X}, which readers take differently",
                    character as u32
                ),
            ));
        }
    }
    Ok(())
}

/// The operation that is executed (6.1). An invalid document is rejected, since servers could choose different
/// operations.
fn choose<'a>(
    text: &str,
    operations: &'a [OperationDefinition],
    name: Option<&str>,
) -> Result<&'a OperationDefinition, GraphQlError> {
    check_names(text, operations)?;
    let invalid = |message: String| GraphQlError::new(GraphQlErrorKind::Validation, message);
    match (name, operations) {
        (_, []) => Err(invalid("the document has no operation".to_owned())),
        (None, [only]) => Ok(only),
        (None, _) => Err(invalid(
            "several operations and no `operationName`".to_owned(),
        )),
        (Some(name), _) => operations
            .iter()
            .find(|operation| operation.name.as_deref() == Some(name))
            .ok_or_else(|| invalid(format!("there is no operation `{name}`"))),
    }
}

/// Requires operation names to be unique, and each operation to have a name if there are several.
fn check_names(text: &str, operations: &[OperationDefinition]) -> Result<(), GraphQlError> {
    let mut names = HashSet::new();
    for operation in operations {
        let message = match &operation.name {
            None if operations.len() > 1 => "an operation without a name beside others".to_owned(),
            Some(name) if !names.insert(name) => format!("two operations are named `{name}`"),
            _ => continue,
        };
        let location = location(text, operation.offset);
        return Err(error_at(GraphQlErrorKind::Validation, message, location));
    }
    Ok(())
}

fn error_at(
    kind: GraphQlErrorKind,
    message: impl Into<String>,
    location: Location,
) -> GraphQlError {
    GraphQlError {
        kind,
        message: message.into(),
        location: Some(location),
    }
}

/// The line and column of a byte offset.
fn location(text: &str, offset: usize) -> Location {
    let before = text.get(..offset.min(text.len())).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let last_line = before.rsplit('\n').next();
    let column = last_line.map_or(0, |line| line.chars().count()) + 1;
    Location { line, column }
}
