//! Runs of kind `fleet`: a fleet of real processes under random faults, then a server that pauses and responds again.

use super::checker::load::{unserved, LoadSummary};
use super::checker::{mark_disturbed, CheckResult, Finding, Rule};
use super::ejections::{self, EjectionPoller, Pause};
use super::stalls::StallMeter;
use crate::fleet::history::{History, TimedEvent};
use crate::fleet::invariants::{find_violations, Violation, ViolationKind, SCHEDULING_SLACK};
use crate::fleet::schedule::{self, Step};
use crate::fleet::{queries, server_name, FleetSpec, TestFleet, DEADLINE, SHORT_SLOW_START};
use crate::node::Program;
use crate::{Result, SeededRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of nodes: the minimum, and the maximum number of additional ones.
const NODES: (u64, u64) = (4, 4);
/// Number of servers: the minimum, and the maximum number of additional ones.
const SERVERS: (u64, u64) = (6, 2);
/// Requests per second at each node: the minimum, and the range above it.
const RATE: (u64, u64) = (20, 80);
/// Shortest and longest pause of the server, in milliseconds.
const PAUSE_MS: (u64, u64) = (300, 10_000);
/// Shortest and longest time that all servers pause together, in milliseconds, in every other run.
const COMMON_PAUSE_MS: (u64, u64) = (250, 500);
/// Share of requests that must be executed at most once.
const AT_MOST_ONCE_RATIO: f64 = 0.2;
/// Duration of the random faults before the pause.
const FAULTS_DURATION: Duration = Duration::from_secs(5);
/// Time between those faults and the pause, in which the reports about them expire.
const RECOVERY_TIME: Duration = Duration::from_secs(11);
/// One of this number of runs has two nodes with the same name.
const RUNS_PER_NAME_CONFLICT: u64 = 5;
/// Reports about a server that responds again expire within this time: the default of `verdicts.lasts`.
const READMISSION_TIME: Duration = Duration::from_secs(10);
/// A readmitted server gets an attempt from each node within this time.
const FIRST_ATTEMPT_TIME: Duration = Duration::from_secs(3);
/// The load in this time before the pause must be served, as the random faults are over by then.
const SERVED_TIME: Duration = Duration::from_secs(3);

/// The plan of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetPlan {
    /// Seed that the plan was generated from.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of servers.
    pub servers: usize,
    /// Requests per second at each node.
    pub rate: f64,
    /// Whether the last two nodes have the same name.
    pub has_name_conflict: bool,
    /// Schedule of the faults before the pause, which ends with all faults removed.
    pub faults: Vec<Step>,
    /// Index of the server that pauses.
    pub paused_server: usize,
    /// Duration of its pause.
    pub pause: Duration,
    /// How long all other servers pause, from the same moment on; `None` if they do not.
    pub common_pause: Option<Duration>,
}

impl FleetPlan {
    /// Generates the plan of a seed. The same seed always gives the same plan.
    pub fn from_seed(seed: u64) -> FleetPlan {
        let mut random = SeededRng(seed.wrapping_mul(0x9e37_79b9).wrapping_add(1));
        let mut number = |(min, range): (u64, u64)| min + random.next_u64() % (range + 1);
        let nodes = number(NODES) as usize;
        let servers = number(SERVERS) as usize;
        let rate = number(RATE) as f64;
        let paused_server = number((0, servers as u64 - 1)) as usize;
        let (min_pause, max_pause) = PAUSE_MS;
        let pause = Duration::from_millis(number((min_pause, max_pause - min_pause)));
        let (min_common, max_common) = COMMON_PAUSE_MS;
        let common_pause = Duration::from_millis(number((min_common, max_common - min_common)));
        FleetPlan {
            seed,
            nodes,
            servers,
            rate,
            has_name_conflict: seed.is_multiple_of(RUNS_PER_NAME_CONFLICT),
            faults: schedule::generate(seed, nodes, servers, FAULTS_DURATION),
            paused_server,
            pause,
            common_pause: (!seed.is_multiple_of(2)).then_some(common_pause.min(pause)),
        }
    }

    /// The nodes that share a name with another node, and those with a unique name.
    pub(super) fn nodes_by_conflict(&self) -> (Vec<usize>, Vec<usize>) {
        let first_conflicting = if self.has_name_conflict {
            self.nodes - 2
        } else {
            self.nodes
        };
        (0..self.nodes).partition(|node| *node >= first_conflicting)
    }

    /// How long a server takes for a request.
    pub(super) fn service_time(&self) -> Duration {
        self.spec().service_time
    }

    /// The steps of the pause, with that of all other servers at its start.
    fn pause_steps(&self) -> Vec<Step> {
        let set_paused = |server, paused| Step::SetServerPaused { server, paused };
        let others = (0..self.servers).filter(|server| *server != self.paused_server);
        let common_pause = self.common_pause.unwrap_or(Duration::ZERO);
        let mut steps = vec![set_paused(self.paused_server, true)];
        if self.common_pause.is_some() {
            steps.extend(others.clone().map(|server| set_paused(server, true)));
            steps.push(Step::Wait(common_pause));
            steps.extend(others.map(|server| set_paused(server, false)));
        }
        steps.push(Step::Wait(self.pause - common_pause));
        steps.push(set_paused(self.paused_server, false));
        steps
    }

