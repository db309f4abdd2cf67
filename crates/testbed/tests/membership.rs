//! A node that follows a registry's ephemeral entries, over loopback sockets: a test for each hard case.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reelfall_testbed::client::Client;
use reelfall_testbed::membership::{entry_data, node_settings, RegisteredServer, SERVERS_PATH};
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::{Server, ServerBehavior};
use reelfall_testbed::registry::{digest_id, AccessRule, EntrySnapshot, Registry};
use reelfall_testbed::scenario::membership as scenario;
use reelfall_testbed::scripted::Program;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// What a request takes at a server that is much slower than the others.
const SLOWER: Duration = Duration::from_millis(10);

async fn server(name: &str) -> Server {
    Server::start(
        name,
        64,
        ServerBehavior::healthy(Duration::from_millis(1)),
        1,
    )
    .await
    .unwrap()
}

async fn start(registry: &Registry, follow: &str, more: &str) -> Node {
    let node = Node::start(&program(), &node_settings(registry, follow, more))
        .await
        .unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    node
}

fn request(method: &str, service: &str, id: &str) -> Request<Full<Bytes>> {
    let body = if method == "GET" {
        Bytes::new()
    } else {
        Bytes::from_static(b"{}")
    };
    Request::builder()
        .method(method)
        .uri("/api/x")
        .header("host", format!("{service}.example.org"))
        .header("x-correlation-id", id)
        .body(Full::new(body))
        .unwrap()
}

/// Asks service `evaluate` so many times; how many were served.
async fn served(client: &Client, run: &str, n: usize) -> usize {
    let mut good = 0;
    for i in 0..n {
        let got = client
            .send(request("GET", "evaluate", &format!("{run}-{i}")))
            .await
            .expect("an answer");
        good += usize::from(got.status == 200);
    }
    good
}

/// Waits until something holds.
async fn until(what: &str, holds: impl AsyncFnMut() -> bool) {
    until_within(Duration::from_secs(30), what, holds).await;
}

