//! The plan of a run of kind `upgrade`, generated from a seed. [`super::upgrades`] executes it.

use super::plan::{random_ms, ClientKind, ServerFault, DEADLINE_MS};
use crate::SeededRng;
use std::time::Duration;

/// Number of servers in each run.
const SERVERS: usize = 4;
/// Number of clients of each kind.
const CLIENTS_OF_KIND: usize = 2;
/// Steps of a run: the minimum, and the maximum number of additional ones.
const STEPS: (u64, u64) = (5, 4);
/// Shortest and longest wait between two steps, in milliseconds.
const WAIT_MS: (u64, u64) = (20, 300);
/// Shortest and longest time from the start of a successor to its kill, in milliseconds. It is ready after about 10 ms.
const KILL_AFTER_MS: (u64, u64) = (0, 25);
/// Shortest and longest time from the start of a successor to its SIGTERM, in milliseconds.
const TAKE_BACK_AFTER_MS: (u64, u64) = (0, 300);
/// Maximum number of successors of a run that get SIGTERM; the minimum is 1.
const TAKE_BACKS: u64 = 2;
/// Shortest and longest drain of the node or a server, in milliseconds.
const DRAIN_MS: (u64, u64) = (100, 1500);

/// An operation on the node or its servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeStep {
    /// A successor is started, and the old process gets SIGTERM as soon as the successor is ready.
    Upgrade,
    /// A successor is started, and gets SIGKILL after this time.
    KillSuccessor(Duration),
    /// A successor is started, and gets SIGTERM after this time, before or after it has taken over. The old process serves on.
    TakeBack(Duration),
    /// An operator drains the node, and resumes it after this time.
    DrainNode(Duration),
    /// Discovery announces that the first server drains, and that it is active again after this time.
    DrainServer(Duration),
    /// Discovery announces that the first server drains while the node is upgraded, and that it is active again this time
    /// after the upgrade.
    DrainServerAndUpgrade(Duration),
}

/// A step with the wait before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedStep {
    /// Wait before the step.
    pub wait: Duration,
    /// What happens then.
    pub step: UpgradeStep,
}

/// The plan of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpgradePlan {
    /// Seed that the plan was generated from.
    pub seed: u64,
    /// Deadline of all requests.
    pub deadline: Duration,
    /// The steps; the last one is an upgrade.
    pub steps: Vec<TimedStep>,
    /// The kind of each client.
    pub clients: Vec<ClientKind>,
    /// The fault of each server: none in these runs.
    pub servers: Vec<ServerFault>,
}

impl UpgradePlan {
    /// Generates the plan of a seed. The same seed always gives the same plan.
    pub fn from_seed(seed: u64) -> UpgradePlan {
        let mut random = SeededRng(seed.wrapping_mul(0x9e37_79b9).wrapping_add(2));
        random.next_u64();
        let (min_steps, more_steps) = STEPS;
        let count = min_steps + random.next_u64() % (more_steps + 1);
        let mut steps: Vec<TimedStep> = (0..count).map(|_| random_step(&mut random)).collect();
        steps.push(TimedStep {
            wait: random_ms(&mut random, WAIT_MS),
            step: UpgradeStep::Upgrade,
        });
        insert_take_backs(seed, &mut steps);
        let clients = (0..CLIENTS_OF_KIND).flat_map(|_| ClientKind::ALL);
        UpgradePlan {
            seed,
            deadline: random_ms(&mut random, DEADLINE_MS),
            steps,
            clients: clients.collect(),
            servers: vec![ServerFault::None; SERVERS],
        }
    }
}

fn random_step(random: &mut SeededRng) -> TimedStep {
    let wait = random_ms(random, WAIT_MS);
    let step = match random.next_u64() % 6 {
        0 | 1 => UpgradeStep::Upgrade,
        2 => UpgradeStep::KillSuccessor(random_ms(random, KILL_AFTER_MS)),
        3 => UpgradeStep::DrainNode(random_ms(random, DRAIN_MS)),
        4 => UpgradeStep::DrainServer(random_ms(random, DRAIN_MS)),
        _ => UpgradeStep::DrainServerAndUpgrade(random_ms(random, DRAIN_MS)),
    };
    TimedStep { wait, step }
}

/// Inserts successors that get SIGTERM before the last step. They have random numbers of their own, so that the other steps of a
/// seed are the same as without them.
fn insert_take_backs(seed: u64, steps: &mut Vec<TimedStep>) {
    let mut random = SeededRng(seed.wrapping_mul(0x9e37_79b9).wrapping_add(3));
    random.next_u64();
    let count = 1 + random.next_u64() % TAKE_BACKS;
    for _ in 0..count {
        let position = (random.next_u64() % steps.len() as u64) as usize;
        let step = TimedStep {
            wait: random_ms(&mut random, WAIT_MS),
            step: UpgradeStep::TakeBack(random_ms(&mut random, TAKE_BACK_AFTER_MS)),
        };
        steps.insert(position, step);
    }
}
