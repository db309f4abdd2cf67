//! A reload keeps the connections of unchanged services, and applies all changes atomically.

use crate::fixtures::{
    get, server_section, service_section, start_healthy_server, start_node, within_timeout,
    POLL_INTERVAL,
};
use crate::settings::HEAD;
use reelfall_testbed::client::Client;
use reelfall_testbed::scripted;
use std::collections::HashSet;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::task::JoinHandle;

const REQUESTS_PER_RELOAD: usize = 5;
const SWAPPING_RELOADS: usize = 20;

/// A change to the service whose connections are not checked.
struct ServiceChange {
    paths: &'static [&'static str],
    extra_setting: &'static str,
}

const CHANGES: [ServiceChange; 4] = [
    ServiceChange {
        paths: &["/api", "/more"],
        extra_setting: "",
    },
    ServiceChange {
        paths: &["/other"],
        extra_setting: "limits = { open = 40 }\n",
    },
    ServiceChange {
        paths: &["/other"],
        extra_setting: "tries = { most = 2 }\n",
    },
    ServiceChange {
        paths: &["/api"],
        extra_setting: "state = \"draining\"\n",
    },
];

/// The peer addresses of the connections to a server; each connection has a different one.
type PeerAddresses = Arc<Mutex<HashSet<SocketAddr>>>;

fn start_server_with_recorded_peers(peers: &PeerAddresses) -> scripted::Server {
    let peers = peers.clone();
    scripted::Server::start(move |request, _, stream| {
        peers.lock().unwrap().insert(stream.peer_addr().unwrap());
        let _ = stream.write_all(&scripted::ok_response(request));
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unchanged_service_keeps_its_connections() {
    let peers = PeerAddresses::default();
    let server = start_server_with_recorded_peers(&peers);
    let other_server = start_healthy_server("other").await;
    let unchanged = service_section("kept", &["/api"], &server_section("s", server.address));
    let settings_with = |paths: &[&str], extra_setting: &str| {
        let server = server_section("other", other_server.address);
        let changed = service_section("changed", paths, &server);
        // The changed section comes first, so that the unchanged one moves within the file.
        HEAD.to_owned() + &changed.replacen("name", &format!("{extra_setting}name"), 1) + &unchanged
    };
    let mut node = start_node(&settings_with(&["/api"], "")).await;
    let client = Client::new(node.address());
    for (reload, change) in CHANGES.iter().enumerate() {
        for n in 0..REQUESTS_PER_RELOAD {
            let id = format!("kept-{reload}-{n}");
            let response = get(&client, "kept.example.org", "/api", &id).await;
            assert_eq!(response.status, 200);
        }
        node.reload(&settings_with(change.paths, change.extra_setting))
            .await
            .unwrap();
    }
    let last_response = get(&client, "kept.example.org", "/api", "kept-last").await;
    assert_eq!(last_response.status, 200);
    assert_eq!(
        peers.lock().unwrap().len(),
        1,
        "the pool of an unchanged service was replaced"
    );
}

fn start_server_with_body(body: &'static str) -> scripted::Server {
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    scripted::Server::start(move |_, _, stream| {
        let _ = stream.write_all(response.as_bytes());
    })
}

/// Two settings files that differ in which of two hosts is routed to which of two servers.
fn swapped_settings(one: &scripted::Server, two: &scripted::Server) -> [String; 2] {
    let service_for_host = |name: &str, host: &str, server: &scripted::Server| {
        service_section(name, &["/"], &server_section(name, server.address)).replace(
            &format!("{name}.example.org"),
            &format!("{host}.example.org"),
        )
    };
    [
        HEAD.to_owned() + &service_for_host("one", "a", one) + &service_for_host("two", "b", two),
        HEAD.to_owned() + &service_for_host("one", "b", one) + &service_for_host("two", "a", two),
    ]
}

/// A client that alternates between both hosts and counts how often their routes are swapped.
struct SwapObserver {
    swaps: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl SwapObserver {
    fn start(node: SocketAddr) -> SwapObserver {
        let swaps = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(Self::count_swaps(node, swaps.clone(), stop.clone()));
        SwapObserver { swaps, stop, task }
    }

    async fn count_swaps(node: SocketAddr, swaps: Arc<AtomicUsize>, stop: Arc<AtomicBool>) {
        let client = Client::new(node);
        let mut was_swapped = false;
        for n in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            // As soon as one host is routed by the new file, the other one must be as well.
            let host = ["a", "b"][n % 2];
            let hostname = format!("{host}.example.org");
            let response = get(&client, &hostname, "/", &format!("swap-{n}")).await;
            assert_eq!(response.status, 200);
            let is_swapped = (host == "a") != (response.body == "1");
            if is_swapped != was_swapped {
                swaps.fetch_add(1, Ordering::SeqCst);
                was_swapped = is_swapped;
            }
        }
    }

    fn swaps(&self) -> usize {
        self.swaps.load(Ordering::SeqCst)
    }

    async fn wait_for_swaps(&self, count: usize) {
        let count_reached = async {
            while self.swaps() < count && !self.task.is_finished() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        within_timeout("a response by the new file", count_reached).await;
    }

    /// Stops the client and returns the number of swaps.
    async fn stop(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        self.task.await.unwrap();
        self.swaps.load(Ordering::SeqCst)
    }
}

/// Fails if one host is routed by the old file for 5 ms longer than the other. A mixture of both files that lasts for one
/// iteration of the node's event loop is shorter than a request and its response, so that no sequential client can observe it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_swaps_routes_atomically() {
    let (one, two) = (start_server_with_body("1"), start_server_with_body("2"));
    let files = swapped_settings(&one, &two);
    let mut node = start_node(&files[0]).await;
    let observer = SwapObserver::start(node.address());
    for reload in 1..=SWAPPING_RELOADS {
        node.reload(&files[reload % 2]).await.unwrap();
        observer.wait_for_swaps(reload).await;
    }
    // A mixture of both files would have been counted as two more swaps.
    assert_eq!(observer.stop().await, SWAPPING_RELOADS);
}
