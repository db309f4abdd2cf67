//! The application that a server may run, which maps a request to a response and effects. Called by `respond`.

use hyper::http::request::Parts;
use hyper::StatusCode;
use std::sync::Arc;

/// The application of a server, called with the head and the body of each request.
pub type App = Arc<dyn Fn(&Parts, &[u8]) -> AppResponse + Send + Sync>;

/// The response of an application, and the effects of the request.
pub struct AppResponse {
    /// Ids of the effects that the request has; each is counted when the request takes effect.
    pub effect_ids: Vec<String>,
    /// Status code of the response.
    pub status: StatusCode,
    /// Body of the response, without padding.
    pub body: String,
    /// Whether the connection is closed before the response is complete.
    pub completion: Completion,
}

/// Lets an application override whether a request completes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// As the [`ServerBehavior`](super::ServerBehavior) of the server determines.
    AsConfigured,
    /// The connection is closed before any effect.
    CloseBeforeEffect,
    /// The connection is closed after the effect, without a response.
    CloseAfterEffect,
    /// The connection is closed after the effect and half of the response body.
    TruncateResponse,
}
