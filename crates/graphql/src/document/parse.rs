//! Parses the text of a document with `apollo-parser`, which limits tokens and depth, and converts its tree to
//! [`super::tree`]. No other module depends on that library.

use super::tree::{Condition, Conditions, Document, Fragments, OperationDefinition, Selection};
use super::{error_at, location, OperationKind};
use crate::{GraphQlError, GraphQlErrorKind, Limits};
use apollo_parser::cst::{self, CstNode};
use apollo_parser::{Parser, SyntaxTree};
use std::collections::HashMap;

/// Parses a document.
pub(super) fn document(text: &str, limits: &Limits) -> Result<Document, GraphQlError> {
    // The limits bound time and stack: parsing 100,000 nested braces ends at the first one that exceeds the limit.
    let parser = Parser::new(text)
        .recursion_limit(limits.depth)
        .token_limit(limits.tokens);
    let tree = parser.parse();
    check_errors(text, limits, &tree)?;
    check_strings(text, &tree)?;
    let converter = Converter { text };
    let mut document = Document::default();
    for definition in tree.document().definitions() {
        match &definition {
            cst::Definition::OperationDefinition(operation) => {
                document.operations.push(converter.operation(operation)?);
            }
            cst::Definition::FragmentDefinition(fragment) => {
                converter.add_fragment(&mut document.fragments, fragment)?;
                if document.fragments.len() > limits.fragments {
                    return Err(GraphQlError::limit(
                        "fragments of a document",
                        limits.fragments,
                    ));
                }
            }
            _ => {
                return Err(converter.error(
                    GraphQlErrorKind::Validation,
                    "a document that is run holds operations and fragments only",
                    &definition,
                ));
            }
        }
    }
    Ok(document)
}

/// Returns an error for a limit that the parser reached, or else for its first syntax error.
fn check_errors(text: &str, limits: &Limits, tree: &SyntaxTree) -> Result<(), GraphQlError> {
    if tree.errors().any(apollo_parser::Error::is_limit) {
        let is_over_tokens = tree.token_limit().high > limits.tokens;
        return Err(if is_over_tokens {
            GraphQlError::limit("tokens of a document", limits.tokens)
        } else {
            GraphQlError::limit("depth of a document", limits.depth)
        });
    }
    match tree.errors().next() {
        Some(error) => Err(error_at(
            GraphQlErrorKind::Syntax,
            format!("syntax error: {}", error.message()),
            location(text, error.index()),
        )),
        None => Ok(()),
    }
}

/// Rejects line ends in strings that are not block strings, which the parser accepts although 2.9.4 forbids them. A
/// server that ends the string at the end of the line could find another operation behind it.
fn check_strings(text: &str, tree: &SyntaxTree) -> Result<(), GraphQlError> {
    let document = tree.document();
    let tokens = document.syntax().descendants_with_tokens();
    for token in tokens.filter_map(|element| element.into_token()) {
        let source = token.text();
        let is_string = source.starts_with('"') && !source.starts_with("\"\"\"");
        if is_string && source.contains('\n') {
            return Err(error_at(
                GraphQlErrorKind::Syntax,
                "a string runs past the end of its line",
                location(text, token.text_range().start().into()),
            ));
        }
    }
    Ok(())
}

/// The byte offset at which a node begins.
fn offset(node: &impl CstNode) -> usize {
    node.syntax().text_range().start().into()
}

/// Converts definitions of the parser's tree to [`super::tree`].
struct Converter<'a> {
    text: &'a str,
}

