//! Why a watch ends, or a list can't be used.

use hyper::StatusCode;
use std::io;
use thiserror::Error;

/// Why a watch of the list has ended.
#[derive(Debug, Error)]
pub(super) enum WatchError {
    /// Nothing was received in time.
    #[error("no data in time")]
    TimedOut,
    /// The connection could not be opened.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// The connection broke.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The request could not be made.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The service responded with another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// A list can't be used.
    #[error(transparent)]
    List(#[from] ListError),
}

/// Why a list can't be used.
#[derive(Debug, Error)]
pub enum ListError {
    /// It has no array of endpoints.
    #[error("a list without `endpoints`")]
    NoEndpoints,
    /// It has no index.
    #[error("a list without `index`")]
    NoIndex,
    /// The response ended before the list was complete.
    #[error("the list ended before it was complete")]
    Incomplete,
    /// It is larger than a list may be.
    #[error("the list is larger than the limit")]
    TooLarge,
    /// The data does not begin like a list.
    #[error("not an endpoint list")]
    NotAList,
    /// The data is not valid JSON.
    #[error("not an endpoint list: {0}")]
    Malformed(#[source] serde_json::Error),
}
