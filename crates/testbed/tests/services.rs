//! Several services from one process, over loopback sockets: a test for each hard case.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reelfall_testbed::client::{Client, ClientResponse};
use reelfall_testbed::discovery::{Discovery, ListedServer, ServerStatus};
use reelfall_testbed::load::{self, Workload};
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::{Pool, Server, ServerBehavior, SlowStart};
use reelfall_testbed::scenario::services as scenario;
use reelfall_testbed::scripted::{self, Program};
use std::io::Write;
use std::time::{Duration, Instant};

fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

const HEAD: &str = "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n";

/// A service at `NAME.example.org` with a class of its name.
fn service(name: &str, repeat: &str, more: &str, servers: &str) -> String {
    format!(
        "[[service]]\nname = \"{name}\"\n{more}\n[[service.class]]\nname = \"{name}\"\nrepeat = \"{repeat}\"\n\
         aim = \"500ms\"\ndeadline = \"5s\"\n[[service.route]]\nhost = \"{name}.example.org\"\npath = \"/api\"\n{servers}"
    )
}

fn listed(server: &Server, more: &str) -> String {
    format!(
        "[[service.server]]\nname = \"{}\"\naddress = \"{}\"\n{more}\n",
        server.name, server.address
    )
}

async fn good(name: &str, ms: u64) -> Server {
    Server::start(
        name,
        64,
        ServerBehavior::healthy(Duration::from_millis(ms)),
        1,
    )
    .await
    .unwrap()
}

fn request(method: &str, host: &str, path: &str, id: &str) -> Request<Full<Bytes>> {
    let body = if method == "GET" {
        Bytes::new()
    } else {
        Bytes::from_static(b"{}")
    };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", host);
    let request = if id.is_empty() {
        request
    } else {
        request.header("x-correlation-id", id)
    };
    request.body(Full::new(body)).unwrap()
}

async fn get(client: &Client, service: &str, id: &str) -> ClientResponse {
    client
        .send(request(
            "GET",
            &format!("{service}.example.org"),
            "/api/x",
            id,
        ))
        .await
        .expect("an answer")
}

