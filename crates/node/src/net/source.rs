//! The sources of endpoint lists: what all of them have in common. Services follow one source each.

use super::pool::Pool;
use super::task::AbortOnDrop;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// How long a pool that knows servers from before waits for a newer list before it serves.
const NEWER_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// A source of endpoint lists, which delivers them to [`Pool::update_endpoints`].
pub trait Source {
    /// Delivers lists to the pool for as long as the future is polled.
    fn follow(self, pool: Rc<Pool>) -> impl Future<Output = ()> + 'static;
}

/// Starts a task that follows a source. The pool becomes ready with the first list, or, if it knows servers from before,
/// after [`NEWER_LIST_TIMEOUT`] at the latest.
pub fn follow(pool: &Rc<Pool>, source: impl Source) -> AbortOnDrop {
    let waiting_pool = pool.clone();
    let follow = source.follow(pool.clone());
    let task = tokio::task::spawn_local(async move {
        let mut follow = std::pin::pin!(follow);
        // The wait is polled first, so that no list is missed.
        tokio::select! {
            biased;
            () = become_ready(waiting_pool) => {}
            () = follow.as_mut() => {}
        }
    });
    AbortOnDrop(task.abort_handle())
}

/// Sets the pool ready when its first list was received; never returns.
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
