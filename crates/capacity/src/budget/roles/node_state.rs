//! What a node holds, and the bounds of what it may hold.

use super::super::kind::Kind::{Measured, WorkedOut};
use super::super::model::{self, bound, budget, Costs};
use super::super::table::{Row, Unit};
use super::row::{at, with, Of};
use crate::scale::report::Size;

pub fn node_state(costs: &Costs) -> Vec<Row> {
    let target = Size::TARGET;
    let part = |n: usize| at(|size| model::held(costs, size).get(n).copied().unwrap_or_default());
    let all = at(|size| model::held(costs, size).iter().sum());
    let memory = Some(budget::MEMORY);
    let compact = [
        target.routes as f64 * costs.compact_route_bytes,
        target.tenants as f64 * costs.compact_tenant_bytes,
        target.servers as f64 * costs.compact_server_bytes,
    ];
    let region = target.nodes as f64 / model::REGIONS;
    vec![
        with(
            Of("routes", "`route_bytes` each", Measured, Unit::Bytes).row(
                part(0),
                memory,
                "`crates/routing/src/table.rs`, `crates/config/src/check.rs` (the plan \
                keeps each route three times)",
            ),
            "one copy in flat tables",
            compact[0],
        ),
        with(
            Of("tenants", "`tenant_bytes` each", Measured, Unit::Bytes).row(
                part(1),
                memory,
                "`crates/config/src/model.rs`, `crates/balancer/src/settings.rs`, \
                `crates/node/src/net/service.rs` (`PoolKey`)",
            ),
            "a hash, a quota and a level each",
            compact[1],
        ),
        with(
            Of(
                "pools without their servers",
                "`pool_bytes` less eight of `entry_bytes`",
                WorkedOut,
                Unit::Bytes,
            )
            .row(part(2), memory, "`crates/node/src/net/pool.rs`"),
            "pools made by their first request: 650 of a region",
            650.0 * (costs.pool_bytes - 8.0 * costs.entry_bytes).max(0.0),
        ),
        with(
            Of(
                "servers",
                "`entry_bytes` each, in one pool; straight from 50 to 5,000 entries",
                WorkedOut,
                Unit::Bytes,
            )
            .row(
                part(3),
                memory,
                "`crates/node/src/net/pool.rs`, `crates/balancer/src/decide/servers.rs`, \
                `crates/balancer/src/engine.rs`, `crates/routing/src/shared_servers.rs`",
            ),
            "names and addresses alone for what is not sent to",
            compact[2],
        ),
        Of("other nodes", "`peer_bytes` each", Measured, Unit::Bytes).row(
            part(4),
            memory,
            "`crates/cluster/src/members.rs`, `freshness.rs`, `fleet`",
        ),
        Of(
            "the program with one service",
            "`rest_bytes`",
            Measured,
            Unit::Bytes,
        )
        .row(part(5), memory, "`crates/node`"),
        with(
            Of("all of these", "sum", WorkedOut, Unit::Bytes).row(all, memory, "`crates/node`"),
            "all of the above, and other nodes of the region alone",
            compact.iter().sum::<f64>()
                + 650.0 * (costs.pool_bytes - 8.0 * costs.entry_bytes).max(0.0)
                + region * costs.peer_bytes
                + costs.rest_bytes,
        ),
        Of(
            "while a settings file is read",
            "`read_memory` by length; straight as it grows with entries",
            WorkedOut,
            Unit::Bytes,
        )
        .row(
            at(|size| model::read_memory(costs, model::settings(costs, size))),
            memory,
            "`crates/config/src/reader.rs`",
        ),
        Of(
            "verdicts that can be held",
            "bound of the table, `verdict_bytes` three times each",
            WorkedOut,
            Unit::Bytes,
        )
        .row(
            [bound::VERDICTS * 3.0 * costs.verdict_bytes; 3],
            memory,
            "`crates/cluster/src/table.rs`",
        ),
        Of("services in a file", "size", WorkedOut, Unit::Count).row(
            at(|size| size.services as f64),
            Some(bound::SERVICES),
            "`crates/config/src/check.rs`: more are refused",
        ),
        Of("routes in a file", "size", WorkedOut, Unit::Count).row(
            at(|size| size.routes as f64),
            Some(bound::ROUTES),
            "`crates/config/src/check.rs`",
        ),
        Of(
            "other nodes whose clocks and lives are kept",
            "nodes less one",
            WorkedOut,
            Unit::Count,
        )
        .row(
            at(|size| size.nodes as f64 - 1.0),
            Some(bound::PEERS),
            "`crates/cluster/src/freshness.rs`, `fleet.rs`: the first met is forgotten",
        ),
        Of(
            "servers met within 5 s",
            "requests of 5 s at one node, at most",
            WorkedOut,
            Unit::Count,
        )
        .row(
            at(|size| model::requests(size) / size.nodes as f64 * bound::OUTCOMES),
            Some(bound::WITNESSED),
            "`crates/cluster/src/observer.rs`: further ones are not noted",
        ),
    ]
}
