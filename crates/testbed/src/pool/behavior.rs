//! The behavior of a server: service time and injected faults. Set by whoever starts the server.

use std::time::Duration;

/// The behavior of a server; each field can be changed while the server runs.
#[derive(Clone, Debug)]
pub struct ServerBehavior {
    /// How long a request occupies a worker.
    pub service_time: Duration,
    /// Share of requests that are answered with 500 at once, after their effect.
    pub error_ratio: f64,
    /// Share of requests that are shed unprocessed: 503 with `X-Unprocessed`.
    pub shed_ratio: f64,
    /// Share of requests whose connection is closed before any effect.
    pub close_before_effect_ratio: f64,
    /// Share of requests whose connection is closed after the effect, without a response.
    pub close_after_effect_ratio: f64,
    /// While this is set, no request makes progress.
    pub is_frozen: bool,
    /// Bytes that are appended to the body of a response.
    pub padding_len: usize,
    /// Share of responses that are corrupt, after their effect.
    pub corrupt_ratio: f64,
    /// How they are corrupt.
    pub corruption: Corruption,
}

/// Ways in which a response can be corrupt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// Half of the body, with a matching content length.
    Truncated,
    /// A body of another content type.
    WrongContentType,
    /// The well-formed response to another request.
    OtherResponse,
}

impl ServerBehavior {
    /// Serves each request in the given time and never fails.
    pub fn healthy(service_time: Duration) -> ServerBehavior {
        ServerBehavior {
            service_time,
            error_ratio: 0.0,
            shed_ratio: 0.0,
            close_before_effect_ratio: 0.0,
            close_after_effect_ratio: 0.0,
            is_frozen: false,
            padding_len: 0,
            corrupt_ratio: 0.0,
            corruption: Corruption::Truncated,
        }
    }
}
