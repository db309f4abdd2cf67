//! The ids of requests, so that no unsafe request runs twice.
//!
//! An id is claimed while its request is open. That of a request which must not be repeated stays claimed for
//! [`RETENTION`] after its end if it may have run, since its client may not have seen the answer and may send it again. The
//! processes of an upgrade tell each other what they have claimed ([`PeerLink`]).

mod peer_link;
mod retained;

use super::Shared;
use peer_link::{LinkState, PeerIds, PeerLink};
use retained::RetainedIds;
use rustix::net::{recv, RecvFlags};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::os::unix::net::UnixStream;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::io::Interest;
use tokio::sync::Notify;

/// How long the id of an unsafe request stays claimed after its end: as long as a client's connection may be idle.
const RETENTION: Duration = Duration::from_secs(5);
/// Maximum number of ids that are retained.
const MAX_RETAINED_IDS: usize = 64 << 10;
/// With more than [`MAX_RETAINED_IDS`], ids are forgotten after this time.
const MIN_RETENTION: Duration = Duration::from_secs(1);

/// A digest of an id, of the same size for each id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdDigest([u8; IdDigest::BYTES]);

impl IdDigest {
    /// Its size in bytes.
    const BYTES: usize = 16;

    fn of(id: &[u8]) -> IdDigest {
        let hash = blake3::hash(id);
        let (digest, _) = hash
            .as_bytes()
            .split_first_chunk()
            .unwrap_or((&[0; IdDigest::BYTES], &[]));
        IdDigest(*digest)
    }
}

/// Whether a client may send a request again with the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// At any time.
    Repeatable,
    /// Only if it never ran.
    Unsafe,
}

/// Why an id can't be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ClaimError {
    /// A request with this id is open, or has ended a short time ago and may have run.
    #[error("a request with this id is open")]
    InUse,
    /// Too many ids are retained.
    #[error("too many unsafe requests")]
    Full,
}

/// The ids of open requests and of unsafe requests that have ended.
#[derive(Default)]
pub(super) struct RequestIds {
    open: RefCell<HashMap<IdDigest, Repeatability>>,
    retained: RefCell<RetainedIds>,
    peers: RefCell<PeerIds>,
}

impl RequestIds {
    /// The ids of unsafe requests that are open or retained.
    fn unsafe_ids(&self) -> Vec<IdDigest> {
        let open = self.open.borrow();
        let unsafe_open = open
            .iter()
            .filter(|(_, repeatability)| **repeatability == Repeatability::Unsafe);
        let mut ids: Vec<IdDigest> = unsafe_open.map(|(id, _)| *id).collect();
        ids.extend(self.retained.borrow().ids());
        ids
    }

    /// Forgets the ids whose retention has ended.
    fn expire(&self, now: Instant) {
        let expired = self.retained.borrow_mut().expire(now);
        self.peers.borrow_mut().release(&expired, now);
    }

    fn claim_unsafe(&self, id: IdDigest) -> Result<(), ClaimError> {
        let now = Instant::now();
        self.expire(now);
        if self.retained.borrow().contains(&id) {
            return Err(ClaimError::InUse);
        }
        if self.retained.borrow().is_full(now) {
            return Err(ClaimError::Full);
        }
        // First announced, then compared: of two processes that claim an id at the same time, one sees the other's claim
        // at least.
        self.peers.borrow_mut().claim(id, now)
    }

    fn release(&self, claim: &OpenId) {
        self.open.borrow_mut().remove(&claim.id);
        if claim.repeatability != Repeatability::Unsafe {
            return;
        }
        let now = Instant::now();
        if claim.may_have_run() {
            self.retained.borrow_mut().insert(claim.id, now);
        } else {
            self.peers.borrow_mut().release(&[claim.id], now);
        }
    }
}

/// The claimed id of an open request, released when this is dropped.
pub struct OpenId {
    shared: Rc<Shared>,
    id: IdDigest,
    repeatability: Repeatability,
    /// The number of attempts that may have run the request.
    possible_runs: Cell<u32>,
}

impl OpenId {
    /// Records that an attempt is sent, before anything of it is.
    pub fn attempt_sent(&self) {
        self.possible_runs.set(self.possible_runs.get() + 1);
    }

    /// Records that an attempt that was sent never ran.
    pub fn attempt_never_ran(&self) {
        self.possible_runs
            .set(self.possible_runs.get().saturating_sub(1));
    }

    fn may_have_run(&self) -> bool {
        self.possible_runs.get() > 0
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.shared.request_ids.release(self);
    }
}

impl Shared {
    /// Claims an id for a request. Servers identify requests by their ids, so a server would treat two open requests with the
    /// same id as two attempts of one request.
    ///
    /// # Errors
    /// If another request has the id, at this process or at another one of the node.
    pub fn claim_request_id(
        self: &Rc<Self>,
        id: &[u8],
        repeatability: Repeatability,
    ) -> Result<OpenId, ClaimError> {
        let id = IdDigest::of(id);
        let ids = &self.request_ids;
        if ids.open.borrow().contains_key(&id) {
            return Err(ClaimError::InUse);
        }
        if repeatability == Repeatability::Unsafe {
            ids.claim_unsafe(id)?;
        }
        ids.open.borrow_mut().insert(id, repeatability);
        Ok(OpenId {
            shared: self.clone(),
            id,
            repeatability,
            possible_runs: Cell::new(0),
        })
    }

    /// Shares the ids of unsafe requests with another process of the node, and waits until that has sent those that it had.
    ///
    /// # Errors
    /// If the stream can't be used.
    pub async fn share_request_ids(self: &Rc<Self>, stream: UnixStream) -> io::Result<()> {
        let link = PeerLink::new(stream)?;
        let readable = tokio::net::UnixStream::from_std(link.clone_stream()?)?;
        let ids = self.request_ids.unsafe_ids();
        self.request_ids
            .peers
            .borrow_mut()
            .add(link, &ids, Instant::now());
        let received = Rc::new(Notify::new());
        tokio::task::spawn_local(receive_ids(Rc::downgrade(self), readable, received.clone()));
        while self.request_ids.peers.borrow().state() == LinkState::Synchronizing {
            received.notified().await;
        }
        Ok(())
    }

    /// Called periodically: forgets ids, and those of processes that have ended.
    pub(super) fn tick_request_ids(&self) {
        let now = Instant::now();
        self.request_ids.expire(now);
        self.request_ids.peers.borrow_mut().receive(now);
    }
}

/// Receives the ids of another process as they come, until it ends. Reports each time to `received`.
async fn receive_ids(shared: Weak<Shared>, readable: tokio::net::UnixStream, received: Rc<Notify>) {
    while readable.readable().await.is_ok() {
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let mut peers = shared.request_ids.peers.borrow_mut();
        peers.receive(Instant::now());
        received.notify_one();
        // What arrives from now on makes the stream readable again.
        let peeked = readable.try_io(Interest::READABLE, || {
            let (peeked, _) = recv(&readable, &mut [0; 1], RecvFlags::PEEK)?;
            Ok(peeked)
        });
        if peeked.is_ok_and(|length| length == 0) {
            return;
        }
    }
}
