//! One keeper: the leases that it has promised and granted to clients. In terms of Paxos, an acceptor.
//!
//! | state | owner | bound | ends |
//! | --- | --- | --- | --- |
//! | promises | [`DurableState`], on disk | [`Config::max_leases`] | evicted after [`Config::evict_after`] without use, or for a new lease; the ballot floor then covers the ballot |
//! | grants | [`Keeper`], in memory | one per lease | on expiry or release |
//! | waiting clients | [`Queue`] | [`Config::max_waiters`] per lease | when granted the lease, or when idle |
//! | log positions of the peers | [`DurableState`] and [`Keeper`] | one per keeper | never |
//!
//! Promises are on disk, grants are not: a restarted keeper assumes that each lease that it has promised was granted at
//! the time of the restart, for its whole duration. So a lease costs two writes when it is acquired and none while it is
//! renewed.

mod clients;
mod peers;

use crate::clock::DriftMargin;
use crate::durable::{DurableState, Record};
use crate::message::{ClientId, LogPosition, Message, Promise, RejectionReason};
use crate::queue::{Queue, QueueTimeouts};
use crate::recovery::{Recovery, Status};
use crate::token::LeaseName;
use crate::Micros;
use std::collections::BTreeMap;

/// Times of last use are rounded down to multiples of [`Config::evict_after`] divided by this.
const LAST_USE_RESOLUTION: u64 = 64;

/// The configuration of a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// The clock drift to allow for.
    pub drift_margin: DriftMargin,
    /// Maximum duration that a client can request, in microseconds.
    pub max_duration: Micros,
    /// Maximum number of leases with a promise.
    pub max_leases: usize,
    /// Maximum number of clients that wait for one lease.
    pub max_waiters: usize,
    /// Time limits of the queues.
    pub queue_timeouts: QueueTimeouts,
    /// Time after which an unused lease is evicted, in microseconds: not granted, not requested and without waiting
    /// clients.
    pub evict_after: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            drift_margin: DriftMargin::default(),
            max_duration: 60_000_000,
            max_leases: 1024,
            max_waiters: 512,
            queue_timeouts: QueueTimeouts {
                reservation: 500_000,
                idle: 15_000_000,
            },
            evict_after: 86_400_000_000,
        }
    }
}

impl Config {
    /// Rounds a time of last use down to the resolution at which leases are evicted.
    fn round_last_use(&self, now: Micros) -> Micros {
        now - now % (self.evict_after / LAST_USE_RESOLUTION).max(1)
    }
}

/// The receiver of an outgoing message.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Destination {
    /// A client of any lease.
    Client(ClientId),
    /// A peer, given by its index in the settings.
    Keeper(usize),
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OutgoingMessage {
    /// Where the message is sent.
    pub destination: Destination,
    /// A response, or a message between keepers.
    pub message: Message,
}

/// The effects of an event. The records have to be on disk before the messages are sent, and messages of later events are
/// sent after these.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Effects {
    /// The records to append to the log.
    pub records: Vec<Record>,
    /// The messages to send after that.
    pub messages: Vec<OutgoingMessage>,
}

/// The volatile state of a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct VolatileLease {
    /// When the grant expires.
    granted_until: Option<Micros>,
    /// The ballot that was released last; a late request to grant it is rejected.
    released: Option<u64>,
    queue: Queue,
    /// When a client last requested the lease, rounded down.
    last_use: Micros,
}

impl VolatileLease {
    fn is_granted(&self, now: Micros) -> bool {
        self.granted_until.is_some_and(|until| until > now)
    }

    fn has_expired(&self, now: Micros) -> bool {
        self.granted_until.is_some_and(|until| until <= now)
    }
}

/// A keeper's view of a lease, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseView<'a> {
    /// The name of the lease.
    pub lease: &'a LeaseName,
    /// The latest promise for the lease.
    pub promise: &'a Promise,
    /// Remaining time of the grant, in microseconds; `None` if it is not granted.
    pub remaining: Option<Micros>,
    /// The waiting clients, longest wait first.
    pub waiting: Vec<&'a ClientId>,
}

/// The state machine of one keeper; see the module.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper {
    own_index: usize,
    keepers: usize,
    config: Config,
    state: DurableState,
    recovery: Recovery,
    /// The latest known log position of each peer, recorded or not.
    peer_positions: Vec<Option<LogPosition>>,
    leases: BTreeMap<LeaseName, VolatileLease>,
    effects: Effects,
}

