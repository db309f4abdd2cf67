//! The stand-ins themselves: one that does not do what it says would prove nothing.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reelfall_testbed::client::Client;
use reelfall_testbed::link::Link;
use reelfall_testbed::load::{self, Workload};
use reelfall_testbed::pool::{Pool, Server, ServerBehavior};
use std::time::{Duration, Instant};

fn get(id: &str) -> Request<Full<Bytes>> {
    Request::get("/")
        .header("host", "h")
        .header("x-correlation-id", id)
        .body(Full::new(Bytes::new()))
        .unwrap()
}

async fn server() -> Server {
    Server::start("s", 4, ServerBehavior::healthy(Duration::from_millis(1)), 3)
        .await
        .unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_link_passes_delays_and_freezes_what_goes_through_it() {
    let server = server().await;
    let link = Link::start(server.address).await.unwrap();
    let client = Client::new(link.address);
    assert_eq!(client.send(get("plain")).await.unwrap().body, "plain");
    link.update_faults(|f| f.delay = Duration::from_millis(100));
    let begun = Instant::now();
    assert_eq!(client.send(get("late")).await.unwrap().status, 200);
    assert!(
        begun.elapsed() >= Duration::from_millis(200),
        "late both ways"
    );
    link.update_faults(|f| (f.delay, f.is_frozen) = (Duration::ZERO, true));
    let waited = tokio::time::timeout(Duration::from_millis(300), client.send(get("frozen"))).await;
    assert!(waited.is_err(), "something passed a frozen link");
    assert!(!server.effect_counts().contains_key("frozen"));
    // What waits in it passes once it thaws, though the client has left.
    link.update_faults(|f| f.is_frozen = false);
    let client = Client::new(link.address);
    assert_eq!(client.send(get("thawed")).await.unwrap().status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_link_cuts_at_a_byte_and_goes_deaf_one_way() {
    let server = server().await;
    let link = Link::start(server.address).await.unwrap();
    link.update_faults(|f| f.cut_after_bytes_to_server = Some(10));
    assert!(Client::new(link.address).send(get("cut")).await.is_err());
    assert_eq!(
        server.requests_received(),
        0,
        "half a request arrived whole"
    );
    link.update_faults(|f| {
        (f.cut_after_bytes_to_server, f.cut_after_bytes_to_client) = (None, Some(10))
    });
    assert!(Client::new(link.address)
        .send(get("cut-back"))
        .await
        .is_err());
    assert_eq!(
        server.effect_counts().get("cut-back"),
        Some(&1),
        "the effect is there, the answer is not"
    );
    link.update_faults(|f| (f.cut_after_bytes_to_client, f.drops_responses) = (None, true));
    let asking = tokio::spawn({
        let client = Client::new(link.address);
        async move { client.send(get("deaf")).await }
    });
    let begun = Instant::now();
    while !server.effect_counts().contains_key("deaf") {
        assert!(
            begun.elapsed() < Duration::from_secs(20),
            "the request does not arrive"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(
        !asking.is_finished(),
        "the connection ended, or the answer came"
    );
    asking.abort();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_count_effects_whatever_the_client_learns() {
    let fails = |change: fn(&mut ServerBehavior)| {
        let mut manner = ServerBehavior::healthy(Duration::from_millis(1));
        change(&mut manner);
        manner
    };
    for (n, (manner, status, ran)) in [
        (fails(|m| m.error_ratio = 1.0), Some(500), true),
        (fails(|m| m.shed_ratio = 1.0), Some(503), false),
        (fails(|m| m.close_before_effect_ratio = 1.0), None, false),
        (fails(|m| m.close_after_effect_ratio = 1.0), None, true),
    ]
    .into_iter()
    .enumerate()
    {
        let pool = Pool::start("s", 1, manner, 1).await.unwrap();
        let got = Client::new(pool.servers[0].address).send(get("x")).await;
        assert_eq!(got.ok().map(|g| g.status.as_u16()), status, "manner {n}");
        assert_eq!(pool.effect_counts().contains_key("x"), ran, "manner {n}");
        assert_eq!(pool.requests_received(), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_comes_at_its_rate_and_counts_from_the_intended_moment() {
    let server = Server::start("s", 1, ServerBehavior::healthy(Duration::from_millis(1)), 3)
        .await
        .unwrap();
    let kind = Workload {
        name: "k".to_owned(),
        host: "h".to_owned(),
        method: "GET",
        path: "/".to_owned(),
        headers: vec![],
        body: None,
        deadline: Duration::from_secs(2),
        rate: 200.0,
    };
    let time = Duration::from_secs(2);
    let first = load::run(server.address, std::slice::from_ref(&kind), time, 5).await;
    assert!(
        (300..500).contains(&first[0].sent),
        "{} requests",
        first[0].sent
    );
    assert_eq!(first[0].with_status(&[200]), first[0].sent);
    let again = Workload {
        name: "again".to_owned(),
        ..kind.clone()
    };
    assert_eq!(
        load::run(server.address, &[again], time, 5).await[0].sent,
        first[0].sent,
        "a seed is a schedule"
    );
    // While the server stands still, requests go on coming, and their wait is seen in full.
    server.update_behavior(|m| m.is_frozen = true);
    let frozen = [Workload {
        name: "frozen".to_owned(),
        ..kind
    }];
    let thaw = async {
        tokio::time::sleep(Duration::from_millis(1500)).await;
        server.update_behavior(|m| m.is_frozen = false);
    };
    let (came, ()) = tokio::join!(load::run(server.address, &frozen, time, 5), thaw);
    assert!(
        came[0].latency.value_at_quantile(0.5) > 400_000,
        "an answer that was awaited counts as quick"
    );
}
