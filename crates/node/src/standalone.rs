//! A node that is configured by a settings file: several services behind several listeners, reloaded at SIGHUP. Called by
//! the command line.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `announce` | the line on standard output with the bound addresses |
//! | `entries` | the node's own entries in registries |
//! | `error` | why a plan can't be applied |
//! | `management` | the management address |
//! | `membership` | the node's membership in a fleet |
//! | `node` | the plan in force, and its replacement at a reload |
//! | `reload` | the thread that reads the settings file again |

mod announce;
mod entries;
mod error;
mod management;
mod membership;
mod node;
mod reload;

use crate::fleet::{FleetError, FleetRuntime};
use crate::lease::LeaseError;
use crate::net::frontend::{Frontend, Shutdown};
use crate::net::memory::MemoryPlan;
use crate::net::service::prepared::PreparedPlan;
use crate::net::shared::Shared;
use crate::process::{self, ProcessError, Signals};
use error::ApplyError;
use management::ManagementError;
use membership::Membership;
use node::Node;
use reelfall_config::model::{self, Located, Model};
use reelfall_config::{ConfigErrors, Plan};
use reload::SettingsReader;
use std::io;
use std::path::Path;
use std::rc::Rc;
use thiserror::Error;
use tokio::signal::unix::Signal;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout_at};

/// Why a node can't start.
#[derive(Debug, Error)]
pub enum StandaloneError {
    /// The settings file is unusable.
    #[error(transparent)]
    Settings(#[from] ConfigErrors),
    /// The operating system does not provide what the node needs.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The thread that reads the settings file can't be started.
    #[error("{0}")]
    ReaderThread(#[source] io::Error),
    /// The plan can't be applied.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The management address can't be served.
    #[error(transparent)]
    Management(#[from] ManagementError),
    /// The node can't take part in its fleet.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The leases can't be started.
    #[error(transparent)]
    Leases(#[from] LeaseError),
}

/// Runs a node with the settings file until SIGTERM.
///
/// # Errors
/// If the file is unusable, or the system does not provide what the node needs.
pub fn run(path: &Path) -> Result<(), StandaloneError> {
    let plan = reelfall_config::load(path)?;
    process::block_on(run_node(path, plan))
}

async fn run_node(path: &Path, plan: Plan) -> Result<(), StandaloneError> {
    let Signals {
        termination,
        hangup,
    } = Signals::listen()?;
    let settings = StartSettings::of(&plan.model);
    let max_connections = plan.model.process.max_connections_per_server;
    let shared = Shared::for_services(
        plan.resources,
        max_connections,
        MemoryPlan::of_settings(&plan),
    );
    let reader = SettingsReader::start(path.to_owned(), shared.clock)
        .map_err(StandaloneError::ReaderThread)?;
    let node = Node::new(shared, reader.clone());
    let fleet = settings.open_fleet(&node.shared)?;
    let frontend = node.apply(PreparedPlan::initial(plan))?;
    let listener = settings.bind_management()?;
    announce::print(&frontend, listener.as_ref(), fleet.as_deref());
    let membership = settings.join_fleet(fleet, &node.shared)?;
    if let Some(listener) = listener {
        let (folder, name) = (settings.ledger_folder(), settings.node_name());
        management::spawn(&node, folder, name, listener, membership.clone())?;
    }
    spawn_ticks(&node);
    let file = path.display().to_string();
    tokio::task::spawn_local(reload_at_hangup(node.clone(), reader, hangup, file));
    let shutdown = Shutdown::begin(&frontend, termination.received().await);
    shut_down(&shutdown, &node, &frontend, membership.as_deref()).await;
    Ok(())
}

/// Serves clients during the shutdown. Beside them the node's entries are withdrawn and its leases released, which the process
/// waits for until its end.
async fn shut_down(
    shutdown: &Shutdown,
    node: &Node,
    frontend: &Rc<Frontend>,
    membership: Option<&Membership>,
) {
    // First of all, so that clients and other nodes stop selecting this node.
    node.begin_shutdown();
    let ends_at = shutdown.ends_at().into();
    let served = Notify::new();
    let serving = async {
        let withdrawal = timeout_at(ends_at, node.withdraw_entries());
        let _ = tokio::join!(frontend.shut_down(shutdown), withdrawal);
        served.notify_one();
    };
    let exit = async {
        served.notified().await;
        sleep_until(ends_at).await;
    };
    let farewell = async {
        if let Some(membership) = membership {
            membership.leave(exit).await;
        }
    };
    tokio::join!(farewell, serving);
}

/// The settings that a reload does not change: they are read once, as the process starts.
struct StartSettings {
    fleet: Option<Located<model::Fleet>>,
    management: Option<Located<model::Management>>,
}

impl StartSettings {
    fn of(model: &Model) -> StartSettings {
        StartSettings {
            fleet: model.fleet.clone(),
            management: model.management.clone(),
        }
    }

    /// The folder of the ledger; `None` if bans and drains are not stored.
    fn ledger_folder(&self) -> Option<&Path> {
        self.management.as_ref()?.state_dir.as_deref()
    }

    /// The node's name in its fleet; all nodes without a fleet have the same one.
    fn node_name(&self) -> &str {
        self.fleet.as_ref().map_or("node", |fleet| &fleet.node)
    }

    fn open_fleet(&self, shared: &Rc<Shared>) -> Result<Option<Rc<FleetRuntime>>, FleetError> {
        let open = |settings| FleetRuntime::open(shared, settings);
        self.fleet.as_deref().map(open).transpose()
    }

    fn join_fleet(
        &self,
        runtime: Option<Rc<FleetRuntime>>,
        shared: &Shared,
    ) -> Result<Option<Rc<Membership>>, LeaseError> {
        let opened = runtime.zip(self.fleet.as_deref());
        let join = |(runtime, settings)| Membership::join(runtime, settings, shared);
        opened.map(join).transpose()
    }

    fn bind_management(&self) -> Result<Option<std::net::TcpListener>, ManagementError> {
        let bind = |settings: &Located<model::Management>| management::bind(settings.address);
        self.management.as_ref().map(bind).transpose()
    }
}

fn spawn_ticks(node: &Rc<Node>) {
    let node = node.clone();
    process::spawn_ticks(move || node.tick());
}

/// Reloads the settings file at each SIGHUP, for as long as it is polled. All signals that arrive during a reload cause
/// one further reload.
async fn reload_at_hangup(
    node: Rc<Node>,
    reader: SettingsReader,
    mut hangup: Signal,
    file: String,
) {
    while hangup.recv().await.is_some() {
        node.reload(&reader, &file).await;
    }
}
