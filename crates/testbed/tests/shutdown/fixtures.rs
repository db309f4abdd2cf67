//! A node that registers itself, the stand-ins of its registries, and its server.

use reelfall_testbed::node::{Node, WAIT_TIMEOUT};
use reelfall_testbed::pool::{Server, ServerBehavior};
use reelfall_testbed::registry::Registry;
use reelfall_testbed::scripted::Program;
use std::time::{Duration, Instant};

/// Members of a registry that keeps a majority if one of them fails.
pub const MEMBER_COUNT: usize = 3;
/// Path of the node's entry in each registry.
pub const ENTRY_PATH: &str = "/n1";
/// SIGKILL comes this long after the longest deadline at the earliest; both times count from SIGTERM.
pub const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// Number of requests that the server processes concurrently.
const SERVER_WORKERS: usize = 64;
const SERVER_SEED: u64 = 1;
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

pub fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// A server that answers each request after this time.
pub async fn start_server(service_time: Duration) -> Server {
    let behavior = ServerBehavior::healthy(service_time);
    Server::start("s", SERVER_WORKERS, behavior, SERVER_SEED)
        .await
        .unwrap()
}

pub async fn start_registry() -> Registry {
    Registry::start(MEMBER_COUNT).await.unwrap()
}

/// A settings file with one service, and an entry of the node's own in each registry.
pub fn settings(registries: &[&Registry], server: &Server, deadline: Duration) -> String {
    let mut text = "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n".to_owned();
    for (index, registry) in registries.iter().enumerate() {
        text += &registry_section(&format!("registry-{index}"), registry);
    }
    let deadline = deadline.as_millis();
    text + &format!(
        "[[service]]\nname = \"a\"\n\
         [[service.class]]\nname = \"c\"\nrepeat = \"safe\"\naim = \"{deadline}ms\"\ndeadline = \"{deadline}ms\"\n\
         [[service.route]]\npath = \"/api\"\n\
         [[service.server]]\nname = \"s\"\naddress = \"{}\"\n",
        server.address
    )
}

fn registry_section(name: &str, registry: &Registry) -> String {
    let members: Vec<String> = registry
        .members
        .iter()
        .map(|member| format!("\"{member}\""))
        .collect();
    let members = members.join(", ");
    format!(
        "[[registry]]\nname = \"{name}\"\nmembers = [{members}]\n\
         [registry.entry]\npath = \"{ENTRY_PATH}\"\nname = \"n1\"\n"
    )
}

/// Starts a node, and waits until its entry is in each of these registries.
pub async fn start_registered_node(settings: &str, registries: &[&Registry]) -> Node {
    let node = Node::start(&program(), settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    for registry in registries {
        wait_until("the node's entry", || registry.entry(ENTRY_PATH).is_some()).await;
    }
    node
}

/// Waits until a condition holds; panics with its description after [`WAIT_TIMEOUT`].
pub async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "timeout: {description}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Suspends all members of a registry while their connections stay open, or resumes them.
pub fn set_frozen(registry: &Registry, is_frozen: bool) {
    for member in 0..MEMBER_COUNT {
        registry.set_member_frozen(member, is_frozen);
    }
}

/// Shuts all members of a registry down, or restarts them.
pub fn set_down(registry: &Registry, is_down: bool) {
    for member in 0..MEMBER_COUNT {
        registry.set_member_down(member, is_down);
    }
}

/// Has all members of a registry take this long for each response.
pub fn set_response_delay(registry: &Registry, delay: Duration) {
    for member in 0..MEMBER_COUNT {
        registry.set_response_delay(member, delay);
    }
}
