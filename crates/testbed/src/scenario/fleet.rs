//! Nodes that know each other, under drawn faults and load; then a ban, a server that fails and one that falls silent, with
//! and without what the nodes tell each other.
//!
//! Then most of the nodes are killed at once and begin again.
//!
//! Promises: no effect twice; every request is answered once and in time; a ban holds at all nodes within a second and
//! the half that each has to act on it, and ends at its time; after the faults all nodes agree.

use super::Report;
use crate::fleet::plays::{Came, Play};
use crate::fleet::probers::names_that_never_probe;
use crate::fleet::schedule::Step;
use crate::fleet::verdicts::verdicts;
use crate::fleet::{check, schedule, Made, Rig, AIM, WARM};
use crate::scripted::Program;
use crate::Result;
use serde_json::json;
use std::time::Duration;

/// How large, and how long.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Processes.
    pub nodes: usize,
    /// Servers.
    pub servers: usize,
    /// Faults go on for so long.
    pub time: Duration,
    /// Schedules.
    pub seeds: u64,
    /// Requests a second at each node.
    pub rate: f64,
}

impl Scale {
    /// The whole of it: some minutes.
    pub const WHOLE: Scale = Scale {
        nodes: 30,
        servers: 15,
        time: Duration::from_secs(60),
        seeds: 3,
        rate: 12.0,
    };
    /// What fits into a test.
    pub const SMALL: Scale = Scale {
        nodes: 5,
        servers: 6,
        time: Duration::from_secs(5),
        seeds: 1,
        rate: 30.0,
    };
}

const MS: f64 = 1e3;
/// The news has to be everywhere by then.
const NEWS: Duration = Duration::from_secs(1);

fn made(scale: &Scale, fleet: Option<&str>) -> Made {
    let service = WARM.to_owned();
    Made {
        nodes: scale.nodes,
        servers: scale.servers,
        fleet: fleet.map(str::to_owned),
        service,
        ..Made::default()
    }
}

async fn gathered(rig: &Rig) -> Result<Duration> {
    rig.until("all know each other", async |rig| {
        rig.awake().len() == rig.nodes() && rig.gathered().await
    })
    .await
}

/// Plays the scenario.
///
/// # Errors
/// If a process can't be started; a broken promise is no error.
pub async fn run(program: &Program, scale: Scale) -> Result<Report> {
    let mut report = Report::default();
    let mut storms = Vec::new();
    for seed in 1..=scale.seeds {
        let came = storm(program, &scale, seed, &mut report).await?;
        storms.push(json!({ "seed": seed, "came": came.figures() }));
    }
    report.add_figure("storms", storms);
    let mass = mass(program, &scale, &mut report).await?;
    report.add_figure("most_killed", mass);
    let rig = Rig::start(program, &made(&scale, Some(""))).await?;
    gathered(&rig).await?;
    let ban = banned(&rig, &scale, &mut report).await?;
    report.add_figure("ban", ban);
    drop(rig);
    let with = silent(program, &scale, Some("")).await?;
    let without = silent(program, &scale, None).await?;
    report.add_figure(
        "silent_server",
        json!({ "with": with.figures(), "without": without.figures() }),
    );
    let ratio = with.attempts as f64 / without.attempts.max(1) as f64;
    report.add_figure("silent_server_attempts_ratio", (ratio * 1e3).round() / 1e3);
    report.add_figure("evidence_to_last_ms", evidence(program, &scale).await?);
    report.add_figure(
        "waits_to_last_ms",
        last_after_silence(program, &scale).await?,
    );
    Ok(report)
}

/// Drawn faults under load.
async fn storm(program: &Program, scale: &Scale, seed: u64, report: &mut Report) -> Result<Came> {
    let play = Play {
        made: made(scale, Some("")),
        rate: scale.rate,
        risky: 0.3,
        seed,
    };
    let steps = schedule::drawn(seed, scale.nodes, scale.servers, scale.time);
    let came = play.run(program, &steps).await?;
    for line in came.broken.iter().take(5) {
        report.check(false, || format!("seed {seed}: {line}"));
    }
    let seen = verdicts(&came.history.events());
    let over = seen.bans_over.last().copied().unwrap_or_default();
    report.check(over <= check::SLACK, || {
        format!("seed {seed}: a ban was in force {over:?} after its end")
    });
    Ok(came)
}

