//! The control side of a fleet over a network with faults.

use reelfall_emulator::control::baseline::{Contents, InForce, WholeCopies, DAY};
use reelfall_emulator::control::links::Links;
use reelfall_emulator::control::membership::{Acquainted, Member, Peers, Roster};
use reelfall_emulator::control::network::Network;
use reelfall_emulator::control::topology::{Scope, Topology, TARGET_ZONES};
use reelfall_emulator::control::whole_copies::{Copier, Receiver, Source};
use std::rc::Rc;

/// Nodes that all begin within a second.
fn fleet(nodes: u32, seed: u64) -> Network<Member> {
    let topology = Topology::even(&TARGET_ZONES, nodes as usize);
    let mut network = Network::new(topology, Links::default(), seed);
    let roster = Roster::new(nodes, seed);
    for endpoint in 0..nodes {
        let begins = f64::from(endpoint) / f64::from(nodes);
        network.start(endpoint, Member::new(endpoint, Rc::clone(&roster), begins));
    }
    network
}

fn all_have(network: &Network<Member>, peers: usize) -> bool {
    network
        .endpoints()
        .all(|(_, member)| member.peers() == peers)
}

fn downs(network: &Network<Member>) -> u64 {
    network.endpoints().map(|(_, member)| member.downs()).sum()
}

fn banned_everywhere(network: &Network<Member>, server: &str) -> bool {
    network
        .endpoints()
        .all(|(_, member)| member.heard_of_ban(server).is_some())
}

#[test]
fn introduced_nodes_know_all_others_at_once_and_take_nobody_for_gone() {
    let mut network = fleet(60, 1);
    network.run(1.0);
    assert!(all_have(&network, 59));
    network.reset_accounts();
    network.run(30.0);
    assert!(all_have(&network, 59));
    assert_eq!(downs(&network), 0);
    // Each draws for itself: no node is the target of many at once.
    let usage = network.usage(0..60);
    let mean = 10.0 * (usage.bytes_in + usage.bytes_out);
    assert!((usage.long_most as f64) < 3.0 * mean, "{usage:?}");
}

#[test]
fn a_ban_reaches_every_node_of_four_regions_within_two_seconds() {
    let mut network = fleet(60, 2);
    network.run(10.0);
    network.with(17, |member, now, sends| member.ban(now, "server-1", sends));
    let took = network.run_until(10.0, 0.1, |network| banned_everywhere(network, "server-1"));
    assert!(took.is_some_and(|took| took < 2.0), "{took:?}");
}

#[test]
fn a_fleet_is_played_the_same_for_the_same_seed() {
    let play = |seed| {
        let mut network = fleet(30, seed);
        network.run(5.0);
        network.with(3, |member, now, sends| member.ban(now, "server-1", sends));
        network.run(5.0);
        let heard = (0..30).map(|n| {
            network
                .endpoint(n)
                .and_then(|member| member.heard_of_ban("server-1"))
        });
        (heard.collect::<Vec<_>>(), network.usage(0..30).bytes_out)
    };
    assert_eq!(play(5), play(5));
    assert_ne!(play(5), play(6));
}

#[test]
fn a_zone_that_ends_is_seen_by_all_others_and_comes_back() {
    let mut network = fleet(52, 3);
    network.run(3.0);
    let zone = network.topology().endpoints(Scope::Zone(4));
    assert_eq!(zone.len(), 4);
    zone.iter()
        .for_each(|endpoint| drop(network.kill(*endpoint)));
    let seen = network.run_until(60.0, 0.5, |network| all_have(network, 47));
    assert!(
        seen.is_some(),
        "the others take them for gone within a minute"
    );
    let roster = Roster::new(52, 3);
    let now = network.now();
    for endpoint in zone {
        let tag = 1_000 + u64::from(endpoint);
        network.start(
            endpoint,
            Member::successor(endpoint, Rc::clone(&roster), now, tag),
        );
    }
    let back = network.run_until(120.0, 0.5, |network| all_have(network, 51));
    assert!(back.is_some(), "all know all again within two minutes");
}

