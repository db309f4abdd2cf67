//! A publisher: publishes changes while it holds the lease, and serves the first-tier relays.
//!
//! | state | ends |
//! | --- | --- |
//! | standby: follows a relay, to replicate the changes of other publishers | when it acquires the lease |
//! | taking over: reads the changes of the first-tier relays, one relay after the other | when all have been read, or after [`PublisherConfig::takeover_timeout`] |
//! | publishing: serves relays, and follows no upstream | when the lease ends or is released, or a later fencing token is seen |
//!
//! A later publisher may lack changes that an earlier one published just before it was partitioned. Relays and nodes
//! report them as orphans, and the current publisher overwrites them with its own content. So all replicas converge,
//! and versions only ever increase.

mod lease;
mod orphans;
mod publishing;
mod rollouts;

pub use rollouts::{RolloutDraft, RolloutStatus};

use crate::close_reason::CloseReason;
use crate::coverage::Coverage;
use crate::downstream::Downstream;
use crate::downstream_config::DownstreamConfig;
use crate::epoch::Epoch;
use crate::history::ChangeHistory;
use crate::log::{Capacity, ChangeLog};
use crate::message::{self, Payload};
use crate::node_status::{NodeStatuses, Rejection, VersionStatus};
use crate::output::{Event, Output, Record};
use crate::peer::PeerId;
use crate::replica::{Replica, ReplicaUpdate};
use crate::report::Report;
use crate::resource::{ChangeId, Version};
use crate::restore::RestoredState;
use crate::upstream::Upstream;
use crate::upstream_config::UpstreamConfig;
use crate::Time;
use reelfall_lease::token::{Claim, LeaseName};
use rollouts::Rollouts;
use std::collections::BTreeSet;

/// Configuration of a publisher.
#[derive(Clone, Debug)]
pub struct PublisherConfig {
    /// The lease under which publishers publish; one of them holds it at a time.
    pub lease: LeaseName,
    /// How it follows the first-tier relays while it does not publish.
    pub upstream: UpstreamConfig,
    /// How it serves its children.
    pub downstream: DownstreamConfig,
    /// Limits of its log.
    pub capacity: Capacity,
    /// Size of the history for reverts, in bytes.
    pub history_bytes: usize,
    /// Maximum time in seconds to read the first-tier relays when it takes over.
    pub takeover_timeout: Time,
    /// Seed of its random numbers, including session ids; has to differ at each start.
    pub seed: u64,
}

#[derive(Debug)]
enum State {
    Standby,
    TakingOver {
        claim: Claim,
        lease_until: Time,
        deadline: Time,
        caught_up: BTreeSet<PeerId>,
    },
    Publishing {
        epoch: Epoch,
        lease_until: Time,
        overwritten_orphans: usize,
    },
}

/// The state machine of a publisher process.
#[derive(Debug)]
pub struct Publisher {
    config: PublisherConfig,
    state: State,
    replica: Replica,
    downstream: Downstream,
    history: ChangeHistory,
    node_statuses: NodeStatuses,
    rollouts: Rollouts,
    clock: Time,
}

impl Publisher {
    /// Creates a publisher with an empty log.
    pub fn new(config: PublisherConfig, now: Time) -> Publisher {
        let restored = RestoredState::empty(config.capacity);
        Publisher::from_restored(config, restored, now)
    }

    /// Restores a publisher from its stored records.
    pub fn restore(
        config: PublisherConfig,
        records: impl IntoIterator<Item = Record>,
        now: Time,
    ) -> Publisher {
        let restored = RestoredState::from_records(config.capacity, records);
        Publisher::from_restored(config, restored, now)
    }

    fn from_restored(config: PublisherConfig, mut restored: RestoredState, now: Time) -> Publisher {
        let upstream = Upstream::new(
            config.upstream.clone(),
            config.lease.clone(),
            config.seed,
            now,
        );
        let replica = Replica::new(upstream, &mut restored);
        let mut history = ChangeHistory::new(config.history_bytes);
        for replacement in &restored.replaced {
            history.record_replaced(&replacement.previous, &replacement.successor);
        }
        let downstream =
            Downstream::new(config.downstream, crate::random::mix_bits(config.seed), now);
        let statuses = NodeStatuses::default();
        let (state, rollouts) = (State::Standby, Rollouts::default());
        Publisher {
            state,
            replica,
            downstream,
            history,
            node_statuses: statuses,
            rollouts,
            clock: now,
            config,
        }
    }

