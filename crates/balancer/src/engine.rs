//! The open requests, their attempts, and the rules that no action may break.
//!
//! An [`Engine`] mediates between a decision module and the host that sends its requests. It owns the module and every
//! open request. The host reports events with their times and carries out the returned [`Command`]s. The engine does no
//! I/O, reads no clock and draws no random numbers, so that a pool of a running node and a test in virtual time run the
//! same code.
//!
//! | state | owner | end of its life |
//! | --- | --- | --- |
//! | request | `Engine::requests` | with its final answer, or with its last attempt if that ends later |
//! | attempt | its request | with [`Engine::end_attempt`], once |
//! | server | `Engine::servers` | when an update removes it, or a complete list does not contain it |
//! | identifier of a removed server | `Engine::servers` | [`SERVER_ID_QUARANTINE`] after the removal |
//!
//! | module | responsibility |
//! | --- | --- |
//! | `command` | commands to the host, and the data that it reports |
//! | `request` | one request and its attempts, and whether another attempt may be sent |
//! | `attempts` | starting, ending and cancelling attempts; final answers |
//! | `endpoint_list` | updates of the endpoint list |
//! | `servers` | the listed servers, and the identifiers of removed ones |

mod attempts;
mod command;
mod endpoint_list;
mod request;
mod servers;

pub use self::command::{AddressedEndpoint, Arrival, AwaitedAttempt, Command, FinalAnswer};
pub use self::servers::SERVER_ID_QUARANTINE;

use self::request::Request;
use self::servers::Servers;
use crate::interface::{
    Action, Class, Event, Idempotency, LearnedState, RequestId, ServerId, ServerState, Time,
};
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// A decision module, which handles events and returns actions.
///
/// [`Balancer`](crate::Balancer) is the only one in production; tests use others that try to break the rules.
pub trait DecisionModule {
    /// Handles one event and appends the actions that the node has to take.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);
}

impl DecisionModule for crate::Balancer {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        crate::Balancer::handle(self, now, event, actions);
    }
}

/// The types of the code that sends the requests and carries out the commands.
pub trait Host {
    /// Data that is stored with a request until its last attempt has ended.
    type Payload;
    /// A handle for answering the client; it is returned with the final answer.
    type Reply;
    /// The address of a server.
    type Address: Clone + Eq + Hash;
    /// A server's response.
    type Answer;
}

/// Holds a decision module with its requests and servers, and enforces the rules.
pub struct Engine<H: Host, D = crate::Balancer> {
    module: D,
    idempotency_by_class: Vec<Idempotency>,
    max_attempts: u32,
    requests: HashMap<RequestId, Request<H>>,
    next_request: RequestId,
    servers: Servers<H::Address>,
    /// Events that the module has yet to handle; kept to reuse the allocation.
    events: VecDeque<Event>,
    /// Actions of the module on the last event; kept to reuse the allocation.
    actions: Vec<Action>,
}

