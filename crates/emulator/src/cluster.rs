//! A cluster of nodes in virtual time: links with faults, clocks that drift, and processes that are frozen, killed and
//! restarted. Each node runs the production code of [`reelfall_cluster`]. Tests of that package, golden tests and scale runs
//! use it.
//!
//! Invariants are checked by the cluster's clock and not by the clocks of nodes.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `entry_version` | versions of entries |
//! | `address` | names and addresses of nodes, their configuration and key |
//! | `process` | one process of a node |
//! | `links` | links, partitions, and datagrams in flight |
//! | `outputs` | the datagrams and events that nodes produce |
//! | `schedule` | the order of deliveries and timers |
//! | `invariants` | invariants of verdicts and bans |

mod address;
mod entry_version;
mod invariants;
mod links;
mod outputs;
mod process;
mod schedule;

pub use self::address::{address, default_config, name, secret};
pub use self::invariants::{Violation, ViolationKind};
pub use self::links::Links;
pub use self::outputs::HealthyDeclaredDead;
pub use self::process::{Process, MAX_INBOX};

use self::entry_version::EntryVersion;
use self::links::{DeliveryTime, InFlight, Path};
use crate::inspect::Inspector;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_cluster::fleet::{Config, Fleet};
use reelfall_cluster::node::Incarnation;
use std::collections::{BTreeMap, BTreeSet};

/// Default of [`Cluster::listed_servers`].
const LISTED_SERVERS: usize = 20;
/// Interval at which [`Cluster::run_until`] checks its condition, in seconds.
const CONDITION_INTERVAL: f64 = 0.01;

/// The nodes of a cluster and the network between them.
pub struct Cluster {
    /// The cluster's clock, in seconds since the start.
    pub now: f64,
    /// The process of each node; `None` after it was killed.
    pub processes: Vec<Option<Process>>,
    /// The properties that all links share.
    pub links: Links,
    /// Fraction of the datagrams to a node that are lost, by node, in addition to the loss of the links.
    pub receive_loss: BTreeMap<usize, f64>,
    /// Number of servers in each node's endpoint lists, which bounds how many may be ejected.
    pub listed_servers: usize,
    /// Maximum number of datagrams that are queued for a frozen process; further ones are dropped.
    pub inbox_capacity: usize,
    /// Random number generator of links and processes.
    pub rng: Pcg64Mcg,
    /// Number of datagrams that nodes have sent.
    pub datagrams_sent: u64,
    /// Total size of the datagrams that nodes have sent, in bytes.
    pub bytes_sent: u64,
    /// If present, inspects each datagram that is sent.
    pub inspector: Option<Inspector>,
    /// If present, a digest of all datagrams with their times, delays and receivers.
    pub digest: Option<blake3::Hasher>,
    /// How often a running node was declared dead.
    pub false_positives: u64,
    /// In tests with impaired nodes, the number of healthy nodes: those with the lowest indexes, which are never frozen.
    pub healthy_nodes: Option<usize>,
    /// How often a healthy node was declared dead, if [`Cluster::healthy_nodes`] is set.
    pub healthy_declared_dead: HealthyDeclaredDead,
    /// The maximum age of any valid verdict, as a fraction of its time to live.
    pub max_age_ratio: f64,
    /// Violations of invariants so far.
    pub violations: Vec<Violation>,
    partitioned: BTreeSet<Path>,
    config: Box<dyn Fn(usize) -> Config>,
    in_flight: BTreeMap<DeliveryTime, InFlight>,
    last_sequence: u64,
    /// When each verdict was created, by the cluster's clock.
    created_at: BTreeMap<EntryVersion, f64>,
}

impl Cluster {
    /// Starts a cluster of this many nodes at time 0; `config` returns the configuration of a node.
    pub fn new(nodes: usize, seed: u64, config: impl Fn(usize) -> Config + 'static) -> Cluster {
        let mut cluster = Cluster {
            now: 0.0,
            processes: (0..nodes).map(|_| None).collect(),
            links: Links::default(),
            receive_loss: BTreeMap::new(),
            listed_servers: LISTED_SERVERS,
            inbox_capacity: MAX_INBOX,
            rng: Pcg64Mcg::seed_from_u64(seed),
            datagrams_sent: 0,
            bytes_sent: 0,
            inspector: None,
            digest: None,
            false_positives: 0,
            healthy_nodes: None,
            healthy_declared_dead: HealthyDeclaredDead::default(),
            max_age_ratio: 0.0,
            violations: Vec::new(),
            partitioned: BTreeSet::new(),
            config: Box::new(config),
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            created_at: BTreeMap::new(),
        };
        (0..nodes).for_each(|node| cluster.start(node));
        cluster
    }

