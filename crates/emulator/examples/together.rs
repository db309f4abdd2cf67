//! How fast news goes round a fleet, what it costs, and who is wrongly taken for gone, in virtual time.
//! `cargo run --release -p reelfall-emulator --example together -- [seeds] [nodes...]`, or `members` for how soon ends are
//! seen and what nodes that stand still do to the others.

use reelfall_cluster::fleet::Config;
use reelfall_cluster::members::MembershipConfig;
use reelfall_emulator::cluster::{default_config, Cluster};

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
        ..default_config()
    };
    let mut cluster = Cluster::new(nodes, seed, of);
    cluster.run_until(120.0, |w| w.is_converged() || w.now > 60.0);
    cluster.links.loss = loss;
    // The news of who is there have gone round.
    cluster.run(10.0);
    // Nothing to tell.
    let (sent, bytes, gone) = (
        cluster.datagrams_sent,
        cluster.bytes_sent,
        cluster.false_positives,
    );
    cluster.run(20.0);
    let each = 20.0 * nodes as f64;
    let quiet = (
        (cluster.datagrams_sent - sent) as f64 / each,
        (cluster.bytes_sent - bytes) as f64 / each,
    );
    let wrongly = (cluster.false_positives - gone) as f64 / nodes as f64 / 20.0 * 60.0;
    // One ban a second, each timed at all nodes.
    let (sent, bytes) = (cluster.datagrams_sent, cluster.bytes_sent);
    let mut spread = Vec::new();
    for n in 0..5usize {
        let at = cluster.now;
        let server = format!("server-{n}");
        cluster.with_node(n * 7 % nodes, |f, now| f.ban(now, &server, "ada", None));
        let mut has = vec![false; nodes];
        for _ in 0..100 {
            cluster.run(0.01);
            for (m, has) in has.iter_mut().enumerate().filter(|(_, has)| !**has) {
                if cluster.banned_servers(m).contains(&server) {
                    *has = true;
                    spread.push(cluster.now - at);
                }
            }
        }
        // Who has not heard within the second counts as a whole one.
        spread.extend(has.iter().filter(|has| !**has).map(|_| 1.0));
    }
    let each = 5.0 * nodes as f64;
    let busy = (
        (cluster.datagrams_sent - sent) as f64 / each,
        (cluster.bytes_sent - bytes) as f64 / each,
    );
    spread.sort_by(f64::total_cmp);
    Seen {
        spread,
        quiet,
        busy,
        wrongly,
        broken: cluster.violations.len(),
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
        ..default_config()
    };
    let mut cluster = Cluster::new(nodes, seed, of);
    let share = |w: &Cluster| {
        let there: Vec<usize> = (0..nodes).filter(|n| w.processes[*n].is_some()).collect();
        let known: usize = there
            .iter()
            .map(|n| w.member_count(*n).min(there.len() - 1))
            .sum();
        known as f64 / (there.len() * (there.len() - 1)) as f64
    };
    let (mut nearly, mut at) = (None, 0.0);
    while !cluster.is_converged() && cluster.now < 120.0 {
        cluster.run(0.1);
        at = cluster.now;
        if share(&cluster) > 0.99 {
            nearly.get_or_insert(at);
        }
    }
    println!(
        "{nodes} join at once: 99 % of all pairs know each other after {:.1} s, all after {at:.1} s; {:.1} datagrams a node a second",
        nearly.unwrap_or(f64::NAN),
        cluster.datagrams_sent as f64 / nodes as f64 / at
    );
    cluster.run(5.0);
    (0..killed).for_each(|n| cluster.kill(nodes - 1 - n));
    let (begun, wrongly) = (cluster.now, cluster.false_positives);
    while !cluster.is_converged() && cluster.now - begun < 300.0 {
        cluster.run(0.5);
    }
    let (took, wrongly) = (cluster.now - begun, cluster.false_positives - wrongly);
    println!("{killed} end at once: all that are left know after {took:.1} s; {wrongly} times one was wrongly taken for gone");
}

/// How long after its end a node is first taken for gone, by the first and by the last of the others; the mean over some ends.
fn detection(nodes: usize, ends: usize, seed: u64) -> (f64, f64) {
    let size = nodes as u32;
    let mut cluster = Cluster::new(nodes, seed, move |_| Config {
        membership: MembershipConfig {
            size,
            ..MembershipConfig::default()
        },
        ..default_config()
    });
    cluster.run_until(120.0, Cluster::is_converged);
    let (mut first, mut last) = (0.0, 0.0);
    for n in 0..ends {
        cluster.run(3.0 + 0.37 * n as f64);
        // The seeds stay, so that those that begin again are let in.
        let dead = 3 + n % (nodes - 3);
        cluster.kill(dead);
        let begun = cluster.now;
        let knows =
            |w: &Cluster, n: usize| w.processes[n].is_none() || w.member_count(n) == nodes - 2;
        first += cluster.run_until(60.0, |w| {
            (0..nodes).any(|n| w.processes[n].is_some() && knows(w, n))
        });
        cluster.run_until(60.0, |w| (0..nodes).all(|n| knows(w, n)));
        last += cluster.now - begun;
        cluster.start(dead);
        cluster.run_until(60.0, Cluster::is_converged);
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
        ..default_config()
    };
    let mut cluster = Cluster::new(nodes, seed, of);
    cluster.run_until(120.0, Cluster::is_converged);
    cluster.run(2.0);
    let all: Vec<usize> = (nodes - some..nodes).collect();
    cluster.healthy_nodes = Some(nodes - some);
    let begun = cluster.now;
    while cluster.now - begun < 120.0 {
        match trouble {
            Trouble::Still(still, runs) => {
                all.iter().for_each(|n| cluster.freeze(*n));
                cluster.run(still);
                all.iter().for_each(|n| cluster.thaw(*n));
                cluster.run(runs);
            }
            Trouble::Deaf(lost) => {
                cluster.receive_loss = all.iter().map(|n| (*n, lost)).collect();
                cluster.run(10.0);
            }
        }
    }
    let minutes = (cluster.now - begun) / 60.0;
    (
        cluster.healthy_declared_dead.by_healthy as f64 / minutes,
        cluster.healthy_declared_dead.by_impaired as f64 / minutes,
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
