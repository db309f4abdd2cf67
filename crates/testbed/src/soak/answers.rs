//! Runs of kind `answers`: servers write answers slowly, stop or break off, while a node ends, drains or is upgraded.

use super::answers_check::{check, ObservedRequest, ObservedRun, ProcessKill};
use super::answers_plan::{AnswersPlan, NodeEvent, PlannedRequest};
use super::checker::CheckResult;
use super::plan::{ConfigSource, NodeSignal, TimedSignal};
use super::process::{has_crashed, NodeConfiguration, NodeProcess, NodeWorkspace, KILL_MARGIN};
use super::stalls::StallMeter;
use crate::discovery::{Discovery, ListedServer, ServerStatus};
use crate::node::{wait_for_health, Program};
use crate::scripted::call_management;
use crate::slow_answers::{Connection, Reading, Servers};
use crate::Result;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::{spawn_blocking, JoinSet};
use tokio::time::{sleep, sleep_until, timeout_at};

/// The most of the longest deadline that counts for the time until SIGKILL.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Number of idle clients that exhaust the node's connections.
const IDLE_CLIENTS: usize = 120;
/// How long an idle client may stay after its node has ended.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// The outcome of a run.
pub struct AnswersOutcome {
    /// Findings and counts.
    pub check_result: CheckResult,
    /// What clients and servers observed, a line for each request, and the kills.
    pub history: String,
    /// The log of the node.
    pub log: String,
}

/// A run in progress.
struct AnswersRun<'a> {
    program: &'a Program,
    plan: &'a AnswersPlan,
    workspace: NodeWorkspace,
    /// `None` once it was killed.
    process: Option<NodeProcess>,
    discovery: Discovery,
    listed: Vec<ListedServer>,
    kills: Vec<ProcessKill>,
}

/// Executes a plan and checks the run.
///
/// # Errors
/// Fails if a stand-in or the node does not start, or a thread of a client panics.
pub async fn run(
    program: &Program,
    plan: &AnswersPlan,
    meter: &StallMeter,
) -> Result<AnswersOutcome> {
    let started = Instant::now();
    let servers = Servers::start();
    let listed: Vec<ListedServer> = servers
        .addresses
        .iter()
        .enumerate()
        .map(|(index, address)| ListedServer::active(&format!("s{index}"), *address))
        .collect();
    let discovery = Discovery::start(listed.clone()).await?;
    let workspace = NodeWorkspace::reserve()?;
    workspace.configure(&NodeConfiguration {
        config_source: plan.config_source,
        discovery: discovery.address,
        servers: servers.addresses.clone(),
        deadline: plan.deadline,
    })?;
    let process = match plan.config_source {
        ConfigSource::Platform => NodeProcess::start_managed(program, &workspace)?,
        ConfigSource::SettingsFile => NodeProcess::start(program, &workspace, plan.config_source)?,
    };
    wait_for_health(workspace.address(), "/_health", true).await?;
    let _idle_clients = start_idle_clients(plan, workspace.address());
    let mut clients = start_clients(plan, workspace.address(), &servers);
    let mut run = AnswersRun {
        program,
        plan,
        workspace,
        process: Some(process),
        discovery,
        listed,
        kills: Vec::new(),
    };
    sleep(plan.event_after).await;
    let event_at = Instant::now();
    run.execute(&plan.event).await?;
    let mut requests = Vec::new();
    while let Some(client) = clients.join_next().await {
        requests.extend(client?);
    }
    let observed = ObservedRun {
        started,
        event_at,
        exhausts_connections: plan.exhausts_connections,
        kills: run.kills,
        requests,
    };
    Ok(AnswersOutcome {
        check_result: check(&observed, &meter.stalls_since(started)),
        history: observed.to_text(),
        log: run.workspace.log(),
    })
}

fn start_idle_clients(plan: &AnswersPlan, node: SocketAddr) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    if plan.exhausts_connections {
        for _ in 0..IDLE_CLIENTS {
            clients.spawn(hold_connection(node));
        }
    }
    clients
}

fn start_clients(
    plan: &AnswersPlan,
    node: SocketAddr,
    servers: &Servers,
) -> JoinSet<Vec<ObservedRequest>> {
    let mut clients = JoinSet::new();
    for (number, requests) in plan.clients.iter().cloned().enumerate() {
        let servers = servers.clone();
        clients.spawn_blocking(move || run_client(number, &requests, node, &servers));
    }
    clients
}

