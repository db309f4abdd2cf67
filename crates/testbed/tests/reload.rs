//! Reloads of the settings file: requests do not wait for them, and see them whole or not at all.
//!
//! A reading is held up by a FIFO in the file's place: the node has begun to read when the FIFO can be opened for
//! writing, and reads until that is closed.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reelfall_testbed::client::{Client, ClientResponse};
use reelfall_testbed::node::{Node, WAIT_TIMEOUT};
use reelfall_testbed::pool::{Server, ServerBehavior};
use reelfall_testbed::scripted::{self, Program};
use std::collections::HashSet;
use std::fs::{File, OpenOptions};
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;

#[path = "../examples/reload/settings.rs"]
mod settings;

use settings::{FileSize, HEAD};

fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// What should come soon comes.
async fn soon<T>(what: &str, wait: impl Future<Output = T>) -> T {
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("in vain: {what}"))
}

/// Runs blocking code on a thread that nothing waits for if it never ends.
async fn aside<T: Send + 'static>(what: &str, run: impl FnOnce() -> T + Send + 'static) -> T {
    let (done, result) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || done.send(run()));
    soon(what, result).await.expect(what)
}

/// A service at `NAME.example.org` with routes of these paths.
fn service(name: &str, paths: &[&str], servers: &str) -> String {
    let class =
        "[[service.class]]\nname = \"c\"\nrepeat = \"safe\"\naim = \"500ms\"\ndeadline = \"60s\"\n";
    let mut text = format!("[[service]]\nname = \"{name}\"\n{class}");
    for path in paths {
        text += &format!("[[service.route]]\nhost = \"{name}.example.org\"\npath = \"{path}\"\n");
    }
    text + servers
}

fn listed(name: &str, address: SocketAddr) -> String {
    format!("[[service.server]]\nname = \"{name}\"\naddress = \"{address}\"\n")
}

async fn good(name: &str) -> Server {
    Server::start(
        name,
        64,
        ServerBehavior::healthy(Duration::from_millis(1)),
        1,
    )
    .await
    .unwrap()
}

