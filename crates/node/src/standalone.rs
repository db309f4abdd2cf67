//! A node with a settings file of its own: several services behind several listeners, changed by SIGHUP.

use crate::fleet::FleetRuntime;
use crate::lease::Leases;
use crate::net::front::{Front, Listening};
use crate::net::management::{FleetHandler, Management};
use crate::net::registry::{OwnEntry, RegistryAccess};
use crate::net::service::prepared::PreparedPlan;
use crate::net::service::Services;
use crate::net::shared::Shared;
use crate::platform::plain;
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::StatusCode;
use reelfall_admin::request::FleetRequest;
use reelfall_config::model::{self, NodeEntry};
use reelfall_config::Plan;
use reelfall_registry_client::registration::EntryData;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::HashMap;
use std::hash::BuildHasher;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

mod reload;

use reload::Reader;

/// How often idle connections and pools that leave are looked through.
const TICK_EVERY: Duration = Duration::from_millis(250);

/// Serves by the file until SIGTERM.
///
/// # Errors
/// What is wrong with the file, or which means can't be had.
pub fn run(path: &Path) -> Result<(), String> {
    let plan = reelfall_config::load(path).map_err(|e| e.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, node(path, plan))
}

/// Longest wait for this node's entries to be gone before it ends.
const WITHDRAWN_IN: Duration = Duration::from_millis(500);

/// What an entry of this node is made from: as long as this stays, the entry stays.
#[derive(Clone, PartialEq)]
struct Wanted {
    access: RegistryAccess,
    entry: NodeEntry,
    zone: Option<String>,
}

struct Node {
    shared: Rc<Shared>,
    services: Services,
    /// This node's own entries, by their registries.
    entries: RefCell<HashMap<String, (Wanted, Rc<OwnEntry>)>>,
    /// The node is on its way out: no entry is made any more.
    leaving: Cell<bool>,
    /// When this life of the node began, in milliseconds of Unix time.
    began: u64,
    /// Made with the first plan.
    front: RefCell<Option<Rc<Front>>>,
    seed: u64,
}

async fn node(path: &Path, plan: Plan) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    // Two starts must not share their choices.
    let seed = RandomState::new().hash_one(std::process::id());
    let shared = Shared::for_services(plan.totals, plan.model.process.max_connections_per_server);
    let reader = Reader::start(path.to_owned(), shared.clock).map_err(|e| e.to_string())?;
    let freeing = reader.clone();
    let services = Services::new(
        shared.clone(),
        seed,
        Rc::new(move |plan| freeing.free(plan)),
    );
    let began = (shared.clock.now() * 1e3) as u64;
    let (front, entries) = (RefCell::default(), RefCell::default());
    let leaving = Cell::new(false);
    let (fleet, calls) = (plan.model.fleet.clone(), plan.model.management.clone());
    let node = Rc::new(Node {
        shared,
        services,
        entries,
        leaving,
        began,
        front,
        seed,
    });
    let together = fleet
        .as_ref()
        .map(|f| FleetRuntime::open(&node.shared, f))
        .transpose()?;
    let front = node.apply(PreparedPlan::initial(plan))?;
    let management = calls.as_ref().map(|m| own_socket(m.address)).transpose()?;
    announce(&front, management.as_ref(), together.as_deref());
    if let Some(together) = &together {
        node.shared.set_fleet_observer(together.clone());
        tokio::task::spawn_local(together.clone().run());
    }
    let leases = match fleet
        .as_ref()
        .and_then(|f| f.leases.as_ref().map(|l| (f, l)))
        .zip(together.as_ref())
    {
        Some(((fleet, settings), together)) => Some(Leases::start(together, fleet, settings)?),
        None => None,
    };
    if let Some((listener, settings)) = management.zip(calls.as_deref()) {
        manage(
            &node,
            settings,
            fleet.as_deref(),
            listener,
            together.as_ref(),
            leases.clone(),
        )?;
    }
    let ticking = node.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(TICK_EVERY).await;
            ticking.shared.tick();
            ticking.services.remove_drained();
            if ticking.services.are_ready() {
                ticking
                    .entries
                    .borrow()
                    .values()
                    .for_each(|(_, entered)| entered.publish());
            }
        }
    });
    let (reloading, name) = (node.clone(), path.display().to_string());
    tokio::task::spawn_local(async move {
        // Signals that come while a file is read are one more reading, however many they are.
        while hangup.recv().await.is_some() {
            reloading.reload(&reader, &name).await;
        }
    });
    let stop = async {
        terminate.recv().await;
        // Before anything else, so that nobody is drawn here any more.
        node.leaving.set(true);
        if let Some(leases) = &leases {
            leases.leave();
        }
        if let Some(together) = &together {
            together.leave();
        }
        let entries = node
            .entries
            .take()
            .into_values()
            .map(|(_, entered)| entered);
        let leaving: FuturesUnordered<_> = entries
            .map(|entered| async move { entered.withdraw(WITHDRAWN_IN).await })
            .collect();
        leaving.collect::<()>().await;
    };
    front.serve(stop).await;
    Ok(())
}

