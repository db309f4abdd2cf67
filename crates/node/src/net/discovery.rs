//! The server list: reads it, watches it, and keeps the old one while there is no newer.

use super::pool::Pool;
use super::READ_BUFFER_BYTES;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use reelfall_balancer::engine::AddressedEndpoint;
use reelfall_balancer::interface::{ServerState, UpdateKind};
use reelfall_balancer::settings::ListedEndpoint;
use serde_json::Value;
use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

// What discovery has counts as told 6 s after it had it and could be reached, whatever failed before. The longest that
// news can take, each part bounded by a constant here or by the module's backoff:
//
// | lists that are pushed | s | lists that are asked for | s |
// | --- | --- | --- | --- |
// | a watch falls silent: `SILENT` | 2.5 | the same | 2.5 |
// | a connection that comes up and says nothing: `OPENS` | 1.5 | the module's first backoff, 1 s at most | 1.0 |
// | another one that does, the next at once | 1.5 | an answer in its turn | 2.0 |
// | sum | 5.5 | sum | 5.5 |
//
// Where a call hangs as discovery comes back: `OPENS_ASKED` 3 s, the module's longest backoff 2 s, a call that is
// answered within 1 s. After a new address: 1.5 + 1.5 s, of the 4 s that count there.
//
// Where lists are pushed, what the agent hears when discovery is back counts at once, with no more than the grace for
// drains to hear of it. So nothing rests in between while it is silent: a connection waits there all the time but for
// `CONNECTS`, and what has waited in vain begins anew at once. Who refuses calls is called less and less.

/// A watch says something every 2 s; one that has said nothing whole for this long is broken.
const SILENT: Duration = Duration::from_millis(2500);
/// From the connect to the first whole list, or the first sign of life, of a service that answers at once.
const OPENS: Duration = Duration::from_millis(1500);
/// Of that, for the connect to the agent on this machine: one that is held up is not worth waiting for.
const CONNECTS: Duration = Duration::from_millis(150);
/// What `OPENS` is where calls wait in turn: the service gives up on those that wait for 2 s.
const OPENS_ASKED: Duration = Duration::from_secs(3);
/// Backoff from the beginning of one watch to that of the next: the first, and the longest while calls are refused.
const BACKOFF: Duration = Duration::from_millis(50);
const BACKOFF_MOST: Duration = Duration::from_millis(800);
/// Longest change of a watch, and the longest whole list, in bytes.
const LIST_MOST: usize = 4 << 20;

/// Applies a list or a change of it and returns its index.
///
/// # Errors
/// Says why it is not one. An entry that cannot be used is passed over: the others still count.
pub fn apply_list(pool: &Rc<Pool>, list: &Value, cached: bool) -> Result<u64, String> {
    let lines = list
        .get("endpoints")
        .and_then(Value::as_array)
        .ok_or("a list without `endpoints`")?;
    let index = list
        .get("index")
        .and_then(Value::as_u64)
        .ok_or("a list without `index`")?;
    let whole = list
        .get("snapshot")
        .and_then(Value::as_bool)
        .unwrap_or(false);
    let kind = match (cached, whole) {
        (true, _) => UpdateKind::Cached,
        (false, true) => UpdateKind::Snapshot,
        (false, false) => UpdateKind::Delta,
    };
    let mut places = Vec::with_capacity(lines.len());
    let mut unusable = 0;
    for line in lines {
        match read(line) {
            // A server that left without ever being heard of needs no number.
            Some((listed, _))
                if listed.state == ServerState::Removed
                    && pool.names.borrow().servers.get(listed.name).is_none() => {}
            Some((listed, address)) => {
                places.push(AddressedEndpoint {
                    endpoint: pool.names.borrow_mut().endpoint(&listed),
                    address,
                });
            }
            None => unusable += 1,
        }
    }
    if unusable > 0 {
        pool.shared.log.write_line(format_args!(
            "{unusable} entries of list {index} can't be used"
        ));
    }
    pool.update_endpoints(kind, places);
    Ok(index)
}

