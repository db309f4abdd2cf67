//! The limits that a process shares with its successor.

use super::exchange::Exchange;
use super::{Takeover, PROCESSES_IN_TAKEOVER};
use crate::net::frontend::{HandoverState, SHUTDOWN_TIME};
use crate::net::tests::frontend;
use reelfall_admin::takeover::{Frame, PROTOCOL_VERSION};
use std::time::{Duration, Instant};
use tokio::net::UnixStream;
use tokio::time::{sleep, timeout};

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long the test waits for the other side at most.
const TIME_LIMIT: Duration = Duration::from_secs(20);

async fn wait_until(condition: impl Fn() -> bool) {
    let checked = async {
        while !condition() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(TIME_LIMIT, checked)
        .await
        .expect("the condition holds");
}

/// Takes over from the process at the other end of the stream.
async fn take_over(stream: UnixStream) -> Exchange {
    let mut exchange = Exchange::new(stream).expect("an exchange");
    let version = PROTOCOL_VERSION;
    exchange
        .send(&Frame::Hello { version }, &[])
        .await
        .expect("a process");
    let snapshot = exchange.receive().await.expect("a snapshot");
    assert!(matches!(snapshot.frame, Frame::Snapshot { .. }));
    exchange
        .send(&Frame::Serving, &[])
        .await
        .expect("a process");
    exchange
}

/// Guards against a process that uses the whole of its limits again while a successor that has served still answers its last
/// requests: both together would exceed what a server bears in slow start.
#[tokio::test]
async fn process_keeps_half_of_its_limits_while_a_lost_successor_may_shut_down() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let frontend = frontend();
            let shared = frontend.shared().clone();
            let takeover = Takeover::new(shared.clone(), None, false, Box::new(Vec::new));
            let (stream, successor_stream) = UnixStream::pair().expect("a pair");
            tokio::task::spawn_local(takeover.clone().serve_successor(stream, frontend));
            let successor = take_over(successor_stream).await;
            wait_until(|| takeover.hands_over()).await;
            let lost_at = Instant::now();
            drop(successor);
            wait_until(|| !takeover.hands_over()).await;
            assert_eq!(shared.process_count(), PROCESSES_IN_TAKEOVER);
            wait_until(|| shared.process_count() == 1).await;
            let halved_for = lost_at.elapsed();
            assert!(halved_for >= SHUTDOWN_TIME, "{halved_for:?}");
        })
        .await;
}
