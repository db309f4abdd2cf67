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
    pub(super) places: HashMap<ServerId, AddressedEndpoint<SocketAddr>>,
    /// The servers at each address.
    pub(super) at: HashMap<SocketAddr, Vec<ServerId>>,
    /// The same servers, as they are counted with those of all pools.
    listed: ListedByPool,
}

impl ServerList {
    pub(super) fn new(listed: ListedByPool) -> ServerList {
        ServerList {
            places: HashMap::new(),
            at: HashMap::new(),
            listed,
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
            self.listed.insert(place.endpoint.server, name, start_ms);
        }
        self.at
            .entry(place.address)
            .or_default()
            .push(place.endpoint.server);
        self.places.insert(place.endpoint.server, place.clone());
        old
    }

    pub(super) fn remove(&mut self, server: ServerId) -> Option<AddressedEndpoint<SocketAddr>> {
        let old = self.places.remove(&server)?;
        self.listed.remove(server);
        if let Some(at) = self.at.get_mut(&old.address) {
            at.retain(|s| *s != server);
            if at.is_empty() {
                self.at.remove(&old.address);
            }
        }
        Some(old)
    }

    /// The servers that the list has at an address.
    pub(super) fn at(
        &self,
        address: &SocketAddr,
    ) -> impl Iterator<Item = &AddressedEndpoint<SocketAddr>> {
        self.at
            .get(address)
            .into_iter()
            .flatten()
            .filter_map(|s| self.places.get(s))
    }

    pub(super) fn has(&self, address: &SocketAddr) -> bool {
        self.at.contains_key(address)
    }
}

/// What it means that a list no longer names a server.
#[derive(Clone, Copy, PartialEq)]
pub enum Missing {
    /// The server has ended: the list follows servers.
    Ended,
    /// This pool has no use for it any more: the list is somebody's settings.
    Unused,
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
    pub fn members(
        self: &Rc<Self>,
        list: UpdateKind,
        mut places: Vec<AddressedEndpoint<SocketAddr>>,
    ) {
        let changed = self.merge_lists(list, &mut places);
        self.dispatch(|engine, now, out| engine.update_endpoints(now, list, places, out));
        self.listed.notify_waiters();
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
        let mut own = self.own.borrow_mut();
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
                .places
                .keys()
                .filter(|id| !named.contains(id))
                .copied()
                .collect();
            let missing: Vec<_> = missing
                .into_iter()
                .filter_map(|id| own.remove(id))
                .collect();
            for p in missing.iter().filter(|p| !own.has(&p.address)) {
                let gone = self.listed_state(ServerStatus::Gone, p.endpoint.started_at);
                update_listing(p.address, (self.missing == Missing::Ended).then_some(gone));
                self.withheld.borrow_mut().remove(&p.address);
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
                old.filter(|old| old.address != place.address && !own.has(&old.address))
            {
                update_listing(old.address, None);
                self.withheld.borrow_mut().remove(&old.address);
            }
            // A server that took the place of another at its address is not gone with that one's name.
            if status != ServerStatus::Gone || !own.has(&place.address) {
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
            knows_start: self.missing == Missing::Ended,
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
        entry.local_balancers *= self.shared.processes();
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
            .combined_view(self.id, *address, own, self.warm_after);
        (entry.local_balancers, entry.started_at) = (view.sharers, view.ready_at);
        let mut withheld = self.withheld.borrow_mut();
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
