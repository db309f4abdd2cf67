//! What lists of several lengths cost the module: a fresh list, one request from its arrival to its answer, and then a
//! change in which a tenth of the list restarts.
//!
//! `cargo run --release -p reelfall-emulator --example decision [LENGTH...]`

use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;
use std::time::Instant;

const LENGTHS: [u32; 4] = [10, 60, 300, 1000];

/// Requests for each length: as many, but for fewer visits to servers by far, and enough for a mean.
const REQUESTS: u32 = 50_000;
const REQUESTS_LEAST: u32 = 2_000;
const VISITS: u32 = 50_000_000;

/// The fourth of a hundred nodes that take 20 requests a second each.
const SETTINGS: &str = r#"{"categories":[
    {"name":"read","promise":0.2,"deadline":0.6,"worth":1.0,"late-value":0.3,"effect":"idempotent"},
    {"name":"write","promise":0.2,"deadline":0.6,"worth":1.0,"late-value":0.3,"effect":"at_most_once"}],
    "tenants":[{"name":"a","portion":1.0,"quota-rps":2000.0}],
    "replicas-of-me":100,"my-number":3,"weight-kind":"nominal","limits":{"max-attempts":4}}"#;

fn entry(server: ServerId) -> Endpoint {
    let hash = u64::from(server + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let (zone, kind, cell, state) = (0, 0, 0, ServerState::Up);
    Endpoint {
        server,
        hash,
        zone,
        machine_type: kind,
        cell,
        state,
        weight: 1.0,
        started_at: 0.0,
        local_balancers: 1,
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let (settings, ..) = reelfall_balancer::settings::read(SETTINGS)?;
    let lengths: Result<Vec<u32>, _> = std::env::args()
        .skip(1)
        .map(|length| length.parse())
        .collect();
    let mut lengths = lengths.map_err(|e| format!("lengths are whole numbers: {e}"))?;
    if lengths.is_empty() {
        lengths.extend(LENGTHS);
    }
    println!("servers    list ms  restarts ms  request us");
    for servers in lengths {
        let requests = (VISITS / servers.max(1)).clamp(REQUESTS_LEAST, REQUESTS);
        let mut node = Balancer::new(settings.clone(), 7, 0.0)?;
        let mut actions = Vec::new();
        let entries = (0..servers).map(entry).collect();
        let began = Instant::now();
        node.handle(
            0.0,
            Event::EndpointUpdate {
                kind: UpdateKind::Cached,
                endpoints: entries,
            },
            &mut actions,
        );
        let list = began.elapsed();
        let (mut now, mut at) = (0.0, Vec::new());
        let began = Instant::now();
        for request in 0..requests {
            now += 0.01;
            at.clear();
            let (tenant, hint, key) = (Some(0), Some(0.02), None);
            let class = (request % 2) as ClassId;
            node.handle(
                now,
                Event::Request {
                    request,
                    class,
                    tenant,
                    work_hint: hint,
                    key,
                    remaining: 0.6,
                },
                &mut at,
            );
            let Some(server) = at.iter().find_map(|a| match a {
                Action::Attempt { server, .. } => Some(*server),
                _ => None,
            }) else {
                continue;
            };
            let (attempt, outcome, latency, ended, load) = (0, Outcome::Served, 0.005, true, None);
            let ended = Event::AttemptEnded {
                request,
                attempt,
                server,
                outcome,
                latency,
                request_ended: ended,
                load,
            };
            node.handle(now + 0.005, ended, &mut at);
        }
        let each = began.elapsed().as_secs_f64() * 1e6 / f64::from(requests);
        let restarted = |server| Endpoint {
            started_at: now,
            ..entry(server)
        };
        let entries = (0..servers).step_by(10).map(restarted).collect();
        let began = Instant::now();
        node.handle(
            now,
            Event::EndpointUpdate {
                kind: UpdateKind::Delta,
                endpoints: entries,
            },
            &mut actions,
        );
        let restarts = began.elapsed();
        let [list, restarts] = [list, restarts].map(|time| time.as_secs_f64() * 1e3);
        println!("{servers:>7}  {list:>9.2}  {restarts:>11.2}  {each:>10.2}");
    }
    Ok(())
}
