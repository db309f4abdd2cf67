//! A pool that follows the entries under a path of a registry. Services with a registry as their source start it.

use super::driver::{Driver, SessionUser};
use super::RegistryAccess;
use crate::net::pool::Pool;
use crate::net::source::Source;
use reelfall_balancer::engine::AddressedEndpoint;
use reelfall_balancer::interface::{ServerId, ServerState, Time, UpdateKind};
use reelfall_balancer::settings::ListedEndpoint;
use reelfall_config::model;
use reelfall_registry_client::entry::Entry;
use reelfall_registry_client::follow::{Follower, FollowerConfig, Report};
use reelfall_registry_client::roster::Change;
use reelfall_registry_client::session::{Event, LossReason, Session, TokenRequest};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// The entries under a path of a registry, as the source of a pool's endpoint list.
pub struct RegistrySource {
    /// The addresses and credentials of the registry.
    pub access: RegistryAccess,
    /// The path whose children are the entries.
    pub path: String,
    /// How the entries are followed.
    pub config: FollowerConfig,
    /// Servers that are assumed to be listed until the registry has been read.
    pub initial_servers: Vec<model::Located<model::Server>>,
}

impl Source for RegistrySource {
    fn follow(self, pool: Rc<Pool>) -> impl Future<Output = ()> + 'static {
        if !self.initial_servers.is_empty() {
            // Their start times are unknown; servers in the settings count as started long ago.
            let endpoints = self
                .initial_servers
                .iter()
                .map(|server| pool.configured_endpoint(server, 0.0))
                .collect();
            pool.update_endpoints(UpdateKind::Cached, endpoints);
        }
        let clock = pool.shared.clock;
        let follower = Follower::new(&self.path, self.config, clock.now());
        let user = RegistryFollower {
            pool,
            path: self.path,
            follower,
            has_list: false,
            drains_all_servers: false,
        };
        let driver = Driver::new(&self.access, user, clock);
        async move { driver.run(&Notify::new()).await }
    }
}

struct RegistryFollower {
    pool: Rc<Pool>,
    path: String,
    follower: Follower,
    /// Whether the pool has received a complete list.
    has_list: bool,
    /// Whether all servers are set to draining, since the list is stale.
    drains_all_servers: bool,
}

impl RegistryFollower {
    /// The endpoint of an entry. All drain while the list is stale.
    fn endpoint(&self, entry: &Entry) -> AddressedEndpoint<SocketAddr> {
        let state = if entry.draining || self.drains_all_servers {
            ServerState::Draining
        } else {
            ServerState::Up
        };
        let listed = ListedEndpoint {
            name: &entry.name,
            zone: entry.zone.as_deref(),
            machine_type: entry.kind.as_deref(),
            cell: 0,
            state,
            weight: Some(entry.weight),
            started_at: Some(entry.started),
        };
        AddressedEndpoint {
            endpoint: self.pool.names.borrow_mut().endpoint(&listed),
            address: entry.address,
        }
    }

    fn all_endpoints(&self) -> Vec<AddressedEndpoint<SocketAddr>> {
        self.follower
            .roster()
            .servers()
            .map(|entry| self.endpoint(entry))
            .collect()
    }

    /// The endpoints of changed entries, without removed servers that the pool does not know.
    fn changed_endpoints(&self, changes: &[Change]) -> Vec<AddressedEndpoint<SocketAddr>> {
        let mut endpoints = Vec::with_capacity(changes.len());
        let mut listed_addresses = HashMap::new();
        for change in changes {
            match change {
                Change::Listed(entry) => {
                    let endpoint = self.endpoint(entry);
                    listed_addresses.insert(endpoint.endpoint.server, endpoint.address);
                    endpoints.push(endpoint);
                }
                Change::Removed(name) => {
                    endpoints.extend(self.removed_endpoint(name, &listed_addresses));
                }
            }
        }
        endpoints
    }

