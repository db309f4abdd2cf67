//! Configurable behavior of a server: service time and injected faults.

use std::time::Duration;

/// The behavior of a server. Every field can be changed while the server runs.
#[derive(Clone, Debug)]
pub struct ServerBehavior {
    /// Time for which a request occupies a worker.
    pub service_time: Duration,
    /// Fraction of requests that take effect and are answered with 500 immediately.
    pub error_ratio: f64,
    /// Fraction of requests that are rejected unprocessed, with 503 and `X-Unprocessed`.
    pub shed_ratio: f64,
    /// Fraction of requests whose connection is closed before any effect.
    pub close_before_effect_ratio: f64,
    /// Fraction of requests whose connection is closed after the effect, without a response.
    pub close_after_effect_ratio: f64,
    /// While set, new requests make no progress.
    pub is_frozen: bool,
    /// Number of bytes that are appended to the body of a response.
    pub padding_len: usize,
    /// Fraction of requests that take effect and whose response is corrupt.
    pub corrupt_ratio: f64,
    /// The kind of corruption.
    pub corruption: Corruption,
}

/// Ways in which a response can be corrupt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// Half of the body, with a content length that matches.
    Truncated,
    /// A body in another format than JSON.
    WrongContentType,
    /// A well-formed response that belongs to another request.
    OtherResponse,
}

impl ServerBehavior {
    /// Behavior without faults.
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
