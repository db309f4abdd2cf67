//! Nodes that end, drain, are upgraded, or get another list of servers while a server writes a long answer.

use crate::nodes::{program, start_node};
use crate::{Request, TIME_LEFT};
use reelfall_testbed::scripted::{call_management, ListedServer};
use reelfall_testbed::slow_answers::{Class, End, Ending, Framing, Reception, Script, Servers};
use reelfall_testbed::test_node::{NodeKind, NodeProcess, TestNode};
use std::time::{Duration, Instant};

/// The most of the longest deadline that counts for the time until SIGKILL.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// SIGKILL follows this long after the counted deadline at the earliest.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// When the event comes, after the request: before its client's time is up, and while the answer is passed on.
const EVENT_TIMES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(1600)];

/// An answer that takes longer than a process may live after SIGTERM if it is killed as early as possible.
fn long_script() -> Script {
    Script {
        framing: Framing::Chunked,
        first_pause: Duration::ZERO,
        pause: Duration::from_millis(900),
        parts: vec![20_000; 9],
        ending: Ending::Whole,
    }
}

fn check_whole(test: &str, reception: &Reception) {
    assert!(
        reception.status == Some(200)
            && reception.end == End::Whole
            && reception.bytes() == long_script().length()
            && reception.is_unchanged,
        "{test}: {reception:?}"
    );
}

/// Checks that a long answer of a node comes whole though this happens to the node in the middle of it.
fn check_answer_during(kind: NodeKind, event: impl Fn(&mut TestNode, &Servers) + Sync) {
    std::thread::scope(|scope| {
        for time in EVENT_TIMES {
            let event = &event;
            scope.spawn(move || {
                let servers = Servers::start();
                let mut node = start_node(kind, &servers);
                servers.plan("long", long_script());
                let request = Request::start(node.address, Class::Unsafe, "long", TIME_LEFT);
                let receiver = std::thread::spawn(move || request.receive());
                std::thread::sleep(time);
                event(&mut node, &servers);
                check_whole(&format!("{kind:?} {time:?}"), &receiver.join().unwrap());
            });
        }
    });
}

/// Guards against: a process that was told to end cut off a sound answer before it was killed.
#[test]
fn long_answer_is_not_cut_off_by_a_process_that_ends() {
    for kind in NodeKind::ALL {
        check_answer_during(kind, |node, _| node.signal("TERM"));
    }
}

#[test]
fn process_that_was_told_to_end_does_so_after_its_last_answer() {
    let servers = Servers::start();
    let mut node = start_node(NodeKind::Platform, &servers);
    servers.plan("long", long_script());
    let request = Request::start(node.address, Class::Unsafe, "long", TIME_LEFT);
    std::thread::sleep(EVENT_TIMES[1]);
    node.signal("TERM");
    check_whole("TERM", &request.receive());
    let NodeProcess::Platform { node: process, .. } = &mut node.process else {
        panic!("a node of the platform");
    };
    assert!(process.wait());
}

#[test]
fn long_answer_is_not_cut_off_by_an_upgrade() {
    let successors = std::sync::Mutex::new(Vec::new());
    check_answer_during(NodeKind::Platform, |node, _| {
        let NodeProcess::Platform { node: process, .. } = &node.process else {
            panic!("a node of the platform");
        };
        let successor = process.start_successor(&program());
        successors.lock().unwrap().push(successor);
        node.signal("TERM");
    });
}

#[test]
fn long_answer_is_not_cut_off_by_a_drain_of_the_node() {
    check_answer_during(NodeKind::Platform, |node, _| {
        let NodeProcess::Platform { node: process, .. } = &node.process else {
            panic!("a node of the platform");
        };
        assert_eq!(call_management(process.management, "POST", "/-/drain"), 200);
    });
}

#[test]
fn long_answer_is_not_cut_off_when_its_server_is_banned() {
    check_answer_during(NodeKind::Platform, |node, servers| {
        let NodeProcess::Platform { node: process, .. } = &node.process else {
            panic!("a node of the platform");
        };
        for number in 0..servers.addresses.len() {
            let path = format!("/-/servers/s-{number}/disable");
            assert_eq!(call_management(process.management, "POST", &path), 200);
        }
    });
}

#[test]
fn long_answer_is_not_cut_off_when_its_server_leaves_the_list() {
    for status in ["leaving", "left"] {
        check_answer_during(NodeKind::Platform, |node, servers| {
            let NodeProcess::Platform { discovery, .. } = &node.process else {
                panic!("a node of the platform");
            };
            let names: Vec<String> = (0..servers.addresses.len())
                .map(|number| format!("s-{number}"))
                .collect();
            let listed: Vec<ListedServer> = names
                .iter()
                .zip(&servers.addresses)
                .map(|(name, address)| ListedServer::new(name, *address, status))
                .collect();
            discovery.send_delta(2, &listed);
        });
    }
}

#[test]
fn long_answer_is_not_cut_off_by_reloads() {
    check_answer_during(NodeKind::SettingsFile, |node, servers| {
        let NodeProcess::SettingsFile {
            node: process,
            runtime,
        } = &mut node.process
        else {
            panic!("a node with a settings file");
        };
        // The first reload replaces the pools, the second one removes the servers.
        let replaced = crate::nodes::settings(&servers.addresses).replace("500ms", "400ms");
        let others = crate::nodes::settings(&Servers::start().addresses);
        for text in [replaced, others] {
            runtime.block_on(process.reload(&text)).unwrap();
        }
    });
}

/// Guards against: a process whose requests have a longer deadline than counts for the time until SIGKILL was killed before it
/// had answered them.
#[test]
fn requests_are_answered_before_a_process_with_long_deadlines_can_be_killed() {
    const TIME_LEFT: Duration = Duration::from_secs(5);
    for kind in NodeKind::ALL {
        let servers = Servers::start();
        let node = start_node(kind, &servers);
        let script = Script {
            framing: Framing::Announced,
            first_pause: Duration::from_secs(20),
            ..long_script()
        };
        servers.plan("hangs", script);
        let request = Request::start(node.address, Class::Unsafe, "hangs", TIME_LEFT);
        while servers.attempts("hangs") == 0 {
            std::thread::yield_now();
        }
        node.signal("TERM");
        let signaled_at = Instant::now();
        let reception = request.receive();
        let waited = reception.ended_at - signaled_at;
        assert!(
            reception.status.is_some() && waited < MAX_COUNTED_DEADLINE + KILL_AFTER_DEADLINE,
            "{kind:?}: {waited:?}, {reception:?}"
        );
    }
}
