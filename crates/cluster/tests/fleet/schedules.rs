//! Property tests with random schedules of bans, reports and faults.

use crate::fixture::record_outcomes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use reelfall_cluster::observer::AttemptOutcome;
use reelfall_emulator::cluster::{default_config, Cluster, Links};

const NODES: usize = 5;

#[derive(Clone, Debug)]
enum Step {
    Run {
        milliseconds: u32,
    },
    /// A ban without a duration if `seconds` is at least [`PERMANENT_BAN_SECONDS`].
    Ban {
        node: usize,
        server: usize,
        seconds: u32,
    },
    Lift {
        node: usize,
        server: usize,
    },
    RecordOutcome {
        node: usize,
        server: usize,
        is_success: bool,
    },
    Partition {
        one: usize,
        other: usize,
        is_mutual: bool,
    },
    Heal,
    SetPaused {
        node: usize,
        is_paused: bool,
    },
    Restart {
        node: usize,
    },
    Kill {
        node: usize,
    },
    SetLoss {
        percent: u8,
    },
    SetMaxDelay {
        hundredths: u8,
    },
}

const PERMANENT_BAN_SECONDS: u32 = 7;

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let server = 0..3usize;
    prop_oneof![
        4 => (1..3000u32).prop_map(|milliseconds| Step::Run { milliseconds }),
        3 => (node.clone(), server.clone(), 1..8u32)
            .prop_map(|(node, server, seconds)| Step::Ban { node, server, seconds }),
        2 => (node.clone(), server.clone()).prop_map(|(node, server)| Step::Lift { node, server }),
        2 => (node.clone(), server, any::<bool>())
            .prop_map(|(node, server, is_success)| Step::RecordOutcome { node, server, is_success }),
        2 => (node.clone(), node.clone(), any::<bool>())
            .prop_map(|(one, other, is_mutual)| Step::Partition { one, other, is_mutual }),
        1 => Just(Step::Heal),
        2 => (node.clone(), any::<bool>())
            .prop_map(|(node, is_paused)| Step::SetPaused { node, is_paused }),
        1 => node.clone().prop_map(|node| Step::Restart { node }),
        1 => node.prop_map(|node| Step::Kill { node }),
        1 => (0..60u8).prop_map(|percent| Step::SetLoss { percent }),
        1 => (0..200u8).prop_map(|hundredths| Step::SetMaxDelay { hundredths }),
    ]
}

fn is_running(cluster: &Cluster, node: usize) -> bool {
    let process = cluster.processes[node].as_ref();
    process.is_some_and(|process| !process.is_frozen)
}

fn perform(cluster: &mut Cluster, step: &Step) {
    let server_name = |server: usize| format!("server-{server}");
    match *step {
        Step::Run { milliseconds } => cluster.run(f64::from(milliseconds) / 1e3),
        Step::Ban {
            node,
            server,
            seconds,
        } => {
            let duration = (seconds < PERMANENT_BAN_SECONDS).then_some(f64::from(seconds));
            if is_running(cluster, node) {
                cluster.with_node(node, |fleet, now| {
                    fleet.ban(now, &server_name(server), "ada", duration)
                });
            }
        }
        Step::Lift { node, server } => {
            if is_running(cluster, node) {
                cluster.with_node(node, |fleet, now| {
                    fleet.lift(now, &server_name(server), "obi")
                });
            }
        }
        Step::RecordOutcome {
            node,
            server,
            is_success,
        } => {
            let outcome = if is_success {
                AttemptOutcome::Answered
            } else {
                AttemptOutcome::ServerError
            };
            if is_running(cluster, node) {
                record_outcomes(cluster, &[node], &[server], outcome);
            }
        }
        Step::Partition {
            one,
            other,
            is_mutual: true,
        } => cluster.partition(&[one], &[other]),
        Step::Partition {
            one,
            other,
            is_mutual: false,
        } => cluster.partition_one_way(&[one], &[other]),
        Step::Heal => cluster.heal(),
        Step::SetPaused {
            node,
            is_paused: true,
        } => cluster.freeze(node),
        Step::SetPaused {
            node,
            is_paused: false,
        } => cluster.thaw(node),
        Step::Restart { node } => cluster.start(node),
        Step::Kill { node } => cluster.kill(node),
        Step::SetLoss { percent } => cluster.links.loss = f64::from(percent) / 100.0,
        Step::SetMaxDelay { hundredths } => {
            cluster.links.max_delay = 0.002 + f64::from(hundredths) / 100.0;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..Default::default() })]

    /// No ban is active after its expiry, no lifted ban becomes active again, and all nodes agree once the faults have
    /// ended.
    #[test]
    fn random_schedules_expire_bans_in_time_and_converge(
        seed in any::<u64>(), steps in prop::collection::vec(step(), 1..40),
    ) {
        let mut cluster = Cluster::new(NODES, seed, |_| default_config());
        cluster.run(3.0);
        cluster.links.duplication = 0.05;
        for step in &steps {
            perform(&mut cluster, step);
            prop_assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
        }
        cluster.links = Links::default();
        cluster.heal();
        for node in 0..NODES {
            cluster.thaw(node);
            if cluster.processes[node].is_none() {
                cluster.start(node);
            }
        }
        // Longer than any ban with a duration lasts, and than a partitioned node takes to rejoin.
        cluster.run(60.0);
        prop_assert!(cluster.is_converged(), "{:?}", (0..NODES).map(|node| cluster.member_count(node)).collect::<Vec<_>>());
        let first = cluster.banned_servers(0);
        prop_assert!((1..NODES).all(|node| cluster.banned_servers(node) == first), "{:?}", (0..NODES).map(|node| cluster.banned_servers(node)).collect::<Vec<_>>());
        prop_assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    }
}