    fn spec(&self) -> FleetSpec {
        let names = self
            .has_name_conflict
            .then(|| (self.nodes - 1, crate::fleet::node_name(self.nodes - 2)));
        FleetSpec {
            node_count: self.nodes,
            server_count: self.servers,
            node_names: names.into_iter().collect(),
            service_settings: SHORT_SLOW_START.to_owned(),
            ..FleetSpec::default()
        }
    }
}

/// The outcome of a run.
pub struct FleetOutcome {
    /// All events.
    pub history: Arc<History>,
    /// Findings and counts.
    pub check_result: CheckResult,
}

/// Executes a plan and checks the run. With `blocks_server`, the path from the first node to the paused server is blocked
/// after the pause: the node then never uses the server again, as if it still counted attempts in flight there.
///
/// # Errors
/// Fails if a process does not start.
pub async fn run(
    program: &Program,
    plan: &FleetPlan,
    blocks_server: bool,
    meter: &StallMeter,
) -> Result<FleetOutcome> {
    let history = Arc::new(History::start());
    let started = Instant::now();
    let mut fleet = TestFleet::start_with_history(program, &plan.spec(), history.clone()).await?;
    fleet.network().set_seed(plan.seed);
    let load = fleet.start_load(plan.rate, AT_MOST_ONCE_RATIO, plan.seed);
    schedule::execute(&mut fleet, &plan.faults).await?;
    tokio::time::sleep(RECOVERY_TIME).await;
    let server = plan.paused_server;
    let poller = EjectionPoller::start(&fleet, server, &history);
    let paused_at = history.now();
    schedule::execute(&mut fleet, &plan.pause_steps()).await?;
    if blocks_server {
        fleet
            .server_link(0, server)
            .update_faults(|faults| faults.is_frozen = true);
    }
    let resumed_at = history.now();
    tokio::time::sleep(READMISSION_TIME + FIRST_ATTEMPT_TIME).await;
    load.stop().await;
    let events = history.events();
    let mut findings: Vec<Finding> = find_violations(&events).into_iter().map(finding).collect();
    findings.extend(unserved_load(&events, paused_at));
    let nodes = fleet.running_nodes();
    for node in &nodes {
        findings.extend(unused_server(plan, &events, *node, resumed_at));
    }
    let pause = Pause {
        from: paused_at,
        to: resumed_at,
    };
    findings.extend(ejections::check(plan, &events, &poller, pause));
    mark_disturbed(&mut findings, &meter.stalls_since(started));
    Ok(FleetOutcome {
        history,
        check_result: CheckResult {
            findings,
            load: LoadSummary::of_fleet(&events),
            close_races: BTreeMap::new(),
        },
    })
}

/// Returns a finding if the load right before the pause was not served.
fn unserved_load(events: &[TimedEvent], paused_at: Duration) -> Option<Finding> {
    let from = paused_at.saturating_sub(SERVED_TIME);
    let queries::ServedRatio { ratio, requests } = queries::served_ratio(events, from, paused_at);
    let served = (ratio * requests as f64).round() as usize;
    unserved(requests, served, from, paused_at)
}

fn finding(violation: Violation) -> Finding {
    let response_time = violation.at.saturating_sub(violation.from);
    let (rule, overrun) = match violation.kind {
        ViolationKind::SecondEffect | ViolationKind::EffectOfRejected => {
            (Rule::NoSecondEffect, None)
        }
        ViolationKind::NoResponse => (Rule::Answered, None),
        ViolationKind::LateResponse => {
            let overrun = response_time.saturating_sub(DEADLINE + SCHEDULING_SLACK);
            (Rule::AnsweredInTime, Some(overrun))
        }
    };
    Finding {
        rule,
        from: violation.from,
        at: violation.at,
        overrun,
        text: violation.text,
        disturbed_for: None,
    }
}

/// Returns a finding if a node sent the server no attempt in time after the pause.
fn unused_server(
    plan: &FleetPlan,
    events: &[TimedEvent],
    node: usize,
    resumed_at: Duration,
) -> Option<Finding> {
    let server = plan.paused_server;
    let first_by = resumed_at + READMISSION_TIME + FIRST_ATTEMPT_TIME;
    let is_used = !queries::attempts(events, server, resumed_at, first_by, &[node]).is_empty();
    let name = server_name(server);
    (!is_used).then(|| Finding {
        rule: Rule::UsedAgain,
        from: resumed_at,
        at: first_by,
        overrun: None,
        text: format!(
            "node {node} sent {name} no attempt for {:?} after its pause",
            first_by - resumed_at
        ),
        disturbed_for: None,
    })
}