impl Keeper {
    /// Starts the keeper with index `own_index` of `keepers` from its durable state. `nonce` is random for each process.
    pub fn open(
        own_index: usize,
        keepers: usize,
        config: Config,
        state: DurableState,
        nonce: u64,
        now: Micros,
    ) -> Keeper {
        // Grants are not on disk: each promised lease may have been granted immediately before the restart.
        let assume_granted = |(lease, promise): (&LeaseName, &Promise)| {
            let granted_until = Some(now + config.drift_margin.keeper_duration(promise.duration));
            let last_use = config.round_last_use(now);
            (
                lease.clone(),
                VolatileLease {
                    granted_until,
                    last_use,
                    ..VolatileLease::default()
                },
            )
        };
        let peer_positions = (0..keepers)
            .map(|n| state.peer_positions.get(&(n as u8)).copied())
            .collect();
        let mut keeper = Keeper {
            own_index,
            keepers,
            config,
            recovery: Recovery::new(own_index, keepers, &state, nonce, now),
            peer_positions,
            leases: state.promises.iter().map(assume_granted).collect(),
            state,
            effects: Effects::default(),
        };
        keeper.advance_recovery(now);
        keeper
    }

    /// Takes the effects since the last call.
    pub fn take_effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    /// The phase of the keeper's recovery.
    pub fn status(&self) -> Status {
        self.recovery.status()
    }

    /// The durable state, as it is on disk once all records are written.
    pub fn durable_state(&self) -> &DurableState {
        &self.state
    }

    /// The leases with a promise, for operators.
    pub fn leases(&self, now: Micros) -> impl Iterator<Item = LeaseView<'_>> {
        self.state.promises.iter().map(move |(lease, promise)| {
            let volatile = self.leases.get(lease);
            let granted_until = volatile
                .and_then(|v| v.granted_until)
                .filter(|until| *until > now);
            let remaining = granted_until.map(|until| until - now);
            let waiting = volatile
                .map(|v| v.queue.clients().collect())
                .unwrap_or_default();
            LeaseView {
                lease,
                promise,
                remaining,
                waiting,
            }
        })
    }

    fn append(&mut self, record: Record) {
        self.state.apply(&record);
        self.effects.records.push(record);
    }

    fn send(&mut self, destination: Destination, message: Message) {
        self.effects.messages.push(OutgoingMessage {
            destination,
            message,
        });
    }

    /// Ensures that there is capacity for this lease. If it is new, the least recently used one that is not granted may
    /// be evicted.
    fn ensure_capacity(&mut self, now: Micros, lease: &LeaseName) -> Result<(), RejectionReason> {
        if self.state.promises.contains_key(lease)
            || self.state.promises.len() < self.config.max_leases
        {
            return Ok(());
        }
        let is_free = |l: &&LeaseName| self.leases.get(*l).is_none_or(|v| !v.is_granted(now));
        let last_use = |l: &&LeaseName| self.leases.get(*l).map_or(0, |v| v.last_use);
        let candidates = self.state.promises.keys().filter(is_free);
        let oldest = candidates
            .min_by_key(last_use)
            .cloned()
            .ok_or(RejectionReason::AtCapacity)?;
        self.evict(oldest);
        Ok(())
    }

    /// Evicts a lease; the ballot floor covers its ballot from then on.
    fn evict(&mut self, lease: LeaseName) {
        self.leases.remove(&lease);
        self.append(Record::Evicted(lease));
    }

    /// When [`Keeper::tick`] has something to do next.
    pub fn deadline(&self) -> Micros {
        let leases = self
            .leases
            .values()
            .filter_map(|v| v.granted_until.or(v.queue.deadline()));
        leases.fold(self.recovery.deadline(), Micros::min)
    }

    /// Handles the deadlines that have passed: of queries to the peers, reservations, grants and unused leases.
    pub fn tick(&mut self, now: Micros) {
        self.advance_recovery(now);
        self.expire_reservations(now);
        self.expire_grants(now);
        self.evict_unused(now);
    }

    fn expire_reservations(&mut self, now: Micros) {
        for lease in self
            .leases
            .values_mut()
            .filter(|v| v.granted_until.is_none())
        {
            lease.queue.expire_reservation(now);
        }
    }

    fn expire_grants(&mut self, now: Micros) {
        let expired = self.leases.iter().filter(|(_, v)| v.has_expired(now));
        let expired: Vec<LeaseName> = expired.map(|(lease, _)| lease.clone()).collect();
        expired
            .iter()
            .for_each(|lease| self.announce_if_available(now, lease));
    }

    fn evict_unused(&mut self, now: Micros) {
        let evict_after = self.config.evict_after;
        let is_unused = |v: &VolatileLease| {
            v.granted_until.is_none() && v.queue.is_empty() && v.last_use + evict_after <= now
        };
        let unused = self.leases.iter().filter(|(_, v)| is_unused(v));
        let unused: Vec<LeaseName> = unused.map(|(lease, _)| lease.clone()).collect();
        unused.into_iter().for_each(|lease| self.evict(lease));
    }
}
