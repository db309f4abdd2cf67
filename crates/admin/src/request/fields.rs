//! Parsing of what management requests have in common: methods, and names in paths and queries.

use crate::error::{RequestError, MAX_NAME_LEN};
use percent_encoding::{percent_decode_str, utf8_percent_encode, NON_ALPHANUMERIC};

/// Checks the method of a request; HEAD is allowed where GET is.
pub(super) fn require_method(method: &str, required: &'static str) -> Result<(), RequestError> {
    let is_allowed = method == required || (required == "GET" && method == "HEAD");
    is_allowed
        .then_some(())
        .ok_or(RequestError::WrongMethod(required))
}

/// Percent-encodes a name for a path or a query.
pub(super) fn encode_name(name: &str) -> String {
    utf8_percent_encode(name, NON_ALPHANUMERIC).to_string()
}

/// Decodes a percent-encoded name, which must be valid UTF-8 of 1 to [`MAX_NAME_LEN`] bytes.
pub(super) fn decode_name(encoded: &str) -> Result<String, RequestError> {
    let name = percent_decode_str(encoded)
        .decode_utf8()
        .map_err(|_| RequestError::InvalidName)?;
    let is_valid = !name.is_empty() && name.len() <= MAX_NAME_LEN;
    is_valid
        .then(|| name.into_owned())
        .ok_or(RequestError::InvalidName)
}
