//! The Unix socket that connects the processes of a node, and the snapshot that a new process requests there. Used by
//! [`crate::platform`] and [`super::Takeover`].

use super::exchange::{Exchange, ExchangeError};
use crate::net::shared::Shared;
use reelfall_admin::takeover::{Frame, ID_RECORDS_VERSION, PROTOCOL_VERSION};
use std::fs::File;
use std::io;
use std::os::fd::{AsRawFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

/// How long a new process waits for the snapshot of its predecessor before it binds the address itself.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum length of the path of a Unix socket, in bytes.
const MAX_SOCKET_PATH_LEN: usize = 99;
/// The extension of the socket's file name.
const SOCKET: &str = "takeover";
/// The extension of a new socket until it replaces the one of an earlier process.
const NEW_SOCKET: &str = "takeover.new";

/// A path of a socket, valid until this is dropped.
struct SocketPath {
    path: PathBuf,
    /// Kept open since a path that is too long for a socket address is replaced by one through the folder's descriptor.
    _folder: File,
}

/// The Unix socket that connects the processes of a node.
pub struct HandoverSocket {
    folder: PathBuf,
    name: String,
}

impl HandoverSocket {
    /// The socket of the node of this name, in the folder that its processes share.
    pub fn new(folder: &Path, name: &str) -> Self {
        HandoverSocket {
            folder: folder.to_owned(),
            name: name.to_owned(),
        }
    }

    fn path(&self, extension: &str) -> io::Result<SocketPath> {
        let folder = File::open(&self.folder)?;
        let file = format!("reelfall-{}.{extension}", self.name);
        let direct = self.folder.join(&file);
        let path = if direct.as_os_str().len() <= MAX_SOCKET_PATH_LEN {
            direct
        } else {
            PathBuf::from(format!("/proc/self/fd/{}", folder.as_raw_fd())).join(file)
        };
        Ok(SocketPath {
            path,
            _folder: folder,
        })
    }

    /// Listens for a successor. The socket of an earlier process is replaced atomically.
    ///
    /// # Errors
    /// If the socket can't be created in the folder.
    pub(super) fn listen(&self) -> io::Result<UnixListener> {
        let (new, current) = (self.path(NEW_SOCKET)?, self.path(SOCKET)?);
        let _ = std::fs::remove_file(&new.path);
        let listener = UnixListener::bind(&new.path)?;
        std::fs::rename(&new.path, &current.path)?;
        Ok(listener)
    }

    /// Requests the snapshot of the process that serves; `None` if there is no such process, or it does not
    /// provide one in time.
    pub async fn request_snapshot(&self, shared: &Shared) -> Option<Snapshot> {
        let socket = self.path(SOCKET).ok()?;
        let log = &shared.log;
        match timeout(SNAPSHOT_TIMEOUT, Snapshot::request(&socket.path)).await {
            Ok(Ok(snapshot)) => Some(snapshot),
            Ok(Err(error)) if has_no_listener(&error) => None,
            Ok(Err(error)) => {
                log.write_line(format_args!(
                    "takeover: no snapshot from the predecessor: {error}; binding the address with SO_REUSEPORT"
                ));
                None
            }
            Err(_) => {
                log.write_line(format_args!(
                    "takeover: no snapshot from the predecessor in time; binding the address with SO_REUSEPORT"
                ));
                None
            }
        }
    }
}

impl HandoverSocket {
    /// Shares the ids of unsafe requests with the process that serves, if there is one, and waits until they are known.
    pub async fn share_ids(&self, shared: &Rc<Shared>) {
        let Ok(stream) = self.connect_for_ids().await else {
            return;
        };
        let sharing = timeout(SNAPSHOT_TIMEOUT, shared.share_request_ids(stream));
        if sharing.await.is_err() {
            shared.log.write_line(format_args!(
                "takeover: the predecessor has not sent the ids of its requests in time"
            ));
        }
    }

    async fn connect_for_ids(&self) -> Result<std::os::unix::net::UnixStream, ExchangeError> {
        let socket = self.path(SOCKET)?;
        let exchange = Exchange::new(UnixStream::connect(&socket.path).await?)?;
        let version = ID_RECORDS_VERSION;
        exchange.send(&Frame::ShareIds { version }, &[]).await?;
        Ok(exchange.into_stream()?)
    }
}

/// Whether an error means that no process listens on the socket.
fn has_no_listener(error: &ExchangeError) -> bool {
    let ExchangeError::Stream(error) = error else {
        return false;
    };
    matches!(
        error.kind(),
        io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused
    )
}

/// The listening socket of a predecessor.
struct InheritedListener {
    name: String,
    socket: OwnedFd,
}

/// The learned state of one of the predecessor's pools.
struct LearnedPool {
    name: String,
    state: serde_json::Value,
}

/// The sockets and the learned state that a predecessor has handed over.
pub struct Snapshot {
    listeners: Vec<InheritedListener>,
    learned: Vec<LearnedPool>,
    exchange: Exchange,
}

impl Snapshot {
    async fn request(path: &Path) -> Result<Snapshot, ExchangeError> {
        let mut exchange = Exchange::new(UnixStream::connect(path).await?)?;
        let version = PROTOCOL_VERSION;
        exchange.send(&Frame::Hello { version }, &[]).await?;
        let received = exchange.receive().await?;
        let Frame::Snapshot { listeners, learned } = received.frame else {
            return Err(ExchangeError::Refused);
        };
        let to_pool = |(name, state)| LearnedPool { name, state };
        let to_listener = |(name, socket)| InheritedListener { name, socket };
        let listeners = listeners.into_iter().zip(received.descriptors);
        Ok(Snapshot {
            listeners: listeners.map(to_listener).collect(),
            learned: learned.into_iter().map(to_pool).collect(),
            exchange,
        })
    }

    /// Removes the listening socket with this name from the snapshot and returns it.
    pub fn listener(&mut self, name: &str) -> Option<OwnedFd> {
        let index = self
            .listeners
            .iter()
            .position(|listener| listener.name == name)?;
        Some(self.listeners.swap_remove(index).socket)
    }

    /// The learned state of a pool.
    pub fn learned(&self, pool: &str) -> Option<&serde_json::Value> {
        let learned = self.learned.iter().find(|learned| learned.name == pool)?;
        Some(&learned.state)
    }

    /// The exchange with the predecessor, for the rest of the takeover; the rest of the snapshot is dropped.
    pub(super) fn into_exchange(self) -> Exchange {
        self.exchange
    }
}
