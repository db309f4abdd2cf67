//! A request's parameters, read strictly.
//!
//! Whatever two readers could take differently is refused: a key twice, a key in another case (some readers take
//! `Query` for `query`), keys that are not the specification's, a byte order mark, an empty `operationName` (some take
//! it for none). Harm: a client that adds members of its own has to put them into `extensions`.
//!
//! Source: GraphQL over HTTP, "Request" and "Request Parameters".

use crate::{Fault, FaultKind, Limits};
use serde::de::{DeserializeSeed, Deserializer, Error as _, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::fmt;

/// One request's parameters.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Params {
    /// The document.
    pub query: Option<String>,
    /// Which of its operations runs.
    pub operation_name: Option<String>,
    /// Values of its variables.
    pub variables: Map<String, Value>,
    /// Whatever else.
    pub extensions: Map<String, Value>,
}

impl Params {
    /// The hash of a persisted query, if the request has one (`extensions.persistedQuery`, version 1).
    ///
    /// # Errors
    /// If it is there and can't be used.
    pub fn persisted(&self) -> Result<Option<[u8; 32]>, Fault> {
        let Some(persisted) = self.extensions.get("persistedQuery") else {
            return Ok(None);
        };
        let bad = |what: &str| Fault::new(FaultKind::Request, format!("persistedQuery: {what}"));
        if persisted.get("version").and_then(Value::as_u64) != Some(1) {
            return Err(bad("version 1 is served"));
        }
        let hash = persisted
            .get("sha256Hash")
            .and_then(Value::as_str)
            .ok_or_else(|| bad("no sha256Hash"))?;
        hex(hash)
            .map(Some)
            .ok_or_else(|| bad("sha256Hash is no SHA-256 in hexadecimal digits"))
    }
}

fn hex(text: &str) -> Option<[u8; 32]> {
    let digit = |b: u8| char::from(b).to_digit(16).map(|d| d as u8);
    let bytes = text.as_bytes();
    if bytes.len() != 64 {
        return None;
    }
    let mut out = [0; 32];
    for (to, pair) in out.iter_mut().zip(bytes.chunks_exact(2)) {
        if let [high, low] = pair {
            *to = digit(*high)? << 4 | digit(*low)?;
        }
    }
    Some(out)
}

/// What a POST asks for.
#[derive(Clone, Debug)]
pub enum Asked<'a> {
    /// One request.
    One(Params),
    /// Several, each with its own part of the text.
    Batch(Vec<(Params, &'a str)>),
}

/// Deepest nesting of JSON; the reader of texts has the same bound of its own.
const JSON_DEPTH: usize = 100;

/// Reads the body of a POST.
///
/// # Errors
/// If it is no request, or more than may be asked at once.
pub fn body<'a>(body: &'a [u8], limits: &Limits) -> Result<Asked<'a>, Fault> {
    let text = std::str::from_utf8(body).map_err(|_| bad("the body is not text in UTF-8"))?;
    if text.starts_with('\u{feff}') {
        return Err(bad("the body begins with a byte order mark"));
    }
    match text
        .trim_start_matches([' ', '\t', '\r', '\n'])
        .as_bytes()
        .first()
    {
        Some(b'[') => {
            let entries: Vec<&RawValue> = serde_json::from_str(text).map_err(|e| json(&e))?;
            if entries.is_empty() {
                return Err(bad("an empty batch"));
            }
            if entries.len() > limits.batch {
                return Err(Fault::limit("requests in a batch", limits.batch));
            }
            let entry = |raw: &'a RawValue| Ok((params(raw.get())?, raw.get()));
            entries
                .into_iter()
                .map(entry)
                .collect::<Result<_, Fault>>()
                .map(Asked::Batch)
        }
        Some(b'{') => params(text).map(Asked::One),
        _ => Err(bad("the body is no JSON object")),
    }
}

/// Reads the query of a GET.
///
/// # Errors
/// If it is no request.
pub fn query(query: &str) -> Result<Params, Fault> {
    let mut object = Map::new();
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        if value.contains('\u{fffd}') {
            return Err(bad("a parameter is not text in UTF-8"));
        }
        let value = match name.as_ref() {
            "query" | "operationName" => Value::String(value.into_owned()),
            "variables" | "extensions" if value.is_empty() => Value::Null,
            "variables" | "extensions" => strict(&value)?,
            // What else a URL carries concerns nobody here, unless some reader could take it for a parameter.
            other => {
                known_or(other)?;
                continue;
            }
        };
        if object.insert(name.clone().into_owned(), value).is_some() {
            return Err(bad(format!("`{name}` is there twice")));
        }
    }
    from_object(object)
}

