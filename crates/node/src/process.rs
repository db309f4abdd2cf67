//! What both kinds of node have in common: the runtime, signals, the periodic tick, and file names.
//!
//! Called by [`crate::platform`] and [`crate::standalone`].

use std::future::Future;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};

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
    pub terminate: Signal,
    /// SIGHUP: the node reloads its configuration.
    pub hangup: Signal,
}

impl Signals {
    /// Installs handlers, which replace the default action of the signals.
    ///
    /// # Errors
    /// If a handler can't be installed.
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
