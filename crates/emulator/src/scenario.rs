//! The plans that the project measures itself by. They are of its own making, and no copy of anybody's days.

use crate::plan::{Class, Happening, Kind, Manner, Plan};
use reelfall_balancer::interface::Idempotency;

/// A quiet fleet of flag servers in two zones, with 0.6 servers for each node.
pub fn calm(nodes: usize, seed: u64) -> Plan {
    let class = |share, work, aim, deadline, worth, effect| Class {
        share,
        work,
        aim,
        deadline,
        worth,
        effect,
    };
    let kind = |share, weight, speed| Kind {
        share,
        weight,
        speed,
    };
    Plan {
        name: "calm".to_owned(),
        seed,
        nodes,
        servers: (nodes * 3 / 5).max(6),
        zones: (0.5, 0.6),
        length: 20.0,
        load: 0.65,
        classes: vec![
            class(0.45, 0.027, 0.15, 0.6, 3.0, Idempotency::Idempotent),
            class(0.45, 0.035, 0.2, 0.6, 5.0, Idempotency::AtMostOnce),
            class(0.1, 0.04, 0.2, 0.5, 10.0, Idempotency::AtMostOnce),
        ],
        kinds: vec![
            kind(0.4, 2.0, (1.7, 2.3)),
            kind(0.25, 1.5, (1.0, 1.4)),
            kind(0.35, 0.5, (0.7, 0.9)),
        ],
        heavy: 1.0,
        whole: false,
        latency: (0.000_25, 0.000_9),
        waiting: (20, 20),
        thrash: (usize::MAX, 0.0),
        connections: 120,
        handshake: 0.002,
        connect_within: 0.075,
        idle: 5.0,
        cold: (0.4, 6.0),
        warms: 1.0,
        tips: (3.0, 1.0),
        notice: 1.0,
        front: 1.5,
        patience: 1.0,
        hurried: 0.0,
        retries: (1, 0.03, 0.5),
        happenings: Vec::new(),
    }
}

/// A few bad servers from the second second on, as long as the run lasts.
pub fn with_bad(mut plan: Plan, part: f64) -> Plan {
    plan.name += " with bad servers";
    plan.happenings
        .push((2.0, Happening::Trouble(part / 2.0, Manner::Silent, 60.0)));
    plan.happenings
        .push((2.0, Happening::Trouble(part / 2.0, Manner::Slow(4.0), 60.0)));
    plan
}

/// Most nodes die at one moment of a release of the servers, and the list says nothing for a while.
pub fn herd(nodes: usize, seed: u64) -> Plan {
    let happenings = vec![
        (5.0, Happening::Replace(0.15, 2.0)),
        (7.0, Happening::NodesDie(0.7, 1.5)),
        (7.0, Happening::ListDown(3.0)),
        (9.0, Happening::Replace(0.15, 2.0)),
    ];
    Plan {
        name: "herd".to_owned(),
        happenings,
        ..calm(nodes, seed)
    }
}

/// A zone is lost and comes back cold.
pub fn zone(nodes: usize, seed: u64) -> Plan {
    Plan {
        name: "zone".to_owned(),
        happenings: vec![(6.0, Happening::ZoneLost(1, 5.0))],
        ..calm(nodes, seed)
    }
}

/// Six in ten servers are replaced within seven seconds.
pub fn join(nodes: usize, seed: u64) -> Plan {
    let happenings = vec![
        (5.0, Happening::Replace(0.3, 2.0)),
        (8.5, Happening::Replace(0.3, 2.0)),
    ];
    Plan {
        name: "join".to_owned(),
        happenings,
        ..calm(nodes, seed)
    }
}
