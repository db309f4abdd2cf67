//! Checks of the ejections in a fleet run: a silent server is ejected in time, and a server that responds is not ejected.
//!
//! Whether a node has ejected the silent server is read from its management address, since the node may drop log lines.

use super::checker::{Finding, Rule};
use super::fleet_run::FleetPlan;
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

/// Text that follows the server's name in the log line of an ejection.
const EJECTED: &str = "is ejected, a quorum";
/// Text in a node's answer about a server that it has ejected.
const EXPLAINED_AS_EJECTED: &str = "fails several nodes";
/// Pause between two polls of a node.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A response that takes longer is late: the latency objective of the services of a fleet.
const LATE_AFTER: Duration = crate::fleet::LATENCY_OBJECTIVE;
/// For this time after a server responds again, earlier reports may still eject it.
const OLD_REPORTS_TIME: Duration = PROPAGATION_TIME;

/// Polls each node for whether it has ejected a server, until it is dropped.
pub(super) struct EjectionPoller {
    nodes: Vec<usize>,
    answers: Arc<Mutex<Vec<PollAnswer>>>,
    _tasks: Vec<AbortOnDrop>,
}

/// The answer of a node to one poll.
#[derive(Clone, Copy, Debug)]
struct PollAnswer {
    node: usize,
    at: Duration,
    is_ejected: bool,
}

impl EjectionPoller {
    pub(super) fn start(
        fleet: &TestFleet,
        server: usize,
        history: &Arc<History>,
    ) -> EjectionPoller {
        let answers: Arc<Mutex<Vec<PollAnswer>>> = Arc::default();
        let nodes = fleet.running_nodes();
        let poll = |node: &usize| {
            let client = Client::new(fleet.management(*node)?);
            let path = format!("/-/fleet/servers/{}", server_name(server));
            let (node, history, answers) = (*node, history.clone(), answers.clone());
            Some(crate::spawn(async move {
                loop {
                    if let Some(is_ejected) = query_ejection(&client, &path).await {
                        let at = history.now();
                        let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
                        answers.push(PollAnswer {
                            node,
                            at,
                            is_ejected,
                        });
                    }
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }))
        };
        let tasks = nodes.iter().filter_map(poll).collect();
        EjectionPoller {
            nodes,
            answers,
            _tasks: tasks,
        }
    }

    /// The time of the node's last answer in `from..to` according to which it had not ejected the server.
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

/// When a node last answered that it had not ejected the server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LastAdmission {
    At(Duration),
    /// According to all its answers the server was ejected.
    None,
    /// It did not answer.
    Unknown,
}

/// Asks a node whether it has ejected the server; `None` without a successful response.
async fn query_ejection(client: &Client, path: &str) -> Option<bool> {
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

/// The time in which the server was paused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pause {
    pub(super) from: Duration,
    pub(super) to: Duration,
}

/// Returns all findings about ejections since the start of the pause.
pub(super) fn check(
    plan: &FleetPlan,
    events: &[TimedEvent],
    poller: &EjectionPoller,
    pause: Pause,
) -> Vec<Finding> {
    let mut findings = late_ejections(plan, events, poller, pause);
    findings.extend(ejections_of_responding_servers(plan, events, pause));
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

/// Number of reporters that is always enough for an ejection: the minimum of the quorum, and a majority of the nodes, so
/// that fewer nodes can report the server as healthy.
fn required_reporters(reporting_nodes: usize) -> usize {
    Quorum::default().min_reporters.max(reporting_nodes / 2 + 1)
}

/// When enough nodes for a quorum had sent an attempt to the paused server; `None` if that did not happen.
fn quorum_at(plan: &FleetPlan, events: &[TimedEvent], pause: Pause) -> Option<Duration> {
    let first_attempt = |nodes: &[usize]| {
        let attempts = queries::attempts(events, plan.paused_server, pause.from, pause.to, nodes);
        Some(attempts.first()?.at)
    };
    // Only one of two nodes with the same name reports: a report is certain once both have sent an attempt to the server.
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
    let required = required_reporters(reports.len());
    let mut times: Vec<Duration> = reports.into_iter().flatten().collect();
    times.sort_unstable();
    times.get(required - 1).copied()
}

/// When all servers but the paused one responded again.
fn common_pause_end(plan: &FleetPlan, pause: Pause) -> Duration {
    pause.from + plan.common_pause.unwrap_or(Duration::ZERO)
}

fn late_ejections(
    plan: &FleetPlan,
    events: &[TimedEvent],
    poller: &EjectionPoller,
    pause: Pause,
) -> Vec<Finding> {
    let Some(quorum_at) = quorum_at(plan, events, pause) else {
        return Vec::new();
    };
    // Reports are ignored while most servers are late.
    let due = (quorum_at + LATE_AFTER).max(common_pause_end(plan, pause)) + PROPAGATION_TIME;
    if due + 3 * POLL_INTERVAL > pause.to {
        return Vec::new();
    }
    let name = server_name(plan.paused_server);
    let late = |node: &usize| {
        let last_admission = poller.last_admission(*node, due + POLL_INTERVAL, pause.to);
        let (at, overrun) = match last_admission {
            LastAdmission::None => return None,
            LastAdmission::At(at) if at + 2 * POLL_INTERVAL < pause.to => (at, Some(at - due)),
            _ => (pause.to, None),
        };
        Some(Finding {
            rule: Rule::Ejected,
            from: pause.from,
            at,
            overrun,
            text: format!(
                "node {node} had not ejected {name} (last seen admitted: {last_admission:?}); the server was silent from {:?}, and a quorum of nodes had sent it attempts by {quorum_at:?}",
                pause.from
            ),
            disturbed_for: None,
        })
    };
    poller.nodes.iter().filter_map(late).collect()
}

fn ejections_of_responding_servers(
    plan: &FleetPlan,
    events: &[TimedEvent],
    pause: Pause,
) -> Vec<Finding> {
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
