//! Runs of kind `upgrade`: processes of a node take over from each other under load, drains start and end, and successors
//! are killed or told to end.

use super::checker::{check_upgrades, CheckResult, Drain, ProcessEnd};
use super::client::{spawn_clients, ClientContext, LoadPhase};
use super::endings::start_server;
use super::plan::{ConfigSource, NodeSignal};
use super::process::{has_crashed, NodeConfiguration, NodeProcess, NodeWorkspace, KILL_MARGIN};
use super::record::Record;
use super::stalls::StallMeter;
use super::upgrade_plan::{UpgradePlan, UpgradeStep};
use crate::client::Client as ManagementClient;
use crate::discovery::{Discovery, ListedServer, ServerStatus};
use crate::node::{wait_for_health, Program};
use crate::pool::Server;
use crate::Result;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Duration of the load before the first step.
const WARM_UP: Duration = Duration::from_millis(500);
/// Duration of the load after the last step.
const AFTER_LAST_STEP: Duration = Duration::from_millis(500);
/// Service times of the servers. The last is long enough for requests to be in flight at every step.
const SERVICE_TIMES: [Duration; 4] = [
    Duration::from_millis(4),
    Duration::from_millis(4),
    Duration::from_millis(20),
    Duration::from_millis(60),
];

/// Events of the run that the checker takes into account.
#[derive(Clone, Debug, Default)]
pub struct ObservedUpgrades {
    /// When successors were killed.
    pub killed_at: Vec<Duration>,
    /// The drains of the first server.
    pub drains: Vec<Drain>,
    /// The shutdowns of the processes that got SIGTERM.
    pub ends: Vec<ProcessEnd>,
}

/// The outcome of a run.
pub struct UpgradesOutcome {
    /// What clients and servers observed.
    pub record: Arc<Record>,
    /// Findings and counts.
    pub check_result: CheckResult,
    /// The log of all processes.
    pub log: String,
}

/// A run in progress: the node and its stand-ins.
struct UpgradeRun<'a> {
    program: &'a Program,
    plan: &'a UpgradePlan,
    record: &'a Record,
    workspace: NodeWorkspace,
    process: NodeProcess,
    discovery: Discovery,
    listed: Vec<ListedServer>,
    observed: ObservedUpgrades,
}

/// Executes a plan and checks the run.
///
/// # Errors
/// Fails if a stand-in or a process does not start.
pub async fn run(
    program: &Program,
    plan: &UpgradePlan,
    meter: &StallMeter,
) -> Result<UpgradesOutcome> {
    let record = Arc::new(Record::start());
    let servers = start_servers(plan, &record).await?;
    let listed: Vec<ListedServer> = servers
        .iter()
        .map(|server| ListedServer::active(&server.name, server.address))
        .collect();
    let discovery = Discovery::start(listed.clone()).await?;
    let workspace = NodeWorkspace::reserve()?;
    workspace.configure(&NodeConfiguration {
        config_source: ConfigSource::Platform,
        discovery: discovery.address,
        servers: Vec::new(),
        deadline: plan.deadline,
    })?;
    let process = NodeProcess::start_managed(program, &workspace)?;
    wait_for_health(workspace.address(), "/_health", true).await?;
    let (phase_sender, phase) = watch::channel(LoadPhase::Connecting);
    let context = Arc::new(ClientContext {
        address: workspace.address(),
        deadline: plan.deadline,
        record: record.clone(),
        phase,
    });
    let mut clients = spawn_clients(&context, &plan.clients, plan.seed);
    sleep(WARM_UP).await;
    let mut run = UpgradeRun {
        program,
        plan,
        record: &record,
        workspace,
        process,
        discovery,
        listed,
        observed: ObservedUpgrades::default(),
    };
    for timed in &plan.steps {
        sleep(timed.wait).await;
        run.record.add_note(format!("{:?}", timed.step));
        run.execute(timed.step).await?;
    }
    sleep(AFTER_LAST_STEP).await;
    phase_sender.send_replace(LoadPhase::Stopped);
    while clients.join_next().await.is_some() {}
    let stalls = meter.stalls_since(record.started());
    let check_result = check_upgrades(plan, &record, &run.observed, &stalls);
    let log = run.workspace.log();
    drop(run);
    Ok(UpgradesOutcome {
        record,
        check_result,
        log,
    })
}

