//! The requests of a follower: the queue of those to be sent, and the purpose of each until its response arrives.

use crate::session::TokenRequest;
use crate::wire::{Op, Stat};
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};

/// The data and metadata of an entry as read, before they are validated.
#[derive(Debug, PartialEq)]
pub(super) struct RawEntry {
    pub(super) data: Bytes,
    pub(super) stat: Stat,
}

/// What a request is for.
#[derive(Debug, PartialEq)]
pub(super) enum Purpose {
    /// Its response is ignored.
    Sync,
    /// Sets the persistent watch.
    Watch,
    /// Reads the names of the children.
    List,
    /// Reads the data of a child.
    ReadData(String),
    /// Reads the access list of a child whose data has been read.
    ReadAcl(String, Box<RawEntry>),
}

/// Requests that are queued or in flight, by token.
#[derive(Debug, Default)]
pub(super) struct Requests {
    pending: HashMap<u64, Purpose>,
    last_token: u64,
    queue: VecDeque<TokenRequest>,
}

impl Requests {
    /// Queues a request under a new token.
    pub(super) fn add(&mut self, purpose: Purpose, op: Op) {
        self.last_token += 1;
        self.pending.insert(self.last_token, purpose);
        self.queue.push_back(TokenRequest {
            token: self.last_token,
            op,
        });
    }

    /// Takes the next request to be sent.
    pub(super) fn next(&mut self) -> Option<TokenRequest> {
        self.queue.pop_front()
    }

    /// Ends a request and returns its purpose; `None` if the request is unknown or was forgotten.
    pub(super) fn complete(&mut self, token: u64) -> Option<Purpose> {
        self.pending.remove(&token)
    }

    /// Forgets all requests. Tokens are not reused.
    pub(super) fn clear(&mut self) {
        self.queue.clear();
        self.pending.clear();
    }

    /// Number of requests that are queued or in flight.
    pub(super) fn pending_count(&self) -> usize {
        self.pending.len()
    }
}
