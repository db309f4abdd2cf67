//! Where else than at each node something could be held.

use super::super::model::{self, Costs};
use super::super::table::{amount, markdown, Unit};
use crate::scale::report::Size;

pub fn elsewhere(costs: &Costs) -> String {
    let target = Size::TARGET;
    let regions = model::REGIONS;
    let [routes, tenants, _, servers, peers, _] = model::held(costs, &target);
    let bytes = |b: f64| amount(b, Unit::Bytes);
    let first = |window: f64| {
        format!(
            "{:.0} of 100",
            100.0 * model::first_requests(&target, window)
        )
    };
    let requests = model::requests(&target) / target.nodes as f64;
    let active = (requests * 60.0).min(target.tenants as f64);
    let row = |cells: [String; 6]| cells.to_vec();
    let none = || "-".to_owned();
    markdown(
        &[
            "what",
            "whole, as it is",
            "whole, compact",
            "its region's, compact",
            "on demand",
            "the first request waits",
        ],
        &[
            row([
                "tenants".into(),
                bytes(tenants),
                bytes(target.tenants as f64 * costs.compact_tenant_bytes),
                bytes(target.tenants as f64 * costs.compact_tenant_bytes / regions),
                format!(
                    "{} for those of the last minute",
                    bytes(active * costs.tenant_bytes)
                ),
                format!(
                    "{} in its zone, {} in its region; {} of requests are such with a \
                minute's memory, {} with ten minutes', if all tenants ask alike",
                    amount(costs.rtt_zone, Unit::Seconds),
                    amount(costs.rtt_region, Unit::Seconds),
                    first(60.0),
                    first(600.0)
                ),
            ]),
            row([
                "routes".into(),
                bytes(routes),
                bytes(target.routes as f64 * costs.compact_route_bytes),
                bytes(target.routes as f64 * costs.compact_route_bytes / regions),
                "not possible: the longest match needs all of a host".into(),
                none(),
            ]),
            row([
                "servers".into(),
                bytes(servers),
                bytes(target.servers as f64 * costs.compact_server_bytes),
                bytes(target.servers as f64 * costs.compact_server_bytes / regions),
                format!(
                    "{} for the {} that it can send 2 a second",
                    bytes(model::well_met(&target) * costs.entry_bytes),
                    amount(model::well_met(&target), Unit::Count)
                ),
                format!(
                    "{} for a list from its zone, and a dial",
                    amount(costs.rtt_zone, Unit::Seconds)
                ),
            ]),
            row([
                "other nodes".into(),
                bytes(peers),
                bytes(target.nodes as f64 * 32.0),
                bytes(target.nodes as f64 * 32.0 / regions),
                "not needed for a request".into(),
                none(),
            ]),
            row([
                "what others sent for a tenant".into(),
                "not there".into(),
                none(),
                none(),
                "a sketch of four rows of 16,384 counters: 262 KB, whatever the tenants".into(),
                "nothing: it is beside the request".into(),
            ]),
            row([
                "versions of others".into(),
                "not there".into(),
                none(),
                none(),
                "not at a node: 96 KB at the machines for control".into(),
                none(),
            ]),
        ],
    )
}
