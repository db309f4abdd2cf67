//! The operators' address: one call a connection, answered at once whatever the load, and the operators' word put in
//! force in every pool.

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
use reelfall_operations::call::{self, Call};
use reelfall_operations::fleet::FleetCall;
use reelfall_operations::ledger::Ledger;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Callers at once. Descriptors for them are kept apart from those of clients.
const CALLERS_MOST: usize = 16;
/// A caller has so long for its call, and to take its answer.
const CALL_WITHIN: Duration = Duration::from_secs(5);
/// Largest head of a call.
const HEAD_MOST: usize = 8 << 10;
/// How soon the word given to another process of this node holds here.
const NEWS_EVERY: Duration = Duration::from_millis(100);
/// Pause before an address that could not be had is asked for again.
const BIND_AGAIN: Duration = Duration::from_millis(200);

/// The path of a call with its query.
fn whole(uri: &Uri) -> String {
    uri.path_and_query().map_or_else(String::new, ToString::to_string)
}

/// The operators' word, and what it is put in force on.
pub struct Management {
    shared: Rc<Shared>,
    ledger_file: RefCell<Option<LedgerFile>>,
    /// Whether this process can serve.
    ready: Box<dyn Fn() -> bool>,
    /// Who answers calls that concern the fleet, if the node is part of one.
    fleet: Option<FleetHandler>,
}

/// Answers calls that concern the fleet.
pub type FleetHandler = Box<dyn Fn(&FleetCall) -> (StatusCode, String)>;

impl Management {
    /// Takes over what was written in `folder` for the node of this name; without a folder, the operators' word lasts as
    /// long as the process.
    pub fn new(
        shared: Rc<Shared>, folder: Option<&Path>, name: &str, ready: Box<dyn Fn() -> bool>,
        fleet: Option<FleetHandler>,
    ) -> Rc<Self> {
        let ledger_file = folder.map(|folder| LedgerFile::new(folder, name));
        let management = Management { shared, ledger_file: RefCell::new(ledger_file), ready, fleet };
        management.reload_ledger();
        Rc::new(management)
    }

    /// Applies what other processes of this node were told.
    fn reload_ledger(&self) {
        let Some(ledger_file) = &mut *self.ledger_file.borrow_mut() else { return };
        match ledger_file.read_if_changed() {
            Ok(Some(ledger)) => self.shared.apply_operations(ledger),
            Ok(None) => {}
            Err(e) => self.shared.log.say(format_args!("the ledger: {e}")),
        }
    }

    /// Looks for news for as long as it is polled.
    pub async fn follow(self: Rc<Self>) {
        loop {
            sleep(NEWS_EVERY).await;
            self.reload_ledger();
        }
    }

    /// Answers calls for as long as it is polled.
    ///
    /// Guards against callers that say nothing, or half a call: each has a task of its own, and when there are too many,
    /// the one that has been there longest goes. It ought to bear any number of them, and any load from clients. Harm: a
    /// slow caller is cut off by sixteen quicker ones.
    pub async fn serve(self: Rc<Self>, address: SocketAddr) {
        let listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                // Another's, or an earlier life's: clients are served meanwhile.
                Err(e) => self.shared.log.say(format_args!("operators' address {address}: {e}")),
            }
            sleep(BIND_AGAIN).await;
        };
        self.accept(listener).await;
    }

    /// Answers calls that come here for as long as it is polled.
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
            let task = tokio::task::spawn_local(async move { management.serve_caller(stream).await });
            callers.push_back(AbortOnDrop(task.abort_handle()));
        }
    }

    async fn serve_caller(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| {
            let response = self.answer(&request);
            async { Ok::<_, Infallible>(response) }
        });
        let call = Builder::new()
            .keep_alive(false)
            .header_read_timeout(None)
            .max_buf_size(HEAD_MOST)
            .serve_connection(TokioIo::new(stream), service);
        // How it ended concerns the caller alone.
        let _ = timeout(CALL_WITHIN, call).await;
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let said = match call::read(request.method().as_str(), &whole(request.uri())) {
            Err(fault) => (StatusCode::from_u16(fault.status()).unwrap_or_default(), format!("{fault}\n")),
            Ok(_) if request.body().size_hint().lower() > 0 => {
                (StatusCode::BAD_REQUEST, "calls have no body\n".to_owned())
            }
            Ok(call) => self.execute(&call),
        };
        let mut response = Response::new(Full::new(Bytes::from(said.1)));
        *response.status_mut() = said.0;
        response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if said.0 == StatusCode::METHOD_NOT_ALLOWED {
            let other = if request.method() == Method::POST { "GET" } else { "POST" };
            response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(other));
        }
        response
    }

    fn execute(&self, call: &Call) -> (StatusCode, String) {
        let now = self.shared.clock.now();
        let ok = |text: String| (StatusCode::OK, text);
        match call {
            Call::Ready if (self.ready)() => ok("ready\n".to_owned()),
            Call::Ready => (StatusCode::SERVICE_UNAVAILABLE, "not ready yet\n".to_owned()),
            Call::Fleet(call) => match &self.fleet {
                Some(handler) => handler(call),
                None => (StatusCode::NOT_FOUND, "this node is part of no fleet\n".to_owned()),
            },
            Call::Drain => self.write(|l| l.drain.begin(now), "draining\n"),
            Call::Resume => self.write(|l| l.drain.end(), "serving\n"),
            Call::Disable(name) | Call::Enable(name) if !self.shared.knows(name) => {
                (StatusCode::NOT_FOUND, "no list has named such a server\n".to_owned())
            }
            Call::Disable(name) => {
                let mut full = Ok(());
                let said = self.write(|l| full = l.bans.disable(name, now), "out\n");
                match full {
                    Ok(()) => said,
                    Err(fault) => (StatusCode::INSUFFICIENT_STORAGE, format!("{fault}\n")),
                }
            }
            Call::Enable(name) => {
                // One that is not out is served already, which is what the caller wants.
                let back = |l: &mut Ledger| {
                    l.bans.enable(name, now);
                };
                self.write(back, "back\n")
            }
        }
    }

    /// Writes a change down and puts it in force, in this order; what can't be written down is in force all the same,
    /// and the caller is told no.
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
                let text =
                    format!("in force in this process, but not written down, so it ends with it: {e}\n");
                (StatusCode::INTERNAL_SERVER_ERROR, text)
            }
        }
    }
}
