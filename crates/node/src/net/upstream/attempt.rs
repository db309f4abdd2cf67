//! One attempt at a server: the request on a connection, and the answer from it.

use super::socket::{Socket, SocketIo};
use super::{Connection, Host, Upstream, TIME_LEFT};
use crate::net::answer::{Answer, StreamedAnswer};
use crate::net::body::{Payload, PayloadBody, FLOW_MOST};
use crate::net::message::Message;
use crate::net::shared::ConnectionPermit;
use crate::net::{
    kib_permits, set_nodelay, MAX_BUFFERED_RESPONSE_BYTES, MAX_IMMEDIATE_RESPONSE_BYTES,
    READ_BUFFER_BYTES, UNRESERVED_RESPONSE_BYTES,
};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::Builder;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode, Uri, Version};
use hyper_util::rt::TokioIo;
use reelfall_balancer::interface::{Outcome, RequestId, ServerId};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// How long an attempt whose request is over may hold its connection for the answer that may yet come.
const LINGER: Duration = Duration::from_secs(1);
/// How long an answer that is too large to be held for sure is awaited whole before it is forwarded as it comes.
const HELD_FOR: Duration = Duration::from_millis(25);
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// The limits of an attempt.
#[derive(Clone, Copy)]
pub struct Times {
    /// It is not sent later: a repeat may no longer be known for one.
    pub starts_by: Instant,
    /// It ends by then.
    pub expires: Instant,
}

/// A connection and whether it is new, or why there is none. That this node has none left says nothing of the
/// server: counted against it, a shortage here would put out one server after the other. So one is waited for.
async fn acquire(
    host: &impl Host,
    id: RequestId,
    server: ServerId,
    expires: Instant,
) -> Result<(Connection, bool), Outcome> {
    let upstream = host.upstream();
    let most = upstream.connect_within;
    let until = expires.min(Instant::now() + most);
    loop {
        if !host.wanted(id) {
            return Err(Outcome::NotSent);
        }
        if let Some(connection) = upstream.take(server) {
            return Ok((connection, false));
        }
        let Some(address) = host.address(server) else {
            return Err(Outcome::ConnectFailed);
        };
        if let Some(open) = upstream.reserve_connection(address) {
            let until = expires.min(Instant::now() + most);
            let new = connect(host, server, address, open, until).await;
            return new.map(|c| (c, true)).ok_or(Outcome::ConnectFailed);
        }
        let _waits = upstream.shared.count_waiting_attempt();
        if timeout_at(until.into(), upstream.freed.notified())
            .await
            .is_err()
        {
            host.upstream()
                .shared
                .log
                .write_line(format_args!("all connections to servers are in use"));
            return Err(Outcome::NotSent);
        }
    }
}

