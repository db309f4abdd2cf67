//! A random schedule: a small tree, and steps that publish changes, move the lease and inject faults.

use crate::world::{claim, Config, DelayRange, Network, World, REJECTED_BY_ODD_NODES};
use rand::Rng;
use reelfall_distribution::output::Output;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publish::PublishError;
use reelfall_distribution::publisher::Publisher;
use reelfall_distribution::resource::{Content, Draft, Name, NodeFraction, Selector, Version};
use reelfall_distribution::Time;
use std::collections::BTreeMap;

/// Duration of a lease that is not renewed, in seconds.
const LEASE_DURATION: Time = 10.0;
/// Time without faults after which all nodes have to have converged, in seconds.
const CONVERGENCE_TIME: Time = 200.0;
/// How much earlier a lease ends on the clock of its publisher, in seconds.
const MAX_CLOCK_ERROR: Time = 0.01;
/// Number of resource names in each group.
pub const ITEMS_PER_GROUP: u32 = 4;

pub struct Schedule {
    pub world: World,
    pub publishers: Vec<u32>,
    pub lease_holder: Option<u32>,
    /// The fencing token of the current lease.
    pub token: u64,
    lease_until: Time,
    /// The body of each resource that was last published for all nodes; `None` for a removal. Resources whose state is
    /// not certain are missing.
    pub last_published: BTreeMap<Name, Option<Vec<u8>>>,
    versions: Vec<Version>,
    pub publish_count: usize,
}

/// The subscriptions of a node.
pub fn selectors_of(id: u32) -> Vec<Selector> {
    match id % 3 {
        0 => vec![Selector::Services],
        1 => vec![Selector::common(), Selector::service("a")],
        _ => vec![
            Selector::common(),
            Selector::service("a"),
            Selector::service("b"),
            Selector::tenant("t"),
        ],
    }
}

impl Schedule {
    pub fn new(seed: u64) -> Schedule {
        let delay = if seed.is_multiple_of(3) {
            DelayRange {
                min: 0.005,
                max: 1.5,
            }
        } else {
            DelayRange {
                min: 0.005,
                max: 0.2,
            }
        };
        let mut world = World::new(
            seed,
            Network {
                loss: 0.05,
                duplication: 0.05,
                delay,
            },
        );
        let publishers: Vec<u32> = (1..=world.rng.random_range(1..=2)).collect();
        let first_tier: Vec<u32> = (10..10 + world.rng.random_range(1..=2)).collect();
        let second_tier: Vec<u32> = (20..20 + world.rng.random_range(1..=2)).collect();
        for id in &publishers {
            world.add_publisher(*id, &first_tier);
        }
        for id in &first_tier {
            world.add_relay(*id, &publishers);
        }
        for id in &second_tier {
            world.add_relay(*id, &first_tier);
        }
        for id in 100..100 + world.rng.random_range(3..=8) {
            world.add_node(id, &second_tier, &selectors_of(id));
            let apply_delay = world.rng.random_range(0.0..0.5);
            world.processes.get_mut(&PeerId(id)).unwrap().apply_delay = apply_delay;
        }
        Schedule {
            world,
            publishers,
            lease_holder: None,
            token: 0,
            lease_until: 0.0,
            last_published: BTreeMap::new(),
            versions: Vec::new(),
            publish_count: 0,
        }
    }

    /// Renews the lease, unless told to skip it, or gives an expired one to a random publisher.
    fn renew_or_reassign_lease(&mut self, skips_renewal: bool) {
        let is_expired = self.world.now > self.lease_until + 0.1;
        if self.lease_holder.is_none() || is_expired {
            let index = self.world.rng.random_range(0..self.publishers.len());
            self.lease_holder = Some(self.publishers[index]);
            self.token += 1;
        } else if skips_renewal {
            return;
        }
        let until = self.world.now + LEASE_DURATION;
        let Some(holder) = self.lease_holder else {
            return;
        };
        let token = self.token;
        let clock_until = self.world.processes[&PeerId(holder)].clock(until);
        // A publisher with a slow clock must not outlive its lease.
        let clock_until = clock_until - MAX_CLOCK_ERROR;
        let held = self
            .world
            .with_publisher(holder, |publisher, now, outputs| {
                publisher
                    .hold_lease(now, &claim(token), clock_until, outputs)
                    .is_ok()
            });
        if held == Some(true) {
            self.lease_until = until;
        }
    }

    /// Calls the publisher that holds the lease, and records the version that it published.
    pub fn call_holder(
        &mut self,
        call: impl FnOnce(&mut Publisher, Time, &mut Vec<Output>) -> Result<Version, PublishError>,
    ) -> Option<Version> {
        let holder = self.lease_holder?;
        let now = self.world.now;
        let version = self.world.with_publisher(holder, call)?.ok()?;
        self.world.processes[&PeerId(holder)].machine.as_ref()?;
        self.world.invariants.published(now, version);
        self.versions.push(version);
        self.publish_count += 1;
        Some(version)
    }

    /// Whether a process runs and is not paused.
    pub fn is_running(&self, id: u32) -> bool {
        let process = &self.world.processes[&PeerId(id)];
        process.machine.is_some() && self.world.now >= process.paused_until
    }

