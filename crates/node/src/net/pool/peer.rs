//! What [`Shared`](crate::net::shared::Shared) requests of a pool on behalf of other pools, operators and the fleet.

use super::list::SocketEndpoint;
use super::Pool;
use crate::net::shared::{OverdueRequest, PoolPeer, QuorumEjection};
use reelfall_balancer::engine::AwaitedAttempt;
use reelfall_balancer::interface::{ServerId, Time, UpdateKind};
use reelfall_cluster::entry::ServerInstance;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

impl PoolPeer for Pool {
    fn oldest_idle_since(&self, address: Option<SocketAddr>) -> Option<Instant> {
        self.connections.oldest_idle_since(address)
    }

    fn close_oldest_idle(&self, address: Option<SocketAddr>) -> bool {
        self.connections.close_oldest_idle(address)
    }

    fn connection_freed(&self) {
        self.connections.notify_connection_available();
    }

    fn tick(self: Rc<Self>) {
        self.connections.close_expired();
        let now = self.shared.clock.now();
        let released: Vec<SocketAddr> = self
            .withheld_until
            .borrow()
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(address, _)| *address)
            .collect();
        for address in released {
            self.clone().listing_changed(address);
        }
    }

    fn ban_changed(self: Rc<Self>, name: &str) {
        let server = self.names.borrow().servers.get(name);
        let address = server.and_then(|server| self.address_of(server));
        if let Some(address) = address {
            self.listing_changed(address);
        }
    }

    fn refresh_endpoints(self: Rc<Self>) {
        let mut endpoints: Vec<SocketEndpoint> =
            self.server_list.borrow().endpoints().cloned().collect();
        // Ids are assigned in the order of listing, and of two servers at one address the one listed last applies.
        endpoints.sort_unstable_by_key(|endpoint| endpoint.endpoint.server);
        for endpoint in &mut endpoints {
            self.adjust(endpoint);
        }
        endpoints.retain(|endpoint| self.engine.borrow().is_listed(endpoint.endpoint.server));
        self.update_engine(endpoints);
    }

    fn knows_server(&self, name: &str) -> bool {
        self.names.borrow().servers.get(name).is_some()
    }

    fn collect_overdue(&self, now: Time, overdue: &mut Vec<OverdueRequest>) {
        let engine = self.engine.borrow();
        for awaited in engine.awaited_attempts() {
            overdue.extend(self.overdue_request(&awaited, now));
        }
    }

    fn apply_quorum_ejection(self: Rc<Self>, ejection: &QuorumEjection) {
        let Some(server) = self.server_of(&ejection.server) else {
            return;
        };
        let QuorumEjection {
            until, is_prober, ..
        } = *ejection;
        self.dispatch(|engine, now, commands| {
            engine.set_peer_verdict(now, server, until, is_prober, commands);
        });
    }

    fn readmit(self: Rc<Self>, server: &ServerInstance) {
        if let Some(server) = self.server_of(server) {
            self.dispatch(|engine, now, commands| engine.readmit(now, server, commands));
        }
    }

    fn listing_changed(self: Rc<Self>, address: SocketAddr) {
        let mut endpoints: Vec<SocketEndpoint> = self
            .server_list
            .borrow()
            .endpoints_at(&address)
            .cloned()
            .collect();
        for endpoint in &mut endpoints {
            self.adjust(endpoint);
        }
        self.update_engine(endpoints);
    }
}

impl Pool {
    /// The server whose current instance this is. A finding about an earlier instance does not apply to the current
    /// one.
    fn server_of(&self, instance: &ServerInstance) -> Option<ServerId> {
        let server = self.names.borrow().servers.get(&instance.name)?;
        (self.instance_of(server).as_ref() == Some(instance)).then_some(server)
    }

    /// Passes endpoints that were adjusted again to the engine, if there are any.
    fn update_engine(self: &Rc<Self>, endpoints: Vec<SocketEndpoint>) {
        if endpoints.is_empty() {
            return;
        }
        self.dispatch(|engine, now, commands| {
            engine.update_endpoints(now, UpdateKind::Delta, endpoints, commands);
        });
    }

    /// The overdue request of an attempt; `None` if it has not exceeded its latency objective.
    fn overdue_request(&self, awaited: &AwaitedAttempt, now: Time) -> Option<OverdueRequest> {
        let latency_objective = self.latency_objective(awaited.class)?;
        let waited = now - awaited.since;
        let is_overdue = waited > latency_objective;
        if !is_overdue {
            return None;
        }
        let server = self.instance_of(awaited.server)?;
        Some(OverdueRequest {
            server,
            waited,
            latency_objective,
        })
    }
}
