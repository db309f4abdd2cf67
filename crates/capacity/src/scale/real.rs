//! Real nodes beside the simulated ones: processes of the node's program in the same fleet, which serve requests from
//! stub servers while they follow a list of the run's size. Started by [`single`](super::single).

use super::datagram::KEY_FILE;
use super::discovery_stub::server_name;
use super::error::ScaleError;
use super::fleet_state::ZONES;
use super::network::Network;
use super::real_settings::RealFleet;
use super::report::{PerNode, RequestTimes, Run, Size, Source, Times};
use hdrhistogram::Histogram;
use reelfall_testbed::discovery::{Discovery, ListedServer};
use reelfall_testbed::load::{self, Workload};
use reelfall_testbed::node::{cpu_seconds, memory_kib, Folder, Node};
use reelfall_testbed::pool::{Server, ServerBehavior};
use reelfall_testbed::scripted::Program;
use reelfall_testbed::{AbortOnDrop, Result};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Stub servers of the service that serves requests.
const SERVER_COUNT: usize = 8;
/// Requests that each stub server serves concurrently.
const SERVER_CAPACITY: usize = 16;
/// Service time of a request.
pub const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Requests per second at each real node.
pub const REQUEST_RATE: f64 = 40.0;
/// Largest number of servers in a list: nodes reject lists above 4 MiB.
pub const MAX_LISTED_SERVERS: usize = 20_000;
/// Percentage of requests that have to be served for the response times to be meaningful.
const MIN_SERVED_PERCENT: u64 = 98;
/// Multiplier of the seed, so that the clients of different nodes and rounds get different seeds.
const LOAD_SEED_FACTOR: u64 = 97;
/// Microseconds per second.
const MICROSECONDS: f64 = 1e6;
/// The port of listed servers (discard): nothing listens there.
const UNUSED_PORT: u16 = 9;

/// The real nodes, their stub servers and their discovery service, which all stop when this is dropped.
pub struct RealNodes {
    nodes: Vec<RunningNode>,
    discovery: Discovery,
    _servers: Vec<Server>,
    _folder: Folder,
}

/// A running node process, which is killed when this is dropped.
struct RunningNode {
    address: SocketAddr,
    pid: u32,
    _task: AbortOnDrop,
}

impl RunningNode {
    /// Reads the output of a node continuously, so that the node never blocks on a full pipe.
    fn supervise(mut node: Node) -> RunningNode {
        let (address, pid) = (node.address(), node.pid());
        let task = reelfall_testbed::spawn(async move {
            while node.next_log_line().await.is_some() {}
            // Reaps the process.
            let _ = node.wait_for_exit().await;
        });
        RunningNode {
            address,
            pid,
            _task: task,
        }
    }
}

/// Processor time that all nodes had used at one time, in seconds.
pub struct Usage {
    cpu: f64,
}

impl RealNodes {
    /// Starts `count` nodes in the network's fleet, each with a list of `listed` servers, at most [`MAX_LISTED_SERVERS`].
    ///
    /// # Errors
    /// If a server, the discovery service or a node can't be started.
    pub async fn start(
        program: &Program,
        count: usize,
        network: &Network,
        listed: usize,
    ) -> Result<Self> {
        let servers = start_servers().await?;
        let entry = |index: usize| ListedServer::active(&server_name(index), listed_address(index));
        let entries = (0..listed.min(MAX_LISTED_SERVERS)).map(entry).collect();
        let discovery = Discovery::start(entries).await?;
        let folder = Folder::new()?;
        let key_file = folder.path().join("fleet.key");
        std::fs::write(&key_file, KEY_FILE)?;
        let fleet = RealFleet {
            count,
            network,
            key_file: &key_file,
            servers: &servers,
            discovery: discovery.address,
        };
        let mut nodes = Vec::with_capacity(count);
        for index in 0..count {
            let node = Node::start(program, &fleet.settings(index)).await?;
            node.wait_for_health("/_health", true).await?;
            if let Some(address) = node.fleet {
                network.add_external(address, index % ZONES);
            }
            nodes.push(RunningNode::supervise(node));
        }
        Ok(RealNodes {
            nodes,
            discovery,
            _servers: servers,
            _folder: folder,
        })
    }

    /// Returns the number of real nodes.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// Sends the restart of a listed server to the nodes. Servers beyond [`MAX_LISTED_SERVERS`] are not listed and are ignored.
    pub fn list_restart(&self, server: usize) {
        if server >= MAX_LISTED_SERVERS {
            return;
        }
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let since_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let entry = ListedServer::active(&server_name(server), listed_address(server));
        self.discovery.update(&[ListedServer { since_ms, ..entry }]);
    }

