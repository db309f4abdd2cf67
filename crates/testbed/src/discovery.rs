//! The platform's discovery service: it serves the complete endpoint list on request, and updates on a watch. Used by
//! scenarios, measurements, tests and the command `discovery`.

use crate::{AbortOnDrop, Result};
use bytes::Bytes;
use futures_util::Stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Interval at which an empty line is sent on a watch without updates.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const WATCH_PARAMETER: &str = "watch=1";
const DEFAULT_ZONE: &str = "a";
/// Index of the initial list.
const FIRST_INDEX: u64 = 1;

/// The status of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    /// The server takes requests.
    Active,
    /// The server takes no new requests.
    Draining,
    /// The server is removed from the list.
    Left,
}

impl ServerStatus {
    fn as_str(self) -> &'static str {
        match self {
            ServerStatus::Active => "active",
            ServerStatus::Draining => "draining",
            ServerStatus::Left => "left",
        }
    }
}

/// A server in the list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// Name by which the node identifies the server.
    pub name: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Status of the server in the list.
    pub status: ServerStatus,
    /// Time since which the server has had this status, in Unix milliseconds; 0 for long ago.
    pub since_ms: u64,
    /// Zone in which the server runs.
    pub zone: String,
}

impl ListedServer {
    /// A server in the default zone that has been active for a long time.
    pub fn active(name: &str, address: SocketAddr) -> ListedServer {
        ListedServer {
            name: name.to_owned(),
            address,
            status: ServerStatus::Active,
            since_ms: 0,
            zone: DEFAULT_ZONE.to_owned(),
        }
    }

    fn to_json(&self) -> Value {
        json!({
            "name": self.name, "address": self.address.to_string(), "zone": self.zone, "type": "k", "group": 1,
            "status": self.status.as_str(), "weight": 1.0, "since_ms": self.since_ms,
        })
    }
}

/// The current list and its index.
struct ServerList {
    index: u64,
    servers: Vec<ListedServer>,
}

impl ServerList {
    fn snapshot(&self) -> String {
        message(self.index, true, &self.servers)
    }

    /// Adds, replaces or removes the changed servers. Returns the update to send to watches.
    fn apply(&mut self, changed: &[ListedServer]) -> String {
        self.index += 1;
        for server in changed {
            self.servers.retain(|listed| listed.name != server.name);
            if server.status != ServerStatus::Left {
                self.servers.push(server.clone());
            }
        }
        message(self.index, false, changed)
    }
}

fn message(index: u64, is_snapshot: bool, servers: &[ListedServer]) -> String {
    let endpoints: Vec<Value> = servers.iter().map(ListedServer::to_json).collect();
    json!({ "index": index, "snapshot": is_snapshot, "endpoints": endpoints }).to_string()
}

type SharedList = Arc<Mutex<ServerList>>;

fn lock(list: &SharedList) -> MutexGuard<'_, ServerList> {
    list.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running discovery service. Dropping it stops the service.
pub struct Discovery {
    /// Address on which the service listens.
    pub address: SocketAddr,
    list: SharedList,
    updates: watch::Sender<String>,
    _accept_task: AbortOnDrop,
}

impl Discovery {
    /// Starts the service with an initial list.
    ///
    /// # Errors
    /// If no port is available.
    pub async fn start(servers: Vec<ListedServer>) -> Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let list = Arc::new(Mutex::new(ServerList {
            index: FIRST_INDEX,
            servers,
        }));
        let (updates, _) = watch::channel(String::new());
        let accept_task = crate::spawn(accept_connections(listener, list.clone(), updates.clone()));
        Ok(Discovery {
            address,
            list,
            updates,
            _accept_task: accept_task,
        })
    }

    /// Adds, replaces or removes the changed servers, and sends the update to every watch.
    pub fn update(&self, changed: &[ListedServer]) {
        let mut list = lock(&self.list);
        let update = list.apply(changed);
        self.updates.send_replace(update);
    }
}

async fn accept_connections(
    listener: TcpListener,
    list: SharedList,
    updates: watch::Sender<String>,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        connections.spawn(serve_connection(stream, list.clone(), updates.subscribe()));
    }
}

async fn serve_connection(stream: TcpStream, list: SharedList, updates: watch::Receiver<String>) {
    let service = service_fn(|request| respond(request, list.clone(), updates.clone()));
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn respond(
    request: Request<Incoming>,
    list: SharedList,
    updates: watch::Receiver<String>,
) -> std::result::Result<Response<BoxBody<Bytes, Infallible>>, Infallible> {
    let snapshot = lock(&list).snapshot();
    let is_watch = request
        .uri()
        .query()
        .is_some_and(|query| query.contains(WATCH_PARAMETER));
    let body = if is_watch {
        BodyExt::boxed(StreamBody::new(watch_lines(snapshot, updates)))
    } else {
        Full::new(Bytes::from(snapshot)).boxed()
    };
    Ok(Response::new(body))
}

/// The lines of a watch: first the complete list, so that no update between two requests is missed, then updates and
/// heartbeats.
fn watch_lines(
    snapshot: String,
    updates: watch::Receiver<String>,
) -> impl Stream<Item = std::result::Result<Frame<Bytes>, Infallible>> {
    let frame = |line: String| Ok(Frame::data(Bytes::from(line + "\n")));
    let start = (Some(snapshot), updates);
    futures_util::stream::unfold(start, move |(snapshot, mut updates)| async move {
        if let Some(snapshot) = snapshot {
            updates.mark_unchanged();
            return Some((frame(snapshot), (None, updates)));
        }
        let line = match tokio::time::timeout(HEARTBEAT_INTERVAL, updates.changed()).await {
            Ok(Ok(())) => updates.borrow_and_update().clone(),
            Ok(Err(_)) => return None,
            Err(_) => String::new(),
        };
        Some((frame(line), (None, updates)))
    })
}
