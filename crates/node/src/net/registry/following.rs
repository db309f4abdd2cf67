//! A pool that follows the entries under a path of a registry.

use super::driver::{Driver, SessionUser};
use super::RegistryAccess;
use crate::net::pool::Pool;
use crate::net::source::Source;
use reelfall_balancer::engine::AddressedEndpoint;
use reelfall_balancer::interface::{ServerState, Time, UpdateKind};
use reelfall_balancer::settings::ListedEndpoint;
use reelfall_config::model;
use reelfall_registry_client::entry::Entry;
use reelfall_registry_client::follow::{Follower, Limits, Report};
use reelfall_registry_client::roster::Change;
use reelfall_registry_client::session::{Event, LossReason, Session};
use reelfall_registry_client::wire::Op;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Entries under a path of a registry.
pub struct RegistrySource {
    pub access: RegistryAccess,
    pub path: String,
    pub limits: Limits,
    /// Servers that are taken to be there until the registry has been heard.
    pub initial_servers: Vec<model::Located<model::Server>>,
}

impl Source for RegistrySource {
    fn follow(self, pool: Rc<Pool>) -> impl Future<Output = ()> + 'static {
        if !self.initial_servers.is_empty() {
            // Nobody knows when they started: whoever wrote them down knew them for some time.
            let entry =
                |server: &model::Located<model::Server>| pool.configured_endpoint(server, 0.0);
            let places = self.initial_servers.iter().map(entry).collect();
            pool.update_endpoints(UpdateKind::Cached, places);
        }
        let clock = pool.shared.clock;
        let follower = Follower::new(&self.path, self.limits, clock.now());
        let user = Following {
            pool,
            path: self.path,
            follower,
            has_listed: false,
            refused: false,
        };
        let driver = Driver::new(&self.access, user, clock);
        async move { driver.run(&Notify::new()).await }
    }
}

struct Following {
    pool: Rc<Pool>,
    path: String,
    follower: Follower,
    /// The pool has had a whole list.
    has_listed: bool,
    /// It has been told that nothing counts, since the list is stale.
    refused: bool,
}

impl Following {
    fn place(&self, entry: &Entry, state: ServerState) -> AddressedEndpoint<SocketAddr> {
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

    /// A server as its entry has it, unless nothing counts.
    fn listed(&self, entry: &Entry) -> AddressedEndpoint<SocketAddr> {
        let drains = entry.draining || self.refused;
        self.place(
            entry,
            if drains {
                ServerState::Draining
            } else {
                ServerState::Up
            },
        )
    }

    fn full_list(&self) -> Vec<AddressedEndpoint<SocketAddr>> {
        self.follower
            .roster()
            .servers()
            .map(|entry| self.listed(entry))
            .collect()
    }

    /// News of one server. Who has gone and was never told of needs no word.
    fn changed_server(&self, change: &Change) -> Option<AddressedEndpoint<SocketAddr>> {
        match change {
            Change::Listed(entry) => Some(self.listed(entry)),
            Change::Removed(name) => {
                self.pool.names.borrow().servers.get(name)?;
                let gone = ListedEndpoint {
                    name,
                    zone: None,
                    machine_type: None,
                    cell: 0,
                    state: ServerState::Removed,
                    weight: None,
                    started_at: None,
                };
                let entry = self.pool.names.borrow_mut().endpoint(&gone);
                // Where it was is known to the pool.
                let address = self.pool.address_of(entry.server)?;
                Some(AddressedEndpoint {
                    endpoint: entry,
                    address,
                })
            }
        }
    }

    fn note_heard(&mut self, session: &Session) {
        if session.is_up() {
            self.follower.note_heard(session.last_heard());
            self.pool
                .source_last_contact
                .set(Some(session.last_heard()));
        }
    }

    fn log_report(&self, report: &Report) {
        let (log, path) = (&self.pool.shared.log, &self.path);
        match report {
            Report::InvalidEntry(child, fault) => {
                log.write_line(format_args!("registry {path}/{child}: {fault}"))
            }
            Report::TooManyEntries(most) => {
                log.write_line(format_args!("registry {path}: more than {most} entries"))
            }
            Report::PathMissing => {
                log.write_line(format_args!("registry {path}: the path does not exist"))
            }
            Report::AccessDenied => log.write_line(format_args!(
                "registry {path}: this session has no permission to read it"
            )),
            Report::Stale(age) => log.write_line(format_args!(
                "registry {path}: no update received for {age} s"
            )),
            Report::UpToDate => {
                log.write_line(format_args!("registry {path}: updates are received again"))
            }
        }
    }
}

impl SessionUser for Following {
    fn handle_event(&mut self, now: Time, session: &Session, event: &Event) {
        match event {
            Event::Lost(reason @ (LossReason::Protocol(_) | LossReason::BadCredentials)) => {
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
        self.note_heard(session);
        self.follower.handle_event(now, event);
    }

    fn next_request(&mut self) -> Option<(u64, Op)> {
        self.follower.next_request()
    }

    fn tick(&mut self, now: Time, session: &Session) {
        self.note_heard(session);
        self.follower.tick(now);
    }

    fn deadline(&self) -> Time {
        self.follower.deadline()
    }

    fn events_handled(&mut self, _now: Time) {
        while let Some(report) = self.follower.next_report() {
            self.log_report(&report);
        }
        let refuses = self.follower.refuses_servers();
        let flips = std::mem::replace(&mut self.refused, refuses) != refuses;
        let changes = self.follower.take_changes();
        if !self.has_listed || flips {
            // Nothing is told before all of it is known: half a list would draw all work to half of the servers.
            if self.follower.has_list() {
                self.has_listed = true;
                self.pool
                    .update_endpoints(UpdateKind::Snapshot, self.full_list());
            }
            return;
        }
        if !changes.is_empty() {
            let places = changes
                .iter()
                .filter_map(|c| self.changed_server(c))
                .collect();
            self.pool.update_endpoints(UpdateKind::Delta, places);
        }
    }

    fn is_done(&self) -> bool {
        false
    }
}
