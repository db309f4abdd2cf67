//! A network path with faults: bytes between two sockets are delayed, frozen, cut, throttled, or lost one way.

use crate::{AbortOnDrop, Result};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// What the path does to what passes.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Each piece comes so much later, either way.
    pub delay: Duration,
    /// Nothing passes, and nothing ends, while this is set.
    pub frozen: bool,
    /// A connection is cut once so many bytes have gone from client to server, and likewise back.
    pub cut_to_server: Option<u64>,
    /// The same from server to client.
    pub cut_to_client: Option<u64>,
    /// What the server says is lost, while the connection stays open: half open.
    pub deaf: bool,
    /// Bytes a second, each way and for each connection.
    pub throttle: Option<u64>,
    /// New connections are accepted and never answered.
    pub mute: bool,
}

/// A path to a server.
pub struct Link {
    /// Where clients connect.
    pub address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
    _task: AbortOnDrop,
}

fn lock(faults: &Mutex<Faults>) -> MutexGuard<'_, Faults> {
    faults.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    /// A path without faults.
    ///
    /// # Errors
    /// If no port is to be had.
    pub async fn start(to: SocketAddr) -> Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let faults = Arc::new(Mutex::new(Faults::default()));
        let shared = faults.clone();
        let task = crate::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let Ok((client, _)) = listener.accept().await else {
                    continue;
                };
                while connections.try_join_next().is_some() {}
                connections.spawn(pass(client, to, shared.clone()));
            }
        });
        Ok(Link {
            address,
            faults,
            _task: task,
        })
    }

    /// Changes the faults, for connections that are open as for new ones.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.faults));
    }
}

async fn pass(client: TcpStream, to: SocketAddr, faults: Arc<Mutex<Faults>>) {
    while lock(&faults).mute {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let there = copy(from_client, to_server, &faults, true);
    let back = copy(from_server, to_client, &faults, false);
    // An end of one way is passed on; a cut ends both.
    tokio::pin!(there, back);
    tokio::select! {
        cut = &mut there => if !cut { back.await; },
        cut = &mut back => if !cut { there.await; },
    }
}

/// Passes bytes on until the end; whether it was a cut.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: &Mutex<Faults>,
    there: bool,
) -> bool {
    let mut buffer = vec![0; 16 << 10];
    let mut passed = 0u64;
    loop {
        let Ok(n) = from.read(&mut buffer).await else {
            return true;
        };
        let now = lock(faults).clone();
        if !now.delay.is_zero() {
            tokio::time::sleep(now.delay).await;
        }
        while lock(faults).frozen {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        if n == 0 {
            let _ = to.shutdown().await;
            return false;
        }
        if now.deaf && !there {
            continue;
        }
        let cut = if there {
            now.cut_to_server
        } else {
            now.cut_to_client
        };
        let left = cut.map_or(n as u64, |at| at.saturating_sub(passed).min(n as u64)) as usize;
        if to.write_all(&buffer[..left]).await.is_err() || left < n {
            return true;
        }
        passed += n as u64;
        if let Some(rate) = now.throttle {
            tokio::time::sleep(Duration::from_secs_f64(n as f64 / rate.max(1) as f64)).await;
        }
    }
}
