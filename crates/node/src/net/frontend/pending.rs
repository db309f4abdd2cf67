//! Requests whose answer is awaited.

use super::Frontend;
use crate::net::pool::Pool;
use reelfall_balancer::interface::RequestId;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

impl Frontend {
    /// Waits for an answer of a pool; `None` if it has not come in time.
    ///
    /// Attempts end at the deadline with an answer. This catches a request that has got none, and one whose deadline is
    /// after the end of the process.
    pub(in crate::net) async fn wait_for_answer<T>(
        &self,
        pool: &Pool,
        deadline: Instant,
        answer: impl Future<Output = T>,
    ) -> Option<T> {
        let must_answer = self.must_answer_changed.notified();
        if self.must_answer_now() {
            return None;
        }
        tokio::select! {
            biased;
            answer = answer => Some(answer),
            () = sleep_until((deadline + half_response_slack(pool)).into()) => None,
            () = must_answer => None,
        }
    }

    /// Whether the process ends so soon that nothing more is sent to servers.
    pub(in crate::net) fn must_answer_now(&self) -> bool {
        self.must_answer.get()
    }
}

/// Half of what answers are given to reach their clients.
fn half_response_slack(pool: &Pool) -> Duration {
    Duration::try_from_secs_f64(pool.connection_settings.response_slack / 2.0).unwrap_or_default()
}

/// A request that was submitted to its pool. Dropping this before the answer is received cancels the request, since its
/// client has left then.
pub(in crate::net) struct PendingRequest<'a> {
    pool: &'a Rc<Pool>,
    id: Option<RequestId>,
}

impl<'a> PendingRequest<'a> {
    pub fn new(pool: &'a Rc<Pool>, id: RequestId) -> Self {
        PendingRequest { pool, id: Some(id) }
    }

    /// The answer was received.
    pub fn mark_answered(&mut self) {
        self.id = None;
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.pool.cancel(id);
        }
    }
}
