//! A cluster of nodes in virtual time: links with faults, clocks that drift, processes that are frozen, killed and started
//! again. Each node runs the code of [`reelfall_cluster`]. Tests of that package, golden tests and scale runs drive it.
//!
//! Invariants are checked by the cluster's one clock, never by a node's own.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `entry_version` | versions of entries |
//! | `address` | names and addresses of nodes, their configuration and key |
//! | `process` | one process of a node |
//! | `links` | links, partitions, and datagrams in flight |
//! | `outputs` | what nodes ask for and report after each call |
//! | `schedule` | the order of deliveries and timers |
//! | `invariants` | bounds on the lifetime of verdicts |

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

/// Number of servers that each node lists, unless a test sets another one.
const LISTED_SERVERS: usize = 20;
/// Interval at which [`Cluster::run_until`] checks its condition, in seconds.
const CONDITION_INTERVAL: f64 = 0.01;

/// The nodes of a cluster and the network between them.
pub struct Cluster {
    /// The time, in seconds.
    pub now: f64,
    /// The process of each node, if one runs.
    pub processes: Vec<Option<Process>>,
    /// The properties of all links.
    pub links: Links,
    /// Fraction of the datagrams to a node that are lost, beyond what its links lose.
    pub receive_loss: BTreeMap<usize, f64>,
    /// Number of servers that each node lists.
    pub listed_servers: usize,
    /// Maximum number of datagrams that wait for a frozen process.
    pub inbox_capacity: usize,
    /// The random numbers of links and processes.
    pub rng: Pcg64Mcg,
    /// Number of datagrams that were sent.
    pub datagrams_sent: u64,
    /// Bytes of these datagrams.
    pub bytes_sent: u64,
    /// Inspects each datagram that is sent, if there is one.
    pub inspector: Option<Inspector>,
    /// The digest of all datagrams with their times, if there is one.
    pub digest: Option<blake3::Hasher>,
    /// How often a running node was declared dead.
    pub false_positives: u64,
    /// Number of healthy nodes, if the others are impaired: the nodes with lower indexes, which are never frozen.
    pub healthy_nodes: Option<usize>,
    /// How often a healthy node was declared dead.
    pub healthy_declared_dead: HealthyDeclaredDead,
    /// The greatest age of a verdict that was valid anywhere, as a fraction of its time to live.
    pub max_age_ratio: f64,
    /// Violations of invariants.
    pub violations: Vec<Violation>,
    partitioned: BTreeSet<Path>,
    config: Box<dyn Fn(usize) -> Config>,
    in_flight: BTreeMap<DeliveryTime, InFlight>,
    last_sequence: u64,
    /// When each verdict was created, by the cluster's clock.
    created_at: BTreeMap<EntryVersion, f64>,
}

impl Cluster {
    /// A cluster of this many nodes that start at once, each with its configuration.
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

    /// Starts a process of a node under its name, with a clock and an incarnation tag of its own and without any state.
    pub fn start(&mut self, node: usize) {
        self.start_as(node, &name(node));
    }

    /// The same under another name.
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

    /// Calls a node with the time of its own clock, and handles what it asks for.
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

    /// Freezes the process of a node. Datagrams wait for it.
    pub fn freeze(&mut self, node: usize) {
        if let Some(process) = &mut self.processes[node] {
            process.is_frozen = true;
        }
    }

    /// Resumes the process of a node: it receives the datagrams that waited, and then does what is due.
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

    /// The servers that operators have banned, as a node knows.
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

    /// Runs until a condition holds; how long it took.
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
