//! A node on its platform: told of all it needs by the environment, one pool behind one listener.

use crate::net::front::{Front, Listening};
use crate::net::management::Management;
use crate::net::pool::{ListOrigin, Pool, PoolConfig};
use crate::net::service::{DiscoverySource, Routing, Service};
use crate::net::shared::Shared;
use crate::net::takeover::{HandoverSocket, Takeover};
use crate::net::{discovery, source, ResourceLimits};
use reelfall_balancer::settings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;

/// How often idle connections are looked through.
const TICK_EVERY: Duration = Duration::from_millis(250);
/// A configuration that can't be read may be half written: it is read again, so often and after this time.
const RELOAD_TRIES: u32 = 10;
const RELOAD_AGAIN: Duration = Duration::from_millis(100);

/// How often a node that starts looks whether it can serve.
const READY_EVERY: Duration = Duration::from_millis(20);
/// What the one listener is called.
const LISTENER: &str = "client";

/// What a node is told at its start.
#[derive(Deserialize)]
struct Config {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    /// The operators' address.
    management: Option<SocketAddr>,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: serde_json::Value,
    settings: Box<serde_json::value::RawValue>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            memory_mb: 128,
            sockets: 1024,
        }
    }
}

fn config() -> Result<Config, String> {
    let path =
        std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG names no file".to_owned())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))
}

/// Serves until SIGTERM.
///
/// # Errors
/// Says what of the configuration can't be used, or which means can't be had.
pub fn run() -> Result<(), String> {
    let config = config()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, node(config))
}

async fn node(config: Config) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let operators = operators(config.management)?;
    let bounds = ResourceLimits::for_process(config.limits.sockets, config.limits.memory_mb);
    let read =
        settings::read(config.settings.get()).map_err(|e| format!("settings can't be used: {e}"));
    let (settings, names, figures) = read?;
    // Any text seeds the choices, but two starts must not share one.
    let seed = u64::from_str_radix(&config.seed, 16)
        .unwrap_or_else(|_| settings::stable_hash(&config.seed));
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
    let name = plain(&config.name);
    let handover_socket = || {
        folder
            .as_deref()
            .map(|folder| HandoverSocket::new(folder, &name))
    };
    let shared = Shared::for_single_service(bounds);
    let mut snapshot = match handover_socket() {
        Some(handover_socket) => handover_socket.request_snapshot(&shared).await,
        None => None,
    };
    let pool = Pool::new(PoolConfig {
        settings,
        names,
        connection_settings: figures,
        seed,
        list_origin: ListOrigin::Discovered,
        shared: shared.clone(),
        member: None,
    });
    let pool = pool.map_err(|e| format!("settings can't be used: {e}"))?;
    let known = if config.known.is_null() {
        0
    } else {
        discovery::apply_list(&pool, &config.known, true).map_err(|e| format!("known: {e}"))?
    };
    if let Some(learned) = snapshot.as_ref().and_then(|g| g.learned("")) {
        pool.restore_learned_state(learned);
    }
    let (address, named) = watch::channel(config.discovery);
    let listening = match snapshot.as_mut().and_then(|g| g.listener(LISTENER)) {
        Some(socket) => Listening::from_descriptor(LISTENER, config.listen, socket),
        None => Err("nothing given".to_owned()),
    };
    if listening.is_err() {
        // Whoever is there has other sockets: it goes on with its clients, and this process has its own.
        snapshot = None;
    }
    let listening = listening
        .or_else(|_| Listening::bind(LISTENER, config.listen, bounds.client_connections, true))?;
    let held = if snapshot.is_some() {
        bounds.halved()
    } else {
        bounds
    };
    shared.shrink(bounds, held);
    let follow = source::follow(
        &pool,
        DiscoverySource {
            address: named,
            known_index: known,
            list_name: String::new(),
        },
    );
    tokio::task::spawn_local(reload(shared.clone(), hangup, address));
    let ticking = shared.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(TICK_EVERY).await;
            ticking.tick();
        }
    });
    let learning = pool.clone();
    let collect_learned = Box::new(move || vec![(String::new(), learning.learned_state())]);
    let takeover = Takeover::new(
        shared.clone(),
        handover_socket(),
        snapshot.is_some(),
        collect_learned,
    );
    let serving = takeover.clone();
    let ready = Box::new(move || serving.is_serving());
    let management = Management::new(shared.clone(), folder.as_deref(), &name, ready, None);
    if let Some(address) = operators {
        tokio::task::spawn_local(management.clone().serve(address));
    }
    tokio::task::spawn_local(management.follow());
    let routing = Routing::Single(Service::single(pool.clone(), follow));
    let front = Front::new(shared.clone(), routing, held.client_connections, seed);
    tokio::task::spawn_local(front.clone().close_idle_while_draining());
    front.set_handover_state(&takeover);
    front.listen(vec![listening]);
    if snapshot.is_some() {
        let (takeover, front) = (takeover.clone(), front.clone());
        tokio::task::spawn_local(async move {
            takeover.predecessor_gone.notified().await;
            shared.grow(held, bounds);
            front.set_max_clients(bounds.client_connections);
        });
    }
    let taking = front.clone();
    tokio::task::spawn_local(async move {
        while !pool.is_ready.get() {
            tokio::time::sleep(READY_EVERY).await;
        }
        takeover.serve(taking, snapshot).await;
    });
    let stop = async {
        terminate.recv().await;
    };
    front.serve(stop).await;
    Ok(())
}

/// The operators' address, if there is one.
fn operators(configured: Option<SocketAddr>) -> Result<Option<SocketAddr>, String> {
    match (configured, std::env::var("ROUTER_MANAGEMENT")) {
        (Some(address), _) => Ok(Some(address)),
        (None, Ok(text)) => text
            .parse()
            .map(Some)
            .map_err(|e| format!("ROUTER_MANAGEMENT {text}: {e}")),
        (None, Err(_)) => Ok(None),
    }
}

/// A node's name as part of a file's.
pub fn plain(name: &str) -> String {
    name.chars()
        .map(|c| {
            if c.is_ascii_alphanumeric() || c == '-' {
                c
            } else {
                '_'
            }
        })
        .take(64)
        .collect()
}

/// Takes in a new configuration at each SIGHUP.
///
/// Guards against the end that the signal brings by default, and against a file that is half written or no
/// configuration: the node goes on with what it has, for a reload must never cost a request. What a running
/// node can change without harm is where it hears of servers; the rest of the file holds from the next start.
async fn reload(shared: Rc<Shared>, mut hangup: Signal, address: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        for _ in 0..RELOAD_TRIES {
            match config() {
                Ok(new) => {
                    address.send_if_modified(|old| {
                        std::mem::replace(old, new.discovery) != new.discovery
                    });
                    break;
                }
                Err(fault) => shared
                    .log
                    .write_line(format_args!("the old configuration stays: {fault}")),
            }
            tokio::time::sleep(RELOAD_AGAIN).await;
        }
    }
}
