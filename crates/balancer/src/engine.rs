//! The requests in hand, their attempts, and the rules that no action may break.
//!
//! An [`Engine`] stands between a decision module and whatever sends requests for it. It owns the module and
//! every open request; what happens outside is told to it with the moment at which it happened, and what has to
//! be done comes out as [`Command`]s. It does no I/O, reads no clock and draws no random numbers, so a pool of a
//! running node and a test in virtual time drive the very same code.
//!
//! | state | owner | ends |
//! | --- | --- | --- |
//! | request | `Engine::requests` | with its final answer, or with its last attempt if that outlives the answer |
//! | attempt | its request | with [`Engine::ended`], once |
//! | server | `Engine::servers` | when a list says that it is gone, or no longer names it |
//! | number of a server that is gone | `Engine::servers` | [`NUMBER_RESTS`] later |

mod list;
mod servers;

pub use self::servers::NUMBER_RESTS;

use self::servers::Servers;
use crate::interface::*;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// What an attempt may take to its server, in seconds: a repeat has to arrive while the window for repeats lasts.
const ON_THE_WAY: Time = 0.01;

/// What decides: told of events, it answers with actions.
///
/// The one decision module is [`Balancer`](crate::Balancer); tests put others in its place, that try to break
/// the rules.
pub trait Decide {
    /// Takes one event and appends what has to be done about it.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);
}

impl Decide for crate::Balancer {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        crate::Balancer::handle(self, now, event, actions);
    }
}

/// The types that whoever sends the requests has for them.
pub trait Host {
    /// What is kept with a request until its last attempt has ended.
    type Payload;
    /// The way back to its client; it goes out with the final answer.
    type Reply;
    /// Where a server is reached.
    type Address: Clone + Eq + Hash;
    /// A server's answer.
    type Answer;
}

/// The one final answer of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Final<A> {
    /// A server's answer.
    Served(A),
    /// No, and a retry does no harm.
    Refused {
        /// When to come back, in seconds.
        retry_after: Option<Time>,
    },
    /// The outcome of its last attempt, if there was one.
    Failed(Option<Outcome>),
}

/// What the engine wants done. Commands are carried out in their order.
pub enum Command<H: Host> {
    /// Start an attempt; [`Engine::ended`] is owed for it.
    Send {
        /// The request.
        request: RequestId,
        /// Which attempt of it, from 0.
        attempt: u32,
        /// Where to.
        server: ServerId,
        /// Nothing of it is sent later than this.
        starts_by: Time,
        /// It ends by then.
        expires: Time,
    },
    /// Stop an attempt; nothing is owed for it any more.
    Abort {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Give a request its final answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The way back to its client.
        to: H::Reply,
        /// The answer.
        answer: Final<H::Answer>,
    },
    /// Ask for the server list, where it does not come by itself.
    Watch,
    /// Call [`Engine::timer`] after this time.
    Timer {
        /// From now, in seconds.
        after: Time,
        /// Comes back with the call.
        tag: u64,
    },
    /// Keep nothing of a server: it left, restarted, moved or drains.
    Forget {
        /// Which one.
        server: ServerId,
    },
    /// Nothing holds the number of a server any more.
    Release {
        /// Which one.
        server: ServerId,
    },
}

/// What the module is told of a request, and by when its final answer is due.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// Rough work, in seconds on a standard core.
    pub hint: Option<f64>,
    /// A hash of what it concerns.
    pub key: Option<u64>,
    /// Its final answer is due then; of a request whose body flows, the body has to be there by then.
    pub deadline: Time,
    /// How long after the last byte of its body the final answer is due, if its body flows.
    pub flows: Option<Time>,
}

/// A line of the server list with its address.
#[derive(Clone, Debug)]
pub struct Place<A> {
    /// What the module is told.
    pub entry: Endpoint,
    /// Where the server is reached.
    pub address: A,
}

struct Request<H: Host> {
    payload: H::Payload,
    deadline: Time,
    effect: Idempotency,
    /// Gone once the request has its final answer or its client left.
    reply: Option<H::Reply>,
    made: u32,
    /// When the first attempt was sent that may have run, if one was.
    ran: Option<Time>,
    out: Option<Out>,
    last: Option<Outcome>,
    /// Its body has yet to come, and how long after that the final answer is due.
    flows: Option<Time>,
    class: ClassId,
    /// When the last byte of a body that flowed was written.
    written: Option<Time>,
    /// Some of its body is gone, and it can't be sent again.
    spent: bool,
}