/// Serves the management address. Like the fleet it is there from the start of the process to its end:
/// what a reload says of it holds from the next start.
fn manage(
    node: &Rc<Node>,
    settings: &model::Management,
    fleet: Option<&model::Fleet>,
    listener: std::net::TcpListener,
    together: Option<&Rc<FleetRuntime>>,
    leases: Option<Rc<Leases>>,
) -> Result<(), String> {
    let listener = tokio::net::TcpListener::from_std(listener).map_err(|e| e.to_string())?;
    let name = fleet.map_or("node", |fleet| &fleet.node);
    let serving = node.clone();
    let ready = Box::new(move || serving.services.are_ready());
    let handler = together.cloned().map(|t| {
        Box::new(move |request: &_| handle_fleet_request(&t, leases.as_deref(), request))
            as FleetHandler
    });
    let folder = settings.folder.as_deref();
    let answering = Management::new(node.shared.clone(), folder, &plain(name), ready, handler);
    tokio::task::spawn_local(answering.clone().accept(listener));
    tokio::task::spawn_local(answering.follow());
    if let Some(front) = node.front.borrow().clone() {
        tokio::task::spawn_local(front.close_idle_while_draining());
    }
    Ok(())
}

/// Answers a management request that concerns the fleet.
fn handle_fleet_request(
    together: &FleetRuntime,
    leases: Option<&Leases>,
    request: &FleetRequest,
) -> (StatusCode, String) {
    match (request, leases) {
        (FleetRequest::Leases, Some(leases)) => leases.report(),
        (FleetRequest::Release { lease, reason }, Some(leases)) => leases.release(lease, reason),
        (FleetRequest::Leases | FleetRequest::Release { .. }, None) => (
            StatusCode::NOT_FOUND,
            "this node has no [fleet.leases]\n".to_owned(),
        ),
        (request, _) => together.handle_request(request),
    }
}

fn own_socket(address: SocketAddr) -> Result<std::net::TcpListener, String> {
    let listener = std::net::TcpListener::bind(address);
    let listener = listener.and_then(|l| l.set_nonblocking(true).map(|()| l));
    listener.map_err(|e| format!("operators' address {address}: {e}"))
}

impl Node {
    /// Puts a plan in force, whole or not at all.
    fn apply(&self, prepared: Arc<PreparedPlan>) -> Result<Rc<Front>, String> {
        let (model, clients) = (&prepared.plan.model, prepared.plan.clients);
        let old = self.front.borrow().clone();
        let mut listening = Vec::with_capacity(model.listeners.len());
        for listener in &model.listeners {
            let kept = old
                .as_ref()
                .and_then(|front| front.listener(&listener.name, listener.address));
            listening.push(match kept {
                Some(kept) => kept,
                None => Listening::bind(&listener.name, listener.address, clients, false).map_err(
                    |e| format!("{}: listener `{}`: {e}", listener.origin, listener.name),
                )?,
            });
        }
        let entries = entries_of(&prepared)?;
        let routing = self.services.apply(prepared)?;
        let front = match old {
            Some(front) => {
                front.route(routing, clients);
                front
            }
            None => Front::new(self.shared.clone(), routing, clients, self.seed),
        };
        front.listen(listening);
        self.front.replace(Some(front.clone()));
        self.enter(&front, entries);
        Ok(front)
    }

