//! Requests whose answer is awaited.

use super::Frontend;
use crate::net::answer::Reply;
use crate::net::message::printable_id;
use crate::net::pool::Pool;
use crate::net::request_events::RequestEvent;
use hyper::header::HeaderValue;
use reelfall_balancer::interface::RequestId;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

/// How long this process may be held up between two steps.
const MAX_STALL: Duration = Duration::from_millis(150);

impl Frontend {
    /// Waits for an answer of a pool; `None` if there is none in time.
    ///
    /// The engine answers each request at its deadline, or has its answer forwarded then, for which it is given some time. This
    /// covers a request that it has not answered, and one whose deadline is after the end of the process.
    pub(in crate::net) async fn wait_for_answer<T>(
        &self,
        pool: &Pool,
        deadline: Instant,
        answer: impl Future<Output = T>,
    ) -> Option<T> {
        let exit_imminent = self.exit_imminent.notified();
        if self.is_exit_imminent() {
            return None;
        }
        tokio::select! {
            biased;
            answer = answer => Some(answer),
            () = sleep_until((deadline + half_response_slack(pool) + MAX_STALL).into()) => None,
            () = exit_imminent => None,
        }
    }

    /// Records a final answer that is no server's; `None` stands for one that the engine has not given in time.
    pub(in crate::net) fn record_final_answer(
        &self,
        correlation_id: Option<&HeaderValue>,
        reply: Option<&Reply>,
    ) {
        let event = match reply {
            Some(Reply::Served(_)) => return,
            Some(Reply::Rejected { .. }) => RequestEvent::Rejected,
            Some(Reply::Failed(outcome)) => RequestEvent::Failed(*outcome),
            None => RequestEvent::Unanswered,
        };
        self.shared
            .request_events
            .record(printable_id(correlation_id), &event);
    }

    /// Whether the process exits so soon that nothing more is sent to servers.
    pub(in crate::net) fn is_exit_imminent(&self) -> bool {
        self.is_exit_imminent.get()
    }
}

/// Half of the time that is reserved for an answer to reach its client.
fn half_response_slack(pool: &Pool) -> Duration {
    Duration::try_from_secs_f64(pool.connection_settings.response_slack / 2.0).unwrap_or_default()
}

/// Cancels a request that was submitted to its pool, if this is dropped before the answer is received: its client has
/// disconnected then.
pub(in crate::net) struct CancelOnDrop<'a> {
    pool: &'a Rc<Pool>,
    id: Option<RequestId>,
}

impl<'a> CancelOnDrop<'a> {
    pub fn new(pool: &'a Rc<Pool>, id: RequestId) -> Self {
        CancelOnDrop { pool, id: Some(id) }
    }

    /// Records that the answer was received: nothing is cancelled any more.
    pub fn disarm(&mut self) {
        self.id = None;
    }
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.pool.cancel(id);
        }
    }
}
