//! A day of upgrades: processes that take over from each other under load, drains that are lifted, and successors that are
//! killed.

use super::client::{spawn_clients, ClientContext, LoadPhase};
use super::endings::start_server;
use super::judge::{judge_upgrades, Drain, Judgement, ProcessEnd};
use super::plan::{NodeForm, NodeSignal};
use super::process::{has_crashed, NodeConfiguration, NodePlace, NodeProcess, KILL_MARGIN};
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

/// The load before the first step.
const WARM_UP: Duration = Duration::from_millis(500);
/// The load after the last step.
const AFTER_LAST_STEP: Duration = Duration::from_millis(500);
/// Service times of the servers: that of the last is long enough for requests to be in flight at every step.
const SERVICE_TIMES: [Duration; 4] = [
    Duration::from_millis(4),
    Duration::from_millis(4),
    Duration::from_millis(20),
    Duration::from_millis(60),
];

/// What was seen of the node's processes.
#[derive(Clone, Debug, Default)]
pub struct SeenUpgrades {
    /// When successors were killed.
    pub killed_at: Vec<Duration>,
    /// The times in which the first server drained.
    pub drains: Vec<Drain>,
    /// The ends of the processes that were told to end.
    pub ends: Vec<ProcessEnd>,
}

/// What a day was played with, and what was seen.
pub struct UpgradesOutcome {
    /// What clients and servers saw.
    pub record: Arc<Record>,
    /// What came of it.
    pub judgement: Judgement,
    /// What the processes have logged.
    pub log: String,
}

/// The node, and what it is connected to.
struct Day<'a> {
    program: &'a Program,
    plan: &'a UpgradePlan,
    record: &'a Record,
    place: NodePlace,
    process: NodeProcess,
    discovery: Discovery,
    listed: Vec<ListedServer>,
    seen: SeenUpgrades,
}

/// Plays a day and judges it.
///
/// # Errors
/// Fails if a stand-in or a process does not start.
pub async fn play(
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
    let place = NodePlace::reserve()?;
    place.configure(&NodeConfiguration {
        form: NodeForm::Platform,
        discovery: discovery.address,
        servers: Vec::new(),
        deadline: plan.deadline,
    })?;
    let process = NodeProcess::start_managed(program, &place)?;
    wait_for_health(place.address(), "/_health", true).await?;
    let (phase_sender, phase) = watch::channel(LoadPhase::Connecting);
    let context = Arc::new(ClientContext {
        address: place.address(),
        form: NodeForm::Platform,
        deadline: plan.deadline,
        record: record.clone(),
        phase,
    });
    let mut clients = spawn_clients(&context, &plan.clients, plan.seed);
    sleep(WARM_UP).await;
    let mut day = Day {
        program,
        plan,
        record: &record,
        place,
        process,
        discovery,
        listed,
        seen: SeenUpgrades::default(),
    };
    for timed in &plan.steps {
        sleep(timed.wait).await;
        day.record.add_note(format!("{:?}", timed.step));
        day.take(timed.step).await?;
    }
    sleep(AFTER_LAST_STEP).await;
    phase_sender.send_replace(LoadPhase::Over);
    while clients.join_next().await.is_some() {}
    let stalls = meter.stalls_since(record.started());
    let judgement = judge_upgrades(plan, &record, &day.seen, &stalls);
    let log = day.place.log();
    drop(day);
    Ok(UpgradesOutcome {
        record,
        judgement,
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

impl Day<'_> {
    async fn take(&mut self, step: UpgradeStep) -> Result<()> {
        match step {
            UpgradeStep::Upgrade => self.upgrade().await,
            UpgradeStep::KilledSuccessor(after) => {
                let mut successor = NodeProcess::start_managed(self.program, &self.place)?;
                sleep(after).await;
                self.seen.killed_at.push(self.record.now());
                successor.kill().await;
                Ok(())
            }
            UpgradeStep::DrainNode(lasts) => {
                self.manage("/-/drain").await?;
                sleep(lasts).await;
                self.manage("/-/resume").await
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

    /// Replaces the process. The old one ends while its successor serves.
    async fn upgrade(&mut self) -> Result<()> {
        let successor = NodeProcess::start_managed(self.program, &self.place)?;
        successor.wait_until_ready().await?;
        let mut old = std::mem::replace(&mut self.process, successor);
        let terminated_at = self.record.now();
        old.signal(NodeSignal::Terminate);
        let time_to_end = self.plan.deadline + KILL_MARGIN;
        let status = timeout(time_to_end, old.wait()).await;
        let status = status.ok().and_then(Result::ok);
        self.seen.ends.push(ProcessEnd {
            trouble_at: terminated_at,
            terminated_at,
            exited_at: status.map(|_| self.record.now()),
            has_crashed: status.is_some_and(has_crashed),
            killed_at: terminated_at + time_to_end,
            drain_announced_at: None,
        });
        old.kill().await;
        Ok(())
    }

    /// Sends a command to the management address of the process that serves.
    async fn manage(&self, path: &str) -> Result<()> {
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
            ServerStatus::Draining => self.seen.drains.push(Drain {
                announced_at: now,
                lifted_at: Duration::MAX,
            }),
            _ => {
                if let Some(drain) = self.seen.drains.last_mut() {
                    drain.lifted_at = now;
                }
            }
        }
        self.discovery.update(&[changed]);
    }
}