/// Reads a line of the list.
fn read(line: &Value) -> Option<(ListedEndpoint<'_>, SocketAddr)> {
    let text = |name: &str| line.get(name).and_then(Value::as_str);
    let address: SocketAddr = text("address")?.parse().ok()?;
    let listed = ListedEndpoint {
        name: text("name")?,
        zone: text("zone"),
        machine_type: text("type"),
        cell: line
            .get("group")
            .and_then(Value::as_u64)
            .map_or(0, |g| g as u32),
        state: match text("status") {
            Some("active") => ServerState::Up,
            Some("left") => ServerState::Removed,
            // A word that is not known here is not leave to send.
            _ => ServerState::Draining,
        },
        weight: line.get("weight").and_then(Value::as_f64),
        started_at: line
            .get("since_ms")
            .and_then(Value::as_f64)
            .map(|ms| ms / 1e3),
    };
    Some((listed, address))
}

/// A pool follows a list for as long as this is kept.
struct Following {
    pool: Rc<Pool>,
    name: String,
}

impl Drop for Following {
    fn drop(&mut self) {
        if let Some(observer) = self.pool.shared.fleet_observer() {
            observer.list_dropped(&self.name, self.pool.id);
        }
    }
}

/// Keeps a watch open for the life of the node, at whatever address the configuration names last.
///
/// A new address is turned to at once: the old one closes soon, and what the new one has to tell counts as told
/// within seconds. What it calls a version need not be what the old one called so, hence the whole list is asked
/// for first; that also heals any other change of the service behind an address. Harm: one list more a switch.
pub async fn follow(
    pool: Rc<Pool>,
    mut address: watch::Receiver<SocketAddr>,
    known: u64,
    name: String,
) {
    let _following = Following {
        pool: pool.clone(),
        name: name.clone(),
    };
    let index = Cell::new(Some(known));
    let mut backoff = BACKOFF;
    loop {
        if !pool.uses_push_discovery() {
            pool.poll_requested.notified().await;
        }
        let at = *address.borrow_and_update();
        let (before, began) = (index.get(), Instant::now());
        let ended = tokio::select! {
            ended = watch(&pool, at, &index, &name) => ended,
            Ok(()) = address.changed() => {
                index.set(None);
                backoff = BACKOFF;
                // Where lists are asked for, the module's leave for the old address holds for the new one.
                pool.poll_requested.notify_one();
                continue;
            }
        };
        if let Err(fault) = &ended {
            pool.shared
                .log
                .write_line(format_args!("discovery: {fault}"));
        }
        if !pool.uses_push_discovery() {
            // The module says when to ask again.
            pool.update_endpoints(UpdateKind::Failed, Vec::new());
            continue;
        }
        let refused = index.get() == before && !matches!(ended, Err(Fault::Silent));
        backoff = if refused {
            (backoff * 2).min(BACKOFF_MOST)
        } else {
            BACKOFF
        };
        // Watches end for many nodes at once: they must not come back in step.
        let rest =
            tokio::time::sleep_until(began + backoff.mul_f64(0.5 + pool.rng.next_fraction()));
        tokio::select! {
            () = rest => {}
            Ok(()) = address.changed() => {
                index.set(None);
                backoff = BACKOFF;
            }
        }
    }
}

/// Why a watch has ended.
enum Fault {
    /// Nothing came in time.
    Silent,
    /// What came, or its end.
    Said(String),
}

impl From<String> for Fault {
    fn from(said: String) -> Self {
        Fault::Said(said)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Silent => f.write_str("nothing comes"),
            Fault::Said(said) => f.write_str(said),
        }
    }
}

async fn watch(
    pool: &Rc<Pool>,
    address: SocketAddr,
    index: &Cell<Option<u64>>,
    name: &str,
) -> Result<(), Fault> {
    let apply_list = |list: &Value| {
        // What can't be used is not asked for again in the same way, for ever: the whole list heals it.
        let new = apply_list(pool, list, false).inspect_err(|_| index.set(None))?;
        index.set(Some(new));
        if let Some(observer) = pool.shared.fleet_observer() {
            observer.list_updated(name, pool.id, new);
        }
        Ok::<u64, String>(new)
    };
    // One deadline governs all that comes before the first word: parts that each take their time add up.
    let (now, pushed) = (Instant::now(), pool.uses_push_discovery());
    let opens = now + if pushed { OPENS } else { OPENS_ASKED };
    let connects = if pushed { now + CONNECTS } else { opens };
    let stream = by(connects, TcpStream::connect(address)).await?;
    let handshake = Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream));
    let (mut send, connection) = by(opens, handshake).await?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    let _end = AbortOnDrop(task.abort_handle());
    let after = match index.get() {
        Some(after) => after,
        None => {
            let mut body = ask(&mut send, address, "/catalog/members", opens).await?;
            let mut lists = Lists::default();
            while let Some(data) = next(&mut body, opens).await? {
                lists.push(&data)?;
            }
            let after = apply_list(
                &lists
                    .next()?
                    .ok_or_else(|| "a list that is none".to_owned())?,
            )?;
            by(opens, send.ready()).await?;
            after
        }
    };
    let mut body = ask(
        &mut send,
        address,
        &format!("/catalog/members?watch=1&after={after}"),
        opens,
    )
    .await?;
    let mut lists = Lists::default();
    let mut until = opens;
    // What the connection's end cut off stays in `lists` and is never taken for a whole one.
    while let Some(data) = next(&mut body, until).await? {
        lists.push(&data).inspect_err(|_| index.set(None))?;
        while let Some(list) = lists.next().inspect_err(|_| index.set(None))? {
            apply_list(&list)?;
            until = Instant::now() + SILENT;
        }
        // An empty line tells that nothing has changed; half a change, however often more of it comes, tells nothing.
        if lists.is_empty() {
            until = Instant::now() + SILENT;
        }
    }
    Ok(())
}

