//! Validates the responses of servers, and makes those of the node: errors, results of batch entries, whole batches.
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
    /// It is no JSON, or incomplete.
    #[error("the answer is no JSON")]
    NotJson,
    /// It is JSON, but no GraphQL response.
    #[error("the answer has neither data nor errors")]
    NotGraphQl,
    /// It has data of other fields, so it belongs to another operation.
    #[error("the answer is to another operation")]
    OtherOperation,
}

/// The keys of a response that are validated.
#[derive(Deserialize)]
struct ResponseShape {
    #[serde(default)]
    data: Option<Keys>,
    #[serde(default)]
    errors: Option<Vec<IgnoredAny>>,
}

/// The keys of an object, whose values are ignored.
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

/// Validates that the body of a server's response is complete and belongs to an operation, and not to one of another
/// client.
///
/// # Errors
/// Why it is invalid. In any case the operation may have run.
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

/// The body of the response to an invalid request.
pub fn error_response(fault: &GraphQlError) -> Value {
    let mut error =
        json!({ "message": fault.message, "extensions": { "code": fault.kind.code() } });
    if let (Some(location), Some(error)) = (fault.location, error.as_object_mut()) {
        error.insert(
            "locations".to_owned(),
            json!([{ "line": location.line, "column": location.column }]),
        );
    }
    json!({ "errors": [error] })
}

/// The response to an entry without one of a server; `None` if a server responded. Only an entry that never ran is
/// `retryable`.
pub fn entry_response<A>(fate: &EntryResult<A>) -> Option<Value> {
    let (message, extensions) = match fate {
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

/// The response to a batch, in the order of the entries. Responses of servers are JSON texts; each is dropped once it is
/// copied, to bound memory.
pub fn merge<A: AsRef<[u8]>>(fates: Vec<EntryResult<A>>) -> Vec<u8> {
    let mut merged = b"[".to_vec();
    for (index, fate) in fates.into_iter().enumerate() {
        if index > 0 {
            merged.push(b',');
        }
        match (&fate, entry_response(&fate)) {
            (EntryResult::Answered(text), _) => {
                merged.extend_from_slice(text.as_ref().trim_ascii());
            }
            (_, Some(made)) => merged.extend_from_slice(made.to_string().as_bytes()),
            (_, None) => merged.extend_from_slice(b"null"),
        }
    }
    merged.push(b']');
    merged
}
