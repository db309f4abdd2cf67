//! Why a management request is rejected.

use thiserror::Error;

/// Maximum length of a name in a request, in bytes after decoding.
pub const MAX_NAME_LEN: usize = 512;

/// Why a management request is rejected, with the text of the answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// The path is not that of a management request.
    #[error("no such call: there are /-/ready, /-/servers/ID/disable, /-/servers/ID/enable, /-/drain, /-/resume and /-/fleet/...")]
    UnknownPath,
    /// The path requires another method.
    #[error("this call wants the method {0}")]
    WrongMethod(&'static str),
    /// The name of the server is invalid.
    #[error(
        "the name of the server is empty, longer than {MAX_NAME_LEN} bytes, or no text in UTF-8"
    )]
    InvalidName,
    /// A duration is invalid.
    #[error("a time is a whole number of seconds")]
    InvalidDuration,
}

impl RequestError {
    /// The HTTP status of the answer.
    pub fn status(self) -> u16 {
        match self {
            RequestError::UnknownPath => 404,
            RequestError::WrongMethod(_) => 405,
            RequestError::InvalidName | RequestError::InvalidDuration => 400,
        }
    }
}