    /// Returns the processor time that the nodes have used so far.
    ///
    /// # Errors
    /// If a node has exited.
    pub fn usage(&self) -> Result<Usage> {
        let mut cpu = 0.0;
        for node in &self.nodes {
            cpu += cpu_seconds(node.pid)?;
        }
        Ok(Usage { cpu })
    }

    /// Returns the mean usage of a node since `since`, as a run.
    ///
    /// # Errors
    /// If a node has exited.
    pub fn run(&self, name: &str, size: &Size, since: &Usage, seconds: f64) -> Result<Run> {
        let count = self.nodes.len().max(1) as f64;
        let mut memory = 0.0;
        for node in &self.nodes {
            memory += (memory_kib(node.pid)? << 10) as f64;
        }
        let cpu = (self.usage()?.cpu - since.cpu).max(0.0) / seconds / count;
        Ok(Run {
            name: name.to_owned(),
            source: Source::RealNodes,
            size: *size,
            seconds,
            per_node: PerNode {
                cpu,
                memory: Some(memory / count),
                ..PerNode::default()
            },
            in_force: None,
            requests: None,
            read_bytes: None,
            played: None,
        })
    }

    /// Sends requests to every node for `seconds` seconds. Returns the response times in microseconds.
    ///
    /// # Errors
    /// If fewer than [`MIN_SERVED_PERCENT`] percent were served, or there is no node.
    pub async fn load(&self, seconds: f64, seed: u64) -> Result<Histogram<u64>> {
        let duration = Duration::from_secs_f64(seconds);
        let mut clients = tokio::task::JoinSet::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let address = node.address;
            let kinds = [Workload::evaluate(
                format!("scale{index}x{seed}"),
                REQUEST_RATE,
            )];
            let client_seed = seed
                .wrapping_mul(LOAD_SEED_FACTOR)
                .wrapping_add(index as u64);
            clients.spawn(async move { load::run(address, &kinds, duration, client_seed).await });
        }
        let mut latency: Option<Histogram<u64>> = None;
        let (mut sent, mut served) = (0, 0);
        while let Some(responses) = clients.join_next().await {
            for responses in responses? {
                sent += responses.sent;
                served += responses.with_status(&[200]);
                match &mut latency {
                    Some(latency) => latency.add(&responses.latency)?,
                    None => latency = Some(responses.latency.clone()),
                }
            }
        }
        if served * 100 < sent * MIN_SERVED_PERCENT {
            return Err(ScaleError::RequestsFailed { served, sent }.into());
        }
        Ok(latency.ok_or(ScaleError::NoRequests)?)
    }
}

async fn start_servers() -> Result<Vec<Server>> {
    let mut servers = Vec::with_capacity(SERVER_COUNT);
    for index in 0..SERVER_COUNT {
        let name = format!("s{index}");
        let behavior = ServerBehavior::healthy(SERVICE_TIME);
        let server = Server::start(&name, SERVER_CAPACITY, behavior, index as u64).await?;
        servers.push(server);
    }
    Ok(servers)
}

/// Computes the distributions of response times over several rounds; `None` without rounds.
///
/// # Errors
/// If the histograms of two rounds can't be added.
pub fn request_times(
    at_rest: &[Histogram<u64>],
    under_changes: &[Histogram<u64>],
) -> Result<Option<RequestTimes>> {
    let (Some(at_rest), Some(under_changes)) =
        (distribution(at_rest)?, distribution(under_changes)?)
    else {
        return Ok(None);
    };
    Ok(Some(RequestTimes {
        at_rest,
        under_changes,
    }))
}

fn distribution(rounds: &[Histogram<u64>]) -> Result<Option<Times>> {
    let Some((first, others)) = rounds.split_first() else {
        return Ok(None);
    };
    let mut all = first.clone();
    for other in others {
        all.add(other)?;
    }
    let seconds = |us: u64| us as f64 / MICROSECONDS;
    Ok(Some(Times {
        p50: seconds(all.value_at_quantile(0.5)),
        p99: seconds(all.value_at_quantile(0.99)),
        last: seconds(all.max()),
    }))
}

/// Returns the address of a listed server. Nothing listens there, and no request is sent to it.
fn listed_address(server: usize) -> SocketAddr {
    // Addresses start at 127.77.1.0.
    let [_, _, high, low] = (server as u32 + 256).to_be_bytes();
    SocketAddr::from(([127, 77, high, low], UNUSED_PORT))
}
