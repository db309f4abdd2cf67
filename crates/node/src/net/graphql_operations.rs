//! The settings of a GraphQL service, and the translation of a client's operations into requests to servers. Called by
//! [`super::graphql`].

use super::message::Waiter;
use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use reelfall_balancer::interface::{ClassId, Time};
use reelfall_graphql::class::Classes;
use reelfall_graphql::decode::Params;
use reelfall_graphql::document::{parse_operation, Operation, OperationKind};
use reelfall_graphql::persisted::PersistedDocuments;
use reelfall_graphql::{GraphQlError, GraphQlErrorKind, Limits};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// The settings of a GraphQL service.
pub struct GraphQl {
    /// Assigns a class to each operation.
    pub classes: Classes,
    /// The limits on the documents of clients.
    pub limits: Limits,
    /// The work that a field costs, in seconds on a standard core.
    pub field_work: Time,
    /// Maximum number of reads of a batch that run at once.
    pub max_parallel_reads: usize,
    /// The cache of documents by their hash, which is kept across reloads.
    pub persisted: Rc<RefCell<PersistedDocuments>>,
}

/// An operation with its request to a server.
pub struct PreparedOperation {
    /// The class of the operation.
    pub class: ClassId,
    /// The operation, parsed and within the limits.
    pub operation: Rc<Operation>,
    /// The method of the request.
    pub method: Method,
    /// The path of the request with its query.
    pub path: PathAndQuery,
    /// The body of the request.
    pub body: Bytes,
}

/// The head of a client's request, which all entries of a batch have in common.
pub struct OperationHead {
    /// The headers of the client's request.
    pub headers: HeaderMap,
    /// The path and query of the client's request.
    pub path: PathAndQuery,
    /// Whether the method is GET; otherwise it is POST.
    pub is_get: bool,
    /// How long the client waits for the answer, in seconds, if a header states it.
    pub time_left: Option<Time>,
    /// When the request was received.
    pub received_at: Instant,
    /// The client that waits for the answer.
    pub waiter: Rc<dyn Waiter>,
}

impl GraphQl {
    /// Resolves the operation that a client requests, and builds the request to a server. `raw` is the body of the
    /// client's request, if that has one.
    ///
    /// # Errors
    /// If the operation can't be resolved, or may not be run.
    pub fn prepare(
        &self,
        params: &Params,
        raw: Option<Bytes>,
        head: &OperationHead,
    ) -> Result<PreparedOperation, GraphQlError> {
        let hash = params.persisted_hash()?;
        let text = self
            .persisted
            .borrow_mut()
            .resolve(params.query.as_deref(), hash)?;
        let name = params.operation_name.as_deref();
        let operation = parse_operation(&text, name, &params.variables, &self.limits)?;
        if head.is_get && operation.kind == OperationKind::Mutation {
            return Err(GraphQlError::new(
                GraphQlErrorKind::Method,
                "a mutation by GET: whoever stands between may repeat it",
            ));
        }
        if hash.is_some() && params.query.is_some() {
            self.persisted.borrow_mut().insert(&text, &self.limits);
        }
        let class = self.classes.class_of(&operation);
        let request = ServerRequest::build(params, &text, raw, &head.path)?;
        Ok(PreparedOperation {
            class,
            operation: Rc::new(operation),
            method: request.method,
            path: request.path,
            body: request.body,
        })
    }
}

/// The request to a server.
struct ServerRequest {
    method: Method,
    path: PathAndQuery,
    body: Bytes,
}

impl ServerRequest {
    /// Forwards the client's request unchanged if it contains the document; otherwise builds one that does, since the
    /// server may not know the hash.
    fn build(
        params: &Params,
        text: &str,
        raw: Option<Bytes>,
        path: &PathAndQuery,
    ) -> Result<ServerRequest, GraphQlError> {
        if params.query.is_none() {
            let path = path.path().parse();
            return Ok(ServerRequest {
                method: Method::POST,
                path: path.map_err(|_| GraphQlError::new(GraphQlErrorKind::Request, "no path"))?,
                body: encode_body(text, params),
            });
        }
        Ok(ServerRequest {
            method: if raw.is_some() {
                Method::POST
            } else {
                Method::GET
            },
            path: path.clone(),
            body: raw.unwrap_or_default(),
        })
    }
}

/// The JSON body of a request with this document.
fn encode_body(text: &str, params: &Params) -> Bytes {
    let mut body = json!({ "query": text, "variables": params.variables });
    if let (Some(name), Some(body)) = (&params.operation_name, body.as_object_mut()) {
        body.insert("operationName".to_owned(), Value::String(name.clone()));
    }
    Bytes::from(body.to_string())
}
