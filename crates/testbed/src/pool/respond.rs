//! Handles one request at a server. Called by `server` for each request on a connection.

use super::app::{AppResponse, Completion};
use super::response::{self, ConnectionClosed, ResponseBody};
use super::server_state::{lock, RequestEvent, ServerState};
use super::work::{self, WorkOutcome};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::sync::Arc;

/// Header that holds the id of a request.
const CORRELATION_ID: &str = "x-correlation-id";

/// Handles a request; on an error the connection is closed.
pub(super) async fn respond(
    state: Arc<ServerState>,
    request: Request<Incoming>,
) -> std::result::Result<Response<ResponseBody>, ConnectionClosed> {
    state.count_request();
    if !state.admit() {
        return Err(ConnectionClosed);
    }
    let id = correlation_id(request.headers());
    state.notify(&id, RequestEvent::Received);
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ConnectionClosed)?;
    let mut app_response = match &state.app {
        Some(app) => app(&head, &body.to_bytes()),
        None => echo_id(id),
    };
    let effect_ids = std::mem::take(&mut app_response.effect_ids);
    let completion = app_response.completion;
    // Runs as a separate task so that the work continues if the client disconnects.
    let worker_state = state.clone();
    let work =
        tokio::spawn(async move { work::process(&worker_state, &effect_ids, completion).await });
    let outcome = work.await.map_err(|_| ConnectionClosed)?;
    finish(&state, app_response, outcome)
}

fn correlation_id(headers: &HeaderMap) -> String {
    headers
        .get(CORRELATION_ID)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_owned()
}

/// The response of a server without an application: the request id, which is also the id of its only effect.
fn echo_id(id: String) -> AppResponse {
    AppResponse {
        effect_ids: vec![id.clone()],
        status: StatusCode::OK,
        body: id,
        completion: Completion::AsConfigured,
    }
}

fn finish(
    state: &ServerState,
    app_response: AppResponse,
    outcome: WorkOutcome,
) -> std::result::Result<Response<ResponseBody>, ConnectionClosed> {
    let behavior = lock(&state.behavior).clone();
    let AppResponse { status, body, .. } = app_response;
    match outcome {
        WorkOutcome::Completed => {
            let padding = "x".repeat(behavior.padding_len);
            Ok(response::full(status, body + &padding))
        }
        WorkOutcome::Corrupted => Ok(response::corrupt(&body, behavior.corruption)),
        WorkOutcome::Failed => Ok(response::failed()),
        WorkOutcome::Shed => Ok(response::shed()),
        WorkOutcome::Truncated => Ok(response::truncated(status, &body)),
        WorkOutcome::ConnectionClosed => Err(ConnectionClosed),
    }
}
