//! The listed servers, and what this node knows about each.

use super::server_health::ServerHealth;
use super::work_credit::{capacity_fraction, WorkCredit};
use crate::index::PositionIndex;
use crate::interface::{Endpoint, Rules, ServerId, Time};
use std::ops::{Deref, DerefMut};

/// The least and the greatest relative size that a listed weight can give a server; the mean size is 1.
const RELATIVE_SIZE_RANGE: (f64, f64) = (0.25, 4.0);

/// The attempts that this node has in flight at one server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServerLoad {
    /// Attempts in flight.
    pub(super) in_flight: u32,
    /// Number of them that are overdue.
    pub(super) overdue: u32,
    /// When the last attempt was sent; 0 if there was none.
    pub(super) last_sent_at: Time,
    /// The latest sending time of an answered attempt. An earlier attempt that is still in flight is stalled on its own
    /// connection and is no evidence against the server.
    pub(super) last_answered_sent_at: Time,
}

impl ServerLoad {
    /// Records that the server has responded to an attempt that was sent at this time.
    pub(super) fn record_response(&mut self, sent_at: Time) {
        self.last_answered_sent_at = self.last_answered_sent_at.max(sent_at);
        self.overdue = 0;
    }
}

/// A listed server, and what this node knows about it.
pub(super) struct Server {
    pub(super) endpoint: Endpoint,
    /// Distinguishes the server's current list entry from earlier ones, whose attempts no longer count.
    pub(super) list_entry: u32,
    /// Whether it is in the subset that this node prefers.
    pub(super) is_in_subset: bool,
    pub(super) health: ServerHealth,
    pub(super) load: ServerLoad,
    /// Work that it may be sent during its slow start.
    pub(super) credit: WorkCredit,
}

impl Server {
    /// Creates the state of a server that has just been listed, with an initial slow start credit.
    pub(super) fn new(endpoint: Endpoint, now: Time, is_in_subset: bool, credit: f64) -> Self {
        Server {
            endpoint,
            list_entry: 0,
            is_in_subset,
            health: ServerHealth::new(now),
            load: ServerLoad {
                last_answered_sent_at: now,
                ..ServerLoad::default()
            },
            credit: WorkCredit::new(credit),
        }
    }

    /// The least fraction of its full capacity that it may have now.
    pub(super) fn capacity_fraction(&self, rules: &Rules, now: Time) -> f64 {
        capacity_fraction(rules, self.endpoint.started_at, now)
    }
}

/// The listed servers. Their positions are those of the automaton's vectors.
#[derive(Default)]
pub(super) struct ServerTable {
    servers: Vec<Server>,
    positions: PositionIndex,
    /// Number of list entries so far.
    list_entries: u32,
}

impl ServerTable {
    /// The position of a server, if it is listed.
    pub(super) fn position(&self, server: ServerId) -> Option<usize> {
        self.positions.get(server)
    }

    /// The position of a server, if it is still listed with the same list entry: not removed and listed again since.
    pub(super) fn position_of_entry(&self, server: ServerId, list_entry: u32) -> Option<usize> {
        let position = self.positions.get(server)?;
        (self.servers[position].list_entry == list_entry).then_some(position)
    }

    /// Adds a server at the end.
    pub(super) fn push(&mut self, server: Server) {
        self.positions
            .set(server.endpoint.server, Some(self.servers.len()));
        self.list_entries = self.list_entries.wrapping_add(1);
        self.servers.push(Server {
            list_entry: self.list_entries,
            ..server
        });
    }

    /// Removes a server; the last one takes its position.
    pub(super) fn swap_remove(&mut self, position: usize) -> Server {
        let removed = self.servers.swap_remove(position);
        self.positions.set(removed.endpoint.server, None);
        if let Some(moved) = self.servers.get(position) {
            self.positions.set(moved.endpoint.server, Some(position));
        }
        removed
    }

    /// Records the cluster's verdict on a server, if it is listed.
    pub(super) fn set_peer_verdict(
        &mut self,
        now: Time,
        server: ServerId,
        until: Time,
        is_prober: bool,
    ) {
        if let Some(position) = self.positions.get(server) {
            self.servers[position]
                .health
                .set_peer_verdict(now, until, is_prober);
        }
    }

    /// The mean listed weight.
    pub(super) fn mean_weight(&self) -> f64 {
        let total: f64 = self
            .servers
            .iter()
            .map(|server| server.endpoint.weight)
            .sum();
        total / self.servers.len() as f64
    }

    /// The capacity of all servers, in units of a warm server; one in its slow start counts as a fraction.
    pub(super) fn capacity(&self, rules: &Rules, now: Time) -> f64 {
        self.servers
            .iter()
            .map(|server| server.capacity_fraction(rules, now))
            .sum()
    }

    /// Number of servers at their full capacity.
    pub(super) fn warm_count(&self, rules: &Rules, now: Time) -> usize {
        self.servers
            .iter()
            .filter(|server| server.capacity_fraction(rules, now) >= 1.0)
            .count()
    }
}

impl Deref for ServerTable {
    type Target = [Server];

    fn deref(&self) -> &[Server] {
        &self.servers
    }
}

impl DerefMut for ServerTable {
    fn deref_mut(&mut self) -> &mut [Server] {
        &mut self.servers
    }
}

/// The size of a server relative to the mean, from its listed weight relative to the mean; 1 if weights are not used.
pub(super) fn relative_size(has_server_weights: bool, relative_weight: f64) -> f64 {
    if has_server_weights && relative_weight.is_finite() {
        let (min, max) = RELATIVE_SIZE_RANGE;
        relative_weight.clamp(min, max)
    } else {
        1.0
    }
}
