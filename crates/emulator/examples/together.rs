//! How fast news goes round a fleet, what it costs, and who is wrongly taken for gone, in virtual time.
//! `cargo run --release -p reelfall-emulator --example together -- [seeds] [nodes...]`, or `members` for how soon ends are
//! seen and what nodes that stand still do to the others.

use reelfall_cluster::fleet::Config;
use reelfall_cluster::members::MembershipConfig;
use reelfall_emulator::together::{rules, World};

struct Seen {
    /// When each node had the news, in seconds, in order.
    spread: Vec<f64>,
    quiet: (f64, f64),
    busy: (f64, f64),
    wrongly: f64,
    broken: usize,
}

fn play(nodes: usize, loss: f64, seed: u64) -> Seen {
    let size = nodes as u32;
    let of = move |_| Config {
        membership: MembershipConfig {
            size,
            ..MembershipConfig::default()
        },
        ..rules()
    };
    let mut world = World::new(nodes, seed, of);
    world.until(120.0, |w| w.gathered() || w.t > 60.0);
    world.links.loss = loss;
    // The news of who is there have gone round.
    world.run(10.0);
    // Nothing to tell.
    let (sent, bytes, gone) = (world.sent, world.bytes, world.wrongly_gone);
    world.run(20.0);
    let each = 20.0 * nodes as f64;
    let quiet = (
        (world.sent - sent) as f64 / each,
        (world.bytes - bytes) as f64 / each,
    );
    let wrongly = (world.wrongly_gone - gone) as f64 / nodes as f64 / 20.0 * 60.0;
    // One ban a second, each timed at all nodes.
    let (sent, bytes) = (world.sent, world.bytes);
    let mut spread = Vec::new();
    for n in 0..5usize {
        let at = world.t;
        let server = format!("server-{n}");
        world.at(n * 7 % nodes, |f, now| f.ban(now, &server, "ada", None));
        let mut has = vec![false; nodes];
        for _ in 0..100 {
            world.run(0.01);
            for (m, has) in has.iter_mut().enumerate().filter(|(_, has)| !**has) {
                if world.out(m).contains(&server) {
                    *has = true;
                    spread.push(world.t - at);
                }
            }
        }
        // Who has not heard within the second counts as a whole one.
        spread.extend(has.iter().filter(|has| !**has).map(|_| 1.0));
    }
    let each = 5.0 * nodes as f64;
    let busy = (
        (world.sent - sent) as f64 / each,
        (world.bytes - bytes) as f64 / each,
    );
    spread.sort_by(f64::total_cmp);
    Seen {
        spread,
        quiet,
        busy,
        wrongly,
        broken: world.broken.len(),
    }
}

/// Hundreds join at once, and more than half of them end at once: how long it takes until all that are there know.
fn storm(nodes: usize, killed: usize, seed: u64) {
    let size = nodes as u32;
    let of = move |_| Config {
        membership: MembershipConfig {
            size,
            ..MembershipConfig::default()
        },
        ..rules()
    };
    let mut world = World::new(nodes, seed, of);
    let share = |w: &World| {
        let there: Vec<usize> = (0..nodes).filter(|n| w.nodes[*n].is_some()).collect();
        let known: usize = there
            .iter()
            .map(|n| w.members(*n).min(there.len() - 1))
            .sum();
        known as f64 / (there.len() * (there.len() - 1)) as f64
    };
    let (mut nearly, mut at) = (None, 0.0);
    while !world.gathered() && world.t < 120.0 {
        world.run(0.1);
        at = world.t;
        if share(&world) > 0.99 {
            nearly.get_or_insert(at);
        }
    }
    println!(
        "{nodes} join at once: 99 % of all pairs know each other after {:.1} s, all after {at:.1} s; {:.1} datagrams a node a second",
        nearly.unwrap_or(f64::NAN),
        world.sent as f64 / nodes as f64 / at
    );
    world.run(5.0);
    (0..killed).for_each(|n| world.kill(nodes - 1 - n));
    let (begun, wrongly) = (world.t, world.wrongly_gone);
    while !world.gathered() && world.t - begun < 300.0 {
        world.run(0.5);
    }
    let (took, wrongly) = (world.t - begun, world.wrongly_gone - wrongly);
    println!("{killed} end at once: all that are left know after {took:.1} s; {wrongly} times one was wrongly taken for gone");
}

/// How long after its end a node is first taken for gone, by the first and by the last of the others; the mean over some ends.
fn detection(nodes: usize, ends: usize, seed: u64) -> (f64, f64) {
    let size = nodes as u32;
    let mut world = World::new(nodes, seed, move |_| Config {
        membership: MembershipConfig {
            size,
            ..MembershipConfig::default()
        },
        ..rules()
    });
    world.until(120.0, World::gathered);
    let (mut first, mut last) = (0.0, 0.0);
    for n in 0..ends {
        world.run(3.0 + 0.37 * n as f64);
        // The seeds stay, so that those that begin again are let in.
        let dead = 3 + n % (nodes - 3);
        world.kill(dead);
        let begun = world.t;
        let knows = |w: &World, n: usize| w.nodes[n].is_none() || w.members(n) == nodes - 2;
        first += world.until(60.0, |w| {
            (0..nodes).any(|n| w.nodes[n].is_some() && knows(w, n))
        });
        world.until(60.0, |w| (0..nodes).all(|n| knows(w, n)));
        last += world.t - begun;
        world.start(dead);
        world.until(60.0, World::gathered);
    }
    (first / ends as f64, last / ends as f64)
}

