//! HTTP interface that injects faults into a registry, for the demo and for other processes.
//!
//! `GET /state`; `POST /kill?session=ID`, `/freeze?member=1&on=1`, `/drop?member=1&on=1`, `/delay?member=1&ms=50`,
//! `/lag?member=1&ms=50`, `/lose?watches=3`. Members are numbered from 1.

use super::Registry;
use crate::Result;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Serves the control interface for as long as the future is polled.
///
/// # Errors
/// Fails if accepting a connection fails.
pub async fn serve(listener: TcpListener, registry: Arc<Registry>) -> Result<()> {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await?;
        while connections.try_join_next().is_some() {}
        let registry = registry.clone();
        connections.spawn(async move {
            let service = service_fn(|request| respond(registry.clone(), request));
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn respond(
    registry: Arc<Registry>,
    request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let (status, body) = match execute(&registry, &request) {
        Some(body) => (StatusCode::OK, body),
        None => (
            StatusCode::BAD_REQUEST,
            json!({ "error": "no such control, or not so" }),
        ),
    };
    let mut response = Response::new(Full::new(Bytes::from(body.to_string() + "\n")));
    *response.status_mut() = status;
    Ok(response)
}

/// The query parameters of a request.
struct Query {
    parameters: HashMap<String, String>,
}

impl Query {
    fn parse(request: &Request<Incoming>) -> Query {
        let query = request.uri().query().unwrap_or_default();
        let parameters = form_urlencoded::parse(query.as_bytes());
        Query {
            parameters: parameters.into_owned().collect(),
        }
    }

    fn number(&self, name: &str) -> Option<i64> {
        self.parameters.get(name)?.parse().ok()
    }

    /// The parameter `member` as an index that starts at 0.
    fn member(&self) -> Option<usize> {
        usize::try_from(self.number("member")? - 1).ok()
    }

    fn duration(&self) -> Option<Duration> {
        let milliseconds = u64::try_from(self.number("ms")?).ok()?;
        Some(Duration::from_millis(milliseconds))
    }

    fn is_on(&self) -> Option<bool> {
        Some(self.number("on")? != 0)
    }
}

/// Executes a control request; `None` if the path is unknown or a parameter is missing or invalid.
fn execute(registry: &Registry, request: &Request<Incoming>) -> Option<Value> {
    let query = Query::parse(request);
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/state") => return Some(state(registry)),
        (&Method::POST, "/kill") => {
            let is_killed = registry.expire_session(query.number("session")?);
            return Some(json!({ "killed": is_killed }));
        }
        (&Method::POST, "/freeze") => {
            registry.set_member_frozen(query.member()?, query.is_on()?);
        }
        (&Method::POST, "/drop") => registry.set_member_down(query.member()?, query.is_on()?),
        (&Method::POST, "/delay") => {
            registry.set_response_delay(query.member()?, query.duration()?);
        }
        (&Method::POST, "/lag") => {
            registry.set_replication_lag(query.member()?, query.duration()?);
        }
        (&Method::POST, "/lose") => {
            let count = u64::try_from(query.number("watches")?).ok()?;
            registry.drop_watch_events(count);
        }
        _ => return None,
    }
    Some(json!({ "done": true }))
}

fn state(registry: &Registry) -> Value {
    let counters = registry.counters();
    let sessions: Vec<String> = registry.sessions().iter().map(i64::to_string).collect();
    json!({
        "sessions": sessions,
        "requests": counters.requests,
        "expired": counters.expired_sessions,
        "fired": counters.watch_events,
        "bytes": counters.bytes_sent,
    })
}
