//! Answers of the node itself, with a text as their body.

use crate::net::answer::ResponseBody;
use hyper::{Response, StatusCode};
use std::fmt::Display;

/// An answer with the text of an error.
pub(super) fn error_response(status: StatusCode, error: &dyn Display) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(format!("{error}\n")));
    *response.status_mut() = status;
    response
}

/// An answer with a constant text.
pub(super) fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(text));
    *response.status_mut() = status;
    response
}
