//! A GraphQL application with a small schema, which runs on the servers of [`crate::pool`]. Used by demos, measurements,
//! scenarios and tests.
//!
//! ```graphql
//! type Query {
//!   evaluate(flag: String, user: String): Evaluation  flags: [String]  broken: String!
//!   user(id: ID!): User  # used by the examples in the GraphQL over HTTP specification
//! }
//! type User { id: ID  name: String }
//! type Evaluation { flag: String  on: Boolean  user: String }
//! type Mutation { toggle(id: ID!, flag: String): Change  rollout(id: ID!): Change }
//! type Change { id: ID  done: Boolean }
//! ```
//!
//! `broken` always fails, so that `data` is null. Introspection (`__schema`, `__type`) is supported. Effects of mutations
//! are counted by `id`. The application implements the specification independently of the node: they share the parser,
//! but no code that interprets a document.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `request` | request parameters from HTTP |
//! | `document` | the operations and fragments of a document |
//! | `variables` | coercion of variables, evaluation of arguments |
//! | `execute` | execution of an operation |
//! | `resolve` | the fields of the schema |
//! | `introspection` | the introspection schema |
//! | `error` | request errors |
//! | `settings` | the settings file of a node in front of such servers |

mod document;
mod error;
mod execute;
mod introspection;
mod request;
mod resolve;
mod settings;
mod variables;

pub use settings::settings;

use crate::pool::{App, AppResponse, Completion};
use error::GraphQlError;
use execute::ExecutedData;
use hyper::http::request::Parts;
use hyper::StatusCode;
use serde_json::{json, Value};
use std::sync::Arc;

/// Returns the application, for [`Server::start_with_app`](crate::pool::Server::start_with_app).
pub fn app() -> App {
    Arc::new(|head: &Parts, body: &[u8]| serve(head, body))
}

fn serve(head: &Parts, body: &[u8]) -> AppResponse {
    let request = request::parse(head, body);
    let mut effect_ids = Vec::new();
    let (status, answer) = match execute::execute(&request, &mut effect_ids) {
        Ok(data) => (StatusCode::OK, success(data)),
        Err(error) => (StatusCode::BAD_REQUEST, failure(&error)),
    };
    AppResponse {
        effect_ids,
        status,
        body: answer.to_string(),
        completion: Completion::AsConfigured,
    }
}

fn success(executed: ExecutedData) -> Value {
    match executed.failed_field {
        Some(key) => {
            let error = json!({ "message": "broken", "path": [key] });
            json!({ "errors": [error], "data": null })
        }
        None => json!({ "data": executed.data }),
    }
}

fn failure(error: &GraphQlError) -> Value {
    json!({ "errors": [{ "message": error.to_string() }] })
}
