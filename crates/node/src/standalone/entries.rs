//! The node's own entries in registries, reconciled with those that the plan requires. Used by [`super::node::Node`].

use super::error::ApplyError;
use crate::net::frontend::Frontend;
use crate::net::registry::{OwnEntry, RegistryAccess};
use crate::net::service::prepared::PreparedPlan;
use crate::net::shared::Shared;
use reelfall_config::model::{Located, NodeEntry, Registry};
use reelfall_registry_client::registration::EntryData;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// The entries that a plan requires, by the names of their registries.
pub type DesiredEntries = HashMap<String, DesiredEntry>;

/// An entry that a plan requires. A reload keeps the active entry if this is unchanged.
#[derive(Clone, PartialEq)]
pub struct DesiredEntry {
    access: RegistryAccess,
    entry: NodeEntry,
    zone: Option<String>,
}

impl DesiredEntry {
    /// Collects the entries that a plan requires.
    ///
    /// # Errors
    /// If a registry can't be accessed.
    pub fn all_of(prepared: &PreparedPlan) -> Result<DesiredEntries, ApplyError> {
        let mut desired = DesiredEntries::new();
        for registry in &prepared.plan.model.registries {
            if let Some(entry) = &registry.entry {
                let entry = DesiredEntry::of(prepared, registry, entry)?;
                desired.insert(registry.name.clone(), entry);
            }
        }
        Ok(desired)
    }

    fn of(
        prepared: &PreparedPlan,
        registry: &Located<Registry>,
        entry: &NodeEntry,
    ) -> Result<DesiredEntry, ApplyError> {
        let access = prepared.registry_access(&registry.name);
        let access = access.map_err(|error| ApplyError::Registry {
            origin: registry.origin.clone(),
            source: error.clone(),
        })?;
        Ok(DesiredEntry {
            access: access.clone(),
            entry: entry.clone(),
            zone: prepared.plan.model.process.zone.clone(),
        })
    }

    fn register(
        &self,
        shared: &Rc<Shared>,
        listener_address: Option<&str>,
        incarnation: u64,
    ) -> Rc<OwnEntry> {
        let DesiredEntry {
            access,
            entry,
            zone,
        } = self.clone();
        let listener_address = || listener_address.map(str::to_owned);
        let data = EntryData {
            name: entry.name,
            address: entry.address.or_else(listener_address).unwrap_or_default(),
            site: entry.site,
            zone,
            incarnation,
            started: incarnation,
        };
        OwnEntry::maintain(shared, access, entry.path, data, entry.is_guarded)
    }
}

/// An entry that is maintained in its registry, and the requirement that it was created from.
struct ActiveEntry {
    desired: DesiredEntry,
    entry: Rc<OwnEntry>,
}

/// The entries that this node maintains.
pub struct OwnEntries {
    shared: Rc<Shared>,
    /// When this process started, in milliseconds of Unix time.
    incarnation: u64,
    /// The entries, by the names of their registries.
    active: RefCell<HashMap<String, ActiveEntry>>,
    /// Entries that the plan no longer requires, and that may still exist. A shutdown waits for them too.
    withdrawing: RefCell<Vec<Rc<OwnEntry>>>,
}

impl OwnEntries {
    /// Creates an empty set, whose entries will have the current time as their incarnation.
    pub fn new(shared: Rc<Shared>) -> OwnEntries {
        let incarnation = (shared.clock.now() * 1e3) as u64;
        OwnEntries {
            shared,
            incarnation,
            active: RefCell::default(),
            withdrawing: RefCell::default(),
        }
    }

    /// Keeps the active entries that are desired, withdraws the others, and registers the missing ones.
    pub fn reconcile(&self, frontend: &Frontend, desired: DesiredEntries) {
        let mut active = self.active.borrow_mut();
        let undesired =
            active.extract_if(|registry, active| desired.get(registry) != Some(&active.desired));
        self.begin_withdrawal(undesired.map(|(_, active)| active.entry));
        let addresses = frontend.addresses();
        let listener_address = addresses.first().map(|(_, address)| address.to_string());
        for (registry, desired) in desired {
            active.entry(registry).or_insert_with(|| {
                let address = listener_address.as_deref();
                let entry = desired.register(&self.shared, address, self.incarnation);
                ActiveEntry { desired, entry }
            });
        }
    }

    /// Publishes all entries, once the node is ready.
    pub fn publish(&self) {
        for active in self.active.borrow().values() {
            active.entry.publish();
        }
    }

    fn begin_withdrawal(&self, entries: impl Iterator<Item = Rc<OwnEntry>>) {
        let mut withdrawing = self.withdrawing.borrow_mut();
        withdrawing.retain(|entry| !entry.is_closed());
        for entry in entries {
            entry.withdraw();
            withdrawing.push(entry);
        }
    }

    /// Withdraws all entries, since the process is about to exit. Waits until the registries have removed them and those
    /// whose withdrawal began earlier.
    pub async fn withdraw(&self) {
        let active = self.active.take();
        self.begin_withdrawal(active.into_values().map(|active| active.entry));
        let withdrawing = self.withdrawing.take();
        for entry in &withdrawing {
            entry.make_haste();
        }
        for entry in &withdrawing {
            entry.closed().await;
        }
    }
}