impl<H: Host> Request<H> {
    /// Until when a further attempt may be sent, as far as its effect goes: the second rule. A keyed one is not known for
    /// a repeat by its servers for ever.
    fn starts_by(&self) -> Time {
        match (self.effect, self.ran) {
            (_, None) | (Idempotency::Idempotent, _) => self.deadline,
            (Idempotency::AtMostOnce, Some(_)) => f64::NEG_INFINITY,
            (Idempotency::Keyed { window, .. }, Some(first)) => {
                self.deadline.min(first + window - ON_THE_WAY)
            }
        }
    }
}

struct Out {
    attempt: u32,
    server: ServerId,
    sent: Time,
}

/// A decision module with the requests and servers that it decides on.
pub struct Engine<H: Host, D = crate::Balancer> {
    module: D,
    effects: Vec<Idempotency>,
    max_attempts: u32,
    requests: HashMap<RequestId, Request<H>>,
    next: RequestId,
    servers: Servers<H::Address>,
    /// Kept between calls for their room.
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

impl<H: Host, D: Decide> Engine<H, D> {
    /// An engine without servers or requests. `classes` are those that the module knows.
    pub fn new(module: D, classes: &[Class], max_attempts: u32) -> Self {
        Engine {
            module,
            effects: classes.iter().map(|c| c.idempotency).collect(),
            max_attempts,
            requests: HashMap::new(),
            next: 0,
            servers: Servers::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// The module, for inspection.
    pub fn module(&self) -> &D {
        &self.module
    }

    /// Requests that have no final answer yet, or an attempt that is out.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// Where an attempt that is out went, of which class its request is, and since when a server is waited for.
    pub fn attempt_of(
        &self,
        request: RequestId,
        attempt: u32,
    ) -> Option<(ServerId, ClassId, Time)> {
        let r = self.requests.get(&request)?;
        let out = r.out.as_ref().filter(|out| out.attempt == attempt)?;
        Some((out.server, r.class, r.written.unwrap_or(out.sent)))
    }

    /// Attempts that are out and for whose answer a server is waited for: where, of which class, since when.
    pub fn waits(&self) -> impl Iterator<Item = (ServerId, ClassId, Time)> + '_ {
        // Nothing is waited for while the body is on its way.
        let all = self.requests.values().filter(|r| r.flows.is_none());
        all.filter_map(|r| {
            r.out
                .as_ref()
                .map(|out| (out.server, r.class, r.written.unwrap_or(out.sent)))
        })
    }

    /// What the nodes of a fleet hold of a server together; see [`Event::Told`].
    pub fn told(
        &mut self,
        now: Time,
        server: ServerId,
        until: Time,
        tries: bool,
        out: &mut Vec<Command<H>>,
    ) {
        self.feed(
            now,
            Event::PeerVerdict {
                server,
                until,
                is_prober: tries,
            },
            out,
        );
    }

    /// Some server may be sent to.
    pub fn has_servers(&self) -> bool {
        self.servers.any_up()
    }

    /// Whether the newest list names a server.
    pub fn lists(&self, server: ServerId) -> bool {
        self.servers.lists(server)
    }

    /// The address of a server, unless the newest list says that it drains or is gone.
    pub fn address(&self, server: ServerId) -> Option<&H::Address> {
        self.servers
            .get(server)
            .filter(|s| s.state == ServerState::Up)
            .map(|s| &s.address)
    }

    /// What is kept with a request.
    pub fn payload(&mut self, request: RequestId) -> Option<&mut H::Payload> {
        self.requests.get_mut(&request).map(|r| &mut r.payload)
    }

    /// Whether a request has no final answer yet, and nobody has said that its client has left.
    pub fn wanted(&self, request: RequestId) -> bool {
        self.requests
            .get(&request)
            .is_some_and(|r| r.reply.is_some())
    }

    /// Whether a further attempt of this request may be out.
    pub fn retried(&self, request: RequestId) -> bool {
        self.requests.get(&request).is_some_and(|r| r.out.is_some())
    }

    /// Takes a request in. One [`Command::Answer`] is owed for it from here on.
    pub fn submit(
        &mut self,
        now: Time,
        payload: H::Payload,
        reply: H::Reply,
        a: Arrival,
        out: &mut Vec<Command<H>>,
    ) -> RequestId {
        let id = self.next;
        self.next = self.next.wrapping_add(1);
        let request = Request {
            payload,
            deadline: a.deadline,
            // A class that is not known here is never taken for a safe one.
            effect: self
                .effects
                .get(usize::from(a.class))
                .copied()
                .unwrap_or(Idempotency::AtMostOnce),
            reply: Some(reply),
            made: 0,
            ran: None,
            out: None,
            last: None,
            flows: a.flows,
            class: a.class,
            written: None,
            spent: false,
        };
        self.requests.insert(id, request);
        let Arrival {
            class,
            tenant,
            hint,
            key,
            deadline,
            ..
        } = a;
        let left = deadline - now;
        self.feed(
            now,
            Event::Request {
                request: id,
                class,
                tenant,
                work_hint: hint,
                key,
                remaining: left,
            },
            out,
        );
        id
    }

    /// Some of a request's body is gone with an attempt: it goes to no other server. What never ran is still refused.
    pub fn spend(&mut self, request: RequestId) {
        if let Some(r) = self.requests.get_mut(&request) {
            r.spent = true;
        }
    }

    /// The last byte of a request's body has been written; gives when its final answer is due.
    pub fn written(
        &mut self,
        now: Time,
        request: RequestId,
        out: &mut Vec<Command<H>>,
    ) -> Option<Time> {
        let r = self.requests.get_mut(&request)?;
        let left = r.flows.take()?;
        (r.deadline, r.written) = (now + left, Some(now));
        let deadline = r.deadline;
        self.feed(
            now,
            Event::Upload {
                request,
                remaining: Some(left),
            },
            out,
        );
        Some(deadline)
    }

    /// The client has left, or has its answer from elsewhere: nothing new is sent. An attempt that is out runs
    /// on, so that its outcome teaches and its connection lives.
    pub fn gone(&mut self, now: Time, request: RequestId, out: &mut Vec<Command<H>>) {
        let Some(r) = self.requests.get_mut(&request) else {
            return;
        };
        if r.reply.take().is_none() {
            return;
        }
        self.tidy(request);
        self.feed(now, Event::ClientGone { request }, out);
    }

    /// An attempt has ended. `answer` is what a server answered; without one, `Delivered` gives no final answer.
    pub fn ended(
        &mut self,
        now: Time,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        answer: Option<H::Answer>,
        out: &mut Vec<Command<H>>,
    ) {
        let Some(r) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(o) = r.out.take_if(|o| o.attempt == attempt) else {
            return;
        };
        r.last = Some(outcome);
        if !never_ran(outcome) {
            r.ran.get_or_insert(o.sent);
        }
        if let Some((answer, to)) = answer.and_then(|a| Some((a, r.reply.take()?))) {
            out.push(Command::Answer {
                request,
                to,
                answer: Final::Served(answer),
            });
        }
        let ended = r.reply.is_none();
        self.tidy(request);
        let latency = now - o.sent;
        let event = Event::AttemptEnded {
            request,
            attempt,
            server: o.server,
            outcome,
            latency,
            request_ended: ended,
            load: None,
        };
        self.feed(now, event, out);
    }

    /// A timer came due.
    pub fn timer(&mut self, now: Time, tag: u64, out: &mut Vec<Command<H>>) {
        self.feed(now, Event::Timer { tag }, out);
    }

    fn feed(&mut self, now: Time, event: Event, out: &mut Vec<Command<H>>) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.module.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                if let Some(event) = self.act(now, action, out) {
                    self.events.push_back(event);
                }
            }
            self.actions = actions;
        }
    }

    /// Carries out an action; an attempt that may not be made comes back as unused.
    fn act(&mut self, now: Time, action: Action, out: &mut Vec<Command<H>>) -> Option<Event> {
        match action {
            Action::Attempt {
                request,
                server,
                timeout,
            } => {
                return self.attempt(now, request, server, timeout, out);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                // Guards the second rule against the module itself: a refusal tells the client that trying again
                // is harmless. Harm: none, the request has its final answer at the same moment.
                let r = self.requests.get(&request)?;
                let doubt =
                    (r.ran.is_some() || r.out.is_some()) && r.effect == Idempotency::AtMostOnce;
                let answer = if doubt {
                    Final::Failed(r.last)
                } else {
                    Final::Refused { retry_after }
                };
                self.close(request, answer, out);
            }
            Action::Fail { request } => {
                let last = self.requests.get(&request)?.last;
                self.close(request, Final::Failed(last), out);
            }
            Action::Cancel { request, attempt } => {
                let r = self.requests.get_mut(&request)?;
                let o = r.out.take_if(|o| o.attempt == attempt)?;
                out.push(Command::Abort { request, attempt });
                r.last = Some(Outcome::Cancelled);
                r.ran.get_or_insert(o.sent);
                let (server, latency, ended) = (o.server, now - o.sent, r.reply.is_none());
                self.tidy(request);
                let outcome = Outcome::Cancelled;
                return Some(Event::AttemptEnded {
                    request,
                    attempt,
                    server,
                    outcome,
                    latency,
                    request_ended: ended,
                    load: None,
                });
            }
            Action::Watch => out.push(Command::Watch),
            Action::StartTimer { after, tag } => out.push(Command::Timer { after, tag }),
            // Probes are allowed nowhere yet, and the module sends none.
            Action::HealthCheck { server } => {
                return Some(Event::HealthChecked {
                    server,
                    outcome: Outcome::NotSent,
                    load: None,
                });
            }
        }
        None
    }

    fn close(&mut self, request: RequestId, answer: Final<H::Answer>, out: &mut Vec<Command<H>>) {
        let Some(r) = self.requests.get_mut(&request) else {
            return;
        };
        if let Some(to) = r.reply.take() {
            out.push(Command::Answer {
                request,
                to,
                answer,
            });
        }
        self.tidy(request);
    }

    /// Lets a request go that has its final answer and of which nothing is out.
    fn tidy(&mut self, request: RequestId) {
        if self
            .requests
            .get(&request)
            .is_some_and(|r| r.reply.is_none() && r.out.is_none())
        {
            self.requests.remove(&request);
        }
    }

    /// Starts an attempt, but none after the end of a request or its deadline, past the most it may have, beside
    /// another, to a server that no list has named, or where a second effect could follow.
    fn attempt(
        &mut self,
        now: Time,
        request: RequestId,
        server: ServerId,
        timeout: Option<Time>,
        out: &mut Vec<Command<H>>,
    ) -> Option<Event> {
        let listed = self.servers.lists(server);
        let r = self.requests.get_mut(&request);
        let attempt = r.as_ref().map_or(0, |r| r.made);
        let open = |r: &&mut Request<H>| {
            let may = listed && r.reply.is_some() && r.out.is_none();
            may && !r.spent && r.made < self.max_attempts && now < r.starts_by()
        };
        let Some(r) = r.filter(open) else {
            if let Some(r) = self.requests.get_mut(&request) {
                r.made += 1;
            }
            let (outcome, ended) = (
                Outcome::NotSent,
                self.requests
                    .get(&request)
                    .is_none_or(|r| r.reply.is_none()),
            );
            return Some(Event::AttemptEnded {
                request,
                attempt,
                server,
                outcome,
                latency: 0.0,
                request_ended: ended,
                load: None,
            });
        };
        r.made += 1;
        r.out = Some(Out {
            attempt,
            server,
            sent: now,
        });
        // How long a body takes is its client's affair.
        let timeout = timeout.filter(|_| r.flows.is_none());
        let expires = timeout.map_or(r.deadline, |t| r.deadline.min(now + t.max(0.0)));
        out.push(Command::Send {
            request,
            attempt,
            server,
            starts_by: r.starts_by().min(expires),
            expires,
        });
        r.flows.map(|_| Event::Upload {
            request,
            remaining: None,
        })
    }
}

impl<H: Host> Engine<H> {
    /// Lets the module begin with what another has learned.
    pub fn adopt(&mut self, now: Time, learned: &LearnedState) {
        self.module.adopt(now, learned);
    }
}

/// Whether an attempt that ended so is known not to have run.
pub fn never_ran(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
    )
}
