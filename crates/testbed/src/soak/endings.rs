//! Runs of kind `endings`: a node under load is shut down by SIGTERM while servers and discovery have faults.

use super::checker::{check, CheckResult, ProcessEnd};
use super::client::{hold_idle_connection, spawn_clients, ClientContext, LoadPhase};
use super::injected_violation::InjectedViolation;
use super::plan::{ConfigSource, DiscoveryFault, EndingsPlan, NodeSignal, ServerFault, SignalTime};
use super::process::{has_crashed, NodeConfiguration, NodeProcess, NodeWorkspace, KILL_MARGIN};
use super::record::{Record, ServerEvent};
use super::stalls::StallMeter;
use crate::discovery::{Discovery, ListedServer, ServerStatus};
use crate::link::Link;
use crate::node::{wait_for_health, Program};
use crate::pool::{RequestEvent, Server, ServerBehavior};
use crate::Result;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// How long a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(4);
/// Number of requests that a server processes at the same time.
const SERVER_WORKERS: usize = 8;
/// Longest wait for an answer to a request of each kind before the idle clients connect.
const FIRST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of idle clients that exhaust the node's connections.
const IDLE_CLIENTS: usize = 120;
/// Rate of the slow path to a server, in bytes per second.
const SLOW_PATH_RATE: u64 = 2000;
/// Share of requests whose connection a server closes before the effect, and of those whose connection it closes after
/// the effect, while it has the fault [`ServerFault::ClosesConnections`].
const CLOSED_RATIO: f64 = 0.2;

/// The outcome of a run.
pub struct EndingsOutcome {
    /// What clients and servers observed.
    pub record: Arc<Record>,
    /// Findings and counts.
    pub check_result: CheckResult,
    /// The log of the node.
    pub log: String,
}

/// The stand-ins of a run, and the network paths between them and the node.
struct StandIns {
    servers: Vec<Server>,
    /// The paths to the servers; `None` for an unreachable one.
    server_links: Vec<Option<Link>>,
    discovery: Discovery,
    discovery_link: Option<Link>,
    /// The path from the clients to the node, in runs with an injected violation.
    client_link: Option<Link>,
    listed: Vec<ListedServer>,
}

/// Executes a plan and checks the run.
///
/// # Errors
/// Fails if a stand-in or the node does not start.
pub async fn run(
    program: &Program,
    plan: &EndingsPlan,
    violation: Option<InjectedViolation>,
    meter: &StallMeter,
) -> Result<EndingsOutcome> {
    let record = Arc::new(Record::start());
    let workspace = NodeWorkspace::reserve()?;
    let mut stand_ins = StandIns::start(plan, &record, &workspace, violation).await?;
    workspace.configure(&stand_ins.configuration(plan))?;
    let mut node = NodeProcess::start(program, &workspace, plan.config_source)?;
    record.add_note("the node was started");
    if !matches!(plan.signal_time, SignalTime::AfterStart(_)) {
        wait_for_health(workspace.address(), "/_health", true).await?;
        record.add_note("the node is ready");
    }
    let (phase_sender, phase) = watch::channel(LoadPhase::Connecting);
    let client_address = stand_ins
        .client_link
        .as_ref()
        .map_or(workspace.address(), |link| link.address);
    let context = Arc::new(ClientContext {
        address: client_address,
        deadline: plan.deadline,
        record: record.clone(),
        phase,
    });
    let mut clients = start_clients(plan, &context).await;
    match plan.signal_time {
        SignalTime::UnderLoad(time)
        | SignalTime::AfterStart(time)
        | SignalTime::AfterReady(time) => {
            sleep(time).await;
        }
    }
    let faults_started_at = record.now();
    let drain_announced_at = stand_ins.start_faults(plan, &record);
    if plan.replaces_configuration {
        workspace.configure(&stand_ins.configuration(plan))?;
    }
    stand_ins.inject_violation(violation);
    let mut end = send_signals(plan, &mut node, &record, &phase_sender).await;
    end.faults_started_at = faults_started_at;
    end.drain_announced_at = drain_announced_at;
    await_end(&mut node, &record, &mut end).await;
    phase_sender.send_replace(LoadPhase::Stopped);
    drop(stand_ins);
    while clients.join_next().await.is_some() {}
    let stalls = meter.stalls_since(record.started());
    let check_result = check(plan, &record, &end, &stalls);
    Ok(EndingsOutcome {
        record,
        check_result,
        log: workspace.log(),
    })
}

/// Starts the clients, then the idle clients of a run that exhausts the node's connections. The idle clients connect once
/// the node has answered requests, unless the signals come right after the start.
async fn start_clients(plan: &EndingsPlan, context: &Arc<ClientContext>) -> JoinSet<()> {
    let mut clients = spawn_clients(context, &plan.clients, plan.seed);
    if plan.exhausts_connections {
        if matches!(plan.signal_time, SignalTime::UnderLoad(_)) {
            // The check of the load reports a run without answers in this time.
            let _ = timeout(FIRST_ANSWERS_TIMEOUT, context.record.first_answers()).await;
        }
        for _ in 0..IDLE_CLIENTS {
            clients.spawn(hold_idle_connection(context.clone()));
        }
    }
    clients
}

