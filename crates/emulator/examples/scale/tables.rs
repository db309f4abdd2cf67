//! One node's tables of its peers: how much memory they take, and what happens past their bounds.

use super::report::{resident, thread_cpu};
use super::Output;
use clap::Args;
use reelfall_emulator::control::account::Usage;
use reelfall_emulator::control::membership::{Acquainted, Peers, MAX_REMEMBERED};
use reelfall_emulator::control::report::{PerNode, Run, Size, Source};
use std::rc::Rc;

/// Nodes over which memory is averaged.
const SAMPLES: usize = 8;

#[derive(Args)]
pub struct Arguments {
    #[command(flatten)]
    output: Output,
    /// Numbers of peers, from the least to the greatest: memory is told by what the process grows.
    #[arg(long, value_delimiter = ',', default_values_t = [1_000, 1_500, 3_000, 4_096, 6_000])]
    peers: Vec<u32>,
}

pub fn play(arguments: &Arguments) -> Result<(), String> {
    println!("clocks and lives of {MAX_REMEMBERED} peers are remembered");
    let mut kept = Vec::new();
    let mut runs = Vec::new();
    for peers in &arguments.peers {
        let known = Peers::new(*peers, arguments.output.seed);
        let before = resident();
        let begun = kept.len();
        kept.extend((0..SAMPLES).map(|_| Acquainted::new(Rc::clone(&known))));
        let memory = (resident() - before) / SAMPLES as f64;
        let Some(node) = kept.get_mut(begun) else {
            continue;
        };
        let at_rest = cpu_of(node, 0.9);
        node.ban("server-1");
        let with_a_ban = cpu_of(node, 0.5);
        let (taken, again) = (node.taken, node.replay());
        println!(
            "{peers:>5} peers: {:.2} MB a node; its own timers take {:.3} % of a core at rest, {:.3} % while a ban is told; {taken} datagrams taken in, {again} of them again when replayed",
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
            seconds: 0.9,
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

/// Processor time that a node's own timers take, in seconds a second.
fn cpu_of(node: &mut Acquainted, seconds: f64) -> f64 {
    let begun = thread_cpu();
    node.run_alone(seconds);
    (thread_cpu() - begun) / seconds
}
