//! What both kinds of node have in common: the runtime, signals, the periodic tick, and file names.
//!
//! Called by [`crate::platform`] and [`crate::standalone`].

use std::future::Future;
use std::io;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;

/// Interval of the periodic work, such as closing idle connections and removing drained pools.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum length of the part of a file name that is a node's name, in characters.
const MAX_FILE_NAME_LEN: usize = 64;

/// The operating system does not provide what every node needs.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The async runtime can't be built.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The handler of a signal can't be installed.
    #[error("{0}")]
    Signal(#[source] io::Error),
}

/// Runs a node to completion on a single-threaded runtime.
///
/// # Errors
/// If the runtime can't be built, or the node can't start.
pub fn block_on<E: From<ProcessError>>(node: impl Future<Output = Result<(), E>>) -> Result<(), E> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ProcessError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, node)
}

/// The signals that a node handles.
pub struct Signals {
    /// SIGTERM: the node shuts down.
    pub termination: Termination,
    /// SIGHUP: the node reloads its configuration.
    pub hangup: Signal,
}

impl Signals {
    /// Installs handlers, which replace the default action of the signals. Has to be called on the runtime of the node.
    ///
    /// # Errors
    /// If a handler can't be installed.
    pub fn listen() -> Result<Signals, ProcessError> {
        Ok(Signals {
            termination: Termination::watch(listen_to(SignalKind::terminate())?),
            hangup: listen_to(SignalKind::hangup())?,
        })
    }
}

fn listen_to(kind: SignalKind) -> Result<Signal, ProcessError> {
    signal(kind).map_err(ProcessError::Signal)
}

/// When SIGTERM arrived. A task of its own records it, so that the clock of the shutdown starts then, whatever the node waits
/// for at that moment.
#[derive(Clone)]
pub struct Termination {
    received_at: watch::Receiver<Option<Instant>>,
}

impl Termination {
    fn watch(mut terminate: Signal) -> Termination {
        let (sender, received_at) = watch::channel(None);
        tokio::task::spawn_local(async move {
            if terminate.recv().await.is_some() {
                sender.send_replace(Some(Instant::now()));
            }
            // The receiver must not see the channel end without a value.
            sender.closed().await;
        });
        Termination { received_at }
    }

    /// Waits for SIGTERM, and returns when it arrived.
    pub async fn received(&self) -> Instant {
        let mut received_at = self.received_at.clone();
        let received = received_at.wait_for(Option::is_some).await;
        match received.ok().and_then(|received_at| *received_at) {
            Some(received_at) => received_at,
            None => std::future::pending().await,
        }
    }

    /// Runs a future until SIGTERM arrives; `None` if that is first.
    pub async fn interrupt<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            _ = self.received() => None,
            output = future => Some(output),
        }
    }
}

/// Spawns the task that calls `tick` periodically, until the process ends.
pub fn spawn_ticks(tick: impl Fn() + 'static) {
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            tick();
        }
    });
}

/// Converts a node's name for use in file names: any character but ASCII letters, digits and `-` becomes `_`.
pub fn sanitize_file_name(node: &str) -> String {
    let to_safe = |c: char| {
        if c.is_ascii_alphanumeric() || c == '-' {
            c
        } else {
            '_'
        }
    };
    node.chars().map(to_safe).take(MAX_FILE_NAME_LEN).collect()
}
