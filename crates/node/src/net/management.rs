//! The management address, which serves one request for each connection independently of the load. Bans and drains are
//! applied to every pool. Served by [`crate::platform`] and [`crate::standalone`].

use super::ledger::LedgerFile;
use super::shared::Shared;
use super::task::AbortOnDrop;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use reelfall_admin::ledger::Ledger;
use reelfall_admin::request::{FleetRequest, ManagementRequest, RequestError};
use reelfall_admin::Time;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Maximum number of concurrent connections. Descriptors for them are reserved, apart from those of clients.
const MAX_CONNECTIONS: usize = 16;
/// How long a connection may last, with its request and its answer.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of the head of a request, in bytes.
const MAX_HEAD_LEN: usize = 8 << 10;
/// How often the ledger is checked for changes by other processes of this node.
const LEDGER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a connection that could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Pause before another attempt to bind the address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The path of a request with its query.
fn path_and_query(uri: &Uri) -> String {
    uri.path_and_query()
        .map_or_else(String::new, ToString::to_string)
}

/// The management address of a node.
pub struct Management {
    shared: Rc<Shared>,
    ledger_file: RefCell<Option<LedgerFile>>,
    /// Whether this process can serve.
    is_ready: Box<dyn Fn() -> bool>,
    /// Answers requests that concern the fleet, if the node is part of one.
    fleet: Option<FleetHandler>,
}

/// Answers requests that concern the fleet.
pub type FleetHandler = Box<dyn Fn(&FleetRequest) -> ManagementResponse>;

impl Management {
    /// Loads the ledger of the node of this name from `folder`; without a folder, bans and drains last as long as the
    /// process.
    pub fn new(
        shared: Rc<Shared>,
        folder: Option<&Path>,
        name: &str,
        is_ready: Box<dyn Fn() -> bool>,
        fleet: Option<FleetHandler>,
    ) -> Rc<Self> {
        let ledger_file = folder.map(|folder| LedgerFile::new(folder, name));
        let management = Management {
            shared,
            ledger_file: RefCell::new(ledger_file),
            is_ready,
            fleet,
        };
        management.reload_ledger();
        Rc::new(management)
    }

    /// Applies what other processes of this node have written to the ledger.
    fn reload_ledger(&self) {
        let Some(ledger_file) = &mut *self.ledger_file.borrow_mut() else {
            return;
        };
        match ledger_file.read_if_changed() {
            Ok(Some(ledger)) => self.shared.apply_ledger(ledger),
            Ok(None) => {}
            Err(error) => self
                .shared
                .log
                .write_line(format_args!("reading the ledger failed: {error}")),
        }
    }

    /// Applies changes of the ledger by other processes for as long as the future is polled.
    pub async fn follow(self: Rc<Self>) {
        loop {
            sleep(LEDGER_POLL_INTERVAL).await;
            self.reload_ledger();
        }
    }

