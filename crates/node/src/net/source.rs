//! The common interface of the sources of endpoint lists. Each service follows one source.

use super::pool::Pool;
use super::task::AbortOnDrop;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// How long a pool with servers from a cached list waits for a newer list before it serves.
const NEWER_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// A source of endpoint lists, which delivers them to [`Pool::update_endpoints`].
pub trait Source {
    /// Delivers lists to the pool for as long as the future is polled.
    fn follow(self, pool: Rc<Pool>) -> impl Future<Output = ()> + 'static;
}

/// Starts a task that follows a source. The pool becomes ready with the first list, or, if it already has servers,
/// after [`NEWER_LIST_TIMEOUT`] at the latest.
pub fn follow(pool: &Rc<Pool>, source: impl Source) -> AbortOnDrop {
    let waiting_pool = pool.clone();
    let follow = source.follow(pool.clone());
    let task = tokio::task::spawn_local(async move {
        let mut follow = std::pin::pin!(follow);
        // `become_ready` is polled first, so that it does not miss a list.
        tokio::select! {
            biased;
            () = become_ready(waiting_pool) => {}
            () = follow.as_mut() => {}
        }
    });
    AbortOnDrop(task.abort_handle())
}

/// Marks the pool as ready when its first list was received; never returns.
async fn become_ready(pool: Rc<Pool>) {
    if pool.is_ready.get() {
        return std::future::pending().await;
    }
    let list_received = pool.list_received.notified();
    if pool.has_servers() {
        let _ = tokio::time::timeout(NEWER_LIST_TIMEOUT, list_received).await;
    } else {
        list_received.await;
    }
    pool.is_ready.set(true);
    std::future::pending::<()>().await;
}
