//! Random schedules of bans, reports and faults.

use crate::fixture::record_outcomes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use reelfall_cluster::observer::AttemptOutcome;
use reelfall_emulator::together::{rules, Links, World};

const NODES: usize = 5;

#[derive(Clone, Debug)]
enum Step {
    Run {
        milliseconds: u32,
    },
    /// Without an end from [`PERMANENT_BAN_SECONDS`] on.
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

fn is_active(world: &World, node: usize) -> bool {
    let process = world.nodes[node].as_ref();
    process.is_some_and(|process| !process.frozen)
}

fn perform(world: &mut World, step: &Step) {
    let server_name = |server: usize| format!("server-{server}");
    match *step {
        Step::Run { milliseconds } => world.run(f64::from(milliseconds) / 1e3),
        Step::Ban {
            node,
            server,
            seconds,
        } => {
            let duration = (seconds < PERMANENT_BAN_SECONDS).then_some(f64::from(seconds));
            if is_active(world, node) {
                world.at(node, |fleet, now| {
                    fleet.ban(now, &server_name(server), "ada", duration)
                });
            }
        }
        Step::Lift { node, server } => {
            if is_active(world, node) {
                world.at(node, |fleet, now| {
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
            if is_active(world, node) {
                record_outcomes(world, &[node], &[server], outcome);
            }
        }
        Step::Partition {
            one,
            other,
            is_mutual,
        } => world.part(&[one], &[other], is_mutual),
        Step::Heal => world.heal(),
        Step::SetPaused { node, is_paused } => world.freeze(node, is_paused),
        Step::Restart { node } => world.start(node),
        Step::Kill { node } => world.kill(node),
        Step::SetLoss { percent } => world.links.loss = f64::from(percent) / 100.0,
        Step::SetMaxDelay { hundredths } => {
            world.links.delay.1 = 0.002 + f64::from(hundredths) / 100.0;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..Default::default() })]

    /// No ban counts past its expiry, no lifted ban returns, and all nodes agree once the faults have ended.
    #[test]
    fn random_schedules_expire_bans_in_time_and_converge(
        seed in any::<u64>(), steps in prop::collection::vec(step(), 1..40),
    ) {
        let mut world = World::new(NODES, seed, |_| rules());
        world.run(3.0);
        world.links.twice = 0.05;
        for step in &steps {
            perform(&mut world, step);
            prop_assert!(world.broken.is_empty(), "{:?}", world.broken);
        }
        world.links = Links::default();
        world.heal();
        for node in 0..NODES {
            world.freeze(node, false);
            if world.nodes[node].is_none() {
                world.start(node);
            }
        }
        // Longer than any temporary ban of a schedule, and than a partitioned node needs to rejoin.
        world.run(60.0);
        prop_assert!(world.gathered(), "{:?}", (0..NODES).map(|node| world.members(node)).collect::<Vec<_>>());
        let first = world.out(0);
        prop_assert!((1..NODES).all(|node| world.out(node) == first), "{:?}", (0..NODES).map(|node| world.out(node)).collect::<Vec<_>>());
        prop_assert!(world.broken.is_empty(), "{:?}", world.broken);
    }
}
