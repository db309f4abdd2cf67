//! The management address: one request a connection, answered at once whatever the load, and bans and drains applied to
//! every pool.

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
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Maximum number of concurrent connections. Descriptors for them are kept apart from those of clients.
const CALLERS_MOST: usize = 16;
/// How long a connection may last, with its request and its answer.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of the head of a request.
const HEAD_MOST: usize = 8 << 10;
/// How often the ledger is checked for changes by other processes of this node.
const LEDGER_POLL_INTERVAL: Duration = Duration::from_millis(100);
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
    ready: Box<dyn Fn() -> bool>,
    /// Answers requests that concern the fleet, if the node is part of one.
    fleet: Option<FleetHandler>,
}

/// Answers requests that concern the fleet.
pub type FleetHandler = Box<dyn Fn(&FleetRequest) -> (StatusCode, String)>;

impl Management {
    /// Loads the ledger of the node of this name from `folder`; without a folder, bans and drains last as long as the
    /// process.
    pub fn new(
        shared: Rc<Shared>,
        folder: Option<&Path>,
        name: &str,
        ready: Box<dyn Fn() -> bool>,
        fleet: Option<FleetHandler>,
    ) -> Rc<Self> {
        let ledger_file = folder.map(|folder| LedgerFile::new(folder, name));
        let management = Management {
            shared,
            ledger_file: RefCell::new(ledger_file),
            ready,
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
            Ok(Some(ledger)) => self.shared.apply_operations(ledger),
            Ok(None) => {}
            Err(e) => self.shared.log.write_line(format_args!("the ledger: {e}")),
        }
    }

    /// Follows the ledger for as long as it is polled.
    pub async fn follow(self: Rc<Self>) {
        loop {
            sleep(LEDGER_POLL_INTERVAL).await;
            self.reload_ledger();
        }
    }

    /// Answers requests for as long as it is polled.
    ///
    /// Guards against callers that send nothing, or half a request: each has a task of its own, and when there are too many,
    /// the one that has been there longest goes. It ought to bear any number of them, and any load from clients. Harm: a
    /// slow caller is cut off by sixteen quicker ones.
    pub async fn serve(self: Rc<Self>, address: SocketAddr) {
        let listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                // Another's, or an earlier life's: clients are served meanwhile.
                Err(e) => self
                    .shared
                    .log
                    .write_line(format_args!("operators' address {address}: {e}")),
            }
            sleep(BIND_RETRY_INTERVAL).await;
        };
        self.accept(listener).await;
    }

    /// Answers requests that come to this listener for as long as it is polled.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<AbortOnDrop> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                callers.pop_front();
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            callers.retain(|c| !c.0.is_finished());
            if callers.len() >= CALLERS_MOST {
                callers.pop_front();
            }
            let management = self.clone();
            let task =
                tokio::task::spawn_local(async move { management.serve_connection(stream).await });
            callers.push_back(AbortOnDrop(task.abort_handle()));
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
            .max_buf_size(HEAD_MOST)
            .serve_connection(TokioIo::new(stream), service);
        // How it ended concerns the caller alone.
        let _ = timeout(CONNECTION_TIMEOUT, connection).await;
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let (status, text) = match ManagementRequest::parse(
            request.method().as_str(),
            &path_and_query(request.uri()),
        ) {
            Err(error) => error_response(error),
            Ok(_) if request.body().size_hint().lower() > 0 => {
                (StatusCode::BAD_REQUEST, "calls have no body\n".to_owned())
            }
            Ok(request) => self.execute(&request),
        };
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if status == StatusCode::METHOD_NOT_ALLOWED {
            let other = if request.method() == Method::POST {
                "GET"
            } else {
                "POST"
            };
            response
                .headers_mut()
                .insert(header::ALLOW, HeaderValue::from_static(other));
        }
        response
    }

    fn execute(&self, request: &ManagementRequest) -> (StatusCode, String) {
        let now = self.shared.clock.now();
        let ok = |text: String| (StatusCode::OK, text);
        match request {
            ManagementRequest::Ready if (self.ready)() => ok("ready\n".to_owned()),
            ManagementRequest::Ready => (
                StatusCode::SERVICE_UNAVAILABLE,
                "not ready yet\n".to_owned(),
            ),
            ManagementRequest::Fleet(request) => match &self.fleet {
                Some(handler) => handler(request),
                None => (
                    StatusCode::NOT_FOUND,
                    "this node is part of no fleet\n".to_owned(),
                ),
            },
            ManagementRequest::Drain => self.write(|l| l.drain.begin(now), "draining\n"),
            ManagementRequest::Resume => self.write(|l| l.drain.end(), "serving\n"),
            ManagementRequest::Disable(name) | ManagementRequest::Enable(name)
                if !self.shared.knows_server(name) =>
            {
                (
                    StatusCode::NOT_FOUND,
                    "no list has named such a server\n".to_owned(),
                )
            }
            ManagementRequest::Disable(name) => {
                let mut result = Ok(());
                let response = self.write(|l| result = l.bans.disable(name, now), "out\n");
                match result {
                    Ok(()) => response,
                    Err(fault) => (StatusCode::INSUFFICIENT_STORAGE, format!("{fault}\n")),
                }
            }
            ManagementRequest::Enable(name) => {
                // One that is not out is served already, which is what the caller wants.
                let lift_ban = |l: &mut Ledger| {
                    l.bans.enable(name, now);
                };
                self.write(lift_ban, "back\n")
            }
        }
    }

    /// Writes a change to the ledger and applies it, in this order; what can't be written is applied all the same, and the
    /// caller gets an error.
    fn write(&self, mut change: impl FnMut(&mut Ledger), done: &str) -> (StatusCode, String) {
        let mut ledger = self.shared.operations();
        let result = match &mut *self.ledger_file.borrow_mut() {
            Some(ledger_file) => ledger_file.change(&ledger, &mut change),
            None => {
                change(&mut ledger);
                Ok(ledger.clone())
            }
        };
        match result {
            Ok(ledger) => {
                self.shared.apply_operations(ledger);
                (StatusCode::OK, done.to_owned())
            }
            Err(e) => {
                change(&mut ledger);
                self.shared.apply_operations(ledger);
                let text = format!(
                    "in force in this process, but not written down, so it ends with it: {e}\n"
                );
                (StatusCode::INTERNAL_SERVER_ERROR, text)
            }
        }
    }
}

/// The answer to a request that is rejected.
fn error_response(error: RequestError) -> (StatusCode, String) {
    (
        StatusCode::from_u16(error.status()).unwrap_or_default(),
        format!("{error}\n"),
    )
}
