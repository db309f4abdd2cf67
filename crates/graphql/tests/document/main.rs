//! Parsing of documents: which operation runs, with which root fields and class, and which documents are rejected.

mod classes;
#[path = "../common/mod.rs"]
mod common;
mod limits;
mod operation_choice;
mod printer;
mod random;
mod reference;
mod syntax;
mod tree;

use reelfall_graphql::document::{parse_operation, Operation};
use reelfall_graphql::{GraphQlError, Limits};
use serde_json::Map;

/// Parses a document without variables, with the default limits.
fn parse(text: &str, operation_name: Option<&str>) -> Result<Operation, GraphQlError> {
    parse_operation(text, operation_name, &Map::new(), &Limits::default())
}
