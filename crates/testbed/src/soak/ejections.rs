//! The judgement of ejections on a day of a fleet: a silent server is ejected in time, and none that responds.
//!
//! Whether a node has ejected the silent server is asked at its management address, as an operator would: its log may drop
//! lines.

use super::fleet_day::FleetPlan;
use super::judge::{Finding, Rule};
use crate::client::Client;
use crate::fleet::history::{Event, History, TimedEvent};
use crate::fleet::invariants::PROPAGATION_TIME;
use crate::fleet::{queries, server_name, TestFleet};
use crate::AbortOnDrop;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reelfall_cluster::quorum::Quorum;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What a node logs when it ejects a server, behind the name of the server.
const EJECTED: &str = "is ejected, a quorum";
/// What a node answers about a server that it has ejected.
const EXPLAINED_AS_EJECTED: &str = "fails several nodes";
/// Pause between two questions to a node.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// A response is late from this time on: the latency objective of the services of a fleet.
const LATE_AFTER: Duration = crate::fleet::LATENCY_OBJECTIVE;
/// Reports from before a server responded again may still eject it for this time.
const OLD_REPORTS_TIME: Duration = PROPAGATION_TIME;

/// Asks each node again and again whether it has ejected a server, until it is dropped.
pub(super) struct EjectionWatch {
    nodes: Vec<usize>,
    answers: Arc<Mutex<Vec<WatchAnswer>>>,
    _tasks: Vec<AbortOnDrop>,
}

/// What a node has answered.
#[derive(Clone, Copy, Debug)]
struct WatchAnswer {
    node: usize,
    at: Duration,
    is_ejected: bool,
}

impl EjectionWatch {
    pub(super) fn start(fleet: &TestFleet, server: usize, history: &Arc<History>) -> EjectionWatch {
        let answers: Arc<Mutex<Vec<WatchAnswer>>> = Arc::default();
        let nodes = fleet.running_nodes();
        let watch = |node: &usize| {
            let client = Client::new(fleet.management(*node)?);
            let path = format!("/-/fleet/servers/{}", server_name(server));
            let (node, history, answers) = (*node, history.clone(), answers.clone());
            Some(crate::spawn(async move {
                loop {
                    if let Some(is_ejected) = ask(&client, &path).await {
                        let at = history.now();
                        let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
                        answers.push(WatchAnswer {
                            node,
                            at,
                            is_ejected,
                        });
                    }
                    tokio::time::sleep(WATCH_INTERVAL).await;
                }
            }))
        };
        let tasks = nodes.iter().filter_map(watch).collect();
        EjectionWatch {
            nodes,
            answers,
            _tasks: tasks,
        }
    }

    /// The last answer of a node between two times by which it had not ejected the server, and whether it answered at all.
    fn last_admission(&self, node: usize, from: Duration, to: Duration) -> LastAdmission {
        let answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        let of_node = answers
            .iter()
            .filter(|answer| answer.node == node && (from..to).contains(&answer.at));
        let last = of_node.clone().rfind(|answer| !answer.is_ejected);
        match last {
            Some(answer) => LastAdmission::At(answer.at),
            None if of_node.count() > 0 => LastAdmission::None,
            None => LastAdmission::Unknown,
        }
    }
}

/// When a node was last seen not to have ejected the server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LastAdmission {
    At(Duration),
    /// It had ejected it all the time.
    None,
    /// It has not answered.
    Unknown,
}

/// Whether a node has ejected the server; `None` if it does not say.
async fn ask(client: &Client, path: &str) -> Option<bool> {
    let request = Request::builder()
        .uri(path)
        .header("host", "node")
        .body(Full::new(Bytes::new()));
    let response = client.send(request.ok()?).await.ok()?;
    let body = String::from_utf8_lossy(&response.body);
    response
        .status
        .is_success()
        .then(|| body.contains(EXPLAINED_AS_EJECTED))
}

/// When the server paused, and when it responded again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pause {
    pub(super) from: Duration,
    pub(super) to: Duration,
}

/// All findings about ejections from the pause on.
pub(super) fn judge(
    plan: &FleetPlan,
    events: &[TimedEvent],
    watch: &EjectionWatch,
    pause: Pause,
) -> Vec<Finding> {
    let mut findings = late_ejections(plan, events, watch, pause);
    findings.extend(ejections_of_responding(plan, events, pause));
    findings
}

/// An ejection that a node logged.
struct LoggedEjection<'a> {
    at: Duration,
    node: usize,
    server: &'a str,
}

