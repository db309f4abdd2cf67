//! The plan in force, and its replacement at a reload.

use super::entries::{DesiredEntry, OwnEntries};
use super::error::ApplyError;
use super::reload::{ReadError, SettingsReader};
use crate::net::frontend::{Frontend, ListenSocket};
use crate::net::memory::MemoryPlan;
use crate::net::service::prepared::PreparedPlan;
use crate::net::service::Services;
use crate::net::shared::Shared;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::rc::Rc;
use std::sync::Arc;
use thiserror::Error;

/// Why a reload fails; the plan in force stays as it is.
#[derive(Debug, Error)]
enum ReloadError {
    #[error(transparent)]
    Read(#[from] ReadError),
    #[error(transparent)]
    Apply(#[from] ApplyError),
}

/// A node with a plan in force.
pub struct Node {
    /// The state that all services share.
    pub shared: Rc<Shared>,
    /// The services of the plan in force.
    pub services: Services,
    entries: OwnEntries,
    /// The node is shutting down: it applies no further plan.
    is_shutting_down: Cell<bool>,
    /// Created with the first plan.
    frontend: RefCell<Option<Rc<Frontend>>>,
    /// Seed of the random numbers; it differs at each start.
    seed: u64,
}

impl Node {
    /// Creates a node without a plan. The thread of `reader` frees plans that are no longer used.
    pub fn new(shared: Rc<Shared>, reader: SettingsReader) -> Rc<Node> {
        let seed = RandomState::new().hash_one(std::process::id());
        let free = Rc::new(move |plan| reader.free(plan));
        Rc::new(Node {
            services: Services::new(shared.clone(), seed, free),
            entries: OwnEntries::new(shared.clone()),
            shared,
            is_shutting_down: Cell::new(false),
            frontend: RefCell::default(),
            seed,
        })
    }

    /// The frontend; `None` until the first plan is applied.
    pub fn frontend(&self) -> Option<Rc<Frontend>> {
        self.frontend.borrow().clone()
    }

    /// Does the periodic work, and publishes the node's entries once all services are ready.
    pub fn tick(&self) {
        self.shared.tick();
        self.services.remove_drained();
        if self.services.are_ready() {
            self.entries.publish();
        }
    }

    /// Marks the node as shutting down: later plans are ignored.
    pub fn begin_shutdown(&self) {
        self.is_shutting_down.set(true);
    }

    /// Withdraws the node's entries from all registries, and waits until they are removed.
    pub async fn withdraw_entries(&self) {
        self.entries.withdraw().await;
    }

    /// Applies a plan completely, or not at all.
    ///
    /// # Errors
    /// If a part of the plan can't be applied.
    pub fn apply(&self, prepared: Arc<PreparedPlan>) -> Result<Rc<Frontend>, ApplyError> {
        let max_clients = MemoryPlan::of_settings(&prepared.plan).client_connections;
        if max_clients < prepared.plan.max_clients {
            self.shared.log.write_line(format_args!(
                "the memory suffices for {max_clients} of {} clients",
                prepared.plan.max_clients
            ));
        }
        let listening = self.open_listeners(&prepared)?;
        let entries = DesiredEntry::all_of(&prepared)?;
        let routing = self.services.apply(prepared)?;
        let frontend = match self.frontend() {
            Some(frontend) => {
                frontend.set_routing(routing, max_clients);
                frontend
            }
            None => Frontend::new(self.shared.clone(), routing, max_clients, self.seed),
        };
        frontend.set_listeners(listening);
        self.frontend.replace(Some(frontend.clone()));
        if !self.is_shutting_down.get() {
            self.entries.reconcile(&frontend, entries);
        }
        Ok(frontend)
    }

    /// The listeners of a plan: open ones are reused, the others are bound.
    fn open_listeners(&self, prepared: &PreparedPlan) -> Result<Vec<Rc<ListenSocket>>, ApplyError> {
        let frontend = self.frontend();
        let mut listening = Vec::with_capacity(prepared.plan.model.listeners.len());
        for listener in &prepared.plan.model.listeners {
            let (name, address) = (&listener.name, listener.address);
            let open = frontend
                .as_ref()
                .and_then(|frontend| frontend.listener(name, address));
            let opened = match open {
                Some(open) => Ok(open),
                None => ListenSocket::bind(name, address, prepared.plan.max_clients, false),
            };
            listening.push(opened.map_err(|error| ApplyError::Listener {
                origin: listener.origin.clone(),
                name: name.clone(),
                source: error,
            })?);
        }
        Ok(listening)
    }

    /// Reads the settings file again and applies it. If it is invalid, the errors are printed on standard error and the
    /// plan in force stays.
    pub async fn reload(&self, reader: &SettingsReader, file: &str) {
        let Some(in_force) = self.services.current_plan() else {
            return;
        };
        let read = reader.read(in_force).await;
        if self.is_shutting_down.get() {
            // Applying the plan would reopen listeners that the shutdown has closed.
            eprintln!("reelfall: {file} is ignored: the node is shutting down");
            return;
        }
        match self.apply_read(read, reader) {
            Ok(_) => eprintln!("reelfall: {file} is in force"),
            // Printed directly, since the log's rate limit could truncate the list of errors.
            Err(error) => {
                eprintln!("{error}\nreelfall: reload failed, the old settings stay in force");
            }
        }
    }

    fn apply_read(
        &self,
        read: Result<Arc<PreparedPlan>, ReadError>,
        reader: &SettingsReader,
    ) -> Result<Rc<Frontend>, ReloadError> {
        let prepared = read?;
        let applied = self.apply(prepared.clone());
        // The last reference if the plan was not applied.
        reader.free(prepared);
        Ok(applied?)
    }
}
