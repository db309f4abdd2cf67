//! A fleet of real nodes before stand-in servers, with faults between them.
//!
//! | module | what belongs there |
//! | --- | --- |
//! | [`links`] | the way of each datagram from one node to another |
//! | [`history`] | all that happened, by one clock |
//! | [`check`] | what the history says of the rules, whatever the nodes say |
//! | [`verdicts`] | how long verdicts were acted on, and against whom |
//! | [`schedule`] | faults and words, drawn from a seed, written down and played |
//! | [`shorten`] | a schedule that breaks something, made short |
//! | [`resource`] | what holders of leases act on |
//! | `load` | clients at the nodes |
//! | `node_settings` | the settings files of the nodes |
//! | [`plays`] | one schedule over one fleet, and what came of it |
//! | [`probers`] | names under which nodes do not probe a condemned server |
//!
//! Each node is a process of the program with a settings file; what it sends to another goes to an address of the rig's,
//! which passes it on, or not. Each node reaches each server by a [`Link`] of its own.

pub mod check;
pub mod history;
pub mod links;
mod load;
mod node_settings;
pub mod plays;
pub mod probers;
pub mod resource;
pub mod schedule;
pub mod shorten;
pub mod verdicts;

pub use load::{Load, AIM, DEADLINE};

use crate::client::Client;
use crate::discovery::{Discovery, ListedServer};
use crate::link::Link;
use crate::node::{until_health, Folder, Node, PATIENCE};
use crate::pool::{RequestEvent, Server, ServerBehavior};
use crate::scripted::Program;
use crate::{AbortOnDrop, Result, SeededRng};
use bytes::Bytes;
use history::{Event, History};
use http_body_util::Full;
use hyper::Request;
use links::Links;
use load::{clients, Addresses};
use node_settings::{part, settings, written};
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Made {
    /// How many nodes.
    pub nodes: usize,
    /// How many servers.
    pub servers: usize,
    /// Zones that nodes are dealt into in turn; none are told if there is one.
    pub zones: usize,
    /// How long a server takes for a request.
    pub takes: Duration,
    /// Lines of the part `[fleet]`, beyond what the rig says itself; `None` for nodes that don't know each other. `{folder}` is a
    /// folder of the node's own, which it finds again when it begins anew.
    pub fleet: Option<String>,
    /// Lines of each service's part.
    pub service: String,
    /// How many list services tell the nodes their servers; they are dealt to the nodes in turn. With none, each node's file
    /// names the servers, and it reaches each by a link of its own.
    pub lists: usize,
    /// Names of nodes that are not [`name`]'s.
    pub named: Vec<(usize, String)>,
    /// Addresses where nodes are asked to be let in, beside the first three places.
    pub seeds: Vec<SocketAddr>,
}

/// Servers that are back are warm at once, so that what is seen of them is the verdicts' doing.
pub const WARM: &str = "cold = { warm_after = \"50ms\" }";

impl Default for Made {
    fn default() -> Made {
        Made {
            nodes: 5,
            servers: 6,
            zones: 1,
            takes: Duration::from_millis(2),
            fleet: Some(String::new()),
            service: String::new(),
            lists: 0,
            named: Vec::new(),
            seeds: Vec::new(),
        }
    }
}

/// One place of a fleet, with or without a process in it.
struct Seat {
    settings: String,
    node: Option<Running>,
    /// To the servers, in their order.
    links: Vec<Link>,
}

struct Running {
    address: SocketAddr,
    management: Option<SocketAddr>,
    pid: u32,
    frozen: bool,
    /// Keeps the process, and its words coming.
    _task: AbortOnDrop,
}

/// A fleet. It ends when this is dropped.
pub struct Rig {
    program: Program,
    seats: Vec<Seat>,
    /// The servers.
    pub servers: Vec<Server>,
    /// The list services.
    pub lists: Vec<Discovery>,
    links: Arc<Links>,
    addresses: Addresses,
    /// All that happened.
    pub history: Arc<History>,
    folder: Folder,
}

/// A node's name.
pub fn name(n: usize) -> String {
    format!("n{n}")
}

/// A server's name.
pub fn server_name(n: usize) -> String {
    format!("s{n}")
}

impl Rig {
    /// Starts all of it and waits until every node can serve.
    ///
    /// # Errors
    /// If something does not start.
    pub async fn start(program: &Program, made: &Made) -> Result<Rig> {
        Rig::start_in(program, made, Arc::new(History::begin())).await
    }

