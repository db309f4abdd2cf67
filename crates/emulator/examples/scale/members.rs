//! Measures membership of a fleet whose nodes initially know each other: the cost at rest, the dissemination of bans, and the
//! detection of the loss of a zone.

use super::error::ScaleError;
use super::report::{print, resident_memory, thread_cpu};
use super::Output;
use clap::Args;
use reelfall_emulator::control::links::Links;
use reelfall_emulator::control::membership::{Member, Roster};
use reelfall_emulator::control::network::Network;
use reelfall_emulator::control::report::{PerNode, Run, Size, Source};
use reelfall_emulator::control::times::Times;
use reelfall_emulator::control::topology::{Scope, Topology, TARGET_ZONES};
use std::rc::Rc;

/// How long each ban may take to be received, in seconds; also the time recorded for nodes that have not received it.
const BAN_TIMEOUT: f64 = 5.0;
/// How long to wait for all nodes to detect the loss of a zone, in seconds.
const DETECTION_TIMEOUT: f64 = 120.0;
/// Time within which all nodes have started and know each other, in seconds.
const START_SECONDS: f64 = 1.5;
/// How long the fleet settles before it is measured, in seconds.
const SETTLE_SECONDS: f64 = 10.0;
/// Index of the zone that is lost.
const LOST_ZONE: u16 = 5;

#[derive(Args)]
pub struct Arguments {
    #[command(flatten)]
    output: Output,
    /// Number of nodes.
    #[arg(long)]
    nodes: u32,
    /// Duration of the measurement at rest, in seconds.
    #[arg(long, default_value_t = 20.0)]
    quiet: f64,
    /// Number of servers that are banned, one after the other.
    #[arg(long, default_value_t = 5)]
    bans: u32,
    /// Kill the nodes of a zone at the end.
    #[arg(long)]
    zone: bool,
    /// Loss rate of all links, instead of the default ones.
    #[arg(long)]
    loss: Option<f64>,
}

pub fn run_all(arguments: &Arguments) -> Result<(), ScaleError> {
    let StartedFleet {
        mut network,
        memory,
    } = start_fleet(arguments)?;
    network.run(SETTLE_SECONDS);
    let mut runs = vec![
        measure_at_rest(&mut network, arguments, memory),
        measure_bans(&mut network, arguments, memory),
    ];
    if arguments.zone {
        runs.extend(zone_lost(&mut network, arguments, memory));
    }
    println!("undelivered datagrams: {:?}", network.undelivered());
    arguments.output.write(runs)
}

/// A running fleet whose nodes know each other.
struct StartedFleet {
    network: Network<Member>,
    /// Memory of one node, in bytes.
    memory: f64,
}

fn start_fleet(arguments: &Arguments) -> Result<StartedFleet, ScaleError> {
    let (nodes, seed) = (arguments.nodes, arguments.output.seed);
    let topology = Topology::even(&TARGET_ZONES, nodes as usize);
    let links = arguments
        .loss
        .map_or_else(Links::default, |loss| Links::default().with_loss(loss));
    let mut network = Network::new(topology, links, seed);
    network.measure_cpu(thread_cpu);
    let roster = Roster::new(nodes, seed);
    let before = resident_memory();
    for endpoint in 0..nodes {
        let starts_at = f64::from(endpoint) / f64::from(nodes);
        let member = Member::new(endpoint, Rc::clone(&roster), starts_at);
        network.start(endpoint, member);
    }
    network.run(START_SECONDS);
    let incomplete = network
        .endpoints()
        .filter(|(_, member)| member.peer_count() + 1 != nodes as usize)
        .count();
    if incomplete > 0 {
        return Err(ScaleError::IncompleteMembership(incomplete));
    }
    let memory = (resident_memory() - before) / f64::from(nodes);
    Ok(StartedFleet { network, memory })
}

fn declared_dead(network: &Network<Member>) -> u64 {
    network
        .endpoints()
        .map(|(_, member)| member.declared_dead())
        .sum()
}

fn unproven_verdicts(network: &Network<Member>) -> u64 {
    network
        .endpoints()
        .map(|(_, member)| member.unproven_verdicts())
        .sum()
}

fn measure_at_rest(network: &mut Network<Member>, arguments: &Arguments, memory: f64) -> Run {
    let before = declared_dead(network);
    network.reset_accounts();
    network.run(arguments.quiet);
    println!(
        "at rest for {} s: {} running nodes falsely declared dead",
        arguments.quiet,
        declared_dead(network) - before
    );
    run(
        "membership at rest",
        network,
        arguments,
        arguments.quiet,
        memory,
        None,
    )
}

fn measure_bans(network: &mut Network<Member>, arguments: &Arguments, memory: f64) -> Run {
    let before = unproven_verdicts(network);
    let started_at = network.now();
    network.reset_accounts();
    let mut times = Vec::new();
    let mut missed = 0;
    for number in 0..arguments.bans {
        let server = format!("server-{number}");
        let at = network.now();
        network.with(number * 7 % arguments.nodes, |member, now, outgoing| {
            member.ban(now, &server, outgoing);
        });
        network.run(BAN_TIMEOUT);
        let delays = network.endpoints().map(|(_, member)| {
            member
                .ban_received_at(&server)
                .map(|received| received - at)
        });
        let delays: Vec<Option<f64>> = delays.collect();
        missed += delays.iter().filter(|delay| delay.is_none()).count();
        times.extend(delays.into_iter().map(|delay| delay.unwrap_or(BAN_TIMEOUT)));
    }
    println!(
        "{} bans: {missed} not received by a node within {BAN_TIMEOUT} s; {} verdicts ignored without proof of age",
        arguments.bans,
        unproven_verdicts(network) - before,
    );
    let seconds = network.now() - started_at;
    run(
        "membership with bans",
        network,
        arguments,
        seconds,
        memory,
        Times::of(times),
    )
}

fn zone_lost(network: &mut Network<Member>, arguments: &Arguments, memory: f64) -> Option<Run> {
    let zone = network.topology().endpoints(Scope::Zone(LOST_ZONE));
    zone.iter()
        .for_each(|endpoint| drop(network.kill(*endpoint)));
    let remaining = network.endpoints().count();
    network.reset_accounts();
    let all_know = |network: &Network<Member>| {
        network
            .endpoints()
            .all(|(_, member)| member.peer_count() + 1 == remaining)
    };
    let took = network.run_until(DETECTION_TIMEOUT, 1.0, all_know);
    println!(
        "a zone of {} nodes is lost: all others have detected it after {took:?} s",
        zone.len()
    );
    let last = took?;
    let times = Times {
        p50: last,
        p99: last,
        last,
    };
    Some(run(
        "membership with a zone lost",
        network,
        arguments,
        last,
        memory,
        Some(times),
    ))
}

fn run(
    name: &str,
    network: &Network<Member>,
    arguments: &Arguments,
    seconds: f64,
    memory: f64,
    in_force: Option<Times>,
) -> Run {
    let running: Vec<u32> = network.endpoints().map(|(endpoint, _)| endpoint).collect();
    let usage = network.usage(running);
    let run = Run {
        name: name.to_owned(),
        source: Source::VirtualTime,
        size: Size {
            nodes: arguments.nodes as usize,
            ..Size::default()
        },
        seconds,
        per_node: PerNode::of("gossip", &usage, Some(memory)),
        in_force,
        requests: None,
        read_bytes: None,
        played: None,
    };
    print(&run, usage.long_window_max);
    run
}
