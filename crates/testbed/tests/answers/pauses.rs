//! Long answers whose servers pause while they write them.

use crate::nodes::start_node;
use crate::{send, Request};
use reelfall_testbed::slow_answers::{Class, End, Ending, Framing, Reception, Script, Servers};
use reelfall_testbed::test_node::NodeKind;
use std::net::SocketAddr;
use std::time::Duration;

/// The sizes of the parts of long answers, in bytes: far more than 64 KiB together, of which the first bytes alone are timed.
const LONG_PARTS: [[usize; 5]; 2] = [
    [9_000, 60_000, 24_000, 30_000, 40_000],
    [500, 58_000, 30_000, 9_000, 50_000],
];
/// The pauses between them.
const PAUSES: [Duration; 3] = [
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_millis(1500),
];
/// The rest of a long answer may be held back for less than this.
const MAX_HOLD: Duration = Duration::from_secs(2);
/// How often a request is sent again that was refused before any server had received it.
const MAX_REFUSALS: usize = 100;

/// Whether the node can tell its class from others of the test.
fn is_class_known(kind: NodeKind, class: Class) -> bool {
    kind == NodeKind::Platform || class != Class::Keyed
}

/// The answers of one test: with the first part at once, and only after the first pause.
fn scripts(framings: &[Framing], pause: Duration) -> Vec<Script> {
    let mut scripts = Vec::new();
    for framing in framings {
        for parts in LONG_PARTS {
            for first_pause in [Duration::ZERO, pause] {
                scripts.push(Script {
                    framing: *framing,
                    first_pause,
                    pause,
                    parts: parts.to_vec(),
                    ending: Ending::Whole,
                });
            }
        }
    }
    scripts
}

/// Sends a request until it has reached a server; returns its id and its answer.
fn send_until_received(
    node: SocketAddr,
    servers: &Servers,
    class: Class,
    name: &str,
    script: &Script,
) -> (String, Reception) {
    for number in 0..MAX_REFUSALS {
        let id = format!("{name}-{number}");
        servers.plan(&id, script.clone());
        let reception = send(node, class, &id);
        if !reception.is_refused() || servers.attempts(&id) > 0 {
            return (id, reception);
        }
    }
    panic!("{name} is refused each time");
}

/// Checks that a long answer came whole, with its first bytes in time, and that nothing of it was held back.
fn check_long_answer(servers: &Servers, id: &str, reception: &Reception, script: &Script) {
    assert!(
        reception.status == Some(200) && reception.is_head_in_time(),
        "{id}: {reception:?}"
    );
    assert!(
        reception.end == End::Whole
            && reception.bytes() == script.length()
            && reception.is_unchanged,
        "{id}: {reception:?}"
    );
    for written in servers.written(id) {
        let received = reception.bytes_at(written.at + MAX_HOLD);
        assert!(received >= written.bytes, "{id}: held back, {reception:?}");
    }
}

fn check_long_answers(framings: &[Framing], class: Class, pause: Duration) {
    for kind in NodeKind::ALL {
        if !is_class_known(kind, class) {
            continue;
        }
        let servers = Servers::start();
        let node = start_node(kind, &servers);
        std::thread::scope(|scope| {
            for (number, script) in scripts(framings, pause).into_iter().enumerate() {
                let (servers, address) = (&servers, node.address);
                scope.spawn(move || {
                    let name = format!("{kind:?}-{class:?}-{}-{number}", pause.as_millis());
                    let (id, reception) =
                        send_until_received(address, servers, class, &name, &script);
                    check_long_answer(servers, &id, &reception, &script);
                });
            }
        });
    }
}

/// Runs a check with each length of the pauses at the same time.
fn for_each_pause(check: impl Fn(Duration) + Sync) {
    std::thread::scope(|scope| {
        for pause in PAUSES {
            let check = &check;
            scope.spawn(move || check(pause));
        }
    });
}

/// Guards against: a long answer of unknown length was cut off at its client's time, as its server had just paused or had not
/// written much.
#[test]
fn long_answer_of_unknown_length_is_not_cut_off_while_its_server_pauses() {
    for_each_pause(|pause| {
        check_long_answers(&Framing::UNKNOWN_LENGTH, Class::Unsafe, pause);
    });
}

/// Guards against: a long answer to a request that may be repeated was given up for another attempt, over and over.
#[test]
fn long_answer_to_a_repeatable_request_is_not_cut_off_while_its_server_pauses() {
    for class in [Class::Safe, Class::Keyed] {
        for_each_pause(|pause| check_long_answers(&[Framing::Chunked], class, pause));
    }
}

/// Guards against: a long answer with a length was cut off as no byte of its body had come in the client's time.
#[test]
fn long_answer_with_a_length_is_not_cut_off_while_its_server_pauses() {
    for_each_pause(|pause| check_long_answers(&[Framing::Announced], Class::Unsafe, pause));
}

/// Guards against: the first parts of a long answer were held back until its client's time.
#[test]
fn long_answer_is_not_held_back_though_its_client_has_time() {
    const TIME_LEFT: Duration = Duration::from_secs(5);
    let servers = Servers::start();
    let node = start_node(NodeKind::Platform, &servers);
    let script = Script {
        framing: Framing::Chunked,
        first_pause: Duration::ZERO,
        pause: Duration::from_millis(900),
        parts: vec![9_000, 9_000, 9_000, 9_000, 9_000, 60_000],
        ending: Ending::Whole,
    };
    servers.plan("held", script.clone());
    let request = Request::start(node.address, Class::Unsafe, "held", TIME_LEFT);
    check_long_answer(&servers, "held", &request.receive(), &script);
}
