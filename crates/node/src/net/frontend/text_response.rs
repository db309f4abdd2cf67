//! Answers of the node itself whose body is a text.

use crate::net::answer::ResponseBody;
use hyper::{Response, StatusCode};
use std::fmt::Display;

/// An answer whose text is an error's.
pub(super) fn error_response(status: StatusCode, error: &dyn Display) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(format!("{error}\n")));
    *response.status_mut() = status;
    response
}

/// An answer of constant text.
pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(text));
    *response.status_mut() = status;
    response
}