impl<H: Host, D: DecisionModule> Engine<H, D> {
    /// Creates an engine without servers or requests. `classes` must be those in the settings of the module.
    pub fn new(module: D, classes: &[Class], max_attempts: u32) -> Self {
        Engine {
            module,
            idempotency_by_class: classes.iter().map(|class| class.idempotency).collect(),
            max_attempts,
            requests: HashMap::new(),
            next_request: 0,
            servers: Servers::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// The decision module, for inspection.
    pub fn module(&self) -> &D {
        &self.module
    }

    /// Number of requests that have no final answer yet or have an attempt in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the attempt with this number, if it is in flight.
    pub fn attempt_in_flight(&self, request: RequestId, attempt: u32) -> Option<AwaitedAttempt> {
        let awaited = self.requests.get(&request)?.attempt_in_flight();
        awaited
            .filter(|(number, _)| *number == attempt)
            .map(|(_, awaited)| awaited)
    }

    /// The attempts in flight whose servers are expected to respond. Those whose body is still being uploaded are left
    /// out.
    pub fn awaited_attempts(&self) -> impl Iterator<Item = AwaitedAttempt> + '_ {
        let uploaded = self
            .requests
            .values()
            .filter(|request| !request.is_uploading());
        uploaded.filter_map(|request| request.attempt_in_flight().map(|(_, awaited)| awaited))
    }

    /// Whether any server can be sent to.
    pub fn has_available_server(&self) -> bool {
        self.servers.any_up()
    }

    /// Whether a server is listed, in any state.
    pub fn is_listed(&self, server: ServerId) -> bool {
        self.servers.is_listed(server)
    }

    /// The address of a server; `None` if it drains or is not listed.
    pub fn address(&self, server: ServerId) -> Option<&H::Address> {
        let listed = self.servers.get(server)?;
        (listed.state == ServerState::Up).then_some(&listed.address)
    }

    /// The payload of a request, while the request is open.
    pub fn payload(&mut self, request: RequestId) -> Option<&mut H::Payload> {
        self.requests
            .get_mut(&request)
            .map(|request| &mut request.payload)
    }

    /// Whether a request still needs its final answer.
    pub fn needs_answer(&self, request: RequestId) -> bool {
        self.requests
            .get(&request)
            .is_some_and(Request::needs_answer)
    }

    /// Whether an attempt of a request is in flight.
    pub fn has_attempt_in_flight(&self, request: RequestId) -> bool {
        self.requests
            .get(&request)
            .is_some_and(Request::has_attempt_in_flight)
    }

    /// Accepts a request and returns its identifier. Unless it is abandoned, exactly one [`Command::Answer`] follows,
    /// at once or later.
    pub fn submit(
        &mut self,
        now: Time,
        payload: H::Payload,
        reply: H::Reply,
        arrival: Arrival,
        commands: &mut Vec<Command<H>>,
    ) -> RequestId {
        let id = self.next_request;
        self.next_request = self.next_request.wrapping_add(1);
        // Requests of an unknown class are never repeated.
        let idempotency = self
            .idempotency_by_class
            .get(usize::from(arrival.class))
            .copied();
        let idempotency = idempotency.unwrap_or(Idempotency::AtMostOnce);
        self.requests
            .insert(id, Request::new(payload, reply, &arrival, idempotency));
        let event = Event::Request {
            request: id,
            class: arrival.class,
            tenant: arrival.tenant,
            work_hint: arrival.work_hint,
            key: arrival.key,
            remaining: arrival.deadline - now,
        };
        self.handle_event(now, event, commands);
        id
    }

    /// Records that an attempt has consumed a part of a streamed body, so that the request can't be sent again. One
    /// that never ran is still rejected and not failed.
    pub fn mark_body_consumed(&mut self, request: RequestId) {
        if let Some(request) = self.requests.get_mut(&request) {
            request.mark_body_consumed();
        }
    }

    /// Records that the last byte of a streamed body was written; returns when the final answer is due, which follows
    /// from when its client had written that byte. Returns `None` if no upload was in progress.
    pub fn finish_upload(
        &mut self,
        now: Time,
        request: RequestId,
        last_byte_at: Time,
        commands: &mut Vec<Command<H>>,
    ) -> Option<Time> {
        let open = self.requests.get_mut(&request)?;
        let uploaded = open.finish_upload(now, last_byte_at)?;
        let event = Event::Upload {
            request,
            remaining: Some(uploaded.remaining),
        };
        self.handle_event(now, event, commands);
        Some(uploaded.deadline)
    }

    /// Records that the client has disconnected or was answered by other means. No further attempt is sent. An attempt
    /// in flight continues, so that the module learns its outcome and its connection can be reused.
    pub fn abandon(&mut self, now: Time, request: RequestId, commands: &mut Vec<Command<H>>) {
        let Some(abandoned) = self.requests.get_mut(&request) else {
            return;
        };
        if abandoned.take_reply().is_none() {
            return;
        }
        self.remove_if_finished(request);
        self.handle_event(now, Event::ClientGone { request }, commands);
    }

    /// Reports that the nodes of the cluster agree that a server is faulty; see [`Event::PeerVerdict`].
    pub fn set_peer_verdict(
        &mut self,
        now: Time,
        server: ServerId,
        until: Time,
        is_prober: bool,
        commands: &mut Vec<Command<H>>,
    ) {
        let event = Event::PeerVerdict {
            server,
            until,
            is_prober,
        };
        self.handle_event(now, event, commands);
    }

    /// Reports that the nodes of the cluster have found that a server responds again; see [`Event::PeerReadmission`].
    pub fn readmit(&mut self, now: Time, server: ServerId, commands: &mut Vec<Command<H>>) {
        self.handle_event(now, Event::PeerReadmission { server }, commands);
    }

    /// Reports that a timer with this tag has expired.
    pub fn handle_timer(&mut self, now: Time, tag: u64, commands: &mut Vec<Command<H>>) {
        self.handle_event(now, Event::Timer { tag }, commands);
    }

    /// Passes an event to the module and carries out its actions, including those on the events that they cause.
    fn handle_event(&mut self, now: Time, event: Event, commands: &mut Vec<Command<H>>) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.module.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                let caused = self.carry_out(now, action, commands);
                self.events.extend(caused);
            }
            self.actions = actions;
        }
    }

    /// Removes a request that has its final answer and no attempt in flight.
    fn remove_if_finished(&mut self, request: RequestId) {
        if self
            .requests
            .get(&request)
            .is_some_and(Request::is_finished)
        {
            self.requests.remove(&request);
        }
    }
}

impl<H: Host> Engine<H> {
    /// Passes the learned state of another balancer to the module.
    pub fn adopt(&mut self, now: Time, learned: &LearnedState) {
        self.module.adopt(now, learned);
    }
}
