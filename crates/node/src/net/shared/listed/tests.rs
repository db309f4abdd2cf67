//! The count of listed servers, compared with an iteration over all lists.

use crate::net::memory::MemoryPlan;
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
            open_requests: 1_000,
            connections: 1_000,
            memory_kib: 1_000,
        },
        None,
        MemoryPlan::for_single_service(64 << 20, 1_000, 1_000),
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

async fn run_local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Pseudo-random numbers (SplitMix64), the same in each run.
struct TestRng(u64);

impl TestRng {
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

/// A pool, and the start times of the servers in its list.
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

    /// The server instances in its list, as server and start time; a list in the settings states no start time.
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
async fn server_count_matches_an_iteration_over_all_lists() {
    run_local(async {
        let (shared, mut rng) = (shared(), TestRng(7));
        let mut pools: Vec<FollowedPool> = Vec::new();
        for _ in 0..20_000 {
            match rng.below(20) {
                0 if pools.len() < 5 => {
                    let list_origin =
                        [ListOrigin::Discovered, ListOrigin::Configured][rng.below(2) as usize];
                    pools.push(FollowedPool::new(&shared, list_origin));
                }
                1 if !pools.is_empty() => {
                    // Timers hold only weak references, so this drops the pool.
                    pools.swap_remove(rng.below(pools.len() as u64) as usize);
                }
                n if !pools.is_empty() => {
                    let kind = if n < 5 {
                        UpdateKind::Snapshot
                    } else {
                        UpdateKind::Delta
                    };
                    let entries: Vec<Entry> = (0..rng.below(6)).map(|_| rng.entry()).collect();
                    let pool = rng.below(pools.len() as u64) as usize;
                    pools[pool].update_list(kind, &entries);
                }
                _ => {}
            }
            let counted: BTreeSet<(u64, u64)> =
                pools.iter().flat_map(FollowedPool::instances).collect();
            assert_eq!(shared.listed_server_count(), counted.len());
        }
        pools.clear();
        assert_eq!(
            shared.listed_server_count(),
            0,
            "servers of dropped pools are still counted"
        );
    })
    .await;
}

/// Iterating over this many servers for each count takes minutes; counting without an iteration takes milliseconds.
const SERVERS: u64 = 5_000;
const COUNT_CALLS: usize = 20_000;
/// Far from both durations, so that neither a slow machine nor a fast one changes the result.
const TIMEOUT: Duration = Duration::from_secs(15);

#[tokio::test]
async fn server_count_does_not_iterate_over_the_servers() {
    run_local(async {
        let shared = shared();
        let pool = pool(&shared, ListOrigin::Discovered);
        let entry = |server| Entry {
            server,
            state: ServerState::Up,
            ready_at: 0.0,
        };
        let entries: Vec<Entry> = (0..SERVERS).map(entry).collect();
        update_list(&pool, UpdateKind::Snapshot, &entries);
        let started = Instant::now();
        for _ in 0..COUNT_CALLS {
            assert_eq!(shared.listed_server_count(), entries.len());
            assert!(
                started.elapsed() < TIMEOUT,
                "each count iterates over the lists"
            );
        }
    })
    .await;
}
