//! Follows the endpoint list of the platform's discovery service: reads it, watches it for changes, and retains the
//! last list while the service can't be reached.
//!
//! [`DiscoverySource`](super::service::DiscoverySource) runs [`follow`] for a pool; the node's start applies the list
//! that it was given with [`apply_list`].
//!
//! | module | responsibility |
//! | --- | --- |
//! | `connection` | an HTTP connection to the service |
//! | `error` | why a watch ends or a list can't be used |
//! | `reader` | splits a stream of bytes into lists |
//! | `wire` | the format of lists |

mod connection;
mod error;
mod reader;
mod wire;

pub use error::ListError;

use super::pool::Pool;
use connection::{next_data, Connection};
use error::WatchError;
use hyper::body::Incoming;
use reader::ListReader;
use reelfall_balancer::engine::AddressedEndpoint;
use reelfall_balancer::interface::{ServerState, UpdateKind};
use reelfall_balancer::settings::ListedEndpoint;
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::{parse_endpoint, watch_path, ListUpdate, ParsedEndpoint, LIST_PATH};

// A node has to know what the discovery service knows at most 6 s after the service can be reached again. The longest
// delay, of which each part is limited by a constant here or by the balancer's backoff:
//
// | pushed lists | s | polled lists | s |
// | --- | --- | --- | --- |
// | a watch falls silent: `SILENCE_TIMEOUT` | 2.5 | the same | 2.5 |
// | a connection opens and stays silent: `OPEN_TIMEOUT` | 1.5 | the balancer's first backoff, at most | 1.0 |
// | another connection does so, opened at once | 1.5 | a response to a queued request | 2.0 |
// | sum | 5.5 | sum | 5.5 |
//
// A poll that hangs when the service comes back: `POLL_OPEN_TIMEOUT` 3 s, the balancer's longest backoff 2 s, and a
// response within 1 s. After a change of the address: 1.5 s + 1.5 s.
//
// With pushed lists there is no backoff after a timeout, so that a connection waits at a silent service nearly all the
// time; only connections that are refused are retried with a growing backoff.

/// A watch receives something every 2 s; one that has received nothing complete for this long is broken.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// From the start of the connect to the first complete list or keep-alive, for pushed lists.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1500);
/// The part of [`OPEN_TIMEOUT`] for the connect itself, which is to an agent on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Like [`OPEN_TIMEOUT`], for polled lists: the service queues requests and rejects those that have waited for 2 s.
const POLL_OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// The first backoff, from the start of one watch to the start of the next.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff while connections are refused.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Applies a list or a change of one to a pool, and returns its index. `is_cached`: the list is known from before, and
/// may be outdated. Endpoints that can't be used are skipped.
///
/// # Errors
/// If it has no endpoints or no index.
pub fn apply_list(pool: &Rc<Pool>, list: &Value, is_cached: bool) -> Result<u64, ListError> {
    let update = ListUpdate::parse(list)?;
    let index = update.index;
    let mut endpoints = Vec::with_capacity(update.endpoints.len());
    let mut unusable = 0;
    for endpoint in update.endpoints {
        match parse_endpoint(endpoint) {
            Some(parsed) if is_unknown_removal(pool, &parsed.listed) => {}
            Some(ParsedEndpoint { listed, address }) => endpoints.push(AddressedEndpoint {
                endpoint: pool.names.borrow_mut().endpoint(&listed),
                address,
            }),
            None => unusable += 1,
        }
    }
    if unusable > 0 {
        pool.shared.log.write_line(format_args!(
            "discovery: {unusable} invalid entries in list {index}"
        ));
    }
    pool.update_endpoints(update.kind(is_cached), endpoints);
    Ok(index)
}

/// Whether this entry removes a server that the pool has never known, and which needs no id therefore.
fn is_unknown_removal(pool: &Pool, listed: &ListedEndpoint) -> bool {
    listed.state == ServerState::Removed && pool.names.borrow().servers.get(listed.name).is_none()
}