impl Converter<'_> {
    fn error(
        &self,
        kind: GraphQlErrorKind,
        message: impl Into<String>,
        node: &impl CstNode,
    ) -> GraphQlError {
        error_at(kind, message, location(self.text, offset(node)))
    }

    fn add_fragment(
        &self,
        fragments: &mut Fragments,
        fragment: &cst::FragmentDefinition,
    ) -> Result<(), GraphQlError> {
        let name = fragment
            .fragment_name()
            .and_then(|name| name.name())
            .map(|name| name.text().to_string())
            .ok_or_else(|| {
                self.error(
                    GraphQlErrorKind::Syntax,
                    "a fragment without a name",
                    fragment,
                )
            })?;
        let selections = self.selections(fragment.selection_set())?;
        if fragments.insert(name.clone(), selections).is_some() {
            let message = format!("two fragments are named `{name}`");
            return Err(self.error(GraphQlErrorKind::Validation, message, fragment));
        }
        Ok(())
    }

    fn operation(
        &self,
        operation: &cst::OperationDefinition,
    ) -> Result<OperationDefinition, GraphQlError> {
        Ok(OperationDefinition {
            kind: kind(operation.operation_type()),
            defaults: self.defaults(operation)?,
            selections: self.selections(operation.selection_set())?,
            name: operation.name().map(|name| name.text().to_string()),
            offset: offset(operation),
        })
    }

    /// The Boolean defaults of an operation's variables.
    fn defaults(
        &self,
        operation: &cst::OperationDefinition,
    ) -> Result<HashMap<String, Option<bool>>, GraphQlError> {
        let mut defaults = HashMap::new();
        let definitions = operation.variable_definitions();
        for variable in definitions
            .iter()
            .flat_map(|definitions| definitions.variable_definitions())
        {
            let Some(name) = variable.variable().and_then(|variable| variable.name()) else {
                continue;
            };
            let default = match variable.default_value().and_then(|default| default.value()) {
                Some(cst::Value::BooleanValue(value)) => Some(value.true_token().is_some()),
                _ => None,
            };
            if defaults.insert(name.text().to_string(), default).is_some() {
                let message = format!("two variables are named `{}`", name.text());
                return Err(self.error(GraphQlErrorKind::Validation, message, &variable));
            }
        }
        Ok(defaults)
    }

    fn selections(&self, set: Option<cst::SelectionSet>) -> Result<Vec<Selection>, GraphQlError> {
        set.iter()
            .flat_map(|set| set.selections())
            .map(|selection| self.selection(&selection))
            .collect()
    }

    fn selection(&self, selection: &cst::Selection) -> Result<Selection, GraphQlError> {
        let unnamed = || self.error(GraphQlErrorKind::Syntax, "a name is missing", selection);
        Ok(match selection {
            cst::Selection::Field(field) => Selection::Field {
                name: field.name().ok_or_else(unnamed)?.text().to_string(),
                alias: field
                    .alias()
                    .and_then(|alias| alias.name())
                    .map(|name| name.text().to_string()),
                conditions: conditions(field.directives()),
                selections: self.selections(field.selection_set())?,
            },
            cst::Selection::FragmentSpread(spread) => Selection::FragmentSpread {
                name: spread
                    .fragment_name()
                    .and_then(|name| name.name())
                    .ok_or_else(unnamed)?
                    .text()
                    .to_string(),
                conditions: conditions(spread.directives()),
                offset: offset(spread),
            },
            cst::Selection::InlineFragment(inline) => Selection::InlineFragment {
                conditions: conditions(inline.directives()),
                selections: self.selections(inline.selection_set())?,
            },
        })
    }
}

/// The type of an operation; the shorthand without a type is a query, and a subscription is `None`.
fn kind(operation_type: Option<cst::OperationType>) -> Option<OperationKind> {
    match operation_type {
        None => Some(OperationKind::Query),
        Some(keyword) if keyword.query_token().is_some() => Some(OperationKind::Query),
        Some(keyword) if keyword.mutation_token().is_some() => Some(OperationKind::Mutation),
        Some(_) => None,
    }
}

fn conditions(directives: Option<cst::Directives>) -> Conditions {
    let mut conditions = Conditions::default();
    for directive in directives
        .iter()
        .flat_map(|directives| directives.directives())
    {
        let name = directive
            .name()
            .map(|name| name.text().to_string())
            .unwrap_or_default();
        match name.as_str() {
            "skip" => conditions.skip.push(condition(&directive)),
            "include" => conditions.include.push(condition(&directive)),
            _ => {}
        }
    }
    conditions
}

/// The argument `if` of a directive; of several, the last one.
fn condition(directive: &cst::Directive) -> Condition {
    let arguments = directive.arguments();
    let condition = arguments
        .iter()
        .flat_map(|arguments| arguments.arguments())
        .filter(|argument| argument.name().is_some_and(|name| name.text() == "if"))
        .last();
    match condition.and_then(|argument| argument.value()) {
        Some(cst::Value::BooleanValue(value)) => Condition::Literal(value.true_token().is_some()),
        Some(cst::Value::Variable(variable)) => match variable.name() {
            Some(name) => Condition::Variable(name.text().to_string()),
            None => Condition::Invalid,
        },
        _ => Condition::Invalid,
    }
}