/// Trouble that some nodes have again and again.
#[derive(Clone, Copy)]
enum Trouble {
    /// They stand still for so long and run for so long, in seconds.
    Still(f64, f64),
    /// This share of what is sent to them is lost.
    Deaf(f64),
}

/// How often a minute a node without trouble is taken for gone, by one without and by one with trouble.
fn troubled(nodes: usize, some: usize, trouble: Trouble, doubt: u32, seed: u64) -> (f64, f64) {
    let size = nodes as u32;
    let of = move |_| Config {
        membership: MembershipConfig {
            size,
            max_health_score: doubt,
            ..MembershipConfig::default()
        },
        ..rules()
    };
    let mut world = World::new(nodes, seed, of);
    world.until(120.0, World::gathered);
    world.run(2.0);
    let all: Vec<usize> = (nodes - some..nodes).collect();
    world.sound = Some(nodes - some);
    let begun = world.t;
    while world.t - begun < 120.0 {
        match trouble {
            Trouble::Still(still, runs) => {
                all.iter().for_each(|n| world.freeze(*n, true));
                world.run(still);
                all.iter().for_each(|n| world.freeze(*n, false));
                world.run(runs);
            }
            Trouble::Deaf(lost) => {
                world.deaf = all.iter().map(|n| (*n, lost)).collect();
                world.run(10.0);
            }
        }
    }
    let minutes = (world.t - begun) / 60.0;
    (
        world.sound_gone.0 as f64 / minutes,
        world.sound_gone.1 as f64 / minutes,
    )
}

fn troubles(nodes: usize) {
    println!(
        "{nodes} nodes, some in trouble: others taken for gone, a minute, by others and by those in trouble"
    );
    println!("in trouble | without doubt of oneself | with it");
    let still =
        [(3.0, 0.1), (6.0, 1.0), (12.0, 0.3)].map(|(still, runs)| Trouble::Still(still, runs));
    let deaf = [0.5, 0.8, 0.9].map(Trouble::Deaf);
    for trouble in still.into_iter().chain(deaf) {
        for some in [4, 32] {
            let (without, with) = (
                troubled(nodes, some, trouble, 0, 1),
                troubled(nodes, some, trouble, 8, 1),
            );
            let what = match trouble {
                Trouble::Still(still, runs) => {
                    format!("{some} stand still {still} s, run {runs} s")
                }
                Trouble::Deaf(lost) => format!("{some} do not hear {:.0} %", lost * 100.0),
            };
            println!(
                "{what:>34} | {:>8.1} {:>8.1} | {:>8.1} {:>8.1}",
                without.0, without.1, with.0, with.1
            );
        }
    }
}

fn main() -> Result<(), String> {
    if std::env::args().nth(1).as_deref() == Some("members") {
        for nodes in [30, 128, 300] {
            let (first, last) = detection(nodes, 20, 1);
            println!("{nodes} nodes: one that ends is taken for gone after {first:.2} s by the first, {last:.2} s by the last (means of 20)");
        }
        troubles(128);
        return Ok(());
    }
    let mut args = std::env::args()
        .skip(1)
        .map(|a| a.parse::<usize>().map_err(|e| format!("{a}: {e}")));
    let seeds = args.next().transpose()?.unwrap_or(2);
    let mut sizes: Vec<usize> = args.collect::<Result<_, _>>()?;
    if sizes.is_empty() {
        sizes = vec![30, 300, 1000];
    }
    println!("nodes loss seed  p50 s  p99 s  last s | quiet/s bytes/s | busy/s bytes/s | wrongly gone/node/min broken");
    for nodes in sizes {
        for loss in [0.0, 0.01, 0.05, 0.2] {
            for seed in 0..seeds as u64 {
                let seen = play(nodes, loss, seed + 1);
                let at = |q: f64| seen.spread[((seen.spread.len() - 1) as f64 * q) as usize];
                println!(
                    "{nodes:>5} {loss:>4.2} {seed:>4}  {:>5.2}  {:>5.2}  {:>6.2} | {:>7.2} {:>7.0} | {:>6.2} {:>7.0} | {:>21.4} {:>6}",
                    at(0.5), at(0.99), at(1.0), seen.quiet.0, seen.quiet.1, seen.busy.0, seen.busy.1, seen.wrongly, seen.broken
                );
            }
        }
    }
    storm(500, 300, 1);
    Ok(())
}
