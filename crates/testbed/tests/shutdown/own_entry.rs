//! The node's entry in a registry that responds does not outlive the process, also where no client is connected.

use crate::fixtures::{
    set_down, set_frozen, set_response_delay, settings, start_registered_node, start_registry,
    start_server, ENTRY_PATH, MEMBER_COUNT,
};
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::Server;
use reelfall_testbed::registry::{AccessRule, Registry};
use std::time::Duration;

/// The longest deadline. The process may wait for a registry for this time and 0.6 s after SIGTERM.
const DEADLINE: Duration = Duration::from_secs(3);
/// How long a registry does not respond after SIGTERM: longer than connections are accepted.
const OUTAGE_AFTER_TERM: Duration = Duration::from_millis(1500);
/// How long a registry is down before SIGTERM, until attempts to connect are seconds apart.
const OUTAGE_BEFORE_TERM: Duration = Duration::from_millis(3500);
/// A session that lasts longer than any outage of these tests.
const LONG_SESSION: &str = "session = \"60s\"\n[registry.entry]";

async fn start_node(registry: &Registry) -> (Node, Server, String) {
    start_node_with(registry, DEADLINE).await
}

/// Starts a node with this longest deadline.
async fn start_node_with(registry: &Registry, deadline: Duration) -> (Node, Server, String) {
    let server = start_server(Duration::ZERO).await;
    let settings =
        settings(&[registry], &server, deadline).replace("[registry.entry]", LONG_SESSION);
    let node = start_registered_node(&settings, &[registry]).await;
    (node, server, settings)
}

/// Waits for the end of the process, and asserts that its entry is gone by then.
async fn assert_entry_is_gone_at_exit(node: &mut Node, registry: &Registry) {
    assert!(node.wait_for_exit().await.unwrap());
    assert!(
        registry.entry(ENTRY_PATH).is_none(),
        "the entry outlives the process"
    );
}

/// Ends a node by SIGTERM, and asserts that its entry is gone with it.
async fn assert_entry_ends_with(node: &mut Node, registry: &Registry) {
    node.signal("TERM").unwrap();
    assert_entry_is_gone_at_exit(node, registry).await;
}

/// Ends a node while its registry does not respond; `restore` lets the registry respond again a while after SIGTERM.
async fn check_outage(node: &mut Node, registry: &Registry, restore: impl FnOnce()) {
    node.signal("TERM").unwrap();
    let restored = async {
        tokio::time::sleep(OUTAGE_AFTER_TERM).await;
        restore();
    };
    tokio::join!(assert_entry_is_gone_at_exit(node, registry), restored);
}

/// Guards against a process without clients that ends before its registry responds again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn registry_that_is_silent_for_a_while_loses_the_entry() {
    let registry = start_registry().await;
    let (mut node, _server, _) = start_node(&registry).await;
    set_frozen(&registry, true);
    check_outage(&mut node, &registry, || set_frozen(&registry, false)).await;
}

/// Guards against a shutdown that forgets an entry whose removal a reload has begun.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_that_a_reload_removes_does_not_outlive_the_process() {
    let registry = start_registry().await;
    let (mut node, _server, settings) = start_node(&registry).await;
    set_frozen(&registry, true);
    let entry_section = format!("[registry.entry]\npath = \"{ENTRY_PATH}\"\nname = \"n1\"\n");
    node.reload(&settings.replace(&entry_section, ""))
        .await
        .unwrap();
    check_outage(&mut node, &registry, || set_frozen(&registry, false)).await;
}

/// Guards against a session that waits for a member that went silent, though the others respond.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_silent_member_does_not_keep_the_entry() {
    const SHORT_DEADLINE: Duration = Duration::from_millis(200);
    for deadline in [DEADLINE, SHORT_DEADLINE] {
        let registry = start_registry().await;
        let (mut node, _server, _) = start_node_with(&registry, deadline).await;
        let connected = (0..MEMBER_COUNT).find(|member| registry.connected_sessions(*member) > 0);
        registry.set_member_frozen(connected.expect("the session is connected"), true);
        assert_entry_ends_with(&mut node, &registry).await;
    }
}

/// A session whose next attempt to connect is seconds away, by chance more or less; the test `haste` of the registry client forces
/// it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn registry_that_was_down_for_long_loses_the_entry() {
    let registry = start_registry().await;
    let (mut node, _server, _) = start_node(&registry).await;
    set_down(&registry, true);
    tokio::time::sleep(OUTAGE_BEFORE_TERM).await;
    check_outage(&mut node, &registry, || set_down(&registry, false)).await;
}

/// A registry that takes its time for each response is not given up as silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_registry_loses_the_entry() {
    const RESPONSE_DELAYS_MS: [u64; 3] = [150, 400, 700];
    for delay_ms in RESPONSE_DELAYS_MS {
        let registry = start_registry().await;
        let (mut node, _server, _) = start_node(&registry).await;
        set_response_delay(&registry, Duration::from_millis(delay_ms));
        assert_entry_ends_with(&mut node, &registry).await;
    }
}

/// Guards against an entry that stays because the registry rejects its removal: it ends with its session.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_that_may_not_be_deleted_ends_with_its_session() {
    const READ_AND_CREATE: i32 = 1 | 4;
    let registry = start_registry().await;
    let (mut node, _server, _) = start_node(&registry).await;
    registry.set_acl("/", &[AccessRule::new(READ_AND_CREATE, "world", "anyone")]);
    assert_entry_ends_with(&mut node, &registry).await;
}

/// SIGTERM while the response to the creation of the entry is on its way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_that_was_just_created_does_not_outlive_the_process() {
    let registry = start_registry().await;
    set_response_delay(&registry, Duration::from_millis(150));
    let (mut node, _server, _) = start_node(&registry).await;
    assert_entry_ends_with(&mut node, &registry).await;
}

/// SIGHUP with another entry after SIGTERM registers nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_after_sigterm_registers_no_entry() {
    const OTHER_PATH: &str = "/n2";
    let registry = start_registry().await;
    let (mut node, _server, settings) = start_node(&registry).await;
    set_frozen(&registry, true);
    node.signal("TERM").unwrap();
    node.replace_settings(&settings.replace(ENTRY_PATH, OTHER_PATH))
        .unwrap();
    node.wait_for_log("is ignored: the node is shutting down")
        .await
        .unwrap();
    set_frozen(&registry, false);
    assert_entry_is_gone_at_exit(&mut node, &registry).await;
    assert!(registry.entry(OTHER_PATH).is_none());
}
