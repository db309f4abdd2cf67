//! The sources of endpoint lists that services use, besides registries: service discovery and lists in the settings.

use super::prepared::ListedServer;
use crate::net::discovery;
use crate::net::pool::Pool;
use crate::net::source::Source;
use reelfall_balancer::interface::UpdateKind;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::watch;

/// The platform's service discovery, as the source of a pool's endpoint list.
pub struct DiscoverySource {
    /// Its address, which may change.
    pub address: watch::Receiver<SocketAddr>,
    /// The index of the list that the pool already has.
    pub known_index: u64,
    /// The name of the list among the nodes of a fleet.
    pub list_name: String,
}

impl Source for DiscoverySource {
    fn follow(self, pool: Rc<Pool>) -> impl Future<Output = ()> + 'static {
        discovery::follow(pool, self.address, self.known_index, self.list_name)
    }
}

/// A list of servers in the settings, as the source of a pool's endpoint list.
pub struct StaticSource {
    /// The latest list.
    pub list: watch::Receiver<Arc<Vec<ListedServer>>>,
}

impl Source for StaticSource {
    fn follow(mut self, pool: Rc<Pool>) -> impl Future<Output = ()> + 'static {
        // Applied before the first poll, so that no request finds the pool without servers.
        apply_list(&pool, &self.list.borrow_and_update());
        pool.is_ready.set(true);
        async move {
            while self.list.changed().await.is_ok() {
                apply_list(&pool, &self.list.borrow_and_update());
            }
            std::future::pending::<()>().await;
        }
    }
}

fn apply_list(pool: &Rc<Pool>, list: &[ListedServer]) {
    let endpoints = list
        .iter()
        .map(|listed| pool.configured_endpoint(&listed.server, listed.serving_since))
        .collect();
    pool.update_endpoints(UpdateKind::Snapshot, endpoints);
}
