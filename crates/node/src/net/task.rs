//! Tasks that are aborted together with their owner.

use tokio::task::AbortHandle;

/// Aborts a task when this is dropped.
pub struct AbortOnDrop(pub AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