    /// The endpoint of a removed server; `None` if the pool does not know it. `listed_addresses` are those of the
    /// servers that were listed earlier in the same update, which the pool has not applied yet.
    fn removed_endpoint(
        &self,
        name: &str,
        listed_addresses: &HashMap<ServerId, SocketAddr>,
    ) -> Option<AddressedEndpoint<SocketAddr>> {
        self.pool.names.borrow().servers.get(name)?;
        let removed = ListedEndpoint {
            name,
            zone: None,
            machine_type: None,
            cell: 0,
            state: ServerState::Removed,
            weight: None,
            started_at: None,
        };
        let endpoint = self.pool.names.borrow_mut().endpoint(&removed);
        let address = listed_addresses
            .get(&endpoint.server)
            .copied()
            .or_else(|| self.pool.address_of(endpoint.server))?;
        Some(AddressedEndpoint { endpoint, address })
    }

    fn record_contact(&mut self, session: &Session) {
        if session.is_connected() {
            self.follower.record_contact(session.last_received());
            self.pool
                .source_last_contact
                .set(Some(session.last_received()));
        }
    }

    fn log_report(&self, report: &Report) {
        let (log, path) = (&self.pool.shared.log, &self.path);
        match report {
            Report::InvalidEntry(child, fault) => {
                log.write_line(format_args!("registry {path}/{child}: {fault}"));
            }
            Report::TooManyEntries(max_entries) => log.write_line(format_args!(
                "registry {path}: more than {max_entries} entries"
            )),
            Report::PathMissing => {
                log.write_line(format_args!("registry {path}: the path does not exist"));
            }
            Report::AccessDenied => log.write_line(format_args!(
                "registry {path}: this session has no permission to read it"
            )),
            Report::Stale(age) => log.write_line(format_args!(
                "registry {path}: no update received for {age} s"
            )),
            Report::UpToDate => {
                log.write_line(format_args!("registry {path}: updates are received again"));
            }
        }
    }
}

impl SessionUser for RegistryFollower {
    fn handle_event(&mut self, now: Time, session: &Session, event: &Event) {
        match event {
            Event::Disconnected(
                reason @ (LossReason::Protocol(_) | LossReason::BadCredentials),
            ) => {
                self.pool
                    .shared
                    .log
                    .write_line(format_args!("registry {}: {reason}", self.path));
            }
            Event::Reset => {
                self.pool.shared.log.write_line(format_args!(
                    "registry {}: the registry was reset, its state is read again",
                    self.path
                ));
            }
            _ => {}
        }
        self.record_contact(session);
        self.follower.handle_event(now, event);
    }

    fn next_request(&mut self) -> Option<TokenRequest> {
        self.follower.next_request()
    }

    fn tick(&mut self, now: Time, session: &Session) {
        self.record_contact(session);
        self.follower.tick(now);
    }

    fn deadline(&self) -> Time {
        self.follower.deadline()
    }

    fn events_handled(&mut self, _now: Time) {
        while let Some(report) = self.follower.next_report() {
            self.log_report(&report);
        }
        let drains_all_servers = self.follower.rejects_requests();
        let drained_all_servers =
            std::mem::replace(&mut self.drains_all_servers, drains_all_servers);
        let changes = self.follower.take_changes();
        if !self.has_list || drains_all_servers != drained_all_servers {
            // Nothing is applied before the list is complete: an incomplete list would direct all requests to a part of
            // the servers.
            if self.follower.has_list() {
                self.has_list = true;
                self.pool
                    .update_endpoints(UpdateKind::Snapshot, self.all_endpoints());
            }
            return;
        }
        if !changes.is_empty() {
            let endpoints = self.changed_endpoints(&changes);
            self.pool.update_endpoints(UpdateKind::Delta, endpoints);
        }
    }

    fn is_done(&self) -> bool {
        false
    }

    fn is_in_haste(&self) -> bool {
        false
    }
}
