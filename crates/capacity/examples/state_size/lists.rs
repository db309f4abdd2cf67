//! Processor time of counting the servers of endpoint lists, expiring their states, and applying verdicts to pools, for the
//! command `count`.

use crate::fixtures::node;
use crate::measure::{mean_seconds, Figures};
use reelfall_cluster::entry::ServerInstance;
use reelfall_routing::shared_servers::{ListedState, ServerStatus, SharedServers};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::hint::black_box;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

/// Servers of each list.
const SERVERS_PER_LIST: usize = 19;
/// Start time of the first server, in seconds since the epoch.
const FIRST_START: f64 = 1_790_000_000.0;
const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// Numbers of executions that are timed.
const COUNTS: usize = 5;
const EXPIRY_SCANS: usize = 20;
const VERDICTS: usize = 200;
/// Distance between the pools of successive verdicts.
const VERDICT_STRIDE: usize = 7;

/// A server of a list.
struct ListedServer {
    name: String,
    started_at: f64,
}

/// A pool's servers by their names.
type PoolServers = RefCell<HashMap<String, u32>>;

/// Measures lists with `size` servers in total.
pub fn figures(size: usize) -> Figures {
    let list_count = size.div_ceil(SERVERS_PER_LIST);
    Figures::from([
        ("seconds".to_owned(), count_seconds(list_count)),
        ("lapse_seconds".to_owned(), expiry_seconds(size)),
        ("judge_seconds".to_owned(), verdict_seconds(list_count)),
    ])
}

fn server_name(list: usize, server: usize) -> String {
    format!("service-{list}-server-{server}")
}

/// Measures the loop of a node that counts the servers of its lists.
fn count_seconds(list_count: usize) -> f64 {
    let lists: Vec<HashMap<u32, ListedServer>> = (0..list_count).map(list).collect();
    mean_seconds(COUNTS, |_| {
        let mut all = BTreeSet::new();
        for list in &lists {
            let servers: Vec<u32> = list.keys().copied().collect();
            all.extend(servers.into_iter().filter_map(|id| instance(list, id)));
        }
        black_box(all.len());
    })
}

fn list(list: usize) -> HashMap<u32, ListedServer> {
    let listed = |server: usize| {
        let listed = ListedServer {
            name: server_name(list, server),
            started_at: FIRST_START + server as f64,
        };
        (server as u32, listed)
    };
    (0..SERVERS_PER_LIST).map(listed).collect()
}

fn instance(list: &HashMap<u32, ListedServer>, id: u32) -> Option<ServerInstance> {
    let ListedServer { name, started_at } = list.get(&id)?;
    Some(ServerInstance {
        name: name.clone(),
        started_ms: (started_at * MILLISECONDS_PER_SECOND).round() as u64,
    })
}

/// Measures the loop that applies the verdict on one server to all pools. Returns the seconds per pool.
fn verdict_seconds(pool_count: usize) -> f64 {
    let pools: Vec<Rc<PoolServers>> = (0..pool_count).map(pool_servers).collect();
    let registered: HashMap<usize, Weak<PoolServers>> =
        pools.iter().map(Rc::downgrade).enumerate().collect();
    let seconds = mean_seconds(VERDICTS, |number| {
        let name = server_name(number * VERDICT_STRIDE % pool_count, 3);
        let pools: Vec<_> = registered.values().filter_map(Weak::upgrade).collect();
        let ids = pools
            .into_iter()
            .filter_map(|pool| pool.borrow().get(&name).copied());
        black_box(ids.count());
    });
    seconds / pool_count as f64
}

fn pool_servers(pool: usize) -> Rc<PoolServers> {
    let named = |server: usize| (server_name(pool, server), server as u32);
    let servers = (0..SERVERS_PER_LIST).map(named);
    Rc::new(RefCell::new(servers.collect()))
}

/// Measures the scan of the listed states of `size` servers for expired ones.
fn expiry_seconds(size: usize) -> f64 {
    let mut servers: SharedServers<SocketAddr, u32> = SharedServers::default();
    for server in 0..size {
        let state = ListedState {
            status: ServerStatus::Up,
            started_at: 0.0,
            reports_start: true,
        };
        let list = (server / SERVERS_PER_LIST) as u32;
        servers.update(0.0, list, &node(server).address, Some(state));
    }
    mean_seconds(EXPIRY_SCANS, |second| {
        black_box(servers.expire(second as f64).len());
    })
}