    /// Keeps the entries that are wanted and lets the others go.
    fn enter(&self, front: &Front, wanted: HashMap<String, Wanted>) {
        if self.leaving.get() {
            return;
        }
        let mut entries = self.entries.borrow_mut();
        entries.retain(|registry, (old, entered)| {
            let stays = wanted.get(registry) == Some(old);
            if !stays {
                let entered = entered.clone();
                tokio::task::spawn_local(async move { entered.withdraw(WITHDRAWN_IN).await });
            }
            stays
        });
        let listens = front
            .addresses()
            .into_iter()
            .map(|(_, address)| address.to_string())
            .next();
        for (registry, wanted) in wanted {
            entries.entry(registry).or_insert_with(|| {
                let Wanted {
                    access,
                    entry,
                    zone,
                } = wanted.clone();
                let data = EntryData {
                    name: entry.name,
                    address: entry
                        .address
                        .or_else(|| listens.clone())
                        .unwrap_or_default(),
                    site: entry.site,
                    zone,
                    incarnation: self.began,
                    started: self.began,
                };
                (
                    wanted,
                    OwnEntry::maintain(&self.shared, access, entry.path, data, entry.guarded),
                )
            });
        }
    }

    /// Takes in the file again. What is wrong with it is told, and then all stays as it was.
    async fn reload(&self, reader: &Reader, name: &str) {
        let Some(in_force) = self.services.current_plan() else {
            return;
        };
        let read = reader.read(in_force).await;
        if self.leaving.get() {
            // Listeners that have been closed would be opened again.
            eprintln!("reelfall: {name} is not taken in: the node is ending");
            return;
        }
        let applied = read.and_then(|prepared| {
            let applied = self.apply(prepared.clone());
            // If it was not put in force, nobody else uses it.
            reader.free(prepared);
            applied
        });
        match applied {
            Ok(_) => eprintln!("reelfall: {name} is in force"),
            // Not through the log, whose bound on lines could cut the list of mistakes short.
            Err(fault) => eprintln!("{fault}\nreelfall: the settings from before stay in force"),
        }
    }
}

/// The entries that a plan wants, by their registries.
fn entries_of(prepared: &PreparedPlan) -> Result<HashMap<String, Wanted>, String> {
    let model = &prepared.plan.model;
    let wanted = model
        .registries
        .iter()
        .filter_map(|r| Some((r, r.entry.as_ref()?)));
    let wanted = wanted.map(|(registry, entry)| {
        let access = prepared
            .registry_access(&registry.name)
            .map_err(|e| format!("{}: {e}", registry.origin))?
            .clone();
        let (entry, zone) = (entry.value.clone(), model.process.zone.clone());
        Ok((
            registry.name.clone(),
            Wanted {
                access,
                entry,
                zone,
            },
        ))
    });
    wanted.collect()
}

/// Tells on standard output where clients can connect; with port 0 in the file, nobody else could know.
fn announce(
    front: &Front,
    management: Option<&std::net::TcpListener>,
    together: Option<&FleetRuntime>,
) {
    let addresses: serde_json::Map<String, serde_json::Value> = front
        .addresses()
        .into_iter()
        .map(|(name, address)| (name, address.to_string().into()))
        .collect();
    let mut line = serde_json::Map::from_iter([("listening".to_owned(), addresses.into())]);
    let further = [
        ("management", management.and_then(|m| m.local_addr().ok())),
        ("fleet", together.and_then(FleetRuntime::address)),
    ];
    for (name, address) in further {
        line.extend(address.map(|address| (name.to_owned(), address.to_string().into())));
    }
    let line = serde_json::Value::from(line);
    // Nobody may be there to read it.
    let _ = writeln!(std::io::stdout(), "{line}");
}
