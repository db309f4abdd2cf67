//! A fleet of nodes that know each other: what it costs at rest, and how fast a ban goes round.

use super::report::{print, resident, thread_cpu};
use super::Output;
use clap::Args;
use reelfall_emulator::control::links::Links;
use reelfall_emulator::control::membership::{Member, Roster};
use reelfall_emulator::control::network::Network;
use reelfall_emulator::control::report::{PerNode, Run, Size, Source};
use reelfall_emulator::control::times::Times;
use reelfall_emulator::control::topology::{Scope, Topology, TARGET_ZONES};
use std::rc::Rc;

/// What a node that never heard of a ban is counted with, and how long a ban is waited for, in seconds.
const BAN_WAIT: f64 = 5.0;
/// How long the end of a zone is waited for, in seconds.
const ZONE_WAIT: f64 = 120.0;

#[derive(Args)]
pub struct Arguments {
    #[command(flatten)]
    output: Output,
    /// Nodes of the fleet.
    #[arg(long)]
    nodes: u32,
    /// How long the fleet is left alone, in seconds.
    #[arg(long, default_value_t = 20.0)]
    quiet: f64,
    /// Servers that are banned, one after the other.
    #[arg(long, default_value_t = 5)]
    bans: u32,
    /// Ends the nodes of a zone at last.
    #[arg(long)]
    zone: bool,
    /// Share of datagrams that are lost on all links, in place of the links' own.
    #[arg(long)]
    loss: Option<f64>,
}

pub fn play(arguments: &Arguments) -> Result<(), String> {
    let (mut network, memory) = fleet(arguments)?;
    network.run(10.0);
    let mut runs = vec![
        quiet(&mut network, arguments, memory),
        bans(&mut network, arguments, memory),
    ];
    if arguments.zone {
        runs.extend(zone_lost(&mut network, arguments, memory));
    }
    println!("not delivered: {:?}", network.undelivered());
    arguments.output.write(runs)
}

/// A fleet of which all know all, and the memory of one node.
fn fleet(arguments: &Arguments) -> Result<(Network<Member>, f64), String> {
    let (nodes, seed) = (arguments.nodes, arguments.output.seed);
    let topology = Topology::even(&TARGET_ZONES, nodes as usize);
    let links = arguments
        .loss
        .map_or_else(Links::default, |loss| Links::default().with_loss(loss));
    let mut network = Network::new(topology, links, seed);
    network.measure_cpu(thread_cpu);
    let roster = Roster::new(nodes, seed);
    let before = resident();
    for endpoint in 0..nodes {
        let begins = f64::from(endpoint) / f64::from(nodes);
        network.start(endpoint, Member::new(endpoint, Rc::clone(&roster), begins));
    }
    network.run(1.5);
    let strangers = network
        .endpoints()
        .filter(|(_, member)| member.peers() + 1 != nodes as usize)
        .count();
    if strangers > 0 {
        return Err(format!("{strangers} nodes don't know all others"));
    }
    Ok((network, (resident() - before) / f64::from(nodes)))
}

fn downs(network: &Network<Member>) -> u64 {
    network.endpoints().map(|(_, member)| member.downs()).sum()
}

fn unproven(network: &Network<Member>) -> u64 {
    network
        .endpoints()
        .map(|(_, member)| member.unproven())
        .sum()
}

fn quiet(network: &mut Network<Member>, arguments: &Arguments, memory: f64) -> Run {
    let before = downs(network);
    network.reset_accounts();
    network.run(arguments.quiet);
    println!(
        "at rest for {} s: {} times one was wrongly taken for gone",
        arguments.quiet,
        downs(network) - before
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

fn bans(network: &mut Network<Member>, arguments: &Arguments, memory: f64) -> Run {
    let before = unproven(network);
    let begun = network.now();
    network.reset_accounts();
    let mut times = Vec::new();
    let mut missed = 0;
    for number in 0..arguments.bans {
        let server = format!("server-{number}");
        let at = network.now();
        network.with(number * 7 % arguments.nodes, |member, now, sends| {
            member.ban(now, &server, sends)
        });
        network.run(BAN_WAIT);
        let heard = network
            .endpoints()
            .map(|(_, member)| member.heard_of_ban(&server).map(|heard| heard - at));
        let heard: Vec<Option<f64>> = heard.collect();
        missed += heard.iter().filter(|heard| heard.is_none()).count();
        times.extend(heard.into_iter().map(|heard| heard.unwrap_or(BAN_WAIT)));
    }
    println!(
        "{} bans: {missed} times a node had not heard of one after {BAN_WAIT} s; {} verdicts left without proof of age",
        arguments.bans,
        unproven(network) - before,
    );
    let seconds = network.now() - begun;
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
    let zone = network.topology().endpoints(Scope::Zone(5));
    zone.iter()
        .for_each(|endpoint| drop(network.kill(*endpoint)));
    let left = network.endpoints().count();
    network.reset_accounts();
    let seen = |network: &Network<Member>| {
        network
            .endpoints()
            .all(|(_, member)| member.peers() + 1 == left)
    };
    let took = network.run_until(ZONE_WAIT, 1.0, seen);
    println!(
        "a zone of {} nodes ends: all others know after {took:?} s",
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
    print(&run, usage.long_most);
    run
}
