//! Compares the answers of a node to operators, and its own answers to clients, with a golden file that was recorded at
//! commit c58caac: status, headers and body. Numbers in bodies differ between runs; each is replaced by `#`.

use reelfall_testbed::node::Folder;
use reelfall_testbed::scripted::{connect, Program, WAIT_TIMEOUT};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Stdio};
use std::time::Instant;

const GOLDEN: &str = include_str!("golden/answers.txt");

/// Management requests, in the order in which they are sent.
const MANAGEMENT: [(&str, &str); 28] = [
    ("GET", "/-/ready"),
    ("HEAD", "/-/ready"),
    ("POST", "/-/ready"),
    ("GET", "/-/nothing"),
    ("GET", "/"),
    ("POST", "/-/servers/flag-1/disable"),
    ("POST", "/-/servers/flag-1/disable"),
    ("POST", "/-/servers/unknown/disable"),
    ("POST", "/-/servers/unknown/enable"),
    ("POST", "/-/servers/%zz/disable"),
    ("POST", "/-/servers/flag-1/enable"),
    ("POST", "/-/servers/flag-1/enable"),
    ("GET", "/-/servers/flag-1/enable"),
    ("GET", "/-/fleet/members"),
    ("GET", "/-/fleet/verdicts"),
    ("GET", "/-/fleet/servers/flag-1"),
    ("GET", "/-/fleet/servers/unknown"),
    ("POST", "/-/fleet/servers/flag-1/ban?for=90&by=ada"),
    ("POST", "/-/fleet/servers/flag-1/ban?for=x&by=ada"),
    ("GET", "/-/fleet/verdicts"),
    ("GET", "/-/fleet/servers/flag-1"),
    ("POST", "/-/fleet/servers/flag-1/lift?by=ada"),
    ("GET", "/-/fleet/verdicts"),
    ("GET", "/-/fleet/leases"),
    ("POST", "/-/fleet/leases/rollup/release?why=a%20change"),
    ("POST", "/-/fleet/leases/rollup/release?reason=change"),
    ("POST", "/-/drain"),
    ("POST", "/-/resume"),
];

/// Requests of clients that the node answers without a server, each sent on its own connection.
const CLIENTS: [&str; 16] = [
    "GET /_health HTTP/1.1\r\nhost: flags.example.org\r\nconnection: close\r\n\r\n",
    "GET /_health/evaluate HTTP/1.1\r\nhost: flags.example.org\r\nconnection: close\r\n\r\n",
    "GET /_health/unknown HTTP/1.1\r\nhost: flags.example.org\r\nconnection: close\r\n\r\n",
    "GET /elsewhere HTTP/1.1\r\nhost: flags.example.org\r\nconnection: close\r\n\r\n",
    "GET /api HTTP/1.1\r\nhost: other.example.org\r\nconnection: close\r\n\r\n",
    "GET /api HTTP/1.1\r\nconnection: close\r\n\r\n",
    "GET /api HTTP/1.1\r\nhost: a\r\nhost: b\r\nconnection: close\r\n\r\n",
    "GET /api/../b HTTP/1.1\r\nhost: flags.example.org\r\nconnection: close\r\n\r\n",
    "GET /api%2 HTTP/1.1\r\nhost: flags.example.org\r\nconnection: close\r\n\r\n",
    "GET /api%2fb HTTP/1.1\r\nhost: flags.example.org\r\nconnection: close\r\n\r\n",
    "GET /api HTTP/1.1\r\nhost: flags.example.org\r\nx-time-left: soon\r\nconnection: close\r\n\r\n",
    "GET /api HTTP/1.1\r\nhost: flags.example.org\r\nx-time-left: 0\r\nconnection: close\r\n\r\n",
    "BREW /api HTTP/1.1\r\nhost: flags.example.org\r\nconnection: close\r\n\r\n",
    "POST /api HTTP/1.1\r\nhost: flags.example.org\r\ncontent-length: x\r\n\r\n",
    "POST /api HTTP/1.1\r\nhost: flags.example.org\r\ncontent-length: 99999999999\r\n\r\n",
    "GET /api HTTP/9.9\r\n\r\n",
];

/// A node that is killed when this is dropped.
struct Node {
    process: Child,
    management: SocketAddr,
    public: SocketAddr,
}

