//! Tests of the stand-ins themselves: other tests are valid only if these behave as documented.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reelfall_testbed::client::Client;
use reelfall_testbed::link::Link;
use reelfall_testbed::load::{self, Workload};
use reelfall_testbed::pool::{Pool, Server, ServerBehavior};
use reelfall_testbed::scripted::{ok_response, serve, Message};
use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SERVICE_TIME: Duration = Duration::from_millis(1);
const SERVER_SEED: u64 = 3;

fn get(id: &str) -> Request<Full<Bytes>> {
    Request::get("/")
        .header("host", "h")
        .header("x-correlation-id", id)
        .body(Full::new(Bytes::new()))
        .unwrap()
}

async fn start_server(workers: usize) -> Server {
    let behavior = ServerBehavior::healthy(SERVICE_TIME);
    Server::start("s", workers, behavior, SERVER_SEED)
        .await
        .unwrap()
}

/// The node closes idle connections after 5 s. A client that reuses an older connection can lose a request that is sent
/// while the node closes the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_reuses_no_connection_that_was_idle_for_four_seconds() {
    const MAX_REUSED_IDLE: Duration = Duration::from_secs(4);
    let connections = Arc::new(AtomicUsize::new(0));
    let accepted = connections.clone();
    let address = serve(move |mut stream, _| {
        accepted.fetch_add(1, Ordering::SeqCst);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = Message::read(&mut reader) {
            let _ = stream.write_all(&ok_response(&request));
        }
    });
    let client = Client::new(address);
    for id in ["first", "reused"] {
        client.send(get(id)).await.unwrap();
    }
    assert_eq!(connections.load(Ordering::SeqCst), 1);
    tokio::time::sleep(MAX_REUSED_IDLE).await;
    client.send(get("after-idle")).await.unwrap();
    assert_eq!(
        connections.load(Ordering::SeqCst),
        2,
        "the idle connection was reused"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn link_forwards_delays_and_pauses_traffic() {
    const ONE_WAY_DELAY: Duration = Duration::from_millis(100);
    const PAUSE_TIME: Duration = Duration::from_millis(300);
    let server = start_server(4).await;
    let link = Link::start(server.address).await.unwrap();
    let client = Client::new(link.address);
    assert_eq!(client.send(get("plain")).await.unwrap().body, "plain");
    link.update_faults(|faults| faults.delay = ONE_WAY_DELAY);
    let sent = Instant::now();
    assert_eq!(client.send(get("late")).await.unwrap().status, 200);
    assert!(
        sent.elapsed() >= 2 * ONE_WAY_DELAY,
        "not both directions were delayed"
    );
    link.update_faults(|faults| {
        faults.delay = Duration::ZERO;
        faults.is_frozen = true;
    });
    let response = tokio::time::timeout(PAUSE_TIME, client.send(get("frozen"))).await;
    assert!(response.is_err(), "a response passed the frozen link");
    assert!(!server.effect_counts().contains_key("frozen"));
    // A link that is resumed forwards what it has buffered, even if the client has disconnected.
    link.update_faults(|faults| faults.is_frozen = false);
    let client = Client::new(link.address);
    assert_eq!(client.send(get("thawed")).await.unwrap().status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn link_cuts_connections_at_byte_count_and_drops_responses() {
    const CUT_AFTER_BYTES: u64 = 10;
    let server = start_server(4).await;
    let link = Link::start(server.address).await.unwrap();
    link.update_faults(|faults| faults.cut_after_bytes_to_server = Some(CUT_AFTER_BYTES));
    assert!(Client::new(link.address).send(get("cut")).await.is_err());
    assert_eq!(
        server.requests_received(),
        0,
        "a truncated request was received as complete"
    );
    link.update_faults(|faults| {
        faults.cut_after_bytes_to_server = None;
        faults.cut_after_bytes_to_client = Some(CUT_AFTER_BYTES);
    });
    assert!(Client::new(link.address)
        .send(get("cut-back"))
        .await
        .is_err());
    assert_eq!(
        server.effect_counts().get("cut-back"),
        Some(&1),
        "the request must take effect once, although its response was cut"
    );
    link.update_faults(|faults| {
        faults.cut_after_bytes_to_client = None;
        faults.drops_responses = true;
    });
    let response = tokio::spawn({
        let client = Client::new(link.address);
        async move { client.send(get("deaf")).await }
    });
    let sent = Instant::now();
    while !server.effect_counts().contains_key("deaf") {
        assert!(
            sent.elapsed() < Duration::from_secs(20),
            "the request did not reach the server"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(
        !response.is_finished(),
        "the connection was closed, or the response arrived"
    );
    response.abort();
}

/// An injected fault, and the expected response status and effect.
struct FaultCase {
    inject: fn(&mut ServerBehavior),
    expected_status: Option<u16>,
    has_effect: bool,
}

const FAULT_CASES: [FaultCase; 4] = [
    FaultCase {
        inject: |behavior| behavior.error_ratio = 1.0,
        expected_status: Some(500),
        has_effect: true,
    },
    FaultCase {
        inject: |behavior| behavior.shed_ratio = 1.0,
        expected_status: Some(503),
        has_effect: false,
    },
    FaultCase {
        inject: |behavior| behavior.close_before_effect_ratio = 1.0,
        expected_status: None,
        has_effect: false,
    },
    FaultCase {
        inject: |behavior| behavior.close_after_effect_ratio = 1.0,
        expected_status: None,
        has_effect: true,
    },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_count_effects_whatever_response_client_gets() {
    for (n, case) in FAULT_CASES.iter().enumerate() {
        let mut behavior = ServerBehavior::healthy(SERVICE_TIME);
        (case.inject)(&mut behavior);
        let pool = Pool::start("s", 1, behavior, 1).await.unwrap();
        let response = Client::new(pool.servers[0].address).send(get("x")).await;
        assert_eq!(
            response.ok().map(|response| response.status.as_u16()),
            case.expected_status,
            "case {n}"
        );
        assert_eq!(
            pool.effect_counts().contains_key("x"),
            case.has_effect,
            "case {n}"
        );
        assert_eq!(pool.requests_received(), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_is_sent_at_its_rate_and_latency_counts_from_scheduled_time() {
    const DURATION: Duration = Duration::from_secs(2);
    const LOAD_SEED: u64 = 5;
    const PAUSE_TIME: Duration = Duration::from_millis(1500);
    const MIN_MEDIAN_LATENCY_US: u64 = 400_000;
    let server = start_server(1).await;
    let workload = Workload {
        name: "k".to_owned(),
        host: "h".to_owned(),
        method: "GET",
        path: "/".to_owned(),
        headers: vec![],
        body: None,
        deadline: Duration::from_secs(2),
        rate: 200.0,
    };
    let first_run = load::run(
        server.address,
        std::slice::from_ref(&workload),
        DURATION,
        LOAD_SEED,
    )
    .await;
    assert!(
        (300..500).contains(&first_run[0].sent),
        "{} requests",
        first_run[0].sent
    );
    assert_eq!(first_run[0].with_status(&[200]), first_run[0].sent);
    let repeated = Workload {
        name: "again".to_owned(),
        ..workload.clone()
    };
    assert_eq!(
        load::run(server.address, &[repeated], DURATION, LOAD_SEED).await[0].sent,
        first_run[0].sent,
        "the same seed gave different schedules"
    );
    // While the server is frozen, requests are still sent on schedule, and their latency includes the whole wait.
    server.update_behavior(|behavior| behavior.is_frozen = true);
    let paused = [Workload {
        name: "frozen".to_owned(),
        ..workload
    }];
    let resume = async {
        tokio::time::sleep(PAUSE_TIME).await;
        server.update_behavior(|behavior| behavior.is_frozen = false);
    };
    let (paused_run, ()) = tokio::join!(
        load::run(server.address, &paused, DURATION, LOAD_SEED),
        resume
    );
    assert!(
        paused_run[0].latency.value_at_quantile(0.5) > MIN_MEDIAN_LATENCY_US,
        "the latency does not include the wait for the frozen server"
    );
}
