//! GraphQL over HTTP, without I/O.
//!
//! Determines what a node has to know before it may forward, retry or reject a request: the operation that the request
//! executes, the class of that operation, and whether a retry is safe. No schema is needed: a mapping of root fields to
//! classes determines the class, and an operation whose effects are unknown counts as unsafe to retry.
//!
//! | module | content |
//! | --- | --- |
//! | [`decode`] | decodes the parameters of a request from a POST body or a GET query; rejects ambiguous ones |
//! | [`document`] | finds the operation of a document, with its root fields |
//! | [`class`] | the class of an operation |
//! | [`batch`] | schedules the entries of a batch, and collects their results |
//! | [`persisted`] | a cache of documents by their hash |
//! | [`media`] | negotiates the media type of a response, and chooses its status |
//! | [`answer`] | validates the responses of servers, and builds those of the node |
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

/// Limits of requests and of the cache of persisted documents. The error for an exceeded limit names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of a document, in bytes.
    pub document: usize,
    /// Maximum number of lexical tokens of a document, comments and white space included.
    pub tokens: usize,
    /// Maximum nesting of selection sets, lists and objects.
    pub depth: usize,
    /// Maximum number of aliases of an operation; those of a fragment count as often as it is used.
    pub aliases: usize,
    /// Maximum number of root fields of an operation.
    pub root_fields: usize,
    /// Maximum number of fragment definitions of a document.
    pub fragments: usize,
    /// Maximum cost of an operation: its number of fields; those of a fragment count as often as it is used.
    pub cost: usize,
    /// Maximum number of requests in a batch.
    pub batch: usize,
    /// Maximum number of persisted documents.
    pub persisted: usize,
    /// Maximum length of all persisted documents together, in bytes.
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

/// A position in a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
}

/// Why a request is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct GraphQlError {
    /// The kind of the error.
    pub kind: GraphQlErrorKind,
    /// The description for the client.
    pub message: String,
    /// The position in the document, if it has one.
    pub location: Option<Location>,
}

/// Kinds of errors, which determine status and code of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GraphQlErrorKind {
    /// The request is not well-formed GraphQL over HTTP, whatever its document.
    Request,
    /// The document can't be parsed.
    Syntax,
    /// The document or the choice of its operation is invalid.
    Validation,
    /// The HTTP method is not allowed: a mutation by GET, or a method other than GET and POST.
    Method,
    /// The media type or charset of the body is not supported.
    MediaType,
    /// The client accepts none of the supported media types.
    NotAcceptable,
    /// A limit is exceeded; the message names it.
    Limit,
    /// The cache has no document with the hash of the request.
    PersistedQueryNotFound,
    /// Subscriptions are not supported.
    Subscription,
}

impl GraphQlErrorKind {
    /// The value of `extensions.code`.
    pub fn code(self) -> &'static str {
        match self {
            GraphQlErrorKind::Request => "BAD_REQUEST",
            GraphQlErrorKind::Syntax => "GRAPHQL_PARSE_FAILED",
            GraphQlErrorKind::Validation => "GRAPHQL_VALIDATION_FAILED",
            GraphQlErrorKind::Method => "METHOD_NOT_ALLOWED",
            GraphQlErrorKind::MediaType => "UNSUPPORTED_MEDIA_TYPE",
            GraphQlErrorKind::NotAcceptable => "NOT_ACCEPTABLE",
            GraphQlErrorKind::Limit => "LIMIT_EXCEEDED",
            GraphQlErrorKind::PersistedQueryNotFound => "PERSISTED_QUERY_NOT_FOUND",
            GraphQlErrorKind::Subscription => "SUBSCRIPTION_NOT_SUPPORTED",
        }
    }
}

impl GraphQlError {
    /// An error without a position in the document.
    pub fn new(kind: GraphQlErrorKind, message: impl Into<String>) -> GraphQlError {
        GraphQlError {
            kind,
            message: message.into(),
            location: None,
        }
    }

    /// The error for an exceeded limit of this name.
    pub fn limit(name: &str, max: usize) -> GraphQlError {
        GraphQlError::new(
            GraphQlErrorKind::Limit,
            format!("over the limit on {name}: {max} at most"),
        )
    }
}
