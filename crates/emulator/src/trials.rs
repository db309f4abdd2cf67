//! Six kinds of trials with large fleets. Loads, speeds, timeouts, queues and the affected servers are sampled from the
//! seed, so that the decision module is not tuned to a single configuration.

use crate::plan::{
    ClientRetries, Disturbance, FirstZoneFractions, Latency, MachineType, Overload, Plan,
    QueueSlowdown, RequestClass, ScheduledDisturbance, ServerBehavior, SlowStart,
};
use crate::streams::stream;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use reelfall_balancer::interface::{Idempotency, Time};

/// Time from the drain of servers until their replacements start, in seconds.
const RELEASE_DELAY: Time = 2.2;
/// Longer than any run, in seconds.
const WHOLE_RUN: Time = 60.0;

/// A kind of trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trial {
    /// Traffic surges to 1.5 times its rate and shifts between zones.
    TrafficChanges,
    /// Half of the servers are replaced in steps during a rolling restart of all nodes.
    RollingRestart,
    /// 70% of the nodes are killed at once between two releases of the servers; one in eight servers is faulty.
    MassKill,
    /// A zone is lost and returns; later the second zone is partitioned. One in eight servers is faulty.
    ZoneLoss,
    /// A zone is partitioned while discovery is down and responses are lost.
    Partition,
    /// 60% of the servers are replaced within seven seconds while responses are lost.
    ServerReplacement,
}

impl Trial {
    /// All trials.
    pub const ALL: [Trial; 6] = [
        Trial::TrafficChanges,
        Trial::RollingRestart,
        Trial::MassKill,
        Trial::ZoneLoss,
        Trial::Partition,
        Trial::ServerReplacement,
    ];

    /// The name by which it is selected on the command line; it also seeds its random numbers.
    pub fn name(self) -> &'static str {
        match self {
            Trial::TrafficChanges => "calm",
            Trial::RollingRestart => "roll",
            Trial::MassKill => "herd",
            Trial::ZoneLoss => "zone",
            Trial::Partition => "split",
            Trial::ServerReplacement => "join",
        }
    }

    /// Samples the plan of a run with this many nodes.
    pub fn plan(self, nodes: usize, seed: u64) -> Plan {
        let rng = &mut stream(seed, self.name());
        let mut plan = base(nodes, seed, rng);
        plan.name = self.name().to_owned();
        plan.disturbances = self.disturbances(rng);
        let at = rng.random_range(1.0..4.0);
        let disturbance = background_fault(rng);
        plan.disturb(at, disturbance);
        plan
    }

    fn disturbances(self, rng: &mut Pcg64Mcg) -> Vec<ScheduledDisturbance> {
        match self {
            Trial::TrafficChanges => traffic_changes(rng),
            Trial::RollingRestart => rolling_restart(),
            Trial::MassKill => mass_kill(rng),
            Trial::ZoneLoss => zone_loss(rng),
            Trial::Partition => partition(rng),
            Trial::ServerReplacement => server_replacement(),
        }
    }
}

fn scheduled(at: Time, disturbance: Disturbance) -> ScheduledDisturbance {
    ScheduledDisturbance { at, disturbance }
}

/// A release of the servers' software, which replaces this fraction of them.
fn release(fraction: f64) -> Disturbance {
    Disturbance::ReplaceServers {
        fraction,
        after: RELEASE_DELAY,
    }
}

fn traffic_changes(rng: &mut Pcg64Mcg) -> Vec<ScheduledDisturbance> {
    let surge_at = rng.random_range(5.0..8.0);
    let shift_at = rng.random_range(8.0..12.0);
    let first_zone_fraction = rng.random_range(0.3..0.7);
    vec![
        scheduled(
            surge_at,
            Disturbance::TrafficSurge {
                factor: 1.5,
                duration: 4.0,
            },
        ),
        scheduled(
            shift_at,
            Disturbance::TrafficShift {
                first_zone_fraction,
            },
        ),
    ]
}

fn rolling_restart() -> Vec<ScheduledDisturbance> {
    let restart = Disturbance::RollingRestart {
        steps: 10,
        interval: 1.2,
        down_for: 0.3,
    };
    let mut all = vec![scheduled(4.0, restart)];
    all.extend((0..5).map(|step| scheduled(4.0 + 2.0 * f64::from(step), release(0.1))));
    all
}

fn mass_kill(rng: &mut Pcg64Mcg) -> Vec<ScheduledDisturbance> {
    let down_for = rng.random_range(0.8..2.0);
    let behaviors = [
        ServerBehavior::Unresponsive,
        ServerBehavior::Slow(4.0),
        ServerBehavior::Failing,
    ];
    vec![
        scheduled(5.0, release(0.15)),
        scheduled(
            7.0,
            Disturbance::KillNodes {
                fraction: 0.7,
                down_for,
            },
        ),
        scheduled(9.0, release(0.15)),
        faulty_servers(rng, &behaviors),
    ]
}

fn zone_loss(rng: &mut Pcg64Mcg) -> Vec<ScheduledDisturbance> {
    let zone = rng.random_range(0..2);
    vec![
        scheduled(
            5.0,
            Disturbance::LoseZone {
                zone,
                down_for: 5.0,
            },
        ),
        scheduled(
            13.0,
            Disturbance::Partition {
                zone: 1,
                duration: 3.0,
            },
        ),
        faulty_servers(rng, &[ServerBehavior::Slow(4.0), ServerBehavior::Failing]),
    ]
}

