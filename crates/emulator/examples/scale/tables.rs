//! Measures a node's tables of peers: their memory, and whether replayed datagrams are accepted beyond the size limits of the
//! tables.

use super::error::ScaleError;
use super::report::{resident_memory, thread_cpu};
use super::Output;
use clap::Args;
use reelfall_emulator::control::account::Usage;
use reelfall_emulator::control::membership::{IsolatedMember, PeerDatagrams, MAX_REMEMBERED};
use reelfall_emulator::control::report::{PerNode, Run, Size, Source};
use std::rc::Rc;

/// Number of nodes over which memory is averaged.
const SAMPLES: usize = 8;
/// Duration of the measurement at rest, in seconds; too short for a node to suspect its peers.
const REST_SECONDS: f64 = 0.9;
/// Duration of the measurement while a node disseminates a ban, in seconds.
const BAN_SECONDS: f64 = 0.5;

#[derive(Args)]
pub struct Arguments {
    #[command(flatten)]
    output: Output,
    /// Numbers of peers, in ascending order since memory is measured as the growth of the process.
    #[arg(long, value_delimiter = ',', default_values_t = [1_000, 1_500, 3_000, 4_096, 6_000])]
    peers: Vec<u32>,
}

pub fn measure_all(arguments: &Arguments) -> Result<(), ScaleError> {
    println!("a node remembers clocks and incarnations of {MAX_REMEMBERED} peers");
    let mut retained = Vec::new();
    let mut runs = Vec::new();
    for peers in &arguments.peers {
        let datagrams = PeerDatagrams::new(*peers, arguments.output.seed);
        let before = resident_memory();
        let first = retained.len();
        retained.extend((0..SAMPLES).map(|_| IsolatedMember::new(Rc::clone(&datagrams))));
        let memory = (resident_memory() - before) / SAMPLES as f64;
        let Some(node) = retained.get_mut(first) else {
            continue;
        };
        let at_rest = cpu_of(node, REST_SECONDS);
        node.ban("server-1");
        let with_a_ban = cpu_of(node, BAN_SECONDS);
        let (accepted, replayed) = (node.accepted_datagrams, node.replay());
        println!(
            "{peers:>5} peers: {:.2} MB per node; timers take {:.3} % of a core at rest, {:.3} % while a ban is disseminated; {accepted} datagrams accepted, {replayed} of them again when replayed",
            memory / 1e6,
            at_rest * 100.0,
            with_a_ban * 100.0,
        );
        let size = Size {
            nodes: *peers as usize + 1,
            ..Size::default()
        };
        let run = Run {
            name: "membership tables".to_owned(),
            source: Source::Computation,
            size,
            seconds: REST_SECONDS,
            per_node: PerNode::of(
                "gossip",
                &Usage {
                    cpu: at_rest,
                    ..Usage::default()
                },
                Some(memory),
            ),
            in_force: None,
            requests: None,
            read_bytes: None,
            played: None,
        };
        runs.push(run);
    }
    arguments.output.write(runs)
}

/// Processor time of a node's timers, in seconds per second.
fn cpu_of(node: &mut IsolatedMember, seconds: f64) -> f64 {
    let started_at = thread_cpu();
    node.run_alone(seconds);
    (thread_cpu() - started_at) / seconds
}
