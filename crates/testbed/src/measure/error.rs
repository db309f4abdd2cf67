//! Why a measurement has no result.

/// An error of a measurement.
#[derive(Debug, thiserror::Error)]
pub(super) enum MeasureError {
    #[error("{subject}: only {served} of {sent} were served, so the figures mean nothing")]
    TooFewServed {
        subject: &'static str,
        served: u64,
        sent: u64,
    },
    #[error("no output")]
    NoOutput,
    #[error("no node")]
    NoNode,
    #[error("it does not heal")]
    NotRecovered,
    #[error("no address")]
    NoAddress,
    #[error("no request")]
    InvalidRequest,
    #[error("{message}")]
    InvalidDocument { message: String },
    #[error("{path}: {open} were open at once, {answered} answered, of {batches}")]
    RequestsNotOpen {
        path: &'static str,
        open: u64,
        answered: usize,
        batches: usize,
    },
}
