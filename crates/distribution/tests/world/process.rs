//! A process of a world: its state machine while it runs, its disk, and its clock.

use super::REJECTED_BY_ODD_NODES;
use reelfall_distribution::output::{Output, Record};
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publisher::{Publisher, PublisherConfig};
use reelfall_distribution::relay::{Relay, RelayConfig};
use reelfall_distribution::resource::{Change, Selector};
use reelfall_distribution::subscriber::{Subscriber, SubscriberConfig};
use reelfall_distribution::Time;

pub enum Machine {
    Publisher(Box<Publisher>),
    Relay(Box<Relay>),
    Node(Box<Subscriber>),
}

#[derive(Clone)]
pub enum Config {
    Publisher(PublisherConfig),
    Relay(RelayConfig),
    Node(SubscriberConfig, Vec<Selector>),
}

/// A run of a process between a start and its end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Run {
    pub id: PeerId,
    pub incarnation: u64,
}

pub struct Process {
    pub config: Config,
    /// `None` while the process does not run.
    pub machine: Option<Machine>,
    pub disk: Vec<Record>,
    pub incarnation: u64,
    pub paused_until: Time,
    /// What its clock shows at the start of the world.
    pub(super) clock_offset: Time,
    /// Seconds of its clock in a second of the world.
    pub(super) clock_rate: f64,
    /// Outputs that it still performs before it is killed.
    pub(super) crash_after_outputs: Option<usize>,
    /// Time from [`Output::Apply`] to the driver's answer, in seconds.
    pub apply_delay: Time,
}

impl Process {
    /// What its clock shows at a time of the world.
    pub fn clock(&self, world_time: Time) -> Time {
        self.clock_offset + world_time * self.clock_rate
    }

    pub(super) fn world_time(&self, clock: Time) -> Time {
        (clock - self.clock_offset) / self.clock_rate
    }

    /// Starts a machine from the disk, with random numbers of its own in each incarnation.
    pub(super) fn restore(&mut self, now: Time) {
        self.incarnation += 1;
        let disk = self.disk.clone();
        self.machine = Some(match self.config.clone() {
            Config::Publisher(mut config) => {
                config.seed ^= self.incarnation;
                Machine::Publisher(Box::new(Publisher::restore(config, disk, now)))
            }
            Config::Relay(mut config) => {
                config.seed ^= self.incarnation;
                Machine::Relay(Box::new(Relay::restore(config, disk, now)))
            }
            Config::Node(mut config, selectors) => {
                config.seed ^= self.incarnation;
                let mut node = Subscriber::restore(config, disk, None, now);
                for selector in selectors {
                    node.subscribe(selector).unwrap();
                }
                Machine::Node(Box::new(node))
            }
        });
    }
}

impl Machine {
    pub(super) fn receive(
        &mut self,
        now: Time,
        from: PeerId,
        frame: &[u8],
        outputs: &mut Vec<Output>,
    ) {
        match self {
            Machine::Publisher(publisher) => publisher.receive(now, from, frame, outputs),
            Machine::Relay(relay) => relay.receive(now, from, frame, outputs),
            Machine::Node(node) => node.receive(now, from, frame, outputs),
        }
    }

    /// Performs what is due. Returns when it is to be polled next.
    pub(super) fn poll(&mut self, now: Time, outputs: &mut Vec<Output>) -> Time {
        match self {
            Machine::Publisher(publisher) => {
                publisher.poll(now, outputs);
                publisher.next_wakeup()
            }
            Machine::Relay(relay) => {
                relay.poll(now, outputs);
                relay.next_wakeup()
            }
            Machine::Node(node) => {
                node.poll(now, outputs);
                node.next_wakeup()
            }
        }
    }

    /// A node accepts a change, or rejects it by its id.
    pub(super) fn finish_apply(&mut self, id: PeerId, change: &Change, outputs: &mut Vec<Output>) {
        let Machine::Node(node) = self else { return };
        let is_odd = id.0 % 2 == 1;
        if is_odd && change.content.bytes().starts_with(REJECTED_BY_ODD_NODES) {
            node.rejected(change.version, "odd numbers can't", outputs);
        } else {
            node.accepted(change.version, outputs);
        }
    }
}