    fn random_draft(&mut self) -> Draft {
        let rng = &mut self.world.rng;
        let item = format!("r{}", rng.random_range(0..ITEMS_PER_GROUP));
        let name = match rng.random_range(0..5) {
            0 => Name::common(&item),
            1 | 2 => Name::service("a", &item),
            3 => Name::service("b", &item),
            _ => Name::tenant("t", &item),
        };
        let number: u64 = rng.random();
        let mut bytes = number.to_le_bytes().to_vec();
        match rng.random_range(0..10) {
            0 => bytes.resize(9_000, 7),
            1 => bytes = [REJECTED_BY_ODD_NODES, &bytes].concat(),
            2 => return Draft::remove(name),
            _ => {}
        }
        let draft = Draft::put(name, &bytes);
        if rng.random_bool(0.2) {
            draft.urgent()
        } else {
            draft
        }
    }

    fn publish_random_drafts(&mut self) {
        let count = if self.world.rng.random_bool(0.1) {
            20
        } else {
            1
        };
        let drafts: Vec<Draft> = (0..count).map(|_| self.random_draft()).collect();
        let token = self.token;
        let published = drafts.clone();
        let version = self.call_holder(|publisher, now, outputs| {
            publisher.publish(now, &claim(token), drafts, outputs)
        });
        for draft in published {
            let bytes = match &draft.content {
                Content::Body(bytes) => Some(bytes.to_vec()),
                Content::Removed => None,
            };
            if version.is_some() {
                self.last_published.insert(draft.name, bytes);
            } else {
                self.last_published.remove(&draft.name);
            }
        }
    }

    fn publish_canary_of_random_draft(&mut self) {
        let draft = self.random_draft();
        let name = draft.name.clone();
        let token = self.token;
        self.last_published.remove(&name);
        let fraction = NodeFraction {
            thousandths: self.world.rng.random_range(100..900),
            seed: 5,
        };
        self.call_holder(|publisher, now, outputs| {
            publisher.publish_canary(now, &claim(token), draft, fraction, outputs)
        });
        if self.world.rng.random_bool(0.5) {
            let duration = self.world.rng.random_range(0.0..3.0);
            self.world.run(duration);
            self.call_holder(|publisher, now, outputs| {
                publisher.promote_canary(now, &claim(token), &name, outputs)
            });
        }
    }

    fn revert_last_change(&mut self) {
        let Some(version) = self.versions.last().copied() else {
            return;
        };
        let token = self.token;
        self.last_published.clear();
        self.call_holder(|publisher, now, outputs| {
            publisher.revert(now, &claim(token), version, outputs)
        });
    }

    fn random_process(&mut self) -> PeerId {
        let ids: Vec<PeerId> = self.world.processes.keys().copied().collect();
        ids[self.world.rng.random_range(0..ids.len())]
    }

    fn inject_fault(&mut self) {
        let id = self.random_process();
        let duration = self.world.rng.random_range(0.5..20.0);
        match self.world.rng.random_range(0..7) {
            0 => self.world.kill(id),
            1 | 2 => {
                let outputs = self.world.rng.random_range(0..6);
                self.world.kill_after(id, outputs);
            }
            3 | 4 => self.world.pause(id, duration),
            _ => {
                let other = self.random_process();
                self.world.partition(id, other, duration);
            }
        }
    }

    fn change_subscription(&mut self) {
        let nodes = self.world.ids(|config| matches!(config, Config::Node(..)));
        let nodes: Vec<PeerId> = nodes.into_iter().filter(|id| id.0 % 3 == 2).collect();
        if nodes.is_empty() {
            return;
        }
        let id = nodes[self.world.rng.random_range(0..nodes.len())];
        let unsubscribes = self.world.rng.random_bool(0.5);
        self.world.with_node(id.0, |node, _, outputs| {
            let selector = Selector::tenant("t");
            if unsubscribes {
                node.unsubscribe(&selector, outputs);
            } else {
                node.subscribe(selector).unwrap();
            }
        });
        if unsubscribes {
            self.world
                .invariants
                .unsubscribed(id, &Selector::tenant("t"));
        }
    }

    pub fn step(&mut self) {
        let skips_renewal = self.world.rng.random_bool(0.1);
        self.renew_or_reassign_lease(skips_renewal);
        match self.world.rng.random_range(0..20) {
            0..=7 => self.publish_random_drafts(),
            8 => self.publish_canary_of_random_draft(),
            9 => self.revert_last_change(),
            10..=13 => self.inject_fault(),
            14 => self.change_subscription(),
            15..=17 => {
                let id = self.random_process();
                self.world.start(id);
            }
            _ => {}
        }
        let duration = self.world.rng.random_range(0.0..3.0);
        self.world.run(duration);
    }

    /// Ends all faults, and waits until the nodes have converged.
    pub fn run_without_faults(&mut self) {
        self.world.heal();
        let end = self.world.now + CONVERGENCE_TIME;
        while self.world.now < end {
            self.renew_or_reassign_lease(false);
            self.world.run(2.0);
        }
    }
}
