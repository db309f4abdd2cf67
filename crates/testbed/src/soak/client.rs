//! Clients of the runs `endings` and `upgrade`. They use each open connection until it ends.

use super::exchange::{Connection, ReadResponse, RequestText};
use super::plan::ClientKind;
use super::record::{Record, RequestEnd, RequestRecord};
use crate::SeededRng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Pause before another attempt to connect.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// How much longer than the deadline a client waits, so that a late answer is recorded as late and not as missing.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);
/// Shortest and longest pause between two requests of a quick client, in milliseconds.
const QUICK_PAUSE_MS: (u64, u64) = (5, 25);
/// Shortest and longest idle time between two requests of an idling client, in milliseconds.
const IDLE_MS: (u64, u64) = (100, 1200);
/// Shortest and longest pause between two pieces of a request, in milliseconds.
const PIECE_PAUSE_MS: (u64, u64) = (10, 60);
/// Shortest and longest pause in the middle of a body, in milliseconds.
const BODY_PAUSE_MS: (u64, u64) = (100, 500);
/// Shortest and longest time from a request to the disconnect of a disconnecting client, in milliseconds.
const DISCONNECT_DELAY_MS: (u64, u64) = (2, 30);
/// Number of requests that a pipelining client writes at once.
const PIPELINED_REQUESTS: usize = 3;
/// Length of the bodies of clients that pause in the middle of a body, in bytes.
const PAUSED_BODY_BYTES: usize = 4000;
/// Share of the requests without a body that must be executed at most once.
const AT_MOST_ONCE_RATIO: f64 = 0.3;

/// What clients may still do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPhase {
    /// Open connections, and send requests on them.
    Connecting,
    /// Send requests on their open connections, without opening new ones.
    KeepingConnections,
    /// Send nothing more.
    Stopped,
}

/// What the clients of a run share.
pub struct ClientContext {
    /// The address that they connect to.
    pub address: SocketAddr,
    /// The deadline of their requests.
    pub deadline: Duration,
    /// Where they record their requests.
    pub record: Arc<Record>,
    /// What they may do at present.
    pub phase: watch::Receiver<LoadPhase>,
}

impl ClientContext {
    fn phase(&self) -> LoadPhase {
        *self.phase.borrow()
    }

    /// Returns when the clients have to stop.
    async fn stopped(&self) {
        let mut phase = self.phase.clone();
        // An error means that the sender was dropped, which ends the run as well.
        let _ = phase.wait_for(|phase| *phase == LoadPhase::Stopped).await;
    }
}

/// One client, with one connection at a time.
pub struct Client {
    context: Arc<ClientContext>,
    kind: ClientKind,
    name: String,
    random: SeededRng,
    /// Number of requests so far.
    sequence: u64,
    /// Number of connections so far.
    connections: u64,
}

/// A request that was written.
struct WrittenRequest {
    id: String,
    at_most_once: bool,
    written_at: Duration,
}

impl Client {
    /// Creates a client. The ids of its requests begin with `name`, which no other client may have.
    pub fn new(context: Arc<ClientContext>, kind: ClientKind, name: String, seed: u64) -> Client {
        Client {
            context,
            kind,
            name,
            random: SeededRng(seed),
            sequence: 0,
            connections: 0,
        }
    }

