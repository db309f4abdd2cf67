//! Validates the responses of servers, and builds those of the node: errors, results of batch entries, and whole
//! batches.
//!
//! Source: GraphQL, October 2021, section 7.

use crate::batch::EntryResult;
use crate::document::Operation;
use crate::GraphQlError;
use serde::de::{IgnoredAny, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_json::{json, Value};
use std::fmt;
use thiserror::Error;

/// Why the body of a server's response is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidResponse {
    /// The body is incomplete or not valid JSON.
    #[error("the response is not valid JSON")]
    NotJson,
    /// The body is JSON, but not a GraphQL response.
    #[error("the response has neither data nor errors")]
    NotGraphQl,
    /// The body has data of fields that the operation does not select, so it belongs to another operation.
    #[error("the response belongs to another operation")]
    OtherOperation,
}

/// The parts of a response that are validated.
#[derive(Deserialize)]
struct ResponseShape {
    #[serde(default)]
    data: Option<Keys>,
    #[serde(default)]
    errors: Option<Vec<IgnoredAny>>,
}

/// The keys of an object. Its values are skipped.
struct Keys(Vec<String>);

impl<'de> Deserialize<'de> for Keys {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct KeysVisitor;
        impl<'de> Visitor<'de> for KeysVisitor {
            type Value = Keys;

            fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
                formatter.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Keys, A::Error> {
                let mut keys = Vec::new();
                while let Some((key, IgnoredAny)) = map.next_entry::<String, IgnoredAny>()? {
                    keys.push(key);
                }
                Ok(Keys(keys))
            }
        }
        deserializer.deserialize_map(KeysVisitor)
    }
}

/// Validates that the body of a server's response is complete, and that it belongs to this operation and not to one of
/// another client.
///
/// # Errors
/// If the body is invalid. The operation may have run all the same.
pub fn check(body: &[u8], operation: &Operation) -> Result<(), InvalidResponse> {
    let raw: &RawValue = serde_json::from_slice(body).map_err(|_| InvalidResponse::NotJson)?;
    if !raw.get().starts_with('{') {
        return Err(InvalidResponse::NotGraphQl);
    }
    let response: ResponseShape =
        serde_json::from_str(raw.get()).map_err(|_| InvalidResponse::NotGraphQl)?;
    match response.data {
        None if response.errors.as_ref().is_none_or(Vec::is_empty) => {
            Err(InvalidResponse::NotGraphQl)
        }
        Some(Keys(keys)) if keys.iter().any(|key| !has_root(operation, key)) => {
            Err(InvalidResponse::OtherOperation)
        }
        _ => Ok(()),
    }
}

fn has_root(operation: &Operation, key: &str) -> bool {
    operation.roots.iter().any(|root| root.key == key)
}

/// The body of the response to a request that is rejected with an error.
pub fn error_response(error: &GraphQlError) -> Value {
    let mut item = json!({ "message": error.message, "extensions": { "code": error.kind.code() } });
    if let (Some(location), Some(item)) = (error.location, item.as_object_mut()) {
        item.insert(
            "locations".to_owned(),
            json!([{ "line": location.line, "column": location.column }]),
        );
    }
    json!({ "errors": [item] })
}

/// The response to an entry to which no server responded; `None` if a server did. Only an entry that never ran is
/// marked as `retryable`.
pub fn entry_response<A>(result: &EntryResult<A>) -> Option<Value> {
    let (message, extensions) = match result {
        EntryResult::Answered(_) => return None,
        EntryResult::Rejected(retry_after) => {
            let mut extensions = json!({ "code": "REFUSED", "retryable": true });
            if let (Some(seconds), Some(extensions)) = (retry_after, extensions.as_object_mut()) {
                extensions.insert(
                    "retryAfterMs".to_owned(),
                    json!((seconds * 1e3).ceil().max(0.0) as u64),
                );
            }
            ("refused; nothing has run", extensions)
        }
        EntryResult::NeverRan => ("not run", json!({ "code": "NOT_RUN", "retryable": true })),
        EntryResult::Failed => (
            "failed; it may have run",
            json!({ "code": "FAILED", "retryable": false }),
        ),
    };
    Some(json!({ "data": null, "errors": [{ "message": message, "extensions": extensions }] }))
}

/// The body of the response to a batch: a JSON array of the entries' responses, in order. The responses of servers are
/// copied as JSON text and dropped one by one, to bound memory.
pub fn merge<A: AsRef<[u8]>>(results: Vec<EntryResult<A>>) -> Vec<u8> {
    let mut merged = b"[".to_vec();
    for (index, result) in results.into_iter().enumerate() {
        if index > 0 {
            merged.push(b',');
        }
        match (&result, entry_response(&result)) {
            (EntryResult::Answered(text), _) => {
                merged.extend_from_slice(text.as_ref().trim_ascii());
            }
            (_, Some(response)) => merged.extend_from_slice(response.to_string().as_bytes()),
            (_, None) => merged.extend_from_slice(b"null"),
        }
    }
    merged.push(b']');
    merged
}
