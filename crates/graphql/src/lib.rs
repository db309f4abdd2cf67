//! GraphQL over HTTP, without I/O.
//!
//! What a node has to know of a request before it may be sent, repeated or refused: which operation it runs, of which
//! class that is, and whether a second run would be harmless. No schema is needed: a mapping of root fields to classes
//! tells the classes, and whatever can't be told is taken for unsafe.
//!
//! | module | does |
//! | --- | --- |
//! | [`decode`] | a request's parameters from a POST body or a GET query, strictly |
//! | [`document`] | the operation that runs, with its root fields, from the text of a document |
//! | [`class`] | the class of an operation |
//! | [`batch`] | which entries of a batch may run now, and what became of each |
//! | [`persisted`] | documents known by their hash |
//! | [`media`] | the media type of an answer and the status that goes with it |
//! | [`answer`] | checks a server's answer and makes those of the node |
//!
//! Sources: the GraphQL specification (October 2021) and GraphQL over HTTP (working draft).

pub mod answer;
pub mod batch;
pub mod class;
pub mod decode;
pub mod document;
pub mod media;
pub mod persisted;

use thiserror::Error;

/// Bounds of what a request may hold. Each is named by the error that it causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a document.
    pub document: usize,
    /// Lexical tokens of a document, comments and white space among them.
    pub tokens: usize,
    /// Nested selection sets, lists and objects.
    pub depth: usize,
    /// Aliases of an operation with its fragments, each counted as often as it is used.
    pub aliases: usize,
    /// Root fields of an operation.
    pub root_fields: usize,
    /// Fragment definitions of a document.
    pub fragments: usize,
    /// Fields of an operation with its fragments: its cost.
    pub cost: usize,
    /// Requests in a batch.
    pub batch: usize,
    /// Persisted documents.
    pub persisted: usize,
    /// Bytes of all persisted documents together.
    pub persisted_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            document: 64 << 10,
            tokens: 10_000,
            depth: 32,
            aliases: 100,
            root_fields: 50,
            fragments: 100,
            cost: 2_000,
            batch: 50,
            persisted: 1_000,
            persisted_bytes: 4 << 20,
        }
    }
}

/// A place in a document, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

/// Why a request can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{mistake}")]
pub struct Fault {
    /// What kind of mistake it is.
    pub kind: FaultKind,
    /// What it is, for people.
    pub mistake: String,
    /// Where in the document.
    pub at: Option<Location>,
}

/// Kinds of mistakes; each has its status and its code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// No well-formed GraphQL over HTTP request: whoever sent it has to change it, whatever the document.
    Request,
    /// The document can't be parsed.
    Syntax,
    /// The document or the choice of its operation is not valid.
    Validation,
    /// A mutation or subscription by GET.
    Method,
    /// The body is of a media type or charset that is not served.
    MediaType,
    /// Nothing that the client accepts can be given.
    NotAcceptable,
    /// Over a bound; the mistake names it.
    Limit,
    /// A hash that is not known here.
    PersistedQueryNotFound,
    /// Subscriptions are not served.
    Subscription,
}

impl FaultKind {
    /// The value of `extensions.code`.
    pub fn code(self) -> &'static str {
        match self {
            FaultKind::Request => "BAD_REQUEST",
            FaultKind::Syntax => "GRAPHQL_PARSE_FAILED",
            FaultKind::Validation => "GRAPHQL_VALIDATION_FAILED",
            FaultKind::Method => "METHOD_NOT_ALLOWED",
            FaultKind::MediaType => "UNSUPPORTED_MEDIA_TYPE",
            FaultKind::NotAcceptable => "NOT_ACCEPTABLE",
            FaultKind::Limit => "LIMIT_EXCEEDED",
            FaultKind::PersistedQueryNotFound => "PERSISTED_QUERY_NOT_FOUND",
            FaultKind::Subscription => "SUBSCRIPTION_NOT_SUPPORTED",
        }
    }
}

impl Fault {
    /// A mistake without a place.
    pub fn new(kind: FaultKind, mistake: impl Into<String>) -> Fault {
        Fault {
            kind,
            mistake: mistake.into(),
            at: None,
        }
    }

    /// Over a bound.
    pub fn limit(name: &str, most: usize) -> Fault {
        Fault::new(
            FaultKind::Limit,
            format!("over the limit on {name}: {most} at most"),
        )
    }
}
