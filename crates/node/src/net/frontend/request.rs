//! One request of a client: finding its service, reading its body, submitting it to the engine and answering it.
//!
//! [`Frontend::request`] is called by `accept` for every request on a connection.

use super::error::RequestError;
use super::health::HEALTH_PATH;
use super::pending::CancelOnDrop;
use super::reply::{respond, set_connection_close, timed_out};
use super::request_body::{discard, RequestBody};
use super::text_response::text_response;
use super::translate::{AdmittedRequest, TranslatedRequest};
use super::Frontend;
use crate::net::answer::ResponseBody;
use crate::net::body::StreamedBody;
use crate::net::client::{Client, Phase};
use crate::net::message::{Waiter, CORRELATION_ID};
use crate::net::pool::Pool;
use crate::net::service::{Routing, Service};
use hyper::body::Incoming;
use hyper::header;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use std::convert::Infallible;
use std::rc::Rc;

/// Path of all requests to the service of a node without routes.
const PLATFORM_PATH: &str = "/api";

impl Frontend {
    /// Answers one request.
    pub(super) async fn request(
        self: Rc<Self>,
        request: Request<Incoming>,
        client: Rc<Client>,
    ) -> Result<Response<ResponseBody>, Infallible> {
        let (head, body) = request.into_parts();
        let routing = self.routing.borrow().clone();
        let path = head.uri.path();
        let mut response = match &*routing {
            Routing::Single(service) if path == HEALTH_PATH => self.platform_health(service),
            Routing::Single(service) if is_platform_path(path) => {
                let admitted = AdmittedRequest::without_route(service.clone());
                drop(routing);
                self.forward(admitted, head, body, &client).await
            }
            Routing::Single(_) => text_response(StatusCode::NOT_FOUND, "no such path\n"),
            Routing::Table(table) => match health_subpath(path) {
                Some(subpath) => self.routed_health(table, subpath),
                None => {
                    let admitted = self
                        .admit(table, &head, &client)
                        .map_err(|error| self.admission_error_response(error));
                    drop(routing);
                    match admitted {
                        Ok(admitted) => self.forward(admitted, head, body, &client).await,
                        Err(rejection) => reject(rejection, body).await,
                    }
                }
            },
        };
        if self.must_close(&response, &client) {
            set_connection_close(&mut response);
        }
        client.is_streaming.set(response.body().is_streamed());
        let answer_open_flag = response.body().open_flag();
        client.answer_open_flag.replace(answer_open_flag);
        client.answer_memory.replace(response.body().memory());
        client.set_phase(Phase::Answering);
        Ok(response)
    }

    /// Whether the connection of a client ends with this answer.
    fn must_close(&self, response: &Response<ResponseBody>, client: &Client) -> bool {
        let is_routed = matches!(&**self.routing.borrow(), Routing::Table(_));
        // With routes, one connection can carry requests to several services; one unknown route, or one service at its
        // rate limit, does not affect the others.
        let concerns_one_service = is_routed
            && matches!(
                response.status(),
                StatusCode::NOT_FOUND | StatusCode::TOO_MANY_REQUESTS
            );
        // A client that sends invalid requests has to reconnect for each of them.
        let is_unusable = response.status().is_client_error() && !concerns_one_service;
        self.is_stopping.get()
            || self.shared.is_draining()
            || is_unusable
            || client.close_when_idle.get()
    }

    /// Answers an admitted request through its service.
    async fn forward(
        self: &Rc<Self>,
        admitted: AdmittedRequest,
        head: Parts,
        body: Incoming,
        client: &Rc<Client>,
    ) -> Response<ResponseBody> {
        // The request filter does not inspect what follows a chunked body on the connection.
        let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        let pool = admitted.service.pool.clone();
        let graphql = admitted.service.graphql.borrow().clone();
        let mut response = match graphql {
            Some(graphql) => self.graphql(&graphql, admitted, head, body, client).await,
            None => {
                self.forward_plain(&pool, admitted, head, body, client)
                    .await
            }
        };
        if is_chunked {
            set_connection_close(&mut response);
        }
        response
    }