async fn connect(
    host: &impl Host,
    server: ServerId,
    address: SocketAddr,
    open: ConnectionPermit,
    until: Instant,
) -> Option<Connection> {
    let generation = host.upstream().generation(server);
    let stream = timeout_at(until.into(), TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    set_nodelay(&stream);
    let socket = Rc::new(Socket {
        stream,
        written: Cell::new(0),
    });
    let io = TokioIo::new(SocketIo(socket.clone()));
    let (send, connection) = Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(io)
        .await
        .ok()?;
    let task = tokio::task::spawn_local(async move {
        // How it ended shows in the attempt that was on it.
        let _ = connection.await;
    });
    let task = task.abort_handle();
    Some(Connection {
        send,
        socket,
        since: Instant::now(),
        used: false,
        server,
        address,
        generation,
        task,
        _open: open,
    })
}

/// Makes one attempt and tells its host how it ended. What it says of the server's side is proved: an
/// attempt never ran only if its last byte was not written or the server says so.
pub async fn attempt(
    host: impl Host,
    id: RequestId,
    number: u32,
    server: ServerId,
    message: Rc<Message>,
    times: Times,
) {
    let Times { starts_by, expires } = times;
    let never = |outcome| host.ended(id, number, outcome, None);
    loop {
        let (mut connection, fresh) = match acquire(&host, id, server, starts_by).await {
            Ok(acquired) => acquired,
            Err(outcome) => return never(outcome),
        };
        // The list may have changed while the connection came up, and the client may have left.
        if !host.wanted(id) {
            host.upstream().put(connection);
            return never(Outcome::NotSent);
        }
        if host.address(server).is_none() || Instant::now() >= starts_by {
            return never(Outcome::ConnectFailed);
        }
        let before = connection.socket.written.get();
        // Whether the last byte may have been written: told by what the socket took, and of a flow by what was taken of it.
        let unwritten = |c: &Connection| match &message.body {
            Payload::Buffered(held) => c.socket.written.get() - before <= held.len() as u64,
            Payload::Streamed(flow) => !flow.is_done(),
        };
        let spent = || {
            if message.body.streamed().is_some_and(|flow| flow.is_taken()) {
                host.spend(id);
            }
        };
        let mut expires = expires;
        let mut answer =
            std::pin::pin!(connection.send.try_send_request(request(&message, expires)));
        if let Some(flow) = message.body.streamed() {
            tokio::select! {
                biased;
                () = flow.ended() => {}
                () = tokio::time::sleep_until(expires.into()) => {}
                early = answer.as_mut() => {
                    if flow.is_done() {
                        expires = host.written(id).unwrap_or(expires);
                    }
                    spent();
                    match early {
                        Ok(response) => return receive_answer(&host, id, number, connection, response, expires, &message).await,
                        Err(mut e) => {
                            if e.take_message().is_some() && !fresh && !flow.is_taken() {
                                continue;
                            }
                            let broken = broken(&message, unwritten(&connection));
                            return host.ended(id, number, broken, None);
                        }
                    }
                }
            }
            if flow.is_done() {
                expires = host.written(id).unwrap_or(expires);
            }
        }
        let answer = match timeout_at(expires.into(), answer.as_mut()).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut e)) => {
                // Nothing was written: a stale connection is no outcome, a fresh one is.
                let taken = message.body.streamed().is_some_and(|flow| flow.is_taken());
                if e.take_message().is_some() && !fresh && !taken {
                    continue;
                }
                spent();
                let broken = broken(&message, unwritten(&connection));
                return host.ended(id, number, broken, None);
            }
            Err(_) => {
                spent();
                if unwritten(&connection) {
                    drop(connection);
                    return never(Outcome::ConnectFailed);
                }
                host.ended(id, number, Outcome::TimedOut, None);
                // A second copy must not be out beside this one; with none, the connection outlives the time.
                if !host.retried(id) {
                    if let Ok(Ok(response)) = tokio::time::timeout(LINGER, answer).await {
                        finish(&host, connection, response.into_body()).await;
                    }
                }
                return;
            }
        };
        spent();
        return receive_answer(&host, id, number, connection, answer, expires, &message).await;
    }
}

/// What an attempt has come to whose connection broke.
fn broken(message: &Message, unwritten: bool) -> Outcome {
    match message.body.streamed() {
        // Its client broke off: that says nothing of the server.
        Some(flow) if flow.fault().is_some() => Outcome::NotSent,
        _ if unwritten => Outcome::ConnectFailed,
        _ => Outcome::ConnectionLost,
    }
}

fn request(message: &Message, expires: Instant) -> Request<PayloadBody> {
    let mut request = Request::new(PayloadBody::new(&message.body));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = Uri::from(message.path.clone());
    let mut headers = message.headers.clone();
    // How long the last byte of a flow takes is not known; its client has said how long it waits after that.
    if message.body.streamed().is_none() {
        let left = expires
            .saturating_duration_since(Instant::now())
            .as_secs_f64();
        if let Ok(left) = HeaderValue::try_from(format!("{left:.3}")) {
            headers.insert(TIME_LEFT, left);
        }
    }
    *request.headers_mut() = headers;
    request
}

