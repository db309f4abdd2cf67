//! Plays the six trials on so many seeds, all cores at work, and prints what came of each kind; with a file of an earlier
//! run, also the difference from it seed by seed, with its standard error.
//!
//! `cargo run --release -p reelfall-emulator --example trials -- --nodes 300 --seeds 8 --save FILE [--against FILE]`

use clap::Parser;
use reelfall_emulator::trials::{Trial, ALL};
use reelfall_emulator::{play, Report};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

#[derive(Parser)]
struct Args {
    /// Nodes of the fleet.
    #[arg(long, default_value_t = 300)]
    nodes: usize,
    /// Seeds for each kind.
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    /// The first of them.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Kinds to play, all if none is named.
    #[arg(long)]
    kind: Vec<String>,
    /// Where to keep the figure of each run.
    #[arg(long)]
    save: Option<std::path::PathBuf>,
    /// The kept figures of an earlier run on the same seeds.
    #[arg(long)]
    against: Option<std::path::PathBuf>,
    /// Print a line for each second of each run.
    #[arg(long)]
    seconds: bool,
}

/// The whole and its worst ten seconds, less what connections cost.
fn figure(r: &Report) -> f64 {
    0.65 * r.earned_share() + 0.35 * r.worst_earned_share(10) - 0.05 * r.connections_per_request()
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse();
    let kinds: Vec<Trial> = ALL
        .into_iter()
        .filter(|t| args.kind.is_empty() || args.kind.iter().any(|k| k == t.name()))
        .collect();
    let seeds = args.from..args.from + args.seeds;
    let jobs: Vec<(Trial, u64)> = kinds
        .iter()
        .flat_map(|t| seeds.clone().map(move |s| (*t, s)))
        .collect();
    let done = Mutex::new(BTreeMap::new());
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(2, usize::from) {
            scope.spawn(|| {
                while let Some((trial, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let report = play(trial.plan(args.nodes, *seed));
                    done.lock()
                        .unwrap_or_else(|e| e.into_inner())
                        .insert((trial.name(), *seed), report);
                }
            });
        }
    });
    let done = done.into_inner()?;
    let old = args
        .against
        .map(std::fs::read_to_string)
        .transpose()?
        .map(|text| read(&text));
    println!("kind    figure  whole worst10 late% refused% failed% shed% repeats dials to-dead% tries pushed broken   against");
    let mut text = String::new();
    let mut all = Vec::new();
    for kind in kinds {
        let reports: Vec<(u64, &Report)> = seeds
            .clone()
            .filter_map(|s| Some((s, done.get(&(kind.name(), s))?.as_ref().ok()?)))
            .collect();
        for (seed, r) in &reports {
            text += &format!("{} {seed} {:.5}\n", kind.name(), figure(r));
            if args.seconds {
                seconds(kind.name(), *seed, r);
            }
        }
        let changes: Vec<f64> = reports
            .iter()
            .filter_map(|(s, r)| {
                Some(figure(r) - old.as_ref()?.get(&(kind.name().to_owned(), *s))?)
            })
            .collect();
        all.extend(&changes);
        line(
            kind.name(),
            &reports.iter().map(|(_, r)| *r).collect::<Vec<_>>(),
            &changes,
        );
    }
    if !all.is_empty() {
        println!("all kinds: {}", change(&all));
    }
    if let Some(file) = args.save {
        std::fs::write(file, text)?;
    }
    Ok(())
}

fn read(text: &str) -> BTreeMap<(String, u64), f64> {
    let line = |l: &str| {
        let mut words = l.split_whitespace();
        Some((
            (words.next()?.to_owned(), words.next()?.parse().ok()?),
            words.next()?.parse().ok()?,
        ))
    };
    text.lines().filter_map(line).collect()
}

/// Mean and standard error of differences.
fn change(of: &[f64]) -> String {
    let n = of.len() as f64;
    let mean = of.iter().sum::<f64>() / n;
    let var = of.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    format!("{mean:+.4} +- {:.4}", (var / n).sqrt())
}

fn line(name: &str, reports: &[&Report], changes: &[f64]) {
    let mean = |of: &dyn Fn(&Report) -> f64| {
        reports.iter().map(|r| of(r)).sum::<f64>() / reports.len().max(1) as f64
    };
    let first = |r: &Report| f64::from(r.sum(|s| s.requests).max(1));
    let part = |of: fn(&reelfall_emulator::report::Second) -> u32| {
        mean(&|r: &Report| 100.0 * f64::from(r.sum(of)) / first(r))
    };
    println!(
        "{name:<7} {:.4} {:.4}  {:.4} {:>5.1}    {:>5.1}   {:>5.1} {:>5.1}    {:.3} {:.3}     {:>5.2}  {:.2}   {:.2} {:>6}   {}",
        mean(&figure),
        mean(&Report::earned_share),
        mean(&|r| r.worst_earned_share(10)),
        part(|s| s.late),
        part(|s| s.rejected),
        part(|s| s.failed),
        part(|s| s.rejected_by_servers),
        mean(&Report::retries_per_request),
        mean(&Report::connections_per_request),
        part(|s| s.to_unresponsive),
        part(|s| s.client_attempts) / 100.0,
        reports.iter().map(|r| r.violations.max_slow_start_load).fold(0.0, f64::max),
        reports.iter().map(|r| r.violations.list.len()).sum::<usize>(),
        if changes.is_empty() { String::new() } else { change(changes) },
    );
    reports
        .iter()
        .flat_map(|r| r.violations.list.first())
        .for_each(|b| println!("    {b}"));
}

fn seconds(name: &str, seed: u64, r: &Report) {
    for (n, s) in r.seconds.iter().enumerate() {
        println!(
            "{name} {seed} {n:>3} s: first {:>5} tries {:>5} sends {:>5} repeats {:>4} earned {:.2} late {:>4} refused {:>5} failed {:>4} shed {:>4} expired {:>4} dials {:>4} dead {:>4}",
            s.requests, s.client_attempts, s.attempts, s.retries, s.earned_weight / s.offered_weight.max(1e-9), s.late, s.rejected, s.failed, s.rejected_by_servers,
            s.timed_out, s.connections, s.to_unresponsive
        );
    }
}
