//! Running a batch of operations with a common deadline and one answer to the client.

use super::operation::{OperationContext, OperationPermits};
use super::response::{json_response, retry_advice, to_graphql_error, HttpResponse};
use super::GraphQlRequest;
use crate::net::answer::{Reply, ValidatedAnswer};
use crate::net::frontend::{set_retry_after, Frontend, RequestError};
use crate::net::graphql_operations::PreparedOperation;
use crate::net::service::Service;
use crate::net::shared::{MemoryPermit, Permit};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::StatusCode;
use reelfall_balancer::interface::Time;
use reelfall_graphql::answer;
use reelfall_graphql::batch::{can_be_rejected, Batch, EntryResult};
use reelfall_graphql::media::Media;
use reelfall_graphql::GraphQlError;
use reelfall_routing::limits::LimitExceeded;
use std::rc::Rc;
use std::time::Instant;

/// The text of an entry's answer.
struct EntryAnswer {
    text: Bytes,
}

impl AsRef<[u8]> for EntryAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.text
    }
}

/// An entry that has not been started, or why it can't be run.
type Entry = Result<PreparedOperation, GraphQlError>;

/// What an entry needs to be submitted to the engine.
struct StartedEntry {
    prepared: PreparedOperation,
    permits: OperationPermits,
}

/// A batch whose entries are being run.
struct RunningBatch<'a> {
    frontend: &'a Rc<Frontend>,
    service: &'a Service,
    context: OperationContext<'a>,
    deadline: Instant,
    batch: Batch<EntryAnswer>,
    /// The entries in the order of the batch, each taken when it is started.
    entries: Vec<Option<Entry>>,
    body_memory: Option<Rc<MemoryPermit>>,
    /// The memory that is reserved for the answers of the entries, and then for the answer to the batch, until it is sent.
    answer_memory: Vec<MemoryPermit>,
    admission: BatchAdmission,
}

/// Whether the admission of the batch itself has been passed to its first entry.
enum BatchAdmission {
    Unused(Option<Permit>),
    Used,
}

impl Frontend {
    /// Runs a batch and answers it.
    pub(super) async fn answer_batch(
        self: &Rc<Self>,
        request: GraphQlRequest<'_>,
        entries: Vec<Entry>,
    ) -> HttpResponse {
        let service = &*request.admitted.service;
        let context = OperationContext {
            graphql: request.graphql,
            pool: &service.pool,
            head: request.head,
            batch_deadline: None,
        };
        let deadline = request.head.received_at
            + context.time_for_answer(longest_deadline(&context, &entries));
        let writes = entries.iter().map(|entry| {
            entry
                .as_ref()
                .is_ok_and(|prepared| !request.graphql.classes.is_idempotent(&prepared.operation))
        });
        let batch = Batch::new(
            writes.collect::<Vec<_>>(),
            request.graphql.max_parallel_reads,
        );
        let running = RunningBatch {
            frontend: self,
            service,
            context: OperationContext {
                batch_deadline: Some(deadline),
                ..context
            },
            deadline,
            batch,
            entries: entries.into_iter().map(Some).collect(),
            body_memory: request.body_memory,
            answer_memory: Vec::new(),
            admission: BatchAdmission::Unused(request.admitted.admission),
        };
        let (results, memory) = running.run().await;
        batch_response(results, memory, request.media, service)
    }
}

/// The longest deadline of any entry, in seconds.
fn longest_deadline(context: &OperationContext, entries: &[Entry]) -> Time {
    entries
        .iter()
        .filter_map(|entry| context.class_deadline(entry.as_ref().ok()?.class))
        .fold(0.0, f64::max)
}

