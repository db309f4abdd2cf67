//! Claims of ids among the processes of a node, over a Unix socket for each pair of them.
//!
//! Both sides write records of [`RECORD_BYTES`]: an operation and the digest of an id. A claim is written before the request
//! is sent anywhere, and what has arrived is read before any claim succeeds. A peer that does not read is given up after
//! [`STUCK_TIMEOUT`], as if it had ended.

#[cfg(test)]
mod tests;

use super::{ClaimError, IdDigest, RETENTION};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

/// The size of a record, in bytes.
const RECORD_BYTES: usize = 1 + IdDigest::BYTES;
const READ_BYTES: usize = 4096;
/// A peer that has taken no record for this long, though the socket is full, sends no requests either.
const STUCK_TIMEOUT: Duration = Duration::from_secs(1);

/// What a record states about its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    /// A request with this id may be sent.
    Claim = 1,
    /// No request with this id may have run, or it ended long enough ago.
    Release = 2,
    /// All ids that were claimed when the link was added have been sent; the id has no meaning.
    Synchronized = 3,
}

impl Operation {
    fn from_byte(byte: u8) -> Option<Operation> {
        [
            Operation::Claim,
            Operation::Release,
            Operation::Synchronized,
        ]
        .into_iter()
        .find(|operation| *operation as u8 == byte)
    }
}

/// How much is known of the claims of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkState {
    /// Those from before the link are not known.
    Synchronizing,
    /// All claims are known, or the peer has ended.
    Synchronized,
}

/// The connection to another process of the node.
pub(super) struct PeerLink {
    stream: UnixStream,
    state: LinkState,
    /// Records that the socket has not taken yet.
    unsent: Vec<u8>,
    /// Since when the socket takes no more.
    blocked_since: Option<Instant>,
    is_ended: bool,
    /// The beginning of a record whose rest has not arrived.
    partial: Vec<u8>,
    /// The ids that the peer has claimed.
    claimed: HashMap<IdDigest, Claim>,
}

/// The state of a peer's claim.
#[derive(Clone, Copy)]
enum Claim {
    Held,
    /// The peer has ended.
    HeldUntil(Instant),
}

impl PeerLink {
    /// A link over a stream on which nothing but records is sent from now on.
    ///
    /// # Errors
    /// If the stream can't be used without blocking.
    pub(super) fn new(stream: UnixStream) -> io::Result<PeerLink> {
        stream.set_nonblocking(true)?;
        Ok(PeerLink {
            stream,
            state: LinkState::Synchronizing,
            unsent: Vec::new(),
            blocked_since: None,
            is_ended: false,
            partial: Vec::new(),
            claimed: HashMap::new(),
        })
    }

    /// Another handle of the stream, to wait for records.
    pub(super) fn clone_stream(&self) -> io::Result<UnixStream> {
        self.stream.try_clone()
    }

    fn write(&mut self, operation: Operation, id: IdDigest) {
        if self.is_ended {
            return;
        }
        self.unsent.push(operation as u8);
        self.unsent.extend_from_slice(&id.0);
    }

