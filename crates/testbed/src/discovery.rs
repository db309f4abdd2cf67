//! The platform's list of servers: whole on request, and changes on a watch.

use crate::{AbortOnDrop, Result};
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// A line of the list.
#[derive(Clone, Debug)]
pub struct Listed {
    /// The server's name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// `active`, `draining` or `left`.
    pub status: &'static str,
    /// Since when, in milliseconds of Unix time; 0 for long ago.
    pub since_ms: u64,
    /// Its zone.
    pub zone: String,
}

impl Listed {
    /// One that has been active for long.
    pub fn active(name: &str, address: SocketAddr) -> Listed {
        Listed {
            name: name.to_owned(),
            address,
            status: "active",
            since_ms: 0,
            zone: "a".to_owned(),
        }
    }
}

/// The list service. It ends when this is dropped.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    list: Arc<Mutex<(u64, Vec<Listed>)>>,
    told: watch::Sender<String>,
    _task: AbortOnDrop,
}

fn text(index: u64, whole: bool, lines: &[Listed]) -> String {
    let line = |l: &Listed| {
        serde_json::json!({
            "name": l.name, "address": l.address.to_string(), "zone": l.zone, "type": "k", "group": 1,
            "status": l.status, "weight": 1.0, "since_ms": l.since_ms,
        })
    };
    let lines: Vec<_> = lines.iter().map(line).collect();
    serde_json::json!({ "index": index, "snapshot": whole, "endpoints": lines }).to_string()
}

impl Discovery {
    /// Starts with a list.
    ///
    /// # Errors
    /// If no port is to be had.
    pub async fn start(list: Vec<Listed>) -> Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let list = Arc::new(Mutex::new((1, list)));
        let (told, _) = watch::channel(String::new());
        let (serving, sender) = (list.clone(), told.clone());
        let task = crate::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    continue;
                };
                while connections.try_join_next().is_some() {}
                let (list, told) = (serving.clone(), sender.subscribe());
                connections.spawn(async move {
                    let answer =
                        service_fn(move |request| respond(request, list.clone(), told.clone()));
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), answer)
                        .await;
                });
            }
        });
        Ok(Discovery {
            address,
            list,
            told,
            _task: task,
        })
    }

    /// Changes lines of the list and tells every watch.
    pub fn tell(&self, lines: &[Listed]) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        list.0 += 1;
        for line in lines {
            list.1.retain(|l| l.name != line.name);
            if line.status != "left" {
                list.1.push(line.clone());
            }
        }
        self.told.send_replace(text(list.0, false, lines));
    }
}

async fn respond(
    request: Request<Incoming>,
    list: Arc<Mutex<(u64, Vec<Listed>)>>,
    told: watch::Receiver<String>,
) -> std::result::Result<Response<BoxBody<Bytes, Infallible>>, Infallible> {
    let now = {
        let list = list.lock().unwrap_or_else(PoisonError::into_inner);
        text(list.0, true, &list.1)
    };
    if !request.uri().query().is_some_and(|q| q.contains("watch=1")) {
        return Ok(Response::new(Full::new(Bytes::from(now)).boxed()));
    }
    // The whole list first, so that nothing between two requests is missed; then changes, and word of life.
    let lines = lines(now, told);
    Ok(Response::new(BodyExt::boxed(StreamBody::new(lines))))
}

fn lines(
    first: String,
    told: watch::Receiver<String>,
) -> impl futures_util::Stream<Item = std::result::Result<Frame<Bytes>, Infallible>> {
    let frame = |line: String| Ok(Frame::data(Bytes::from(line + "\n")));
    futures_util::stream::unfold((Some(first), told), move |(first, mut told)| async move {
        if let Some(first) = first {
            told.mark_unchanged();
            return Some((frame(first), (None, told)));
        }
        let line = match tokio::time::timeout(Duration::from_secs(1), told.changed()).await {
            Ok(Ok(())) => told.borrow_and_update().clone(),
            Ok(Err(_)) => return None,
            Err(_) => String::new(),
        };
        Some((frame(line), (None, told)))
    })
}
