//! What other pools, operators and the fleet ask of a pool.

use super::Pool;
use crate::net::shared::{Condemnation, OverdueRequest, PoolPeer};
use reelfall_balancer::engine::AddressedEndpoint;
use reelfall_balancer::interface::{Time, UpdateKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

impl PoolPeer for Pool {
    fn oldest_idle_since(&self, to: Option<SocketAddr>) -> Option<Instant> {
        self.upstream.oldest_idle(to)
    }

    fn close_oldest_idle(&self, to: Option<SocketAddr>) -> bool {
        self.upstream.drop_oldest_idle(to)
    }

    fn connection_freed(&self) {
        self.upstream.freed();
    }

    fn tick(self: Rc<Self>) {
        self.upstream.retire();
        let now = self.shared.clock.now();
        let warm = |(address, until): (&SocketAddr, &Time)| (*until <= now).then_some(*address);
        let warm: Vec<SocketAddr> = self
            .withheld_until
            .borrow()
            .iter()
            .filter_map(warm)
            .collect();
        warm.into_iter()
            .for_each(|address| self.clone().listing_changed(address));
    }

    fn ban_changed(self: Rc<Self>, name: &str) {
        let server = self.names.borrow().servers.get(name);
        let address = server.and_then(|server| self.address_of(server));
        if let Some(address) = address {
            self.listing_changed(address);
        }
    }

    fn refresh_endpoints(self: Rc<Self>) {
        let mut places: Vec<AddressedEndpoint<SocketAddr>> = self
            .server_list
            .borrow()
            .endpoints
            .values()
            .cloned()
            .collect();
        // The order in which they were named tells which of two at one address holds.
        places.sort_unstable_by_key(|p| p.endpoint.server);
        places.iter_mut().for_each(|p| self.adjust(p));
        places.retain(|p| self.engine.borrow().is_listed(p.endpoint.server));
        if !places.is_empty() {
            self.dispatch(|engine, now, out| {
                engine.update_endpoints(now, UpdateKind::Delta, places, out)
            });
        }
    }

    fn knows_server(&self, name: &str) -> bool {
        self.names.borrow().servers.get(name).is_some()
    }

    fn collect_overdue(&self, now: Time, to: &mut Vec<OverdueRequest>) {
        let engine = self.engine.borrow();
        for awaited in engine.awaited_attempts() {
            let Some(aim) = self
                .classes
                .get(usize::from(awaited.class))
                .map(|c| c.latency_objective)
            else {
                continue;
            };
            let waited = now - awaited.since;
            if waited > aim {
                to.extend(
                    self.instance_of(awaited.server)
                        .map(|server| OverdueRequest {
                            server,
                            waited,
                            latency_objective: aim,
                        }),
                );
            }
        }
    }

    fn apply_condemnation(self: Rc<Self>, condemnation: &Condemnation) {
        let server = self.names.borrow().servers.get(&condemnation.server.name);
        // The condemnation of one instance says nothing about another.
        let Some(server) =
            server.filter(|s| self.instance_of(*s).as_ref() == Some(&condemnation.server))
        else {
            return;
        };
        let Condemnation {
            until, is_prober, ..
        } = *condemnation;
        self.dispatch(|engine, now, out| {
            engine.set_peer_verdict(now, server, until, is_prober, out)
        });
    }

    fn listing_changed(self: Rc<Self>, address: SocketAddr) {
        let mut places: Vec<AddressedEndpoint<SocketAddr>> = self
            .server_list
            .borrow()
            .endpoints_at(&address)
            .cloned()
            .collect();
        places.iter_mut().for_each(|p| self.adjust(p));
        if !places.is_empty() {
            self.dispatch(|engine, now, out| {
                engine.update_endpoints(now, UpdateKind::Delta, places, out)
            });
        }
    }
}
