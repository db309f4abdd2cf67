//! Measures how soon dead nodes are detected, and how often healthy nodes are declared dead if other nodes are impaired.

use super::{cluster_with, membership};
use reelfall_cluster::members::MembershipConfig;
use reelfall_emulator::cluster::{Cluster, HealthyDeclaredDead};

/// Time limit for nodes to discover each other, in seconds.
const JOIN_TIMEOUT: f64 = 120.0;
/// Time limit for all nodes to learn of the death or restart of a node, in seconds.
const DETECTION_TIMEOUT: f64 = 60.0;
/// Number of seed nodes. They are not killed, so that restarted nodes can join.
const SEED_NODES: usize = 3;
/// How long a cluster with impaired nodes is measured, in seconds.
const IMPAIRED_SECONDS: f64 = 120.0;
/// Interval at which the end of the measurement is checked while datagrams are lost, in seconds.
const LOSS_STEP: f64 = 10.0;
/// Numbers of impaired nodes.
const IMPAIRED_NODES: [usize; 2] = [4, 32];
/// Default maximum of the local health score, due to which impaired nodes suspect others later.
const MAX_SCORE: u32 = 8;

/// Mean times from the death of a node until other nodes declare it dead, in seconds.
pub struct DetectionTimes {
    /// Until the first node does.
    pub first: f64,
    /// Until all other nodes have.
    pub last: f64,
}

/// Kills this many nodes one after the other, and restarts each.
pub fn measure(nodes: usize, killed: usize, seed: u64) -> DetectionTimes {
    let mut cluster = cluster_with(nodes, seed, membership(nodes));
    cluster.run_until(JOIN_TIMEOUT, Cluster::is_converged);
    let (mut first, mut last) = (0.0, 0.0);
    for index in 0..killed {
        // Kills each node at a different phase of the probe interval.
        cluster.run(3.0 + 0.37 * index as f64);
        let dead = SEED_NODES + index % (nodes - SEED_NODES);
        cluster.kill(dead);
        let killed_at = cluster.now;
        let knows = |cluster: &Cluster, node: usize| {
            cluster.processes[node].is_none() || cluster.member_count(node) == nodes - 2
        };
        first += cluster.run_until(DETECTION_TIMEOUT, |cluster| {
            (0..nodes).any(|node| cluster.processes[node].is_some() && knows(cluster, node))
        });
        cluster.run_until(DETECTION_TIMEOUT, |cluster| {
            (0..nodes).all(|node| knows(cluster, node))
        });
        last += cluster.now - killed_at;
        cluster.start(dead);
        cluster.run_until(DETECTION_TIMEOUT, Cluster::is_converged);
    }
    DetectionTimes {
        first: first / killed as f64,
        last: last / killed as f64,
    }
}

/// A recurring fault of some nodes.
#[derive(Clone, Copy)]
enum Impairment {
    /// They are alternately frozen and running, for these times in seconds.
    Frozen { frozen: f64, running: f64 },
    /// This fraction of datagrams to them is lost.
    ReceiveLoss(f64),
}

const IMPAIRMENTS: [Impairment; 6] = [
    Impairment::Frozen {
        frozen: 3.0,
        running: 0.1,
    },
    Impairment::Frozen {
        frozen: 6.0,
        running: 1.0,
    },
    Impairment::Frozen {
        frozen: 12.0,
        running: 0.3,
    },
    Impairment::ReceiveLoss(0.5),
    Impairment::ReceiveLoss(0.8),
    Impairment::ReceiveLoss(0.9),
];

impl Impairment {
    fn describe(self, impaired: usize) -> String {
        match self {
            Impairment::Frozen { frozen, running } => {
                format!("{impaired} frozen {frozen} s, running {running} s")
            }
            Impairment::ReceiveLoss(loss) => {
                format!("{impaired} lose {:.0} % of datagrams", loss * 100.0)
            }
        }
    }

    /// Runs the cluster for one cycle of the fault.
    fn apply(self, cluster: &mut Cluster, impaired: &[usize]) {
        match self {
            Impairment::Frozen { frozen, running } => {
                impaired.iter().for_each(|node| cluster.freeze(*node));
                cluster.run(frozen);
                impaired.iter().for_each(|node| cluster.thaw(*node));
                cluster.run(running);
            }
            Impairment::ReceiveLoss(loss) => {
                cluster.receive_loss = impaired.iter().map(|node| (*node, loss)).collect();
                cluster.run(LOSS_STEP);
            }
        }
    }
}

/// How often healthy nodes were declared dead, per minute, by the health of the declaring node.
struct FalsePositiveRates {
    by_healthy: f64,
    by_impaired: f64,
}

/// Measures a cluster in which some nodes are impaired.
fn measure_impaired(
    nodes: usize,
    impaired: usize,
    impairment: Impairment,
    max_health_score: u32,
) -> FalsePositiveRates {
    let membership = MembershipConfig {
        max_health_score,
        ..membership(nodes)
    };
    let mut cluster = cluster_with(nodes, 1, membership);
    cluster.run_until(JOIN_TIMEOUT, Cluster::is_converged);
    cluster.run(2.0);
    let healthy = nodes - impaired;
    let impaired: Vec<usize> = (healthy..nodes).collect();
    cluster.healthy_nodes = Some(healthy);
    let started_at = cluster.now;
    while cluster.now - started_at < IMPAIRED_SECONDS {
        impairment.apply(&mut cluster, &impaired);
    }
    let minutes = (cluster.now - started_at) / 60.0;
    let HealthyDeclaredDead {
        by_healthy,
        by_impaired,
    } = cluster.healthy_declared_dead;
    FalsePositiveRates {
        by_healthy: by_healthy as f64 / minutes,
        by_impaired: by_impaired as f64 / minutes,
    }
}

/// Prints how often healthy nodes are declared dead if others are impaired, without and with the local health score.
pub fn print_impaired(nodes: usize) {
    println!(
        "{nodes} nodes, some impaired: healthy nodes declared dead per minute, by healthy and by impaired nodes"
    );
    println!("impaired | without health score | with health score");
    for impairment in IMPAIRMENTS {
        for impaired in IMPAIRED_NODES {
            let without_score = measure_impaired(nodes, impaired, impairment, 0);
            let with_score = measure_impaired(nodes, impaired, impairment, MAX_SCORE);
            println!(
                "{:>34} | {:>8.1} {:>8.1} | {:>8.1} {:>8.1}",
                impairment.describe(impaired),
                without_score.by_healthy,
                without_score.by_impaired,
                with_score.by_healthy,
                with_score.by_impaired
            );
        }
    }
}
