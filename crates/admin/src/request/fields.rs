//! The parts that all management requests have in common: methods, and names in paths and queries.

use crate::error::{RequestError, MAX_NAME_LEN};
use percent_encoding::{percent_decode_str, utf8_percent_encode, NON_ALPHANUMERIC};

/// Checks the method of a request; HEAD is as good as GET.
pub(super) fn require_method(method: &str, required: &'static str) -> Result<(), RequestError> {
    let is_allowed = method == required || (required == "GET" && method == "HEAD");
    is_allowed
        .then_some(())
        .ok_or(RequestError::WrongMethod(required))
}

/// Encodes a name for a path or a query.
pub(super) fn encode_name(name: &str) -> String {
    utf8_percent_encode(name, NON_ALPHANUMERIC).to_string()
}

/// Decodes a name from a path or a query.
pub(super) fn decode_name(encoded: &str) -> Result<String, RequestError> {
    let name = percent_decode_str(encoded)
        .decode_utf8()
        .map_err(|_| RequestError::InvalidName)?;
    let is_valid = !name.is_empty() && name.len() <= MAX_NAME_LEN;
    is_valid
        .then(|| name.into_owned())
        .ok_or(RequestError::InvalidName)
}
