//! Processor time and latency for each request against a bare relay, route look-ups, memory of an idle service.

use super::{median, one_round, round1, Plan, Subject};
use crate::discovery::{Discovery, Listed};
use crate::load::{self, Kind};
use crate::node::{cpu_seconds, memory_kib, until_health, Folder, Node, PATIENCE};
use crate::pool::{Pool, ServerBehavior};
use crate::scripted::Program;
use crate::{Result, SeededRng};
use reelfall_routing::table::{parse_prefix, Host, RouteConditions, RouteQuery, RouteTable};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Child;

fn request(name: &str, host: &str, rate: f64) -> Kind {
    Kind {
        name: name.to_owned(),
        host: host.to_owned(),
        method: "GET",
        path: "/api/flags".to_owned(),
        headers: vec![("x-service-class", "evaluate".to_owned())],
        body: None,
        deadline: Duration::from_millis(600),
        rate,
    }
}

/// Starts a node as the platform does.
async fn on_platform(
    program: &Program,
    discovery: SocketAddr,
) -> Result<(SocketAddr, Child, Folder)> {
    let port = crate::ports::Port::take()?;
    let address = port.address();
    let folder = Folder::new()?;
    let file = folder.path().join("config.json");
    let config = json!({
        "name": "n0", "listen": address.to_string(), "discovery": discovery.to_string(), "seed": "1f",
        "limits": { "cores": 1.0, "memory_mb": 128, "sockets": 1024 }, "known": null,
        "settings": {
            "categories": [{ "name": "evaluate", "promise": 0.15, "deadline": 0.6, "worth": 3.0, "effect": "idempotent" }],
            "discovery": "push", "kinds": ["k"], "failure-domains": ["a"],
            "limits": { "max-attempts": 3, "conn-idle": 15.0, "connect-timeout": 0.25 },
        },
    });
    std::fs::write(&file, config.to_string())?;
    let mut command = tokio::process::Command::from(program.command());
    command
        .env("ROUTER_CONFIG", &file)
        .stdout(Stdio::null())
        .kill_on_drop(true);
    let child = command.spawn()?;
    until_health(address, "/_health", true).await?;
    Ok((address, child, folder))
}

async fn relay(program: &Program, pool: &Pool) -> Result<(SocketAddr, Child)> {
    let mut command = tokio::process::Command::new(&program.path);
    command.arg("relay");
    for server in &pool.servers {
        command.arg("--to").arg(server.address.to_string());
    }
    let mut child = command.stdout(Stdio::piped()).kill_on_drop(true).spawn()?;
    let out = child.stdout.take().ok_or("no output")?;
    let line = tokio::time::timeout(PATIENCE, BufReader::new(out).lines().next_line()).await??;
    let ready: Value = serde_json::from_str(&line.unwrap_or_default())?;
    let address = ready["addresses"]["client"]
        .as_str()
        .ok_or("no address")?
        .parse()?;
    Ok((address, child))
}

/// A settings file with so many services, each with a host and servers of its own.
fn settings(servers: impl Fn(usize) -> String, services: usize, limits: &str) -> String {
    let mut text = "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n".to_owned();
    for n in 0..services {
        text += &format!(
            "[[service]]\nname = \"s{n}\"\n{limits}[[service.class]]\nname = \"evaluate\"\nrepeat = \"safe\"\n\
             aim = \"150ms\"\ndeadline = \"600ms\"\n[[service.route]]\nhost = \"s{n}.example.org\"\npath = \"/api\"\n{}",
            servers(n)
        );
    }
    text
}

/// Runs all measurements and gives the figures.
///
/// # Errors
/// If a subject can't be started.
pub async fn run(program: &Program, plan: &Plan) -> Result<Value> {
    let pools = [
        Pool::start("a", 8, ServerBehavior::healthy(Duration::from_millis(2)), 1).await?,
        Pool::start("b", 8, ServerBehavior::healthy(Duration::from_millis(2)), 2).await?,
        Pool::start("c", 8, ServerBehavior::healthy(Duration::from_millis(2)), 3).await?,
    ];
    let listed = pools[0]
        .servers
        .iter()
        .map(|s| Listed::active(&s.name, s.address))
        .collect();
    let discovery = Discovery::start(listed).await?;
    let mut subjects = Vec::new();
    let alone = |name| vec![request(name, "s0.example.org", plan.rate)];
    if let Some(old) = &plan.old {
        let (address, child, folder) = on_platform(old, discovery.address).await?;
        subjects.push(Subject::child(
            "old",
            address,
            child,
            Some(folder),
            alone("old"),
        ));
    }
    let (address, child, folder) = on_platform(program, discovery.address).await?;
    subjects.push(Subject::child(
        "no_file",
        address,
        child,
        Some(folder),
        alone("new"),
    ));
    let (address, child) = relay(program, &pools[0]).await?;
    subjects.push(Subject::child(
        "relay",
        address,
        child,
        None,
        alone("relay"),
    ));
    let three = settings(|n| pools[n].server_settings(), pools.len(), "");
    let node = Node::start(program, &three).await?;
    node.until_health("/_health", true).await?;
    let kinds = (0..3).map(|n| {
        request(
            &format!("three{n}"),
            &format!("s{n}.example.org"),
            plan.rate / 3.0,
        )
    });
    subjects.push(Subject::new("three_services", node, kinds.collect()));
    for subject in &subjects {
        load::run(subject.address, &subject.kinds, Duration::from_secs(1), 1).await;
    }
    for round in 0..plan.rounds {
        // Another order in each round, so that no subject always comes after the same.
        for n in 0..subjects.len() {
            let at = (n + round) % subjects.len();
            one_round(&mut subjects[at], plan, round as u64).await?;
        }
    }
    let mut figures = serde_json::Map::new();
    for s in &subjects {
        let ratios = |base: &str| -> Option<f64> {
            let base = subjects.iter().find(|b| b.name == base)?;
            Some(median(s.cpu.iter().zip(&base.cpu).map(|(a, b)| a / b)))
        };
        let mut of = s.figures();
        of["cpu_over_relay"] = json!(ratios("relay"));
        of["cpu_over_old"] = json!(ratios("old"));
        figures.insert(s.name.to_owned(), of);
    }
    drop(subjects);
    figures.insert(
        "refusal".to_owned(),
        refusals(program, &pools[0], plan).await?,
    );
    figures.insert("idle_service_kib".to_owned(), idle_service(program).await?);
    figures.insert("routes".to_owned(), routes());
    Ok(Value::Object(figures))
}

