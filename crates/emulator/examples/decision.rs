//! What one request costs the module, from its arrival to its answer, with lists of several lengths, and what a fresh
//! list costs. `cargo run --release -p reelfall-emulator --example decision`

use reelfall_core::interface::*;
use reelfall_core::Balancer;
use std::time::Instant;

const REQUESTS: u32 = 50_000;

fn settings(replicas: u32) -> Settings {
    let class =
        |effect| Class { aim: 0.2, deadline: 0.6, worth: 1.0, late_value: 0.3, effect, streamed: false };
    Settings {
        classes: vec![class(Effect::Idempotent), class(Effect::AtMostOnce)],
        tenants: vec![Tenant { quota: 20.0 * f64::from(replicas) }],
        zone: None,
        replicas,
        number: 3,
        discovery: Discovery::Push,
        reports: Reports::Silent,
        limits: Limits {
            max_attempts: 4,
            retry_share: 0.2,
            max_retry_after: 0.3,
            cancelling: true,
            may_probe: false,
            second_copies: false,
            conn_idle: 5.0,
        },
        rules: Rules {
            drain_grace: 0.5,
            cold_from: 0.33,
            warm_after: 8.9,
            overload_factor: 3.0,
            tip_after: 1.0,
            must_ask_in: 10.0,
        },
        prices: Prices::default(),
        goal: Goal { overall: 0.8, worst_class: 0.2, worst_tenant: 0.0 },
        over_share_worth: 0.1,
        worth_by_work: true,
        warm_keys: false,
        weighted: true,
        tick: 0.001,
    }
}

fn entry(server: ServerId) -> Entry {
    let hash = u64::from(server + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let (zone, kind, cell, state) = (0, 0, 0, ServerState::Up);
    Entry { server, hash, zone, kind, cell, state, weight: 1.0, ready_at: 0.0, sharers: 1 }
}

fn main() -> Result<(), String> {
    println!("servers  list ms  request us");
    for servers in [10, 60, 300, 1000] {
        let mut node = Balancer::new(settings(100), 7, 0.0)?;
        let mut actions = Vec::new();
        let entries = (0..servers).map(entry).collect();
        let began = Instant::now();
        node.handle(0.0, Event::Members { list: ListKind::Cached, entries }, &mut actions);
        let list = began.elapsed();
        let (mut now, mut at) = (0.0, Vec::new());
        let began = Instant::now();
        for request in 0..REQUESTS {
            now += 0.01;
            at.clear();
            let (tenant, hint, key) = (Some(0), Some(0.02), None);
            let class = (request % 2) as ClassId;
            node.handle(now, Event::Request { request, class, tenant, hint, key, left: 0.6 }, &mut at);
            let Some(server) = at.iter().find_map(|a| match a {
                Action::Attempt { server, .. } => Some(*server),
                _ => None,
            }) else {
                continue;
            };
            let (attempt, outcome, latency, ended, load) = (0, Outcome::Delivered, 0.005, true, None);
            let ended = Event::Outcome { request, attempt, server, outcome, latency, ended, load };
            node.handle(now + 0.005, ended, &mut at);
        }
        let each = began.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS);
        println!("{servers:>7}  {:>7.2}  {each:>10.2}", list.as_secs_f64() * 1e3);
    }
    Ok(())
}
