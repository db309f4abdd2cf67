//! Alternatives for storing a node's state: whole, compact, by region or fetched on demand. Generates the table `elsewhere`.

use crate::budget::markdown;
use crate::budget::model::costs::Costs;
use crate::budget::model::{self, connections, node, tenants};
use crate::budget::units::{amount, Unit};
use crate::scale::report::Size;

/// A peer in a compact table, in bytes.
const COMPACT_PEER_BYTES: f64 = 32.0;
/// The shorter of the two cache times of fetched tenants, in seconds.
const SHORT_CACHE_SECONDS: f64 = 60.0;
/// The longer of the two cache times of fetched tenants, in seconds.
const LONG_CACHE_SECONDS: f64 = 600.0;

/// Bytes of a resource at a node, stored as today and in a compact table.
struct Stored {
    whole: f64,
    compact: f64,
}

/// The table row of one resource, with the cost of each alternative.
struct Alternative {
    resource: &'static str,
    whole: String,
    compact: String,
    compact_in_region: String,
    on_demand: String,
    first_request_waits: String,
}

impl Alternative {
    /// Creates the row of a resource that each node stores whole today.
    fn stored(resource: &'static str, stored: &Stored, on_demand: String) -> Alternative {
        Alternative {
            resource,
            whole: bytes(stored.whole),
            compact: bytes(stored.compact),
            compact_in_region: bytes(stored.compact / model::REGIONS),
            on_demand,
            first_request_waits: not_applicable(),
        }
    }

    /// Creates the row of a resource that no node stores today.
    fn absent(resource: &'static str, on_demand: &str) -> Alternative {
        Alternative {
            resource,
            whole: "not there".to_owned(),
            compact: not_applicable(),
            compact_in_region: not_applicable(),
            on_demand: on_demand.to_owned(),
            first_request_waits: not_applicable(),
        }
    }

    fn cells(self) -> Vec<String> {
        vec![
            self.resource.to_owned(),
            self.whole,
            self.compact,
            self.compact_in_region,
            self.on_demand,
            self.first_request_waits,
        ]
    }
}

fn not_applicable() -> String {
    "-".to_owned()
}

fn bytes(value: f64) -> String {
    amount(value, Unit::Bytes)
}

fn seconds(value: f64) -> String {
    amount(value, Unit::Seconds)
}

/// Renders the alternatives as a table.
pub fn table(costs: &Costs) -> String {
    let header = [
        "what",
        "whole, as it is",
        "whole, compact",
        "its region's, compact",
        "on demand",
        "the first request waits",
    ];
    let alternatives = [
        tenant_table(costs),
        route_table(costs),
        server_table(costs),
        peer_table(costs),
        tenant_usage(),
        Alternative::absent(
            "versions of others",
            "not at a node: 96 KB at the machines for control",
        ),
    ];
    let rows: Vec<_> = alternatives.into_iter().map(Alternative::cells).collect();
    markdown::table(&header, &rows)
}

fn tenant_table(costs: &Costs) -> Alternative {
    let target = Size::TARGET;
    let stored = Stored {
        whole: node::memory(costs, &target).tenants,
        compact: target.tenants as f64 * costs.compact_tenant_bytes,
    };
    let active = tenants::active_tenants(&target, SHORT_CACHE_SECONDS);
    let on_demand = format!(
        "{} for those of the last minute",
        bytes(active * costs.tenant_bytes)
    );
    Alternative {
        first_request_waits: format!(
            "{} in its zone, {} in its region; {} of requests are such with a \
             minute's memory, {} with ten minutes', if all tenants ask alike",
            seconds(costs.rtt_zone),
            seconds(costs.rtt_region),
            uncached_requests(SHORT_CACHE_SECONDS),
            uncached_requests(LONG_CACHE_SECONDS)
        ),
        ..Alternative::stored("tenants", &stored, on_demand)
    }
}

/// Renders the percentage of requests whose tenant is not cached.
fn uncached_requests(cache_seconds: f64) -> String {
    let ratio = tenants::uncached_request_ratio(&Size::TARGET, cache_seconds);
    format!("{:.0} of 100", 100.0 * ratio)
}

fn route_table(costs: &Costs) -> Alternative {
    let target = Size::TARGET;
    let stored = Stored {
        whole: node::memory(costs, &target).routes,
        compact: target.routes as f64 * costs.compact_route_bytes,
    };
    let on_demand = "not possible: the longest match needs all of a host";
    Alternative::stored("routes", &stored, on_demand.to_owned())
}

fn server_table(costs: &Costs) -> Alternative {
    let target = Size::TARGET;
    let stored = Stored {
        whole: node::memory(costs, &target).servers,
        compact: target.servers as f64 * costs.compact_server_bytes,
    };
    let warm_servers = connections::servers_at_warm_rate(&target);
    let on_demand = format!(
        "{} for the {} that it can send 2 a second",
        bytes(warm_servers * costs.endpoint_bytes),
        amount(warm_servers, Unit::Count)
    );
    Alternative {
        first_request_waits: format!(
            "{} for a list from its zone, and a dial",
            seconds(costs.rtt_zone)
        ),
        ..Alternative::stored("servers", &stored, on_demand)
    }
}

fn peer_table(costs: &Costs) -> Alternative {
    let target = Size::TARGET;
    let stored = Stored {
        whole: node::memory(costs, &target).peers,
        compact: target.nodes as f64 * COMPACT_PEER_BYTES,
    };
    let on_demand = "not needed for a request".to_owned();
    Alternative::stored("other nodes", &stored, on_demand)
}

fn tenant_usage() -> Alternative {
    let on_demand = "a sketch of four rows of 16,384 counters: 262 KB, whatever the tenants";
    Alternative {
        first_request_waits: "nothing: it is beside the request".to_owned(),
        ..Alternative::absent("what others sent for a tenant", on_demand)
    }
}
