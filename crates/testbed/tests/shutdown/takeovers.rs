//! SIGTERM to a process that takes over, or to one that is taken over from.

use crate::fixtures::program;
use reelfall_testbed::scripted::{Discovery, Node, Server};
use std::net::TcpStream;
use std::os::unix::net::UnixListener;
use std::time::Duration;

const MAX_SOCKETS: usize = 256;
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

struct Fixture {
    node: Node,
    discovery: Discovery,
}

impl Fixture {
    fn start(server: &Server) -> Fixture {
        let discovery = Discovery::listing(&[server.address]);
        let node = Node::start(&program(), discovery.address, MAX_SOCKETS);
        Fixture { node, discovery }
    }
}

/// Guards against a process that is told to end while it waits for its predecessor, and only then begins to serve: the clock
/// of its shutdown started when it had started.
#[test]
fn starting_process_ends_without_serving() {
    let server = Server::healthy();
    let Fixture {
        mut node,
        discovery: _discovery,
    } = Fixture::start(&server);
    node.kill();
    // Stands for a predecessor that is held up.
    let handover_socket = node.folder().join("reelfall-n0.takeover");
    std::fs::remove_file(&handover_socket).unwrap();
    let predecessor = UnixListener::bind(&handover_socket).unwrap();
    let mut starting = node.spawn_successor(&program());
    let (_exchange, _) = predecessor.accept().unwrap();
    starting.signal("TERM");
    while starting.is_running() {
        assert!(
            TcpStream::connect(starting.management).is_err(),
            "the process serves although it was told to end"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
    assert!(starting.wait());
}
