//! A pool's list of servers, combined with the lists of other pools and the operators' bans.

use super::Pool;
use crate::net::shared::ListedByPool;
use reelfall_balancer::engine::AddressedEndpoint;
use reelfall_balancer::interface::{ServerId, ServerState, Time, UpdateKind};
use reelfall_balancer::settings::ListedEndpoint;
use reelfall_config::model;
use reelfall_routing::common::{ListedState, ServerStatus};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// A list as its source has it, before other lists add anything.
pub(super) struct ServerList {
    pub(super) endpoints: HashMap<ServerId, AddressedEndpoint<SocketAddr>>,
    /// The servers at each address.
    pub(super) ids_by_address: HashMap<SocketAddr, Vec<ServerId>>,
    /// The same servers, as they are counted with those of all pools.
    registered_instances: ListedByPool,
}

impl ServerList {
    pub(super) fn new(listed: ListedByPool) -> ServerList {
        ServerList {
            endpoints: HashMap::new(),
            ids_by_address: HashMap::new(),
            registered_instances: listed,
        }
    }

    /// Adds a server, or replaces it. `name` and `start_ms` identify its instance, as in [`reelfall_cluster::entry::ServerInstance`].
    fn insert(
        &mut self,
        place: &AddressedEndpoint<SocketAddr>,
        name: Option<&str>,
        start_ms: u64,
    ) -> Option<AddressedEndpoint<SocketAddr>> {
        let old = self.remove(place.endpoint.server);
        if let Some(name) = name {
            self.registered_instances
                .insert(place.endpoint.server, name, start_ms);
        }
        self.ids_by_address
            .entry(place.address)
            .or_default()
            .push(place.endpoint.server);
        self.endpoints.insert(place.endpoint.server, place.clone());
        old
    }

    pub(super) fn remove(&mut self, server: ServerId) -> Option<AddressedEndpoint<SocketAddr>> {
        let old = self.endpoints.remove(&server)?;
        self.registered_instances.remove(server);
        if let Some(at) = self.ids_by_address.get_mut(&old.address) {
            at.retain(|s| *s != server);
            if at.is_empty() {
                self.ids_by_address.remove(&old.address);
            }
        }
        Some(old)
    }

    /// The servers that the list has at an address.
    pub(super) fn endpoints_at(
        &self,
        address: &SocketAddr,
    ) -> impl Iterator<Item = &AddressedEndpoint<SocketAddr>> {
        self.ids_by_address
            .get(address)
            .into_iter()
            .flatten()
            .filter_map(|s| self.endpoints.get(s))
    }

    pub(super) fn has_address(&self, address: &SocketAddr) -> bool {
        self.ids_by_address.contains_key(address)
    }
}

/// What it means that a list no longer names a server.
#[derive(Clone, Copy, PartialEq)]
pub enum ListOrigin {
    /// The server has ended: the list follows servers.
    Discovered,
    /// This pool has no use for it any more: the list is somebody's settings.
    Configured,
}

