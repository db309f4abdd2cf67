//! A TCP proxy in front of a server that injects network faults: delays, freezes, cuts, throttling, and loss in one
//! direction.
//!
//! In a [`fleet`](crate::fleet), each node reaches each server through its own link. Also used by tests and the command
//! `link`.

use crate::{AbortOnDrop, Result};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of bytes that are read and forwarded at a time.
const BUFFER_BYTES: usize = 16 << 10;
/// Interval at which a stalled connection checks whether it may continue.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which a frozen connection checks whether it may continue.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Faults of a link, which apply to all its connections.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    /// Delay before each read is forwarded, in both directions.
    pub delay: Duration,
    /// While set, nothing is forwarded, and connections stay open.
    pub is_frozen: bool,
    /// Number of bytes forwarded to the server after which a connection is cut.
    pub cut_after_bytes_to_server: Option<u64>,
    /// Number of bytes forwarded to the client after which a connection is cut.
    pub cut_after_bytes_to_client: Option<u64>,
    /// Data from the server is dropped while the connection stays open (a half-open connection).
    pub drops_responses: bool,
    /// Throughput limit for each direction of each connection.
    pub bytes_per_second: Option<u64>,
    /// While set, new connections are accepted but not connected to the server.
    pub stalls_new_connections: bool,
}

/// A running proxy to a server. Dropping it closes its connections.
pub struct Link {
    /// Address to which clients connect.
    pub address: SocketAddr,
    faults: Arc<Mutex<LinkFaults>>,
    _task: AbortOnDrop,
}

fn lock(faults: &Mutex<LinkFaults>) -> MutexGuard<'_, LinkFaults> {
    faults.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    /// Starts a link without faults on a free port of the loopback address.
    ///
    /// # Errors
    /// Fails if no port is available.
    pub async fn start(server: SocketAddr) -> Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let faults = Arc::new(Mutex::new(LinkFaults::default()));
        let shared = faults.clone();
        let task = crate::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let Ok((client, _)) = listener.accept().await else {
                    continue;
                };
                while connections.try_join_next().is_some() {}
                connections.spawn(forward_connection(client, server, shared.clone()));
            }
        });
        Ok(Link {
            address,
            faults,
            _task: task,
        })
    }

    /// Changes the faults for open and new connections.
    pub fn update_faults(&self, change: impl FnOnce(&mut LinkFaults)) {
        change(&mut lock(&self.faults));
    }
}

async fn forward_connection(client: TcpStream, server: SocketAddr, faults: Arc<Mutex<LinkFaults>>) {
    while lock(&faults).stalls_new_connections {
        tokio::time::sleep(STALL_POLL_INTERVAL).await;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = forward(from_client, to_server, &faults, Direction::ToServer);
    let responses = forward(from_server, to_client, &faults, Direction::ToClient);
    tokio::pin!(requests, responses);
    // If one direction is closed, the shutdown is forwarded and the other direction continues; a cut ends both.
    tokio::select! {
        end = &mut requests => if end == DirectionEnd::Closed { responses.await; },
        end = &mut responses => if end == DirectionEnd::Closed { requests.await; },
    }
}

/// A direction of forwarding.
#[derive(Clone, Copy, PartialEq)]
enum Direction {
    ToServer,
    ToClient,
}

/// Why forwarding in one direction ended.
#[derive(Clone, Copy, PartialEq)]
enum DirectionEnd {
    /// The sender closed its side of the connection.
    Closed,
    /// A fault cut the connection, or a socket failed.
    Cut,
}

impl LinkFaults {
    /// Number of bytes forwarded in a direction after which the connection is cut.
    fn cut_after_bytes(&self, direction: Direction) -> Option<u64> {
        match direction {
            Direction::ToServer => self.cut_after_bytes_to_server,
            Direction::ToClient => self.cut_after_bytes_to_client,
        }
    }
}

/// Forwards bytes in one direction until the connection is closed or cut.
async fn forward(
    mut source: OwnedReadHalf,
    mut target: OwnedWriteHalf,
    faults: &Mutex<LinkFaults>,
    direction: Direction,
) -> DirectionEnd {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut forwarded = 0u64;
    loop {
        let Ok(received) = source.read(&mut buffer).await else {
            return DirectionEnd::Cut;
        };
        let current = lock(faults).clone();
        if !current.delay.is_zero() {
            tokio::time::sleep(current.delay).await;
        }
        while lock(faults).is_frozen {
            tokio::time::sleep(FREEZE_POLL_INTERVAL).await;
        }
        if received == 0 {
            let _ = target.shutdown().await;
            return DirectionEnd::Closed;
        }
        if current.drops_responses && direction == Direction::ToClient {
            continue;
        }
        let allowed = current
            .cut_after_bytes(direction)
            .map_or(received as u64, |limit| limit.saturating_sub(forwarded));
        let length = received.min(usize::try_from(allowed).unwrap_or(usize::MAX));
        if target.write_all(&buffer[..length]).await.is_err() || length < received {
            return DirectionEnd::Cut;
        }
        forwarded += received as u64;
        if let Some(rate) = current.bytes_per_second {
            let seconds = received as f64 / rate.max(1) as f64;
            tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        }
    }
}
