//! A relay: follows an author or another relay, and serves its children from what it has.

use crate::coverage::Coverage;
use crate::downstream::{Downstream, ServeRules};
use crate::follow::FollowRules;
use crate::log::{Log, Room};
use crate::message;
use crate::output::{Output, Record};
use crate::peer::PeerId;
use crate::replica::Replica;
use crate::restore::Restored;
use crate::upstream::Upstream;
use crate::Time;
use reelfall_lease::token::LeaseName;

/// What a relay is given.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// The lease of those who write.
    pub lease: LeaseName,
    /// Whom it follows.
    pub follow: FollowRules,
    /// How it serves.
    pub serve: ServeRules,
    /// How much it holds.
    pub room: Room,
    /// For what is drawn, sessions' numbers among it: another one at each start.
    pub seed: u64,
}

/// See the module.
#[derive(Debug)]
pub struct Relay {
    replica: Replica,
    downstream: Downstream,
    was_whole: bool,
    clock: Time,
}

impl Relay {
    /// One that begins without records.
    pub fn new(config: RelayConfig, now: Time) -> Relay {
        let restored = Restored::empty(config.room);
        Relay::from_restored(config, restored, now)
    }

    /// One that goes on from what was stored.
    pub fn restore(
        config: RelayConfig,
        records: impl IntoIterator<Item = Record>,
        now: Time,
    ) -> Relay {
        let restored = Restored::read(config.room, records);
        Relay::from_restored(config, restored, now)
    }

    fn from_restored(config: RelayConfig, mut restored: Restored, now: Time) -> Relay {
        let upstream = Upstream::new(config.follow, config.lease, config.seed, now);
        let replica = Replica::new(upstream, &mut restored);
        let was_whole = replica.coverage().is_whole();
        let downstream = Downstream::new(config.serve, crate::chance::mix(config.seed), now);
        Relay {
            replica,
            downstream,
            was_whole,
            clock: now,
        }
    }

    /// What it has.
    pub fn log(&self) -> &Log {
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
        self.replica.age(now)
    }

    /// Takes a frame in; any bytes.
    pub fn receive(&mut self, now: Time, from: PeerId, frame: &[u8], outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        let Some(received) = message::read(from, frame) else {
            return;
        };
        if received.head.up {
            let source = self.replica.source(now);
            let reports = self.downstream.receive(now, received, source, outputs);
            for report in reports {
                self.replica.upstream.report(report);
            }
            return;
        }
        let heard = self.replica.upstream.receive(now, received, outputs);
        let Some(heard) = heard else { return };
        let update = self.replica.take(now, heard, outputs);
        let source = self.replica.source(now);
        for key in &update.keys {
            self.downstream.changed(now, key, source);
        }
        let now_whole = source.whole && !self.was_whole;
        self.was_whole = source.whole;
        if update.epoch || now_whole {
            self.downstream.wake_all(now);
        }
    }

    /// Sends what is due.
    pub fn poll(&mut self, now: Time, outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        self.replica.upstream.poll(now, outputs);
        self.downstream.poll(now, self.replica.source(now), outputs);
    }

    /// When [`Relay::poll`] is to be called.
    pub fn next_wakeup(&self) -> Time {
        self.replica
            .upstream
            .next_wakeup(self.clock)
            .min(self.downstream.next_wakeup())
    }
}
