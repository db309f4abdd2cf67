//! Failures at chosen moments, over HTTP, for whoever plays with the stand-in by hand or from another process.
//!
//! `GET /state`; `POST /kill?session=ID`, `/freeze?member=1&on=1`, `/drop?member=1&on=1`, `/delay?member=1&ms=50`,
//! `/lag?member=1&ms=50`, `/lose?watches=3`. Members count from 1, as they are named.

use super::Registry;
use crate::Result;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Serves until it is dropped.
///
/// # Errors
/// If the listener breaks.
pub async fn serve(listener: TcpListener, registry: Arc<Registry>) -> Result<()> {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await?;
        while connections.try_join_next().is_some() {}
        let registry = registry.clone();
        connections.spawn(async move {
            let answer = service_fn(|request| respond(registry.clone(), request));
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), answer)
                .await;
        });
    }
}

async fn respond(
    registry: Arc<Registry>,
    request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let (status, said) = match act(&registry, &request) {
        Some(said) => (StatusCode::OK, said),
        None => (
            StatusCode::BAD_REQUEST,
            json!({ "error": "no such control, or not so" }),
        ),
    };
    let mut response = Response::new(Full::new(Bytes::from(said.to_string() + "\n")));
    *response.status_mut() = status;
    Ok(response)
}

fn act(registry: &Registry, request: &Request<Incoming>) -> Option<serde_json::Value> {
    let query: HashMap<String, String> =
        form_urlencoded::parse(request.uri().query().unwrap_or_default().as_bytes())
            .into_owned()
            .collect();
    let number = |name: &str| query.get(name)?.parse::<i64>().ok();
    let member = || number("member").and_then(|m| usize::try_from(m - 1).ok());
    let ms = || {
        number("ms")
            .and_then(|ms| u64::try_from(ms).ok())
            .map(Duration::from_millis)
    };
    let on = || number("on").map(|n| n != 0);
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/state") => {
            let counts = registry.counts();
            let sessions: Vec<String> = registry.sessions().iter().map(i64::to_string).collect();
            return Some(
                json!({ "sessions": sessions, "requests": counts.requests, "expired": counts.expired,
                "fired": counts.fired, "bytes": counts.bytes }),
            );
        }
        (&Method::POST, "/kill") => {
            return Some(json!({ "killed": registry.kill(number("session")?) }))
        }
        (&Method::POST, "/freeze") => registry.freeze(member()?, on()?),
        (&Method::POST, "/drop") => registry.drop_member(member()?, on()?),
        (&Method::POST, "/delay") => registry.delay(member()?, ms()?),
        (&Method::POST, "/lag") => registry.lag(member()?, ms()?),
        (&Method::POST, "/lose") => registry.lose_watches(u64::try_from(number("watches")?).ok()?),
        _ => return None,
    }
    Some(json!({ "done": true }))
}