/// A ban of six seconds at one node: when the last of the others stopped, and when the first and the last sent again.
async fn banned(rig: &Rig, scale: &Scale, report: &mut Report) -> Result<serde_json::Value> {
    let all: Vec<usize> = (0..scale.nodes).collect();
    let load = rig.load(scale.rate.max(20.0), 0.3, 99);
    let before = rig.history.now();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let lasts = Duration::from_secs(6);
    rig.ban(scale.nodes - 1, 0, Some(6)).await?;
    let at = rig.history.now();
    tokio::time::sleep(lasts + Duration::from_secs(6)).await;
    load.end().await;
    let happened = rig.history.events();
    let held = at + lasts - Duration::from_millis(300);
    let last = check::attempts(&happened, 0, at, held, &all)
        .last()
        .map_or(Duration::ZERO, |(t, _)| *t - at);
    report.check(last <= NEWS + check::GRACE, || {
        format!("a ban was kept by the last node after {last:?}")
    });
    let back: Vec<Duration> = all
        .iter()
        .filter_map(|n| {
            check::attempts(&happened, 0, held, Duration::MAX, &[*n])
                .first()
                .map(|(t, _)| *t)
        })
        .collect();
    let (first, back_last) = (back.iter().min(), back.iter().max());
    let after =
        |t: Option<&Duration>| t.map_or(f64::NAN, |t| (t.as_secs_f64() - at.as_secs_f64()) * MS);
    // Chance leaves a server to some nodes for seconds: what counts is how many sent in as long a time before.
    let sent = |n: &&usize| !check::attempts(&happened, 0, before, at, &[**n]).is_empty();
    let sent = all.iter().filter(sent).count();
    report.check(2 * back.len() >= sent, || {
        format!("{} nodes of {sent} send again", back.len())
    });
    Ok(json!({
        "nodes_before": sent,
        "nodes_again": back.len(),
        "last_attempt_ms": last.as_secs_f64() * MS,
        "first_again_ms": after(first),
        "last_again_ms": after(back_last),
    }))
}

/// What a server that stands still costs.
struct Cost {
    attempts: usize,
    /// Of these, those that came before the news could be everywhere; the rest are trials, where nodes tell each other.
    early: usize,
    nodes: usize,
    late: usize,
    asked: usize,
}

impl Cost {
    fn figures(&self) -> serde_json::Value {
        json!({ "attempts": self.attempts, "in_the_first_second": self.early, "nodes": self.nodes, "not_served": self.late, "asked": self.asked })
    }
}

/// One server stands still for ten seconds.
async fn silent(program: &Program, scale: &Scale, fleet: Option<&str>) -> Result<Cost> {
    let rig = Rig::start(program, &made(scale, fleet)).await?;
    if fleet.is_some() {
        gathered(&rig).await?;
    }
    let load = rig.load(scale.rate, 0.3, 7);
    tokio::time::sleep(Duration::from_secs(4)).await;
    rig.servers[0].update_behavior(|m| m.is_frozen = true);
    let from = rig.history.now();
    tokio::time::sleep(Duration::from_secs(10)).await;
    let to = rig.history.now();
    rig.servers[0].update_behavior(|m| m.is_frozen = false);
    load.end().await;
    let happened = rig.history.events();
    let all: Vec<usize> = (0..scale.nodes).collect();
    let attempts = check::attempts(&happened, 0, from, to, &all).len();
    let early = check::attempts(&happened, 0, from, from + NEWS, &all).len();
    let sent = |n: &usize| !check::attempts(&happened, 0, from, to, &[*n]).is_empty();
    let (share, asked) = check::served(&happened, from, to);
    let late = asked - (share * asked as f64).round() as usize;
    Ok(Cost {
        attempts,
        early,
        nodes: all.iter().filter(|n| sent(n)).count(),
        late,
        asked,
    })
}

