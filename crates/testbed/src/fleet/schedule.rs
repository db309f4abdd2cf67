//! Faults and operators' words over a fleet: drawn from a seed, written down as lines, and played.

use super::Rig;
use crate::fleet::history::Event;
use crate::{Result, SeededRng};
use serde_json::{json, Value};
use std::time::Duration;

/// One thing that is done to a fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing for so long.
    Wait(Duration),
    /// Nothing passes from the ones to the others; nor back, if both ways are cut.
    Cut(Vec<usize>, Vec<usize>, bool),
    /// All that was cut passes again.
    Heal,
    /// This share of datagrams is lost, comes twice, and is spoilt.
    Loss(f64, f64, f64),
    /// Datagrams take between so long and so long.
    Delay(Duration, Duration),
    /// A process stands still, or goes on.
    Freeze(usize, bool),
    /// A process is killed.
    Kill(usize),
    /// A process begins where none is.
    Start(usize),
    /// A process is told to end.
    End(usize),
    /// A server stands still, or goes on.
    Server(usize, bool),
    /// A server answers this share of requests with an error.
    Fails(usize, f64),
    /// A server is sent out by way of a node.
    Ban(usize, usize, Option<u32>),
    /// A server is called back by way of a node.
    Lift(usize, usize),
}

impl Step {
    /// One line that [`Step::read`] reads.
    pub fn line(&self) -> String {
        let ms = |d: &Duration| d.as_millis() as u64;
        let value = match self {
            Step::Wait(d) => json!(["wait", ms(d)]),
            Step::Cut(a, b, both) => json!(["cut", a, b, both]),
            Step::Heal => json!(["heal"]),
            Step::Loss(loss, twice, spoilt) => json!(["loss", loss, twice, spoilt]),
            Step::Delay(least, most) => json!(["delay", ms(least), ms(most)]),
            Step::Freeze(n, frozen) => json!(["freeze", n, frozen]),
            Step::Kill(n) => json!(["kill", n]),
            Step::Start(n) => json!(["start", n]),
            Step::End(n) => json!(["end", n]),
            Step::Server(s, frozen) => json!(["server", s, frozen]),
            Step::Fails(s, share) => json!(["fails", s, share]),
            Step::Ban(n, s, seconds) => json!(["ban", n, s, seconds]),
            Step::Lift(n, s) => json!(["lift", n, s]),
        };
        value.to_string()
    }

    /// The nodes and the servers that it names.
    fn names(&self) -> (Vec<usize>, Vec<usize>) {
        match self {
            Step::Cut(a, b, _) => ([a.as_slice(), b].concat(), vec![]),
            Step::Freeze(n, _) | Step::Kill(n) | Step::Start(n) | Step::End(n) => {
                (vec![*n], vec![])
            }
            Step::Server(s, _) | Step::Fails(s, _) => (vec![], vec![*s]),
            Step::Ban(n, s, _) | Step::Lift(n, s) => (vec![*n], vec![*s]),
            Step::Wait(_) | Step::Heal | Step::Loss(..) | Step::Delay(..) => (vec![], vec![]),
        }
    }

    /// Reads a line.
    ///
    /// # Errors
    /// If it is no step.
    pub fn read(line: &str) -> Result<Step> {
        let value: Value = serde_json::from_str(line)?;
        let none = || format!("`{line}` is no step");
        let at = |n: usize| value.get(n).ok_or_else(none);
        let number = |n: usize| Ok::<_, crate::Error>(at(n)?.as_u64().ok_or_else(none)? as usize);
        let time = |n: usize| Ok::<_, crate::Error>(Duration::from_millis(number(n)? as u64));
        let share = |n: usize| Ok::<_, crate::Error>(at(n)?.as_f64().ok_or_else(none)?);
        let flag = |n: usize| Ok::<_, crate::Error>(at(n)?.as_bool().ok_or_else(none)?);
        let list = |n: usize| {
            let all = at(n)?.as_array().ok_or_else(none)?;
            Ok::<Vec<usize>, crate::Error>(
                all.iter()
                    .filter_map(|v| v.as_u64())
                    .map(|v| v as usize)
                    .collect(),
            )
        };
        Ok(match at(0)?.as_str().ok_or_else(none)? {
            "wait" => Step::Wait(time(1)?),
            "cut" => Step::Cut(list(1)?, list(2)?, flag(3)?),
            "heal" => Step::Heal,
            "loss" => Step::Loss(share(1)?, share(2)?, share(3)?),
            "delay" => Step::Delay(time(1)?, time(2)?),
            "freeze" => Step::Freeze(number(1)?, flag(2)?),
            "kill" => Step::Kill(number(1)?),
            "start" => Step::Start(number(1)?),
            "end" => Step::End(number(1)?),
            "server" => Step::Server(number(1)?, flag(2)?),
            "fails" => Step::Fails(number(1)?, share(2)?),
            "ban" => Step::Ban(number(1)?, number(2)?, at(3)?.as_u64().map(|s| s as u32)),
            "lift" => Step::Lift(number(1)?, number(2)?),
            _ => return Err(none().into()),
        })
    }
}

/// A schedule as lines.
pub fn write(steps: &[Step]) -> String {
    steps.iter().map(|step| step.line() + "\n").collect()
}

