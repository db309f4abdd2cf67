//! Parses a GraphQL document into operations and fragments. Called by `execute`.

use super::error::GraphQlError;
use apollo_parser::cst::{self, Definition};
use apollo_parser::Parser;
use std::collections::HashMap;

/// Maximum nesting depth that the parser accepts.
const RECURSION_LIMIT: usize = 100;

/// A parsed executable document.
pub(super) struct Document {
    operations: Vec<cst::OperationDefinition>,
    /// Selection sets of the fragments by fragment name.
    pub(super) fragments: HashMap<String, cst::SelectionSet>,
}

impl Document {
    pub(super) fn parse(text: &str) -> Result<Document, GraphQlError> {
        let tree = Parser::new(text).recursion_limit(RECURSION_LIMIT).parse();
        if let Some(error) = tree.errors().next() {
            let message = error.message().to_owned();
            return Err(GraphQlError::Syntax { message });
        }
        let mut operations = Vec::new();
        let mut fragments = HashMap::new();
        for definition in tree.document().definitions() {
            match definition {
                Definition::OperationDefinition(operation) => operations.push(operation),
                Definition::FragmentDefinition(fragment) => {
                    let name = fragment_name(fragment.fragment_name())?;
                    let selections = fragment
                        .selection_set()
                        .ok_or(GraphQlError::MissingSelectionSet)?;
                    fragments.insert(name, selections);
                }
                _ => return Err(GraphQlError::NotExecutable),
            }
        }
        Ok(Document {
            operations,
            fragments,
        })
    }

    /// Returns the operation with this name or, without a name, the only operation of the document.
    pub(super) fn operation(
        &self,
        name: Option<&str>,
    ) -> Result<&cst::OperationDefinition, GraphQlError> {
        let operation = match name {
            Some(name) => self
                .operations
                .iter()
                .find(|operation| operation_name(operation).as_deref() == Some(name)),
            None if self.operations.len() == 1 => self.operations.first(),
            None => None,
        };
        operation.ok_or(GraphQlError::UnknownOperation)
    }
}

/// The name in a fragment definition or a fragment spread.
pub(super) fn fragment_name(name: Option<cst::FragmentName>) -> Result<String, GraphQlError> {
    name.and_then(|name| name.name())
        .map(|name| name.text().to_string())
        .ok_or(GraphQlError::MissingName)
}

fn operation_name(operation: &cst::OperationDefinition) -> Option<String> {
    operation.name().map(|name| name.text().to_string())
}