    /// Passes records to the socket; returns whether it has taken all of them, or the peer has ended.
    fn flush(&mut self, now: Instant) -> bool {
        while !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(length) if length > 0 => {
                    self.unsent.drain(..length);
                    self.blocked_since = None;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    let since = *self.blocked_since.get_or_insert(now);
                    if now - since < STUCK_TIMEOUT {
                        return false;
                    }
                    // What it has claimed before is known from its records.
                    self.receive(now);
                    self.end(now);
                }
                // The reading side finds the end, behind the last records.
                _ => self.unsent.clear(),
            }
        }
        true
    }

    /// Handles all records that have arrived, and the end of the peer.
    fn receive(&mut self, now: Instant) {
        let mut buffer = [0; READ_BYTES];
        while !self.is_ended {
            match self.stream.read(&mut buffer) {
                Ok(0) => self.end(now),
                Ok(length) => {
                    let received = buffer.get(..length).unwrap_or_default();
                    self.partial.extend_from_slice(received);
                    self.handle_records();
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => self.end(now),
            }
        }
    }

    fn handle_records(&mut self) {
        let received = std::mem::take(&mut self.partial);
        let records = received.chunks_exact(RECORD_BYTES);
        self.partial = records.remainder().to_vec();
        for record in records {
            if let Some((operation, id)) = parse_record(record) {
                self.handle_record(operation, id);
            }
        }
    }

    fn handle_record(&mut self, operation: Operation, id: IdDigest) {
        match operation {
            Operation::Claim => drop(self.claimed.insert(id, Claim::Held)),
            Operation::Release => drop(self.claimed.remove(&id)),
            Operation::Synchronized => self.state = LinkState::Synchronized,
        }
    }

    /// Ends the link. The claims of the peer are kept for as long as it would have.
    fn end(&mut self, now: Instant) {
        let _ = self.stream.shutdown(Shutdown::Both);
        self.is_ended = true;
        self.state = LinkState::Synchronized;
        self.unsent = Vec::new();
        for claim in self.claimed.values_mut() {
            *claim = Claim::HeldUntil(now + RETENTION);
        }
    }

    /// Forgets the claims of a peer that ended long enough ago; returns whether any are left, or may come.
    fn is_of_use(&mut self, now: Instant) -> bool {
        self.claimed.retain(|_, claim| match claim {
            Claim::Held => true,
            Claim::HeldUntil(until) => *until > now,
        });
        !self.is_ended || !self.claimed.is_empty()
    }
}

fn parse_record(record: &[u8]) -> Option<(Operation, IdDigest)> {
    let (operation, id) = record.split_first()?;
    Some((
        Operation::from_byte(*operation)?,
        IdDigest(id.try_into().ok()?),
    ))
}

/// The links to all other processes of the node.
#[derive(Default)]
pub(super) struct PeerIds {
    links: Vec<PeerLink>,
}

impl PeerIds {
    /// Adds a link, and sends the ids that are claimed here.
    pub(super) fn add(&mut self, mut link: PeerLink, claimed: &[IdDigest], now: Instant) {
        for id in claimed {
            link.write(Operation::Claim, *id);
        }
        link.write(Operation::Synchronized, IdDigest([0; IdDigest::BYTES]));
        link.flush(now);
        self.links.push(link);
    }

    /// Claims an id at all peers.
    ///
    /// # Errors
    /// If a peer has claimed it, or does not take notice of the claim.
    pub(super) fn claim(&mut self, id: IdDigest, now: Instant) -> Result<(), ClaimError> {
        if self.links.is_empty() {
            return Ok(());
        }
        let mut result = Ok(());
        for link in &mut self.links {
            link.write(Operation::Claim, id);
            if !link.flush(now) {
                result = Err(ClaimError::Full);
            }
        }
        self.receive(now);
        if self.links.iter().any(|link| link.claimed.contains_key(&id)) {
            result = Err(ClaimError::InUse);
        }
        if result.is_err() {
            self.release(&[id], now);
        }
        result
    }

    /// Releases ids at all peers.
    pub(super) fn release(&mut self, ids: &[IdDigest], now: Instant) {
        for link in &mut self.links {
            for id in ids {
                link.write(Operation::Release, *id);
            }
            link.flush(now);
        }
    }

    /// Receives what the peers have sent, and forgets those that ended long enough ago.
    pub(super) fn receive(&mut self, now: Instant) {
        self.links.retain_mut(|link| {
            link.flush(now);
            link.receive(now);
            link.is_of_use(now)
        });
    }

    /// Whether the claims of all peers are known.
    pub(super) fn state(&self) -> LinkState {
        let is_synchronized = |link: &PeerLink| link.state == LinkState::Synchronized;
        if self.links.iter().all(is_synchronized) {
            LinkState::Synchronized
        } else {
            LinkState::Synchronizing
        }
    }
}