/// Reads a schedule for so many nodes and servers. Empty lines, and those that begin with `#`, say nothing.
///
/// # Errors
/// Where a line is no step, or names a node or server that there is none of; with its number.
pub fn read(text: &str, nodes: usize, servers: usize) -> Result<Vec<Step>> {
    let mut steps = Vec::new();
    for (n, line) in text
        .lines()
        .enumerate()
        .map(|(n, line)| (n + 1, line.trim()))
    {
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let step = Step::read(line).map_err(|e| format!("line {n}: {e}"))?;
        let (of_nodes, of_servers) = step.names();
        if let Some(m) = of_nodes.into_iter().find(|m| *m >= nodes) {
            return Err(format!("line {n}: there is no node {m}").into());
        }
        if let Some(m) = of_servers.into_iter().find(|m| *m >= servers) {
            return Err(format!("line {n}: there is no server {m}").into());
        }
        steps.push(step);
    }
    Ok(steps)
}

/// A schedule of about so long over so many nodes and servers, that ends with all faults healed.
pub fn drawn(seed: u64, nodes: usize, servers: usize, time: Duration) -> Vec<Step> {
    let mut draw = SeededRng(seed);
    let mut steps = Vec::new();
    let mut left = time;
    let mut down: Vec<usize> = Vec::new();
    let mut frozen: Vec<usize> = Vec::new();
    while left > Duration::from_millis(300) {
        let (n, s) = (
            draw.next_u64() as usize % nodes.max(1),
            draw.next_u64() as usize % servers.max(1),
        );
        let calm = !down.contains(&n) && !frozen.contains(&n);
        match draw.next_u64() % 12 {
            0 => {
                let side: Vec<usize> = (0..nodes).filter(|_| draw.next_fraction() < 0.5).collect();
                let other = (0..nodes).filter(|m| !side.contains(m)).collect();
                steps.push(Step::Cut(side, other, draw.next_fraction() < 0.5));
            }
            1 | 2 => steps.push(Step::Heal),
            3 => steps.push(Step::Loss((draw.next_u64() % 30) as f64 / 100.0, 0.1, 0.02)),
            4 => steps.push(Step::Delay(
                Duration::ZERO,
                Duration::from_millis(draw.next_u64() % 300),
            )),
            5 if calm && down.len() + frozen.len() < nodes / 3 => {
                steps.push(Step::Freeze(n, true));
                frozen.push(n);
            }
            6 => {
                if let Some(n) = frozen.pop() {
                    steps.push(Step::Freeze(n, false));
                }
            }
            7 if calm && down.len() + frozen.len() < nodes / 3 => {
                steps.push(if draw.next_fraction() < 0.7 {
                    Step::Kill(n)
                } else {
                    Step::End(n)
                });
                down.push(n);
            }
            8 => {
                if let Some(n) = down.pop() {
                    steps.push(Step::Start(n));
                }
            }
            9 => steps.push(Step::Server(s, draw.next_fraction() < 0.6)),
            10 if calm => steps.push(Step::Ban(n, s, Some(1 + draw.next_u64() as u32 % 6))),
            11 if calm => steps.push(Step::Lift(n, s)),
            _ => {}
        }
        let wait = Duration::from_millis(100 + draw.next_u64() % 900).min(left);
        left -= wait;
        steps.push(Step::Wait(wait));
    }
    steps.extend([
        Step::Heal,
        Step::Loss(0.0, 0.0, 0.0),
        Step::Delay(Duration::ZERO, Duration::ZERO),
    ]);
    steps.extend((0..servers).map(|s| Step::Server(s, false)));
    steps.extend(frozen.into_iter().map(|n| Step::Freeze(n, false)));
    steps.extend(down.into_iter().map(Step::Start));
    steps
}

/// Plays a schedule. Words to nodes that are not there are passed over, so that a schedule can be shortened.
///
/// # Errors
/// If a process does not start.
pub async fn play(rig: &mut Rig, steps: &[Step]) -> Result<()> {
    for step in steps {
        if !matches!(step, Step::Wait(_)) {
            rig.history.add(Event::Fault(step.line()));
        }
        match step {
            Step::Wait(time) => tokio::time::sleep(*time).await,
            Step::Cut(a, b, both) => rig.links().cut(a, b, *both),
            Step::Heal => rig.links().heal(),
            Step::Loss(loss, twice, spoilt) => {
                rig.links()
                    .fault(|f| (f.loss, f.twice, f.spoilt) = (*loss, *twice, *spoilt));
            }
            Step::Delay(least, most) => rig.links().fault(|f| f.delay = (*least, *most)),
            Step::Freeze(n, frozen) => {
                if rig.address(*n).is_some() {
                    rig.freeze(*n, *frozen);
                }
            }
            Step::Kill(n) => rig.kill(*n),
            Step::Start(n) => {
                if rig.address(*n).is_none() {
                    rig.start_node(*n).await?;
                }
            }
            Step::End(n) => {
                if rig.awake().contains(n) {
                    rig.end(*n).await?;
                }
            }
            Step::Server(s, frozen) => rig.servers[*s].update_behavior(|m| m.is_frozen = *frozen),
            Step::Fails(s, share) => rig.servers[*s].update_behavior(|m| m.error_ratio = *share),
            // A node under faults may well say nothing; what it did say is in the history.
            Step::Ban(n, s, seconds) => {
                let _ = rig.ban(*n, *s, *seconds).await;
            }
            Step::Lift(n, s) => {
                let _ = rig.lift(*n, *s).await;
            }
        }
    }
    Ok(())
}