/// Reads an answer whose head has come.
async fn receive_answer(
    host: &impl Host,
    id: RequestId,
    number: u32,
    connection: Connection,
    response: Response<Incoming>,
    expires: Instant,
    message: &Rc<Message>,
) {
    let (head, mut body) = response.into_parts();
    let validator = message.validator.as_deref();
    let unprocessed = head.headers.get(&UNPROCESSED).is_some_and(|v| v == "1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => {
            Outcome::Rejected
        }
        status if validator.is_some_and(|v| v.may_answer(status)) => Outcome::Served,
        _ => Outcome::Error,
    };
    let closes = head
        .headers
        .get(header::CONNECTION)
        .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    if outcome == Outcome::Rejected && closes && !connection.used {
        // The server has all the connections that it takes, and ends this one.
        host.upstream().note_refused_connection();
    }
    if outcome != Outcome::Served {
        host.ended(id, number, outcome, None);
        return finish(host, connection, body).await;
    }
    // Guards against answers that are spoilt: longer than any can be, or of a length that nothing states, so that
    // none could tell a whole one from half of one. They may have run, and their connection is of no further use.
    // It ought to catch every answer that is not plainly framed; it does harm to servers that end an answer by
    // closing without having said so.
    let framed = body.size_hint().exact().is_some()
        || head.headers.contains_key(header::TRANSFER_ENCODING)
        || closes
        || head.version == Version::HTTP_10;
    let most = if validator.is_some() {
        MAX_BUFFERED_RESPONSE_BYTES as u64
    } else {
        FLOW_MOST
    };
    if !framed || body.size_hint().lower() > most {
        return host.ended(id, number, Outcome::ConnectionLost, None);
    }
    let stated = body.size_hint().exact().map_or(0, |n| n as usize);
    let Upstream { shared, member, .. } = host.upstream();
    let mut memory = match (stated > UNRESERVED_RESPONSE_BYTES, validator.is_some()) {
        // Without a share in time, the answer is not read, and the next wait tells that time is up.
        (true, true) => {
            shared
                .reserve_answer_by(*member, kib_permits(stated), expires)
                .await
        }
        (true, false) => shared.reserve_answer(
            *member,
            kib_permits(stated.min(MAX_IMMEDIATE_RESPONSE_BYTES)),
        ),
        (false, _) => None,
    };
    let mut held = BytesMut::new();
    // From when on an answer that is too large to be held for sure is forwarded as it comes.
    let flows = Instant::now() + HELD_FOR;
    loop {
        let large = stated > UNRESERVED_RESPONSE_BYTES || held.len() > UNRESERVED_RESPONSE_BYTES;
        let patience = large && validator.is_none() && !held.is_empty();
        let until = if patience {
            expires.min(flows)
        } else {
            expires
        };
        match timeout_at(until.into(), body.frame()).await {
            Ok(Some(Ok(frame))) => {
                held.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
                if held.len() <= UNRESERVED_RESPONSE_BYTES && stated <= UNRESERVED_RESPONSE_BYTES {
                    continue;
                }
                if memory.is_none() && stated == 0 {
                    // Chunked, and growing: it gets a share at once, or is forwarded as it comes.
                    let most = if validator.is_some() {
                        MAX_BUFFERED_RESPONSE_BYTES
                    } else {
                        MAX_IMMEDIATE_RESPONSE_BYTES
                    };
                    memory = shared.reserve_answer(*member, kib_permits(most));
                }
                if validator.is_some() {
                    if held.len() > MAX_BUFFERED_RESPONSE_BYTES || memory.is_none() {
                        return host.ended(id, number, Outcome::ConnectionLost, None);
                    }
                } else if !held.is_empty()
                    && (memory.is_none()
                        || held.len() > MAX_IMMEDIATE_RESPONSE_BYTES
                        || flows <= Instant::now())
                {
                    break;
                }
            }
            Ok(Some(Err(_))) => return host.ended(id, number, Outcome::ConnectionLost, None),
            Ok(None) => {
                if !validator.is_none_or(|v| v.is_answer(&held)) {
                    // Nobody knows what went on behind it: the connection goes, and the request may have run.
                    return host.ended(id, number, Outcome::ConnectionLost, None);
                }
                host.upstream().put(connection);
                let answer = Answer {
                    headers: head.headers,
                    body: held.freeze(),
                    rest: None,
                    _memory: memory,
                };
                return host.ended(id, number, outcome, Some(answer));
            }
            Err(_) if patience => break,
            Err(_) => {
                host.ended(id, number, Outcome::TimedOut, None);
                if !host.retried(id) {
                    finish(host, connection, body).await;
                }
                return;
            }
        }
    }
    // It goes to its client while it still comes. The attempt has ended with that.
    let back = host.clone();
    let rest = StreamedAnswer::new(body, held.len() as u64, message.clone(), move || {
        back.upstream().put(connection)
    });
    let answer = Answer {
        headers: head.headers,
        body: held.freeze(),
        rest: Some(rest),
        _memory: None,
    };
    host.ended(id, number, Outcome::Served, Some(answer));
}

/// Reads what is left of an answer that nobody waits for, so that its connection can be used again.
async fn finish(host: &impl Host, connection: Connection, mut body: Incoming) {
    let rest = async {
        let mut size = 0;
        while let Some(frame) = body.frame().await {
            size += frame.ok()?.data_ref().map_or(0, Bytes::len);
            (size <= MAX_BUFFERED_RESPONSE_BYTES).then_some(())?;
        }
        Some(())
    };
    if let Ok(Some(())) = tokio::time::timeout(LINGER, rest).await {
        host.upstream().put(connection);
    }
}
