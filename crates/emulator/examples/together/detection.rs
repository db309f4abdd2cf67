//! How soon dead nodes are detected, and how often healthy nodes are declared dead beside impaired ones.

use super::{cluster_with, membership};
use reelfall_cluster::members::MembershipConfig;
use reelfall_emulator::cluster::{Cluster, HealthyDeclaredDead};

/// How long nodes may take to discover each other, in seconds.
const JOIN_TIMEOUT: f64 = 120.0;
/// How long the death or the restart of one node may take to be known, in seconds.
const DETECTION_TIMEOUT: f64 = 60.0;
/// Number of seed nodes, which are not killed, so that restarted nodes can join.
const SEED_NODES: usize = 3;
/// How long a cluster with impaired nodes is measured, in seconds.
const IMPAIRED_SECONDS: f64 = 120.0;
/// How long nodes miss datagrams between two looks at the clock, in seconds.
const LOSS_STEP: f64 = 10.0;
/// Numbers of impaired nodes.
const IMPAIRED_NODES: [usize; 2] = [4, 32];
/// The default bound of the health score, by which impaired nodes suspect others later.
const MAX_SCORE: u32 = 8;

/// Means of the time from the death of a node until others declare it dead, in seconds.
pub struct DetectionTimes {
    /// By the first of them.
    pub first: f64,
    /// By the last of them.
    pub last: f64,
}

/// Kills this many nodes, one after the other, each of which is started again.
pub fn measure(nodes: usize, killed: usize, seed: u64) -> DetectionTimes {
    let mut cluster = cluster_with(nodes, seed, membership(nodes));
    cluster.run_until(JOIN_TIMEOUT, Cluster::is_converged);
    let (mut first, mut last) = (0.0, 0.0);
    for index in 0..killed {
        // Each at another phase of the probes.
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

/// A repeated fault of some nodes.
#[derive(Clone, Copy)]
enum Impairment {
    /// They are frozen for some time and run for some time, in seconds.
    Frozen { frozen: f64, running: f64 },
    /// This fraction of the datagrams to them is lost.
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
                format!("{impaired} stand still {frozen} s, run {running} s")
            }
            Impairment::ReceiveLoss(loss) => {
                format!("{impaired} do not hear {:.0} %", loss * 100.0)
            }
        }
    }

    /// Impairs these nodes for a while.
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

/// How often healthy nodes were declared dead, per minute.
struct FalsePositiveRates {
    by_healthy: f64,
    by_impaired: f64,
}

/// Measures a cluster some of whose nodes are impaired.
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

/// Prints how often healthy nodes are declared dead beside impaired ones, without and with the health score.
pub fn print_impaired(nodes: usize) {
    println!(
        "{nodes} nodes, some in trouble: others taken for gone, a minute, by others and by those in trouble"
    );
    println!("in trouble | without doubt of oneself | with it");
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