/// Sends the series of signals. Some time after the first SIGTERM clients open no more connections.
async fn send_signals(
    plan: &EndingsPlan,
    node: &mut NodeProcess,
    record: &Record,
    phase: &watch::Sender<LoadPhase>,
) -> ProcessEnd {
    let mut terminated_at = None;
    for timed in &plan.signals {
        sleep(timed.pause).await;
        node.signal(timed.signal);
        record.add_note(format!("signal {:?}", timed.signal));
        if timed.signal == NodeSignal::Terminate && terminated_at.is_none() {
            terminated_at = Some(record.now());
            let (phase, connecting) = (phase.clone(), plan.connecting);
            tokio::spawn(async move {
                sleep(connecting).await;
                phase.send_if_modified(|phase| {
                    let ends = *phase == LoadPhase::Connecting;
                    if ends {
                        *phase = LoadPhase::KeepingConnections;
                    }
                    ends
                });
            });
        }
    }
    let terminated_at = terminated_at.unwrap_or_else(|| record.now());
    ProcessEnd {
        faults_started_at: terminated_at,
        terminated_at,
        exited_at: None,
        has_crashed: false,
        killed_at: terminated_at + plan.deadline + KILL_MARGIN,
        drain_announced_at: None,
    }
}

/// Waits until the process exits, and kills it if it has not by the time of SIGKILL.
async fn await_end(node: &mut NodeProcess, record: &Record, end: &mut ProcessEnd) {
    let kill_at = Instant::from_std(record.started() + end.killed_at);
    if let Ok(Ok(status)) = timeout_at(kill_at, node.wait()).await {
        end.exited_at = Some(record.now());
        end.has_crashed = has_crashed(status);
        record.add_note(format!("the process exited: {status}"));
        // Clients continue until the time of SIGKILL.
        tokio::time::sleep_until(kill_at).await;
        return;
    }
    record.add_note("SIGKILL");
    node.kill().await;
}

impl StandIns {
    async fn start(
        plan: &EndingsPlan,
        record: &Arc<Record>,
        workspace: &NodeWorkspace,
        violation: Option<InjectedViolation>,
    ) -> Result<StandIns> {
        let mut servers = Vec::with_capacity(plan.servers.len());
        let mut server_links = Vec::with_capacity(plan.servers.len());
        for index in 0..plan.servers.len() {
            let server = start_server(index, SERVICE_TIME, plan.seed, record).await?;
            server_links.push(Some(Link::start(server.address).await?));
            servers.push(server);
        }
        let listed: Vec<ListedServer> = server_links
            .iter()
            .flatten()
            .enumerate()
            .map(|(index, link)| ListedServer::active(&format!("s{index}"), link.address))
            .collect();
        let discovery = Discovery::start(listed.clone()).await?;
        let discovery_link = Some(Link::start(discovery.address).await?);
        let client_link = match violation {
            Some(_) => Some(Link::start(workspace.address()).await?),
            None => None,
        };
        Ok(StandIns {
            servers,
            server_links,
            discovery,
            discovery_link,
            client_link,
            listed,
        })
    }

    fn configuration(&self, plan: &EndingsPlan) -> NodeConfiguration {
        let discovery = match &self.discovery_link {
            Some(link) => link.address,
            None => self.discovery.address,
        };
        NodeConfiguration {
            config_source: plan.config_source,
            discovery,
            servers: self.listed.iter().map(|server| server.address).collect(),
            deadline: plan.deadline,
        }
    }

    /// Starts the faults of servers and discovery. Returns when the first server was announced as draining, if it was.
    fn start_faults(&mut self, plan: &EndingsPlan, record: &Record) -> Option<Duration> {
        for (index, fault) in plan.servers.iter().enumerate() {
            self.start_server_fault(index, *fault);
        }
        record.add_note(format!(
            "faults: servers {:?}, discovery {:?}",
            plan.servers, plan.discovery
        ));
        if plan.config_source != ConfigSource::Platform {
            return None;
        }
        match plan.discovery {
            DiscoveryFault::None => None,
            DiscoveryFault::Silent => {
                if let Some(link) = &self.discovery_link {
                    link.update_faults(|faults| faults.is_frozen = true);
                }
                None
            }
            DiscoveryFault::Unavailable => {
                self.discovery_link = None;
                None
            }
            DiscoveryFault::AnnouncesDrain => {
                let mut drained = self.listed.first()?.clone();
                drained.status = ServerStatus::Draining;
                self.discovery.update(&[drained]);
                Some(record.now())
            }
        }
    }

    fn start_server_fault(&mut self, index: usize, fault: ServerFault) {
        let Some(server) = self.servers.get(index) else {
            return;
        };
        match fault {
            ServerFault::None => {}
            ServerFault::Hangs => server.update_behavior(|behavior| behavior.is_frozen = true),
            ServerFault::SlowPath => {
                if let Some(Some(link)) = self.server_links.get(index) {
                    link.update_faults(|faults| faults.bytes_per_second = Some(SLOW_PATH_RATE));
                }
            }
            ServerFault::ClosesConnections => server.update_behavior(|behavior| {
                behavior.close_before_effect_ratio = CLOSED_RATIO;
                behavior.close_after_effect_ratio = CLOSED_RATIO;
            }),
            ServerFault::Unreachable => {
                if let Some(link) = self.server_links.get_mut(index) {
                    *link = None;
                }
            }
        }
    }

    fn inject_violation(&self, violation: Option<InjectedViolation>) {
        if let (Some(link), Some(violation)) = (&self.client_link, violation) {
            link.update_faults(|faults| violation.apply(faults));
        }
    }
}

/// Starts a server that records its events.
pub(super) async fn start_server(
    index: usize,
    service_time: Duration,
    seed: u64,
    record: &Arc<Record>,
) -> Result<Server> {
    let behavior = ServerBehavior::healthy(service_time);
    let seed = seed.wrapping_add(index as u64);
    let server = Server::start(&format!("s{index}"), SERVER_WORKERS, behavior, seed).await?;
    let record = record.clone();
    server.set_observer(Arc::new(move |id, event| {
        let event = match event {
            RequestEvent::Received => ServerEvent::Received,
            RequestEvent::EffectApplied => ServerEvent::Executed,
        };
        record.add_server_event(index, id, event);
    }));
    Ok(server)
}