    /// The same, where others have begun to write the history.
    ///
    /// # Errors
    /// The same.
    pub async fn start_in(program: &Program, made: &Made, history: Arc<History>) -> Result<Rig> {
        let mut servers = Vec::with_capacity(made.servers);
        for n in 0..made.servers {
            let server = Server::start(
                &server_name(n),
                16,
                ServerBehavior::healthy(made.takes),
                n as u64,
            )
            .await?;
            let watched = history.clone();
            server.set_observer(Arc::new(move |id, event| {
                let id = id.to_owned();
                watched.add(match event {
                    RequestEvent::EffectApplied => Event::Effect { server: n, id },
                    RequestEvent::Received => Event::Attempt { server: n, id },
                });
            }));
            servers.push(server);
        }
        let folder = Folder::new()?;
        let key = folder.path().join("fleet.key");
        std::fs::write(&key, "the rig's own key, and nobody else's")?;
        let links = Links::open(made.nodes).await?;
        let listed: Vec<ListedServer> = servers
            .iter()
            .enumerate()
            .map(|(n, s)| ListedServer::active(&server_name(n), s.address))
            .collect();
        let mut lists = Vec::with_capacity(made.lists);
        for _ in 0..made.lists {
            lists.push(Discovery::start(listed.clone()).await?);
        }
        let mut seats = Vec::with_capacity(made.nodes);
        for n in 0..made.nodes {
            let mut to_servers = Vec::with_capacity(made.servers);
            for server in &servers {
                to_servers.push(Link::start(server.address).await?);
            }
            let fleet = made
                .fleet
                .as_ref()
                .map(|more| part(n, made, &links, &key, more));
            let source = match lists.get(n % made.lists.max(1)) {
                Some(list) => format!("discovery = \"{}\"\n", list.address),
                None => written(made, &to_servers),
            };
            let settings = settings(n, made, &source, fleet.as_deref().unwrap_or(""));
            seats.push(Seat {
                settings,
                node: None,
                links: to_servers,
            });
        }
        let program = program.clone();
        let addresses = Arc::new(Mutex::new(vec![None; made.nodes]));
        let mut rig = Rig {
            program,
            seats,
            servers,
            lists,
            links,
            addresses,
            history,
            folder,
        };
        for n in 0..made.nodes {
            rig.start_node(n).await?;
        }
        for n in 0..made.nodes {
            if let Some(address) = rig.address(n) {
                until_health(address, "/_health", true).await?;
            }
        }
        Ok(rig)
    }

    /// How many places for nodes there are.
    pub fn nodes(&self) -> usize {
        self.seats.len()
    }

    /// A process begins in a place, under the place's name.
    ///
    /// # Errors
    /// If it does not start.
    pub async fn start_node(&mut self, n: usize) -> Result<()> {
        self.history.add(Event::Began { node: n });
        let mut node = Node::start(&self.program, &self.seats[n].settings).await?;
        if let Some(fleet) = node.fleet {
            self.links.seat(n, fleet);
        }
        let address = node.address();
        let (management, pid) = (node.management, node.pid());
        self.reached(n, Some(address));
        let history = self.history.clone();
        let task = crate::spawn(async move {
            while let Some(line) = node.line().await {
                history.add(Event::Said { node: n, line });
            }
            // Kept until its end, and waited for, so that no process is left behind.
            let _ = node.ended().await;
            history.add(Event::Ended { node: n });
        });
        self.seats[n].node = Some(Running {
            address,
            management,
            pid,
            frozen: false,
            _task: task,
        });
        Ok(())
    }

    fn reached(&self, n: usize, address: Option<SocketAddr>) {
        if let Some(at) = self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get_mut(n)
        {
            *at = address;
        }
    }

    /// Where clients reach a node, if there is a process.
    pub fn address(&self, n: usize) -> Option<SocketAddr> {
        self.seats[n].node.as_ref().map(|r| r.address)
    }

    /// A node's operators' address, if there is a process with one.
    pub fn management(&self, n: usize) -> Option<SocketAddr> {
        self.seats[n].node.as_ref().and_then(|r| r.management)
    }

    /// A node's process, if there is one.
    pub fn pid(&self, n: usize) -> Option<u32> {
        self.seats[n].node.as_ref().map(|r| r.pid)
    }

    /// The folder that a node finds again when it begins anew.
    pub fn folder(&self, n: usize) -> std::path::PathBuf {
        self.folder.path().join(format!("folder-{n}"))
    }

    /// Nodes that are there and not frozen.
    pub fn awake(&self) -> Vec<usize> {
        let awake = |n: &usize| self.seats[*n].node.as_ref().is_some_and(|r| !r.frozen);
        (0..self.seats.len()).filter(awake).collect()
    }

    fn signal(&self, n: usize, signal: &str) {
        if let Some(r) = &self.seats[n].node {
            // Whoever is gone hears nothing.
            let _ = std::process::Command::new("kill")
                .args(["-s", signal, &r.pid.to_string()])
                .status();
        }
    }