async fn start_servers(plan: &UpgradePlan, record: &Arc<Record>) -> Result<Vec<Server>> {
    let mut servers = Vec::with_capacity(plan.servers.len());
    for (index, service_time) in SERVICE_TIMES.into_iter().enumerate() {
        servers.push(start_server(index, service_time, plan.seed, record).await?);
    }
    Ok(servers)
}

impl UpgradeRun<'_> {
    async fn execute(&mut self, step: UpgradeStep) -> Result<()> {
        match step {
            UpgradeStep::Upgrade => self.upgrade().await,
            UpgradeStep::KillSuccessor(after) => {
                let mut successor = NodeProcess::start_managed(self.program, &self.workspace)?;
                sleep(after).await;
                self.observed.killed_at.push(self.record.now());
                successor.kill().await;
                Ok(())
            }
            UpgradeStep::TakeBack(after) => {
                let successor = NodeProcess::start_managed(self.program, &self.workspace)?;
                sleep(after).await;
                self.terminate(successor).await;
                Ok(())
            }
            UpgradeStep::DrainNode(lasts) => {
                self.call_management("/-/drain").await?;
                sleep(lasts).await;
                self.call_management("/-/resume").await
            }
            UpgradeStep::DrainServer(lasts) => {
                self.set_first_server(ServerStatus::Draining);
                sleep(lasts).await;
                self.set_first_server(ServerStatus::Active);
                Ok(())
            }
            UpgradeStep::DrainServerAndUpgrade(lasts) => {
                self.set_first_server(ServerStatus::Draining);
                self.upgrade().await?;
                sleep(lasts).await;
                self.set_first_server(ServerStatus::Active);
                Ok(())
            }
        }
    }

    /// Replaces the process, and waits for the exit of the old one while its successor serves.
    async fn upgrade(&mut self) -> Result<()> {
        let successor = NodeProcess::start_managed(self.program, &self.workspace)?;
        successor.wait_until_ready().await?;
        let old = std::mem::replace(&mut self.process, successor);
        self.terminate(old).await;
        Ok(())
    }

    /// Sends SIGTERM to a process and waits for its exit; it is killed as early as that may happen.
    async fn terminate(&mut self, mut process: NodeProcess) {
        let terminated_at = self.record.now();
        process.signal(NodeSignal::Terminate);
        let time_to_end = self.plan.deadline + KILL_MARGIN;
        let status = timeout(time_to_end, process.wait()).await;
        let status = status.ok().and_then(Result::ok);
        self.observed.ends.push(ProcessEnd {
            faults_started_at: terminated_at,
            terminated_at,
            exited_at: status.map(|_| self.record.now()),
            has_crashed: status.is_some_and(has_crashed),
            killed_at: terminated_at + time_to_end,
            drain_announced_at: None,
        });
        process.kill().await;
    }

    /// Sends a command to the management address of the current process.
    async fn call_management(&self, path: &str) -> Result<()> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header("host", "node")
            .body(Full::new(Bytes::new()))?;
        let client = ManagementClient::new(self.process.management()?);
        let response = client.send(request).await?;
        if response.status.is_success() {
            Ok(())
        } else {
            Err(format!("{path} was answered {}", response.status).into())
        }
    }

    fn set_first_server(&mut self, status: ServerStatus) {
        let Some(first) = self.listed.first() else {
            return;
        };
        let mut changed = first.clone();
        changed.status = status;
        let now = self.record.now();
        match status {
            ServerStatus::Draining => self.observed.drains.push(Drain {
                announced_at: now,
                lifted_at: Duration::MAX,
            }),
            _ => {
                if let Some(drain) = self.observed.drains.last_mut() {
                    drain.lifted_at = now;
                }
            }
        }
        self.discovery.update(&[changed]);
    }
}
