//! Clients that leave behind requests that were not read.

use crate::servers;
use crate::start_node;
use reelfall_testbed::scripted::{connect, read_request};
use std::io::Write;
use std::time::{Duration, Instant};

/// An attempt that begins later than this after its client has left is wrong.
const GRACE: Duration = Duration::from_millis(100);
const SERVER_TIME: Duration = Duration::from_millis(300);
/// How much a client leaves behind, in bytes.
const UNREAD_BYTES: [usize; 4] = [2_000, 14_000, 60_000, 1_000_000];

/// Guards against requests that are sent for a client that has left, since its end lies behind input that was not read.
#[test]
fn nothing_is_sent_for_a_client_that_left_behind_unread_requests() {
    let servers = servers::start(|_| SERVER_TIME);
    let (_discovery, node) = start_node(&servers.addresses);
    for unread_bytes in UNREAD_BYTES {
        let mut stream = connect(node.address);
        let first = format!("first-{unread_bytes}");
        let mut text = read_request(&first);
        for number in 0.. {
            text += &read_request(&format!("r-{unread_bytes}-{number}"));
            if text.len() > unread_bytes {
                break;
            }
        }
        stream.write_all(text.as_bytes()).unwrap();
        servers.runs.wait_for(&first);
        drop(stream);
        let left_at = Instant::now();
        std::thread::sleep(SERVER_TIME + 3 * GRACE);
        let late = servers
            .runs
            .all()
            .into_iter()
            .filter(|started| *started > left_at + GRACE);
        assert_eq!(late.count(), 0, "{unread_bytes} bytes were left behind");
    }
}

/// A server rejects a request after this time, so that the node makes further attempts.
const REJECTION_TIME: Duration = Duration::from_millis(60);
/// How long the client writes before it leaves.
const WRITE_TIME: Duration = Duration::from_millis(40);

/// Guards against further attempts for a client whose end lies behind more than the node reads at once.
#[test]
fn no_further_attempt_is_made_for_a_client_that_left_behind_all_that_its_buffers_hold() {
    let servers = servers::start_rejecting(REJECTION_TIME);
    let (_discovery, node) = start_node(&servers.addresses);
    for number in 0..5 {
        let first = format!("first-{number}");
        let mut stream = connect(node.address);
        stream.write_all(read_request(&first).as_bytes()).unwrap();
        servers.runs.wait_for(&first);
        stream.set_write_timeout(Some(WRITE_TIME)).unwrap();
        let text = read_request("behind").repeat(10_000);
        let started = Instant::now();
        while started.elapsed() < WRITE_TIME && stream.write(text.as_bytes()).is_ok() {}
        drop(stream);
        let left_at = Instant::now();
        std::thread::sleep(6 * GRACE);
        let attempts = servers.runs.of(&first);
        let late = attempts
            .iter()
            .filter(|started| **started > left_at + GRACE);
        assert_eq!(late.count(), 0, "{first}: {} attempts", attempts.len());
    }
}