    /// Starts a process of a node under the node's default name, without state, with a new clock and incarnation tag.
    pub fn start(&mut self, node: usize) {
        self.start_as(node, &name(node));
    }

    /// Like [`Cluster::start`], but under another name.
    pub fn start_as(&mut self, node: usize, name: &str) {
        let tag = self.rng.random::<u64>() | 1;
        let seed = self.rng.random::<u64>();
        let clock_rate = process::sample_clock_rate(&mut self.rng);
        let config = (self.config)(node);
        let fleet = Fleet::new(name, address(node), tag, config, secret(), seed, 0.0);
        self.processes[node] = Some(Process::new(fleet, self.now, clock_rate));
    }

    /// Kills the process of a node.
    pub fn kill(&mut self, node: usize) {
        self.processes[node] = None;
    }

    /// Calls a node with the time of its local clock, then sends its datagrams and records its events. `None` if the node does
    /// not run.
    pub fn with_node<R>(
        &mut self,
        node: usize,
        call: impl FnOnce(&mut Fleet, f64) -> R,
    ) -> Option<R> {
        let process = self.processes[node].as_mut()?;
        let local_time = process.local_time(self.now);
        let result = call(&mut process.fleet, local_time);
        self.handle_outputs(node);
        Some(result)
    }

    /// Freezes the process of a node; datagrams to it are queued.
    pub fn freeze(&mut self, node: usize) {
        if let Some(process) = &mut self.processes[node] {
            process.is_frozen = true;
        }
    }

    /// Resumes a frozen process: it receives the queued datagrams, and then its due timers fire.
    pub fn thaw(&mut self, node: usize) {
        let Some(process) = &mut self.processes[node] else {
            return;
        };
        process.is_frozen = false;
        let inbox = std::mem::take(&mut process.inbox);
        for datagram in inbox {
            self.with_node(node, |fleet, now| fleet.receive(now, &datagram));
        }
        let listed_servers = self.listed_servers;
        self.with_node(node, |fleet, now| fleet.tick(now, listed_servers));
    }

    /// The servers that a node considers banned by operators.
    pub fn banned_servers(&self, node: usize) -> BTreeSet<String> {
        let Some(process) = &self.processes[node] else {
            return BTreeSet::new();
        };
        process
            .fleet
            .banned_servers(process.local_time(self.now))
            .into_iter()
            .map(str::to_owned)
            .collect()
    }

    /// Number of other nodes that a node considers alive.
    pub fn member_count(&self, node: usize) -> usize {
        let process = self.processes[node].as_ref();
        process.map_or(0, |process| process.fleet.members().other_count())
    }

    /// The incarnation of a node.
    pub fn incarnation(&self, node: usize) -> Incarnation {
        let process = self.processes[node].as_ref();
        process.map_or(Incarnation::default(), |process| {
            process.fleet.members().local_node().incarnation
        })
    }

    /// Whether each running node considers exactly the running nodes alive.
    pub fn is_converged(&self) -> bool {
        let running = self.processes.iter().flatten().count();
        (0..self.processes.len())
            .filter(|node| self.processes[*node].is_some())
            .all(|node| self.member_count(node) + 1 == running)
    }

    /// Runs until a condition holds; returns how long that took, in seconds.
    ///
    /// # Panics
    /// If the condition does not hold within `timeout` seconds.
    pub fn run_until(&mut self, timeout: f64, condition: impl Fn(&Cluster) -> bool) -> f64 {
        let started_at = self.now;
        while !condition(self) {
            assert!(self.now - started_at < timeout, "not within {timeout} s");
            self.run(CONDITION_INTERVAL);
        }
        self.now - started_at
    }
}
