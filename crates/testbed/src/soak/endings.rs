//! A day of endings: a node under load is told to end, in the middle of other trouble.

use super::client::{idle, spawn_clients, ClientContext, LoadPhase};
use super::judge::{judge, Judgement, ProcessEnd};
use super::plan::{DiscoveryFault, EndingsPlan, NodeForm, NodeSignal, ServerFault, SignalTime};
use super::process::{has_crashed, NodeConfiguration, NodePlace, NodeProcess, KILL_MARGIN};
use super::record::{Record, ServerEvent};
use super::sabotage::Sabotage;
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
/// Requests that a server processes at a time.
const SERVER_WORKERS: usize = 8;
/// Longest wait for an answer to a request of each kind, before a crowd comes.
const FIRST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle clients of a crowd.
const CROWD: usize = 120;
/// Rate of a slow path, in bytes per second.
const SLOW_PATH_RATE: u64 = 2000;
/// Share of requests whose connection is closed, before and after the effect each, by a server that does that.
const CLOSED_RATIO: f64 = 0.2;

/// What a day was played with, and what was seen.
pub struct EndingsOutcome {
    /// What clients and servers saw.
    pub record: Arc<Record>,
    /// What came of it.
    pub judgement: Judgement,
    /// What the node has logged.
    pub log: String,
}

/// The stand-ins of a day.
struct Surroundings {
    servers: Vec<Server>,
    /// The paths to the servers, as far as they are open.
    server_links: Vec<Option<Link>>,
    discovery: Discovery,
    discovery_link: Option<Link>,
    /// A path from the clients to the node that breaks a rule on purpose.
    client_link: Option<Link>,
    listed: Vec<ListedServer>,
}

/// Plays a day and judges it.
///
/// # Errors
/// Fails if a stand-in or the node does not start.
pub async fn play(
    program: &Program,
    plan: &EndingsPlan,
    sabotage: Option<Sabotage>,
    meter: &StallMeter,
) -> Result<EndingsOutcome> {
    let record = Arc::new(Record::start());
    let place = NodePlace::reserve()?;
    let mut surroundings = Surroundings::start(plan, &record, &place, sabotage).await?;
    place.configure(&surroundings.configuration(plan))?;
    let mut node = NodeProcess::start(program, &place, plan.form)?;
    record.add_note("the node is started");
    if !matches!(plan.signal_time, SignalTime::AfterStart(_)) {
        wait_for_health(place.address(), "/_health", true).await?;
        record.add_note("the node is ready");
    }
    let (phase_sender, phase) = watch::channel(LoadPhase::Connecting);
    let client_address = surroundings
        .client_link
        .as_ref()
        .map_or(place.address(), |link| link.address);
    let context = Arc::new(ClientContext {
        address: client_address,
        form: plan.form,
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
    let trouble_at = record.now();
    let drain_announced_at = surroundings.begin_trouble(plan, &record);
    if plan.replaces_configuration {
        place.configure(&surroundings.configuration(plan))?;
    }
    surroundings.begin_sabotage(sabotage);
    let mut end = send_signals(plan, &mut node, &record, &phase_sender).await;
    end.trouble_at = trouble_at;
    end.drain_announced_at = drain_announced_at;
    await_end(&mut node, &record, &mut end).await;
    phase_sender.send_replace(LoadPhase::Over);
    drop(surroundings);
    while clients.join_next().await.is_some() {}
    let stalls = meter.stalls_since(record.started());
    let judgement = judge(plan, &record, &end, &stalls);
    Ok(EndingsOutcome {
        record,
        judgement,
        log: place.log(),
    })
}

/// Starts the clients, and the crowd behind them: it comes to a node in use, unless the signals come right after the start.
async fn start_clients(plan: &EndingsPlan, context: &Arc<ClientContext>) -> JoinSet<()> {
    let mut clients = spawn_clients(context, &plan.clients, plan.seed);
    if plan.has_crowd {
        if matches!(plan.signal_time, SignalTime::UnderLoad(_)) {
            // A day on which nothing is answered in this time is a finding.
            let _ = timeout(FIRST_ANSWERS_TIMEOUT, context.record.first_answers()).await;
        }
        for _ in 0..CROWD {
            clients.spawn(idle(context.clone()));
        }
    }
    clients
}

/// Sends the series of signals. New connections end some time after the first SIGTERM.
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
        trouble_at: terminated_at,
        terminated_at,
        exited_at: None,
        has_crashed: false,
        killed_at: terminated_at + plan.deadline + KILL_MARGIN,
        drain_announced_at: None,
    }
}

/// Waits until the process has ended or SIGKILL comes, which then ends it.
async fn await_end(node: &mut NodeProcess, record: &Record, end: &mut ProcessEnd) {
    let kill_at = Instant::from_std(record.started() + end.killed_at);
    if let Ok(Ok(status)) = timeout_at(kill_at, node.wait()).await {
        end.exited_at = Some(record.now());
        end.has_crashed = has_crashed(status);
        record.add_note(format!("the process has ended: {status}"));
        // Clients go on until SIGKILL.
        tokio::time::sleep_until(kill_at).await;
        return;
    }
    record.add_note("SIGKILL");
    node.kill().await;
}

impl Surroundings {
    async fn start(
        plan: &EndingsPlan,
        record: &Arc<Record>,
        place: &NodePlace,
        sabotage: Option<Sabotage>,
    ) -> Result<Surroundings> {
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
        let client_link = match sabotage {
            Some(_) => Some(Link::start(place.address()).await?),
            None => None,
        };
        Ok(Surroundings {
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
            form: plan.form,
            discovery,
            servers: self.listed.iter().map(|server| server.address).collect(),
            deadline: plan.deadline,
        }
    }

    /// Begins the faults of servers and discovery. Returns when the first server was announced as draining, if it was.
    fn begin_trouble(&mut self, plan: &EndingsPlan, record: &Record) -> Option<Duration> {
        for (index, fault) in plan.servers.iter().enumerate() {
            self.begin_server_fault(index, *fault);
        }
        record.add_note(format!("trouble: {:?}, {:?}", plan.servers, plan.discovery));
        if plan.form != NodeForm::Platform {
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
            DiscoveryFault::Gone => {
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

    fn begin_server_fault(&mut self, index: usize, fault: ServerFault) {
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

    fn begin_sabotage(&self, sabotage: Option<Sabotage>) {
        if let (Some(link), Some(sabotage)) = (&self.client_link, sabotage) {
            link.update_faults(|faults| sabotage.apply(faults));
        }
    }
}

/// Starts a server whose events are recorded.
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
