//! Server entries: invalid ones, and thousands that change.

use super::support::{count_successes, start_node, start_server, wait_until, wait_until_requested};
use reelfall_testbed::client::Client;
use reelfall_testbed::membership::{entry_data, RegisteredServer, SERVERS_PATH};
use reelfall_testbed::registry::Registry;
use std::time::{Duration, Instant};

/// Length of data that the registry accepts in a request, but the node rejects in a server entry.
const TOO_LONG_DATA_LEN: usize = (1 << 20) - 1000;
/// Delay of responses and watch events from a slow member.
const RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of attempts to stop the node before the responses of a slow member arrive.
const MAX_STOP_ATTEMPTS: usize = 5;
/// Number of entries of servers that do not exist.
const ENTRY_COUNT: usize = 2_000;
/// Number of entries that are changed.
const CHANGE_COUNT: usize = 1_000;
/// Number of addresses that are used in each `/24` network.
const ADDRESSES_PER_NETWORK: usize = 250;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_entries_are_skipped() {
    let registry = Registry::start(1).await.unwrap();
    let good = start_server("good").await;
    let _registration = RegisteredServer::register(&registry, &good, "good", 0);
    let session = registry.open_session();
    let put =
        |name: &str, data: &[u8]| registry.put(&format!("{SERVERS_PATH}/{name}"), data, session);
    put("same-address", &entry_data(&good.address.to_string(), 0));
    registry.put(&format!("{SERVERS_PATH}/good/deeper"), b"{}", 0);
    let mut node = start_node(&registry, "", "").await;
    // Each service logs each invalid entry. The entries are created one after another, because the node logs at most five
    // lines per second.
    registry.put(
        &format!("{SERVERS_PATH}/by-hand"),
        &entry_data("127.0.0.1:9", 0),
        0,
    );
    node.wait_for_log("by-hand: the entry is not ephemeral")
        .await
        .expect("the invalid entry is logged");
    put("long", &vec![b'x'; TOO_LONG_DATA_LEN]);
    let too_long = format!("long: the data is {TOO_LONG_DATA_LEN} bytes long");
    node.wait_for_log(&too_long)
        .await
        .expect("the invalid entry is logged");
    put("no-json", b"\x00\xff\xfe");
    node.wait_for_log("no-json: the data is not a valid JSON object")
        .await
        .expect("the invalid entry is logged");
    put("no-address", b"{}");
    put("odd name \u{1f600} \" ' %2f", b"[]");
    let client = Client::new(node.address());
    assert_eq!(count_successes(&client, "good", 100).await, 100);
    assert_eq!(
        good.requests_received(),
        100,
        "requests were sent to the server of another entry"
    );
    // Of two entries with the same address, the later one takes precedence. Once it is removed, the earlier one applies
    // again.
    registry.remove(&format!("{SERVERS_PATH}/same-address"));
    let removed_at = Instant::now();
    wait_until("requests by the earlier entry", async || {
        let run = format!("earlier-{:?}", removed_at.elapsed());
        count_successes(&client, &run, 10).await == 10
    })
    .await;
}

/// Creates or changes entries of servers that do not exist. Their state is draining, so that no requests are sent to them.
fn put_draining_entries(registry: &Registry, session: i64, network: &str, count: usize) {
    for index in 0..count {
        let subnet = index / ADDRESSES_PER_NETWORK;
        let host = 1 + index % ADDRESSES_PER_NETWORK;
        let data =
            format!("{{\"address\":\"{network}.{subnet}.{host}:9\",\"state\":\"draining\"}}");
        let path = format!("{SERVERS_PATH}/s{index}");
        registry.put(&path, data.as_bytes(), session);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn thousands_of_entries_and_changes_are_followed() {
    let registry = Registry::start(1).await.unwrap();
    let (one, last) = (start_server("one").await, start_server("last").await);
    let session = registry.open_session();
    put_draining_entries(&registry, session, "127.8", ENTRY_COUNT);
    let _registration_of_one = RegisteredServer::register(&registry, &one, "one", 0);
    let node = start_node(&registry, "", "").await;
    let client = Client::new(node.address());
    assert_eq!(count_successes(&client, "many", 50).await, 50);
    // A burst of changes, followed by the entry of a server that exists.
    put_draining_entries(&registry, session, "127.9", CHANGE_COUNT);
    let _registration_of_last = RegisteredServer::register(&registry, &last, "last", 0);
    wait_until_requested(&client, &last, "last").await;
    assert_eq!(count_successes(&client, "churned", 50).await, 50);
}

/// Guards against using a server whose entry has been removed: the node receives the data of the entry together with the
/// event of its removal, and applies both in one update.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_removed_in_update_that_lists_it_is_not_used() {
    let registry = Registry::start(1).await.unwrap();
    let (steady, brief) = (start_server("steady").await, start_server("brief").await);
    let _steady_registration = RegisteredServer::register(&registry, &steady, "steady", 0);
    let node = start_node(&registry, "", "").await;
    let client = Client::new(node.address());
    assert_eq!(count_successes(&client, "before", 10).await, 10);
    registry.set_response_delay(0, RESPONSE_DELAY);
    let mut pending_registration = None;
    for attempt in 0..MAX_STOP_ATTEMPTS {
        let name = format!("brief-{attempt}");
        let requests_before = registry.counters().requests;
        let registration = RegisteredServer::register(&registry, &brief, &name, 0);
        wait_until("the reads of the entry by both services", async || {
            registry.counters().requests >= requests_before + 2
        })
        .await;
        // While the node is stopped, the responses to the reads and the later events wait in its socket buffers.
        node.signal("STOP").unwrap();
        let counters = registry.counters();
        if counters.bytes_written < counters.bytes_sent {
            pending_registration = Some(registration);
            break;
        }
        // Stopped too late: the node may have read the responses already.
        node.signal("CONT").unwrap();
        registration.expire_session(&registry);
    }
    let registration =
        pending_registration.expect("the node is stopped before the responses arrive");
    let events_before = registry.counters().watch_events;
    registration.expire_session(&registry);
    wait_until(
        "the events for both services in the socket buffers",
        async || {
            let counters = registry.counters();
            counters.watch_events >= events_before + 2
                && counters.bytes_written == counters.bytes_sent
        },
    )
    .await;
    node.signal("CONT").unwrap();
    assert_eq!(count_successes(&client, "after", 200).await, 200);
    assert_eq!(
        brief.requests_received(),
        0,
        "requests were sent to a server whose entry has been removed"
    );
}
