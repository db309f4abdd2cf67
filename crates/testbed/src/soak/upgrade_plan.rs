//! What happens on a day of upgrades, drawn from its seed. [`super::upgrades`] carries it out.

use super::plan::{draw_ms, ClientKind, ServerFault, DEADLINE_MS};
use crate::SeededRng;
use std::time::Duration;

/// Servers of each day.
const SERVERS: usize = 4;
/// Clients of each kind.
const CLIENTS_OF_KIND: usize = 2;
/// Steps of a day: this number at least, and so many more at most.
const STEPS: (u64, u64) = (5, 4);
/// The wait between two steps, in milliseconds.
const WAIT_MS: (u64, u64) = (20, 300);
/// When a successor is killed after its start, in milliseconds. It is ready after some ten.
const KILL_AFTER_MS: (u64, u64) = (0, 25);
/// How long the node, or a server, drains, in milliseconds.
const DRAIN_MS: (u64, u64) = (100, 1500);

/// Something that is done to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeStep {
    /// A successor is started, and the old process is told to end as soon as it is ready.
    Upgrade,
    /// A successor is started, and killed after this time.
    KilledSuccessor(Duration),
    /// An operator drains the node, and resumes it after this time.
    DrainNode(Duration),
    /// Discovery announces that the first server drains, and lifts that after this time.
    DrainServer(Duration),
    /// The same, with an upgrade in the same instant.
    DrainServerAndUpgrade(Duration),
}

/// A step, and the wait before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedStep {
    /// The wait.
    pub wait: Duration,
    /// The step.
    pub step: UpgradeStep,
}

/// One day.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpgradePlan {
    /// Its seed.
    pub seed: u64,
    /// The deadline of requests.
    pub deadline: Duration,
    /// The steps; the last one is an upgrade.
    pub steps: Vec<TimedStep>,
    /// The clients.
    pub clients: Vec<ClientKind>,
    /// The servers, none of which has a fault.
    pub servers: Vec<ServerFault>,
}

impl UpgradePlan {
    /// The day of this seed.
    pub fn draw(seed: u64) -> UpgradePlan {
        let mut random = SeededRng(seed.wrapping_mul(0x9e37_79b9).wrapping_add(2));
        random.next_u64();
        let (min_steps, more_steps) = STEPS;
        let count = min_steps + random.next_u64() % (more_steps + 1);
        let mut steps: Vec<TimedStep> = (0..count).map(|_| draw_step(&mut random)).collect();
        steps.push(TimedStep {
            wait: draw_ms(&mut random, WAIT_MS),
            step: UpgradeStep::Upgrade,
        });
        let clients = (0..CLIENTS_OF_KIND).flat_map(|_| ClientKind::ALL);
        UpgradePlan {
            seed,
            deadline: draw_ms(&mut random, DEADLINE_MS),
            steps,
            clients: clients.collect(),
            servers: vec![ServerFault::None; SERVERS],
        }
    }
}

fn draw_step(random: &mut SeededRng) -> TimedStep {
    let wait = draw_ms(random, WAIT_MS);
    let step = match random.next_u64() % 6 {
        0 | 1 => UpgradeStep::Upgrade,
        2 => UpgradeStep::KilledSuccessor(draw_ms(random, KILL_AFTER_MS)),
        3 => UpgradeStep::DrainNode(draw_ms(random, DRAIN_MS)),
        4 => UpgradeStep::DrainServer(draw_ms(random, DRAIN_MS)),
        _ => UpgradeStep::DrainServerAndUpgrade(draw_ms(random, DRAIN_MS)),
    };
    TimedStep { wait, step }
}
