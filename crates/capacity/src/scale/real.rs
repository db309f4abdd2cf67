//! Real nodes beside the hollow ones: processes of the program in the same fleet, which serve requests from stand-in
//! servers while they follow a list of the run's size.

use super::hollow::{FLEET_NAME, KEY_FILE};
use super::lists::server_name;
use super::network::Network;
use super::report::{PerNode, RequestTimes, Run, Size, Source, Times};
use super::shared::{zone_name, ZONES};
use hdrhistogram::Histogram;
use reelfall_testbed::discovery::{Discovery, ListedServer};
use reelfall_testbed::load::{self, Workload};
use reelfall_testbed::node::{cpu_seconds, memory_kib, Folder, Node};
use reelfall_testbed::pool::{Server, ServerBehavior};
use reelfall_testbed::scripted::Program;
use reelfall_testbed::{AbortOnDrop, Result};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Stand-in servers of the service that is asked.
const SERVERS: usize = 8;
/// How long each takes for a request.
pub const TAKES: Duration = Duration::from_millis(2);
/// Requests a second at each real node.
pub const RATE: f64 = 40.0;
/// Servers of a list that a node still takes: its longest list has 4 MiB.
pub const LISTED_MOST: usize = 20_000;

/// The nodes and what they need. All of it ends when this is dropped.
pub struct RealNodes {
    nodes: Vec<Running>,
    discovery: Discovery,
    _servers: Vec<Server>,
    _folder: Folder,
}

/// One node. It is killed when this is dropped.
struct Running {
    address: SocketAddr,
    pid: u32,
    _task: AbortOnDrop,
}

impl Running {
    /// Keeps a node, and reads what it says so that it never waits for that.
    fn keep(mut node: Node) -> Running {
        let (address, pid) = (node.address(), node.pid());
        let task = reelfall_testbed::spawn(async move {
            while node.line().await.is_some() {}
            // Waited for, so that no process is left behind.
            let _ = node.ended().await;
        });
        Running {
            address,
            pid,
            _task: task,
        }
    }
}

/// Processor time of all nodes up to one moment, in seconds.
pub struct Usage {
    cpu: f64,
}