fn logged_ejections(events: &[TimedEvent]) -> impl Iterator<Item = LoggedEjection<'_>> {
    events.iter().filter_map(|entry| {
        let Event::Logged { node, line } = &entry.event else {
            return None;
        };
        let (server, text) = line.split_once("fleet: ")?.1.split_once(' ')?;
        text.starts_with(EJECTED).then_some(LoggedEjection {
            at: entry.at,
            node: *node,
            server,
        })
    })
}

/// How many nodes have to report a silent server, at most: the quorum, and more than may report that it is healthy.
fn needed_witnesses(reporting_nodes: usize) -> usize {
    Quorum::default().min_reporters.max(reporting_nodes / 2 + 1)
}

/// When the last of the needed nodes sent its first attempt to the paused server; `None` if that did not happen.
fn quorum_at(plan: &FleetPlan, events: &[TimedEvent], pause: Pause) -> Option<Duration> {
    let first_attempt = |nodes: &[usize]| {
        let attempts = queries::attempts(events, plan.paused_server, pause.from, pause.to, nodes);
        Some(attempts.first()?.at)
    };
    // Of two nodes with one name only one reports: a report is certain once both have met the server.
    let (conflicting, single) = plan.nodes_by_conflict();
    let mut reports: Vec<Option<Duration>> =
        single.iter().map(|node| first_attempt(&[*node])).collect();
    if !conflicting.is_empty() {
        let both: Vec<Option<Duration>> = conflicting
            .iter()
            .map(|node| first_attempt(&[*node]))
            .collect();
        let last = both.iter().flatten().max().copied();
        reports.push(last.filter(|_| both.iter().all(Option::is_some)));
    }
    let needed = needed_witnesses(reports.len());
    let mut times: Vec<Duration> = reports.into_iter().flatten().collect();
    times.sort_unstable();
    times.get(needed - 1).copied()
}

/// When all servers but the paused one responded again.
fn common_pause_end(plan: &FleetPlan, pause: Pause) -> Duration {
    pause.from + plan.common_pause.unwrap_or(Duration::ZERO)
}

fn late_ejections(
    plan: &FleetPlan,
    events: &[TimedEvent],
    watch: &EjectionWatch,
    pause: Pause,
) -> Vec<Finding> {
    let Some(quorum_at) = quorum_at(plan, events, pause) else {
        return Vec::new();
    };
    // While most servers are late, the reports on each are ignored.
    let due = (quorum_at + LATE_AFTER).max(common_pause_end(plan, pause)) + PROPAGATION_TIME;
    if due + 3 * WATCH_INTERVAL > pause.to {
        return Vec::new();
    }
    let name = server_name(plan.paused_server);
    let late = |node: &usize| {
        let last_admission = watch.last_admission(*node, due + WATCH_INTERVAL, pause.to);
        let (at, overrun) = match last_admission {
            LastAdmission::None => return None,
            LastAdmission::At(at) if at + 2 * WATCH_INTERVAL < pause.to => (at, Some(at - due)),
            _ => (pause.to, None),
        };
        Some(Finding {
            rule: Rule::Ejected,
            from: pause.from,
            at,
            overrun,
            text: format!(
                "node {node} had not ejected {name}: {last_admission:?}; it was silent from {:?}, and known to enough nodes from {quorum_at:?}",
                pause.from
            ),
            disturbed_for: None,
        })
    };
    watch.nodes.iter().filter_map(late).collect()
}

fn ejections_of_responding(plan: &FleetPlan, events: &[TimedEvent], pause: Pause) -> Vec<Finding> {
    let name = server_name(plan.paused_server);
    let responds_from = |server: &str| {
        if server == name {
            pause.to + OLD_REPORTS_TIME
        } else if plan.common_pause.is_some() {
            common_pause_end(plan, pause) + OLD_REPORTS_TIME
        } else {
            pause.from
        }
    };
    let wrong =
        logged_ejections(events).filter(|ejection| ejection.at > responds_from(ejection.server));
    wrong
        .map(|ejection| Finding {
            rule: Rule::NotEjected,
            from: ejection.at.saturating_sub(PROPAGATION_TIME + LATE_AFTER),
            at: ejection.at,
            overrun: Some(LATE_AFTER - plan.service_time()),
            text: format!(
                "node {} ejected {}, which responds",
                ejection.node, ejection.server
            ),
            disturbed_for: None,
        })
        .collect()
}