fn partition(rng: &mut Pcg64Mcg) -> Vec<ScheduledDisturbance> {
    let zone = rng.random_range(0..2);
    let fraction = rng.random_range(0.01..0.06);
    vec![
        scheduled(
            6.0,
            Disturbance::Partition {
                zone,
                duration: 6.0,
            },
        ),
        scheduled(6.0, Disturbance::DiscoveryOutage { duration: 6.0 }),
        scheduled(
            6.0,
            Disturbance::LostResponses {
                fraction,
                duration: 6.0,
            },
        ),
    ]
}

fn server_replacement() -> Vec<ScheduledDisturbance> {
    vec![
        scheduled(5.5, release(0.3)),
        scheduled(8.0, release(0.3)),
        scheduled(
            6.0,
            Disturbance::LostResponses {
                fraction: 0.01,
                duration: 10.0,
            },
        ),
    ]
}

/// One in eight servers has one of these faults from a sampled time until the end of the run.
fn faulty_servers(rng: &mut Pcg64Mcg, behaviors: &[ServerBehavior]) -> ScheduledDisturbance {
    let behavior = behaviors[rng.random_range(0..behaviors.len())];
    let from = rng.random_range(3.0..5.0);
    scheduled(
        from,
        Disturbance::ServerFault {
            fraction: 0.125,
            behavior,
            duration: WHOLE_RUN,
        },
    )
}

/// An additional sampled fault that every trial has.
fn background_fault(rng: &mut Pcg64Mcg) -> Disturbance {
    match rng.random_range(0..3) {
        0 => Disturbance::ServerFault {
            fraction: rng.random_range(0.06..0.19),
            behavior: ServerBehavior::Failing,
            duration: rng.random_range(5.0..12.0),
        },
        1 => {
            let interval = rng.random_range(1.0..2.4);
            let duration = rng.random_range(0.04..0.1);
            Disturbance::ServerFault {
                fraction: rng.random_range(0.1..0.45),
                behavior: ServerBehavior::Pausing { interval, duration },
                duration: rng.random_range(10.0..20.0),
            }
        }
        _ => Disturbance::CommonSlowdown {
            factor: rng.random_range(1.2..2.2),
            duration: rng.random_range(5.0..9.0),
        },
    }
}

/// A fleet in two zones with servers of three machine types, without disturbances. The order of the fields determines the
/// order in which their random numbers are drawn.
fn base(nodes: usize, seed: u64, rng: &mut Pcg64Mcg) -> Plan {
    Plan {
        name: String::new(),
        seed,
        nodes,
        servers: ((nodes as f64 * rng.random_range(0.45..0.65)) as usize).max(6),
        first_zone: FirstZoneFractions {
            nodes: rng.random_range(0.4..0.6),
            servers: rng.random_range(0.4..0.6),
        },
        duration: 22.0,
        load: rng.random_range(0.55..0.75),
        classes: classes(rng),
        machine_types: vec![
            machine_type(0.4, 2.0),
            machine_type(0.25, 1.2),
            machine_type(0.35, 0.8),
        ],
        first_node_weight: 1.0 + 2.0 * rng.random::<f64>(),
        is_subsetting_disabled: false,
        latency: Latency {
            same_zone: 0.000_25,
            cross_zone: 0.000_6,
        },
        queue_capacity: 8..=30,
        queue_slowdown: QueueSlowdown {
            threshold: 9,
            per_request: 0.04,
        },
        max_connections: 500,
        connection_work: rng.random_range(0.000_35..0.002_7),
        connect_timeout: 0.075,
        idle_timeout: 5.0,
        slow_start: SlowStart {
            initial_capacity: rng.random_range(0.35..0.57),
            duration: rng.random_range(3.4..8.5),
            work_fraction: 0.6,
        },
        overload: Overload {
            factor: 3.0,
            window: 1.0,
        },
        notification_delay: rng.random_range(0.3..1.0),
        failover_delay: rng.random_range(0.95..2.0),
        client_timeout_ratio: rng.random_range(0.4..1.0),
        impatient_fraction: rng.random_range(0.0..0.01),
        client_retries: ClientRetries {
            max: rng.random_range(0..3),
            pause: rng.random_range(0.007..0.06),
            respecting_retry_after: rng.random_range(0.3..0.9),
        },
        disturbances: Vec::new(),
    }
}

fn classes(rng: &mut Pcg64Mcg) -> Vec<RequestClass> {
    let read = RequestClass {
        request_fraction: 0.45,
        mean_work: rng.random_range(0.02..0.035),
        latency_objective: 0.15,
        deadline: 0.6,
        priority_weight: 3.0,
        idempotency: Idempotency::Idempotent,
    };
    let write = RequestClass {
        mean_work: rng.random_range(0.029..0.052),
        latency_objective: 0.2,
        priority_weight: 5.0,
        idempotency: Idempotency::AtMostOnce,
        ..read.clone()
    };
    let rollout = RequestClass {
        request_fraction: 0.1,
        mean_work: rng.random_range(0.032..0.057),
        deadline: 0.5,
        priority_weight: 10.0,
        ..write.clone()
    };
    vec![read, write, rollout]
}

/// Servers of this mean speed, within 15%. All have the same listed weight, so that it does not reveal their speed.
fn machine_type(server_fraction: f64, mean_speed: f64) -> MachineType {
    let speed = 0.85 * mean_speed..=1.15 * mean_speed;
    MachineType {
        server_fraction,
        listed_weight: 1.0,
        speed,
    }
}
