//! GraphQL over HTTP: each operation of a client's request becomes one request of the engine, and the answers to them
//! one answer to the client.
//!
//! [`reelfall_graphql`] decides what a request is, of which class it is and what is a valid answer; the engine chooses
//! servers and retries. Called by `frontend::request` for services with GraphQL.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `operation` | running one operation |
//! | `batch` | running a batch of operations |
//! | `response` | answers to clients |

mod batch;
mod operation;
mod response;

use super::client::{Client, Phase};
use super::frontend::{header_text, time_left, AdmittedRequest, BufferedBody, Frontend};
use super::message::Waiter;
use super::operations::{GraphQl, OperationHead, PreparedOperation};
use super::shared::MemoryPermit;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use operation::{OperationContext, OperationPermits};
use reelfall_graphql::decode::{self, DecodedRequest};
use reelfall_graphql::media::{self, Media};
use reelfall_graphql::{GraphQlError, GraphQlErrorKind};
use response::{
    fault_response, json_response, method_not_allowed, operation_response, request_error_response,
    request_fault, HttpResponse,
};
use std::rc::Rc;
use std::time::Instant;

/// A client's request to a GraphQL service, as far as all of its operations have it in common.
struct GraphQlRequest<'a> {
    graphql: &'a GraphQl,
    admitted: AdmittedRequest,
    head: &'a OperationHead,
    /// The media type of the answer.
    media: Media,
    body_memory: Option<Rc<MemoryPermit>>,
}

impl Frontend {
    /// Answers a request to a GraphQL service.
    pub(super) async fn graphql(
        self: &Rc<Self>,
        graphql: &GraphQl,
        admitted: AdmittedRequest,
        head: Parts,
        body: Incoming,
        client: &Rc<Client>,
    ) -> HttpResponse {
        let BufferedBody { data: body, memory } =
            match self.buffer_body(body, admitted.service.service_id).await {
                Ok(body) => body,
                Err(error) => return error.response(),
            };
        client.set_phase(Phase::AwaitingAnswer);
        if client.has_disconnected() {
            return json_response(StatusCode::BAD_REQUEST, Media::Json, Bytes::new());
        }
        let received_at = Instant::now();
        let media = match media::negotiate(header_text(&head.headers, &header::ACCEPT)) {
            Ok(media) => media,
            Err(fault) => return fault_response(Media::Json, &fault),
        };
        if head.method != Method::GET && head.method != Method::POST {
            return method_not_allowed(media);
        }
        let asked = match decode_request(graphql, &head, &body) {
            Ok(asked) => asked,
            Err(fault) => return fault_response(media, &fault),
        };
        let head = match operation_head(head, received_at, client.clone()) {
            Ok(head) => head,
            Err(fault) => return fault_response(media, &fault),
        };
        let request = GraphQlRequest {
            graphql,
            admitted,
            head: &head,
            media,
            body_memory: memory.map(Rc::new),
        };
        self.answer_operations(request, asked, &body).await
    }

    async fn answer_operations(
        self: &Rc<Self>,
        request: GraphQlRequest<'_>,
        asked: DecodedRequest<'_>,
        body: &Bytes,
    ) -> HttpResponse {
        let (graphql, head) = (request.graphql, request.head);
        match asked {
            DecodedRequest::Single(params) => {
                let text = (!head.is_get).then(|| body.clone());
                match graphql.prepare(&params, text, head) {
                    Ok(ready) => self.answer_operation(request, ready).await,
                    Err(fault) => fault_response(request.media, &fault),
                }
            }
            DecodedRequest::Batch(entries) => {
                let ready = entries
                    .iter()
                    .map(|(params, text)| (params, body.slice_ref(text.as_bytes())))
                    .map(|(params, text)| graphql.prepare(params, Some(text), head))
                    .collect();
                drop(entries);
                self.answer_batch(request, ready).await
            }
        }
    }

    async fn answer_operation(
        self: &Rc<Self>,
        request: GraphQlRequest<'_>,
        ready: PreparedOperation,
    ) -> HttpResponse {
        let AdmittedRequest {
            service, admission, ..
        } = request.admitted;
        let context = OperationContext {
            graphql: request.graphql,
            pool: &service.pool,
            head: request.head,
            batch_deadline: None,
        };
        let permits = OperationPermits {
            body_memory: request.body_memory,
            admission,
        };
        match self.run_operation(context, ready, None, permits).await {
            Ok(reply) => operation_response(reply, request.media),
            Err(error) => request_error_response(request.media, error),
        }
    }
}

/// Finds the operations that a request consists of.
fn decode_request<'a>(
    graphql: &GraphQl,
    head: &Parts,
    body: &'a [u8],
) -> Result<DecodedRequest<'a>, GraphQlError> {
    if head.method == Method::GET {
        return decode::parse_query(head.uri.query().unwrap_or_default())
            .map(DecodedRequest::Single);
    }
    media::check_body(header_text(&head.headers, &header::CONTENT_TYPE))?;
    decode::parse_body(body, &graphql.limits)
}

/// What all operations of a request take from its head.
fn operation_head(
    head: Parts,
    received_at: Instant,
    waiter: Rc<dyn Waiter>,
) -> Result<OperationHead, GraphQlError> {
    let left = time_left(&head.headers).map_err(request_fault)?;
    let path = head
        .uri
        .path_and_query()
        .cloned()
        .ok_or_else(|| GraphQlError::new(GraphQlErrorKind::Request, "no path"))?;
    Ok(OperationHead {
        headers: head.headers,
        path,
        is_get: head.method == Method::GET,
        time_left: left,
        received_at,
        waiter,
    })
}
