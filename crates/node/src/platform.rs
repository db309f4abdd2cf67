//! A node that is configured by its platform: one pool behind one listener. Called by the command line.
//!
//! A new process takes over the sockets and the learned state of a running process of the same name: see
//! [`crate::net::takeover`].
//!
//! | module | responsibility |
//! | --- | --- |
//! | `config` | the configuration file |
//! | `reload` | the reload at SIGHUP |

mod config;
mod reload;

use crate::net::discovery::ListError;
use crate::net::frontend::{BindError, Frontend, ListenSocket, Shutdown};
use crate::net::management::Management;
use crate::net::pool::{ListOrigin, Pool, PoolConfig};
use crate::net::service::{DiscoverySource, Routing, Service};
use crate::net::shared::Shared;
use crate::net::takeover::{HandoverSocket, Snapshot, Takeover};
use crate::net::task::AbortOnDrop;
use crate::net::{discovery, source, ResourceLimits};
use crate::process::{self, ProcessError, Signals, Termination};
use config::{Config, ConfigError};
use reelfall_balancer::interface::Settings;
use reelfall_balancer::settings::{self, ConnectionSettings, NameRegistry, SettingsError};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;

/// Interval at which a starting node checks whether its pool can serve.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The name of the only listener, as in a takeover's snapshot.
const LISTENER: &str = "client";
/// The name of the only pool, as in a takeover's snapshot.
const POOL: &str = "";