/// Sends the requests of a client, on one connection as long as that stays open; returns what it and the servers saw.
fn run_client(
    number: usize,
    requests: &[PlannedRequest],
    node: SocketAddr,
    servers: &Servers,
) -> Vec<ObservedRequest> {
    let mut observed = Vec::new();
    let mut open: Option<Connection> = None;
    for (sequence, planned) in requests.iter().enumerate() {
        std::thread::sleep(planned.pause);
        let id = format!("c{number}-{sequence}");
        let reading = planned
            .upload
            .map_or(Reading::AtOnce, |upload| upload.reading);
        servers.plan_upload(&id, reading, planned.script.clone());
        let is_reused = open.is_some();
        let Some(mut connection) = open.take().or_else(|| Connection::open(node).ok()) else {
            // The process has ended, or its backlog is full.
            continue;
        };
        let exchanged = match &planned.upload {
            Some(upload) => {
                connection.exchange_upload(planned.class, &id, planned.time_left, upload)
            }
            None => Ok(connection.exchange(planned.class, &id, planned.time_left)),
        };
        let Ok(reception) = exchanged else {
            continue;
        };
        open = reception.leaves_connection_open().then_some(connection);
        observed.push(ObservedRequest {
            heads: servers.heads(&id),
            written: servers.written(&id),
            id,
            planned: planned.clone(),
            is_reused,
            reception,
        });
    }
    observed
}

/// Keeps a connection open that sends nothing, until the node closes it.
async fn hold_connection(node: SocketAddr) {
    if let Ok(stream) = TcpStream::connect(node).await {
        let _ = tokio::time::timeout(IDLE_TIME, stream.readable()).await;
    }
}

impl AnswersRun<'_> {
    async fn execute(&mut self, event: &NodeEvent) -> Result<()> {
        match event {
            NodeEvent::None => {}
            NodeEvent::Signals(signals) => self.send_signals(signals).await,
            NodeEvent::Upgrade => {
                let successor = NodeProcess::start_managed(self.program, &self.workspace)?;
                successor.wait_until_ready().await?;
                if let Some(old) = self.process.replace(successor) {
                    old.signal(NodeSignal::Terminate);
                    self.kill_in_time(old, Instant::now()).await;
                }
            }
            NodeEvent::Drain(lasts) => {
                self.call_management("/-/drain").await?;
                sleep(*lasts).await;
                self.call_management("/-/resume").await?;
            }
            NodeEvent::ServersDrain => {
                let half = self.listed.len() / 2;
                let mut drained = self.listed[..half].to_vec();
                for server in &mut drained {
                    server.status = ServerStatus::Draining;
                }
                self.discovery.update(&drained);
            }
        }
        Ok(())
    }

    /// Sends a series of signals, and kills the process as early as possible after the first SIGTERM.
    async fn send_signals(&mut self, signals: &[TimedSignal]) {
        let Some(process) = self.process.take() else {
            return;
        };
        let mut terminated_at = None;
        for timed in signals {
            sleep(timed.pause).await;
            process.signal(timed.signal);
            if timed.signal == NodeSignal::Terminate {
                terminated_at.get_or_insert_with(Instant::now);
            }
        }
        let terminated_at = terminated_at.unwrap_or_else(Instant::now);
        self.kill_in_time(process, terminated_at).await;
    }

    /// Waits for the exit of a process that was told to end, and kills it when that is possible at the earliest.
    async fn kill_in_time(&mut self, mut process: NodeProcess, terminated_at: Instant) {
        let counted_deadline = self.plan.deadline.min(MAX_COUNTED_DEADLINE);
        let killed_at = terminated_at + counted_deadline + KILL_MARGIN;
        let status = timeout_at(killed_at.into(), process.wait()).await;
        let status = status.ok().and_then(Result::ok);
        let exited_at = status.map(|_| Instant::now());
        // Clients go on until the time of SIGKILL.
        sleep_until(killed_at.into()).await;
        process.kill().await;
        self.kills.push(ProcessKill {
            terminated_at,
            killed_at,
            exited_at,
            has_crashed: status.is_some_and(has_crashed),
        });
    }

    /// Sends a command to the management address of the current process.
    async fn call_management(&self, path: &'static str) -> Result<()> {
        let process = self.process.as_ref().ok_or("the process has ended")?;
        let management = process.management()?;
        let status = spawn_blocking(move || call_management(management, "POST", path)).await?;
        if status == 200 {
            Ok(())
        } else {
            Err(format!("{path} was answered {status}").into())
        }
    }
}