#[test]
fn a_region_cut_off_hears_of_bans_once_it_is_back() {
    let mut network = fleet(52, 4);
    network.run(3.0);
    network.partition_both(Scope::Region(1), Scope::All);
    network.run(20.0);
    network.with(0, |member, now, sends| member.ban(now, "server-1", sends));
    network.run(10.0);
    assert!(!banned_everywhere(&network, "server-1"));
    network.heal();
    let heard = network.run_until(60.0, 0.5, |network| banned_everywhere(network, "server-1"));
    assert!(heard.is_some(), "all hear of it within a minute");
}

#[test]
fn replayed_datagrams_are_refused_for_as_many_peers_as_a_node_remembers() {
    let mut node = Acquainted::new(Peers::new(300, 1));
    assert_eq!((node.peers(), node.taken), (300, 300));
    assert_eq!(node.replay(), 0);
    node.run_alone(0.5);
    node.ban("server-1");
    node.run_alone(0.5);
    assert_eq!((node.peers(), node.replay()), (300, 0));
}

#[test]
fn whole_copies_need_more_than_the_budget_at_the_target_and_less_for_a_small_system() {
    let changes = 13_000.0 / DAY;
    let target = WholeCopies {
        contents: Contents::TARGET,
        changes,
        lists_every: 60.0,
        budget: 8_192.0,
    };
    assert!(target.demand() > 100.0 * target.budget);
    assert_eq!(target.in_force(), InForce::Never);
    let contents = Contents {
        servers: 50,
        services: 3,
        routes: 20,
        tenants: 10,
    };
    let small = WholeCopies {
        contents,
        changes: 10.0 / DAY,
        ..target
    };
    let InForce::Within { least, most } = small.in_force() else {
        panic!("it fits")
    };
    assert!(
        least > 0.0 && most == 2.0 * least && most < 15.0,
        "{least} {most}"
    );
    let no_lists = WholeCopies {
        lists_every: f64::INFINITY,
        ..target
    };
    let InForce::Within { least, .. } = no_lists.in_force_coalesced() else {
        panic!("it passes in time")
    };
    assert_eq!(least, Contents::TARGET.settings_bytes() / 8_192.0);
}

/// One source and three nodes, which take in so many bytes a second each.
fn copiers(file_bytes: usize, budget: f64) -> Network<Copier> {
    let links = Links {
        overhead: 0,
        ..Links::default().with_loss(0.0)
    };
    let mut network = Network::new(Topology::even(&TARGET_ZONES, 4), links, 1);
    network.start(0, Copier::Source(Source::new(1..4, file_bytes, budget)));
    (1..4).for_each(|node| network.start(node, Copier::Receiver(Receiver::default())));
    network
}

fn change(network: &mut Network<Copier>) {
    network.with(0, |copier, now, _| match copier {
        Copier::Source(source) => source.change(now),
        Copier::Receiver(_) => panic!("the first endpoint is the source"),
    });
}

fn in_force(network: &Network<Copier>, node: u32) -> Vec<(u64, f64)> {
    match network.endpoint(node) {
        Some(Copier::Receiver(receiver)) => receiver.in_force.clone(),
        _ => panic!("endpoint {node} is a receiver"),
    }
}

#[test]
fn whole_copies_take_as_long_as_the_formula_says() {
    let contents = Contents {
        servers: 100,
        services: 5,
        routes: 100,
        tenants: 200,
    };
    let budget = 8_000.0;
    let copies = WholeCopies {
        contents,
        changes: 0.0,
        lists_every: f64::INFINITY,
        budget,
    };
    let InForce::Within { least, most } = copies.in_force() else {
        panic!("it passes in time")
    };
    let mut network = copiers(contents.settings_bytes() as usize, budget);
    change(&mut network);
    network.run(0.3);
    // While the first file is under way: it has to end, then the second and the third come as one file.
    change(&mut network);
    change(&mut network);
    network.run(60.0);
    for node in 1..4 {
        let times = in_force(&network, node);
        assert_eq!(
            times
                .iter()
                .map(|(version, _)| *version)
                .collect::<Vec<_>>(),
            [1, 3]
        );
        assert!((times[0].1 - least).abs() < 0.2, "{times:?}, {least}");
        assert!((times[1].1 - 0.3 - most).abs() < 0.5, "{times:?}, {most}");
        let bytes = network.usage([node]).bytes_in * network.now();
        assert!(
            (bytes - 2.0 * copies.bytes_of_one_change()).abs() < 10.0,
            "{bytes}"
        );
        assert!(network.usage([node]).long_most as f64 <= 10.2 * budget);
    }
}
