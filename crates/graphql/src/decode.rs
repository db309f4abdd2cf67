//! Decodes the parameters of a request from the body of a POST or the query of a GET.
//!
//! Requests that the node and a server could decode differently are rejected: duplicate keys, keys in another case
//! (some servers accept `Query` for `query`), keys that the specification does not define, a byte order mark, and an
//! empty `operationName` (which some servers ignore). Clients have to put keys of their own into `extensions`.
//!
//! Source: GraphQL over HTTP, "Request" and "Request Parameters".

mod strict_json;

use crate::{GraphQlError, GraphQlErrorKind, Limits};
use serde_json::value::RawValue;
use serde_json::{Map, Value};

/// The parameters of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Params {
    /// The text of the document; `None` if the request has only the hash of a persisted one.
    pub query: Option<String>,
    /// The name of the operation to execute.
    pub operation_name: Option<String>,
    /// The values of the operation's variables.
    pub variables: Map<String, Value>,
    /// Protocol extensions, such as the hash of a persisted document.
    pub extensions: Map<String, Value>,
}

impl Params {
    /// The hash of a persisted document, if the request has one (`extensions.persistedQuery`, version 1).
    ///
    /// # Errors
    /// If the extension is invalid or has another version.
    pub fn persisted_hash(&self) -> Result<Option<[u8; 32]>, GraphQlError> {
        let Some(persisted) = self.extensions.get("persistedQuery") else {
            return Ok(None);
        };
        let invalid = |message: &str| bad_request(format!("persistedQuery: {message}"));
        if persisted.get("version").and_then(Value::as_u64) != Some(1) {
            return Err(invalid("version 1 is served"));
        }
        let hash = persisted
            .get("sha256Hash")
            .and_then(Value::as_str)
            .ok_or_else(|| invalid("no sha256Hash"))?;
        decode_hash(hash)
            .map(Some)
            .ok_or_else(|| invalid("sha256Hash is no SHA-256 in hexadecimal digits"))
    }
}

/// Decodes a SHA-256 hash of 64 hexadecimal digits.
fn decode_hash(text: &str) -> Option<[u8; 32]> {
    let digit = |byte: u8| char::from(byte).to_digit(16).map(|digit| digit as u8);
    let bytes = text.as_bytes();
    if bytes.len() != 64 {
        return None;
    }
    let mut hash = [0; 32];
    for (target, pair) in hash.iter_mut().zip(bytes.chunks_exact(2)) {
        if let [high, low] = pair {
            *target = digit(*high)? << 4 | digit(*low)?;
        }
    }
    Some(hash)
}

/// The decoded body of a POST.
#[derive(Clone, Debug)]
pub enum DecodedRequest<'a> {
    /// One request.
    Single(Params),
    /// Several requests, each with its JSON text.
    Batch(Vec<(Params, &'a str)>),
}

/// Decodes the body of a POST.
///
/// # Errors
/// If the body is not a valid request, or is a batch that exceeds the limit.
pub fn parse_body<'a>(body: &'a [u8], limits: &Limits) -> Result<DecodedRequest<'a>, GraphQlError> {
    let text =
        std::str::from_utf8(body).map_err(|_| bad_request("the body is not text in UTF-8"))?;
    if text.starts_with('\u{feff}') {
        return Err(bad_request("the body begins with a byte order mark"));
    }
    let first = text
        .trim_start_matches([' ', '\t', '\r', '\n'])
        .as_bytes()
        .first();
    match first {
        Some(b'[') => batch(text, limits),
        Some(b'{') => parse_params(text).map(DecodedRequest::Single),
        _ => Err(bad_request("the body is no JSON object")),
    }
}

fn batch<'a>(text: &'a str, limits: &Limits) -> Result<DecodedRequest<'a>, GraphQlError> {
    let entries: Vec<&RawValue> =
        serde_json::from_str(text).map_err(|error| invalid_json(&error))?;
    if entries.is_empty() {
        return Err(bad_request("an empty batch"));
    }
    if entries.len() > limits.batch {
        return Err(GraphQlError::limit("requests in a batch", limits.batch));
    }
    entries
        .into_iter()
        .map(|entry| Ok((parse_params(entry.get())?, entry.get())))
        .collect::<Result<_, GraphQlError>>()
        .map(DecodedRequest::Batch)
}

/// Decodes the query string of a GET.
///
/// # Errors
/// If the query is not a valid request.
pub fn parse_query(query: &str) -> Result<Params, GraphQlError> {
    let mut object = Map::new();
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        if value.contains('\u{fffd}') {
            return Err(bad_request("a parameter is not text in UTF-8"));
        }
        let value = match name.as_ref() {
            "query" | "operationName" => Value::String(value.into_owned()),
            "variables" | "extensions" if value.is_empty() => Value::Null,
            "variables" | "extensions" => parse_json(&value)?,
            // Other parameters of the URL are ignored, unless a server could mistake them for one of these.
            other => {
                check_case(other)?;
                continue;
            }
        };
        if object.insert(name.clone().into_owned(), value).is_some() {
            return Err(bad_request(format!("`{name}` is there twice")));
        }
    }
    from_object(object)
}

/// The keys that the specification defines for a request.
const KEYS: [&str; 4] = ["query", "operationName", "variables", "extensions"];

/// Rejects a name that differs from a key only in case.
fn check_case(name: &str) -> Result<(), GraphQlError> {
    let similar = KEYS
        .iter()
        .find(|key| key.eq_ignore_ascii_case(name) && **key != name);
    match similar {
        Some(key) => Err(bad_request(format!("`{name}` is not `{key}`"))),
        None => Ok(()),
    }
}

fn bad_request(message: impl Into<String>) -> GraphQlError {
    GraphQlError::new(GraphQlErrorKind::Request, message)
}

fn invalid_json(error: &serde_json::Error) -> GraphQlError {
    bad_request(format!("the body is no JSON: {error}"))
}

/// Decodes the JSON object of one request.
///
/// # Errors
/// If the text is not a valid request.
pub fn parse_params(text: &str) -> Result<Params, GraphQlError> {
    match parse_json(text)? {
        Value::Object(object) => {
            for name in object.keys() {
                check_case(name)?;
                if !KEYS.contains(&name.as_str()) {
                    return Err(bad_request(format!(
                        "`{name}` is no parameter of a request"
                    )));
                }
            }
            from_object(object)
        }
        _ => Err(bad_request("a request is a JSON object")),
    }
}

fn from_object(mut object: Map<String, Value>) -> Result<Params, GraphQlError> {
    let mut text = |name: &str| match object.remove(name) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text)),
        Some(_) => Err(bad_request(format!("`{name}` is no text"))),
    };
    let (query, operation_name) = (text("query")?, text("operationName")?);
    if operation_name.as_ref().is_some_and(String::is_empty) {
        return Err(bad_request(
            "`operationName` is empty: leave it out, or name an operation",
        ));
    }
    let mut map = |name: &str| match object.remove(name) {
        None | Some(Value::Null) => Ok(Map::new()),
        Some(Value::Object(map)) => Ok(map),
        Some(_) => Err(bad_request(format!("`{name}` is no object"))),
    };
    let (variables, extensions) = (map("variables")?, map("extensions")?);
    let params = Params {
        query,
        operation_name,
        variables,
        extensions,
    };
    if params.query.is_none() && params.persisted_hash()?.is_none() {
        return Err(bad_request("no `query`"));
    }
    Ok(params)
}

fn parse_json(text: &str) -> Result<Value, GraphQlError> {
    strict_json::parse(text).map_err(|error| invalid_json(&error))
}
