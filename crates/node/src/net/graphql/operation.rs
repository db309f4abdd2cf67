//! Running one operation, which is translated into a request of its own and submitted to the engine.

use crate::net::answer::Reply;
use crate::net::body::Payload;
use crate::net::frontend::{repeatability, strip_hop_by_hop, CancelOnDrop, Frontend, RequestError};
use crate::net::graphql_operations::{GraphQl, OperationHead, PreparedOperation};
use crate::net::message::{AnswerValidator, Arrival, Message, CORRELATION_ID};
use crate::net::pool::Pool;
use crate::net::shared::{MemoryPermit, Permit};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, StatusCode};
use reelfall_balancer::interface::{ClassId, Outcome, Time};
use reelfall_graphql::answer;
use reelfall_graphql::document::Operation;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Validates the answers to an operation.
struct OperationAnswerValidator {
    operation: Rc<Operation>,
}

impl AnswerValidator for OperationAnswerValidator {
    /// A server may report errors of the client with a 4xx status. Such an answer is valid, and not a failure of the
    /// server.
    fn accepts_status(&self, status: StatusCode) -> bool {
        let is_transient = matches!(
            status,
            StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_EARLY | StatusCode::TOO_MANY_REQUESTS
        );
        status.is_client_error() && !is_transient
    }

    fn is_valid_answer(&self, body: &[u8]) -> bool {
        answer::check(body, &self.operation).is_ok()
    }
}

/// The context that all operations of a client's request share.
#[derive(Clone, Copy)]
pub(super) struct OperationContext<'a> {
    pub(super) graphql: &'a GraphQl,
    pub(super) pool: &'a Rc<Pool>,
    pub(super) head: &'a OperationHead,
    /// The deadline of the batch, if the operation is an entry of one.
    pub(super) batch_deadline: Option<Instant>,
}

/// The permits that an operation holds under its service's limits.
pub(super) struct OperationPermits {
    pub(super) body_memory: Option<Rc<MemoryPermit>>,
    pub(super) admission: Option<Permit>,
}

impl OperationContext<'_> {
    /// The deadline of a class, in seconds.
    pub(super) fn class_deadline(&self, class: ClassId) -> Option<Time> {
        self.pool
            .classes
            .get(usize::from(class))
            .map(|class| class.deadline)
    }

    /// The time for an answer that has to reach a client within `deadline`, which the client may have shortened.
    pub(super) fn time_for_answer(&self, deadline: Time) -> Duration {
        let time_left = self
            .head
            .time_left
            .map_or(deadline, |left| left.min(deadline));
        let slack = self.pool.connection_settings.response_slack;
        Duration::try_from_secs_f64(time_left - slack).unwrap_or_default()
    }

    /// The deadline of the answer to an operation. The time of a batch entry begins when the entry is started.
    fn answer_deadline(&self, class: ClassId, is_batch_entry: bool) -> Instant {
        let time_for_answer = self.time_for_answer(self.class_deadline(class).unwrap_or(0.0));
        let starts_at = if is_batch_entry {
            Instant::now()
        } else {
            self.head.received_at
        };
        let deadline = starts_at + time_for_answer;
        self.batch_deadline
            .map_or(deadline, |batch_deadline| deadline.min(batch_deadline))
    }
}

impl Frontend {
    /// Submits an operation to the engine and waits for its final answer.
    pub(super) async fn run_operation(
        self: &Rc<Self>,
        context: OperationContext<'_>,
        prepared: PreparedOperation,
        batch_entry: Option<usize>,
        permits: OperationPermits,
    ) -> Result<Reply, RequestError> {
        let pool = context.pool;
        let mut headers = context.head.headers.clone();
        let deadline = context.answer_deadline(prepared.class, batch_entry.is_some());
        let repeatability = repeatability(pool, prepared.class);
        let id_claim = self.claim_correlation_id(&mut headers, batch_entry, repeatability)?;
        let work_hint = context.graphql.field_work * prepared.operation.cost as f64;
        let arrival = Arrival {
            class: prepared.class,
            work_hint: Some(work_hint),
            ..self.arrival(pool, &headers, deadline)
        };
        set_server_headers(&mut headers, &prepared.method);
        let correlation_id = headers.get(CORRELATION_ID).cloned();
        let validator = OperationAnswerValidator {
            operation: prepared.operation,
        };
        let message = Message {
            method: prepared.method,
            path: prepared.path,
            headers,
            body: Payload::buffered([prepared.body]),
            _body_memory: permits.body_memory,
            id_claim,
            _admission: permits.admission,
            time_after_upload: None,
            validator: Some(Box::new(validator)),
            waiter: context.head.waiter.clone(),
        };
        if self.is_exit_imminent() {
            return Ok(Reply::Failed(Some(Outcome::TimedOut)));
        }
        let (request, answer) = pool.submit(message, arrival);
        let mut cancel_on_drop = CancelOnDrop::new(pool, request);
        match self.wait_for_answer(pool, deadline, answer).await {
            Some(Ok(reply)) => {
                cancel_on_drop.disarm();
                self.record_final_answer(correlation_id.as_ref(), Some(&reply));
                Ok(reply)
            }
            _ => {
                self.record_final_answer(correlation_id.as_ref(), None);
                Ok(Reply::Failed(Some(Outcome::TimedOut)))
            }
        }
    }
}

/// Converts the headers of a client's request to those of an operation's request to a server.
fn set_server_headers(headers: &mut HeaderMap, method: &Method) {
    const JSON: HeaderValue = HeaderValue::from_static("application/json");
    strip_hop_by_hop(headers);
    // With this media type a server reports errors of the client with status 200, which is always a valid answer.
    headers.insert(header::ACCEPT, JSON);
    if method == Method::POST {
        headers.insert(header::CONTENT_TYPE, JSON);
    }
}