/// Follows the list at the latest address of the service, for as long as the future is polled. `known_index` is the
/// index of the list that the pool already has.
pub async fn follow(
    pool: Rc<Pool>,
    mut address: watch::Receiver<SocketAddr>,
    known_index: u64,
    list_name: String,
) {
    let follower = ListFollower {
        pool: pool.clone(),
        list_name,
        index: Cell::new(Some(known_index)),
    };
    let mut backoff = MIN_BACKOFF;
    loop {
        if !pool.uses_push_discovery() {
            pool.poll_requested.notified().await;
        }
        let current_address = *address.borrow_and_update();
        let index_before = follower.index.get();
        let started = Instant::now();
        let result = tokio::select! {
            result = follower.watch(current_address) => result,
            Ok(()) = address.changed() => {
                // The old address closes soon, and the new one may number its lists differently.
                follower.request_snapshot();
                backoff = MIN_BACKOFF;
                // The balancer's request for a poll now applies to the new address.
                pool.poll_requested.notify_one();
                continue;
            }
        };
        if let Err(error) = &result {
            pool.shared
                .log
                .write_line(format_args!("discovery: {error}"));
        }
        if !pool.uses_push_discovery() {
            // The balancer decides when to poll again.
            pool.update_endpoints(UpdateKind::Failed, Vec::new());
            continue;
        }
        let was_refused =
            follower.index.get() == index_before && !matches!(result, Err(WatchError::TimedOut));
        backoff = next_backoff(backoff, was_refused);
        // Jittered, since watches of many nodes end at the same time.
        let retry_at = started + backoff.mul_f64(0.5 + pool.rng.next_fraction());
        tokio::select! {
            () = tokio::time::sleep_until(retry_at) => {}
            Ok(()) = address.changed() => {
                follower.request_snapshot();
                backoff = MIN_BACKOFF;
            }
        }
    }
}

fn next_backoff(backoff: Duration, was_refused: bool) -> Duration {
    if was_refused {
        (backoff * 2).min(MAX_BACKOFF)
    } else {
        MIN_BACKOFF
    }
}

/// Follows a list on behalf of a pool; the fleet's observer is notified when this is dropped.
struct ListFollower {
    pool: Rc<Pool>,
    list_name: String,
    /// The index of the last list; `None` if a snapshot has to be requested.
    index: Cell<Option<u64>>,
}

impl Drop for ListFollower {
    fn drop(&mut self) {
        if let Some(observer) = self.pool.shared.fleet_observer() {
            observer.list_dropped(&self.list_name, self.pool.id);
        }
    }
}

impl ListFollower {
    /// Has the next watch begin with a snapshot, since changes can't be applied any more.
    fn request_snapshot(&self) {
        self.index.set(None);
    }

    /// Watches the list until the connection ends.
    async fn watch(&self, address: SocketAddr) -> Result<(), WatchError> {
        // One deadline for all steps until the first data, since timeouts of single steps would add up.
        let now = Instant::now();
        let is_pushed = self.pool.uses_push_discovery();
        let open_timeout = if is_pushed {
            OPEN_TIMEOUT
        } else {
            POLL_OPEN_TIMEOUT
        };
        let open_deadline = now + open_timeout;
        let connect_deadline = if is_pushed {
            now + CONNECT_TIMEOUT
        } else {
            open_deadline
        };
        let mut connection = Connection::open(address, connect_deadline, open_deadline).await?;
        let index = match self.index.get() {
            Some(index) => index,
            None => self.fetch_snapshot(&mut connection, open_deadline).await?,
        };
        let body = connection.get(&watch_path(index), open_deadline).await?;
        self.apply_changes(body, open_deadline).await
    }

    /// Requests and applies the complete list, and returns its index.
    async fn fetch_snapshot(
        &self,
        connection: &mut Connection,
        deadline: Instant,
    ) -> Result<u64, WatchError> {
        let mut body = connection.get(LIST_PATH, deadline).await?;
        let mut reader = ListReader::default();
        while let Some(data) = next_data(&mut body, deadline).await? {
            reader.push(&data)?;
        }
        let list = reader.next_list()?.ok_or(ListError::Incomplete)?;
        let index = self.apply(&list)?;
        connection.ready(deadline).await?;
        Ok(index)
    }

    /// Applies the changes in the body of a watch until it ends. A change that is incomplete at the end is dropped.
    async fn apply_changes(
        &self,
        mut body: Incoming,
        open_deadline: Instant,
    ) -> Result<(), WatchError> {
        let mut reader = ListReader::default();
        let mut deadline = open_deadline;
        while let Some(data) = next_data(&mut body, deadline).await? {
            reader
                .push(&data)
                .inspect_err(|_| self.request_snapshot())?;
            while let Some(list) = reader
                .next_list()
                .inspect_err(|_| self.request_snapshot())?
            {
                self.apply(&list)?;
                deadline = Instant::now() + SILENCE_TIMEOUT;
            }
            // An empty line is a keep-alive. Part of a change is not, even if more of it is received.
            if reader.is_empty() {
                deadline = Instant::now() + SILENCE_TIMEOUT;
            }
        }
        Ok(())
    }

    /// Applies a list or a change of one, and returns its index. If it can't be used, a snapshot is requested next,
    /// rather than the same change again.
    fn apply(&self, list: &Value) -> Result<u64, ListError> {
        let index = apply_list(&self.pool, list, false).inspect_err(|_| self.request_snapshot())?;
        self.index.set(Some(index));
        if let Some(observer) = self.pool.shared.fleet_observer() {
            observer.list_updated(&self.list_name, self.pool.id, index);
        }
        Ok(index)
    }
}

#[cfg(test)]
mod tests;