impl Node {
    /// Starts a node with a settings file, and waits until it is ready and its lease keeper votes.
    fn start(folder: &Folder, file: &Path) -> Node {
        let program = Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"));
        let mut command = program.command();
        command.arg("run").arg("--config").arg(file);
        command.env("TMPDIR", folder.path()).stdout(Stdio::piped());
        let mut process = command.spawn().unwrap();
        let mut line = String::new();
        let stdout = process.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let addresses: serde_json::Value = serde_json::from_str(&line).unwrap();
        let address = |value: &serde_json::Value| value.as_str().unwrap().parse().unwrap();
        let node = Node {
            process,
            management: address(&addresses["management"]),
            public: address(&addresses["listening"]["public"]),
        };
        let started = Instant::now();
        while !node.is_up() {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the node did not become ready in time"
            );
        }
        node
    }

    fn is_up(&self) -> bool {
        self.manage("GET", "/-/ready").starts_with("HTTP/1.1 200")
            && self
                .manage("GET", "/-/fleet/leases")
                .contains("this keeper votes")
    }

    /// The answer to a management request.
    fn manage(&self, method: &str, path: &str) -> String {
        let close = "host: n\r\nconnection: close\r\n\r\n";
        read_to_end(
            self.management,
            &format!("{method} {path} HTTP/1.1\r\n{close}"),
        )
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn settings(key: &str, folder: &str, server: SocketAddr) -> String {
    format!(
        "[process]\nnodes = 1\n\n[management]\naddress = \"127.0.0.1:0\"\n\n\
         [fleet]\nname = \"lagos-flags\"\nnode = \"n1\"\nlisten = \"127.0.0.1:0\"\nkey_file = \"{key}\"\nseeds = []\n\n\
         [fleet.leases]\nkeepers = [\"n1\"]\nfolder = \"{folder}\"\n\n\
         [[listener]]\nname = \"public\"\naddress = \"127.0.0.1:0\"\n\n\
         [[service]]\nname = \"evaluate\"\n\n[[service.class]]\nname = \"evaluate\"\nrepeat = \"safe\"\naim = \"150ms\"\n\
         deadline = \"600ms\"\n\n[[service.route]]\nhost = \"flags.example.org\"\npath = \"/api\"\n\n\
         [[service.server]]\nname = \"flag-1\"\naddress = \"{server}\"\n"
    )
}

/// Sends a request on a new connection, and returns everything that is received until it ends.
fn read_to_end(to: SocketAddr, request: &str) -> String {
    let mut stream = connect(to);
    stream.write_all(request.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    // A reset after the answer counts as the end.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8(bytes).unwrap()
}

/// The text with each number replaced by `#`.
fn without_numbers(text: &str) -> String {
    let mut masked = String::new();
    let mut rest = text.chars().peekable();
    while let Some(c) = rest.next() {
        let is_point = c == '.' && rest.peek().is_some_and(char::is_ascii_digit);
        let follows_number = masked.ends_with('#');
        match c {
            '0'..='9' if follows_number => {}
            '0'..='9' => masked.push('#'),
            '.' if is_point && follows_number => {}
            other => masked.push(other),
        }
    }
    masked
}

/// An answer without the values that differ between runs: its date, the numbers in its body and the length of
/// a body of more than one byte.
fn comparable(answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let is_left_out = |line: &&str| {
        line.starts_with("date:") || (line.starts_with("content-length:") && body.len() > 1)
    };
    let head: Vec<&str> = head
        .split("\r\n")
        .filter(|line| !is_left_out(line))
        .collect();
    format!("{}\n\n{}\n", head.join("\n"), without_numbers(body))
}

#[test]
fn answers_to_operators_and_clients_match_golden_file() {
    let folder = Folder::new().unwrap();
    let key = folder.path().join("fleet.key");
    std::fs::write(&key, "a key of sixteen bytes or more").unwrap();
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let file = folder.path().join("settings.toml");
    let (key, leases) = (key.display().to_string(), folder.path().join("leases"));
    let leases = leases.display().to_string();
    let text = settings(&key, &leases, server.local_addr().unwrap());
    std::fs::write(&file, text).unwrap();
    let node = Node::start(&folder, &file);
    let mut answers = String::new();
    for (method, path) in MANAGEMENT {
        answers += &format!(
            "== {method} {path}\n{}",
            comparable(&node.manage(method, path))
        );
    }
    for request in CLIENTS {
        answers += &format!(
            "== {request:?}\n{}",
            comparable(&read_to_end(node.public, request))
        );
    }
    assert_eq!(answers, GOLDEN);
}
