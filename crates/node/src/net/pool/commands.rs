//! Executes the engine's commands over sockets and reports the progress of attempts to the engine.

use super::Pool;
use crate::net::answer::{Answer, Reply};
use crate::net::message::Message;
use crate::net::request_events::RequestEvent;
use crate::net::upstream::{self, AttemptDeadlines, ConnectionPool};
use reelfall_balancer::engine::{self, Command, Engine};
use reelfall_balancer::interface::{Outcome, RequestId, ServerId, Time};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// What the engine stores with a request while an attempt may be in flight.
pub(super) struct PendingRequest {
    message: Rc<Message>,
    /// The task of the latest attempt.
    task: Option<AbortHandle>,
}

impl PendingRequest {
    pub(super) fn new(message: Message) -> Self {
        PendingRequest {
            message: Rc::new(message),
            task: None,
        }
    }
}

/// An engine host whose attempts are HTTP exchanges over sockets.
pub(super) struct SocketHost;

impl engine::Host for SocketHost {
    type Payload = PendingRequest;
    type Reply = oneshot::Sender<Reply>;
    type Address = SocketAddr;
    type Answer = Box<Answer>;
}

/// An attempt that the engine has ordered.
struct AttemptCommand {
    request: RequestId,
    attempt: u32,
    server: ServerId,
    send_by: Time,
    deadline: Time,
    client_deadline: Time,
}

impl Pool {
    /// Calls the engine and executes the commands that it returns.
    pub(super) fn dispatch<R>(
        self: &Rc<Self>,
        call: impl FnOnce(&mut Engine<SocketHost>, Time, &mut Vec<Command<SocketHost>>) -> R,
    ) -> R {
        let mut commands = self.command_buffer.take();
        let result = call(
            &mut self.engine.borrow_mut(),
            self.shared.clock.now(),
            &mut commands,
        );
        for command in commands.drain(..) {
            self.execute(command);
        }
        self.command_buffer.set(commands);
        result
    }

    fn execute(self: &Rc<Self>, command: Command<SocketHost>) {
        match command {
            Command::Send {
                request,
                attempt,
                server,
                send_by,
                deadline,
                client_deadline,
            } => self.start_attempt(&AttemptCommand {
                request,
                attempt,
                server,
                send_by,
                deadline,
                client_deadline,
            }),
            Command::CancelAttempt { request, .. } => self.cancel_attempt(request),
            // The client may have just disconnected; the answer is dropped then.
            Command::Answer { to, answer, .. } => drop(to.send(answer)),
            Command::Watch => self.poll_requested.notify_one(),
            Command::StartTimer { after, tag } => self.start_timer(after, tag),
            Command::CloseConnections { server } => self.connections.remove_server(server),
            Command::ReleaseServerId { server } => self.names.borrow_mut().servers.release(server),
        }
    }

    fn start_attempt(self: &Rc<Self>, command: &AttemptCommand) {
        let mut engine = self.engine.borrow_mut();
        let server = engine.address(command.server).copied();
        let Some(pending) = engine.payload(command.request) else {
            return;
        };
        let (pool, message) = (self.clone(), pending.message.clone());
        if command.attempt > 0 {
            let attempt = command.attempt;
            let event = RequestEvent::Retried { attempt, server };
            self.shared.request_events.record(message.id(), &event);
        }
        let clock = &self.shared.clock;
        let times = AttemptDeadlines {
            send_by: clock.instant(command.send_by),
            answer_by: clock.instant(command.deadline),
            client_deadline: clock.instant(command.client_deadline),
        };
        let attempt = upstream::run_attempt(
            pool,
            command.request,
            command.attempt,
            command.server,
            message,
            times,
        );
        pending.task = Some(tokio::task::spawn_local(attempt).abort_handle());
    }

    fn cancel_attempt(&self, request: RequestId) {
        let task = self
            .engine
            .borrow_mut()
            .payload(request)
            .and_then(|pending| pending.task.take());
        if let Some(task) = task {
            task.abort();
        }
    }

    fn start_timer(self: &Rc<Self>, after: Time, tag: u64) {
        // A weak reference, so that a removed pool is freed with its last request and not with its last timer.
        let pool = Rc::downgrade(self);
        let after = Duration::try_from_secs_f64(after).unwrap_or_default();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(after).await;
            if let Some(pool) = pool.upgrade() {
                pool.dispatch(|engine, now, commands| engine.handle_timer(now, tag, commands));
            }
        });
    }
}

impl upstream::AttemptContext for Rc<Pool> {
    fn connections(&self) -> &ConnectionPool {
        &self.connections
    }

    fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.engine.borrow().address(server).copied()
    }

    fn is_answer_wanted(&self, request: RequestId) -> bool {
        let mut engine = self.engine.borrow_mut();
        engine.needs_answer(request)
            && engine
                .payload(request)
                .is_some_and(|pending| !pending.message.waiter.has_disconnected())
    }

    fn has_attempt_in_flight(&self, request: RequestId) -> bool {
        self.engine.borrow().has_attempt_in_flight(request)
    }

    fn mark_body_consumed(&self, request: RequestId) {
        self.engine.borrow_mut().mark_body_consumed(request);
    }

    fn finish_upload(&self, request: RequestId, last_byte_at: Instant) -> Option<Instant> {
        let last_byte_at = self.shared.clock.time(last_byte_at);
        let deadline = self.dispatch(|engine, now, commands| {
            engine.finish_upload(now, request, last_byte_at, commands)
        });
        deadline.map(|deadline| self.shared.clock.instant(deadline))
    }

    fn end_attempt(
        &self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        answer: Option<Answer>,
    ) {
        let answer = answer.map(Box::new);
        self.report_outcome(request, attempt, outcome);
        self.dispatch(|engine, now, commands| {
            engine.end_attempt(now, request, attempt, outcome, answer, commands);
        });
    }
}
