//! The server list: reads it, watches it, and keeps the old one while there is no newer.

use super::pool::Pool;
use super::BUFFER;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use reelfall_core::engine::Place;
use reelfall_core::interface::{ListKind, ServerState};
use reelfall_core::settings::Listed;
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// A watch says something every 2 s. What it has not brought counts as told after 6 s, so a silent one is
/// replaced while there is time for a second silent one.
const SILENT: Duration = Duration::from_millis(2500);
/// Where calls wait in turn, the first word may take this long.
const TURN: Duration = Duration::from_secs(10);
/// Pause before a new watch: the first, and the longest.
const PAUSE: Duration = Duration::from_millis(50);
const PAUSE_MOST: Duration = Duration::from_millis(800);
/// Longest line of a watch, and the longest whole list.
const LINE_MOST: usize = 4 << 20;

/// Takes in a list or a change of it and returns its index.
///
/// # Errors
/// Says why it is not one. An entry that cannot be used is passed over: the others still count.
pub fn take_in(pool: &Rc<Pool>, list: &Value, cached: bool) -> Result<u64, String> {
    let lines = list.get("endpoints").and_then(Value::as_array).ok_or("a list without `endpoints`")?;
    let index = list.get("index").and_then(Value::as_u64).ok_or("a list without `index`")?;
    let whole = list.get("snapshot").and_then(Value::as_bool).unwrap_or(false);
    let kind = match (cached, whole) {
        (true, _) => ListKind::Cached,
        (false, true) => ListKind::Full,
        (false, false) => ListKind::Delta,
    };
    let mut places = Vec::with_capacity(lines.len());
    let mut unusable = 0;
    for line in lines {
        match read(line) {
            // A server that left without ever being heard of needs no number.
            Some((listed, _))
                if listed.state == ServerState::Gone
                    && pool.names.borrow().servers.get(listed.name).is_none() => {}
            Some((listed, address)) => {
                places.push(Place { entry: pool.names.borrow_mut().entry(&listed), address });
            }
            None => unusable += 1,
        }
    }
    if unusable > 0 {
        pool.shared.log.say(format_args!("{unusable} entries of list {index} can't be used"));
    }
    pool.members(kind, places);
    Ok(index)
}

/// Reads a line of the list.
fn read(line: &Value) -> Option<(Listed<'_>, SocketAddr)> {
    let text = |name: &str| line.get(name).and_then(Value::as_str);
    let address: SocketAddr = text("address")?.parse().ok()?;
    let listed = Listed {
        name: text("name")?,
        zone: text("zone"),
        kind: text("type"),
        cell: line.get("group").and_then(Value::as_u64).map_or(0, |g| g as u32),
        state: match text("status") {
            Some("active") => ServerState::Up,
            Some("left") => ServerState::Gone,
            // A word that is not known here is not leave to send.
            _ => ServerState::Draining,
        },
        weight: line.get("weight").and_then(Value::as_f64),
        ready_at: line.get("since_ms").and_then(Value::as_f64).map(|ms| ms / 1e3),
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
        if let Some(sees) = self.pool.shared.sees() {
            sees.left_list(&self.name, self.pool.id);
        }
    }
}

/// Keeps a watch open for the life of the node, at whatever address the configuration names last.
///
/// A new address is turned to at once: the old one closes soon, and what the new one has to tell counts as told
/// within seconds. What it calls a version need not be what the old one called so, hence the whole list is asked
/// for first; that also heals any other change of the service behind an address. Harm: one list more a switch.
pub async fn follow(pool: Rc<Pool>, mut address: watch::Receiver<SocketAddr>, known: u64, name: String) {
    let _following = Following { pool: pool.clone(), name: name.clone() };
    let index = Cell::new(Some(known));
    let mut pause = PAUSE;
    loop {
        if !pool.pushed() {
            pool.watch.notified().await;
        }
        let at = *address.borrow_and_update();
        let before = index.get();
        let ended = tokio::select! {
            ended = watch(&pool, at, &index, &name) => ended,
            Ok(()) = address.changed() => {
                index.set(None);
                pause = PAUSE;
                // Where lists are asked for, the module's leave for the old address holds for the new one.
                pool.watch.notify_one();
                continue;
            }
        };
        if let Err(fault) = ended {
            pool.shared.log.say(format_args!("discovery: {fault}"));
        }
        if !pool.pushed() {
            // The module says when to ask again.
            pool.members(ListKind::Failed, Vec::new());
            continue;
        }
        pause = if index.get() == before { (pause * 2).min(PAUSE_MOST) } else { PAUSE };
        // Watches end for many nodes at once: they must not come back in step.
        let rest = tokio::time::sleep(pause.mul_f64(0.5 + pool.chance.fraction()));
        tokio::select! {
            () = rest => {}
            Ok(()) = address.changed() => {
                index.set(None);
                pause = PAUSE;
            }
        }
    }
}