const KNOWN: [&str; 4] = ["query", "operationName", "variables", "extensions"];

/// Refuses a name that is a known one but for its case.
fn known_or(name: &str) -> Result<(), Fault> {
    match KNOWN
        .iter()
        .find(|k| k.eq_ignore_ascii_case(name) && **k != name)
    {
        Some(known) => Err(bad(format!("`{name}` is not `{known}`"))),
        None => Ok(()),
    }
}

fn bad(mistake: impl Into<String>) -> Fault {
    Fault::new(FaultKind::Request, mistake)
}

fn json(e: &serde_json::Error) -> Fault {
    bad(format!("the body is no JSON: {e}"))
}

/// Reads one request's object.
///
/// # Errors
/// If it is none.
pub fn params(text: &str) -> Result<Params, Fault> {
    match strict(text)? {
        Value::Object(object) => {
            for name in object.keys() {
                known_or(name)?;
                if !KNOWN.contains(&name.as_str()) {
                    return Err(bad(format!("`{name}` is no parameter of a request")));
                }
            }
            from_object(object)
        }
        _ => Err(bad("a request is a JSON object")),
    }
}

fn from_object(mut object: Map<String, Value>) -> Result<Params, Fault> {
    let mut text = |name: &str| match object.remove(name) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text)),
        Some(_) => Err(bad(format!("`{name}` is no text"))),
    };
    let (query, operation_name) = (text("query")?, text("operationName")?);
    if operation_name.as_ref().is_some_and(String::is_empty) {
        return Err(bad(
            "`operationName` is empty: leave it out, or name an operation",
        ));
    }
    let mut map = |name: &str| match object.remove(name) {
        None | Some(Value::Null) => Ok(Map::new()),
        Some(Value::Object(map)) => Ok(map),
        Some(_) => Err(bad(format!("`{name}` is no object"))),
    };
    let (variables, extensions) = (map("variables")?, map("extensions")?);
    let params = Params {
        query,
        operation_name,
        variables,
        extensions,
    };
    if params.query.is_none() && params.persisted()?.is_none() {
        return Err(bad("no `query`"));
    }
    Ok(params)
}

/// Reads JSON in which no object has a key twice.
fn strict(text: &str) -> Result<Value, Fault> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = Strict(JSON_DEPTH)
        .deserialize(&mut reader)
        .map_err(|e| json(&e))?;
    reader.end().map_err(|e| json(&e))?;
    Ok(value)
}

/// A value that may nest so deep.
struct Strict(usize);

impl<'de> DeserializeSeed<'de> for Strict {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<Value, D::Error> {
        from.deserialize_any(self)
    }
}

impl Strict {
    fn deeper<E: serde::de::Error>(&self) -> Result<Strict, E> {
        self.0
            .checked_sub(1)
            .map(Strict)
            .ok_or_else(|| E::custom("nested too deep"))
    }
}

impl<'de> Visitor<'de> for Strict {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E>(self, b: bool) -> Result<Value, E> {
        Ok(b.into())
    }

    fn visit_i64<E>(self, n: i64) -> Result<Value, E> {
        Ok(n.into())
    }

    fn visit_u64<E>(self, n: u64) -> Result<Value, E> {
        Ok(n.into())
    }

    fn visit_f64<E>(self, n: f64) -> Result<Value, E> {
        Ok(n.into())
    }

    fn visit_str<E>(self, text: &str) -> Result<Value, E> {
        Ok(text.into())
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element_seed(self.deeper()?)? {
            items.push(item);
        }
        Ok(Value::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(key) = map.next_key::<Key>()? {
            let value = map.next_value_seed(self.deeper()?)?;
            if object.insert(key.0.clone(), value).is_some() {
                return Err(A::Error::custom(format!("`{}` is there twice", key.0)));
            }
        }
        Ok(Value::Object(object))
    }
}

#[derive(Deserialize)]
struct Key(String);