/// The same, for what may take longer.
async fn until_within(patience: Duration, what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let begun = Instant::now();
    while !holds().await {
        assert!(begun.elapsed() < patience, "{what} does not come");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Waits until a server gets nine of ten requests.
async fn until_preferred(client: &Client, server: &Server, run: &str) {
    const BATCH: usize = 50;
    let mut batch = 0;
    until("a preference for the server", async || {
        let before = server.requests_received();
        batch += 1;
        served(client, &format!("{run}-{batch}"), BATCH).await;
        (server.requests_received() - before) as usize * 10 >= BATCH * 9
    })
    .await;
}

/// Waits until a server gets requests.
async fn until_sent_to(client: &Client, server: &Server, run: &str) {
    let (seen, mut n) = (server.requests_received(), 0);
    until("a request to the server", async || {
        n += 1;
        served(client, &format!("{run}-{n}"), 3).await;
        server.requests_received() > seen
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sessions_that_end_under_load_leave_no_request_late_and_none_lost() {
    let report = scenario::run(&program(), scenario::Scale::SMALL)
        .await
        .unwrap();
    assert!(report.passed(), "{:#?}", report.violations());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_session_that_expires_ends_new_work_and_nothing_else() {
    let registry = Registry::start(3).await.unwrap();
    let (one, two) = (server("one").await, server("two").await);
    let entered = RegisteredServer::register(&registry, &one, "one", 0);
    let _two = RegisteredServer::register(&registry, &two, "two", 0);
    // Toggles have to outlast all that is served beside them, however slow the machine.
    let patient =
        node_settings(&registry, "", "").replace("deadline = \"2s\"", "deadline = \"60s\"");
    let node = Node::start(&program(), &patient).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    let client = Client::new(node.address());
    // The share of equal servers wanders; that of one which is faster stays high.
    two.update_behavior(|m| m.service_time = SLOWER);
    until_preferred(&client, &one, "before").await;
    // A toggle is under way at the server as its session ends.
    one.update_behavior(|m| m.is_frozen = true);
    two.update_behavior(|m| m.is_frozen = true);
    let address = node.address();
    let (at_one, begun) = (
        one.requests_received(),
        one.requests_received() + two.requests_received(),
    );
    let mut flying = tokio::task::JoinSet::new();
    for n in 0..8 {
        flying.spawn(async move {
            Client::new(address)
                .send(request("POST", "toggle", &format!("fly-{n}")))
                .await
                .unwrap()
                .status
        });
    }
    until("toggles at both", async || {
        one.requests_received() + two.requests_received() >= begun + 8
    })
    .await;
    let under_way = (one.requests_received() - at_one) as usize;
    entered.expire_session(&registry);
    two.update_behavior(|m| m.is_frozen = false);
    // Whoever has the news closes what is idle: what is left is what toggles have under way. That requests stay away
    // could be chance.
    until("the news", async || one.open_connections() <= under_way).await;
    let before = one.requests_received();
    assert_eq!(served(&client, "after", 200).await, 200);
    assert_eq!(
        one.requests_received(),
        before,
        "new work for a server whose session has ended"
    );
    one.update_behavior(|m| m.is_frozen = false);
    while let Some(status) = flying.join_next().await {
        assert_eq!(status.unwrap(), 200, "what was under way is finished");
    }
    assert!(
        one.effect_counts()
            .iter()
            .chain(&two.effect_counts())
            .all(|(_, n)| *n == 1),
        "something ran twice"
    );
    until("the end of idle connections", async || {
        one.open_connections() == 0
    })
    .await;
    // The process, which has been there all along, is back with a new session: at once, and as warm as it is.
    let _back = RegisteredServer::register(&registry, &one, "one", 0);
    until_sent_to(&client, &one, "back").await;
    let (ones, twos) = (one.requests_received(), two.requests_received());
    assert_eq!(served(&client, "warm", 200).await, 200);
    let (ones, twos) = (
        one.requests_received() - ones,
        two.requests_received() - twos,
    );
    // A cold one is sent a few at most in so short a time, however fast it is.
    assert!(
        ones > twos,
        "{ones} of {} go to it: it is taken for a cold one",
        ones + twos
    );
}

/// How often an entry goes and returns.
const RETURNS: usize = 30;
/// Requests after each return: a server that was let in would hardly get none of them.
const AFTER_RETURN: usize = 10;
/// The second return waits this long, in seconds, each further one twice as long, up to the longest.
const FIRST_HOLD: f64 = 1.0;
const LONGEST_HOLD: f64 = 30.0;

/// How many returns may be let in over a time that begins before the first end: one at its word, then one after each wait.
fn most_let_in(elapsed: Duration) -> usize {
    let (mut let_in, mut hold, mut at) = (1, FIRST_HOLD, FIRST_HOLD);
    while at <= elapsed.as_secs_f64() {
        let_in += 1;
        hold = (2.0 * hold).min(LONGEST_HOLD);
        at += hold;
    }
    let_in
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_flapping_entry_is_removed_at_once_and_readmitted_with_a_delay() {
    let registry = Registry::start(1).await.unwrap();
    let (steady, flappy) = (server("steady").await, server("flappy").await);
    let _steady = RegisteredServer::register(&registry, &steady, "steady", 0);
    let mut entered = RegisteredServer::register(&registry, &flappy, "flappy", 0);
    let node = start(&registry, "", "").await;
    let client = Client::new(node.address());
    until_sent_to(&client, &flappy, "before").await;
    // It stands still with requests, and its entry goes.
    flappy.update_behavior(|m| m.is_frozen = true);
    let (address, seen) = (node.address(), flappy.requests_received());
    let mut flying = tokio::task::JoinSet::new();
    until("a request that it holds", async || {
        let id = format!("held-{}", flying.len());
        flying.spawn(async move {
            Client::new(address)
                .send(request("GET", "evaluate", &id))
                .await
        });
        flappy.requests_received() > seen
    })
    .await;
    let begun = Instant::now();
    entered.expire_session(&registry);
    while let Some(got) = flying.join_next().await {
        assert_eq!(
            got.unwrap().expect("an answer").status,
            200,
            "a request that it held"
        );
    }
    flappy.update_behavior(|m| m.is_frozen = false);
    until("the first end of its connections", async || {
        flappy.open_connections() == 0
    })
    .await;
    let mut let_in = 0;
    for n in 0..RETURNS {
        let (seen, asked) = (flappy.requests_received(), registry.counters().requests);
        entered = RegisteredServer::register(&registry, &flappy, "flappy", 0);
        // Both services read it, and have heard of its last end before.
        until("the reading of its entry", async || {
            registry.counters().requests >= asked + 2
        })
        .await;
        if n == 0 {
            until_sent_to(&client, &flappy, "first-return").await;
        }
        assert_eq!(
            served(&client, &format!("return-{n}"), AFTER_RETURN).await,
            AFTER_RETURN
        );
        let was_sent_to = flappy.requests_received() > seen;
        let_in += usize::from(was_sent_to);
        entered.expire_session(&registry);
        // Whoever has the news closes what is idle. Without a connection nothing tells that the news is there.
        until("the end of its connections", async || {
            flappy.open_connections() == 0
        })
        .await;
        if was_sent_to {
            let seen = flappy.requests_received();
            assert_eq!(
                served(&client, &format!("end-{n}"), AFTER_RETURN).await,
                AFTER_RETURN
            );
            assert_eq!(
                flappy.requests_received(),
                seen,
                "requests to a server whose entry has gone"
            );
        }
    }
    let most = most_let_in(begun.elapsed());
    assert!(
        let_in <= most,
        "{let_in} of {RETURNS} returns were let in, {most} may be"
    );
    // In the end it is there, and so is its work: the wait is about as long as all of this took.
    let _last = RegisteredServer::register(&registry, &flappy, "flappy", 0);
    let patience = Duration::from_secs_f64(2.0 * LONGEST_HOLD);
    until_within(patience, "its return", async || {
        let before = flappy.requests_received();
        served(
            &client,
            &format!("last-{before}-{}", steady.requests_received()),
            10,
        )
        .await;
        flappy.requests_received() > before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_registry_that_is_silent_for_longer_than_the_session_removes_no_server() {
    let registry = Registry::start(3).await.unwrap();
    let (one, two) = (server("one").await, server("two").await);
    let _one = RegisteredServer::register(&registry, &one, "one", 0);
    let entered = RegisteredServer::register(&registry, &two, "two", 0);
    let mut node = start(&registry, "", "session = \"400ms\"\nconnect = \"100ms\"").await;
    let client = Client::new(node.address());
    until_sent_to(&client, &two, "before").await;
    // Members accept and say nothing; the sessions of the node run out meanwhile.
    (0..3).for_each(|m| registry.set_member_frozen(m, true));
    entered.expire_session(&registry);
    let expired = registry.counters().expired_sessions;
    until("the end of the node's sessions", async || {
        registry.counters().expired_sessions >= expired + 2
    })
    .await;
    assert_eq!(served(&client, "silent", 100).await, 100);
    until_sent_to(&client, &one, "silent-one").await;
    until_sent_to(&client, &two, "silent-two").await;
    // Heard again, what happened meanwhile counts.
    (0..3).for_each(|m| registry.set_member_frozen(m, false));
    until("the news", async || two.open_connections() == 0).await;
    let before = two.requests_received();
    assert_eq!(served(&client, "healed", 100).await, 100);
    assert_eq!(two.requests_received(), before);
    node.signal("TERM").unwrap();
    assert!(node.wait_for_exit().await.unwrap());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_list_that_is_stale_can_be_refused() {
    let registry = Registry::start(1).await.unwrap();
    let one = server("one").await;
    let _one = RegisteredServer::register(&registry, &one, "one", 0);
    let follow = ", stale = \"refuse\", stale_after = \"1s\"";
    let node = start(
        &registry,
        follow,
        "session = \"300ms\"\nconnect = \"100ms\"",
    )
    .await;
    let client = Client::new(node.address());
    assert_eq!(served(&client, "before", 20).await, 20);
    let health = || {
        client.send(
            Request::get("/_health/evaluate")
                .header("host", "h")
                .body(Full::default())
                .unwrap(),
        )
    };
    let said = health().await.unwrap();
    assert!(
        String::from_utf8_lossy(&said.body).starts_with("registry heard "),
        "{said:?}"
    );
    registry.set_member_down(0, true);
    node.wait_for_health("/_health/evaluate", false)
        .await
        .unwrap();
    assert_eq!(served(&client, "stale", 5).await, 0);
    registry.set_member_down(0, false);
    node.wait_for_health("/_health/evaluate", true)
        .await
        .unwrap();
    // On a busy machine admission may hold back some of what comes first; that work is back is what matters here.
    until_sent_to(&client, &one, "fresh").await;
}

/// Two things keep an older list from counting, each by itself: the state that was seen, told in the greeting and held
/// against each answer, and the sync before the list. Without both, this fails; the session's own tests take the first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_member_that_lags_never_brings_back_who_is_gone() {
    let registry = Registry::start(2).await.unwrap();
    let (one, two) = (server("one").await, server("two").await);
    let _one = RegisteredServer::register(&registry, &one, "one", 0);
    let entered = RegisteredServer::register(&registry, &two, "two", 0);
    let node = start(&registry, "", "session = \"5s\"\nconnect = \"200ms\"").await;
    let client = Client::new(node.address());
    until_sent_to(&client, &two, "before").await;
    // One member knows of the end at once, the other of nothing more for a while; then the one goes away.
    for (away, lags) in [(0, 1), (1, 0)] {
        // The node hears by the one. A node that is at the other from the start knows nothing yet, and is right.
        registry.set_member_down(lags, true);
        until(
            "both sessions at the member that does not lag",
            async || registry.connected_sessions(away) == 2,
        )
        .await;
        registry.set_member_down(lags, false);
        registry.set_replication_lag(lags, Duration::from_millis(1500));
        if away == 0 {
            entered.expire_session(&registry);
        } else {
            registry.put("/elsewhere", b"", 0);
        }
        // Whoever has the news closes what is idle. That requests stay away could be chance: its share is small.
        until("the news, by a member that does not lag", async || {
            two.open_connections() == 0
        })
        .await;
        registry.set_member_down(away, true);
        let before = two.requests_received();
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_millis(800) {
            assert_eq!(
                served(&client, &format!("lag-{away}-{:?}", begun.elapsed()), 5).await,
                5
            );
        }
        assert_eq!(two.requests_received(), before, "an older list counted");
        registry.set_replication_lag(lags, Duration::ZERO);
        registry.set_member_down(away, false);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_registry_that_comes_late_is_waited_for_and_lost_watches_heal() {
    let registry = Registry::start(3).await.unwrap();
    let one = server("one").await;
    (0..3).for_each(|m| registry.set_member_down(m, true));
    let settings = node_settings(&registry, ", reread = \"1s\"", "connect = \"100ms\"");
    let node = Node::start(&program(), &settings).await.unwrap();
    node.wait_for_health("/_health", false).await.unwrap();
    let client = Client::new(node.address());
    assert_eq!(served(&client, "early", 3).await, 0);
    let mut entered = RegisteredServer::register(&registry, &one, "one", 0);
    (0..3).for_each(|m| registry.set_member_down(m, false));
    node.wait_for_health("/_health", true).await.unwrap();
    until_sent_to(&client, &one, "first").await;
    // Nobody tells of the next changes.
    let two = server("two").await;
    registry.drop_watch_events(1000);
    let _two = RegisteredServer::register(&registry, &two, "two", 0);
    until_sent_to(&client, &two, "unheard").await;
    registry.drop_watch_events(1000);
    entered.expire_session(&registry);
    until("the end that no watch told", async || {
        one.open_connections() == 0
    })
    .await;
    registry.drop_watch_events(0);
    entered = RegisteredServer::register(&registry, &one, "one", 0);
    until_sent_to(&client, &one, "again").await;
    drop(entered);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_entries_are_skipped_and_affect_no_others() {
    let registry = Registry::start(1).await.unwrap();
    let good = server("good").await;
    let _good = RegisteredServer::register(&registry, &good, "good", 0);
    let session = registry.open_session();
    let put =
        |name: &str, data: &[u8]| registry.put(&format!("{SERVERS_PATH}/{name}"), data, session);
    put("same-address", &entry_data(&good.address.to_string(), 0));
    registry.put(&format!("{SERVERS_PATH}/good/deeper"), b"{}", 0);
    let mut node = start(&registry, "", "").await;
    // Each is told, by both services; one after the other, since a node writes no more than five lines a second.
    registry.put(
        &format!("{SERVERS_PATH}/by-hand"),
        &entry_data("127.0.0.1:9", 0),
        0,
    );
    node.wait_for_log("by-hand: it is not ephemeral")
        .await
        .expect("a line");
    put("long", &vec![b'x'; (1 << 20) - 1000]);
    node.wait_for_log("long: its data has")
        .await
        .expect("a line");
    put("no-json", b"\x00\xff\xfe");
    node.wait_for_log("no-json: its data can't be read")
        .await
        .expect("a line");
    put("no-address", b"{}");
    put("odd name \u{1f600} \" ' %2f", b"[]");
    let client = Client::new(node.address());
    assert_eq!(served(&client, "good", 100).await, 100);
    assert_eq!(good.requests_received(), 100, "somebody else was sent to");
    // The younger of two entries with one address counted; with it gone, the older does again.
    registry.remove(&format!("{SERVERS_PATH}/same-address"));
    let entered = Instant::now();
    until("the older entry", async || {
        served(&client, &format!("older-{:?}", entered.elapsed()), 10).await == 10
    })
    .await;
}

/// Says a greeting that is good, then what is to be said.
fn liar(says: Vec<u8>) -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut greeting = [0; 49];
            if stream.read_exact(&mut greeting).is_err() {
                continue;
            }
            let mut answer = 37u32.to_be_bytes().to_vec();
            answer.extend_from_slice(&0u32.to_be_bytes());
            answer.extend_from_slice(&4000u32.to_be_bytes());
            answer.extend_from_slice(&77u64.to_be_bytes());
            answer.extend_from_slice(&16u32.to_be_bytes());
            answer.extend_from_slice(&[1; 17]);
            answer.extend_from_slice(&says);
            let _ = stream.write_all(&answer);
            // Until the other side has had enough.
            let _ = stream.read(&mut [0; 512]);
            let _ = stream.read(&mut [0; 512]);
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_registry_that_violates_the_protocol_loses_its_connection() {
    let registry = Registry::start(1).await.unwrap();
    let one = server("one").await;
    let _one = RegisteredServer::register(&registry, &one, "one", 0);
    let lies: [Vec<u8>; 4] = [
        u32::MAX.to_be_bytes().to_vec(),
        (1u32 << 30).to_be_bytes().to_vec(),
        [&4u32.to_be_bytes()[..], b"junk"].concat(),
        [&16u32.to_be_bytes()[..], &9u32.to_be_bytes(), &[0; 12]].concat(),
    ];
    let liars: Vec<String> = lies
        .into_iter()
        .map(|l| format!("\"{}\"", liar(l)))
        .collect();
    let honest = node_settings(&registry, "", "connect = \"200ms\"");
    let members = format!("members = [{}, ", liars.join(", "));
    let mut node = Node::start(&program(), &honest.replace("members = [", &members))
        .await
        .unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    let client = Client::new(node.address());
    assert_eq!(served(&client, "honest", 100).await, 100);
    // Whoever it comes to next, its servers stay.
    registry.set_member_down(0, true);
    node.wait_for_log("registry /flags/evaluate: ")
        .await
        .unwrap();
    assert_eq!(served(&client, "lies", 100).await, 100);
    registry.set_member_down(0, false);
    assert_eq!(served(&client, "honest-again", 100).await, 100);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_node_is_registered_from_when_it_is_ready_until_it_ends() {
    let registry = Registry::start(3).await.unwrap();
    let one = server("one").await;
    // What a life before has left.
    let old = registry.open_session();
    registry.put(
        "/nodes/n1",
        br#"{"name":"n1","address":"127.0.0.1:1","incarnation":1,"started":1}"#,
        old,
    );
    let entry = "[registry.entry]\npath = \"/nodes/n1\"\nname = \"n1\"\nsite = \"ikeja-dc\"";
    let more = format!("session = \"2s\"\n{entry}");
    let text = node_settings(&registry, "", &more);
    let mut node = Node::start(&program(), &text).await.unwrap();
    // Not ready: no server is there, and the old entry is nobody's business yet.
    node.wait_for_health("/_health", false).await.unwrap();
    assert_eq!(
        registry.entry("/nodes/n1").map(|entry| entry.owner),
        Some(old)
    );
    let _one = RegisteredServer::register(&registry, &one, "one", 0);
    node.wait_for_health("/_health", true).await.unwrap();
    let stands = || {
        registry
            .entry("/nodes/n1")
            .filter(|entry| entry.owner != old && entry.owner != 0)
    };
    until("its entry", async || stands().is_some()).await;
    let EntrySnapshot { data: said, owner } = stands().unwrap();
    let said: serde_json::Value = serde_json::from_slice(&said).unwrap();
    assert_eq!(
        (said["site"].as_str(), said["address"].as_str()),
        (Some("ikeja-dc"), Some(&*node.address().to_string()))
    );
    // Its session is killed: a new one makes it anew.
    registry.expire_session(owner);
    until("its entry anew", async || {
        stands().is_some_and(|again| again.owner != owner)
    })
    .await;
    // A request is under way at the end: the entry goes first.
    one.update_behavior(|m| m.is_frozen = true);
    let address = node.address();
    let flying = tokio::spawn(async move {
        Client::new(address)
            .send(request("GET", "evaluate", "last"))
            .await
    });
    let seen = one.requests_received();
    until("the request", async || {
        one.requests_received() > seen || one.requests_received() > 0
    })
    .await;
    node.signal("TERM").unwrap();
    until("the end of its entry", async || {
        registry.entry("/nodes/n1").is_none()
    })
    .await;
    one.update_behavior(|m| m.is_frozen = false);
    assert_eq!(flying.await.unwrap().unwrap().status, 200);
    assert!(node.wait_for_exit().await.unwrap());
    assert!(registry.children("/nodes").is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_credentials_only_what_its_owner_entered_counts_and_the_own_entry_is_guarded() {
    let registry = Registry::start(1).await.unwrap();
    let (own, strange) = (server("own").await, server("strange").await);
    let ops = digest_id("ops:secret");
    let enter = |server: &Server, acl: &[AccessRule]| {
        let entered = RegisteredServer::register(&registry, server, &server.name, 0);
        registry.set_acl(&format!("{SERVERS_PATH}/{}", server.name), acl);
        entered
    };
    let _own = enter(
        &own,
        &[
            AccessRule::new(31, "digest", &ops),
            AccessRule::new(1, "world", "anyone"),
        ],
    );
    let _strange = enter(&strange, &[AccessRule::new(31, "world", "anyone")]);
    registry.put("/nodes", b"", 0);
    let secret = std::env::temp_dir().join(format!("reelfall-digest-{}", std::process::id()));
    std::fs::write(&secret, "ops:secret\n").unwrap();
    let follow = format!(", owner = {{ scheme = \"digest\", id = \"{ops}\" }}");
    let more = format!(
        "digest_file = \"{}\"\n[registry.entry]\npath = \"/nodes/n1\"\nname = \"n1\"\nguarded = true",
        secret.display()
    );
    let mut node = start(&registry, &follow, &more).await;
    std::fs::remove_file(&secret).unwrap();
    let client = Client::new(node.address());
    assert_eq!(served(&client, "owned", 100).await, 100);
    assert_eq!(strange.requests_received(), 0, "a stranger's entry counted");
    node.wait_for_log("others than those that are trusted may change it")
        .await
        .unwrap();
    until("its entry", async || registry.entry("/nodes/n1").is_some()).await;
    let acl = registry.acl("/nodes/n1");
    assert!(
        acl.contains(&AccessRule::new(31, "digest", &ops))
            && acl.contains(&AccessRule::new(1, "world", "anyone"))
    );
    assert_eq!(acl.len(), 2, "{acl:?}");
    node.signal("TERM").unwrap();
    assert!(node.wait_for_exit().await.unwrap());
    assert!(registry.entry("/nodes/n1").is_none());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn known_servers_are_served_until_the_registry_is_heard() {
    let registry = Registry::start(1).await.unwrap();
    let (known, listed) = (server("known").await, server("listed").await);
    registry.set_member_down(0, true);
    let follow = format!(
        ", known = [{{ name = \"known\", address = \"{}\" }}]",
        known.address
    );
    let node = start(&registry, &follow, "connect = \"100ms\"").await;
    let client = Client::new(node.address());
    assert_eq!(served(&client, "known", 20).await, 20);
    assert_eq!(known.requests_received(), 20);
    let _listed = RegisteredServer::register(&registry, &listed, "listed", 0);
    registry.set_member_down(0, false);
    until_sent_to(&client, &listed, "heard").await;
    // What the registry does not list is not there.
    let before = known.requests_received();
    assert_eq!(served(&client, "after", 100).await, 100);
    assert_eq!(
        known.requests_received(),
        before,
        "a server that the registry does not list"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn thousands_of_entries_and_changes_are_followed() {
    let registry = Registry::start(1).await.unwrap();
    let (one, last) = (server("one").await, server("last").await);
    let session = registry.open_session();
    for n in 0..2_000 {
        // Nobody is there; they drain, so that nobody asks.
        let entry = format!(
            "{{\"address\":\"127.8.{}.{}:9\",\"state\":\"draining\"}}",
            n / 250,
            1 + n % 250
        );
        registry.put(&format!("{SERVERS_PATH}/s{n}"), entry.as_bytes(), session);
    }
    let _one = RegisteredServer::register(&registry, &one, "one", 0);
    let node = start(&registry, "", "").await;
    let client = Client::new(node.address());
    assert_eq!(served(&client, "many", 50).await, 50);
    // A thousand changes in a burst, and one that counts at their end.
    for n in 0..1_000 {
        let entry = format!(
            "{{\"address\":\"127.9.{}.{}:9\",\"state\":\"draining\"}}",
            n / 250,
            1 + n % 250
        );
        registry.put(&format!("{SERVERS_PATH}/s{n}"), entry.as_bytes(), session);
    }
    let _last = RegisteredServer::register(&registry, &last, "last", 0);
    until_sent_to(&client, &last, "last").await;
    assert_eq!(served(&client, "churned", 50).await, 50);
}
