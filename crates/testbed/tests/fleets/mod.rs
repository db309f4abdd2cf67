//! What tests of fleets of processes share.

// Each file of tests uses a part of it.
#![allow(dead_code)]

use reelfall_testbed::fleet::history::{Event, TimedEvent};
use reelfall_testbed::fleet::{
    invariants, queries, server_name, FleetSpec, ManagementResponse, TestFleet, SHORT_SLOW_START,
};
use reelfall_testbed::scripted::Program;
use std::time::Duration;

pub const SECOND: Duration = Duration::from_secs(1);
/// A server that was sent nothing for so long is left: under the load of these tests one that is not is sent many.
const LEFT: Duration = Duration::from_millis(500);

pub fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

pub async fn start(spec: FleetSpec) -> TestFleet {
    let fleet = TestFleet::start(&program(), &spec).await.unwrap();
    if spec.fleet_settings.is_some() {
        fleet
            .wait_until("all know each other", async |fleet| {
                fleet.is_converged().await
            })
            .await
            .unwrap();
    }
    fleet
}

pub fn warm() -> FleetSpec {
    FleetSpec {
        service_settings: SHORT_SLOW_START.to_owned(),
        ..FleetSpec::default()
    }
}

/// Two fleets at once, however many tests run: more would have each other's nodes starve, and find fault with servers.
pub async fn turn() -> tokio::sync::SemaphorePermit<'static> {
    static TURNS: tokio::sync::Semaphore = tokio::sync::Semaphore::const_new(2);
    TURNS.acquire().await.unwrap()
}

pub async fn rest(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

pub fn none_broken(fleet: &TestFleet) {
    let broken = invariants::violations(&fleet.history.events());
    assert!(broken.is_empty(), "{broken:#?}\n{}", fleet.history.tail(60));
}

/// What an operator sees who calls a node by the command line.
pub async fn command(fleet: &TestFleet, node: usize, args: &[&str]) -> String {
    let mut command = program().command();
    command
        .args(args)
        .arg("--management")
        .arg(fleet.management(node).unwrap().to_string());
    let done = tokio::task::spawn_blocking(move || command.output())
        .await
        .unwrap()
        .unwrap();
    assert!(
        done.status.success(),
        "{}",
        String::from_utf8_lossy(&done.stderr)
    );
    String::from_utf8_lossy(&done.stdout).into_owned()
}

/// Waits until all nodes that are awake explain a server with these words.
pub async fn until_explained(fleet: &TestFleet, server: &str, words: &str) {
    until_all_explain(fleet, server, words, |said| said.contains(words)).await;
}

/// Waits until all nodes that are awake hold reports of so many that a server has answered with errors.
///
/// That it is condemned is too early: on a busy machine one of the reports may stand on an attempt that is late, and is
/// taken back with its answer.
pub async fn until_errors_reported(fleet: &TestFleet, server: &str, by: usize) {
    let reports = |said: &str| {
        said.lines()
            .filter(|line| line.contains(": Failing: "))
            .count()
    };
    until_all_explain(fleet, server, "reports of errors", |said| {
        reports(said) >= by
    })
    .await;
}

async fn until_all_explain(
    fleet: &TestFleet,
    server: &str,
    what: &str,
    holds: impl Fn(&str) -> bool,
) {
    let path = format!("/-/fleet/servers/{server}");
    fleet
        .wait_until(what, async |fleet| {
            for n in fleet.running_nodes() {
                let Ok(ManagementResponse { body: said, .. }) =
                    fleet.call_management(n, "GET", &path).await
                else {
                    return false;
                };
                if !holds(&said) {
                    return false;
                }
            }
            true
        })
        .await
        .unwrap();
}

/// Waits until the last that each of these nodes said of the server is that it fails several, which is when it acts on it,
/// and none of them has sent anything there for a while: what it chose before is over.
///
/// That a node explains it so is too early: it knows of the reports, and its pools may send for a moment more.
pub async fn until_left(fleet: &TestFleet, server: usize, nodes: &[usize]) {
    let name = server_name(server);
    let is_left = |happened: &[TimedEvent], node: usize| {
        let said = happened.iter().rev().find_map(|entry| match &entry.event {
            Event::Logged { node: by, line } if *by == node => {
                line.split_once(&format!("fleet: {name} "))
            }
            _ => None,
        });
        said.is_some_and(|(_, words)| words.starts_with("is ejected, a quorum"))
    };
    fleet
        .wait_until("no more requests to the server", async |fleet| {
            let happened = fleet.history.events();
            let from = fleet.history.now().saturating_sub(LEFT);
            let sent = queries::attempts(&happened, server, from, Duration::MAX, nodes);
            sent.is_empty() && nodes.iter().all(|n| is_left(&happened, *n))
        })
        .await
        .unwrap();
}

/// Every one of these nodes has sent something to the server lately.
pub async fn until_sent(fleet: &TestFleet, server: usize, nodes: &[usize]) {
    let from = fleet.history.now();
    fleet
        .wait_until("requests to the server by all", async |fleet| {
            let happened = fleet.history.events();
            nodes.iter().all(|n| {
                !queries::attempts(&happened, server, from, Duration::MAX, &[*n]).is_empty()
            })
        })
        .await
        .unwrap();
}

/// Attempts by these nodes that came later than a second and a half after a moment: a second for the news to be
/// everywhere, and the half that the rule on drains gives each node.
pub fn late(
    fleet: &TestFleet,
    server: usize,
    since: Duration,
    nodes: &[usize],
) -> Vec<queries::Attempt> {
    let happened = fleet.history.events();
    queries::attempts(
        &happened,
        server,
        since + SECOND + invariants::BAN_GRACE,
        Duration::MAX,
        nodes,
    )
}
