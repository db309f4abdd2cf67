//! The processes that are compared: nodes with the platform's settings, a bare relay, and a node with three services. Started
//! by `run` of the parent module.

use super::{Plan, Subject};
use crate::discovery::{Discovery, ListedServer};
use crate::load::{RequestHeader, Workload};
use crate::measure::error::MeasureError;
use crate::node::{wait_for_health, Folder, Node, Program, WAIT_TIMEOUT};
use crate::pool::Pool;
use crate::ports::Port;
use crate::Result;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// How long a client waits for a response.
const DEADLINE: Duration = Duration::from_millis(600);
const SETTINGS_HEAD: &str = "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n";

/// Starts a discovery that lists the servers of a pool.
pub(super) async fn start_discovery(pool: &Pool) -> Result<Discovery> {
    let listed = pool
        .servers
        .iter()
        .map(|server| ListedServer::active(&server.name, server.address))
        .collect();
    Discovery::start(listed).await
}

/// Starts all subjects of the measurement.
pub(super) async fn start(
    program: &Program,
    plan: &Plan,
    pools: &[Pool; 3],
    discovery: SocketAddr,
) -> Result<Vec<Subject>> {
    let mut subjects = Vec::new();
    if let Some(baseline) = &plan.baseline {
        let workload = single_service(plan, "old");
        subjects.push(start_platform_node("old", baseline, discovery, workload).await?);
    }
    let workload = single_service(plan, "new");
    subjects.push(start_platform_node("no_file", program, discovery, workload).await?);
    subjects.push(start_relay(program, &pools[0], single_service(plan, "relay")).await?);
    subjects.push(start_three_services(program, plan, pools).await?);
    Ok(subjects)
}

fn single_service(plan: &Plan, name: &str) -> Workload {
    evaluate_requests(name, &service_host(0), plan.rate)
}

/// A workload of idempotent requests to a host, with `rate` requests per second.
pub(super) fn evaluate_requests(name: &str, host: &str, rate: f64) -> Workload {
    Workload {
        name: name.to_owned(),
        host: host.to_owned(),
        method: "GET",
        path: "/api/flags".to_owned(),
        headers: vec![RequestHeader {
            name: "x-service-class",
            value: "evaluate".to_owned(),
        }],
        body: None,
        deadline: DEADLINE,
        rate,
    }
}

/// The host of a service by its number.
pub(super) fn service_host(service: usize) -> String {
    format!("s{service}.example.org")
}

/// A settings file with this number of services, each with a host and servers of its own.
pub(super) fn settings(servers: impl Fn(usize) -> String, services: usize, limits: &str) -> String {
    let mut text = SETTINGS_HEAD.to_owned();
    for service in 0..services {
        text += &format!(
            "[[service]]\nname = \"s{service}\"\n{limits}[[service.class]]\nname = \"evaluate\"\nrepeat = \"safe\"\n\
             aim = \"150ms\"\ndeadline = \"600ms\"\n[[service.route]]\nhost = \"{}\"\npath = \"/api\"\n{}",
            service_host(service),
            servers(service)
        );
    }
    text
}

/// Starts a node the way the platform does: with a JSON configuration file that `ROUTER_CONFIG` names.
async fn start_platform_node(
    name: &'static str,
    program: &Program,
    discovery: SocketAddr,
    workload: Workload,
) -> Result<Subject> {
    let port = Port::reserve()?;
    let address = port.address();
    let folder = Folder::new()?;
    let file = folder.path().join("config.json");
    std::fs::write(&file, platform_config(address, discovery).to_string())?;
    let mut command = Command::from(program.command());
    command
        .env("ROUTER_CONFIG", &file)
        .stdout(Stdio::null())
        .kill_on_drop(true);
    let child = command.spawn()?;
    wait_for_health(address, "/_health", true).await?;
    Ok(Subject::from_child(
        name,
        address,
        child,
        Some(folder),
        vec![workload],
    ))
}

fn platform_config(listen: SocketAddr, discovery: SocketAddr) -> Value {
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "1f",
        "limits": { "cores": 1.0, "memory_mb": 128, "sockets": 1024 }, "known": null,
        "settings": {
            "categories": [{ "name": "evaluate", "promise": 0.15, "deadline": 0.6, "worth": 3.0, "effect": "idempotent" }],
            "discovery": "push", "kinds": ["k"], "failure-domains": ["a"],
            "limits": { "max-attempts": 3, "conn-idle": 15.0, "connect-timeout": 0.25 },
        },
    })
}

async fn start_relay(program: &Program, pool: &Pool, workload: Workload) -> Result<Subject> {
    let mut command = Command::new(&program.path);
    command.arg("relay");
    for server in &pool.servers {
        command.arg("--to").arg(server.address.to_string());
    }
    let mut child = command.stdout(Stdio::piped()).kill_on_drop(true).spawn()?;
    let address = read_client_address(&mut child).await?;
    Ok(Subject::from_child(
        "relay",
        address,
        child,
        None,
        vec![workload],
    ))
}

/// Reads the client address from the first line of the program's output, which lists its addresses.
async fn read_client_address(child: &mut Child) -> Result<SocketAddr> {
    let output = child.stdout.take().ok_or(MeasureError::NoOutput)?;
    let mut lines = BufReader::new(output).lines();
    let line = tokio::time::timeout(WAIT_TIMEOUT, lines.next_line()).await??;
    let ready: Value = serde_json::from_str(&line.unwrap_or_default())?;
    let address = ready["addresses"]["client"]
        .as_str()
        .ok_or(MeasureError::NoAddress)?;
    Ok(address.parse()?)
}

async fn start_three_services(
    program: &Program,
    plan: &Plan,
    pools: &[Pool; 3],
) -> Result<Subject> {
    let servers = |service: usize| pools[service].server_settings();
    let node = Node::start(program, &settings(servers, pools.len(), "")).await?;
    node.wait_for_health("/_health", true).await?;
    let rate = plan.rate / pools.len() as f64;
    let workloads = (0..pools.len())
        .map(|service| {
            let name = format!("three{service}");
            evaluate_requests(&name, &service_host(service), rate)
        })
        .collect();
    Ok(Subject::from_node("three_services", node, workloads))
}