/// Six in ten nodes are killed at once and begin again: how long until those that are left know, and until all do.
async fn mass(program: &Program, scale: &Scale, report: &mut Report) -> Result<serde_json::Value> {
    let mut rig = Rig::start(program, &made(scale, Some(""))).await?;
    gathered(&rig).await?;
    let load = rig.load(scale.rate, 0.3, 11);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let killed = scale.nodes * 3 / 5;
    let at = rig.history.now();
    (0..killed).for_each(|n| rig.kill(n));
    rig.until("those that are left know", async |rig| rig.gathered().await)
        .await?;
    let known = rig.history.now() - at;
    let at = rig.history.now();
    for n in 0..killed {
        rig.start_node(n).await?;
    }
    gathered(&rig).await?;
    let back = rig.history.now() - at;
    load.end().await;
    let happened = rig.history.events();
    check::all(&happened)
        .iter()
        .take(5)
        .for_each(|line| report.check(false, || format!("killed: {line}")));
    let mistaken = verdicts(&happened).mistaken.len();
    Ok(
        json!({ "killed": killed, "known_s": known.as_secs_f64(), "back_s": back.as_secs_f64(), "mistaken": mistaken }),
    )
}

/// The least, the middle and the most of some times, in milliseconds.
fn spread(mut all: Vec<Duration>) -> serde_json::Value {
    all.sort_unstable();
    let at = |n: usize| all.get(n).map(|t| (t.as_secs_f64() * MS).round());
    let last = all.len().saturating_sub(1);
    json!({ "n": all.len(), "least": at(0), "middle": at(last / 2), "most": at(last) })
}

/// Trouble of one server after another, each for four seconds; from the third node's first attempt there, `shown` later
/// evidence, to the last attempt by anybody. Nobody is to try a condemned server meanwhile.
async fn troubles(
    program: &Program,
    scale: &Scale,
    shown: Duration,
    trouble: impl Fn(usize, bool) -> Step,
) -> Result<Vec<Duration>> {
    let fleet = "verdicts = { trial_every = \"60s\" }";
    let all: Vec<usize> = (0..scale.nodes).collect();
    let troubled: Vec<usize> = (0..scale.servers.min(5)).collect();
    let named = names_that_never_probe(scale.nodes, &all, &troubled);
    let mut rig = Rig::start(
        program,
        &Made {
            named,
            ..made(scale, Some(fleet))
        },
    )
    .await?;
    gathered(&rig).await?;
    let load = rig.load(scale.rate, 0.0, 8);
    let mut took = Vec::new();
    for server in troubled {
        schedule::play(
            &mut rig,
            &[Step::Wait(Duration::from_secs(4)), trouble(server, true)],
        )
        .await?;
        let from = rig.history.now();
        schedule::play(&mut rig, &[Step::Wait(Duration::from_secs(4))]).await?;
        let to = rig.history.now();
        schedule::play(&mut rig, &[trouble(server, false)]).await?;
        let happened = rig.history.events();
        let first = |n: &usize| {
            check::attempts(&happened, server, from, to, &[*n])
                .first()
                .map(|(t, _)| *t)
        };
        let mut firsts: Vec<Duration> = all.iter().filter_map(first).collect();
        firsts.sort_unstable();
        let last = check::attempts(&happened, server, from, to, &all)
            .last()
            .map(|(t, _)| *t);
        if let (Some(third), Some(last)) = (firsts.get(2), last) {
            took.push(last.saturating_sub(*third + shown));
        }
    }
    load.end().await;
    Ok(took)
}

/// A server fails all.
async fn evidence(program: &Program, scale: &Scale) -> Result<serde_json::Value> {
    let fails = |s, on| Step::Fails(s, if on { 1.0 } else { 0.0 });
    Ok(spread(
        troubles(program, scale, Duration::ZERO, fails).await?,
    ))
}

/// A server stands still: there is evidence once attempts have waited past their aim.
async fn last_after_silence(program: &Program, scale: &Scale) -> Result<serde_json::Value> {
    Ok(spread(troubles(program, scale, AIM, Step::Server).await?))
}
