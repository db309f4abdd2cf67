//! Client connections to registry members: reads frames, handles them in order and writes the responses.

use super::jute::FRAME_HEADER_BYTES;
use super::requests::{self, Handled};
use super::state::{lock, Connection, OutgoingFrame, RegistryState};
use super::watches::ConnectionId;
use bytes::{Bytes, BytesMut};
use std::ops::ControlFlow;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Maximum length of a request frame, in bytes.
const MAX_FRAME_LEN: usize = (1 << 20) + (64 << 10);
/// Delay before the connection closes after a four-letter command, so that the response can be written.
const COMMAND_CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Delay before the connection closes after its last response, so that the response can be written.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Accepts client connections to a member, for as long as the future is polled.
pub(super) async fn accept(listener: TcpListener, member: usize, state: Arc<Mutex<RegistryState>>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        if lock(&state).members[member].is_down {
            continue;
        }
        let _ = stream.set_nodelay(true);
        connections.spawn(serve(stream, member, state.clone()));
    }
}

/// Removes a connection from the state when dropped, however the connection ended.
struct ConnectionGuard {
    state: Arc<Mutex<RegistryState>>,
    id: ConnectionId,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        lock(&self.state).remove_connection(self.id);
    }
}

async fn wait_while_frozen(is_frozen: &mut watch::Receiver<bool>) {
    // The sender lives as long as the member.
    let _ = is_frozen.wait_for(|is_frozen| !*is_frozen).await;
}

async fn serve(stream: TcpStream, member: usize, state: Arc<Mutex<RegistryState>>) {
    let (reader, writer) = stream.into_split();
    let (outgoing, outgoing_receiver) = mpsc::unbounded_channel();
    let (close, mut is_closed) = watch::channel(false);
    let (id, is_frozen, applied_zxid) = {
        let mut state = lock(&state);
        let id = state.next_id();
        let connection = Connection {
            member,
            session: 0,
            identities: Vec::new(),
            outgoing,
            close,
        };
        state.connections.insert(id, connection);
        let member = &state.members[member];
        (
            id,
            member.is_frozen.subscribe(),
            member.applied_zxid.subscribe(),
        )
    };
    let _guard = ConnectionGuard {
        state: state.clone(),
        id,
    };
    let response_writer = ResponseWriter {
        state: state.clone(),
        member,
        is_frozen: is_frozen.clone(),
        outgoing: outgoing_receiver,
    };
    let _writing = crate::spawn(response_writer.run(writer));
    let request_handler = RequestHandler {
        state,
        id,
        is_frozen,
        applied_zxid,
        has_session: false,
    };
    tokio::select! {
        () = request_handler.run(reader) => {}
        _ = is_closed.wait_for(|is_closed| *is_closed) => {}
    }
}

/// Writes frames to a client, each after the member's response delay.
struct ResponseWriter {
    state: Arc<Mutex<RegistryState>>,
    member: usize,
    is_frozen: watch::Receiver<bool>,
    outgoing: mpsc::UnboundedReceiver<OutgoingFrame>,
}

impl ResponseWriter {
    async fn run(mut self, mut socket: OwnedWriteHalf) {
        while let Some(frame) = self.outgoing.recv().await {
            wait_while_frozen(&mut self.is_frozen).await;
            let delay = lock(&self.state).members[self.member].response_delay;
            tokio::time::sleep_until((frame.sent_at + delay).into()).await;
            if socket.write_all(&frame.bytes).await.is_err() {
                return;
            }
            lock(&self.state).counters.bytes_written += frame.bytes.len() as u64;
        }
    }
}

/// What the receive buffer starts with.
enum Input {
    /// Less than a complete frame.
    Incomplete,
    /// A frame, without its length prefix.
    Frame(Bytes),
    /// A four-letter command; holds the response to it.
    Command(Bytes),
    /// A frame longer than [`MAX_FRAME_LEN`].
    TooLong,
}

impl Input {
    /// Removes the next frame from the buffer, or classifies what is there instead.
    fn take(buffer: &mut BytesMut) -> Input {
        let Some(header) = buffer.first_chunk::<FRAME_HEADER_BYTES>() else {
            return Input::Incomplete;
        };
        if let Some(response) = requests::four_letter_response(header) {
            return Input::Command(response);
        }
        let length = u32::from_be_bytes(*header) as usize;
        if length > MAX_FRAME_LEN {
            return Input::TooLong;
        }
        let end = FRAME_HEADER_BYTES + length;
        if buffer.len() < end {
            return Input::Incomplete;
        }
        let frame = buffer.split_to(end).split_off(FRAME_HEADER_BYTES);
        Input::Frame(frame.freeze())
    }
}

/// Handles the requests on a connection sequentially.
struct RequestHandler {
    state: Arc<Mutex<RegistryState>>,
    id: ConnectionId,
    is_frozen: watch::Receiver<bool>,
    applied_zxid: watch::Receiver<i64>,
    /// Whether the first frame, which opens or resumes a session, has been handled.
    has_session: bool,
}

impl RequestHandler {
    /// Handles frames until the connection has to be closed.
    async fn run(mut self, mut socket: OwnedReadHalf) {
        let mut buffer = BytesMut::new();
        loop {
            match Input::take(&mut buffer) {
                Input::Incomplete => match socket.read_buf(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                },
                Input::Frame(frame) => {
                    if self.handle_frame(&frame).await.is_break() {
                        return;
                    }
                }
                Input::Command(response) => {
                    if let Some(connection) = lock(&self.state).connections.get(&self.id) {
                        connection.send(response);
                    }
                    tokio::time::sleep(COMMAND_CLOSE_DELAY).await;
                    return;
                }
                Input::TooLong => return,
            }
        }
    }

    async fn handle_frame(&mut self, frame: &[u8]) -> ControlFlow<()> {
        wait_while_frozen(&mut self.is_frozen).await;
        let handled = if self.has_session {
            requests::handle(&mut lock(&self.state), self.id, frame)
        } else {
            requests::connect(&mut lock(&self.state), self.id, frame)
        };
        let Some(Handled {
            response,
            required_zxid,
            closes_connection,
        }) = handled
        else {
            return ControlFlow::Break(());
        };
        self.has_session = true;
        // The response to a write waits until this member has applied the write.
        let is_applied = |applied: &i64| *applied >= required_zxid;
        if self.applied_zxid.wait_for(is_applied).await.is_err() {
            return ControlFlow::Break(());
        }
        lock(&self.state).send(self.id, response);
        if closes_connection {
            tokio::time::sleep(CLOSE_DELAY).await;
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }
}
