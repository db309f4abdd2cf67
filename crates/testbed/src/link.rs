//! A network path to a server, with faults: bytes are delayed, frozen, cut, throttled, or lost in one direction.
//!
//! Each node of a [`fleet`](crate::fleet) reaches each server by one; tests and the command `link` start them, too.

use crate::{AbortOnDrop, Result};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that are forwarded at a time.
const BUFFER_BYTES: usize = 16 << 10;
/// Interval at which a stalled connection looks whether it may continue.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which a frozen connection looks whether it may continue.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What a link does to its connections.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    /// Delay of each piece, in both directions.
    pub delay: Duration,
    /// Nothing is forwarded, and no connection ends.
    pub is_frozen: bool,
    /// A connection is cut once so many bytes have been forwarded to the server.
    pub cut_after_bytes_to_server: Option<u64>,
    /// A connection is cut once so many bytes have been forwarded to the client.
    pub cut_after_bytes_to_client: Option<u64>,
    /// What the server sends is dropped, while the connection stays open: half open.
    pub drops_responses: bool,
    /// Bytes a second, in each direction and for each connection.
    pub bytes_per_second: Option<u64>,
    /// New connections are accepted, and not connected to the server.
    pub stalls_new_connections: bool,
}

/// A network path to a server. It ends when this is dropped.
pub struct Link {
    /// Where clients connect.
    pub address: SocketAddr,
    faults: Arc<Mutex<LinkFaults>>,
    _task: AbortOnDrop,
}

fn lock(faults: &Mutex<LinkFaults>) -> MutexGuard<'_, LinkFaults> {
    faults.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    /// Starts a link without faults.
    ///
    /// # Errors
    /// Fails if the system has no port left.
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

    /// Changes the faults, for open connections and for new ones.
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
    // The end of one direction is forwarded; a cut ends both.
    tokio::select! {
        end = &mut requests => if end == DirectionEnd::Closed { responses.await; },
        end = &mut responses => if end == DirectionEnd::Closed { requests.await; },
    }
}

/// The direction in which bytes are forwarded.
#[derive(Clone, Copy, PartialEq)]
enum Direction {
    ToServer,
    ToClient,
}

/// Why the forwarding in one direction has ended.
#[derive(Clone, Copy, PartialEq)]
enum DirectionEnd {
    /// The sender has closed it.
    Closed,
    /// By a fault, or as a socket has failed.
    Cut,
}

impl LinkFaults {
    /// How many bytes of a direction are forwarded before the connection is cut.
    fn cut_after_bytes(&self, direction: Direction) -> Option<u64> {
        match direction {
            Direction::ToServer => self.cut_after_bytes_to_server,
            Direction::ToClient => self.cut_after_bytes_to_client,
        }
    }
}

/// Forwards bytes in one direction until its end.
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
