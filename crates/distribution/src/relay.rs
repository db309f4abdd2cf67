//! A relay: follows an author or another relay, and serves its children from what it has.

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

/// What a relay is given.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// The lease of those who write.
    pub lease: LeaseName,
    /// Whom it follows.
    pub upstream: UpstreamConfig,
    /// How it serves.
    pub downstream: DownstreamConfig,
    /// How much it holds.
    pub capacity: Capacity,
    /// For what is drawn, sessions' numbers among it: another one at each start.
    pub seed: u64,
}

/// See the module.
#[derive(Debug)]
pub struct Relay {
    replica: Replica,
    downstream: Downstream,
    was_contiguous: bool,
    clock: Time,
}

impl Relay {
    /// One that begins without records.
    pub fn new(config: RelayConfig, now: Time) -> Relay {
        let restored = RestoredState::empty(config.capacity);
        Relay::from_restored(config, restored, now)
    }

    /// One that goes on from what was stored.
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
        let was_whole = replica.coverage().is_contiguous();
        let downstream =
            Downstream::new(config.downstream, crate::random::mix_bits(config.seed), now);
        Relay {
            replica,
            downstream,
            was_contiguous: was_whole,
            clock: now,
        }
    }

    /// What it has.
    pub fn log(&self) -> &ChangeLog {
        &self.replica.log
    }

    /// Which versions it covers.
    pub fn coverage(&self) -> &Coverage {
        self.replica.coverage()
    }

    /// Whom it follows.
    pub fn following(&self) -> Option<PeerId> {
        self.replica.upstream.following()
    }

    /// Who follows it.
    pub fn children(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.downstream.children()
    }

    /// How old at most is what it has, in seconds; none if that can't be told.
    pub fn staleness(&self, now: Time) -> Option<Time> {
        self.replica.staleness(now)
    }

    /// Takes a frame in; any bytes.
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

    /// When [`Relay::poll`] is to be called.
    pub fn next_wakeup(&self) -> Time {
        self.replica
            .upstream
            .next_wakeup(self.clock)
            .min(self.downstream.next_wakeup())
    }
}
