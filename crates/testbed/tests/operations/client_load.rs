//! Concurrent clients that count lost requests.

use reelfall_testbed::scripted::{read_request, read_response, Response, WAIT_TIMEOUT};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// One in this many clients opens a connection for each request.
const RECONNECTING_CLIENT_STEP: usize = 3;
/// Client `n` pauses for `n` modulo this number of milliseconds between requests.
const PAUSE_STEPS_MS: usize = 7;

/// Clients that each send requests in sequence until the load is stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    /// Number of requests of all clients that have ended.
    ended: Arc<AtomicUsize>,
    clients: Vec<JoinHandle<LoadReport>>,
}

/// The outcome of the requests of a load.
#[derive(Default)]
pub struct LoadReport {
    /// Number of requests.
    pub requests: usize,
    /// The requests that were not served.
    pub lost: Vec<LostRequest>,
}

/// A request that was not served.
#[derive(Debug)]
#[allow(dead_code, reason = "read by the message of a failed assertion")]
pub struct LostRequest {
    id: String,
    error: RequestError,
}

/// Why a request was not served.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    #[error("the connection could not be opened")]
    Connect(#[source] std::io::Error),
    #[error("send: {sent:?}, response: {response:?}")]
    NotServed {
        sent: std::io::Result<()>,
        response: Option<Response>,
    },
}

impl Load {
    /// Starts the clients. Every third one opens a connection for each request; the others reuse their connections. Their
    /// pauses between requests differ, so that some connections are idle at any time.
    pub fn start(node: SocketAddr, clients: usize) -> Load {
        let (stop, ended) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let start_client = |client| {
            let (stop, ended) = (Arc::clone(&stop), Arc::clone(&ended));
            std::thread::spawn(move || Self::run_client(node, client, &stop, &ended))
        };
        Load {
            clients: (0..clients).map(start_client).collect(),
            stop,
            ended,
        }
    }

    fn run_client(
        node: SocketAddr,
        client: usize,
        stop: &AtomicBool,
        ended: &AtomicUsize,
    ) -> LoadReport {
        let reuses_connection = !client.is_multiple_of(RECONNECTING_CLIENT_STEP);
        let pause = Duration::from_millis((client % PAUSE_STEPS_MS) as u64);
        let mut report = LoadReport::default();
        let mut connection: Option<TcpStream> = None;
        while !stop.load(Ordering::SeqCst) {
            let id = format!("l-{client}-{}", report.requests);
            // A connection that is not reused is closed when the next one has been opened.
            let opened = match connection.take() {
                Some(stream) if reuses_connection => Ok(stream),
                _ => TcpStream::connect(node).map_err(RequestError::Connect),
            };
            match opened.and_then(|stream| Self::request(stream, &id)) {
                Ok(stream) => connection = Some(stream),
                Err(error) => report.lost.push(LostRequest { id, error }),
            }
            report.requests += 1;
            ended.fetch_add(1, Ordering::SeqCst);
            std::thread::sleep(pause);
        }
        report
    }

    /// Sends a request and returns the connection if it was served.
    fn request(mut stream: TcpStream, id: &str) -> Result<TcpStream, RequestError> {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let sent = stream.write_all(read_request(id).as_bytes());
        match read_response(&stream) {
            Some(response) if response.status == 200 && response.body == id => Ok(stream),
            response => Err(RequestError::NotServed { sent, response }),
        }
    }

    /// Waits until more than this number of requests have ended.
    pub fn wait_for_more_than(&self, requests: usize) {
        let started = Instant::now();
        while self.ended.load(Ordering::SeqCst) <= requests {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the clients made no progress"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Stops all clients and adds up their reports.
    pub fn stop(self) -> LoadReport {
        self.stop.store(true, Ordering::SeqCst);
        let mut total = LoadReport::default();
        for client in self.clients {
            let report = client.join().unwrap();
            total.requests += report.requests;
            total.lost.extend(report.lost);
        }
        total
    }
}