async fn start(settings: &str) -> Node {
    let node = Node::start(&program(), settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    node
}

async fn get(client: &Client, host: &str, path: &str, id: &str) -> ClientResponse {
    let request = Request::get(path)
        .header("host", host)
        .header("x-correlation-id", id);
    let request = request.body(Full::new(Bytes::new())).unwrap();
    soon("an answer", client.send(request))
        .await
        .expect("an answer")
}

/// Makes a FIFO beside the settings file.
fn fifo(file: &Path, name: &str) -> PathBuf {
    let path = file.with_file_name(name);
    assert!(std::process::Command::new("mkfifo")
        .arg(&path)
        .status()
        .unwrap()
        .success());
    path
}

/// A reading of the settings file that goes on until it is told what there is to read.
struct Reading {
    file: PathBuf,
    pipe: File,
}

impl Reading {
    /// Has the node read its file anew.
    async fn begin(node: &Node) -> Reading {
        let file = node.settings_file();
        std::fs::rename(fifo(&file, "first"), &file).unwrap();
        node.signal("HUP").unwrap();
        Reading::of(file).await
    }

    async fn of(file: PathBuf) -> Reading {
        let path = file.clone();
        let pipe = aside("the node reads its file", move || {
            OpenOptions::new().write(true).open(path)
        })
        .await;
        Reading {
            file,
            pipe: pipe.unwrap(),
        }
    }

    /// The node has read this, and reads again to see whether it is all: that reading is held up too.
    async fn again(self, settings: &str) -> Reading {
        let file = self.file.clone();
        std::fs::rename(fifo(&file, "second"), &file).unwrap();
        self.write(settings).await;
        Reading::of(file).await
    }

    /// The node reads this, and finds `next` in the file from here on.
    async fn end(self, settings: &str, next: &str) {
        let new = self.file.with_file_name("next");
        std::fs::write(&new, next).unwrap();
        std::fs::rename(&new, &self.file).unwrap();
        self.write(settings).await;
    }

    async fn write(mut self, settings: &str) {
        let settings = settings.to_owned();
        aside("the node reads on", move || {
            self.pipe.write_all(settings.as_bytes())
        })
        .await
        .unwrap();
    }
}

/// A client that asks again as soon as it has its answer, all of which have to be 200.
struct Asking {
    answered: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Asking {
    fn begin(node: SocketAddr, host: &str, path: &str, name: &str) -> Asking {
        let (answered, stop) = (
            Arc::new(AtomicUsize::new(0)),
            Arc::new(AtomicBool::new(false)),
        );
        let (count, stopped) = (answered.clone(), stop.clone());
        let (host, path, name) = (host.to_owned(), path.to_owned(), name.to_owned());
        let task = tokio::spawn(async move {
            let client = Client::new(node);
            while !stopped.load(Ordering::SeqCst) {
                let id = format!("{name}-{}", count.load(Ordering::SeqCst));
                let got = get(&client, &host, &path, &id).await;
                assert_eq!((got.status.as_u16(), got.body), (200, Bytes::from(id)));
                count.fetch_add(1, Ordering::SeqCst);
            }
        });
        Asking {
            answered,
            stop,
            task,
        }
    }

    fn answered(&self) -> usize {
        self.answered.load(Ordering::SeqCst)
    }

    /// Waits for so many further answers.
    async fn further(&self, n: usize) {
        let until = self.answered() + n;
        let wait = async {
            while self.answered() < until && !self.task.is_finished() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        soon("further answers", wait).await;
    }

    async fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.task.await.expect("a request was not answered 200");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_answered_while_the_file_is_read() {
    let server = good("s").await;
    let with =
        |paths: &[&str]| HEAD.to_owned() + &service("a", paths, &listed("s", server.address));
    let mut node = start(&with(&["/old"])).await;
    let client = Client::new(node.address());
    let new = with(&["/old", "/new"]);
    let reading = Reading::begin(&node).await;
    for n in 0..100 {
        assert_eq!(
            get(&client, "a.example.org", "/old", &format!("first-{n}"))
                .await
                .status,
            200
        );
    }
    let reading = reading.again(&new).await;
    for n in 0..100 {
        assert_eq!(
            get(&client, "a.example.org", "/old", &format!("second-{n}"))
                .await
                .status,
            200
        );
        assert_eq!(
            get(&client, "a.example.org", "/new", &format!("new-{n}"))
                .await
                .status,
            404
        );
    }
    reading.end(&new, &new).await;
    node.wait_for_log("is in force").await.unwrap();
    assert_eq!(
        get(&client, "a.example.org", "/new", "last").await.status,
        200
    );
}

/// A file that takes the program of a test some time to check.
const LARGE: FileSize = FileSize {
    services: 130,
    servers: 2500,
    routes: 3700,
    listed: 5600,
};
/// Requests that are answered in that time at least, one after the other; while the serving thread checks, none are.
const MEANWHILE: usize = 10;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_answered_while_a_large_file_is_checked() {
    let server = good("s").await;
    let loaded = [listed("s", server.address)];
    let mut node = Node::start(&program(), &settings::text(&LARGE, &loaded, 0))
        .await
        .unwrap();
    node.wait_for_health("/_health/service-0", true)
        .await
        .unwrap();
    let asking = Asking::begin(
        node.address(),
        &settings::host(0),
        settings::LOADED_PATH,
        "meanwhile",
    );
    for revision in 1..=2 {
        asking.further(1).await;
        let new = settings::text(&LARGE, &loaded, revision);
        let reading = Reading::begin(&node).await.again(&new).await;
        reading.end(&new, &new).await;
        // All of the file has been read: what is left to be done is to check it, and to put it in force.
        let before = asking.answered();
        node.wait_for_log("is in force").await.unwrap();
        let answered = asking.answered() - before;
        assert!(
            answered >= MEANWHILE,
            "{answered} requests were answered while the file was checked"
        );
    }
    asking.end().await;
    let client = Client::new(node.address());
    let host = settings::host((LARGE.routes - 1) % LARGE.services);
    let status = |path: &'static str| {
        let (client, host) = (&client, &host);
        async move { get(client, host, path, path).await.status.as_u16() }
    };
    assert_eq!(status("/revision/1").await, 404);
    // There are no servers behind it, but a route.
    assert_ne!(status("/revision/2").await, 404);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn signals_during_a_reading_are_one_more_reading_and_the_last_file_holds() {
    let server = good("s").await;
    let with = |path: &str| HEAD.to_owned() + &service("a", &[path], &listed("s", server.address));
    let mut node = start(&with("/n0")).await;
    let client = Client::new(node.address());
    let reading = Reading::begin(&node).await.again(&with("/n1")).await;
    for _ in 0..5 {
        node.signal("HUP").unwrap();
    }
    // An answer that is asked for after the signals tells that the node has taken them.
    assert_eq!(
        get(&client, "a.example.org", "/n0", "before").await.status,
        200
    );
    reading.end(&with("/n1"), &with("/n2")).await;
    node.wait_for_log("is in force").await.unwrap();
    node.wait_for_log("is in force").await.unwrap();
    assert_eq!(
        get(&client, "a.example.org", "/n2", "after").await.status,
        200
    );
    assert_eq!(
        get(&client, "a.example.org", "/n1", "gone").await.status,
        404
    );
    // A third reading would be told of before the end of this one.
    let reading = Reading::begin(&node).await;
    reading.end(&with("/n3"), &with("/n3")).await;
    node.wait_for_log("is in force").await.unwrap();
    assert_eq!(
        get(&client, "a.example.org", "/n3", "last").await.status,
        200
    );
    node.signal("TERM").unwrap();
    assert!(node.wait_for_exit().await.unwrap());
    while let Some(line) = node.next_log_line().await {
        assert!(
            !line.contains("is in force"),
            "one reading too many: {line}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wrong_file_changes_nothing_and_loses_nothing() {
    let server = good("s").await;
    let right = HEAD.to_owned() + &service("a", &["/api"], &listed("s", server.address));
    let mut node = start(&right).await;
    let asking = Asking::begin(node.address(), "a.example.org", "/api", "loaded");
    let with_route = right.clone() + "[[service.route]]\nhost = \"wrong.example.org\"\n";
    let wrong = [
        // Not TOML, a mistake in a value, a mistake that the check finds, a listener that can't be had.
        format!("{with_route}]"),
        with_route.replace("\"60s\"", "60"),
        with_route.replace("\"500ms\"", "\"500s\""),
        format!(
            "{with_route}[[listener]]\nname = \"other\"\naddress = \"{}\"\n",
            node.address()
        ),
    ];
    let client = Client::new(node.address());
    for (n, wrong) in wrong.iter().enumerate() {
        asking.further(5).await;
        let reading = Reading::begin(&node).await;
        asking.further(5).await;
        reading.end(wrong, wrong).await;
        node.wait_for_log("services.toml:").await.unwrap();
        node.wait_for_log("reload failed, the old settings stay in force")
            .await
            .unwrap();
        let got = get(&client, "wrong.example.org", "/", &format!("wrong-{n}")).await;
        assert_eq!(got.status, 404, "a wrong file is in force: {wrong}");
        asking.further(5).await;
    }
    // The file that holds stays what the next one is compared with.
    node.reload(&with_route).await.unwrap();
    assert_eq!(
        get(&client, "wrong.example.org", "/", "right").await.status,
        200
    );
    asking.end().await;
}

/// A request that its server holds; its answer, once that comes.
async fn held_request(node: &Node, server: &Server) -> JoinHandle<ClientResponse> {
    server.update_behavior(|manner| manner.is_frozen = true);
    let (address, seen) = (node.address(), server.requests_received());
    let asking =
        tokio::spawn(
            async move { get(&Client::new(address), "a.example.org", "/api", "held").await },
        );
    let arrives = async {
        while server.requests_received() == seen {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    soon("the request at its server", arrives).await;
    asking
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_is_to_end_waits_for_its_requests_and_not_for_a_reading() {
    let server = good("s").await;
    let settings = HEAD.to_owned() + &service("a", &["/api"], &listed("s", server.address));
    let mut node = start(&settings).await;
    let held = held_request(&node, &server).await;
    let _reading = Reading::begin(&node).await;
    node.signal("TERM").unwrap();
    server.update_behavior(|manner| manner.is_frozen = false);
    assert_eq!(soon("the answer", held).await.unwrap().status, 200);
    assert!(node.wait_for_exit().await.unwrap());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_file_that_is_read_while_the_node_ends_is_not_put_in_force() {
    let server = good("s").await;
    let settings = HEAD.to_owned() + &service("a", &["/api"], &listed("s", server.address));
    let mut node = start(&settings).await;
    let held = held_request(&node, &server).await;
    let reading = Reading::begin(&node).await;
    node.signal("TERM").unwrap();
    let address = node.address();
    let closed = async {
        while tokio::net::TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    soon("the listener's end", closed).await;
    let other = settings.replace("name = \"client\"", "name = \"other\"");
    reading.end(&other, &other).await;
    node.wait_for_log("is not taken in: the node is ending")
        .await
        .unwrap();
    server.update_behavior(|manner| manner.is_frozen = false);
    assert_eq!(soon("the answer", held).await.unwrap().status, 200);
    assert!(node.wait_for_exit().await.unwrap());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_that_did_not_change_keeps_its_connections() {
    // Each connection has an address of its own at the client's end.
    let peers: Arc<Mutex<HashSet<SocketAddr>>> = Arc::default();
    let seen = peers.clone();
    let server = scripted::Server::start(move |request, _, stream| {
        seen.lock().unwrap().insert(stream.peer_addr().unwrap());
        let _ = stream.write_all(&scripted::ok_response(request));
    });
    let other = good("other").await;
    let kept = service("kept", &["/api"], &listed("s", server.address));
    let with = |paths: &[&str], more: &str| {
        let changed = service("changed", paths, &listed("other", other.address));
        // What did not change moves in the file.
        HEAD.to_owned() + &changed.replacen("name", &format!("{more}name"), 1) + &kept
    };
    let mut node = start(&with(&["/api"], "")).await;
    let client = Client::new(node.address());
    for (n, (paths, more)) in [
        (vec!["/api", "/more"], ""),
        (vec!["/other"], "limits = { open = 40 }\n"),
        (vec!["/other"], "tries = { most = 2 }\n"),
        (vec!["/api"], "state = \"draining\"\n"),
    ]
    .into_iter()
    .enumerate()
    {
        for m in 0..5 {
            let got = get(
                &client,
                "kept.example.org",
                "/api",
                &format!("kept-{n}-{m}"),
            )
            .await;
            assert_eq!(got.status, 200);
        }
        node.reload(&with(&paths, more)).await.unwrap();
    }
    assert_eq!(
        get(&client, "kept.example.org", "/api", "kept-last")
            .await
            .status,
        200
    );
    assert_eq!(
        peers.lock().unwrap().len(),
        1,
        "a pool was made anew that had not changed"
    );
}

/// It fails if one host is routed by the old file for 5 ms longer than the other. A mixture that lasts for one turn of the
/// node's event loop is shorter than a request and its answer, and no client that asks in sequence can tell it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_sees_half_of_a_change() {
    let named = |name: &'static str| {
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{name}",
            name.len()
        );
        scripted::Server::start(move |_, _, stream| {
            let _ = stream.write_all(answer.as_bytes());
        })
    };
    let (one, two) = (named("1"), named("2"));
    // Two hosts and the services behind them, which every reload swaps.
    let service = |name: &str, host: &str, server: &scripted::Server| {
        service(name, &["/"], &listed(name, server.address)).replace(
            &format!("{name}.example.org"),
            &format!("{host}.example.org"),
        )
    };
    let files = [
        HEAD.to_owned() + &service("one", "a", &one) + &service("two", "b", &two),
        HEAD.to_owned() + &service("one", "b", &one) + &service("two", "a", &two),
    ];
    let mut node = start(&files[0]).await;
    let address = node.address();
    let swaps = Arc::new(AtomicUsize::new(0));
    let (stop, seen) = (Arc::new(AtomicBool::new(false)), swaps.clone());
    let stopped = stop.clone();
    let asking = tokio::spawn(async move {
        let client = Client::new(address);
        let mut swapped = false;
        for n in 0.. {
            if stopped.load(Ordering::SeqCst) {
                break;
            }
            // Both hosts in turn: one that answers by the new file tells that the other does too.
            let host = ["a", "b"][n % 2];
            let got = get(
                &client,
                &format!("{host}.example.org"),
                "/",
                &format!("swap-{n}"),
            )
            .await;
            assert_eq!(got.status, 200);
            let now = (host == "a") != (got.body == "1");
            if now != swapped {
                seen.fetch_add(1, Ordering::SeqCst);
                swapped = now;
            }
        }
    });
    const RELOADS: usize = 20;
    for n in 1..=RELOADS {
        node.reload(&files[n % 2]).await.unwrap();
        let sees = async {
            while swaps.load(Ordering::SeqCst) < n && !asking.is_finished() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        soon("an answer by the new file", sees).await;
    }
    stop.store(true, Ordering::SeqCst);
    asking.await.unwrap();
    // A mixture would have been seen as a change forth and one back.
    assert_eq!(swaps.load(Ordering::SeqCst), RELOADS);
}
