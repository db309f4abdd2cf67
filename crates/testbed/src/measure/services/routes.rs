//! The time of a route lookup by the number of routes. Called by `run` of the parent module.

use super::round_to_tenth;
use crate::SeededRng;
use reelfall_routing::table::{
    parse_path_prefix, HostPattern, RouteConditions, RouteQuery, RouteTable,
};
use serde_json::{json, Map, Value};
use std::time::Instant;

const TABLE_SIZES: [usize; 3] = [10, 1_000, 10_000];
/// Number of different requests of a measurement.
const REQUESTS: u64 = 1_000;
/// How often each request is looked up.
const REPETITIONS: u64 = 200;
const REQUEST_SEED: u64 = 3;
/// Routes with consecutive numbers share a host.
const ROUTES_PER_HOST: usize = 7;

/// The host and the path of a request.
struct Request {
    host: String,
    path: String,
}

/// Measures tables of several sizes.
pub(super) fn measure() -> Value {
    let mut figures = Map::new();
    for size in TABLE_SIZES {
        let routes: Vec<RouteConditions> = (0..size).filter_map(route).collect();
        if let Ok(table) = RouteTable::new(&routes) {
            figures.insert(size.to_string(), measure_table(&table, size));
        }
    }
    Value::Object(figures)
}

fn measure_table(table: &RouteTable, size: usize) -> Value {
    let mut rng = SeededRng(REQUEST_SEED);
    let requests: Vec<Request> = (0..REQUESTS)
        .map(|_| request(rng.next_u64() as usize % size))
        .collect();
    let started_at = Instant::now();
    let mut found = 0u64;
    for _ in 0..REPETITIONS {
        for request in &requests {
            found += u64::from(is_found(table, request));
        }
    }
    let lookups = REPETITIONS * REQUESTS;
    let ns_per_lookup = started_at.elapsed().as_nanos() as f64 / lookups as f64;
    json!({ "ns_per_lookup": round_to_tenth(ns_per_lookup), "found_percent": 100 * found / lookups })
}

fn is_found(table: &RouteTable, request: &Request) -> bool {
    let query = RouteQuery {
        listener: 0,
        host: &request.host,
        path: &request.path,
        method: "GET",
        class: None,
    };
    table.find(&query).is_some()
}

/// A third of the routes has an exact host, a third a wildcard, a third any host.
fn route(number: usize) -> Option<RouteConditions> {
    let host = match number % 3 {
        0 => exact_host(number),
        1 => format!("*.z{}.example.org", number / ROUTES_PER_HOST),
        _ => "*".to_owned(),
    };
    let path_prefix = parse_path_prefix(&format!("/api/v{number}")).ok()?;
    Some(RouteConditions {
        host: HostPattern::parse(&host).ok()?,
        path_prefix,
        ..RouteConditions::default()
    })
}

/// A request that the route with this number matches.
fn request(number: usize) -> Request {
    let host = match number % 3 {
        0 => exact_host(number),
        1 => format!("a.b.z{}.example.org", number / ROUTES_PER_HOST),
        _ => "other.example.org".to_owned(),
    };
    let path = format!("/api/v{number}/flags/7");
    Request { host, path }
}

fn exact_host(number: usize) -> String {
    format!("h{}.example.org", number / ROUTES_PER_HOST)
}
