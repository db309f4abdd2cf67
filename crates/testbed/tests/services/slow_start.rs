//! Slow start of a server that belongs to several services.

use crate::harness::{get, start_node, unique_id, workload};
use crate::settings::{idempotent_service, server_sections, settings_file};
use reelfall_testbed::client::Client;
use reelfall_testbed::discovery::{Discovery, ListedServer};
use reelfall_testbed::load::{self, Workload};
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::{Server, ServerBehavior, SlowStart};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SERVICE_COUNT: usize = 10;
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Highest load on a server that the test accepts, as a multiple of the server's capacity at the time.
const MAX_OVERLOAD: f64 = 3.0;
/// Longest time that the node takes to receive a new endpoint list.
const LIST_UPDATE_TIME: Duration = Duration::from_millis(300);

/// Milliseconds of Unix time.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since_epoch.as_millis()).unwrap()
}

/// An entry of an endpoint list for a server that starts now.
fn just_started(name: &str, server: &Server) -> ListedServer {
    ListedServer {
        since_ms: unix_ms(),
        ..ListedServer::active(name, server.address)
    }
}

/// The services that have sent requests to a server.
fn senders(server: &Server) -> BTreeSet<String> {
    server
        .effect_counts()
        .keys()
        .filter_map(|id| Some(id.split('-').next()?.to_owned()))
        .collect()
}

fn overload_message(server: &Server) -> String {
    format!(
        "the server received {:.2} times its capacity",
        server.peak_overload()
    )
}

/// A node and its services, each of which has an endpoint list with one busy server.
struct BusyServices {
    endpoint_lists: Vec<Discovery>,
    node: Node,
    _servers: Vec<Server>,
}

impl BusyServices {
    async fn start(behavior: &ServerBehavior) -> BusyServices {
        let mut servers = Vec::new();
        let mut endpoint_lists = Vec::new();
        let mut services = Vec::new();
        for index in 0..SERVICE_COUNT {
            let server = Server::start(&format!("own-{index}"), 4, behavior.clone(), 2)
                .await
                .unwrap();
            let listed = ListedServer::active(&server.name, server.address);
            let endpoint_list = Discovery::start(vec![listed]).await.unwrap();
            let service_settings = format!(
                "discovery = \"{}\"\ncold = {{ from = 0.15, warm_after = \"8s\" }}",
                endpoint_list.address
            );
            services.push(idempotent_service(
                &format!("s{index}"),
                &service_settings,
                "",
            ));
            servers.push(server);
            endpoint_lists.push(endpoint_list);
        }
        let services: Vec<&str> = services.iter().map(String::as_str).collect();
        BusyServices {
            endpoint_lists,
            node: start_node(&settings_file(&services)).await,
            _servers: servers,
        }
    }

    /// Adds a server that starts now to the endpoint lists of all services.
    fn add_to_all(&self, server: &Server) {
        let listed = just_started(&server.name, server);
        for endpoint_list in &self.endpoint_lists {
            endpoint_list.update(std::slice::from_ref(&listed));
        }
    }
}

/// The same load on every service.
fn workloads(phase: &str) -> Vec<Workload> {
    (0..SERVICE_COUNT)
        .map(|index| workload(&format!("s{index}-{phase}"), 30.0))
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shared_server_is_not_overloaded_during_slow_start() {
    let behavior = ServerBehavior::healthy(SERVICE_TIME);
    let new_server = Server::start("new", 4, behavior.clone(), 1).await.unwrap();
    let services = BusyServices::start(&behavior).await;
    let address = services.node.address();
    // The node first learns the capacity of a server.
    load::run(address, &workloads("before"), Duration::from_secs(6), 3).await;
    new_server.begin_slow_start(SlowStart {
        initial_capacity: 0.15,
        duration: Duration::from_secs(8),
        ..SlowStart::default()
    });
    let started_at = Instant::now();
    services.add_to_all(&new_server);
    let slow_start_load = tokio::spawn(async move {
        load::run(address, &workloads("slow_start"), Duration::from_secs(3), 4).await
    });
    tokio::time::sleep_until((started_at + Duration::from_secs(3)).into()).await;
    let early_senders = senders(&new_server);
    slow_start_load.await.unwrap();
    assert!(
        new_server.peak_overload() < MAX_OVERLOAD,
        "{}",
        overload_message(&new_server)
    );
    assert!(
        !early_senders.is_empty(),
        "no service sent a request to the new server"
    );
    assert!(
        early_senders.len() <= 8 && !early_senders.contains("s8") && !early_senders.contains("s9"),
        "{early_senders:?}"
    );
    wait_until_all_services_send(&new_server, address, started_at).await;
    assert!(
        new_server.peak_overload() < MAX_OVERLOAD,
        "{}",
        overload_message(&new_server)
    );
}

/// Runs the load until the server, which is warm by then, has received requests of all services.
async fn wait_until_all_services_send(
    server: &Server,
    node_address: SocketAddr,
    started_at: Instant,
) {
    for run in 0.. {
        let workloads = workloads(&format!("warm{run}"));
        load::run(node_address, &workloads, Duration::from_secs(1), 5 + run).await;
        if senders(server).len() == SERVICE_COUNT {
            break;
        }
        assert!(
            started_at.elapsed() < Duration::from_secs(60),
            "only these services sent a request to the new server: {:?}",
            senders(server)
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_start_of_listed_server_applies_to_static_server_of_another_service() {
    let behavior = ServerBehavior::healthy(SERVICE_TIME);
    let old_server = Server::start("old", 12, behavior.clone(), 1).await.unwrap();
    let new_server = Server::start("new", 12, behavior, 1).await.unwrap();
    let listed = ListedServer::active("d-old", old_server.address);
    let endpoint_list = Discovery::start(vec![listed]).await.unwrap();
    let slow_start = "cold = { from = 0.05, warm_after = \"30s\" }";
    let discovery = format!("discovery = \"{}\"\n{slow_start}", endpoint_list.address);
    let node = start_node(&settings_file(&[
        &idempotent_service("a", &discovery, ""),
        &idempotent_service(
            "b",
            slow_start,
            &server_sections(&[&old_server, &new_server]),
        ),
    ]))
    .await;
    let address = node.address();
    let load_before = [workload("b-before", 100.0)];
    load::run(address, &load_before, Duration::from_secs(2), 3).await;
    assert!(new_server.requests_received() > 0);
    // The server restarts at its address. Only the endpoint list of service `a` reports it; service `b` has no list.
    endpoint_list.update(&[just_started("d-new", &new_server)]);
    wait_for_endpoint_list(&node, &old_server).await;
    new_server.begin_slow_start(SlowStart {
        initial_capacity: 0.05,
        duration: Duration::from_secs(30),
        ..SlowStart::default()
    });
    let load_after = [workload("b-after", 100.0)];
    load::run(address, &load_after, Duration::from_secs(3), 4).await;
    assert!(
        new_server.peak_overload() > 0.0,
        "no service sent a request to the restarted server"
    );
    assert!(
        new_server.peak_overload() < MAX_OVERLOAD,
        "{}",
        overload_message(&new_server)
    );
}

/// Sends requests to service `a` until the node has had time to receive the new endpoint list.
async fn wait_for_endpoint_list(node: &Node, old_server: &Server) {
    let client = Client::new(node.address());
    let updated_at = Instant::now();
    let received_before = old_server.requests_received();
    while old_server.requests_received() < received_before + 2
        || updated_at.elapsed() < LIST_UPDATE_TIME
    {
        get(&client, "a", &unique_id("update", updated_at)).await;
    }
}
