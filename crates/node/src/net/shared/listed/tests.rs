//! The count of listed servers against a walk over all lists.

use crate::net::pool::{ListOrigin, Pool, PoolConfig};
use crate::net::shared::Shared;
use reelfall_balancer::engine::AddressedEndpoint;
use reelfall_balancer::interface::{ServerState, Time, UpdateKind};
use reelfall_balancer::settings::{self, ListedEndpoint};
use reelfall_routing::limits::ProcessResources;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"categories":[{"name":"read","promise":1.5,"deadline":6.0,"worth":1.0,"effect":"idempotent"}],
    "limits":{"conn-idle":5.0,"connect-timeout":0.5,"max-attempts":4}}"#;

fn shared() -> Rc<Shared> {
    Shared::for_services(
        ProcessResources {
            open: 1_000,
            connections: 1_000,
            memory: 1_000,
        },
        None,
    )
}

fn pool(shared: &Rc<Shared>, list_origin: ListOrigin) -> Rc<Pool> {
    let (settings, names, connection_settings) = settings::read(SETTINGS).expect("usable settings");
    Pool::new(PoolConfig {
        settings,
        names,
        connection_settings,
        seed: 1,
        list_origin,
        shared: shared.clone(),
        service_id: None,
    })
    .expect("a pool")
}

/// An entry of an endpoint list.
#[derive(Clone, Copy)]
struct Entry {
    server: u64,
    state: ServerState,
    ready_at: Time,
}

fn update_list(pool: &Rc<Pool>, kind: UpdateKind, entries: &[Entry]) {
    let endpoint = |entry: &Entry| {
        let name = format!("server-{}", entry.server);
        let listed = ListedEndpoint {
            name: &name,
            zone: None,
            machine_type: None,
            cell: 0,
            state: entry.state,
            weight: None,
            started_at: Some(entry.ready_at),
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 1 + entry.server as u16));
        AddressedEndpoint {
            endpoint: pool.names.borrow_mut().endpoint(&listed),
            address,
        }
    };
    let endpoints = entries.iter().map(endpoint).collect();
    pool.update_endpoints(kind, endpoints);
}

async fn local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The same draws in each run (splitmix64).
struct SeededDraws(u64);

impl SeededDraws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    fn entry(&mut self) -> Entry {
        let state = match self.below(4) {
            0 => ServerState::Removed,
            1 => ServerState::Draining,
            _ => ServerState::Up,
        };
        Entry {
            server: self.below(12),
            state,
            ready_at: self.below(3) as Time,
        }
    }
}

/// A pool, and the starts of the servers that it was told of.
struct FollowedPool {
    pool: Rc<Pool>,
    list_origin: ListOrigin,
    listed: BTreeMap<u64, Time>,
}

impl FollowedPool {
    fn new(shared: &Rc<Shared>, list_origin: ListOrigin) -> FollowedPool {
        FollowedPool {
            pool: pool(shared, list_origin),
            list_origin,
            listed: BTreeMap::new(),
        }
    }

    fn update_list(&mut self, kind: UpdateKind, entries: &[Entry]) {
        update_list(&self.pool, kind, entries);
        if kind == UpdateKind::Snapshot {
            self.listed.clear();
        }
        for entry in entries {
            match entry.state {
                ServerState::Removed => drop(self.listed.remove(&entry.server)),
                _ => drop(self.listed.insert(entry.server, entry.ready_at)),
            }
        }
    }

    /// The server instances that it names, by server and start; a list that is written by hand tells of no start.
    fn instances(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        let start = |ready_at: Time| match self.list_origin {
            ListOrigin::Discovered => (ready_at * 1e3) as u64,
            ListOrigin::Configured => 0,
        };
        self.listed
            .iter()
            .map(move |(server, ready_at)| (*server, start(*ready_at)))
    }
}

#[tokio::test]
async fn the_count_that_is_kept_is_that_of_a_walk_over_all_lists() {
    local(async {
        let (shared, mut draws) = (shared(), SeededDraws(7));
        let mut pools: Vec<FollowedPool> = Vec::new();
        for _ in 0..20_000 {
            match draws.below(20) {
                0 if pools.len() < 5 => {
                    let list_origin =
                        [ListOrigin::Discovered, ListOrigin::Configured][draws.below(2) as usize];
                    pools.push(FollowedPool::new(&shared, list_origin));
                }
                1 if !pools.is_empty() => {
                    // Its timers hold it weakly: this is its end.
                    pools.swap_remove(draws.below(pools.len() as u64) as usize);
                }
                n if !pools.is_empty() => {
                    let kind = if n < 5 {
                        UpdateKind::Snapshot
                    } else {
                        UpdateKind::Delta
                    };
                    let entries: Vec<Entry> = (0..draws.below(6)).map(|_| draws.entry()).collect();
                    let pool = draws.below(pools.len() as u64) as usize;
                    pools[pool].update_list(kind, &entries);
                }
                _ => {}
            }
            let walked: BTreeSet<(u64, u64)> =
                pools.iter().flat_map(FollowedPool::instances).collect();
            assert_eq!(shared.listed_server_count(), walked.len());
        }
        pools.clear();
        assert_eq!(
            shared.listed_server_count(),
            0,
            "something is kept of pools that are gone"
        );
    })
    .await;
}

/// A walk over so many servers for each of so many counts takes minutes; without a walk they take milliseconds.
const SERVERS: u64 = 5_000;
const COUNTS: usize = 20_000;
/// Far from both.
const IN_TIME: Duration = Duration::from_secs(15);

#[tokio::test]
async fn a_count_does_not_walk_over_the_servers() {
    local(async {
        let shared = shared();
        let pool = pool(&shared, ListOrigin::Discovered);
        let entry = |server| Entry {
            server,
            state: ServerState::Up,
            ready_at: 0.0,
        };
        let entries: Vec<Entry> = (0..SERVERS).map(entry).collect();
        update_list(&pool, UpdateKind::Snapshot, &entries);
        let begun = Instant::now();
        for _ in 0..COUNTS {
            assert_eq!(shared.listed_server_count(), entries.len());
            assert!(begun.elapsed() < IN_TIME, "each count walks over the lists");
        }
    })
    .await;
}