impl RunningBatch<'_> {
    /// Runs the entries until all have ended or the deadline has passed. Dropping this cancels the entries in flight.
    async fn run(mut self) -> (Vec<EntryResult<EntryAnswer>>, Vec<MemoryPermit>) {
        let (frontend, context) = (self.frontend, self.context);
        let mut in_flight = FuturesUnordered::new();
        loop {
            for entry in self.batch.start_ready() {
                if let Some(StartedEntry { prepared, permits }) = self.start_entry(entry) {
                    let operation = frontend.run_operation(context, prepared, Some(entry), permits);
                    in_flight.push(async move { (entry, operation.await) });
                }
            }
            if self.batch.is_complete() {
                break;
            }
            if in_flight.is_empty() {
                // Entries that were rejected without being run have freed capacity for others.
                continue;
            }
            let next = in_flight.next();
            match frontend
                .wait_for_answer(context.pool, self.deadline, next)
                .await
            {
                Some(Some((entry, result))) => {
                    let result = self.entry_result(result);
                    self.batch.finish(entry, result);
                }
                _ => {
                    self.batch.end();
                    break;
                }
            }
            if frontend.is_exit_imminent() || Instant::now() >= self.deadline {
                self.batch.end();
                break;
            }
        }
        drop(in_flight);
        (self.batch.into_results(), self.answer_memory)
    }

    /// The result of an entry. The memory of its answer is kept for the answer to the batch.
    fn entry_result(&mut self, result: Result<Reply, RequestError>) -> EntryResult<EntryAnswer> {
        match result {
            // The attempt has validated the answer, so it is JSON.
            Ok(Reply::Served(answer)) => {
                let ValidatedAnswer { body, memory } = answer.into_validated();
                if memory.is_empty() {
                    let charged = self.frontend.shared().charge_buffer(body.len());
                    self.answer_memory.push(charged);
                }
                self.answer_memory.extend(memory);
                EntryResult::Answered(EntryAnswer { text: body })
            }
            Ok(Reply::Rejected { retry_after }) => EntryResult::Rejected(retry_after),
            Ok(Reply::Failed(_)) => EntryResult::Failed,
            Err(error) => error_result(&to_graphql_error(error)),
        }
    }

    /// Prepares an entry to be submitted; `None` if it has ended instead.
    fn start_entry(&mut self, entry: usize) -> Option<StartedEntry> {
        let prepared = match self.entries.get_mut(entry).and_then(Option::take) {
            Some(Ok(prepared)) => prepared,
            Some(Err(error)) => {
                self.batch.finish(entry, error_result(&error));
                return None;
            }
            None => {
                self.batch.finish(entry, EntryResult::NeverRan);
                return None;
            }
        };
        let Ok(admission) = self.admit_entry() else {
            let retry_after = retry_advice(self.service.max_retry_after.get());
            self.batch.finish(entry, EntryResult::Rejected(retry_after));
            return None;
        };
        let permits = OperationPermits {
            body_memory: self.body_memory.clone(),
            admission,
        };
        Some(StartedEntry { prepared, permits })
    }

    /// Admits an entry: the first one by the admission of the batch, each other one by its own.
    fn admit_entry(&mut self) -> Result<Option<Permit>, LimitExceeded> {
        match std::mem::replace(&mut self.admission, BatchAdmission::Used) {
            BatchAdmission::Unused(admission) => Ok(admission),
            BatchAdmission::Used => match self.service.service_id {
                Some(service_id) => self.frontend.shared().admit(service_id),
                None => Ok(None),
            },
        }
    }
}

fn error_result(error: &GraphQlError) -> EntryResult<EntryAnswer> {
    EntryResult::Answered(EntryAnswer {
        text: Bytes::from(answer::error_response(error).to_string()),
    })
}

fn batch_response(
    results: Vec<EntryResult<EntryAnswer>>,
    memory: Vec<MemoryPermit>,
    media: Media,
    service: &Service,
) -> HttpResponse {
    let is_rejected = can_be_rejected(&results);
    let status = if is_rejected {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    let mut response = json_response(status, media, answer::merge(results), memory);
    if is_rejected {
        set_retry_after(&mut response, retry_advice(service.max_retry_after.get()));
    }
    response
}
