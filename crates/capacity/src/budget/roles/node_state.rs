//! Memory of a node's state, and limits on that state. Generates the table `node-state`.

use crate::budget::model::costs::Costs;
use crate::budget::model::{self, budget, node, program_limits, settings};
use crate::budget::requirement::Requirement;
use crate::budget::units::Unit;
use crate::scale::report::Size;

/// Copies of each verdict in the verdict table.
const COPIES_PER_VERDICT: f64 = 3.0;

/// Bytes of a node's state at the target in compact tables, by resource.
struct Compact {
    routes: f64,
    tenants: f64,
    servers: f64,
}

impl Compact {
    fn at_target(costs: &Costs) -> Compact {
        let target = Size::TARGET;
        Compact {
            routes: target.routes as f64 * costs.compact_route_bytes,
            tenants: target.tenants as f64 * costs.compact_tenant_bytes,
            servers: target.servers as f64 * costs.compact_server_bytes,
        }
    }

    fn total(&self) -> f64 {
        self.routes + self.tenants + self.servers
    }
}

/// Returns the requirements of a node's state.
pub fn requirements(costs: &Costs) -> Vec<Requirement> {
    [
        configured_state(costs),
        learned_state(costs),
        configuration_limits(),
        observation_limits(),
    ]
    .concat()
}

/// Memory of state that comes from the settings and endpoint lists.
fn configured_state(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::measured("routes", Unit::Bytes, "`route_bytes` each")
            .at_sizes(|size| node::memory(costs, size).routes)
            .budget(budget::NODE_MEMORY_BYTES)
            .mechanism(
                "`crates/routing/src/table.rs`, `crates/config/src/check.rs` (the plan \
                keeps each route three times)",
            )
            .improved_by("one copy in flat tables", Compact::at_target(costs).routes),
        Requirement::measured("tenants", Unit::Bytes, "`tenant_bytes` each")
            .at_sizes(|size| node::memory(costs, size).tenants)
            .budget(budget::NODE_MEMORY_BYTES)
            .mechanism(
                "`crates/config/src/model.rs`, `crates/balancer/src/settings.rs`, \
                `crates/node/src/net/service.rs` (`PoolKey`)",
            )
            .improved_by(
                "a hash, a quota and a level each",
                Compact::at_target(costs).tenants,
            ),
        Requirement::derived(
            "pools without their servers",
            Unit::Bytes,
            "`pool_bytes` less eight of `entry_bytes`",
        )
        .at_sizes(|size| node::memory(costs, size).pools)
        .budget(budget::NODE_MEMORY_BYTES)
        .mechanism("`crates/node/src/net/pool.rs`")
        .improved_by(
            "pools made by their first request: 650 of a region",
            node::region_pool_bytes(costs),
        ),
        Requirement::derived(
            "servers",
            Unit::Bytes,
            "`entry_bytes` each, in one pool; straight from 50 to 5,000 entries",
        )
        .at_sizes(|size| node::memory(costs, size).servers)
        .budget(budget::NODE_MEMORY_BYTES)
        .mechanism(
            "`crates/node/src/net/pool.rs`, `crates/balancer/src/decide/servers.rs`, \
                `crates/balancer/src/engine.rs`, `crates/routing/src/shared_servers.rs`",
        )
        .improved_by(
            "names and addresses alone for what is not sent to",
            Compact::at_target(costs).servers,
        ),
    ]
}

/// Memory of the remaining state, the sum, memory while a file is read, and memory of a full verdict table.
fn learned_state(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::measured("other nodes", Unit::Bytes, "`peer_bytes` each")
            .at_sizes(|size| node::memory(costs, size).peers)
            .budget(budget::NODE_MEMORY_BYTES)
            .mechanism("`crates/cluster/src/members.rs`, `freshness.rs`, `fleet`"),
        Requirement::measured("the program with one service", Unit::Bytes, "`rest_bytes`")
            .at_sizes(|size| node::memory(costs, size).program)
            .budget(budget::NODE_MEMORY_BYTES)
            .mechanism("`crates/node`"),
        Requirement::derived("all of these", Unit::Bytes, "sum")
            .at_sizes(|size| node::memory(costs, size).total())
            .budget(budget::NODE_MEMORY_BYTES)
            .mechanism("`crates/node`")
            .improved_by(
                "all of the above, and other nodes of the region alone",
                improved_total(costs),
            ),
        Requirement::derived(
            "while a settings file is read",
            Unit::Bytes,
            "`read_memory` by length; straight as it grows with entries",
        )
        .at_sizes(|size| settings::read_memory(costs, settings::file_bytes(costs, size)))
        .budget(budget::NODE_MEMORY_BYTES)
        .mechanism("`crates/config/src/reader.rs`"),
        Requirement::derived(
            "verdicts that can be held",
            Unit::Bytes,
            "bound of the table, `verdict_bytes` three times each",
        )
        .constant(program_limits::VERDICTS * COPIES_PER_VERDICT * costs.verdict_bytes)
        .budget(budget::NODE_MEMORY_BYTES)
        .mechanism("`crates/cluster/src/table.rs`"),
    ]
}

/// Bytes of a node's state with all improvements and with only the peers of its region.
fn improved_total(costs: &Costs) -> f64 {
    let region_nodes = Size::TARGET.nodes as f64 / model::REGIONS;
    Compact::at_target(costs).total()
        + node::region_pool_bytes(costs)
        + region_nodes * costs.peer_bytes
        + costs.idle_node_bytes
}

/// Limits on the entries of a settings file.
fn configuration_limits() -> Vec<Requirement> {
    vec![
        Requirement::derived("services in a file", Unit::Count, "size")
            .at_sizes(|size| size.services as f64)
            .budget(program_limits::SERVICES)
            .mechanism("`crates/config/src/check.rs`: more are refused"),
        Requirement::derived("routes in a file", Unit::Count, "size")
            .at_sizes(|size| size.routes as f64)
            .budget(program_limits::ROUTES)
            .mechanism("`crates/config/src/check.rs`"),
    ]
}

/// Limits on the peers and servers that a node tracks.
fn observation_limits() -> Vec<Requirement> {
    vec![
        Requirement::derived(
            "other nodes whose clocks and lives are kept",
            Unit::Count,
            "nodes less one",
        )
        .at_sizes(|size| size.nodes as f64 - 1.0)
        .budget(program_limits::PEERS)
        .mechanism("`crates/cluster/src/freshness.rs`, `fleet.rs`: the first met is forgotten"),
        Requirement::derived(
            "servers met within 5 s",
            Unit::Count,
            "requests of 5 s at one node, at most",
        )
        .at_sizes(|size| model::node_request_rate(size) * program_limits::OUTCOME_WINDOW_SECONDS)
        .budget(program_limits::OBSERVED_SERVERS)
        .mechanism("`crates/cluster/src/observer.rs`: further ones are not noted"),
    ]
}
