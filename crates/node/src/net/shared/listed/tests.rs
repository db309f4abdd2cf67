//! The count of listed servers against a walk over all lists.

use crate::net::pool::{ListOrigin, Pool};
use crate::net::shared::Shared;
use reelfall_balancer::engine::AddressedEndpoint;
use reelfall_balancer::interface::{ServerState, Time, UpdateKind};
use reelfall_balancer::settings::{self, ListedEndpoint};
use reelfall_routing::limits::Totals;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"categories":[{"name":"read","promise":1.5,"deadline":6.0,"worth":1.0,"effect":"idempotent"}],
    "limits":{"conn-idle":5.0,"connect-timeout":0.5,"max-attempts":4}}"#;

fn shared() -> Rc<Shared> {
    Shared::for_services(
        Totals {
            open: 1_000,
            connections: 1_000,
            memory: 1_000,
        },
        None,
    )
}

fn pool(shared: &Rc<Shared>, missing: ListOrigin) -> Rc<Pool> {
    let (settings, names, figures) = settings::read(SETTINGS).expect("usable settings");
    Pool::new(settings, names, figures, 1, missing, shared.clone(), None).expect("a pool")
}

/// A line of a list.
#[derive(Clone, Copy)]
struct Line {
    server: u64,
    state: ServerState,
    ready_at: Time,
}

fn tell(pool: &Rc<Pool>, kind: UpdateKind, lines: &[Line]) {
    let place = |line: &Line| {
        let name = format!("server-{}", line.server);
        let listed = ListedEndpoint {
            name: &name,
            zone: None,
            machine_type: None,
            cell: 0,
            state: line.state,
            weight: None,
            started_at: Some(line.ready_at),
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 1 + line.server as u16));
        AddressedEndpoint {
            endpoint: pool.names.borrow_mut().endpoint(&listed),
            address,
        }
    };
    let places = lines.iter().map(place).collect();
    pool.update_endpoints(kind, places);
}

async fn local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The same draws in each run (splitmix64).
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    fn line(&mut self) -> Line {
        let state = match self.below(4) {
            0 => ServerState::Removed,
            1 => ServerState::Draining,
            _ => ServerState::Up,
        };
        Line {
            server: self.below(12),
            state,
            ready_at: self.below(3) as Time,
        }
    }
}

/// A pool, and the starts of the servers that it was told of.
struct Followed {
    pool: Rc<Pool>,
    missing: ListOrigin,
    listed: BTreeMap<u64, Time>,
}

impl Followed {
    fn new(shared: &Rc<Shared>, missing: ListOrigin) -> Followed {
        Followed {
            pool: pool(shared, missing),
            missing,
            listed: BTreeMap::new(),
        }
    }

    fn tell(&mut self, kind: UpdateKind, lines: &[Line]) {
        tell(&self.pool, kind, lines);
        if kind == UpdateKind::Snapshot {
            self.listed.clear();
        }
        for line in lines {
            match line.state {
                ServerState::Removed => drop(self.listed.remove(&line.server)),
                _ => drop(self.listed.insert(line.server, line.ready_at)),
            }
        }
    }

    /// The server instances that it names, by server and start; a list that is written by hand tells of no start.
    fn instances(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        let start = |ready_at: Time| match self.missing {
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
        let (shared, mut draws) = (shared(), Draws(7));
        let mut pools: Vec<Followed> = Vec::new();
        for _ in 0..20_000 {
            match draws.below(20) {
                0 if pools.len() < 5 => {
                    let missing =
                        [ListOrigin::Discovered, ListOrigin::Configured][draws.below(2) as usize];
                    pools.push(Followed::new(&shared, missing));
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
                    let lines: Vec<Line> = (0..draws.below(6)).map(|_| draws.line()).collect();
                    let pool = draws.below(pools.len() as u64) as usize;
                    pools[pool].tell(kind, &lines);
                }
                _ => {}
            }
            let walked: BTreeSet<(u64, u64)> = pools.iter().flat_map(Followed::instances).collect();
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
        let line = |server| Line {
            server,
            state: ServerState::Up,
            ready_at: 0.0,
        };
        let lines: Vec<Line> = (0..SERVERS).map(line).collect();
        tell(&pool, UpdateKind::Snapshot, &lines);
        let begun = Instant::now();
        for _ in 0..COUNTS {
            assert_eq!(shared.listed_server_count(), lines.len());
            assert!(begun.elapsed() < IN_TIME, "each count walks over the lists");
        }
    })
    .await;
}
