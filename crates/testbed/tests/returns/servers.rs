//! Servers that record when each request ran.

use reelfall_testbed::scripted::{ok_response, Message, Server, WAIT_TIMEOUT};
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Number of servers that behave in the same way.
const SERVERS: usize = 3;

/// When each request began to run, by its id.
#[derive(Default)]
pub struct Runs {
    started: Mutex<HashMap<String, Vec<Instant>>>,
    changed: Condvar,
}

impl Runs {
    fn record(&self, id: &str) {
        let mut started = self.started.lock().unwrap();
        started
            .entry(id.to_owned())
            .or_default()
            .push(Instant::now());
        self.changed.notify_all();
    }

    /// When the runs of a request began.
    pub fn of(&self, id: &str) -> Vec<Instant> {
        let started = self.started.lock().unwrap();
        started.get(id).cloned().unwrap_or_default()
    }

    /// When all runs began.
    pub fn all(&self) -> Vec<Instant> {
        let started = self.started.lock().unwrap();
        started.values().flatten().copied().collect()
    }

    /// Waits until a request has begun to run.
    pub fn wait_for(&self, id: &str) {
        let started = self.started.lock().unwrap();
        let has_not_run = |started: &mut HashMap<String, Vec<Instant>>| !started.contains_key(id);
        let waited = self
            .changed
            .wait_timeout_while(started, WAIT_TIMEOUT, has_not_run);
        assert!(!waited.unwrap().1.timed_out(), "{id} did not run");
    }
}

/// Running servers.
pub struct Servers {
    pub addresses: Vec<SocketAddr>,
    pub runs: Arc<Runs>,
    _servers: Vec<Server>,
}

/// Starts servers that answer each request after the time that `delay` returns for it.
pub fn start(delay: impl Fn(&Message) -> Duration + Send + Sync + 'static) -> Servers {
    start_with(delay, ok_response)
}

/// Starts servers that reject each request after this time, without running it.
pub fn start_rejecting(time: Duration) -> Servers {
    let reject = |_: &Message| {
        b"HTTP/1.1 503 Service Unavailable\r\nx-unprocessed: 1\r\ncontent-length: 0\r\n\r\n"
            .to_vec()
    };
    start_with(move |_| time, reject)
}

fn start_with(
    delay: impl Fn(&Message) -> Duration + Send + Sync + 'static,
    answer: fn(&Message) -> Vec<u8>,
) -> Servers {
    let (runs, delay) = (Arc::<Runs>::default(), Arc::new(delay));
    let servers: Vec<Server> = (0..SERVERS)
        .map(|_| {
            let (runs, delay) = (runs.clone(), delay.clone());
            Server::start(move |request, _, stream| {
                runs.record(request.header("x-correlation-id").unwrap_or("none"));
                std::thread::sleep(delay(request));
                let _ = stream.write_all(&answer(request));
            })
        })
        .collect();
    Servers {
        addresses: servers.iter().map(|server| server.address).collect(),
        runs,
        _servers: servers,
    }
}