    /// Connects and sends requests until the connection has ended and the phase permits no new one.
    pub async fn run(mut self) {
        while self.context.phase() == LoadPhase::Connecting {
            match TcpStream::connect(self.context.address).await {
                Ok(stream) => {
                    self.connections += 1;
                    let mut connection = Connection::new(stream);
                    while self.context.phase() != LoadPhase::Stopped
                        && self.step(&mut connection).await
                    {}
                }
                Err(_) => sleep(CONNECT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Runs one exchange of this kind of client. Returns whether the connection can be used again.
    async fn step(&mut self, connection: &mut Connection) -> bool {
        match self.kind {
            ClientKind::Quick => {
                let is_usable = self.exchange(connection, 1).await;
                self.pause(QUICK_PAUSE_MS).await;
                is_usable
            }
            ClientKind::Idling => {
                self.exchange(connection, 1).await && self.stay_idle(connection).await
            }
            ClientKind::SlowWriter => {
                let text = self.next_request(None);
                let (start, end) = text.bytes.split_at(text.bytes.len() / 2);
                self.exchange_in_pieces(connection, &text, start, end, PIECE_PAUSE_MS)
                    .await
            }
            ClientKind::PausingInBody => {
                let text = self.next_request(Some(PAUSED_BODY_BYTES));
                let (start, end) = text
                    .bytes
                    .split_at(text.bytes.len() - PAUSED_BODY_BYTES / 2);
                self.exchange_in_pieces(connection, &text, start, end, BODY_PAUSE_MS)
                    .await
            }
            ClientKind::Pipelining => {
                let is_usable = self.exchange(connection, PIPELINED_REQUESTS).await;
                self.pause(QUICK_PAUSE_MS).await;
                is_usable
            }
            ClientKind::Disconnecting => self.send_and_disconnect(connection).await,
        }
    }

    async fn pause(&mut self, (min, max): (u64, u64)) {
        let pause = min + self.random.next_u64() % (max - min + 1);
        sleep(Duration::from_millis(pause)).await;
    }

    /// Idles between two requests; returns whether the connection is still usable. Half of the times the client detects that
    /// the node closes the connection meanwhile; otherwise its next request may race with that close.
    async fn stay_idle(&mut self, connection: &mut Connection) -> bool {
        let detects_close = self.random.next_fraction() < 0.5;
        let idle = self.pause(IDLE_MS);
        if !detects_close {
            idle.await;
            return true;
        }
        tokio::select! {
            () = idle => true,
            () = connection.closed() => false,
        }
    }

    /// Creates the next request. One with a body must be executed at most once.
    fn next_request(&mut self, body_length: Option<usize>) -> RequestText {
        let id = format!("{}-{}", self.name, self.sequence);
        self.sequence += 1;
        let at_most_once =
            body_length.is_some() || self.random.next_fraction() < AT_MOST_ONCE_RATIO;
        RequestText::new(
            id,
            at_most_once,
            body_length.unwrap_or(0),
            self.context.deadline,
        )
    }

    /// Writes `count` requests at once and reads their responses. Returns whether the connection can be used again.
    async fn exchange(&mut self, connection: &mut Connection, count: usize) -> bool {
        let texts: Vec<RequestText> = (0..count).map(|_| self.next_request(None)).collect();
        let bytes: Vec<u8> = texts.iter().flat_map(|text| text.bytes.clone()).collect();
        if !connection.write(&bytes).await {
            return false;
        }
        let written = texts.iter().map(|text| self.written(text)).collect();
        self.read_responses(connection, written).await
    }

    /// Writes a request in two pieces and reads its response. Returns whether the connection can be used again.
    async fn exchange_in_pieces(
        &mut self,
        connection: &mut Connection,
        text: &RequestText,
        start: &[u8],
        end: &[u8],
        pause_ms: (u64, u64),
    ) -> bool {
        if !connection.write(start).await {
            return false;
        }
        self.pause(pause_ms).await;
        if !connection.write(end).await {
            return false;
        }
        let written = vec![self.written(text)];
        self.read_responses(connection, written).await
    }

    async fn send_and_disconnect(&mut self, connection: &mut Connection) -> bool {
        let text = self.next_request(None);
        if !connection.write(&text.bytes).await {
            return false;
        }
        let written = self.written(&text);
        self.pause(DISCONNECT_DELAY_MS).await;
        connection.close().await;
        self.add(
            written,
            ReadEnd::without_answer(RequestEnd::ClientDisconnected),
        );
        false
    }

    fn written(&self, text: &RequestText) -> WrittenRequest {
        WrittenRequest {
            id: text.id.clone(),
            at_most_once: text.at_most_once,
            written_at: self.context.record.now(),
        }
    }

    /// Reads the responses to written requests. Returns whether the connection can be used again.
    async fn read_responses(
        &mut self,
        connection: &mut Connection,
        written: Vec<WrittenRequest>,
    ) -> bool {
        let mut lost: Option<RequestEnd> = None;
        for request in written {
            let read = match lost {
                Some(end) => ReadEnd::without_answer(end),
                None => self.read_response(connection, &request.id).await,
            };
            if read.end.status().is_none() {
                lost = Some(read.end);
            }
            self.add(request, read);
        }
        lost.is_none() && !connection.is_announced_closed()
    }

    async fn read_response(&mut self, connection: &mut Connection, id: &str) -> ReadEnd {
        let limit = self.context.deadline + ANSWER_MARGIN;
        let was_announced = connection.is_announced_closed();
        match timeout(limit, connection.read_response()).await {
            Err(_) => ReadEnd::without_answer(RequestEnd::NoAnswer),
            Ok(ReadResponse::Response { status, body }) => ReadEnd::answered(id, status, &body),
            Ok(ReadResponse::CutShort) => ReadEnd::without_answer(RequestEnd::CutShort),
            Ok(ReadResponse::Ended { was_reset }) => {
                ReadEnd::without_answer(RequestEnd::ConnectionEnded {
                    was_reset,
                    was_announced,
                })
            }
        }
    }

    fn add(&self, request: WrittenRequest, read: ReadEnd) {
        let record = &self.context.record;
        record.add_request(RequestRecord {
            id: request.id,
            at_most_once: request.at_most_once,
            client: self.name.clone(),
            connection: self.connections,
            written_at: request.written_at,
            ended_at: record.now(),
            end: read.end,
            failure_text: read.failure_text,
        });
    }
}

/// How a request ended, as its client read it.
struct ReadEnd {
    end: RequestEnd,
    failure_text: Option<String>,
}

impl ReadEnd {
    fn without_answer(end: RequestEnd) -> ReadEnd {
        ReadEnd {
            end,
            failure_text: None,
        }
    }

    fn answered(id: &str, status: u16, body: &[u8]) -> ReadEnd {
        let is_served = status == 200;
        let text = || String::from_utf8_lossy(body).trim().to_owned();
        ReadEnd {
            end: RequestEnd::Answered {
                status,
                is_own: !is_served || body == id.as_bytes(),
            },
            failure_text: (!is_served).then(text),
        }
    }
}

/// Starts one client for each entry of `kinds`.
pub fn spawn_clients(context: &Arc<ClientContext>, kinds: &[ClientKind], seed: u64) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    for (index, kind) in kinds.iter().enumerate() {
        let name = format!("{kind:?}-{index}");
        let seed = seed.wrapping_mul(0x9e37).wrapping_add(index as u64);
        clients.spawn(Client::new(context.clone(), *kind, name, seed).run());
    }
    clients
}

/// Holds one idle connection to the node, and opens another when the node closes it.
pub async fn hold_idle_connection(context: Arc<ClientContext>) {
    while context.phase() == LoadPhase::Connecting {
        if let Ok(stream) = TcpStream::connect(context.address).await {
            let mut connection = Connection::new(stream);
            // A client that sends nothing does not notice that a full backlog dropped its connection.
            tokio::select! {
                () = connection.closed() => {}
                () = context.stopped() => {}
            }
        }
        sleep(CONNECT_RETRY_INTERVAL).await;
    }
}