    /// The latest change of each key.
    pub fn log(&self) -> &ChangeLog {
        &self.replica.log
    }

    /// The versions that its replica covers.
    pub fn coverage(&self) -> &Coverage {
        self.replica.coverage()
    }

    /// The last version that its replica has.
    pub fn head(&self) -> Version {
        self.replica.head()
    }

    /// Whether it holds the lease and can publish.
    pub fn is_publishing(&self) -> bool {
        matches!(self.state, State::Publishing { .. })
    }

    /// The peers that have an open session with this process.
    pub fn children(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.downstream.children()
    }

    /// What the nodes reported of a version.
    pub fn status(&self, version: Version) -> VersionStatus {
        self.node_statuses.status(version)
    }

    /// Handles a received frame; invalid frames are ignored.
    pub fn receive(&mut self, now: Time, from: PeerId, frame: &[u8], outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        let Some(received) = message::parse(from, frame) else {
            return;
        };
        if !received.head.from_child {
            let upstream = &mut self.replica.upstream;
            let event = upstream.receive(now, received, outputs);
            if let Some(event) = event {
                let update = self.replica.apply_event(now, event, outputs);
                self.apply_update(now, &update, outputs);
            }
            return;
        }
        if !self.is_publishing() {
            if !matches!(received.payload, Payload::Close { .. }) {
                self.downstream.reject(
                    now,
                    from,
                    received.head.session,
                    CloseReason::Fenced,
                    outputs,
                );
            }
            return;
        }
        let replica = self.replica.view(now).authoritative();
        let reports = self.downstream.receive(now, received, replica, outputs);
        for report in reports {
            self.handle_report(now, report, outputs);
        }
        if self.downstream.take_fencing_notice() {
            self.handle_fencing(now, outputs);
        }
    }

    fn apply_update(&mut self, now: Time, update: &ReplicaUpdate, outputs: &mut Vec<Output>) {
        self.propagate_update(now, update);
        for ChangeId { key, version } in update.orphans.iter().cloned() {
            outputs.push(Output::Event(Event::Orphaned { key, version }));
        }
        if update.is_up_to_date {
            self.relay_caught_up(now, outputs);
        }
    }

    fn handle_report(&mut self, now: Time, report: Report, outputs: &mut Vec<Output>) {
        match report {
            Report::Acknowledged { node, version } => {
                self.node_statuses
                    .record_acknowledgement(now, node, version);
            }
            Report::Rejected {
                node,
                key,
                version,
                reason,
            } => {
                self.rollouts.record_rejection(
                    now,
                    node,
                    &key,
                    version,
                    &reason,
                    &self.replica.log,
                );
                self.node_statuses
                    .record_rejection(version, Rejection { node, key, reason });
            }
            Report::Orphan { key, version } => self.overwrite_orphan(now, key, version, outputs),
        }
    }

    /// Sends what is due; steps down once the lease has ended.
    pub fn poll(&mut self, now: Time, outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        match &self.state {
            State::TakingOver { lease_until, .. } | State::Publishing { lease_until, .. }
                if now >= *lease_until =>
            {
                self.step_down(now, outputs);
            }
            State::TakingOver { deadline, .. } if now >= *deadline => {
                self.begin_publishing(now, outputs);
            }
            _ => {}
        }
        if self.is_publishing() {
            self.check_rollouts(now, outputs);
            let replica = self.replica.view(now).authoritative();
            self.downstream.poll(now, replica, outputs);
        } else {
            self.replica.upstream.poll(now, outputs);
        }
    }

    /// When [`Publisher::poll`] has to be called next.
    pub fn next_wakeup(&self) -> Time {
        let upstream_wakeup = self.replica.upstream.next_wakeup(self.clock);
        match &self.state {
            State::Standby => upstream_wakeup,
            State::TakingOver {
                lease_until,
                deadline,
                ..
            } => upstream_wakeup.min(*lease_until).min(*deadline),
            State::Publishing { lease_until, .. } => self
                .downstream
                .next_wakeup()
                .min(self.rollouts.next_check_at())
                .min(*lease_until),
        }
    }
}
