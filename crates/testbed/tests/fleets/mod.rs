//! Fixtures, waits and queries shared by the tests of fleets.

// Each test binary uses some of them.
#![allow(dead_code)]

use reelfall_testbed::fleet::history::{Event, TimedEvent};
use reelfall_testbed::fleet::{
    invariants, queries, server_name, FleetSpec, TestFleet, SHORT_SLOW_START,
};
use reelfall_testbed::scripted::Program;
use std::time::Duration;
use tokio::sync::{Semaphore, SemaphorePermit};

pub const SECOND: Duration = Duration::from_secs(1);
/// Maximum number of fleets that run at once, whatever the number of concurrent tests. With more fleets, nodes would lack
/// processor time and report servers as slow.
const MAX_FLEETS: usize = 2;
/// A server without attempts for this time is ejected: under the load of these tests any other server gets many.
const QUIET_TIME: Duration = Duration::from_millis(500);

pub fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// Starts a fleet and waits until all nodes are members.
pub async fn start(spec: FleetSpec) -> TestFleet {
    let fleet = TestFleet::start(&program(), &spec).await.unwrap();
    if spec.fleet_settings.is_some() {
        fleet
            .wait_until("all nodes are members", async |fleet| {
                fleet.is_converged().await
            })
            .await
            .unwrap();
    }
    fleet
}

/// A fleet of the default size whose services have a short slow start.
pub fn spec_with_short_slow_start() -> FleetSpec {
    FleetSpec {
        service_settings: SHORT_SLOW_START.to_owned(),
        ..FleetSpec::default()
    }
}

/// Waits until fewer than [`MAX_FLEETS`] fleets run, and permits the caller to run one until the permit is dropped.
pub async fn reserve_fleet() -> SemaphorePermit<'static> {
    static FLEETS: Semaphore = Semaphore::const_new(MAX_FLEETS);
    FLEETS.acquire().await.unwrap()
}

/// Lets a fleet run for a time.
pub async fn run_for(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// Asserts that the history violates no invariant.
pub fn assert_no_violations(fleet: &TestFleet) {
    let violations = invariants::violations(&fleet.history.events());
    assert!(
        violations.is_empty(),
        "{violations:#?}\n{}",
        fleet.history.tail(60)
    );
}

/// Runs a command of the program against the management address of a node, and returns what it prints.
pub async fn run_command(fleet: &TestFleet, node: usize, args: &[&str]) -> String {
    let mut command = program().command();
    command
        .args(args)
        .arg("--management")
        .arg(fleet.management(node).unwrap().to_string());
    let output = tokio::task::spawn_blocking(move || command.output())
        .await
        .unwrap()
        .unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Waits until the explanation of a server's state contains this text at all running nodes.
pub async fn wait_until_explained(fleet: &TestFleet, server: &str, text: &str) {
    wait_until_all_explain(fleet, server, text, |explanation| {
        explanation.contains(text)
    })
    .await;
}

/// Waits until all running nodes have reports about errors of a server from at least `reporters` nodes.
///
/// An ejection is not sufficient: on a busy machine one of its reports may be about an attempt in flight, and such a report
/// is withdrawn when the response arrives.
pub async fn wait_until_errors_reported(fleet: &TestFleet, server: &str, reporters: usize) {
    let error_reports = |explanation: &str| {
        explanation
            .lines()
            .filter(|line| line.contains(": Failing: "))
            .count()
    };
    wait_until_all_explain(fleet, server, "reports of errors", |explanation| {
        error_reports(explanation) >= reporters
    })
    .await;
}

async fn wait_until_all_explain(
    fleet: &TestFleet,
    server: &str,
    description: &str,
    is_expected: impl Fn(&str) -> bool,
) {
    let path = format!("/-/fleet/servers/{server}");
    fleet
        .wait_until(description, async |fleet| {
            for node in fleet.running_nodes() {
                let response = fleet.call_management(node, "GET", &path).await;
                if !response.is_ok_and(|response| is_expected(&response.body)) {
                    return false;
                }
            }
            true
        })
        .await
        .unwrap();
}

/// Waits until each of these nodes has applied the ejection of a server, as its last log line about the server says, and
/// none of them has sent the server an attempt for [`QUIET_TIME`].
///
/// The explanation of the server as ejected is not sufficient: the node has the reports by then, but its pools may still
/// send attempts for a moment.
pub async fn wait_until_ejected(fleet: &TestFleet, server: usize, nodes: &[usize]) {
    let name = server_name(server);
    let is_ejected = |events: &[TimedEvent], node: usize| {
        let last_line = events.iter().rev().find_map(|entry| match &entry.event {
            Event::Logged { node: by, line } if *by == node => {
                line.split_once(&format!("fleet: {name} "))
            }
            _ => None,
        });
        last_line.is_some_and(|(_, text)| text.starts_with("is ejected, a quorum"))
    };
    fleet
        .wait_until("no more attempts at the server", async |fleet| {
            let events = fleet.history.events();
            let from = fleet.history.now().saturating_sub(QUIET_TIME);
            let attempts = queries::attempts(&events, server, from, Duration::MAX, nodes);
            attempts.is_empty() && nodes.iter().all(|node| is_ejected(&events, *node))
        })
        .await
        .unwrap();
}

/// Waits until each of these nodes has sent the server an attempt from now on.
pub async fn wait_until_attempted(fleet: &TestFleet, server: usize, nodes: &[usize]) {
    let from = fleet.history.now();
    fleet
        .wait_until("attempts at the server by each node", async |fleet| {
            let events = fleet.history.events();
            nodes.iter().all(|node| {
                !queries::attempts(&events, server, from, Duration::MAX, &[*node]).is_empty()
            })
        })
        .await
        .unwrap();
}

/// Number of attempts at a server by these nodes since a time.
pub fn attempt_count(fleet: &TestFleet, server: usize, since: Duration, nodes: &[usize]) -> usize {
    queries::attempts(&fleet.history.events(), server, since, Duration::MAX, nodes).len()
}

/// Attempts by these nodes after a ban that was set at `since` must have reached all nodes and be applied by each.
pub fn late_attempts(
    fleet: &TestFleet,
    server: usize,
    since: Duration,
    nodes: &[usize],
) -> Vec<queries::Attempt> {
    let events = fleet.history.events();
    let deadline = since + invariants::PROPAGATION_TIME + invariants::BAN_GRACE;
    queries::attempts(&events, server, deadline, Duration::MAX, nodes)
}