    /// Binds the address, with retries until that succeeds, and answers requests for as long as the future is polled.
    pub async fn serve(self: Rc<Self>, address: SocketAddr) {
        let listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                // Another process has bound it, perhaps an earlier one of this node. Clients are served meanwhile.
                Err(error) => self.shared.log.write_line(format_args!(
                    "binding the management address {address} failed: {error}"
                )),
            }
            sleep(BIND_RETRY_INTERVAL).await;
        };
        self.accept(listener).await;
    }

    /// Answers requests to this listener for as long as the future is polled.
    ///
    /// Each connection has a task of its own, since a client may send nothing or an incomplete request. If there are
    /// more than [`MAX_CONNECTIONS`], the oldest one is closed.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut connections: VecDeque<AbortOnDrop> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                connections.pop_front();
                sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            };
            connections.retain(|connection| !connection.0.is_finished());
            if connections.len() >= MAX_CONNECTIONS {
                connections.pop_front();
            }
            let task = tokio::task::spawn_local(self.clone().serve_connection(stream));
            connections.push_back(AbortOnDrop(task.abort_handle()));
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| {
            let response = self.answer(&request);
            async { Ok::<_, Infallible>(response) }
        });
        let connection = Builder::new()
            .keep_alive(false)
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_LEN)
            .serve_connection(TokioIo::new(stream), service);
        // An error concerns this client only.
        let _ = timeout(CONNECTION_TIMEOUT, connection).await;
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let method = request.method();
        let parsed = ManagementRequest::parse(method.as_str(), &path_and_query(request.uri()));
        let answer = match parsed {
            Err(error) => reject(error),
            Ok(_) if request.body().size_hint().lower() > 0 => {
                ManagementResponse::new(StatusCode::BAD_REQUEST, "calls have no body\n")
            }
            Ok(request) => self.execute(&request),
        };
        answer.into_http(method)
    }

    fn execute(&self, request: &ManagementRequest) -> ManagementResponse {
        let now = self.shared.clock.now();
        match request {
            ManagementRequest::Ready if (self.is_ready)() => ManagementResponse::ok("ready\n"),
            ManagementRequest::Ready => {
                ManagementResponse::new(StatusCode::SERVICE_UNAVAILABLE, "not ready yet\n")
            }
            ManagementRequest::Metrics => {
                ManagementResponse::ok(self.shared.request_events.to_text())
            }
            ManagementRequest::Fleet(request) => match &self.fleet {
                Some(handler) => handler(request),
                None => ManagementResponse::new(
                    StatusCode::NOT_FOUND,
                    "this node is part of no fleet\n",
                ),
            },
            ManagementRequest::Drain => {
                self.change_ledger(|ledger| ledger.drain.begin(now), "draining\n")
            }
            ManagementRequest::Resume => {
                self.change_ledger(|ledger| ledger.drain.end(), "serving\n")
            }
            ManagementRequest::Disable(name) | ManagementRequest::Enable(name)
                if !self.shared.knows_server(name) =>
            {
                let text = "no list has named such a server\n";
                ManagementResponse::new(StatusCode::NOT_FOUND, text)
            }
            ManagementRequest::Disable(name) => self.ban(name, now),
            ManagementRequest::Enable(name) => self.lift_ban(name, now),
        }
    }

    fn ban(&self, server: &str, now: Time) -> ManagementResponse {
        let mut banned = Ok(());
        let response = self.change_ledger(|ledger| banned = ledger.bans.ban(server, now), "out\n");
        match banned {
            Ok(()) => response,
            Err(error) => {
                ManagementResponse::new(StatusCode::INSUFFICIENT_STORAGE, format!("{error}\n"))
            }
        }
    }

    /// Lifts the ban of a server. This succeeds if there is no ban, since the server is in use as the caller wants.
    fn lift_ban(&self, server: &str, now: Time) -> ManagementResponse {
        let lift = |ledger: &mut Ledger| {
            ledger.bans.lift(server, now);
        };
        self.change_ledger(lift, "back\n")
    }

    /// Writes a change to the ledger and then applies it. A change that can't be written is applied too, and the caller
    /// gets an error.
    fn change_ledger(&self, mut change: impl FnMut(&mut Ledger), done: &str) -> ManagementResponse {
        let mut ledger = self.shared.ledger();
        let written = match &mut *self.ledger_file.borrow_mut() {
            Some(ledger_file) => ledger_file.change(&ledger, &mut change),
            None => {
                change(&mut ledger);
                Ok(ledger.clone())
            }
        };
        match written {
            Ok(ledger) => {
                self.shared.apply_ledger(ledger);
                ManagementResponse::ok(done)
            }
            Err(error) => {
                change(&mut ledger);
                self.shared.apply_ledger(ledger);
                let text = format!(
                    "in force in this process, but not written down, so it ends with it: {error}\n"
                );
                ManagementResponse::new(StatusCode::INTERNAL_SERVER_ERROR, text)
            }
        }
    }
}

/// The answer to a management request.
pub struct ManagementResponse {
    status: StatusCode,
    text: String,
}

impl ManagementResponse {
    /// An answer with this status and text.
    pub fn new(status: StatusCode, text: impl Into<String>) -> ManagementResponse {
        let text = text.into();
        ManagementResponse { status, text }
    }

    /// The answer to a request that has succeeded.
    pub fn ok(text: impl Into<String>) -> ManagementResponse {
        ManagementResponse::new(StatusCode::OK, text)
    }

    /// The HTTP form of the answer to a request with this method.
    fn into_http(self, method: &Method) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.text)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if self.status == StatusCode::METHOD_NOT_ALLOWED {
            let allowed = if method == Method::POST {
                "GET"
            } else {
                "POST"
            };
            headers.insert(header::ALLOW, HeaderValue::from_static(allowed));
        }
        response
    }
}

/// The answer to a request that could not be parsed.
fn reject(error: RequestError) -> ManagementResponse {
    let status = StatusCode::from_u16(error.status()).unwrap_or_default();
    ManagementResponse::new(status, format!("{error}\n"))
}
