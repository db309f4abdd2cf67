//! Runs are those of commit c58caac, to the last bit: every command of every node in the trials, and every datagram between
//! nodes that know each other. The files in `golden/` have a line for each run.

use reelfall_emulator::play;
use reelfall_emulator::together::{rules, World};
use reelfall_emulator::trials::{Trial, ALL};

const COMMANDS: &str = include_str!("golden/commands.blake3");
const DATAGRAMS: &str = include_str!("golden/datagrams.blake3");

#[test]
fn nodes_give_the_commands_that_they_gave() {
    let trials = ALL.into_iter().chain([Trial::Herd, Trial::Join]);
    let digest = |(seed, trial): (u64, Trial)| {
        let report = play(trial.plan(24, seed)).unwrap();
        format!("{} {seed} {}", trial.name(), report.commands.hex())
    };
    let lines: Vec<String> = (1..).zip(trials).map(digest).collect();
    assert_eq!(lines, COMMANDS.lines().collect::<Vec<_>>());
}

#[test]
fn nodes_that_know_each_other_send_the_datagrams_that_they_sent() {
    let digest = |seed: u64| {
        let mut world = World::new(9, seed, |_| rules());
        world.digest = Some(blake3::Hasher::new());
        world.links.loss = 0.05;
        world.run(10.0);
        world.at(2, |fleet, now| fleet.ban(now, "sick", "ada", Some(20.0)));
        world.kill(5);
        world.run(6.0);
        world.freeze(3, true);
        world.part(&[0, 1], &[6, 7], true);
        world.run(8.0);
        world.freeze(3, false);
        world.heal();
        world.start(5);
        world.at(4, |fleet, now| fleet.lift(now, "sick", "obi"));
        world.run(10.0);
        format!("{seed} {}", world.digest.unwrap().finalize().to_hex())
    };
    let lines: Vec<String> = (1..=8).map(digest).collect();
    assert_eq!(lines, DATAGRAMS.lines().collect::<Vec<_>>());
}
