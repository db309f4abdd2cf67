//! Plans of small fleets, for the tests and the example `fleet`.

use crate::plan::{
    ClientRetries, Disturbance, FirstZoneFractions, Latency, MachineType, Overload, Plan,
    QueueSlowdown, RequestClass, ServerBehavior, SlowStart,
};
use reelfall_balancer::interface::Idempotency;
use std::ops::RangeInclusive;

/// When the faults of [`with_faulty_servers`] begin, in seconds.
const FAULTS_BEGIN: f64 = 2.0;
/// Longer than any run, in seconds.
const WHOLE_RUN: f64 = 60.0;

/// A fleet in two zones without disturbances, with 0.6 servers per node.
pub fn undisturbed(nodes: usize, seed: u64) -> Plan {
    Plan {
        name: "calm".to_owned(),
        seed,
        nodes,
        servers: (nodes * 3 / 5).max(6),
        first_zone: FirstZoneFractions {
            nodes: 0.5,
            servers: 0.6,
        },
        duration: 20.0,
        load: 0.65,
        classes: classes(),
        machine_types: vec![
            machine_type(0.4, 2.0, 1.7..=2.3),
            machine_type(0.25, 1.5, 1.0..=1.4),
            machine_type(0.35, 0.5, 0.7..=0.9),
        ],
        first_node_weight: 1.0,
        is_subsetting_disabled: false,
        latency: Latency {
            same_zone: 0.000_25,
            cross_zone: 0.000_9,
        },
        queue_capacity: 20..=20,
        queue_slowdown: QueueSlowdown {
            threshold: usize::MAX,
            per_request: 0.0,
        },
        max_connections: 120,
        connection_work: 0.002,
        connect_timeout: 0.075,
        idle_timeout: 5.0,
        slow_start: SlowStart {
            initial_capacity: 0.4,
            duration: 6.0,
            work_fraction: 1.0,
        },
        overload: Overload {
            factor: 3.0,
            window: 1.0,
        },
        notification_delay: 1.0,
        failover_delay: 1.5,
        client_timeout_ratio: 1.0,
        impatient_fraction: 0.0,
        client_retries: ClientRetries {
            max: 1,
            pause: 0.03,
            respecting_retry_after: 0.5,
        },
        disturbances: Vec::new(),
    }
}

fn classes() -> Vec<RequestClass> {
    let read = RequestClass {
        request_fraction: 0.45,
        mean_work: 0.027,
        latency_objective: 0.15,
        deadline: 0.6,
        priority_weight: 3.0,
        idempotency: Idempotency::Idempotent,
    };
    let write = RequestClass {
        mean_work: 0.035,
        latency_objective: 0.2,
        priority_weight: 5.0,
        idempotency: Idempotency::AtMostOnce,
        ..read.clone()
    };
    let rollout = RequestClass {
        request_fraction: 0.1,
        mean_work: 0.04,
        deadline: 0.5,
        priority_weight: 10.0,
        ..write.clone()
    };
    vec![read, write, rollout]
}

fn machine_type(
    server_fraction: f64,
    listed_weight: f64,
    speed: RangeInclusive<f64>,
) -> MachineType {
    MachineType {
        server_fraction,
        listed_weight,
        speed,
    }
}

/// Adds faults to a plan: of this fraction of the servers, half are unresponsive and half are slow.
pub fn with_faulty_servers(mut plan: Plan, fraction: f64) -> Plan {
    plan.name += " with faulty servers";
    for behavior in [ServerBehavior::Unresponsive, ServerBehavior::Slow(4.0)] {
        let fault = Disturbance::ServerFault {
            fraction: fraction / 2.0,
            behavior,
            duration: WHOLE_RUN,
        };
        plan.disturb(FAULTS_BEGIN, fault);
    }
    plan
}

/// 70% of the nodes are killed at once between two releases of the servers, while discovery is down.
pub fn mass_kill(nodes: usize, seed: u64) -> Plan {
    let mut plan = Plan {
        name: "herd".to_owned(),
        ..undisturbed(nodes, seed)
    };
    plan.disturb(
        5.0,
        Disturbance::ReplaceServers {
            fraction: 0.15,
            after: 2.0,
        },
    );
    plan.disturb(
        7.0,
        Disturbance::KillNodes {
            fraction: 0.7,
            down_for: 1.5,
        },
    );
    plan.disturb(7.0, Disturbance::DiscoveryOutage { duration: 3.0 });
    plan.disturb(
        9.0,
        Disturbance::ReplaceServers {
            fraction: 0.15,
            after: 2.0,
        },
    );
    plan
}

/// A zone is lost and restarts; its servers begin with slow start.
pub fn zone_loss(nodes: usize, seed: u64) -> Plan {
    let mut plan = Plan {
        name: "zone".to_owned(),
        ..undisturbed(nodes, seed)
    };
    plan.disturb(
        6.0,
        Disturbance::LoseZone {
            zone: 1,
            down_for: 5.0,
        },
    );
    plan
}

/// 60% of the servers are replaced within seven seconds.
pub fn server_replacement(nodes: usize, seed: u64) -> Plan {
    let mut plan = Plan {
        name: "join".to_owned(),
        ..undisturbed(nodes, seed)
    };
    plan.disturb(
        5.0,
        Disturbance::ReplaceServers {
            fraction: 0.3,
            after: 2.0,
        },
    );
    plan.disturb(
        8.5,
        Disturbance::ReplaceServers {
            fraction: 0.3,
            after: 2.0,
        },
    );
    plan
}
