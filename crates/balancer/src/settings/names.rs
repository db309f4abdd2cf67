//! Names of servers, classes, tenants and zones, and their dense identifiers.

use crate::interface::{Endpoint, ServerState, TenantId, Time, ZoneId};
use std::collections::HashMap;

/// Maximum number of distinct zones, and of machine types; further names get the identifier 0.
const MAX_GROUPS: usize = 1024;
/// Weight of a server that is listed without one.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Hashes a short name with FNV-1a, which gives the same value on every node.
pub fn stable_hash(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let add = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    text.bytes().fold(OFFSET_BASIS, add)
}

/// Assigns dense identifiers to names, in the order of their first appearance.
#[derive(Default)]
pub struct NameTable {
    ids: HashMap<String, u32>,
    names: Vec<String>,
    /// Identifiers that were released and can be reused.
    free: Vec<u32>,
}

impl NameTable {
    pub(super) fn of(names: impl IntoIterator<Item = String>) -> Self {
        let mut table = NameTable::default();
        for name in names {
            table.intern(&name);
        }
        table
    }

    /// Returns the identifier of a name. A new name gets a released identifier, if there is one.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.free.pop().unwrap_or(self.names.len() as u32);
        self.ids.insert(name.to_owned(), id);
        match self.names.get_mut(id as usize) {
            Some(released) => name.clone_into(released),
            None => self.names.push(name.to_owned()),
        }
        id
    }

    /// Removes a name whose identifier is not in use any more, so that the identifier can be reused.
    pub fn release(&mut self, id: u32) {
        let name = self
            .names
            .get_mut(id as usize)
            .map(std::mem::take)
            .unwrap_or_default();
        if self.ids.remove(&name).is_some() {
            self.free.push(id);
        }
    }

    /// Returns the identifier of a name in a table of at most [`MAX_GROUPS`] names, such as that of the zones.
    fn intern_group(&mut self, name: &str) -> u16 {
        if self.names.len() >= MAX_GROUPS && !self.ids.contains_key(name) {
            return 0;
        }
        self.intern(name) as u16
    }

    /// The identifier of a name, if it is known.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// The name with an identifier.
    pub fn name(&self, id: u32) -> Option<&str> {
        self.names.get(id as usize).map(String::as_str)
    }
}

/// The names of all servers, classes, tenants, zones and machine types of one balancer.
pub struct NameRegistry {
    /// Servers, by their names in the endpoint list.
    pub servers: NameTable,
    /// Classes, by their index in [`Settings::classes`](crate::interface::Settings::classes).
    pub classes: NameTable,
    /// Tenants, by their index in [`Settings::tenants`](crate::interface::Settings::tenants).
    pub tenants: NameTable,
    pub(super) zones: NameTable,
    pub(super) machine_types: NameTable,
}

/// An entry of the endpoint list with names instead of identifiers.
pub struct ListedEndpoint<'a> {
    /// The name of the server.
    pub name: &'a str,
    /// The name of its zone.
    pub zone: Option<&'a str>,
    /// The name of its machine type.
    pub machine_type: Option<&'a str>,
    /// Its cell, as in [`Endpoint::cell`].
    pub cell: u32,
    /// Whether it accepts new requests.
    pub state: ServerState,
    /// Its listed weight; 1 if it has none.
    pub weight: Option<f64>,
    /// When it last started; `None` if that is unknown.
    pub started_at: Option<Time>,
}

impl NameRegistry {
    /// Creates a registry with the names of classes and tenants, in the order of the settings.
    pub fn new(
        classes: impl IntoIterator<Item = String>,
        tenants: impl IntoIterator<Item = String>,
    ) -> Self {
        NameRegistry {
            servers: NameTable::default(),
            classes: NameTable::of(classes),
            tenants: NameTable::of(tenants),
            zones: NameTable::default(),
            machine_types: NameTable::default(),
        }
    }

    /// Returns the identifier of a zone; an unknown zone is added.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        self.zones.intern_group(name)
    }

    /// Converts an entry of the endpoint list, with identifiers in place of names; unknown names are added.
    pub fn endpoint(&mut self, listed: &ListedEndpoint) -> Endpoint {
        Endpoint {
            server: self.servers.intern(listed.name),
            hash: stable_hash(listed.name),
            zone: listed.zone.map_or(0, |zone| self.zones.intern_group(zone)),
            machine_type: listed
                .machine_type
                .map_or(0, |name| self.machine_types.intern_group(name)),
            cell: listed.cell,
            state: listed.state,
            weight: listed.weight.unwrap_or(DEFAULT_WEIGHT),
            started_at: listed.started_at.unwrap_or(0.0),
            local_balancers: 1,
        }
    }

    /// The identifier of a tenant, if the settings contain it.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).map(|id| id as TenantId)
    }
}
