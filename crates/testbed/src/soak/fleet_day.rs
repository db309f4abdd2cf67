//! A day of a fleet of real processes: drawn faults, then a server that pauses, and responds again.

use super::ejections::{self, EjectionWatch, Pause};
use super::judge::load::{unserved, LoadSummary};
use super::judge::{mark_disturbed, Finding, Judgement, Rule};
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

/// Nodes: this number at least, and so many more at most.
const NODES: (u64, u64) = (4, 4);
/// Servers: this number at least, and so many more at most.
const SERVERS: (u64, u64) = (6, 2);
/// Requests a second at each node: this number at least, and so many more at most.
const RATE: (u64, u64) = (20, 80);
/// Shortest and longest pause of the server, in milliseconds.
const PAUSE_MS: (u64, u64) = (300, 10_000);
/// Shortest and longest time that all servers are late, in milliseconds, on every other day.
const COMMON_PAUSE_MS: (u64, u64) = (250, 500);
/// Share of requests that must have their effect at most once.
const AT_MOST_ONCE_RATIO: f64 = 0.2;
/// How long the drawn faults last before the pause.
const FAULTS_DURATION: Duration = Duration::from_secs(5);
/// How long the fleet has for its reports of those faults to expire.
const RECOVERY_TIME: Duration = Duration::from_secs(11);
/// One day of so many has two nodes of one name.
const DAYS_PER_NAME_CONFLICT: u64 = 5;
/// Reports on a server that responds again expire within this time: the default of `verdicts.lasts`.
const READMISSION_TIME: Duration = Duration::from_secs(10);
/// A server that was readmitted gets an attempt of each node within this time.
const FIRST_ATTEMPT_TIME: Duration = Duration::from_secs(3);
/// The load of so long before the pause has to be served: by then the drawn faults are over.
const SERVED_TIME: Duration = Duration::from_secs(3);

/// A day of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetPlan {
    /// Its seed.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of servers.
    pub servers: usize,
    /// Requests a second at each node.
    pub rate: f64,
    /// Whether the last two nodes have one name.
    pub has_name_conflict: bool,
    /// The faults before the pause; none are left at their end.
    pub faults: Vec<Step>,
    /// The server that pauses.
    pub paused_server: usize,
    /// How long it pauses.
    pub pause: Duration,
    /// How long all other servers pause at the same time.
    pub common_pause: Option<Duration>,
}

impl FleetPlan {
    /// The day of this seed.
    pub fn draw(seed: u64) -> FleetPlan {
        let mut random = SeededRng(seed.wrapping_mul(0x9e37_79b9).wrapping_add(1));
        let mut draw = |(min, range): (u64, u64)| min + random.next_u64() % (range + 1);
        let nodes = draw(NODES) as usize;
        let servers = draw(SERVERS) as usize;
        let rate = draw(RATE) as f64;
        let paused_server = draw((0, servers as u64 - 1)) as usize;
        let (min_pause, max_pause) = PAUSE_MS;
        let pause = Duration::from_millis(draw((min_pause, max_pause - min_pause)));
        let (min_common, max_common) = COMMON_PAUSE_MS;
        let common_pause = Duration::from_millis(draw((min_common, max_common - min_common)));
        FleetPlan {
            seed,
            nodes,
            servers,
            rate,
            has_name_conflict: seed.is_multiple_of(DAYS_PER_NAME_CONFLICT),
            faults: schedule::generate(seed, nodes, servers, FAULTS_DURATION),
            paused_server,
            pause,
            common_pause: (!seed.is_multiple_of(2)).then_some(common_pause.min(pause)),
        }
    }

    /// The nodes that have the name of another one, and those that have one of their own.
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

    /// The pause of the one server, and that of all others in its first moments.
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

/// What was seen, and what came of it.
pub struct FleetOutcome {
    /// All events.
    pub history: Arc<History>,
    /// The findings.
    pub judgement: Judgement,
}

/// Plays a day and judges it. With `blocks_server`, the path from the first node to the server is blocked after the pause,
/// as if the node had not taken an attempt back that it had counted there.
///
/// # Errors
/// Fails if a process does not start.
pub async fn play(
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
    let watch = EjectionWatch::start(&fleet, server, &history);
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
    findings.extend(ejections::judge(plan, &events, &watch, pause));
    mark_disturbed(&mut findings, &meter.stalls_since(started));
    Ok(FleetOutcome {
        history,
        judgement: Judgement {
            findings,
            load: LoadSummary::of_fleet(&events),
            crossed: BTreeMap::new(),
        },
    })
}

/// The finding of a load that was not served before the pause.
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

/// Whether a node has not used the server again in time.
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
            "node {node} sent {name} nothing for {:?}",
            first_by - resumed_at
        ),
        disturbed_for: None,
    })
}
