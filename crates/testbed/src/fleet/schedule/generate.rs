//! Schedules generated from a seed.

use super::Step;
use crate::SeededRng;
use std::time::Duration;

/// The generation stops when the remaining duration is at most this.
const MIN_REMAINING: Duration = Duration::from_millis(300);
/// Shortest wait between two steps, in milliseconds.
const MIN_WAIT_MS: u64 = 100;
/// The wait between two steps is longer than the shortest by less than this, in milliseconds.
const WAIT_RANGE_MS: u64 = 900;
/// Datagrams are delayed by less than this, in milliseconds.
const DELAY_RANGE_MS: u64 = 300;
/// Less than this percentage of datagrams is lost.
const LOSS_RANGE_PERCENT: u64 = 30;
/// Share of datagrams that are delivered twice while some are lost.
const DUPLICATE_RATIO: f64 = 0.1;
/// Share of datagrams that are corrupted while some are lost.
const CORRUPTION_RATIO: f64 = 0.02;
/// Number of random values that select the kind of the next step.
const STEP_KINDS: u64 = 12;

/// Generates a schedule of about this duration for this number of nodes and servers. It ends with all faults removed.
///
/// The same arguments always give the same schedule.
pub fn generate(
    seed: u64,
    node_count: usize,
    server_count: usize,
    duration: Duration,
) -> Vec<Step> {
    let mut generator = Generator {
        random: SeededRng(seed),
        node_count,
        server_count,
        stopped: Vec::new(),
        paused: Vec::new(),
        steps: Vec::new(),
    };
    let mut remaining = duration;
    while remaining > MIN_REMAINING {
        generator.push_step();
        remaining -= generator.push_wait(remaining);
    }
    generator.remove_faults();
    generator.steps
}

struct Generator {
    random: SeededRng,
    node_count: usize,
    server_count: usize,
    /// Nodes without a process.
    stopped: Vec<usize>,
    /// Nodes whose process is paused.
    paused: Vec<usize>,
    steps: Vec<Step>,
}

impl Generator {
    /// Adds a step of a random kind, or none if that kind is not possible now.
    fn push_step(&mut self) {
        let node = self.random.next_u64() as usize % self.node_count.max(1);
        let server = self.random.next_u64() as usize % self.server_count.max(1);
        let is_running = !self.stopped.contains(&node) && !self.paused.contains(&node);
        let step = match self.random.next_u64() % STEP_KINDS {
            0 => Some(self.partition()),
            1 | 2 => Some(Step::Heal),
            3 => Some(self.datagram_faults()),
            4 => Some(self.datagram_delay()),
            5 if is_running && self.may_remove_node() => Some(self.pause_node(node)),
            6 => self.resume_node(),
            7 if is_running && self.may_remove_node() => Some(self.stop_node(node)),
            8 => self.start_node(),
            9 => Some(Step::SetServerPaused {
                server,
                paused: self.random.next_fraction() < 0.6,
            }),
            10 if is_running => Some(Step::BanServer {
                node,
                server,
                seconds: Some(1 + self.random.next_u64() as u32 % 6),
            }),
            11 if is_running => Some(Step::LiftBan { node, server }),
            _ => None,
        };
        self.steps.extend(step);
    }

    /// Adds a wait of at most `limit`, and returns it.
    fn push_wait(&mut self, limit: Duration) -> Duration {
        let wait_ms = MIN_WAIT_MS + self.random.next_u64() % WAIT_RANGE_MS;
        let wait = Duration::from_millis(wait_ms).min(limit);
        self.steps.push(Step::Wait(wait));
        wait
    }

    /// Whether less than a third of the nodes are stopped or paused.
    fn may_remove_node(&self) -> bool {
        self.stopped.len() + self.paused.len() < self.node_count / 3
    }

    fn partition(&mut self) -> Step {
        let random = &mut self.random;
        let from: Vec<usize> = (0..self.node_count)
            .filter(|_| random.next_fraction() < 0.5)
            .collect();
        let to = (0..self.node_count)
            .filter(|node| !from.contains(node))
            .collect();
        Step::Partition {
            from,
            to,
            both_directions: self.random.next_fraction() < 0.5,
        }
    }

    fn datagram_faults(&mut self) -> Step {
        let loss_percent = self.random.next_u64() % LOSS_RANGE_PERCENT;
        Step::SetDatagramFaults {
            loss_ratio: loss_percent as f64 / 100.0,
            duplicate_ratio: DUPLICATE_RATIO,
            corruption_ratio: CORRUPTION_RATIO,
        }
    }

    fn datagram_delay(&mut self) -> Step {
        Step::SetDatagramDelay {
            min: Duration::ZERO,
            max: Duration::from_millis(self.random.next_u64() % DELAY_RANGE_MS),
        }
    }

    fn pause_node(&mut self, node: usize) -> Step {
        self.paused.push(node);
        Step::SetNodePaused { node, paused: true }
    }

    fn resume_node(&mut self) -> Option<Step> {
        let node = self.paused.pop()?;
        Some(Step::SetNodePaused {
            node,
            paused: false,
        })
    }

    fn stop_node(&mut self, node: usize) -> Step {
        self.stopped.push(node);
        if self.random.next_fraction() < 0.7 {
            Step::KillNode(node)
        } else {
            Step::TerminateNode(node)
        }
    }

    fn start_node(&mut self) -> Option<Step> {
        self.stopped.pop().map(Step::StartNode)
    }

    fn remove_faults(&mut self) {
        self.steps.push(Step::Heal);
        self.steps.push(Step::SetDatagramFaults {
            loss_ratio: 0.0,
            duplicate_ratio: 0.0,
            corruption_ratio: 0.0,
        });
        self.steps.push(Step::SetDatagramDelay {
            min: Duration::ZERO,
            max: Duration::ZERO,
        });
        for server in 0..self.server_count {
            self.steps.push(Step::SetServerPaused {
                server,
                paused: false,
            });
        }
        for node in std::mem::take(&mut self.paused) {
            self.steps.push(Step::SetNodePaused {
                node,
                paused: false,
            });
        }
        for node in std::mem::take(&mut self.stopped) {
            self.steps.push(Step::StartNode(node));
        }
    }
}
