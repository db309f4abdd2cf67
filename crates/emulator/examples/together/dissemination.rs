//! Measures how fast bans are disseminated, the traffic for that, and how often nodes are falsely declared dead.

use super::{cluster_with, membership};
use reelfall_emulator::cluster::Cluster;

/// How long to wait for nodes to discover each other, in seconds.
const JOIN_TIMEOUT: f64 = 60.0;
/// A timeout beyond [`JOIN_TIMEOUT`], so that reaching the latter is no failure, in seconds.
const JOIN_BOUND: f64 = 120.0;
/// How long the cluster settles before it is measured, in seconds.
const SETTLE_SECONDS: f64 = 10.0;
/// How long traffic at rest is measured, in seconds.
const REST_SECONDS: f64 = 20.0;
/// Number of bans, one per second.
const BANS: usize = 5;
/// Interval at which nodes are checked for having received a ban, in seconds.
const POLL_INTERVAL: f64 = 0.01;
/// Number of [`POLL_INTERVAL`]s for each ban, which amount to a second.
const POLLS_PER_BAN: usize = 100;
/// Delay that is recorded for a node that has not received a ban in time, in seconds.
const BAN_TIMEOUT: f64 = 1.0;

/// The results for one cluster.
pub struct Figures {
    /// Delays of each ban to each node, in seconds, in ascending order.
    delays: Vec<f64>,
    at_rest: TrafficRate,
    with_bans: TrafficRate,
    /// Running nodes that were declared dead, per node and minute.
    false_positive_rate: f64,
    violations: usize,
}

/// Traffic per node and second.
struct TrafficRate {
    datagrams: f64,
    bytes: f64,
}

/// Traffic counters of a cluster at one time.
struct Counters {
    datagrams: u64,
    bytes: u64,
}

impl Counters {
    fn of(cluster: &Cluster) -> Counters {
        Counters {
            datagrams: cluster.datagrams_sent,
            bytes: cluster.bytes_sent,
        }
    }

    /// The traffic rate since the counters were read, over this many seconds summed over nodes.
    fn rate_until_now(&self, cluster: &Cluster, node_seconds: f64) -> TrafficRate {
        TrafficRate {
            datagrams: (cluster.datagrams_sent - self.datagrams) as f64 / node_seconds,
            bytes: (cluster.bytes_sent - self.bytes) as f64 / node_seconds,
        }
    }
}

/// Measures a cluster of this size with this loss rate of its links.
pub fn measure(nodes: usize, loss: f64, seed: u64) -> Figures {
    let mut cluster = cluster_with(nodes, seed, membership(nodes));
    cluster.run_until(JOIN_BOUND, |cluster| {
        cluster.is_converged() || cluster.now > JOIN_TIMEOUT
    });
    cluster.links.loss = loss;
    cluster.run(SETTLE_SECONDS);
    let (before, false_positives) = (Counters::of(&cluster), cluster.false_positives);
    cluster.run(REST_SECONDS);
    let at_rest = before.rate_until_now(&cluster, REST_SECONDS * nodes as f64);
    let false_positives = cluster.false_positives - false_positives;
    let before = Counters::of(&cluster);
    let mut delays = Vec::new();
    for index in 0..BANS {
        delays.extend(ban(&mut cluster, index));
    }
    let with_bans = before.rate_until_now(&cluster, BANS as f64 * nodes as f64);
    delays.sort_by(f64::total_cmp);
    Figures {
        delays,
        at_rest,
        with_bans,
        false_positive_rate: false_positives as f64 / nodes as f64 / REST_SECONDS * 60.0,
        violations: cluster.violations.len(),
    }
}

/// Bans a server at one node; returns the delay until each node has received the ban, in seconds.
fn ban(cluster: &mut Cluster, index: usize) -> Vec<f64> {
    let nodes = cluster.processes.len();
    let banned_at = cluster.now;
    let server = format!("server-{index}");
    cluster.with_node(index * 7 % nodes, |fleet, now| {
        fleet.ban(now, &server, "ada", None)
    });
    let mut delays = Vec::new();
    let mut has_received = vec![false; nodes];
    for _ in 0..POLLS_PER_BAN {
        cluster.run(POLL_INTERVAL);
        for (node, has_received) in has_received.iter_mut().enumerate() {
            if !*has_received && cluster.banned_servers(node).contains(&server) {
                *has_received = true;
                delays.push(cluster.now - banned_at);
            }
        }
    }
    let missed = has_received.iter().filter(|has_received| !**has_received);
    delays.extend(missed.map(|_| BAN_TIMEOUT));
    delays
}

impl Figures {
    /// Prints the results on one line.
    pub fn print(&self, nodes: usize, loss: f64, seed: u64) {
        println!(
            "{nodes:>5} {loss:>4.2} {seed:>4}  {:>5.2}  {:>5.2}  {:>6.2} | {:>7.2} {:>7.0} | {:>6.2} {:>7.0} | {:>21.4} {:>6}",
            self.delay_at(0.5),
            self.delay_at(0.99),
            self.delay_at(1.0),
            self.at_rest.datagrams,
            self.at_rest.bytes,
            self.with_bans.datagrams,
            self.with_bans.bytes,
            self.false_positive_rate,
            self.violations
        );
    }

    fn delay_at(&self, quantile: f64) -> f64 {
        self.delays[((self.delays.len() - 1) as f64 * quantile) as usize]
    }
}
