//! A server's answer, checked; and the answers that the node makes itself.
//!
//! Source: GraphQL, October 2021, section 7.

use crate::batch::Fate;
use crate::document::Operation;
use crate::Fault;
use serde::de::{IgnoredAny, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_json::{json, Value};
use std::fmt;
use thiserror::Error;

/// Why a server's answer is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BadAnswer {
    /// No JSON, or half of it.
    #[error("the answer is no JSON")]
    NoJson,
    /// A JSON that is no answer.
    #[error("the answer has neither data nor errors")]
    NoAnswer,
    /// Data of fields that were not asked for.
    #[error("the answer is to another operation")]
    Another,
}

#[derive(Deserialize)]
struct Shape {
    #[serde(default)]
    data: Option<Keys>,
    #[serde(default)]
    errors: Option<Vec<IgnoredAny>>,
}

/// The keys of an object, whose values are of no concern.
struct Keys(Vec<String>);

impl<'de> Deserialize<'de> for Keys {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Each;
        impl<'de> Visitor<'de> for Each {
            type Value = Keys;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Keys, A::Error> {
                let mut keys = Vec::new();
                while let Some((key, IgnoredAny)) = map.next_entry::<String, IgnoredAny>()? {
                    keys.push(key);
                }
                Ok(Keys(keys))
            }
        }
        from.deserialize_map(Each)
    }
}

/// Checks that a server's body is an answer to an operation.
///
/// Guards against answers that are cut short, that are no answers, and that belong to somebody else's operation; it
/// ought to catch whatever mixes up connections. Harm: an answer with a key that was not asked for is dropped, which no
/// server that follows the specification sends.
///
/// # Errors
/// Says why it is none. Whatever it was, the operation may have run.
pub fn check(body: &[u8], operation: &Operation) -> Result<(), BadAnswer> {
    let raw: &RawValue = serde_json::from_slice(body).map_err(|_| BadAnswer::NoJson)?;
    if !raw.get().starts_with('{') {
        return Err(BadAnswer::NoAnswer);
    }
    let shape: Shape = serde_json::from_str(raw.get()).map_err(|_| BadAnswer::NoAnswer)?;
    match shape.data {
        None if shape.errors.as_ref().is_none_or(Vec::is_empty) => Err(BadAnswer::NoAnswer),
        Some(Keys(keys))
            if keys
                .iter()
                .any(|k| !operation.roots.iter().any(|r| r.key == *k)) =>
        {
            Err(BadAnswer::Another)
        }
        _ => Ok(()),
    }
}

/// The body of an answer to a request with a fault.
pub fn fault(fault: &Fault) -> Value {
    let mut error =
        json!({ "message": fault.mistake, "extensions": { "code": fault.kind.code() } });
    if let (Some(at), Some(error)) = (fault.at, error.as_object_mut()) {
        error.insert(
            "locations".to_owned(),
            json!([{ "line": at.line, "column": at.column }]),
        );
    }
    json!({ "errors": [error] })
}

/// The answer to an entry that has none from a server. It says that a repeat is harmless only of what never ran.
pub fn made<A>(fate: &Fate<A>) -> Option<Value> {
    let (message, extensions) = match fate {
        Fate::Answered(_) => return None,
        Fate::Refused(after) => {
            let mut extensions = json!({ "code": "REFUSED", "retryable": true });
            if let (Some(after), Some(e)) = (after, extensions.as_object_mut()) {
                e.insert(
                    "retryAfterMs".to_owned(),
                    json!((after * 1e3).ceil().max(0.0) as u64),
                );
            }
            ("refused; nothing has run", extensions)
        }
        Fate::NeverRan => ("not run", json!({ "code": "NOT_RUN", "retryable": true })),
        Fate::Failed => (
            "failed; it may have run",
            json!({ "code": "FAILED", "retryable": false }),
        ),
    };
    Some(json!({ "data": null, "errors": [{ "message": message, "extensions": extensions }] }))
}

/// The answers to a batch, in the client's order. What has been answered is JSON text, and is let go once it is copied.
pub fn merge<A: AsRef<[u8]>>(fates: Vec<Fate<A>>) -> Vec<u8> {
    let mut out = b"[".to_vec();
    for (n, fate) in fates.into_iter().enumerate() {
        if n > 0 {
            out.push(b',');
        }
        match (&fate, made(&fate)) {
            (Fate::Answered(text), _) => out.extend_from_slice(text.as_ref().trim_ascii()),
            (_, Some(made)) => out.extend_from_slice(made.to_string().as_bytes()),
            (_, None) => out.extend_from_slice(b"null"),
        }
    }
    out.push(b']');
    out
}
