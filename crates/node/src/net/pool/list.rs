//! A pool's endpoint list, combined with the lists of other pools and the operators' bans.
//!
//! Sources deliver updates to [`Pool::update_endpoints`]. The engine is given each endpoint as it is after
//! [`Pool::adjust`], while [`ServerList`] stores it as the source delivered it.

use super::Pool;
use crate::net::shared::ListedByPool;
use reelfall_balancer::engine::AddressedEndpoint;
use reelfall_balancer::interface::{ServerId, ServerState, Time, UpdateKind};
use reelfall_balancer::settings::ListedEndpoint;
use reelfall_config::model;
use reelfall_routing::shared_servers::{ListedState, ServerStatus};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// An endpoint with the address that its server listens on.
pub(super) type SocketEndpoint = AddressedEndpoint<SocketAddr>;

/// An endpoint list as its source delivered it.
pub(super) struct ServerList {
    endpoints: HashMap<ServerId, SocketEndpoint>,
    ids_by_address: HashMap<SocketAddr, Vec<ServerId>>,
    /// The same servers, as counted among the distinct servers of all pools.
    instances: ListedByPool,
}

impl ServerList {
    /// An empty list.
    pub(super) fn new(instances: ListedByPool) -> ServerList {
        ServerList {
            endpoints: HashMap::new(),
            ids_by_address: HashMap::new(),
            instances,
        }
    }

    /// Adds or replaces an endpoint and returns the replaced one. `name` and `start_ms` identify its instance, as in
    /// [`reelfall_cluster::entry::ServerInstance`].
    fn insert(
        &mut self,
        endpoint: &SocketEndpoint,
        name: Option<&str>,
        start_ms: u64,
    ) -> Option<SocketEndpoint> {
        let server = endpoint.endpoint.server;
        let replaced = self.remove(server);
        if let Some(name) = name {
            self.instances.insert(server, name, start_ms);
        }
        self.ids_by_address
            .entry(endpoint.address)
            .or_default()
            .push(server);
        self.endpoints.insert(server, endpoint.clone());
        replaced
    }

    fn remove(&mut self, server: ServerId) -> Option<SocketEndpoint> {
        let removed = self.endpoints.remove(&server)?;
        self.instances.remove(server);
        if let Some(ids) = self.ids_by_address.get_mut(&removed.address) {
            ids.retain(|id| *id != server);
            if ids.is_empty() {
                self.ids_by_address.remove(&removed.address);
            }
        }
        Some(removed)
    }

    /// Removes all endpoints but the `listed` ones and returns the removed ones.
    fn remove_unlisted(&mut self, listed: &HashSet<ServerId>) -> Vec<SocketEndpoint> {
        let unlisted: Vec<ServerId> = self
            .endpoints
            .keys()
            .filter(|server| !listed.contains(server))
            .copied()
            .collect();
        unlisted
            .into_iter()
            .filter_map(|server| self.remove(server))
            .collect()
    }

    /// All endpoints, in no order.
    pub(super) fn endpoints(&self) -> impl Iterator<Item = &SocketEndpoint> {
        self.endpoints.values()
    }

    /// The endpoints at an address.
    pub(super) fn endpoints_at(
        &self,
        address: &SocketAddr,
    ) -> impl Iterator<Item = &SocketEndpoint> {
        self.ids_by_address
            .get(address)
            .into_iter()
            .flatten()
            .filter_map(|server| self.endpoints.get(server))
    }

    /// Whether an endpoint has this address.
    fn has_address(&self, address: &SocketAddr) -> bool {
        self.ids_by_address.contains_key(address)
    }

    /// The address of a server.
    pub(super) fn address_of(&self, server: ServerId) -> Option<SocketAddr> {
        self.endpoints.get(&server).map(|endpoint| endpoint.address)
    }

    /// When a server has started, according to the list.
    pub(super) fn started_at(&self, server: ServerId) -> Option<Time> {
        self.endpoints
            .get(&server)
            .map(|endpoint| endpoint.endpoint.started_at)
    }
}

/// Where an endpoint list comes from, which determines what it states about servers' lifetimes.
#[derive(Clone, Copy, PartialEq)]
pub enum ListOrigin {
    /// Service discovery follows the servers: it knows their starts, and a server that is no longer listed has ended.
    Discovered,
    /// Settings name the servers: a server that is no longer listed may still run and serve other pools.
    Configured,
}

impl Pool {
    /// The endpoint of a server that the settings name and that has been accepting requests since `ready_at`.
    pub fn configured_endpoint(
        &self,
        server: &model::Server,
        ready_at: Time,
    ) -> AddressedEndpoint<SocketAddr> {
        let listed = ListedEndpoint {
            name: &server.name,
            zone: server.zone.as_deref(),
            machine_type: server.machine_type.as_deref(),
            cell: 0,
            state: server.state,
            weight: server.weight,
            started_at: Some(ready_at),
        };
        AddressedEndpoint {
            endpoint: self.names.borrow_mut().endpoint(&listed),
            address: server.address,
        }
    }

    /// Applies an update of the endpoint list and notifies other pools that list the same servers.
    pub fn update_endpoints(
        self: &Rc<Self>,
        kind: UpdateKind,
        mut endpoints: Vec<AddressedEndpoint<SocketAddr>>,
    ) {
        let changed = self.merge_update(kind, &mut endpoints);
        self.dispatch(|engine, now, commands| {
            engine.update_endpoints(now, kind, endpoints, commands);
        });
        self.list_received.notify_waiters();
        for address in changed {
            self.shared.notify_listing_changed(address, Some(self.id));
        }
    }

