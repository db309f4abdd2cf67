//! One pool of servers at work: feeds its [`Engine`] with what happens on the sockets and applies what the
//! engine wants done. No choice is made here.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `list` | the pool's list beside those of other pools, and what operators say |
//! | `outcome` | what the fleet is told of attempts |
//! | `peer` | what other pools ask of this one |

mod list;
mod outcome;
mod peer;

pub use list::ListOrigin;

use super::answer::{Answer, Reply};
use super::message::{Arrival, Message};
use super::shared::{PoolId, PoolPeer, Shared};
use super::upstream::{self, Times, Upstream};
use super::SeededRng;
use list::ServerList;
use reelfall_balancer::engine::{self, Command, Engine};
use reelfall_balancer::interface::*;
use reelfall_balancer::settings::{ConnectionSettings, NameRegistry, SettingsError};
use reelfall_balancer::Balancer;
use reelfall_routing::limits::Member;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;

/// What is kept with a request for as long as an attempt of it may be out.
struct Ticket {
    message: Rc<Message>,
    task: Option<AbortHandle>,
}

/// The engine's requests are sent over sockets.
struct Wire;

impl engine::Host for Wire {
    type Payload = Ticket;
    type Reply = oneshot::Sender<Reply>;
    type Address = SocketAddr;
    type Answer = Box<Answer>;
}

/// The engine of one pool and all that it acts on.
pub struct Pool {
    pub id: PoolId,
    engine: RefCell<Engine<Wire>>,
    /// Kept between calls for its room.
    commands: Cell<Vec<Command<Wire>>>,
    pub names: RefCell<NameRegistry>,
    pub shared: Rc<Shared>,
    /// What this pool's list says, where other lists may say something of the same servers.
    server_list: RefCell<ServerList>,
    /// Whether a server that the list no longer names has ended, or may serve others still.
    list_origin: ListOrigin,
    /// A server is warm so long after its start, in seconds.
    slow_start_duration: Time,
    /// Cold servers that this pool may not send to until then.
    withheld_until: RefCell<HashMap<SocketAddr, Time>>,
    pub classes: Vec<Class>,
    pub upstream: Upstream,
    pub connection_settings: ConnectionSettings,
    /// The module asks for a watch.
    pub poll_requested: Notify,
    /// A list has come.
    pub list_received: Notify,
    /// Requests can be served.
    pub is_ready: Cell<bool>,
    /// When the source of the list was last heard, where that tells how old the list is.
    pub source_last_contact: Cell<Option<Time>>,
    discovery_mode: Discovery,
    /// For rests that must not come in step with other nodes'.
    pub rng: SeededRng,
}

impl Pool {
    /// A pool without servers, for one life of a node.
    ///
    /// # Errors
    /// Says which setting cannot be used.
    pub fn new(
        settings: Settings,
        names: NameRegistry,
        figures: ConnectionSettings,
        seed: u64,
        missing: ListOrigin,
        shared: Rc<Shared>,
        member: Option<Member>,
    ) -> Result<Rc<Self>, SettingsError> {
        let (classes, conn_idle) = (
            settings.classes.clone(),
            settings.limits.idle_connection_timeout,
        );
        let (max_attempts, discovery) = (settings.limits.max_attempts, settings.discovery);
        let warm_after = settings.rules.slow_start_duration;
        let module = Balancer::new(settings, seed, shared.clock.now())?;
        let listed = shared.listed_by_pool();
        let upstream = Upstream::new(shared.clone(), member, conn_idle, figures.connect_timeout);
        let pool = Rc::new(Pool {
            id: shared.next_pool_id(),
            engine: RefCell::new(Engine::new(module, &classes, max_attempts)),
            commands: Cell::default(),
            names: RefCell::new(names),
            shared,
            server_list: RefCell::new(ServerList::new(listed)),
            list_origin: missing,
            slow_start_duration: warm_after,
            withheld_until: RefCell::default(),
            classes,
            upstream,
            connection_settings: figures,
            poll_requested: Notify::new(),
            list_received: Notify::new(),
            is_ready: Cell::new(false),
            source_last_contact: Cell::new(None),
            discovery_mode: discovery,
            rng: SeededRng::new(seed),
        });
        pool.shared
            .register_pool(pool.id, &(pool.clone() as Rc<dyn PoolPeer>));
        Ok(pool)
    }

    /// Lists come by themselves, or only when asked for.
    pub fn uses_push_discovery(&self) -> bool {
        self.discovery_mode == Discovery::Push
    }

    /// Some server may be sent to.
    pub fn has_servers(&self) -> bool {
        self.engine.borrow().has_available_server()
    }

    /// Seconds since the source of the list was last heard, where that tells how old the list is.
    pub fn list_age(&self) -> Option<Time> {
        self.source_last_contact
            .get()
            .map(|heard| (self.shared.clock.now() - heard).max(0.0))
    }

    /// Where a server of this list is, where several pools may list it.
    pub fn address_of(&self, server: ServerId) -> Option<SocketAddr> {
        self.server_list
            .borrow()
            .endpoints
            .get(&server)
            .map(|p| p.address)
    }