    async fn forward_plain(
        self: &Rc<Self>,
        pool: &Rc<Pool>,
        admitted: AdmittedRequest,
        head: Parts,
        body: Incoming,
        client: &Rc<Client>,
    ) -> Response<ResponseBody> {
        // The head is checked only after the body was read, since an answer that is sent while input is unread may be
        // lost.
        let service_id = admitted.service.service_id;
        let body = match self.buffer_or_stream(body, service_id).await {
            Ok(body) => body,
            Err(error) => return error.response(),
        };
        let streamed_body = body.payload.streamed().cloned();
        client.set_phase(match streamed_body {
            Some(_) => Phase::Streaming,
            None => Phase::AwaitingAnswer,
        });
        let upload_end = end_upload(streamed_body.as_deref(), client);
        let submission = self.submit(pool, admitted, head, body, client);
        let mut response = tokio::select! {
            response = submission => response.unwrap_or_else(RequestError::response),
            never = upload_end => match never {},
        };
        if streamed_body.is_some_and(|body| !body.is_complete()) {
            // The rest of the body is not read, so the start of the next request is unknown.
            client.was_answered_early.set(true);
            set_connection_close(&mut response);
        }
        response
    }

    /// Submits a request to the engine and waits for its final answer.
    async fn submit(
        self: &Rc<Self>,
        pool: &Rc<Pool>,
        admitted: AdmittedRequest,
        head: Parts,
        body: RequestBody,
        client: &Rc<Client>,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let correlation_id = head.headers.get(CORRELATION_ID).cloned();
        let TranslatedRequest { message, arrival } =
            self.translate(admitted, head, body, client.clone())?;
        if client.has_disconnected() {
            return Err(RequestError::ClientLeft);
        }
        let deadline = arrival.deadline;
        if self.is_exit_imminent() {
            return Ok(timed_out());
        }
        let (id, answer) = pool.submit(message, arrival);
        let mut cancel_on_drop = CancelOnDrop::new(pool, id);
        match self.wait_for_answer(pool, deadline, answer).await {
            Some(Ok(reply)) => {
                cancel_on_drop.disarm();
                self.record_final_answer(correlation_id.as_ref(), Some(&reply));
                Ok(respond(reply))
            }
            _ => {
                self.record_final_answer(correlation_id.as_ref(), None);
                Ok(timed_out())
            }
        }
    }
}

impl AdmittedRequest {
    fn without_route(service: Rc<Service>) -> Self {
        AdmittedRequest {
            service,
            assigned_class: None,
            is_routed: false,
            admission: None,
        }
    }
}

/// Enters [`Phase::AwaitingAnswer`] once a streamed body is complete: nothing more is expected from the client then. Ends the
/// body if its client is rejected before.
async fn end_upload(body: Option<&StreamedBody>, client: &Client) -> Infallible {
    if let Some(body) = body {
        tokio::select! {
            () = body.wait_for_end() => {}
            () = client.rejected.notified() => body.abort(),
        }
        if body.is_complete() {
            client.set_phase(Phase::AwaitingAnswer);
        }
    }
    std::future::pending().await
}

fn is_platform_path(path: &str) -> bool {
    path.strip_prefix(PLATFORM_PATH)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// The part of a path after [`HEALTH_PATH`]; `None` for any other path.
fn health_subpath(path: &str) -> Option<&str> {
    path.strip_prefix(HEALTH_PATH)
        .filter(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Answers a request that was not admitted, after its body was read.
async fn reject(rejection: Response<ResponseBody>, body: Incoming) -> Response<ResponseBody> {
    match discard(body).await {
        Ok(()) => rejection,
        Err(error) => error.response(),
    }
}
