//! The server list: reads it, watches it, and keeps the old one while there is no newer.

use super::driver::{Driver, Place};
use super::BUFFER;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::Builder;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::cell::Cell;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use weldpass::interface::{ListKind, ServerState};
use weldpass::settings::Listed;

/// A watch says something every 2 s. What it has not brought counts as told after 6 s, so a silent one is
/// replaced while there is time for a second silent one.
const SILENT: Duration = Duration::from_millis(2500);
/// Where calls wait in turn, the first word may take this long.
const TURN: Duration = Duration::from_secs(10);
/// Pause before a new watch: the first, and the longest.
const PAUSE: Duration = Duration::from_millis(50);
const PAUSE_MOST: Duration = Duration::from_millis(800);
/// Longest line of a watch.
const LINE_MOST: usize = 4 << 20;

/// Takes in a list or a change of it and returns its index.
///
/// # Errors
/// Says why it is not one. An entry that cannot be used is passed over: the others still count.
pub fn take_in(driver: &Rc<Driver>, list: &Value, cached: bool) -> Result<u64, String> {
    let lines = list.get("endpoints").and_then(Value::as_array).ok_or("a list without `endpoints`")?;
    let index = list.get("index").and_then(Value::as_u64).ok_or("a list without `index`")?;
    let whole = list.get("snapshot").and_then(Value::as_bool).unwrap_or(false);
    let kind = match (cached, whole) {
        (true, _) => ListKind::Cached,
        (false, true) => ListKind::Full,
        (false, false) => ListKind::Delta,
    };
    let places: Vec<Place> = lines.iter().filter_map(|line| place(driver, line)).collect();
    if places.len() < lines.len() {
        driver.log.say(format_args!("{} entries of list {index} can't be used", lines.len() - places.len()));
    }
    driver.members(kind, places);
    Ok(index)
}

fn place(driver: &Rc<Driver>, line: &Value) -> Option<Place> {
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
    Some(Place { entry: driver.names.borrow_mut().entry(&listed), address })
}

/// Keeps a watch open for the life of the node.
pub async fn follow(driver: Rc<Driver>, address: SocketAddr, known: u64) {
    let index = Cell::new(known);
    let mut pause = PAUSE;
    loop {
        if !driver.pushed() {
            driver.watch.notified().await;
        }
        let before = index.get();
        if let Err(fault) = watch(&driver, address, &index).await {
            driver.log.say(format_args!("discovery: {fault}"));
        }
        if !driver.pushed() {
            // The module says when to ask again.
            driver.members(ListKind::Failed, Vec::new());
            continue;
        }
        pause = if index.get() == before { (pause * 2).min(PAUSE_MOST) } else { PAUSE };
        // Watches end for many nodes at once: they must not come back in step.
        let jitter = RandomState::new().hash_one(before) % 1000;
        tokio::time::sleep(pause.mul_f64(0.5 + jitter as f64 / 1000.0)).await;
    }
}

async fn watch(driver: &Rc<Driver>, address: SocketAddr, index: &Cell<u64>) -> Result<(), String> {
    let late = |_| "nothing comes".to_owned();
    let said = |e: &dyn std::fmt::Display| e.to_string();
    let first = if driver.pushed() { SILENT } else { TURN };
    let stream = timeout(SILENT, TcpStream::connect(address)).await.map_err(late)?.map_err(|e| said(&e))?;
    let (mut send, connection) =
        Builder::new().max_buf_size(BUFFER).handshake(TokioIo::new(stream)).await.map_err(|e| said(&e))?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    let _end = AbortOnDrop(task.abort_handle());
    let request = Request::get(format!("/catalog/members?watch=1&after={}", index.get()))
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|e| said(&e))?;
    let answer = timeout(first, send.send_request(request)).await.map_err(late)?.map_err(|e| said(&e))?;
    if answer.status() != StatusCode::OK {
        return Err(format!("answered {}", answer.status()));
    }
    let mut body = answer.into_body();
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
                index.set(take_in(driver, &list, false)?);
            }
        }
        if held.len() > LINE_MOST {
            return Err("a line without end".to_owned());
        }
    }
    Ok(())
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
