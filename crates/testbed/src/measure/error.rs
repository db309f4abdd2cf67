//! Why a measurement has no result.

/// An error of a measurement.
#[derive(Debug, thiserror::Error)]
pub(super) enum MeasureError {
    #[error("{subject}: only {served} of {sent} requests were served; the measurement is invalid")]
    TooFewServed {
        subject: &'static str,
        served: u64,
        sent: u64,
    },
    #[error("the standard output of the process is not piped")]
    NoOutput,
    #[error("the first node of the fleet is not running")]
    NoNode,
    #[error("the node did not recover in time")]
    NotRecovered,
    #[error("the relay printed no client address")]
    NoAddress,
    #[error("the body is not a single GraphQL request")]
    InvalidRequest,
    #[error("{message}")]
    InvalidDocument { message: String },
    #[error(
        "{path}: of {batches} requests, {open} were open at once and {answered} were answered"
    )]
    RequestsNotOpen {
        path: &'static str,
        open: u64,
        answered: usize,
        batches: usize,
    },
}
