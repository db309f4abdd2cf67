//! One request at a server: its work, its effects, its answer.

use super::manner::{Done, End, Manner, Spoil};
use super::state::{lock, State};
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The connection is closed without an answer.
#[derive(Debug)]
pub(super) struct Died;

impl std::fmt::Display for Died {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("the server died")
    }
}

impl std::error::Error for Died {}

pub(super) type Body = BoxBody<Bytes, Died>;

fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(
        Full::new(body.into())
            .map_err(|never| match never {})
            .boxed(),
    );
    *response.status_mut() = status;
    response
}

/// An answer that states its whole length, and of which half comes.
fn cut(status: StatusCode, body: &str) -> Response<Body> {
    let half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    let parts = [Ok(Frame::data(half)), Err(Died)];
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(futures_util::stream::iter(
        parts,
    ))));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_LENGTH, body.len().into());
    response
}

pub(super) async fn respond(
    state: Arc<State>,
    request: Request<Incoming>,
) -> std::result::Result<Response<Body>, Died> {
    {
        let mut counts = lock(&state.counts);
        counts.seen += 1;
        counts.last_seen = Some(Instant::now());
    }
    if !state.bears() {
        return Err(Died);
    }
    let id = request
        .headers()
        .get("x-correlation-id")
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
        .to_owned();
    state.tell(&id, false);
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Died)?.to_bytes();
    let app = match &state.app {
        Some(app) => app(&head, &body),
        None => Done {
            effects: vec![id.clone()],
            status: StatusCode::OK,
            body: id,
            end: End::Manner,
        },
    };
    // The work goes on if the client leaves, so it is a task of its own.
    let (working, effects) = (state.clone(), app.effects);
    let end = app.end;
    let done = tokio::spawn(async move { work(&working, &effects, end).await }).await;
    let Manner { padding, spoil, .. } = lock(&state.manner).clone();
    match done.map_err(|_| Died)? {
        Work::Done => Ok(answer(
            app.status,
            if padding > 0 {
                app.body + &"x".repeat(padding)
            } else {
                app.body
            },
        )),
        Work::Spoilt => {
            let body = match spoil {
                Spoil::Half => app
                    .body
                    .chars()
                    .take(app.body.chars().count() / 2)
                    .collect(),
                Spoil::Noise => "<html>oops</html>".to_owned(),
                Spoil::Other => "{\"data\":{\"somebodyElses\":1}}".to_owned(),
            };
            Ok(answer(StatusCode::OK, body))
        }
        Work::Failed => Ok(answer(StatusCode::INTERNAL_SERVER_ERROR, "failed\n")),
        Work::Shed => {
            let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
            response.headers_mut().insert(
                "x-unprocessed",
                hyper::header::HeaderValue::from_static("1"),
            );
            Ok(response)
        }
        Work::Cut => Ok(cut(app.status, &app.body)),
        Work::Died => Err(Died),
    }
}

enum Work {
    Done,
    Failed,
    Spoilt,
    Shed,
    Cut,
    Died,
}

async fn work(state: &State, effects: &[String], end: End) -> Work {
    let manner = lock(&state.manner).clone();
    let fate = lock(&state.draw).fraction();
    while lock(&state.manner).frozen {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut upto = manner.shed;
    if fate < upto {
        return Work::Shed;
    }
    upto += manner.die_before;
    if fate < upto || end == End::DieBefore {
        return Work::Died;
    }
    upto += manner.fail;
    if fate < upto {
        effects.iter().for_each(|id| state.count(id));
        return Work::Failed;
    }
    let Ok(_worker) = state.workers.acquire().await else {
        return Work::Died;
    };
    effects.iter().for_each(|id| state.count(id));
    upto += manner.die_after;
    if fate < upto || end == End::DieAfter {
        return Work::Died;
    }
    tokio::time::sleep(manner.service).await;
    if end == End::CutAnswer {
        return Work::Cut;
    }
    upto += manner.spoilt;
    if fate < upto {
        return Work::Spoilt;
    }
    Work::Done
}