impl Pool {
    /// The entry of a server that stands in the settings and has been taking requests since `ready_at`.
    pub fn configured_entry(
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

    /// Takes in a list, or a change of it.
    pub fn update_endpoints(
        self: &Rc<Self>,
        list: UpdateKind,
        mut places: Vec<AddressedEndpoint<SocketAddr>>,
    ) {
        let changed = self.merge_lists(list, &mut places);
        self.dispatch(|engine, now, out| engine.update_endpoints(now, list, places, out));
        self.list_received.notify_waiters();
        changed
            .into_iter()
            .for_each(|address| self.shared.notify_listing_changed(address, Some(self.id)));
    }

    /// Combines this list with those of other pools. Returns the addresses that other pools have to be told of.
    fn merge_lists(
        &self,
        list: UpdateKind,
        places: &mut [AddressedEndpoint<SocketAddr>],
    ) -> Vec<SocketAddr> {
        let mut own = self.server_list.borrow_mut();
        let mut changed = Vec::new();
        let combines_lists = self.shared.combines_lists();
        let mut update_listing = |address, state| {
            if combines_lists && self.shared.update_listing(self.id, address, state) {
                changed.push(address);
            }
        };
        if matches!(list, UpdateKind::Snapshot | UpdateKind::Cached) {
            let named: HashSet<ServerId> = places.iter().map(|p| p.endpoint.server).collect();
            let missing: Vec<ServerId> = own
                .endpoints
                .keys()
                .filter(|id| !named.contains(id))
                .copied()
                .collect();
            let missing: Vec<_> = missing
                .into_iter()
                .filter_map(|id| own.remove(id))
                .collect();
            for p in missing.iter().filter(|p| !own.has_address(&p.address)) {
                let gone = self.listed_state(ServerStatus::Gone, p.endpoint.started_at);
                update_listing(
                    p.address,
                    (self.list_origin == ListOrigin::Discovered).then_some(gone),
                );
                self.withheld_until.borrow_mut().remove(&p.address);
            }
        }
        for place in places.iter_mut() {
            let status = status(place.endpoint.state);
            let old = match place.endpoint.state {
                ServerState::Removed => own.remove(place.endpoint.server),
                _ => {
                    let names = self.names.borrow();
                    let name = names.servers.name(place.endpoint.server);
                    own.insert(place, name, self.start_ms(place.endpoint.started_at))
                }
            };
            if let Some(old) =
                old.filter(|old| old.address != place.address && !own.has_address(&old.address))
            {
                update_listing(old.address, None);
                self.withheld_until.borrow_mut().remove(&old.address);
            }
            // A server that took the place of another at its address is not gone with that one's name.
            if status != ServerStatus::Gone || !own.has_address(&place.address) {
                let state = self.listed_state(status, place.endpoint.started_at);
                update_listing(place.address, Some(state));
            }
            self.adjust(place);
        }
        changed
    }

    fn listed_state(&self, status: ServerStatus, ready_at: Time) -> ListedState {
        ListedState {
            status,
            ready_at,
            knows_start: self.list_origin == ListOrigin::Discovered,
        }
    }

    /// Adjusts a server of this list to the lists of other pools, and to the bans, which come before all.
    pub(super) fn adjust(&self, place: &mut AddressedEndpoint<SocketAddr>) {
        if self.shared.combines_lists() {
            self.adjust_to_lists(place);
        }
        let entry = &mut place.endpoint;
        let names = self.names.borrow();
        let Some(name) = names.servers.name(entry.server) else {
            return;
        };
        entry.local_balancers *= self.shared.process_count();
        let ban = self.shared.ban_status(name, entry.started_at);
        entry.started_at = ban.ready_at;
        if ban.is_banned && entry.state == ServerState::Up {
            entry.state = ServerState::Draining;
        }
    }

    fn adjust_to_lists(&self, place: &mut AddressedEndpoint<SocketAddr>) {
        let AddressedEndpoint {
            endpoint: entry,
            address,
        } = place;
        let own = self.listed_state(status(entry.state), entry.started_at);
        let view = self
            .shared
            .combined_view(self.id, *address, own, self.slow_start_duration);
        (entry.local_balancers, entry.started_at) = (view.sharers, view.ready_at);
        let mut withheld = self.withheld_until.borrow_mut();
        match view
            .withheld_until
            .filter(|_| entry.state == ServerState::Up)
        {
            Some(until) => drop(withheld.insert(*address, until)),
            None => drop(withheld.remove(address)),
        }
        if entry.state == ServerState::Up && (view.is_draining || view.withheld_until.is_some()) {
            entry.state = ServerState::Draining;
        }
    }
}

fn status(state: ServerState) -> ServerStatus {
    match state {
        ServerState::Up => ServerStatus::Up,
        ServerState::Draining => ServerStatus::Draining,
        ServerState::Removed => ServerStatus::Gone,
    }
}
