//! A process that is held up shortly before its end, while a request is completed.

use crate::fixtures::{settings, start_registered_node, start_server, KILL_AFTER_DEADLINE};
use reelfall_testbed::node::WAIT_TIMEOUT;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const REQUEST: &str = "GET /api HTTP/1.1\r\nhost: a\r\nx-correlation-id: last\r\n\r\n";
/// The longest deadline.
const DEADLINE: Duration = Duration::from_millis(1200);
/// The process is held up from this long before SIGKILL may come; it would have ended at the end of this time.
const STALL_BEFORE_KILL: Duration = Duration::from_millis(200);
/// The last byte of the request is written this long before SIGKILL may come.
const LAST_BYTE_BEFORE_KILL: Duration = Duration::from_millis(150);
/// The process goes on this long before SIGKILL may come, after it should have ended.
const RESUME_BEFORE_KILL: Duration = Duration::from_millis(60);

/// Guards against a process that ends with a complete request unread: it was held up when the last byte came, and found its
/// time to be over when it went on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_completed_right_before_the_end_is_answered() {
    let server = start_server(Duration::ZERO).await;
    let node = start_registered_node(&settings(&[], &server, DEADLINE), &[]).await;
    let mut client = TcpStream::connect(node.address()).await.unwrap();
    client.set_nodelay(true).unwrap();
    let (start, last_byte) = REQUEST.split_at(REQUEST.len() - 1);
    client.write_all(start.as_bytes()).await.unwrap();
    node.signal("TERM").unwrap();
    let killed_at = Instant::now() + DEADLINE + KILL_AFTER_DEADLINE;
    tokio::time::sleep_until((killed_at - STALL_BEFORE_KILL).into()).await;
    node.signal("STOP").unwrap();
    tokio::time::sleep_until((killed_at - LAST_BYTE_BEFORE_KILL).into()).await;
    // The process may have ended meanwhile.
    let _ = client.write_all(last_byte.as_bytes()).await;
    tokio::time::sleep_until((killed_at - RESUME_BEFORE_KILL).into()).await;
    node.signal("CONT").unwrap();
    assert_answered(client).await;
}

/// Guards against a process that was held up over the time of its last answers and over its end, and ends before the answers
/// that it gives late are written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_last_answers_are_written() {
    /// The process is held up from this long before SIGKILL may come, before it gives its last answers.
    const LONG_STALL_BEFORE_KILL: Duration = Duration::from_millis(300);
    const REQUEST_BEFORE_DEADLINE: Duration = Duration::from_millis(230);
    let server = start_server(Duration::ZERO).await;
    let node = start_registered_node(&settings(&[], &server, DEADLINE), &[]).await;
    server.update_behavior(|behavior| behavior.is_frozen = true);
    let mut client = TcpStream::connect(node.address()).await.unwrap();
    // A connection with an incomplete request is not closed as idle.
    let (start, last_byte) = REQUEST.split_at(REQUEST.len() - 1);
    client.write_all(start.as_bytes()).await.unwrap();
    node.signal("TERM").unwrap();
    let killed_at = Instant::now() + DEADLINE + KILL_AFTER_DEADLINE;
    // Its deadline is in the stall.
    tokio::time::sleep_until((killed_at - DEADLINE - REQUEST_BEFORE_DEADLINE).into()).await;
    client.write_all(last_byte.as_bytes()).await.unwrap();
    tokio::time::sleep_until((killed_at - LONG_STALL_BEFORE_KILL).into()).await;
    node.signal("STOP").unwrap();
    tokio::time::sleep_until((killed_at - RESUME_BEFORE_KILL).into()).await;
    node.signal("CONT").unwrap();
    assert_answered(client).await;
}

async fn assert_answered(mut client: TcpStream) {
    let mut response = Vec::new();
    // What came before an error counts.
    let read = tokio::time::timeout(WAIT_TIMEOUT, client.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "the connection stays open");
    assert!(
        response.starts_with(b"HTTP/1.1 "),
        "{:?}",
        String::from_utf8_lossy(&response)
    );
}