fn text(got: &ClientResponse) -> String {
    String::from_utf8_lossy(&got.body).into_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_flood_on_one_service_starves_no_other_and_reloads_lose_nothing() {
    let report = scenario::run(&program(), scenario::Scale::SMALL)
        .await
        .unwrap();
    assert!(report.passed(), "{:#?}", report.violations());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_in_one_list_holds_for_the_pool_of_another() {
    let (shared, other) = (good("shared", 1).await, good("other", 1).await);
    let discovery = Discovery::start(vec![ListedServer::active("d-shared", shared.address)])
        .await
        .unwrap();
    let settings = HEAD.to_owned()
        + &service(
            "a",
            "safe",
            &format!("discovery = \"{}\"", discovery.address),
            "",
        )
        + &service(
            "b",
            "safe",
            "",
            &(listed(&shared, "") + &listed(&other, "")),
        );
    let node = Node::start(&program(), &settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    let client = Client::new(node.address());
    // One whose first answer was slow is left out for a moment.
    let begun = Instant::now();
    while shared.requests_received() == 0 {
        assert!(
            begun.elapsed() < Duration::from_secs(20),
            "the server is never used"
        );
        assert_eq!(
            get(
                &client,
                "b",
                &format!("before-{}", begun.elapsed().as_nanos())
            )
            .await
            .status,
            200
        );
    }
    let draining = ListedServer {
        status: ServerStatus::Draining,
        ..ListedServer::active("d-shared", shared.address)
    };
    discovery.update(&[draining]);
    // Once pool a has heard it and refuses, b has too.
    let told = Instant::now();
    while get(
        &client,
        "a",
        &format!("drain-{}", told.elapsed().as_nanos()),
    )
    .await
    .status
        == 200
    {
        assert!(
            told.elapsed() < Duration::from_secs(20),
            "the drain is not kept"
        );
    }
    let before = shared.requests_received();
    for n in 0..200 {
        assert_eq!(get(&client, "b", &format!("after-{n}")).await.status, 200);
    }
    assert_eq!(
        shared.requests_received(),
        before,
        "a server that drains by another list got new requests"
    );
}

/// Milliseconds of Unix time.
fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

fn kind(name: &str, rate: f64) -> Workload {
    Workload {
        name: name.to_owned(),
        host: format!("{}.example.org", name.split('-').next().unwrap()),
        method: "GET",
        path: "/api".to_owned(),
        headers: vec![],
        body: None,
        deadline: Duration::from_secs(5),
        rate,
    }
}

/// Services that sent something to a server.
fn senders(to: &Server) -> std::collections::BTreeSet<String> {
    to.effect_counts()
        .keys()
        .filter_map(|id| Some(id.split('-').next()?.to_owned()))
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cold_server_that_ten_pools_list_is_pushed_no_further_than_one_may() {
    // Ten services, each with a server that is busy, and a new one of that kind that all their lists tell of.
    const TEN: usize = 10;
    let warm_after = Duration::from_secs(8);
    let manner = ServerBehavior::healthy(Duration::from_millis(100));
    let new = Server::start("new", 4, manner.clone(), 1).await.unwrap();
    let (mut own, mut lists, mut settings) = (vec![], vec![], HEAD.to_owned());
    for n in 0..TEN {
        let server = Server::start(&format!("own-{n}"), 4, manner.clone(), 2)
            .await
            .unwrap();
        let list = Discovery::start(vec![ListedServer::active(&server.name, server.address)])
            .await
            .unwrap();
        let more = format!(
            "discovery = \"{}\"\ncold = {{ from = 0.15, warm_after = \"8s\" }}",
            list.address
        );
        settings += &service(&format!("s{n}"), "safe", &more, "");
        own.push(server);
        lists.push(list);
    }
    let node = Node::start(&program(), &settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    let kinds = |run: &str| {
        (0..TEN)
            .map(|n| kind(&format!("s{n}-{run}"), 30.0))
            .collect::<Vec<_>>()
    };
    // What one server bears is learned first.
    load::run(node.address(), &kinds("before"), Duration::from_secs(6), 3).await;
    new.begin_slow_start(SlowStart {
        initial_capacity: 0.15,
        duration: warm_after,
        ..SlowStart::default()
    });
    let began = Instant::now();
    let line = ListedServer {
        since_ms: unix_ms(),
        ..ListedServer::active("new", new.address)
    };
    lists
        .iter()
        .for_each(|l| l.update(std::slice::from_ref(&line)));
    let (address, cold) = (node.address(), kinds("cold"));
    let loading =
        tokio::spawn(async move { load::run(address, &cold, Duration::from_secs(3), 4).await });
    tokio::time::sleep_until((began + Duration::from_secs(3)).into()).await;
    let at_first = senders(&new);
    loading.await.unwrap();
    assert!(
        new.peak_overload() < 3.0,
        "pushed to {:.2} times what it can do",
        new.peak_overload()
    );
    assert!(!at_first.is_empty(), "nothing is sent at all");
    assert!(
        at_first.len() <= 8 && !at_first.contains("s8") && !at_first.contains("s9"),
        "{at_first:?}"
    );
    // Once it is warm, all send to it.
    for run in 0.. {
        load::run(
            node.address(),
            &kinds(&format!("warm{run}")),
            Duration::from_secs(1),
            5 + run,
        )
        .await;
        if senders(&new).len() == TEN {
            break;
        }
        assert!(
            began.elapsed() < Duration::from_secs(60),
            "withheld for ever: {:?}",
            senders(&new)
        );
    }
    assert!(
        new.peak_overload() < 3.0,
        "pushed to {:.2} times what it can do",
        new.peak_overload()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_one_list_knows_of_holds_for_a_list_that_somebody_wrote() {
    let manner = ServerBehavior::healthy(Duration::from_millis(100));
    let (old, new) = (
        Server::start("old", 12, manner.clone(), 1).await.unwrap(),
        Server::start("new", 12, manner, 1).await.unwrap(),
    );
    let list = Discovery::start(vec![ListedServer::active("d-old", old.address)])
        .await
        .unwrap();
    let cold = "cold = { from = 0.05, warm_after = \"30s\" }";
    let settings = HEAD.to_owned()
        + &service(
            "a",
            "safe",
            &format!("discovery = \"{}\"\n{cold}", list.address),
            "",
        )
        + &service("b", "safe", cold, &(listed(&old, "") + &listed(&new, "")));
    let node = Node::start(&program(), &settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    load::run(
        node.address(),
        &[kind("b-before", 100.0)],
        Duration::from_secs(2),
        3,
    )
    .await;
    assert!(new.requests_received() > 0);
    // It starts anew at its address. Its own list does not tell service b; that of service a does.
    let line = ListedServer {
        since_ms: unix_ms(),
        ..ListedServer::active("d-new", new.address)
    };
    list.update(&[line]);
    let client = Client::new(node.address());
    let told = Instant::now();
    let seen = old.requests_received();
    while old.requests_received() < seen + 2 || told.elapsed() < Duration::from_millis(300) {
        get(&client, "a", &format!("told-{}", told.elapsed().as_nanos())).await;
    }
    let warm_after = Duration::from_secs(30);
    new.begin_slow_start(SlowStart {
        initial_capacity: 0.05,
        duration: warm_after,
        ..SlowStart::default()
    });
    load::run(
        node.address(),
        &[kind("b-after", 100.0)],
        Duration::from_secs(3),
        4,
    )
    .await;
    assert!(new.peak_overload() > 0.0, "nothing is sent at all");
    assert!(
        new.peak_overload() < 3.0,
        "pushed to {:.2} times what it can do",
        new.peak_overload()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_to_one_server_are_bounded_over_all_pools() {
    let server = good("s", 100).await;
    let settings = "[process]\nserver_connections = 4\n".to_owned()
        + HEAD
        + &service("a", "safe", "", &listed(&server, ""))
        + &service("b", "safe", "", &listed(&server, ""));
    let node = Node::start(&program(), &settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    let kinds = [kind("a", 40.0), kind("b", 40.0)];
    let came = load::run(node.address(), &kinds, Duration::from_secs(2), 3).await;
    // Without the bound it sees dozens.
    assert!(
        server.max_open_connections() <= 4,
        "{} connections at once",
        server.max_open_connections()
    );
    for came in &came {
        assert_eq!(came.lost, 0);
        assert!(
            came.with_status(&[200]) > 0,
            "a pool gets no connection at all: {:?}",
            came.statuses
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_or_emptying_one_pool_leaves_the_others() {
    let (one, two) = (good("one", 1).await, good("two", 1).await);
    let a = service("a", "safe", "", &listed(&one, ""));
    let b = service("b", "safe", "", &listed(&two, ""));
    let mut node = Node::start(&program(), &(HEAD.to_owned() + &a + &b))
        .await
        .unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    let client = Client::new(node.address());
    let health = |name: &'static str| {
        let client = &client;
        async move {
            client
                .send(request("GET", "h", name, ""))
                .await
                .unwrap()
                .status
                .as_u16()
        }
    };
    assert_eq!(get(&client, "a", "a-1").await.status, 200);
    let empty = service("a", "safe", "server = []", "");
    let draining = a.replacen("name = \"a\"", "name = \"a\"\nstate = \"draining\"", 1);
    for (n, (other, whole)) in [(empty, 503), (draining, 200), (a.clone(), 200)]
        .into_iter()
        .enumerate()
    {
        node.reload(&(HEAD.to_owned() + &other + &b)).await.unwrap();
        let back = n == 2;
        let mut got = get(&client, "a", &format!("a-2{n}")).await;
        let begun = Instant::now();
        // A server that is put back counts as cold, and may get nothing at first.
        while back && got.status != 200 && begun.elapsed() < Duration::from_secs(20) {
            got = get(&client, "a", &format!("a-{}", begun.elapsed().as_nanos())).await;
        }
        assert_eq!(got.status, if back { 200 } else { 503 }, "{}", text(&got));
        assert_eq!(
            got.headers.contains_key("retry-after"),
            !back,
            "no word on when to come back"
        );
        assert_eq!(health("/_health/a").await, if back { 200 } else { 503 });
        assert_eq!(health("/_health").await, whole);
        for m in 0..20 {
            assert_eq!(get(&client, "b", &format!("b-{n}-{m}")).await.status, 200);
        }
        assert_eq!(health("/_health/b").await, 200);
    }
    assert_eq!(health("/_health/none").await, 404);
    assert_eq!((one.requests_received(), two.requests_received()), (2, 60));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ambiguous_requests_are_rejected_and_reach_no_server() {
    let (flags, admin) = (good("flags", 1).await, good("admin", 1).await);
    let settings = HEAD.to_owned()
        + &service("flags", "safe", "", &listed(&flags, ""))
        + &service("admin", "safe", "", &listed(&admin, ""));
    let node = Node::start(&program(), &settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    let address = node.address();
    let ask = move |first: &str, hosts: &[&str]| {
        let hosts: String = hosts.iter().map(|h| format!("Host:{h}\r\n")).collect();
        let bytes = format!("{first}\r\n{hosts}\r\n");
        let got = tokio::task::block_in_place(|| scripted::exchange(address, bytes.as_bytes()));
        got.map_or(0, |g| g.status)
    };
    const H: &str = " flags.example.org";
    let corpus: &[(&str, &[&str], u16)] = &[
        ("GET /api HTTP/1.1", &[H], 200),
        ("GET /api HTTP/1.1", &[" FLAGS.Example.ORG"], 200),
        ("GET /api HTTP/1.1", &[" flags.example.org:8443"], 200),
        ("GET /api?x=/../%2f//%61 HTTP/1.1", &[H], 200),
        ("GET http://flags.example.org/api HTTP/1.1", &[H], 200),
        ("GET /api HTTP/1.1", &[" other.example.org"], 404),
        ("GET /other HTTP/1.1", &[H], 404),
        ("GET /apis HTTP/1.1", &[H], 404),
        ("GET /API HTTP/1.1", &[H], 404),
        ("GET /api HTTP/1.1", &[], 400),
        ("GET /api HTTP/1.0", &[], 400),
        ("GET /api HTTP/1.1", &[""], 400),
        ("GET /api HTTP/1.1", &[H, H], 400),
        ("GET /api HTTP/1.1", &[H, " admin.example.org"], 400),
        ("GET /api HTTP/1.1", &[" flags.example.org."], 400),
        ("GET /api HTTP/1.1", &[" flags.example.org:"], 400),
        ("GET /api HTTP/1.1", &[" flags.example.org:http"], 400),
        (
            "GET /api HTTP/1.1",
            &[" admin.example.org@flags.example.org"],
            400,
        ),
        ("GET /api HTTP/1.1", &[" flags.example.org/admin"], 400),
        (
            "GET /api HTTP/1.1",
            &[" flags.example.org, admin.example.org"],
            400,
        ),
        ("GET http://admin.example.org/api HTTP/1.1", &[H], 400),
        ("GET http://u@flags.example.org/api HTTP/1.1", &[H], 400),
        ("GET https://flags.example.org/api HTTP/1.1", &[H], 400),
        ("GET http://flags.example.org/api HTTP/1.1", &[], 400),
        ("GET /api/./x HTTP/1.1", &[H], 400),
        ("GET /x/../api HTTP/1.1", &[H], 400),
        ("GET /api/%2e%2e/x HTTP/1.1", &[H], 400),
        ("GET /api/..;/x HTTP/1.1", &[H], 400),
        ("GET /api%2fx HTTP/1.1", &[H], 400),
        ("GET /api%5cx HTTP/1.1", &[H], 400),
        ("GET /%61pi HTTP/1.1", &[H], 400),
        ("GET //api HTTP/1.1", &[H], 400),
        ("GET /api//x HTTP/1.1", &[H], 400),
        ("GET /api%00 HTTP/1.1", &[H], 400),
        ("GET /api% HTTP/1.1", &[H], 400),
        ("GET api HTTP/1.1", &[H], 400),
        ("GET * HTTP/1.1", &[H], 400),
        ("GET flags.example.org:80 HTTP/1.1", &[H], 400),
        ("CONNECT flags.example.org:80 HTTP/1.1", &[H], 400),
        ("TRACE /api HTTP/1.1", &[H], 400),
    ];
    let good = corpus.iter().filter(|(.., status)| *status == 200).count() as u64;
    for (first, hosts, status) in corpus {
        assert_eq!(ask(first, hosts), *status, "{first} {hosts:?}");
    }
    assert_eq!(
        (flags.requests_received(), admin.requests_received()),
        (good, 0),
        "something was passed on"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_connection_for_several_services_outlives_the_removal_of_one() {
    let (one, two) = (good("one", 1).await, good("two", 1).await);
    let a = service("a", "safe", "", &listed(&one, ""));
    let b = service("b", "safe", "", &listed(&two, ""));
    let mut node = Node::start(&program(), &(HEAD.to_owned() + &a + &b))
        .await
        .unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    let address = node.address();
    let mut stream = tokio::task::block_in_place(|| scripted::connect(address));
    let mut ask = |service: &str, id: &str| {
        let request = format!(
            "GET /api HTTP/1.1\r\nhost: {service}.example.org\r\nx-correlation-id: {id}\r\n\r\n"
        );
        tokio::task::block_in_place(|| {
            stream.write_all(request.as_bytes()).unwrap();
            scripted::read_response(&stream)
                .expect("the connection stays")
                .status
        })
    };
    for n in 0..10 {
        assert_eq!(ask(["a", "b"][n % 2], &format!("before-{n}")), 200);
    }
    node.reload(&(HEAD.to_owned() + &b)).await.unwrap();
    for n in 0..10 {
        assert_eq!(
            ask(["a", "b"][n % 2], &format!("after-{n}")),
            [404, 200][n % 2]
        );
    }
    assert_eq!((one.requests_received(), two.requests_received()), (5, 10));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reloads_faster_than_they_apply_end_with_the_last_and_a_bad_file_changes_nothing() {
    let server = good("s", 1).await;
    let settings = |name: &str| HEAD.to_owned() + &service(name, "safe", "", &listed(&server, ""));
    let mut node = Node::start(&program(), &settings("n0")).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    let client = Client::new(node.address());
    for n in 1..=60 {
        node.replace_settings(&settings(&format!("n{n}"))).unwrap();
    }
    let begun = Instant::now();
    while get(
        &client,
        "n60",
        &format!("last-{}", begun.elapsed().as_nanos()),
    )
    .await
    .status
        != 200
    {
        assert!(
            begun.elapsed() < Duration::from_secs(20),
            "the last file is not in force"
        );
    }
    assert_eq!(get(&client, "n59", "gone").await.status, 404);
    // Mistakes are named with file and line, and all stays as it was.
    node.replace_settings(&settings("n61").replace("\"5s\"", "500"))
        .unwrap();
    let said = node.wait_for_log("services.toml:").await.unwrap();
    assert!(
        said.contains("services.toml:11: `500` is a number alone"),
        "{said}"
    );
    node.wait_for_log("reload failed, the old settings stay in force")
        .await
        .unwrap();
    assert_eq!(get(&client, "n60", "still").await.status, 200);
    std::fs::remove_file(node.settings_file()).unwrap();
    node.signal("HUP").unwrap();
    node.wait_for_log("reload failed, the old settings stay in force")
        .await
        .unwrap();
    // A listener that can't be had is a mistake as well.
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let more = format!(
        "[[listener]]\nname = \"x\"\naddress = \"{}\"\n",
        taken.local_addr().unwrap()
    );
    node.replace_settings(&(settings("n62") + &more)).unwrap();
    let said = node.wait_for_log("listener `x`").await.unwrap();
    assert!(said.contains("services.toml:19: listener `x`"), "{said}");
    assert_eq!(get(&client, "n60", "yet").await.status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_file_that_is_read_while_it_is_written_is_waited_for() {
    let server = good("s", 1).await;
    let half = HEAD.to_owned() + &service("a", "safe", "", &listed(&server, ""));
    let whole = half.clone() + &service("b", "safe", "", &listed(&server, ""));
    let mut node = Node::start(&program(), &half).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    // The first half is a whole file too: were it put in force, that would be said before the second is there.
    for round in 0..5 {
        let (first, rest) = whole.split_at(half.len());
        let mut file = std::fs::File::create(node.settings_file()).unwrap();
        file.write_all(first.as_bytes()).unwrap();
        node.signal("HUP").unwrap();
        for part in rest.as_bytes().chunks(rest.len() / 20) {
            tokio::time::sleep(Duration::from_millis(5)).await;
            file.write_all(part).unwrap();
        }
        drop(file);
        node.wait_for_log("is in force").await.unwrap();
        let got = get(&Client::new(node.address()), "b", &format!("r-{round}")).await;
        assert_eq!(got.status, 200, "half a file was put in force");
        node.reload(&half).await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_in_flight_is_answered_whatever_becomes_of_its_service() {
    let server = good("slow", 1).await;
    let a = |deadline: &str| {
        let text = service("a", "unsafe", "", &listed(&server, "")).replace("\"5s\"", deadline);
        HEAD.to_owned() + &text
    };
    let other = good("other", 1).await;
    let b = service("b", "safe", "", &listed(&other, ""));
    // It lists the slow server as well, which so stays known as a warm one.
    let b = b + &service("keeper", "safe", "", &listed(&server, ""));
    let mut node = Node::start(&program(), &(a("\"10s\"") + &b)).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    let without = HEAD.to_owned() + &b;
    for (n, next) in [a("\"600ms\"") + &b, without, a("\"10s\"") + &b]
        .into_iter()
        .enumerate()
    {
        // Service `a` is there at the start of each round, with a long deadline.
        node.reload(&(a("\"10s\"") + &b)).await.unwrap();
        server.update_behavior(|m| m.is_frozen = true);
        let seen = server.requests_received();
        let address = node.address();
        let id = format!("flight-{n}");
        let asking = tokio::spawn(async move {
            Client::new(address)
                .send(request("POST", "a.example.org", "/api", &id))
                .await
                .map(|g| g.status.as_u16())
        });
        let begun = Instant::now();
        while server.requests_received() == seen {
            assert!(
                begun.elapsed() < Duration::from_secs(20),
                "the request does not arrive"
            );
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        node.reload(&next).await.unwrap();
        server.update_behavior(|m| m.is_frozen = false);
        assert_eq!(asking.await.unwrap().unwrap(), 200, "round {n}");
    }
    assert!(
        server.effect_counts().values().all(|n| *n == 1),
        "an effect twice"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn classes_come_from_routes_and_ids_are_made_where_none_came() {
    let server = good("s", 1).await;
    let two = "[[service.class]]\nname = \"read\"\nrepeat = \"safe\"\naim = \"1s\"\ndeadline = \"5s\"\n\
         [[service.class]]\nname = \"write\"\nrepeat = \"unsafe\"\naim = \"1s\"\ndeadline = \"5s\"\n\
         [[service.route]]\nhost = \"a.example.org\"\npath = \"/w\"\nassign = \"write\"\n\
         [[service.route]]\nhost = \"a.example.org\"\npath = \"/any\"\n";
    let settings = format!(
        "{HEAD}[[service]]\nname = \"a\"\n{two}{}",
        listed(&server, "")
    );
    let node = Node::start(&program(), &settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    let client = Client::new(node.address());
    let ask = |method: &'static str, path: &'static str, class: &'static str| {
        let mut request = request(method, "a.example.org", path, "");
        if !class.is_empty() {
            request
                .headers_mut()
                .insert("x-service-class", class.parse().unwrap());
        }
        let client = &client;
        async move { client.send(request).await.unwrap() }
    };
    let got = ask("POST", "/w", "").await;
    assert_eq!(
        (got.status.as_u16(), got.body.len()),
        (200, 16),
        "no id was made"
    );
    // Whatever it states, what comes by this route is unsafe.
    assert_eq!(ask("GET", "/w", "read").await.status, 405);
    assert_eq!(ask("PUT", "/w", "read").await.status, 200);
    // Where the route assigns none, the request has to state one.
    assert_eq!(ask("GET", "/any", "read").await.status, 200);
    assert_eq!(ask("POST", "/any", "read").await.status, 200);
    assert_eq!(ask("POST", "/any", "write").await.status, 200);
    assert_eq!(ask("GET", "/any", "write").await.status, 405);
    assert_eq!(ask("GET", "/any", "").await.status, 400);
    assert_eq!(ask("GET", "/any", "other").await.status, 400);
    let ids = server.effect_counts();
    assert_eq!(
        (ids.len(), server.requests_received()),
        (5, 5),
        "ids that were made are not all different: {ids:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_that_die_run_no_unsafe_request_twice() {
    let manner = ServerBehavior {
        close_after_effect_ratio: 0.3,
        close_before_effect_ratio: 0.2,
        error_ratio: 0.1,
        shed_ratio: 0.1,
        ..ServerBehavior::healthy(Duration::from_millis(2))
    };
    let pool = Pool::start("s", 4, manner, 5).await.unwrap();
    let settings = HEAD.to_owned()
        + &service("a", "unsafe", "", &pool.server_settings())
        + &service("b", "safe", "", &pool.server_settings());
    let node = Node::start(&program(), &settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    let kinds = [
        Workload {
            method: "POST",
            ..kind("a", 100.0)
        },
        kind("b", 100.0),
    ];
    let came = load::run(node.address(), &kinds, Duration::from_secs(3), 9).await;
    assert_eq!(
        came.iter().map(|c| c.lost).sum::<u64>(),
        0,
        "a request without an answer"
    );
    let effects = pool.effect_counts();
    let twice: Vec<_> = effects
        .iter()
        .filter(|(id, n)| id.starts_with("a-") && **n > 1)
        .collect();
    assert!(twice.is_empty(), "effects twice: {twice:?}");
    assert!(
        effects.iter().any(|(id, n)| id.starts_with("b-") && *n > 1),
        "nothing was ever retried"
    );
    // A refusal says that nothing ran.
    let ran = effects.keys().filter(|id| id.starts_with("a-")).count() as u64;
    let refused = came[0].with_status(&[429, 503]);
    assert!(
        ran + refused <= came[0].sent,
        "{refused} refused and {ran} ran of {}",
        came[0].sent
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reservation_is_there_when_another_service_holds_all_else() {
    let (frozen, quick) = (good("frozen", 1).await, good("quick", 1).await);
    frozen.update_behavior(|m| m.is_frozen = true);
    let settings = "[process]\ndescriptors = 400\n".to_owned()
        + HEAD
        + &service("a", "safe", "tries = { most = 1 }", &listed(&frozen, ""))
        + &service(
            "b",
            "safe",
            "limits = { open_reserved = 8, connections_reserved = 8 }",
            &listed(&quick, ""),
        );
    let node = Node::start(&program(), &settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    let address = node.address();
    let mut flood = tokio::task::JoinSet::new();
    for n in 0..200 {
        flood.spawn(async move {
            let client = Client::new(address);
            client
                .send(request("GET", "a.example.org", "/api", &format!("a-{n}")))
                .await
                .map(|g| g.status.as_u16())
        });
    }
    // The flood holds what it may once some of it is refused.
    let first = flood.join_next().await.unwrap().unwrap().unwrap();
    assert_eq!(first, 503);
    let client = Client::new(address);
    for n in 0..50 {
        let got = get(&client, "b", &format!("b-{n}")).await;
        assert_eq!(got.status, 200, "request {n}: {}", text(&got));
    }
    frozen.update_behavior(|m| m.is_frozen = false);
    let mut answered = 1;
    while let Some(done) = flood.join_next().await {
        done.unwrap().expect("an answer");
        answered += 1;
    }
    assert_eq!(answered, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_fill_the_memory_of_one_service_leave_that_of_another() {
    let (frozen, quick) = (good("frozen", 1).await, good("quick", 1).await);
    frozen.update_behavior(|m| m.is_frozen = true);
    let settings = "[process]\nmemory = \"16MiB\"\n".to_owned()
        + HEAD
        + &service("a", "unsafe", "", &listed(&frozen, ""))
        + &service(
            "b",
            "unsafe",
            "limits = { memory_reserved = \"1MiB\" }",
            &listed(&quick, ""),
        );
    let node = Node::start(&program(), &settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    let address = node.address();
    let post = move |service: &'static str, id: String| async move {
        let request = Request::post("/api").header("host", format!("{service}.example.org"));
        let request = request
            .header("x-correlation-id", id)
            .body(Full::new(Bytes::from(vec![b'x'; 400 << 10])));
        Client::new(address)
            .send(request.unwrap())
            .await
            .map(|g| g.status.as_u16())
    };
    // Half of the memory is for bodies, and one megabyte of it is kept: 17 bodies of 400 KiB fill the rest, and the others
    // flow as their server takes them.
    let mut flood = tokio::task::JoinSet::new();
    for n in 0..40 {
        flood.spawn(post("a", format!("a-{n}")));
    }
    for n in 0..20 {
        assert_eq!(
            post("b", format!("b-{n}")).await.unwrap(),
            200,
            "request {n}"
        );
    }
    frozen.update_behavior(|m| m.is_frozen = false);
    let mut statuses = vec![];
    while let Some(done) = flood.join_next().await {
        statuses.push(done.unwrap().expect("an answer"));
    }
    assert_eq!(statuses.len(), 40);
    assert!(frozen.effect_counts().values().all(|n| *n == 1));
}
