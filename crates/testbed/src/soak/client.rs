//! The clients of a day of endings: they use each open connection until it ends. Started by `endings`.

use super::exchange::{Connection, ReadResponse, RequestText};
use super::plan::{ClientKind, NodeForm};
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
/// How much longer than the deadline a client waits, so that a late answer is seen as late.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);
/// Pauses between two requests of a quick client, in milliseconds.
const QUICK_PAUSE_MS: (u64, u64) = (5, 25);
/// Rests of a client that rests, in milliseconds.
const REST_MS: (u64, u64) = (100, 1200);
/// Pauses between two pieces of a request, in milliseconds.
const PIECE_PAUSE_MS: (u64, u64) = (10, 60);
/// Pauses in the middle of a body, in milliseconds.
const BODY_PAUSE_MS: (u64, u64) = (100, 500);
/// How long a client that leaves stays after its request, in milliseconds.
const STAY_MS: (u64, u64) = (2, 30);
/// Requests that are written at once.
const PIPELINED_REQUESTS: usize = 3;
/// Length of the bodies that clients pause in, in bytes.
const PAUSED_BODY_BYTES: usize = 4000;
/// Share of the other requests that must have their effect at most once.
const AT_MOST_ONCE_RATIO: f64 = 0.3;

/// What clients may still do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPhase {
    /// Connect, and use their connections.
    Connecting,
    /// Use the connections that they have.
    KeepingConnections,
    /// Nothing.
    Over,
}

/// What the clients of a day share.
pub struct ClientContext {
    /// Where they connect.
    pub address: SocketAddr,
    /// How the node is configured.
    pub form: NodeForm,
    /// The deadline of their requests.
    pub deadline: Duration,
    /// Where they write down what they see.
    pub record: Arc<Record>,
    /// What they may do.
    pub phase: watch::Receiver<LoadPhase>,
}

impl ClientContext {
    fn phase(&self) -> LoadPhase {
        *self.phase.borrow()
    }

    /// Returns at the end of the day.
    async fn over(&self) {
        let mut phase = self.phase.clone();
        // An error says that nobody can end the day any more, which is an end as well.
        let _ = phase.wait_for(|phase| *phase == LoadPhase::Over).await;
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
    /// A client with a name of its own, which the ids of its requests begin with.
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

    /// Connects and sends requests until its connection has ended and it may not connect again.
    pub async fn run(mut self) {
        while self.context.phase() == LoadPhase::Connecting {
            match TcpStream::connect(self.context.address).await {
                Ok(stream) => {
                    self.connections += 1;
                    let mut connection = Connection::new(stream);
                    while self.context.phase() != LoadPhase::Over
                        && self.step(&mut connection).await
                    {}
                }
                Err(_) => sleep(CONNECT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Does what a client of this kind does once. Returns whether the connection can be used again.
    async fn step(&mut self, connection: &mut Connection) -> bool {
        match self.kind {
            ClientKind::Quick => {
                let is_usable = self.exchange(connection, 1).await;
                self.pause(QUICK_PAUSE_MS).await;
                is_usable
            }
            ClientKind::Resting => {
                self.exchange(connection, 1).await && self.rest(connection).await
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
            ClientKind::Leaving => self.send_and_leave(connection).await,
        }
    }

    async fn pause(&mut self, (min, max): (u64, u64)) {
        let pause = min + self.random.next_u64() % (max - min + 1);
        sleep(Duration::from_millis(pause)).await;
    }

    /// Rests, with an eye on the connection half of the time; the next request may cross its end otherwise.
    async fn rest(&mut self, connection: &mut Connection) -> bool {
        let is_watching = self.random.next_fraction() < 0.5;
        let rest = self.pause(REST_MS);
        if !is_watching {
            rest.await;
            return true;
        }
        tokio::select! {
            () = rest => true,
            () = connection.closed() => false,
        }
    }

    /// The next request; with a body of this length, it must have its effect at most once.
    fn next_request(&mut self, body_length: Option<usize>) -> RequestText {
        let id = format!("{}-{}", self.name, self.sequence);
        self.sequence += 1;
        let at_most_once =
            body_length.is_some() || self.random.next_fraction() < AT_MOST_ONCE_RATIO;
        RequestText::new(
            self.context.form,
            id,
            at_most_once,
            body_length.unwrap_or(0),
            self.context.deadline,
        )
    }

    /// Writes requests at once and reads their responses.
    async fn exchange(&mut self, connection: &mut Connection, count: usize) -> bool {
        let texts: Vec<RequestText> = (0..count).map(|_| self.next_request(None)).collect();
        let bytes: Vec<u8> = texts.iter().flat_map(|text| text.bytes.clone()).collect();
        if !connection.write(&bytes).await {
            return false;
        }
        let written = texts.iter().map(|text| self.written(text)).collect();
        self.read_responses(connection, written).await
    }

    /// Writes a request in two pieces and reads its response.
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

    async fn send_and_leave(&mut self, connection: &mut Connection) -> bool {
        let text = self.next_request(None);
        if !connection.write(&text.bytes).await {
            return false;
        }
        let written = self.written(&text);
        self.pause(STAY_MS).await;
        connection.close().await;
        self.add(written, ReadEnd::without_answer(RequestEnd::ClientLeft));
        false
    }

    fn written(&self, text: &RequestText) -> WrittenRequest {
        WrittenRequest {
            id: text.id.clone(),
            at_most_once: text.at_most_once,
            written_at: self.context.record.now(),
        }
    }

    /// Reads the responses to requests that were written. Returns whether the connection can be used again.
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

/// Starts a client of each of these kinds.
pub fn spawn_clients(context: &Arc<ClientContext>, kinds: &[ClientKind], seed: u64) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    for (index, kind) in kinds.iter().enumerate() {
        let name = format!("{kind:?}-{index}");
        let seed = seed.wrapping_mul(0x9e37).wrapping_add(index as u64);
        clients.spawn(Client::new(context.clone(), *kind, name, seed).run());
    }
    clients
}

/// One idle client of a crowd: it connects, sends nothing, and connects again once the node ends that.
pub async fn idle(context: Arc<ClientContext>) {
    while context.phase() == LoadPhase::Connecting {
        if let Ok(stream) = TcpStream::connect(context.address).await {
            let mut connection = Connection::new(stream);
            // A client that sends nothing does not learn that a full backlog has dropped its connection.
            tokio::select! {
                () = connection.closed() => {}
                () = context.over() => {}
            }
        }
        sleep(CONNECT_RETRY_INTERVAL).await;
    }
}