/// What comes of it in time.
async fn by<T, E: std::fmt::Display>(
    until: Instant,
    of: impl Future<Output = Result<T, E>>,
) -> Result<T, Fault> {
    timeout_at(until, of)
        .await
        .map_err(|_| Fault::Silent)?
        .map_err(|e| Fault::Said(e.to_string()))
}

/// The next piece of a body; `None` at its end.
async fn next(body: &mut Incoming, until: Instant) -> Result<Option<Bytes>, Fault> {
    loop {
        let frame = timeout_at(until, body.frame())
            .await
            .map_err(|_| Fault::Silent)?;
        match frame
            .transpose()
            .map_err(|e| e.to_string())?
            .map(Frame::into_data)
        {
            None => return Ok(None),
            Some(Ok(data)) => return Ok(Some(data)),
            // Trailers tell nothing.
            Some(Err(_)) => {}
        }
    }
}

/// Lists one behind the other as they come: JSON objects, on a line each or indented, cut anywhere.
///
/// Guards against a service that writes for people, and against one that writes what is no list, or without end. Harm: a
/// list of more than `LIST_MOST` bytes can't be followed.
#[derive(Default)]
pub struct Lists {
    held: BytesMut,
    /// How much was here when half a list was last read in vain.
    vain: usize,
}

impl Lists {
    /// Takes what has come.
    ///
    /// # Errors
    /// If it is too much for a list, or can begin none.
    pub fn push(&mut self, data: &[u8]) -> Result<(), String> {
        self.held.extend_from_slice(data);
        self.skip();
        match self.held.first() {
            Some(b) if *b != b'{' => Err("what comes is no list".to_owned()),
            _ if self.held.len() > LIST_MOST => Err("a list without end".to_owned()),
            _ => Ok(()),
        }
    }

    /// The next list that is whole.
    ///
    /// # Errors
    /// If what is here can become none.
    pub fn next(&mut self) -> Result<Option<Value>, String> {
        // One that comes in many pieces is not read anew with each: when it may have ended, or half as much more is here.
        let ends = self.held.trim_ascii_end().last() == Some(&b'}');
        if self.held.is_empty() || (!ends && 2 * self.held.len() < 3 * self.vain) {
            return Ok(None);
        }
        let mut values = serde_json::Deserializer::from_slice(&self.held).into_iter::<Value>();
        let (value, end) = (values.next(), values.byte_offset());
        match value {
            Some(Ok(value)) => {
                self.held.advance(end);
                self.vain = 0;
                self.skip();
                Ok(Some(value))
            }
            Some(Err(e)) if !e.is_eof() => Err(format!("what comes is no list: {e}")),
            _ => {
                self.vain = self.held.len();
                Ok(None)
            }
        }
    }

    /// Whether nothing of a list is here.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn skip(&mut self) {
        let blank = self.held.len() - self.held.trim_ascii_start().len();
        self.held.advance(blank);
    }
}

/// Asks for `path`; the body of an answer 200 is all that is of use.
async fn ask(
    send: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    path: &str,
    until: Instant,
) -> Result<Incoming, Fault> {
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(Empty::new());
    let request = request.map_err(|e| e.to_string())?;
    let answer = by(until, send.send_request(request)).await?;
    if answer.status() != StatusCode::OK {
        return Err(Fault::Said(format!("answered {}", answer.status())));
    }
    Ok(answer.into_body())
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
