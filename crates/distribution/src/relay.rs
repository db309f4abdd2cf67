//! A relay: follows a publisher or another relay, and serves its children from its replica.

use crate::coverage::Coverage;
use crate::downstream::Downstream;
use crate::downstream_config::DownstreamConfig;
use crate::log::{Capacity, ChangeLog};
use crate::message;
use crate::output::{Output, Record};
use crate::peer::PeerId;
use crate::replica::Replica;
use crate::restore::RestoredState;
use crate::upstream::Upstream;
use crate::upstream_config::UpstreamConfig;
use crate::Time;
use reelfall_lease::token::LeaseName;

/// Configuration of a relay.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// The lease under which publishers publish; epochs of other leases are rejected.
    pub lease: LeaseName,
    /// How it follows its upstream.
    pub upstream: UpstreamConfig,
    /// How it serves its children.
    pub downstream: DownstreamConfig,
    /// Limits of its log.
    pub capacity: Capacity,
    /// Seed of its random numbers, including session ids; has to differ at each start.
    pub seed: u64,
}

/// A replica with an upstream and children.
#[derive(Debug)]
pub struct Relay {
    replica: Replica,
    downstream: Downstream,
    was_contiguous: bool,
    clock: Time,
}

impl Relay {
    /// Creates a relay with an empty log.
    pub fn new(config: RelayConfig, now: Time) -> Relay {
        let restored = RestoredState::empty(config.capacity);
        Relay::from_restored(config, restored, now)
    }

    /// Restores a relay from its stored records.
    pub fn restore(
        config: RelayConfig,
        records: impl IntoIterator<Item = Record>,
        now: Time,
    ) -> Relay {
        let restored = RestoredState::from_records(config.capacity, records);
        Relay::from_restored(config, restored, now)
    }

    fn from_restored(config: RelayConfig, mut restored: RestoredState, now: Time) -> Relay {
        let upstream = Upstream::new(config.upstream, config.lease, config.seed, now);
        let replica = Replica::new(upstream, &mut restored);
        let is_contiguous = replica.coverage().is_contiguous();
        let downstream =
            Downstream::new(config.downstream, crate::random::mix_bits(config.seed), now);
        Relay {
            replica,
            downstream,
            was_contiguous: is_contiguous,
            clock: now,
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

    /// The upstream that is followed.
    pub fn following(&self) -> Option<PeerId> {
        self.replica.upstream.following()
    }

    /// The peers that have an open session with this process.
    pub fn children(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.downstream.children()
    }

    /// Upper bound of the staleness in seconds, if it is known.
    pub fn staleness(&self, now: Time) -> Option<Time> {
        self.replica.staleness(now)
    }

    /// Handles a received frame; invalid frames are ignored.
    pub fn receive(&mut self, now: Time, from: PeerId, frame: &[u8], outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        let Some(received) = message::parse(from, frame) else {
            return;
        };
        if received.head.from_child {
            let replica = self.replica.view(now);
            let reports = self.downstream.receive(now, received, replica, outputs);
            for report in reports {
                self.replica.upstream.queue_report(report);
            }
            return;
        }
        let event = self.replica.upstream.receive(now, received, outputs);
        let Some(event) = event else { return };
        let update = self.replica.apply_event(now, event, outputs);
        let replica = self.replica.view(now);
        for key in &update.keys {
            self.downstream.notify_changed(now, key, replica);
        }
        let became_contiguous = replica.is_contiguous && !self.was_contiguous;
        self.was_contiguous = replica.is_contiguous;
        if update.has_new_epoch || became_contiguous {
            self.downstream.schedule_all(now);
        }
    }

    /// Sends what is due.
    pub fn poll(&mut self, now: Time, outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        self.replica.upstream.poll(now, outputs);
        self.downstream.poll(now, self.replica.view(now), outputs);
    }

    /// When [`Relay::poll`] has to be called next.
    pub fn next_wakeup(&self) -> Time {
        self.replica
            .upstream
            .next_wakeup(self.clock)
            .min(self.downstream.next_wakeup())
    }
}
