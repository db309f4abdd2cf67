//! Golden tests: every command of every node in the trials, and every datagram between cluster members, are identical to
//! those of commit c58caac. The files in `golden/` have the digest of one run on each line.

use reelfall_emulator::cluster::{default_config, Cluster};
use reelfall_emulator::run_plan;
use reelfall_emulator::trials::Trial;

const COMMANDS: &str = include_str!("golden/commands.blake3");
const DATAGRAMS: &str = include_str!("golden/datagrams.blake3");

#[test]
fn commands_of_trials_match_the_golden_digests() {
    let trials = Trial::ALL
        .into_iter()
        .chain([Trial::MassKill, Trial::ServerReplacement]);
    let digest = |(seed, trial): (u64, Trial)| {
        let report = run_plan(trial.plan(24, seed)).unwrap();
        format!("{} {seed} {}", trial.name(), report.commands.hex())
    };
    let lines: Vec<String> = (1..).zip(trials).map(digest).collect();
    assert_eq!(lines, COMMANDS.lines().collect::<Vec<_>>());
}

#[test]
fn datagrams_of_clusters_match_the_golden_digests() {
    let digest = |seed: u64| {
        let mut cluster = Cluster::new(9, seed, |_| default_config());
        cluster.digest = Some(blake3::Hasher::new());
        cluster.links.loss = 0.05;
        cluster.run(10.0);
        cluster.with_node(2, |fleet, now| fleet.ban(now, "sick", "ada", Some(20.0)));
        cluster.kill(5);
        cluster.run(6.0);
        cluster.freeze(3);
        cluster.partition(&[0, 1], &[6, 7]);
        cluster.run(8.0);
        cluster.thaw(3);
        cluster.heal();
        cluster.start(5);
        cluster.with_node(4, |fleet, now| fleet.lift(now, "sick", "obi"));
        cluster.run(10.0);
        format!("{seed} {}", cluster.digest.unwrap().finalize().to_hex())
    };
    let lines: Vec<String> = (1..=8).map(digest).collect();
    assert_eq!(lines, DATAGRAMS.lines().collect::<Vec<_>>());
}