    /// What the module has learned, for a process that takes over.
    pub fn learned_state(&self) -> serde_json::Value {
        let learned = self
            .engine
            .borrow()
            .module()
            .learned(self.shared.clock.now());
        // Numbers and plain lists always have a form.
        serde_json::to_value(learned).unwrap_or_default()
    }

    /// Restores what another process has learned; what can't be read is left.
    pub fn restore_learned_state(&self, learned: &serde_json::Value) {
        match LearnedState::deserialize(learned) {
            Ok(learned) => self
                .engine
                .borrow_mut()
                .adopt(self.shared.clock.now(), &learned),
            Err(e) => self
                .shared
                .log
                .write_line(format_args!("what was learned can't be read: {e}")),
        }
    }

    /// Requests that have no final answer yet, or an attempt that is out.
    pub fn open_requests(&self) -> usize {
        self.engine.borrow().open_requests()
    }

    /// Accepts a request. Its final answer comes over the channel.
    pub fn submit(
        self: &Rc<Self>,
        message: Message,
        a: Arrival,
    ) -> (RequestId, oneshot::Receiver<Reply>) {
        let (reply, answer) = oneshot::channel();
        let Arrival {
            class,
            tenant,
            hint,
            key,
            deadline,
            flows,
        } = a;
        let deadline = self.shared.clock.time(deadline);
        let flows = flows.map(|flows| flows.as_secs_f64());
        let arrival = engine::Arrival {
            class,
            tenant,
            work_hint: hint,
            key,
            deadline,
            time_after_upload: flows,
        };
        let ticket = Ticket {
            message: Rc::new(message),
            task: None,
        };
        let id = self.dispatch(|engine, now, out| engine.submit(now, ticket, reply, arrival, out));
        (id, answer)
    }

    /// The client has left, or has its answer from elsewhere: nothing new is sent.
    pub fn cancel(self: &Rc<Self>, id: RequestId) {
        self.dispatch(|engine, now, out| engine.abandon(now, id, out));
    }

    /// Tells the engine something and applies what it wants done.
    fn dispatch<R>(
        self: &Rc<Self>,
        what: impl FnOnce(&mut Engine<Wire>, Time, &mut Vec<Command<Wire>>) -> R,
    ) -> R {
        let mut commands = self.commands.take();
        let result = what(
            &mut self.engine.borrow_mut(),
            self.shared.clock.now(),
            &mut commands,
        );
        for command in commands.drain(..) {
            self.apply(command);
        }
        self.commands.set(commands);
        result
    }

    fn apply(self: &Rc<Self>, command: Command<Wire>) {
        match command {
            Command::Send {
                request,
                attempt,
                server,
                send_by: starts_by,
                deadline: expires,
            } => {
                let mut engine = self.engine.borrow_mut();
                let Some(ticket) = engine.payload(request) else {
                    return;
                };
                let (pool, message) = (self.clone(), ticket.message.clone());
                let clock = &self.shared.clock;
                let times = Times {
                    starts_by: clock.instant(starts_by),
                    expires: clock.instant(expires),
                };
                let run = upstream::attempt(pool, request, attempt, server, message, times);
                ticket.task = Some(tokio::task::spawn_local(run).abort_handle());
            }
            Command::CancelAttempt { request, .. } => {
                let task = self
                    .engine
                    .borrow_mut()
                    .payload(request)
                    .and_then(|t| t.task.take());
                if let Some(task) = task {
                    task.abort();
                }
            }
            // The client may have left in this very moment; the answer is dropped with it.
            Command::Answer { to, answer, .. } => drop(to.send(answer)),
            Command::Watch => self.poll_requested.notify_one(),
            Command::StartTimer { after, tag } => {
                // A pool that is removed ends with its last request, not with its last timer.
                let pool = Rc::downgrade(self);
                let after = Duration::try_from_secs_f64(after).unwrap_or_default();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(after).await;
                    if let Some(pool) = pool.upgrade() {
                        pool.dispatch(|engine, now, out| engine.handle_timer(now, tag, out));
                    }
                });
            }
            Command::CloseConnections { server } => self.upstream.forget(server),
            Command::ReleaseServerId { server } => self.names.borrow_mut().servers.release(server),
        }
    }
}

impl upstream::Host for Rc<Pool> {
    fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.engine.borrow().address(server).copied()
    }

    fn wanted(&self, request: RequestId) -> bool {
        let mut engine = self.engine.borrow_mut();
        engine.needs_answer(request)
            && engine
                .payload(request)
                .is_some_and(|t| !t.message.waiter.has_left())
    }

    fn retried(&self, request: RequestId) -> bool {
        self.engine.borrow().has_attempt_in_flight(request)
    }

    fn spend(&self, request: RequestId) {
        self.engine.borrow_mut().mark_body_consumed(request);
    }

    fn written(&self, request: RequestId) -> Option<Instant> {
        let deadline = self.dispatch(|engine, now, out| engine.finish_upload(now, request, out));
        deadline.map(|deadline| self.shared.clock.instant(deadline))
    }

    fn ended(&self, request: RequestId, attempt: u32, outcome: Outcome, answer: Option<Answer>) {
        let answer = answer.map(Box::new);
        self.report_outcome(request, attempt, outcome);
        self.dispatch(|engine, now, out| {
            engine.end_attempt(now, request, attempt, outcome, answer, out)
        });
    }
}
