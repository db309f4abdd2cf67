//! Requests whose answer is awaited.

use crate::net::pool::Pool;
use reelfall_balancer::interface::RequestId;
use std::rc::Rc;

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