/// Why a node can't start.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The operating system does not provide what the node needs.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// There is no usable configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The settings of the pool are unusable.
    #[error("settings can't be used: {0}")]
    Settings(#[from] SettingsError),
    /// The endpoint list of an earlier run is unusable.
    #[error("known: {0}")]
    KnownList(#[from] ListError),
    /// The address can't be bound.
    #[error(transparent)]
    Listener(#[from] BindError),
}

/// Runs a node with the platform's configuration until SIGTERM.
///
/// # Errors
/// If the configuration is unusable, or the system does not provide what the node needs.
pub fn run() -> Result<(), PlatformError> {
    let config = Config::load()?;
    process::block_on(run_node(config))
}

async fn run_node(config: Config) -> Result<(), PlatformError> {
    let Signals {
        termination,
        hangup,
    } = Signals::listen()?;
    let settings = StartSettings::read(&config)?;
    let pool_settings = PoolSettings::parse(&config)?;
    let shared = Shared::for_single_service(settings.bounds);
    let Some(snapshot) = termination
        .interrupt(settings.request_snapshot(&shared))
        .await
    else {
        // Nothing was accepted yet.
        return Ok(());
    };
    let pool = pool_settings.build_pool(settings.seed, &shared)?;
    let known_index = apply_known_list(&pool, &config.known)?;
    let inherited = Inherited::take_over(snapshot, &pool, config.listen, settings.bounds)?;
    let (snapshot, initial_bounds) = (inherited.snapshot, inherited.initial_bounds);
    shared.shrink(settings.bounds, initial_bounds);

    let (discovery_address, address_updates) = watch::channel(config.discovery);
    let follow = follow_list(&pool, address_updates, known_index);
    tokio::task::spawn_local(reload::run(shared.clone(), hangup, discovery_address));
    spawn_ticks(&shared);
    let takeover = settings.build_takeover(&shared, &pool, snapshot.is_some());
    settings.spawn_management(&shared, &takeover);
    let service = Service::single(pool.clone(), follow);
    let frontend = settings.build_frontend(&shared, service, initial_bounds);
    tokio::task::spawn_local(frontend.clone().close_idle_while_draining());
    frontend.set_handover_state(&takeover);
    frontend.set_listeners(vec![inherited.listening]);
    if snapshot.is_some() {
        spawn_limit_restore(
            shared,
            &takeover,
            &frontend,
            initial_bounds,
            settings.bounds,
        );
    }
    spawn_takeover(&takeover, &frontend, pool, snapshot, termination.clone());
    let terminated_at = termination.received().await;
    if takeover.is_standby() {
        // Nothing was accepted, and the predecessor serves on.
        return Ok(());
    }
    let shutdown = Shutdown::begin(&frontend, terminated_at);
    frontend.shut_down(&shutdown).await;
    Ok(())
}

/// The settings of the process that a reload does not change.
struct StartSettings {
    /// The node's name, as it is in file names.
    name: String,
    /// The folder that the processes of the node share.
    folder: Option<PathBuf>,
    management: Option<SocketAddr>,
    seed: u64,
    bounds: ResourceLimits,
}

impl StartSettings {
    fn read(config: &Config) -> Result<StartSettings, ConfigError> {
        Ok(StartSettings {
            management: config.management_address()?,
            name: process::sanitize_file_name(&config.name),
            folder: std::env::var_os("TMPDIR").map(PathBuf::from),
            seed: config.random_seed(),
            bounds: ResourceLimits::for_process(config.limits.sockets, config.limits.memory_mb),
        })
    }

    fn handover_socket(&self) -> Option<HandoverSocket> {
        let folder = self.folder.as_deref()?;
        Some(HandoverSocket::new(folder, &self.name))
    }

    /// Requests the predecessor's snapshot; `None` if no process of the same name serves.
    async fn request_snapshot(&self, shared: &Rc<Shared>) -> Option<Snapshot> {
        let socket = self.handover_socket()?;
        let snapshot = socket.request_snapshot(shared).await;
        // Also with a predecessor that keeps its sockets.
        socket.share_ids(shared).await;
        snapshot
    }

    fn build_takeover(
        &self,
        shared: &Rc<Shared>,
        pool: &Rc<Pool>,
        has_predecessor: bool,
    ) -> Rc<Takeover> {
        let pool = pool.clone();
        let collect_learned = Box::new(move || vec![(POOL.to_owned(), pool.learned_state())]);
        let socket = self.handover_socket();
        Takeover::new(shared.clone(), socket, has_predecessor, collect_learned)
    }

    fn build_frontend(
        &self,
        shared: &Rc<Shared>,
        service: Rc<Service>,
        bounds: ResourceLimits,
    ) -> Rc<Frontend> {
        let routing = Routing::Single(service);
        Frontend::new(
            shared.clone(),
            routing,
            bounds.client_connections,
            self.seed,
        )
    }

    /// Spawns the tasks that serve the management address, if one is configured, and follow the ledger.
    fn spawn_management(&self, shared: &Rc<Shared>, takeover: &Rc<Takeover>) {
        let takeover = takeover.clone();
        let is_ready = Box::new(move || takeover.is_serving());
        let folder = self.folder.as_deref();
        let management = Management::new(shared.clone(), folder, &self.name, is_ready, None);
        if let Some(address) = self.management {
            tokio::task::spawn_local(management.clone().serve(address));
        }
        tokio::task::spawn_local(management.follow());
    }
}

/// The parsed settings of the pool.
struct PoolSettings {
    settings: Settings,
    names: NameRegistry,
    connections: ConnectionSettings,
}

impl PoolSettings {
    fn parse(config: &Config) -> Result<PoolSettings, SettingsError> {
        let (settings, names, connections) = settings::read(config.settings.get())?;
        Ok(PoolSettings {
            settings,
            names,
            connections,
        })
    }

    fn build_pool(self, seed: u64, shared: &Rc<Shared>) -> Result<Rc<Pool>, SettingsError> {
        Pool::new(PoolConfig {
            settings: self.settings,
            names: self.names,
            connection_settings: self.connections,
            seed,
            list_origin: ListOrigin::Discovered,
            shared: shared.clone(),
            service_id: None,
        })
    }
}

/// Applies the endpoint list of an earlier run and returns its index, 0 without one.
fn apply_known_list(pool: &Rc<Pool>, known: &serde_json::Value) -> Result<u64, PlatformError> {
    if known.is_null() {
        return Ok(0);
    }
    Ok(discovery::apply_list(pool, known, true)?)
}

/// Spawns the task that follows the endpoint list of the discovery service.
fn follow_list(
    pool: &Rc<Pool>,
    address: watch::Receiver<SocketAddr>,
    known_index: u64,
) -> AbortOnDrop {
    let list = DiscoverySource {
        address,
        known_index,
        list_name: String::new(),
    };
    source::follow(pool, list)
}

/// The socket and the limits that the process starts with: its predecessor's socket if it can be used, or a new one.
struct Inherited {
    /// `None` without a predecessor, or if its socket can't be used: then both processes serve, each on its own socket.
    snapshot: Option<Snapshot>,
    listening: Rc<ListenSocket>,
    /// The limits while the predecessor runs: the two processes share the node's limits.
    initial_bounds: ResourceLimits,
}

impl Inherited {
    fn take_over(
        mut snapshot: Option<Snapshot>,
        pool: &Rc<Pool>,
        address: SocketAddr,
        bounds: ResourceLimits,
    ) -> Result<Inherited, PlatformError> {
        if let Some(learned) = snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.learned(POOL))
        {
            pool.restore_learned_state(learned);
        }
        let socket = snapshot
            .as_mut()
            .and_then(|snapshot| snapshot.listener(LISTENER));
        let inherited =
            socket.and_then(|socket| ListenSocket::from_descriptor(LISTENER, address, socket).ok());
        if let Some(listening) = inherited {
            return Ok(Inherited {
                snapshot,
                listening,
                initial_bounds: bounds.halved(),
            });
        }
        // A predecessor keeps its sockets and clients, and this process binds its own socket.
        drop(snapshot);
        let listening = ListenSocket::bind(LISTENER, address, bounds.client_connections, true)?;
        Ok(Inherited {
            snapshot: None,
            listening,
            initial_bounds: bounds,
        })
    }
}

fn spawn_ticks(shared: &Rc<Shared>) {
    let shared = shared.clone();
    process::spawn_ticks(move || shared.tick());
}

/// Spawns the task that raises the limits to those of the whole node once the predecessor has exited.
fn spawn_limit_restore(
    shared: Rc<Shared>,
    takeover: &Rc<Takeover>,
    frontend: &Rc<Frontend>,
    initial: ResourceLimits,
    bounds: ResourceLimits,
) {
    let (takeover, frontend) = (takeover.clone(), frontend.clone());
    tokio::task::spawn_local(async move {
        takeover.predecessor_gone.notified().await;
        shared.grow(initial, bounds);
        frontend.set_max_clients(bounds.client_connections);
    });
}

/// Spawns the task that completes the takeover once the pool can serve.
fn spawn_takeover(
    takeover: &Rc<Takeover>,
    frontend: &Rc<Frontend>,
    pool: Rc<Pool>,
    snapshot: Option<Snapshot>,
    termination: Termination,
) {
    let (takeover, frontend) = (takeover.clone(), frontend.clone());
    let ready = async move {
        while !pool.is_ready.get() {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    tokio::task::spawn_local(takeover.run(frontend, snapshot, ready, termination));
}
