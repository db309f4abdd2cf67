//! Verdicts acted on, as the history has them: how long after their time, and against whom. When a node acts it says so in
//! its log; whether it was right to is judged by the faults and the words that the rig gave, by the rig's clock.

use super::check::SLACK;
use super::history::Event;
use super::schedule::Step;
use super::server_name;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a report counts where the settings say nothing else.
pub const REPORTS_LAST: Duration = Duration::from_secs(10);

/// See the module.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdicts {
    /// How often a node let a ban with an end go after its end, and how long after: by the least, in order.
    pub bans_over: Vec<Duration>,
    /// How often a node held a server for sick.
    pub condemned: usize,
    /// Of these, how often nothing had been wrong with the server for as long as evidence counts.
    pub mistaken: Vec<String>,
    /// How long a server was held for sick after it was well again, in order.
    pub condemned_over: Vec<Duration>,
}

impl Verdicts {
    /// The figures.
    pub fn figures(&self) -> Value {
        let ms = |all: &[Duration]| {
            let at = |n: usize| all.get(n).map(|d| (d.as_secs_f64() * 1e3).round());
            let last = all.len().saturating_sub(1);
            json!({ "n": all.len(), "least": at(0), "middle": at(last / 2), "most": at(last) })
        };
        json!({
            "bans_over_ms": ms(&self.bans_over),
            "condemned": self.condemned,
            "mistaken": self.mistaken.len(),
            "condemned_over_ms": ms(&self.condemned_over),
        })
    }
}

/// What is wrong with each server, and since when nothing is.
#[derive(Default)]
struct Soundness {
    faults: BTreeMap<usize, BTreeSet<&'static str>>,
    well_since: BTreeMap<usize, Duration>,
}

impl Soundness {
    fn step(&mut self, at: Duration, step: &Step) {
        let (server, kind, on) = match step {
            Step::Server(s, frozen) => (*s, "frozen", *frozen),
            Step::Fails(s, share) => (*s, "fails", *share > 0.0),
            _ => return,
        };
        let faults = self.faults.entry(server).or_default();
        let was = !faults.is_empty();
        if on {
            faults.insert(kind);
        } else {
            faults.remove(kind);
        }
        if was && faults.is_empty() {
            self.well_since.insert(server, at);
        }
    }

    /// Since when nothing has been wrong with it; `None` if something is.
    fn since(&self, server: usize) -> Option<Duration> {
        match self.faults.get(&server) {
            Some(faults) if !faults.is_empty() => None,
            _ => Some(self.well_since.get(&server).copied().unwrap_or_default()),
        }
    }
}

/// What one process acts on.
#[derive(Default)]
struct Acts {
    out: BTreeSet<usize>,
    condemned: BTreeSet<usize>,
    awake_since: Option<Duration>,
}

fn server(line: &str) -> Option<usize> {
    let name = line.split_once("fleet: ")?.1.split_once(' ')?.0;
    let n = name.strip_prefix('s')?.parse().ok()?;
    (server_name(n) == name).then_some(n)
}

/// Reads them.
pub fn verdicts(happened: &[(Duration, Event)]) -> Verdicts {
    let mut seen = Verdicts::default();
    let mut sound = Soundness::default();
    let mut nodes: BTreeMap<usize, Acts> = BTreeMap::new();
    // When the last of the bans of each server has to be over.
    let mut ends: BTreeMap<usize, Duration> = BTreeMap::new();
    let end = happened.last().map_or(Duration::ZERO, |(at, _)| *at);
    for (at, event) in happened {
        match event {
            Event::Fault(line) => {
                if let Ok(step) = Step::read(line) {
                    sound.step(*at, &step);
                }
            }
            Event::Banned {
                server, seconds, ..
            } => {
                let lasts = seconds.map_or(Duration::MAX, |s| Duration::from_secs(s.into()));
                let over = at.saturating_add(lasts);
                let known = ends.entry(*server).or_default();
                *known = over.max(*known);
            }
            Event::Began { node } | Event::Killed { node } | Event::Told { node } => {
                nodes.insert(*node, Acts::default());
            }
            Event::Froze { node } => {
                nodes.entry(*node).or_default().awake_since = Some(Duration::MAX)
            }
            Event::Thawed { node } => nodes.entry(*node).or_default().awake_since = Some(*at),
            Event::Said { node, line } => {
                if let Some(server) = server(line) {
                    nodes
                        .entry(*node)
                        .or_default()
                        .said(*at, server, line, &sound, &ends, &mut seen);
                }
            }
            _ => {}
        }
    }
    for acts in nodes.values() {
        acts.out
            .iter()
            .for_each(|server| acts.let_go(end, *server, &ends, &mut seen));
    }
    seen.bans_over.sort_unstable();
    seen.condemned_over.sort_unstable();
    seen
}

impl Acts {
    fn said(
        &mut self,
        at: Duration,
        server: usize,
        line: &str,
        sound: &Soundness,
        ends: &BTreeMap<usize, Duration>,
        seen: &mut Verdicts,
    ) {
        if line.contains("is banned") {
            self.out.insert(server);
        } else if line.contains("is not banned") {
            if self.out.remove(&server) {
                self.let_go(at, server, ends, seen);
            }
        } else if line.contains("is ejected, a quorum") {
            seen.condemned += 1;
            self.condemned.insert(server);
            let well = sound
                .since(server)
                .filter(|since| at.saturating_sub(*since) > REPORTS_LAST + SLACK);
            if let Some(since) = well {
                seen.mistaken.push(format!(
                    "{at:?}: s{server} is condemned, and well since {since:?}"
                ));
            }
        } else if line.contains("is no longer ejected") && self.condemned.remove(&server) {
            // Who slept could not let go before.
            let from = self.awake_since.unwrap_or_default();
            seen.condemned_over.extend(
                sound
                    .since(server)
                    .map(|since| at.saturating_sub(since.max(from))),
            );
        }
    }

    /// A ban is let go, or the history ends with it held: how long after its end, if that is over.
    fn let_go(
        &self,
        at: Duration,
        server: usize,
        ends: &BTreeMap<usize, Duration>,
        seen: &mut Verdicts,
    ) {
        let Some(end) = ends.get(&server) else { return };
        let due = (*end).max(self.awake_since.unwrap_or_default());
        seen.bans_over.extend(at.checked_sub(due));
    }
}

#[cfg(test)]
mod tests;
