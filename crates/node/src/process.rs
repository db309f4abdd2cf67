//! Steps that both ways to run a node have in common: the runtime, signals, the periodic tick, the name in file names.
//!
//! Called by [`crate::platform`] and [`crate::standalone`].

use std::future::Future;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Interval at which idle connections and draining pools are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum length of a node's name in a file name, in characters.
const MAX_FILE_NAME_LEN: usize = 64;

/// Why the operating system does not provide what every node needs.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The runtime can't be built.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// A signal can't be handled.
    #[error("{0}")]
    Signal(#[source] io::Error),
}

/// Runs a node to its end, on a runtime of one thread.
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
    pub terminate: Signal,
    /// SIGHUP: the node reloads its configuration.
    pub hangup: Signal,
}

impl Signals {
    /// Handles the signals from now on, in place of the system's default.
    ///
    /// # Errors
    /// If the system refuses.
    pub fn listen() -> Result<Signals, ProcessError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).map_err(ProcessError::Signal)?,
            hangup: signal(SignalKind::hangup()).map_err(ProcessError::Signal)?,
        })
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

/// A node's name in the form that it has in file names.
pub fn file_name_of(node: &str) -> String {
    let to_safe = |c: char| {
        if c.is_ascii_alphanumeric() || c == '-' {
            c
        } else {
            '_'
        }
    };
    node.chars().map(to_safe).take(MAX_FILE_NAME_LEN).collect()
}