async fn watch(
    pool: &Rc<Pool>, address: SocketAddr, index: &Cell<Option<u64>>, name: &str,
) -> Result<(), String> {
    let heard = |new: u64| {
        index.set(Some(new));
        if let Some(sees) = pool.shared.sees() {
            sees.saw_list(name, pool.id, new);
        }
    };
    let late = |_| "nothing comes".to_owned();
    let said = |e: &dyn std::fmt::Display| e.to_string();
    let first = if pool.pushed() { SILENT } else { TURN };
    let stream = timeout(SILENT, TcpStream::connect(address)).await.map_err(late)?.map_err(|e| said(&e))?;
    let (mut send, connection) =
        Builder::new().max_buf_size(BUFFER).handshake(TokioIo::new(stream)).await.map_err(|e| said(&e))?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    let _end = AbortOnDrop(task.abort_handle());
    let after = match index.get() {
        Some(after) => after,
        None => {
            let mut body = ask(&mut send, address, "/catalog/members", first).await?;
            let mut held = BytesMut::new();
            while let Some(frame) = timeout(first, body.frame()).await.map_err(late)? {
                if let Ok(data) = frame.map_err(|e| said(&e))?.into_data() {
                    held.extend_from_slice(&data);
                }
                if held.len() > LINE_MOST {
                    return Err("a list without end".to_owned());
                }
            }
            let list = serde_json::from_slice(&held).map_err(|e| format!("a list that is none: {e}"))?;
            let after = take_in(pool, &list, false)?;
            heard(after);
            timeout(first, send.ready()).await.map_err(late)?.map_err(|e| said(&e))?;
            after
        }
    };
    let mut body = ask(&mut send, address, &format!("/catalog/members?watch=1&after={after}"), first).await?;
    let mut held = BytesMut::new();
    let mut patience = first;
    // A line that the connection's end cut off stays in `held` and is never taken for a whole one.
    while let Some(frame) = timeout(patience, body.frame()).await.map_err(late)? {
        patience = SILENT;
        if let Ok(data) = frame.map_err(|e| said(&e))?.into_data() {
            held.extend_from_slice(&data);
        }
        while let Some(end) = held.iter().position(|b| *b == b'\n') {
            let line = held.split_to(end + 1);
            if !line.trim_ascii().is_empty() {
                let list =
                    serde_json::from_slice(&line).map_err(|e| format!("a line that is no list: {e}"))?;
                heard(take_in(pool, &list, false)?);
            }
        }
        if held.len() > LINE_MOST {
            return Err("a line without end".to_owned());
        }
    }
    Ok(())
}

/// Asks for `path`; the body of an answer 200 is all that is of use.
async fn ask(
    send: &mut SendRequest<Empty<Bytes>>, address: SocketAddr, path: &str, within: Duration,
) -> Result<Incoming, String> {
    let request = Request::get(path).header("host", address.to_string()).body(Empty::new());
    let request = request.map_err(|e| e.to_string())?;
    let answer = timeout(within, send.send_request(request)).await.map_err(|_| "nothing comes".to_owned())?;
    let answer = answer.map_err(|e| e.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("answered {}", answer.status()));
    }
    Ok(answer.into_body())
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
