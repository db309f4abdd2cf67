//! GraphQL over HTTP: each operation of a client's request becomes one request of the engine, and their answers are
//! combined into one answer to the client.
//!
//! [`reelfall_graphql`] parses requests, classifies operations and validates answers; the engine chooses servers and
//! retries. Called by `frontend::request` for services with GraphQL.
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
use super::graphql_operations::{GraphQl, OperationHead, PreparedOperation};
use super::message::Waiter;
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
    error_response, json_response, method_not_allowed, operation_response, request_error_response,
    to_graphql_error, HttpResponse,
};
use std::rc::Rc;
use std::time::Instant;

/// The parts of a client's GraphQL request that all of its operations share.
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
            return json_response(
                StatusCode::BAD_REQUEST,
                Media::Json,
                Bytes::new(),
                Vec::new(),
            );
        }
        let received_at = Instant::now();
        let media = match media::negotiate(header_text(&head.headers, &header::ACCEPT)) {
            Ok(media) => media,
            Err(error) => return error_response(Media::Json, &error),
        };
        if head.method != Method::GET && head.method != Method::POST {
            return method_not_allowed(media);
        }
        let decoded = match decode_request(graphql, &head, &body) {
            Ok(decoded) => decoded,
            Err(error) => return error_response(media, &error),
        };
        let head = match operation_head(head, received_at, client.clone()) {
            Ok(head) => head,
            Err(error) => return error_response(media, &error),
        };
        let request = GraphQlRequest {
            graphql,
            admitted,
            head: &head,
            media,
            body_memory: memory.map(Rc::new),
        };
        self.answer_operations(request, decoded, &body).await
    }

    async fn answer_operations(
        self: &Rc<Self>,
        request: GraphQlRequest<'_>,
        decoded: DecodedRequest<'_>,
        body: &Bytes,
    ) -> HttpResponse {
        let (graphql, head) = (request.graphql, request.head);
        match decoded {
            DecodedRequest::Single(params) => {
                let text = (!head.is_get).then(|| body.clone());
                let prepared = graphql.prepare(&params, text, head);
                // The memory that is reserved for the body does not cover the decoded copy of it.
                drop(params);
                match prepared {
                    Ok(prepared) => self.answer_operation(request, prepared).await,
                    Err(error) => error_response(request.media, &error),
                }
            }
            DecodedRequest::Batch(entries) => {
                let prepared = entries
                    .iter()
                    .map(|(params, text)| (params, body.slice_ref(text.as_bytes())))
                    .map(|(params, text)| graphql.prepare(params, Some(text), head))
                    .collect();
                drop(entries);
                self.answer_batch(request, prepared).await
            }
        }
    }

    async fn answer_operation(
        self: &Rc<Self>,
        request: GraphQlRequest<'_>,
        prepared: PreparedOperation,
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
        match self.run_operation(context, prepared, None, permits).await {
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

/// The parts of a request's head that all of its operations use.
fn operation_head(
    head: Parts,
    received_at: Instant,
    waiter: Rc<dyn Waiter>,
) -> Result<OperationHead, GraphQlError> {
    let seconds_left = time_left(&head.headers).map_err(to_graphql_error)?;
    let path = head
        .uri
        .path_and_query()
        .cloned()
        .ok_or_else(|| GraphQlError::new(GraphQlErrorKind::Request, "no path"))?;
    Ok(OperationHead {
        headers: head.headers,
        path,
        is_get: head.method == Method::GET,
        time_left: seconds_left,
        received_at,
        waiter,
    })
}
