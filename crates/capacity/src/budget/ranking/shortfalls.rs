//! The mechanisms whose amounts may exceed a budget. The ranking sorts them.

use super::{BudgetComparison, Shortfall};
use crate::budget::model::costs::Costs;
use crate::budget::model::endpoint_lists::RegistryPolling;
use crate::budget::model::{
    self, budget, connections, endpoint_lists, gossip, leases, node, program_limits, settings,
};
use crate::budget::worst_cases::rollout_restart_rate;
use crate::scale::report::Size;

/// Returns all mechanisms with their amounts at the target, including those within budget.
pub(super) fn all(costs: &Costs) -> Vec<Shortfall> {
    vec![
        settings_changes(costs),
        list_leases(costs),
        list_watches(costs),
        registry_polling(costs),
        node_memory(costs),
        idle_work(costs),
        verdicts(costs),
        service_limit(),
        idle_connections(costs),
        membership(costs),
    ]
}

fn settings_changes(costs: &Costs) -> Shortfall {
    let file = costs.settings_bytes;
    let changes = settings::change_rate(&Size::TARGET);
    Shortfall {
        name: "changes of settings: each is the whole file, beside every node; nothing \
                carries it there, nothing says which node has which version, nothing \
                takes a change back",
        mechanism: "none; a file and SIGHUP, `crates/node/src/standalone.rs`",
        comparisons: vec![
            BudgetComparison::traffic("a file for each change, the day's mean", file * changes),
            BudgetComparison::traffic(
                "the same with 500 changes in a minute",
                settings::burst_traffic(file),
            ),
            BudgetComparison::cores(
                "reading it for each change",
                settings::read_seconds(costs, file) * changes,
            ),
            BudgetComparison::memory(
                "memory while it is read",
                settings::read_memory(costs, file),
            ),
            BudgetComparison::until_in_force(
                "one file within the bytes of a node",
                file / budget::NODE_TRAFFIC,
            ),
        ],
    }
}

fn list_leases(costs: &Costs) -> Shortfall {
    let target = Size::TARGET;
    Shortfall {
        name: "one asker of a list for each service and zone, by leases",
        mechanism: "`crates/lease/src/keeper/mod.rs`, `crates/node/src/lease/mod.rs`",
        comparisons: vec![
            BudgetComparison::count("names", leases::names(&target), program_limits::LEASE_NAMES),
            BudgetComparison::traffic(
                "a node that waits for one in each service",
                leases::requester_traffic(costs, &target),
            ),
            BudgetComparison::thread(
                "a keeper's looks through its names",
                leases::keeper_scan_cores(costs, &target),
            ),
            BudgetComparison::bytes(
                "a whole image in one frame",
                leases::image_bytes(costs, &target),
                program_limits::STORE_FRAME_BYTES,
            ),
        ],
    }
}

fn list_watches(costs: &Costs) -> Shortfall {
    let target = Size::TARGET;
    let lists = endpoint_lists::list_bytes(costs, target.servers as f64);
    Shortfall {
        name: "lists of servers: a watch of its own for each service, at every node",
        mechanism: "`crates/node/src/net/discovery.rs`",
        comparisons: vec![
            BudgetComparison::count(
                "connections",
                target.services as f64,
                program_limits::SPARE_DESCRIPTORS,
            ),
            BudgetComparison::traffic(
                "signs of life",
                endpoint_lists::heartbeat_traffic(costs, &target),
            )
            .assumed(),
            BudgetComparison::until_in_force("all lists, whole", lists / budget::NODE_TRAFFIC),
            BudgetComparison::bytes(
                "one list of all servers",
                lists,
                program_limits::ENDPOINT_LIST_BYTES,
            ),
        ],
    }
}

fn registry_polling(costs: &Costs) -> Shortfall {
    let target = Size::TARGET;
    let RegistryPolling { traffic, cores } = endpoint_lists::registry_polling(costs, &target);
    Shortfall {
        name: "following a registry: a session for each pool, and all entries are read \
                again every 30 s",
        mechanism: "`crates/registry-client/src/follow.rs`, `crates/node/src/net/registry.rs`",
        comparisons: vec![
            BudgetComparison::count(
                "sessions",
                target.services as f64,
                program_limits::SPARE_DESCRIPTORS,
            ),
            BudgetComparison::traffic("entries read again", traffic),
            BudgetComparison::cores("the same", cores),
        ],
    }
}

