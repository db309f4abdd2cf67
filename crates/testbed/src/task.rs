//! Background tasks that end with their owner, and the shutdown signal of a process. Used by all stand-ins and commands.

use std::future::Future;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::AbortHandle;

/// A handle that aborts its task when dropped.
#[derive(Debug)]
pub struct AbortOnDrop(pub AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Spawns a task that is aborted when the returned handle is dropped.
pub fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortOnDrop {
    AbortOnDrop(tokio::spawn(task).abort_handle())
}

/// Waits for SIGINT or SIGTERM.
pub async fn shutdown_signal() {
    let (Ok(mut interrupt), Ok(mut terminate)) = (
        signal(SignalKind::interrupt()),
        signal(SignalKind::terminate()),
    ) else {
        return;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}
