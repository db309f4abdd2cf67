//! Names of servers, classes, tenants and zones, and the dense numbers that stand for them.

use crate::interface::{Endpoint, ServerState, TenantId, Time, ZoneId};
use std::collections::HashMap;

/// Maximum number of distinct zones, and of machine types; further names get the first number.
const MAX_GROUPS: usize = 1024;
/// Listed weight of a server whose weight is not stated.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Hashes a short name by FNV-1a, which gives the same value on every node.
pub fn stable_hash(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let add = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    text.bytes().fold(OFFSET_BASIS, add)
}

/// Names with dense numbers, in the order of their first appearance.
#[derive(Default)]
pub struct NameTable {
    ids: HashMap<String, u32>,
    names: Vec<String>,
    /// Numbers of names that were released.
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

    /// The number of a name. A new name gets the number of a released one, if there is any.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.free.pop().unwrap_or(self.names.len() as u32);
        self.ids.insert(name.to_owned(), id);
        match self.names.get_mut(id as usize) {
            Some(place) => name.clone_into(place),
            None => self.names.push(name.to_owned()),
        }
        id
    }

    /// Forgets a name whose number is not in use any more.
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

    /// The number of a name of which there are at most [`MAX_GROUPS`], such as that of a zone.
    fn intern_group(&mut self, name: &str) -> u16 {
        if self.names.len() >= MAX_GROUPS && !self.ids.contains_key(name) {
            return 0;
        }
        self.intern(name) as u16
    }

    /// The number of a name that was interned.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// The name with a number.
    pub fn name(&self, id: u32) -> Option<&str> {
        self.names.get(id as usize).map(String::as_str)
    }
}

/// All names that one balancer deals with.
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

/// An entry of the endpoint list whose parts are still names.
pub struct ListedEndpoint<'a> {
    /// The name of the server.
    pub name: &'a str,
    /// Its zone.
    pub zone: Option<&'a str>,
    /// Its machine type.
    pub machine_type: Option<&'a str>,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Its listed weight.
    pub weight: Option<f64>,
    /// When it last started.
    pub started_at: Option<Time>,
}

impl NameRegistry {
    /// A registry with the names of classes and tenants, in the order of the settings.
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

    /// The number of a zone.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        self.zones.intern_group(name)
    }

    /// The endpoint as a balancer takes it.
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

    /// The number of a tenant that the settings name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).map(|id| id as TenantId)
    }
}