fn node_memory(costs: &Costs) -> Shortfall {
    let memory = node::memory(costs, &Size::TARGET);
    Shortfall {
        name: "memory: routes, tenants, pools and servers are held whole by every node",
        mechanism: "`crates/config/src/check.rs`, `crates/node/src/net/service.rs`, `pool.rs`",
        comparisons: vec![
            BudgetComparison::memory("all", memory.total()),
            BudgetComparison::memory("tenants", memory.tenants),
            BudgetComparison::memory("servers", memory.servers),
            BudgetComparison::memory("routes", memory.routes),
            BudgetComparison::memory("pools", memory.pools),
        ],
    }
}

fn idle_work(costs: &Costs) -> Shortfall {
    let target = Size::TARGET;
    let idle_pools = node::idle_cores(costs, &target);
    Shortfall {
        name: "work of a node at rest that grows with services and servers; requests \
                wait for it, as there is one thread",
        mechanism: "`crates/balancer/src/decide/mod.rs`, `crates/node/src/net/shared.rs`",
        comparisons: vec![
            BudgetComparison::cores(
                "words of lists, four times a second",
                node::expiry_cores(costs, &target),
            ),
            BudgetComparison::cores("timers of pools, looks at pools", idle_pools),
        ],
    }
}

fn verdicts(costs: &Costs) -> Shortfall {
    let target = Size::TARGET;
    let nodes = target.nodes as f64;
    Shortfall {
        name: "words of nodes on servers when many fail at once, and a zone sent out \
                by hand",
        mechanism: "`crates/cluster/src/fleet`, `table.rs`, `crates/node/src/fleet/mod.rs` \
                (`judge`)",
        comparisons: vec![
            BudgetComparison::cores(
                "telling each pool of each server held for sick",
                node::verdict_cores(costs, &target),
            ),
            BudgetComparison::until_in_force(
                "bans of a zone's 3,850 servers",
                gossip::spread_seconds(costs, model::ZONE_SERVERS, nodes),
            ),
            BudgetComparison::traffic("datagrams of news, all full", gossip::max_traffic()),
            BudgetComparison::count(
                "three reports on each server of a zone",
                model::ZONE_SERVERS * program_limits::QUORUM_WITNESSES,
                program_limits::VERDICTS,
            ),
        ],
    }
}

fn service_limit() -> Shortfall {
    Shortfall {
        name: "services in a file: more are refused",
        mechanism: "`crates/config/src/check.rs`",
        comparisons: vec![BudgetComparison::count(
            "services",
            Size::TARGET.services as f64,
            program_limits::SERVICES,
        )],
    }
}

fn idle_connections(costs: &Costs) -> Shortfall {
    let target = Size::TARGET;
    let idle = connections::idle_ratio(costs, &target) * target.servers as f64;
    Shortfall {
        name: "connections to servers: by a settings file a node has no number, so it \
                sends to all servers and meets each every three minutes",
        mechanism: "`crates/balancer/src/decide/subset.rs`, `crates/config/src/check.rs`",
        comparisons: vec![BudgetComparison::count(
            "that would stand idle",
            idle,
            program_limits::SERVER_CONNECTIONS,
        )
        .assumed()],
    }
}

fn membership(costs: &Costs) -> Shortfall {
    let target = Size::TARGET;
    let nodes = target.nodes as f64;
    let restart_rate = rollout_restart_rate();
    // The traffic at 1,500 nodes is used as it is: it grows faster than the number of nodes, so a line doesn't fit it.
    let quiet_traffic = 2.0 * costs.gossip_traffic_1500;
    let traffic = quiet_traffic + gossip::membership_traffic(costs, &target, restart_rate);
    Shortfall {
        name: "who is there: all nodes in one fleet",
        mechanism: "`crates/cluster/src/fleet`, `members.rs`",
        comparisons: vec![
            BudgetComparison::count(
                "others whose clocks are remembered",
                nodes - 1.0,
                program_limits::PEERS,
            ),
            BudgetComparison::traffic("18,000 restarts in two hours", traffic),
            BudgetComparison::cores(
                "sorting all members while there is news",
                gossip::sampling_cores(costs, nodes),
            ),
        ],
    }
}
