//! Where a pool's servers come from: what every source does, whatever it follows.

use super::pool::Pool;
use super::task::AbortOnDrop;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// A node that knows servers from before waits this long for newer news before it serves.
const NEWS_WITHIN: Duration = Duration::from_secs(1);

/// Where a pool hears of its servers. Each source is a task that tells the pool through [`Pool::members`].
pub trait Source {
    /// Tells the pool of its servers for as long as it is polled.
    fn follow(self, pool: Rc<Pool>) -> impl Future<Output = ()> + 'static;
}

/// Starts to follow a source; the pool is ready when the first list has come. An old one serves too, if no newer
/// comes.
pub fn follow(pool: &Rc<Pool>, source: impl Source) -> AbortOnDrop {
    let ready = pool.clone();
    let follow = source.follow(pool.clone());
    let task = tokio::task::spawn_local(async move {
        let mut follow = std::pin::pin!(follow);
        let wait = async {
            if ready.is_ready.get() {
                return std::future::pending().await;
            }
            let news = ready.list_received.notified();
            if ready.has_servers() {
                let _ = tokio::time::timeout(NEWS_WITHIN, news).await;
            } else {
                news.await;
            }
            ready.is_ready.set(true);
            std::future::pending::<()>().await;
        };
        // The wait is polled first, so that no list is missed.
        tokio::select! {
            biased;
            () = wait => {}
            () = follow.as_mut() => {}
        }
    });
    AbortOnDrop(task.abort_handle())
}