    /// Stores an update in this pool's list and adjusts its endpoints to the other pools' lists. Returns the addresses
    /// whose other pools have to be notified.
    fn merge_update(&self, kind: UpdateKind, endpoints: &mut [SocketEndpoint]) -> Vec<SocketAddr> {
        let mut server_list = self.server_list.borrow_mut();
        let mut changed = Vec::new();
        if matches!(kind, UpdateKind::Snapshot | UpdateKind::Cached) {
            self.remove_unlisted(&mut server_list, endpoints, &mut changed);
        }
        for endpoint in endpoints {
            self.store_endpoint(&mut server_list, endpoint, &mut changed);
            self.adjust(endpoint);
        }
        changed
    }

    /// Removes the servers that a snapshot no longer names.
    fn remove_unlisted(
        &self,
        server_list: &mut ServerList,
        snapshot: &[SocketEndpoint],
        changed: &mut Vec<SocketAddr>,
    ) {
        let listed: HashSet<ServerId> = snapshot
            .iter()
            .map(|endpoint| endpoint.endpoint.server)
            .collect();
        let removed = server_list.remove_unlisted(&listed);
        for endpoint in removed {
            if server_list.has_address(&endpoint.address) {
                continue;
            }
            let has_ended = self.list_origin == ListOrigin::Discovered;
            let gone = self.listed_state(ServerStatus::Gone, endpoint.endpoint.started_at);
            self.update_listing(endpoint.address, has_ended.then_some(gone), changed);
            self.withheld_until.borrow_mut().remove(&endpoint.address);
        }
    }

    /// Stores one endpoint of an update, or removes it if its state is `Removed`.
    fn store_endpoint(
        &self,
        server_list: &mut ServerList,
        endpoint: &SocketEndpoint,
        changed: &mut Vec<SocketAddr>,
    ) {
        let server = endpoint.endpoint.server;
        let started_at = endpoint.endpoint.started_at;
        let status = server_status(endpoint.endpoint.state);
        let replaced = match endpoint.endpoint.state {
            ServerState::Removed => server_list.remove(server),
            ServerState::Up | ServerState::Draining => {
                let names = self.names.borrow();
                let name = names.servers.name(server);
                server_list.insert(endpoint, name, self.start_ms(started_at))
            }
        };
        let vacated = replaced
            .map(|replaced| replaced.address)
            .filter(|address| *address != endpoint.address && !server_list.has_address(address));
        if let Some(address) = vacated {
            self.update_listing(address, None, changed);
            self.withheld_until.borrow_mut().remove(&address);
        }
        // The address of a removed server is still listed if another server now has it.
        if status != ServerStatus::Gone || !server_list.has_address(&endpoint.address) {
            let state = self.listed_state(status, started_at);
            self.update_listing(endpoint.address, Some(state), changed);
        }
    }

    /// Updates this pool's listing of an address among the listings of all pools.
    fn update_listing(
        &self,
        address: SocketAddr,
        state: Option<ListedState>,
        changed: &mut Vec<SocketAddr>,
    ) {
        if self.shared.combines_lists() && self.shared.update_listing(self.id, address, state) {
            changed.push(address);
        }
    }

    fn listed_state(&self, status: ServerStatus, ready_at: Time) -> ListedState {
        ListedState {
            status,
            started_at: ready_at,
            reports_start: self.list_origin == ListOrigin::Discovered,
        }
    }

    /// Adjusts an endpoint of this pool's list to the other pools' lists and to the bans, which take precedence.
    pub(super) fn adjust(&self, endpoint: &mut SocketEndpoint) {
        if self.shared.combines_lists() {
            self.adjust_to_lists(endpoint);
        }
        let endpoint = &mut endpoint.endpoint;
        let names = self.names.borrow();
        let Some(name) = names.servers.name(endpoint.server) else {
            return;
        };
        endpoint.local_balancers *= self.shared.process_count();
        let ban = self.shared.ban_status(name, endpoint.started_at);
        endpoint.started_at = ban.started_at;
        if ban.is_banned && endpoint.state == ServerState::Up {
            endpoint.state = ServerState::Draining;
        }
    }

    fn adjust_to_lists(&self, endpoint: &mut SocketEndpoint) {
        let AddressedEndpoint { endpoint, address } = endpoint;
        let own = self.listed_state(server_status(endpoint.state), endpoint.started_at);
        let view = self
            .shared
            .combined_view(self.id, *address, own, self.slow_start_duration);
        endpoint.local_balancers = view.pool_count;
        endpoint.started_at = view.started_at;
        let mut withheld_until = self.withheld_until.borrow_mut();
        match view.withheld_until {
            Some(until) if endpoint.state == ServerState::Up => {
                withheld_until.insert(*address, until);
            }
            _ => {
                withheld_until.remove(address);
            }
        }
        let is_unavailable = view.is_draining || view.withheld_until.is_some();
        if endpoint.state == ServerState::Up && is_unavailable {
            endpoint.state = ServerState::Draining;
        }
    }
}

fn server_status(state: ServerState) -> ServerStatus {
    match state {
        ServerState::Up => ServerStatus::Up,
        ServerState::Draining => ServerStatus::Draining,
        ServerState::Removed => ServerStatus::Gone,
    }
}
