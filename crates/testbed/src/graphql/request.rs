//! Request parameters, from the query string of a GET or the body of a POST. Called for each request to the application.

use hyper::http::request::Parts;
use hyper::Method;
use serde_json::{Map, Value};

/// Returns the parameters as a JSON object, or null if the body is not valid JSON.
pub(super) fn parse(head: &Parts, body: &[u8]) -> Value {
    if head.method == Method::GET {
        parse_query_string(head.uri.query().unwrap_or_default())
    } else {
        serde_json::from_slice(body).unwrap_or_default()
    }
}

fn parse_query_string(query: &str) -> Value {
    let mut parameters = Map::new();
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        let value = match name.as_ref() {
            "variables" => serde_json::from_str(&value).unwrap_or_default(),
            _ => Value::String(value.into_owned()),
        };
        parameters.insert(name.into_owned(), value);
    }
    Value::Object(parameters)
}