impl RealNodes {
    /// Starts so many nodes in the network's fleet, each with a list of so many servers.
    ///
    /// # Errors
    /// If something does not start.
    pub async fn start(
        program: &Program,
        count: usize,
        network: &Network,
        listed: usize,
    ) -> Result<Self> {
        let mut servers = Vec::with_capacity(SERVERS);
        for n in 0..SERVERS {
            servers.push(
                Server::start(
                    &format!("s{n}"),
                    16,
                    ServerBehavior::healthy(TAKES),
                    n as u64,
                )
                .await?,
            );
        }
        let entry = |n: usize| ListedServer::active(&server_name(n), listed_address(n));
        let discovery = Discovery::start((0..listed.min(LISTED_MOST)).map(entry).collect()).await?;
        let folder = Folder::new()?;
        let key = folder.path().join("fleet.key");
        std::fs::write(&key, KEY_FILE)?;
        let mut nodes = Vec::with_capacity(count);
        for n in 0..count {
            let text = settings(n, count, network, &key, &servers, discovery.address);
            let node = Node::start(program, &text).await?;
            node.until_health("/_health", true).await?;
            if let Some(address) = node.fleet {
                network.add_outside(address, n % ZONES);
            }
            nodes.push(Running::keep(node));
        }
        Ok(RealNodes {
            nodes,
            discovery,
            _servers: servers,
            _folder: folder,
        })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// A server of the list has restarted.
    pub fn restarted(&self, server: usize) {
        if server >= LISTED_MOST {
            return;
        }
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let since_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        let entry = ListedServer::active(&server_name(server), listed_address(server));
        self.discovery.update(&[ListedServer { since_ms, ..entry }]);
    }

    /// What they have used so far.
    ///
    /// # Errors
    /// If one is gone.
    pub fn usage(&self) -> Result<Usage> {
        let mut cpu = 0.0;
        for node in &self.nodes {
            cpu += cpu_seconds(node.pid)?;
        }
        Ok(Usage { cpu })
    }

    /// What they used since, as a run.
    ///
    /// # Errors
    /// If one is gone.
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

    /// Asks every node for so many seconds; times of requests in microseconds.
    ///
    /// # Errors
    /// If fewer than 98 of 100 were served: then the times mean nothing.
    pub async fn load(&self, seconds: f64, seed: u64) -> Result<Histogram<u64>> {
        let mut running = tokio::task::JoinSet::new();
        for (n, node) in self.nodes.iter().enumerate() {
            let (address, name) = (node.address, format!("scale{n}x{seed}"));
            let time = Duration::from_secs_f64(seconds);
            running.spawn(async move {
                let kinds = [Workload::evaluate(name, RATE)];
                load::run(
                    address,
                    &kinds,
                    time,
                    seed.wrapping_mul(97).wrapping_add(n as u64),
                )
                .await
            });
        }
        let mut all: Option<Histogram<u64>> = None;
        let (mut sent, mut good) = (0, 0);
        while let Some(done) = running.join_next().await {
            for came in done? {
                sent += came.sent;
                good += came.with_status(&[200]);
                match &mut all {
                    Some(all) => all.add(&came.latency)?,
                    None => all = Some(came.latency.clone()),
                }
            }
        }
        if good * 100 < sent * 98 {
            return Err(format!("only {good} of {sent} requests were served").into());
        }
        all.ok_or_else(|| "nothing was asked".into())
    }
}

/// Times of requests of several rounds at rest and under changes.
///
/// # Errors
/// If two rounds can't be added.
pub fn request_times(
    rest: &[Histogram<u64>],
    under: &[Histogram<u64>],
) -> Result<Option<RequestTimes>> {
    let (Some(at_rest), Some(under_changes)) = (times(rest)?, times(under)?) else {
        return Ok(None);
    };
    Ok(Some(RequestTimes {
        at_rest,
        under_changes,
    }))
}

fn times(rounds: &[Histogram<u64>]) -> Result<Option<Times>> {
    let Some((first, others)) = rounds.split_first() else {
        return Ok(None);
    };
    let mut all = first.clone();
    for other in others {
        all.add(other)?;
    }
    let seconds = |us: u64| us as f64 / 1e6;
    let (p50, p99) = (all.value_at_quantile(0.5), all.value_at_quantile(0.99));
    Ok(Some(Times {
        p50: seconds(p50),
        p99: seconds(p99),
        last: seconds(all.max()),
    }))
}

/// An address of a listed server: nobody is there, and nobody asks for it.
fn listed_address(server: usize) -> SocketAddr {
    let [_, _, high, low] = (server as u32 + 256).to_be_bytes();
    SocketAddr::from(([127, 77, high, low], 9))
}

/// The settings of one node: a service of stand-in servers that is asked, and one with the list that is not.
fn settings(
    n: usize,
    count: usize,
    network: &Network,
    key: &std::path::Path,
    servers: &[Server],
    list: SocketAddr,
) -> String {
    let seeds: Vec<String> = network
        .shared
        .seeds()
        .iter()
        .map(|seed| format!("\"{seed}\""))
        .collect();
    let server = |s: &Server| {
        format!(
            "[[service.server]]\nname = \"{}\"\naddress = \"{}\"\n",
            s.name, s.address
        )
    };
    let servers: String = servers.iter().map(server).collect();
    let service = |name: &str, source: &str, servers: &str| {
        format!(
            "[[service]]\nname = \"{name}\"\n{source}cold = {{ warm_after = \"50ms\" }}\n[[service.class]]\n\
             name = \"{name}\"\nrepeat = \"safe\"\naim = \"200ms\"\ndeadline = \"2s\"\n[[service.route]]\n\
             host = \"{name}.example.org\"\npath = \"/api\"\n{servers}\n"
        )
    };
    let asked = service("evaluate", "", &servers);
    let listed = service("listed", &format!("discovery = \"{list}\"\n"), "");
    format!(
        "[process]\nnodes = {count}\nzone = \"{}\"\n\n[management]\naddress = \"127.0.0.1:0\"\n\n[fleet]\n\
         name = \"{FLEET_NAME}\"\nnode = \"real-{n}\"\nlisten = \"127.0.0.1:0\"\nkey_file = \"{}\"\nseeds = [{}]\n\
         size = {}\n\n[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n\n{asked}{listed}",
        zone_name(n % ZONES),
        key.display(),
        seeds.join(", "),
        network.nodes() + count,
    )
}
