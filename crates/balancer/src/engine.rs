//! The requests in flight, their attempts, and the rules that no action may break.
//!
//! An [`Engine`] stands between a decision module and whatever sends requests for it. It owns the module and every open
//! request; what happens outside is reported to it with its time, and what has to be done is returned as [`Command`]s. It
//! does no I/O, reads no clock and draws no random numbers, so that a pool of a running node and a test in virtual time
//! run the same code.
//!
//! | state | owner | ends |
//! | --- | --- | --- |
//! | request | `Engine::requests` | with its final answer, or with its last attempt if that ends later |
//! | attempt | its request | with [`Engine::end_attempt`], once |
//! | server | `Engine::servers` | when a list says that it was removed, or does not name it any more |
//! | identifier of a removed server | `Engine::servers` | [`SERVER_ID_QUARANTINE`] later |
//!
//! | module | responsibility |
//! | --- | --- |
//! | `command` | what the engine requests, and what it is given |
//! | `request` | one request and its attempts, and whether another may be sent |
//! | `attempts` | starting, ending and cancelling attempts; final answers |
//! | `endpoint_list` | updates of the endpoint list |
//! | `servers` | the listed servers, and identifiers of those that were removed |

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

/// A decision module: it is given events and returns actions.
///
/// There is one, [`Balancer`](crate::Balancer); tests use others, which try to break the rules.
pub trait DecisionModule {
    /// Handles one event and appends the actions that the node has to take.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);
}

impl DecisionModule for crate::Balancer {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        crate::Balancer::handle(self, now, event, actions);
    }
}

/// The types of whoever sends the requests.
pub trait Host {
    /// What is stored with a request until its last attempt has ended.
    type Payload;
    /// The way back to the client; it is returned with the final answer.
    type Reply;
    /// The address of a server.
    type Address: Clone + Eq + Hash;
    /// A server's response.
    type Answer;
}

/// A decision module with the requests and servers that it decides on.
pub struct Engine<H: Host, D = crate::Balancer> {
    module: D,
    idempotency_by_class: Vec<Idempotency>,
    max_attempts: u32,
    requests: HashMap<RequestId, Request<H>>,
    next_request: RequestId,
    servers: Servers<H::Address>,
    /// Events that the module has yet to handle; kept to reuse the allocation.
    events: VecDeque<Event>,
    /// Kept to reuse the allocation.
    actions: Vec<Action>,
}

impl<H: Host, D: DecisionModule> Engine<H, D> {
    /// An engine without servers or requests. `classes` are those that the module was given.
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

    /// Number of requests that have no final answer yet, or an attempt in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// An attempt in flight.
    pub fn attempt_in_flight(&self, request: RequestId, attempt: u32) -> Option<AwaitedAttempt> {
        let awaited = self.requests.get(&request)?.attempt_in_flight();
        awaited
            .filter(|(number, _)| *number == attempt)
            .map(|(_, awaited)| awaited)
    }

    /// The attempts in flight whose servers are expected to respond; while its body is uploaded, none is.
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

    /// Whether the latest list names a server.
    pub fn is_listed(&self, server: ServerId) -> bool {
        self.servers.is_listed(server)
    }

    /// The address of a server, unless the latest list says that it drains or was removed.
    pub fn address(&self, server: ServerId) -> Option<&H::Address> {
        let listed = self.servers.get(server)?;
        (listed.state == ServerState::Up).then_some(&listed.address)
    }

    /// What is stored with a request.
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

    /// Accepts a request. Exactly one [`Command::Answer`] follows, at once or later.
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
        // An unknown class is never taken for an idempotent one.
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

    /// A part of a request's body was consumed by an attempt, so that it can't be sent to another server. A request that
    /// never ran is still rejected, not failed.
    pub fn mark_body_consumed(&mut self, request: RequestId) {
        if let Some(request) = self.requests.get_mut(&request) {
            request.mark_body_consumed();
        }
    }

    /// The last byte of a request's body was written; returns when its final answer is due.
    pub fn finish_upload(
        &mut self,
        now: Time,
        request: RequestId,
        commands: &mut Vec<Command<H>>,
    ) -> Option<Time> {
        let uploaded = self.requests.get_mut(&request)?.finish_upload(now)?;
        let event = Event::Upload {
            request,
            remaining: Some(uploaded.remaining),
        };
        self.handle_event(now, event, commands);
        Some(uploaded.deadline)
    }

    /// The client is gone, or was answered by other means. Nothing new is sent; an attempt in flight goes on, so that its
    /// outcome is learned and its connection can be reused.
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

    /// The nodes of a cluster agree that a server is faulty; see [`Event::PeerVerdict`].
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

    /// The nodes of a cluster have found that a server responds again; see [`Event::PeerReadmission`].
    pub fn readmit(&mut self, now: Time, server: ServerId, commands: &mut Vec<Command<H>>) {
        self.handle_event(now, Event::PeerReadmission { server }, commands);
    }

    /// A timer has expired.
    pub fn handle_timer(&mut self, now: Time, tag: u64, commands: &mut Vec<Command<H>>) {
        self.handle_event(now, Event::Timer { tag }, commands);
    }

    /// Gives an event to the module and carries out its actions, which may cause further events.
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
    /// Lets the module start with what another has learned.
    pub fn adopt(&mut self, now: Time, learned: &LearnedState) {
        self.module.adopt(now, learned);
    }
}
