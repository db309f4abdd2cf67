//! Updates of the endpoint list: servers that are added, changed and removed, and the endpoints that the module is
//! notified of.

use super::servers::ListedServer;
use super::{AddressedEndpoint, Command, DecisionModule, Engine, Host};
use crate::interface::{Endpoint, Event, ServerId, ServerState, Time, UpdateKind};
use std::collections::{HashMap, HashSet};

/// The endpoints that the module is notified of.
#[derive(Default)]
struct Changes {
    endpoints: Vec<Endpoint>,
    /// Servers that were replaced at their address, with the number of endpoints before the replacement. Earlier
    /// endpoints of such a server are dropped.
    replaced: HashMap<ServerId, usize>,
}

impl Changes {
    /// Adds the removal of a server that was replaced at its address by another one.
    fn add_replaced(&mut self, old: ServerId, by: &Endpoint) {
        self.replaced.insert(old, self.endpoints.len());
        let removed = Endpoint {
            server: old,
            state: ServerState::Removed,
            ..by.clone()
        };
        self.endpoints.push(removed);
    }

    fn into_endpoints(self) -> Vec<Endpoint> {
        let Changes {
            endpoints,
            replaced,
        } = self;
        if replaced.is_empty() {
            return endpoints;
        }
        let is_current = |index: usize, endpoint: &Endpoint| {
            replaced
                .get(&endpoint.server)
                .is_none_or(|first| index >= *first)
        };
        let indexed = endpoints.into_iter().enumerate();
        indexed
            .filter(|(index, endpoint)| is_current(*index, endpoint))
            .map(|(_, endpoint)| endpoint)
            .collect()
    }
}

impl<H: Host, D: DecisionModule> Engine<H, D> {
    /// Handles an update of the endpoint list. Idle connections to servers that were removed, drain, have restarted or
    /// have another address are closed at once.
    pub fn update_endpoints(
        &mut self,
        now: Time,
        kind: UpdateKind,
        endpoints: Vec<AddressedEndpoint<H::Address>>,
        commands: &mut Vec<Command<H>>,
    ) {
        if matches!(kind, UpdateKind::Snapshot | UpdateKind::Cached) {
            self.remove_missing(now, &endpoints, commands);
        }
        let mut changes = Changes::default();
        for endpoint in endpoints {
            self.update_endpoint(now, endpoint, &mut changes, commands);
        }
        for server in self.servers.take_free_ids(now) {
            commands.push(Command::ReleaseServerId { server });
        }
        let endpoints = changes.into_endpoints();
        self.handle_event(now, Event::EndpointUpdate { kind, endpoints }, commands);
    }

    fn remove_missing(
        &mut self,
        now: Time,
        endpoints: &[AddressedEndpoint<H::Address>],
        commands: &mut Vec<Command<H>>,
    ) {
        let named: HashSet<ServerId> = endpoints
            .iter()
            .map(|listed| listed.endpoint.server)
            .collect();
        for server in self.servers.missing(&named) {
            self.remove_server(now, server, commands);
        }
    }

    fn update_endpoint(
        &mut self,
        now: Time,
        listed: AddressedEndpoint<H::Address>,
        changes: &mut Changes,
        commands: &mut Vec<Command<H>>,
    ) {
        let AddressedEndpoint { endpoint, address } = listed;
        match endpoint.state {
            ServerState::Removed => self.remove_server(now, endpoint.server, commands),
            ServerState::Up => {
                self.remove_others_at(now, &endpoint, &address, changes, commands);
                self.insert_server(&endpoint, address, commands);
            }
            ServerState::Draining => self.insert_server(&endpoint, address, commands),
        }
        changes.endpoints.push(endpoint);
    }

    fn insert_server(
        &mut self,
        endpoint: &Endpoint,
        address: H::Address,
        commands: &mut Vec<Command<H>>,
    ) {
        let server = endpoint.server;
        let is_same_process = self
            .servers
            .get(server)
            .is_some_and(|old| old.address == address && old.started_at == endpoint.started_at);
        if !is_same_process || endpoint.state != ServerState::Up {
            commands.push(Command::CloseConnections { server });
        }
        let listed = ListedServer {
            address,
            state: endpoint.state,
            started_at: endpoint.started_at,
        };
        self.servers.insert(server, listed);
    }

    fn remove_server(&mut self, now: Time, server: ServerId, commands: &mut Vec<Command<H>>) {
        commands.push(Command::CloseConnections { server });
        self.servers.remove(now, server);
    }

    /// Removes the other servers at the address of this one. The list may report their removal late, and until then one
    /// server would get the requests of several.
    fn remove_others_at(
        &mut self,
        now: Time,
        endpoint: &Endpoint,
        address: &H::Address,
        changes: &mut Changes,
        commands: &mut Vec<Command<H>>,
    ) {
        for old in self.servers.others_at(address, endpoint.server) {
            self.remove_server(now, old, commands);
            changes.add_replaced(old, endpoint);
        }
    }
}