/// What a request over the limit costs against one that is served, on the same node.
async fn refusals(program: &Program, pool: &Pool, plan: &Plan) -> Result<Value> {
    let mut cost = Vec::new();
    for limits in ["", "limits = { rate = \"1/s\", burst = 1 }\n"] {
        let node = Node::start(program, &settings(|_| pool.server_settings(), 1, limits)).await?;
        node.until_health("/_health", true).await?;
        let mut ratios = Vec::new();
        for round in 0..plan.rounds.min(3) {
            let kind = request(
                &format!("refused{}{round}", limits.len()),
                "s0.example.org",
                plan.rate,
            );
            let before = cpu_seconds(node.pid())?;
            let came = load::run(node.address(), &[kind], plan.time, 50 + round as u64).await;
            let used = cpu_seconds(node.pid())? - before;
            ratios.push(used * 1e6 / came[0].sent.max(1) as f64);
        }
        cost.push(median(ratios.into_iter()));
    }
    Ok(json!({
        "served_cpu_us": round1(cost[0]), "refused_cpu_us": round1(cost[1]), "refused_over_served": cost[1] / cost[0],
    }))
}

/// Memory of one service that has servers and no requests.
async fn idle_service(program: &Program) -> Result<Value> {
    // Nobody is there, and nobody asks.
    let servers = |n: usize| -> String {
        let line = |i: usize| {
            format!("[[service.server]]\nname = \"s{i}\"\naddress = \"127.9.{n}.{i}:9000\"\n")
        };
        (1..=8).map(line).collect()
    };
    let mut held = Vec::new();
    for services in [1, 101] {
        let node = Node::start(program, &settings(servers, services, "")).await?;
        node.until_health("/_health", true).await?;
        held.push(memory_kib(node.pid())? as f64);
    }
    Ok(json!(round1((held[1] - held[0]) / 100.0)))
}

/// Time of a look-up by the number of routes.
fn routes() -> Value {
    let mut figures = serde_json::Map::new();
    for n in [10usize, 1_000, 10_000] {
        let routes: Vec<RouteConditions> = (0..n)
            .filter_map(|i| {
                let host = match i % 3 {
                    0 => format!("h{}.example.org", i / 7),
                    1 => format!("*.z{}.example.org", i / 7),
                    _ => "*".to_owned(),
                };
                let path = parse_prefix(&format!("/api/v{i}")).ok()?;
                Some(RouteConditions {
                    host: Host::parse(&host).ok()?,
                    path,
                    ..RouteConditions::default()
                })
            })
            .collect();
        let Ok(table) = RouteTable::new(&routes) else {
            continue;
        };
        let mut draw = SeededRng(3);
        let asked: Vec<(String, String)> = (0..1000)
            .map(|_| {
                let i = draw.next_u64() as usize % n;
                let host = match i % 3 {
                    0 => format!("h{}.example.org", i / 7),
                    1 => format!("a.b.z{}.example.org", i / 7),
                    _ => "other.example.org".to_owned(),
                };
                (host, format!("/api/v{i}/flags/7"))
            })
            .collect();
        let (mut found, begun, times) = (0u64, Instant::now(), 200u64);
        for _ in 0..times {
            for (host, path) in &asked {
                let q = RouteQuery {
                    listener: 0,
                    host,
                    path,
                    method: "GET",
                    class: None,
                };
                found += u64::from(table.find(&q).is_some());
            }
        }
        let ns = begun.elapsed().as_nanos() as f64 / (times * 1000) as f64;
        figures.insert(
            n.to_string(),
            json!({ "ns_per_lookup": round1(ns), "found_percent": 100 * found / (times * 1000) }),
        );
    }
    Value::Object(figures)
}
