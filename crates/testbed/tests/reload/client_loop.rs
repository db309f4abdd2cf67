//! A client that sends requests in sequence during a test.

use crate::fixtures::{get, within_timeout, POLL_INTERVAL};
use bytes::Bytes;
use reelfall_testbed::client::Client;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::task::JoinHandle;

/// A client that sends its next request as soon as it has a response; each response must have status 200.
pub struct ClientLoop {
    responses: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl ClientLoop {
    /// Starts a loop of requests to one host and path, with correlation IDs that begin with `id_prefix`.
    pub fn start(node: SocketAddr, host: &str, path: &str, id_prefix: &str) -> ClientLoop {
        let responses = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let (count, stopped) = (responses.clone(), stop.clone());
        let (host, path, id_prefix) = (host.to_owned(), path.to_owned(), id_prefix.to_owned());
        let task = tokio::spawn(async move {
            let client = Client::new(node);
            while !stopped.load(Ordering::SeqCst) {
                let id = format!("{id_prefix}-{}", count.load(Ordering::SeqCst));
                let response = get(&client, &host, &path, &id).await;
                assert_eq!(
                    (response.status.as_u16(), response.body),
                    (200, Bytes::from(id))
                );
                count.fetch_add(1, Ordering::SeqCst);
            }
        });
        ClientLoop {
            responses,
            stop,
            task,
        }
    }

    /// The number of responses so far.
    pub fn responses(&self) -> usize {
        self.responses.load(Ordering::SeqCst)
    }

    /// Waits for this number of further responses.
    pub async fn wait_for_responses(&self, count: usize) {
        let target = self.responses() + count;
        let target_reached = async {
            while self.responses() < target && !self.task.is_finished() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        within_timeout("further responses", target_reached).await;
    }

    /// Stops the loop, and panics if a response did not have status 200 and the body of its request.
    pub async fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.task.await.expect("a response was wrong");
    }
}
