//! The application that a server may run: from a request to a response and its effects. Called by `respond`.

use hyper::http::request::Parts;
use hyper::StatusCode;
use std::sync::Arc;

/// The application of a server: gets the head and the body of a request.
pub type App = Arc<dyn Fn(&Parts, &[u8]) -> AppResponse + Send + Sync>;

/// The response of an application and what the request does.
pub struct AppResponse {
    /// Ids of the effects of the request.
    pub effect_ids: Vec<String>,
    /// The status of the response.
    pub status: StatusCode,
    /// The body of the response.
    pub body: String,
    /// Whether the request completes.
    pub completion: Completion,
}

/// Whether a request completes, where its application decides that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// As the server's behavior has it.
    AsConfigured,
    /// The connection is closed before any effect.
    CloseBeforeEffect,
    /// The connection is closed after the effect, without a response.
    CloseAfterEffect,
    /// The connection is closed after the effect and half of the response.
    TruncateResponse,
}