    /// A process stands still, or goes on.
    pub fn freeze(&mut self, n: usize, frozen: bool) {
        self.history.add(if frozen {
            Event::Froze { node: n }
        } else {
            Event::Thawed { node: n }
        });
        self.signal(n, if frozen { "STOP" } else { "CONT" });
        if let Some(r) = &mut self.seats[n].node {
            r.frozen = frozen;
        }
    }

    /// A process ends in the middle of everything.
    pub fn kill(&mut self, n: usize) {
        self.history.add(Event::Killed { node: n });
        self.reached(n, None);
        self.signal(n, "KILL");
        self.seats[n].node = None;
    }

    /// A process is told to end, and does.
    ///
    /// # Errors
    /// If it does not.
    pub async fn end(&mut self, n: usize) -> Result<()> {
        self.history.add(Event::Told { node: n });
        let from = self.history.len();
        self.reached(n, None);
        self.signal(n, "TERM");
        self.history
            .until(from, |e| matches!(e, Event::Ended { node } if *node == n))
            .await?;
        self.seats[n].node = None;
        Ok(())
    }

    /// Faults between nodes.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// The way from a node to a server.
    pub fn link(&self, node: usize, server: usize) -> &Link {
        &self.seats[node].links[server]
    }

    /// Calls a node on its operators' address; status and text.
    ///
    /// # Errors
    /// If it does not answer within two seconds.
    pub async fn call(&self, n: usize, method: &str, path: &str) -> Result<(u16, String)> {
        let to = self.management(n).ok_or("no operators' address")?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "node")
            .body(Full::new(Bytes::new()))?;
        let got =
            tokio::time::timeout(Duration::from_secs(2), Client::new(to).send(request)).await??;
        Ok((
            got.status.as_u16(),
            String::from_utf8_lossy(&got.body).into_owned(),
        ))
    }

    /// An operator sends a server out by way of a node. Written down when the node has said yes.
    ///
    /// # Errors
    /// If the node says no.
    pub async fn ban(&self, node: usize, server: usize, seconds: Option<u32>) -> Result<()> {
        let lasts = seconds.map_or(String::new(), |s| format!("?for={s}"));
        let path = format!("/-/fleet/servers/{}/ban{lasts}", server_name(server));
        let (status, said) = self.call(node, "POST", &path).await?;
        if status != 200 {
            return Err(format!("{status}: {said}").into());
        }
        self.history.add(Event::Banned {
            node,
            server,
            seconds,
        });
        Ok(())
    }

    /// An operator calls it back.
    ///
    /// # Errors
    /// If the node says no.
    pub async fn lift(&self, node: usize, server: usize) -> Result<()> {
        self.history.add(Event::Lifted { node, server });
        let (status, said) = self
            .call(
                node,
                "POST",
                &format!("/-/fleet/servers/{}/lift", server_name(server)),
            )
            .await?;
        if status == 200 {
            Ok(())
        } else {
            Err(format!("{status}: {said}").into())
        }
    }

    /// Waits until something holds.
    ///
    /// # Errors
    /// If it does not within the rig's patience.
    pub async fn until(
        &self,
        what: &str,
        mut holds: impl AsyncFnMut(&Rig) -> bool,
    ) -> Result<Duration> {
        let begun = Instant::now();
        while !holds(self).await {
            if begun.elapsed() > PATIENCE {
                return Err(
                    format!("{what}: not within {PATIENCE:?}\n{}", self.history.tail(40)).into(),
                );
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(begun.elapsed())
    }

    /// Whether all nodes that are awake know of each other.
    pub async fn gathered(&self) -> bool {
        let awake = self.awake();
        for n in &awake {
            let Ok((200, said)) = self.call(*n, "GET", "/-/fleet/members").await else {
                return false;
            };
            let there = said.lines().filter(|l| l.contains(", life ")).count();
            if there != awake.len() {
                return false;
            }
        }
        true
    }

    /// Starts clients: so many requests a second at each node, a part of them unsafe, until the guard is dropped.
    pub fn load(&self, rate: f64, risky: f64, seed: u64) -> Load {
        self.load_at(
            &(0..self.seats.len()).collect::<Vec<_>>(),
            rate,
            risky,
            seed,
        )
    }

    /// The same at some of the nodes.
    pub fn load_at(&self, nodes: &[usize], rate: f64, risky: f64, seed: u64) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let clients = nodes.iter().copied().map(|n| {
            let (addresses, history, stop) =
                (self.addresses.clone(), self.history.clone(), stop.clone());
            let draw = SeededRng(seed.wrapping_mul(0x9e37).wrapping_add(n as u64));
            tokio::spawn(clients(n, addresses, rate, risky, draw, history, stop))
        });
        Load::new(clients.collect(), stop)
    }
}
