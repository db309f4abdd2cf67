//! Every order of loss, delay, duplication, reordering, restart, forgetting and time-out that two tickets can meet, explored
//! by a model checker. What is explored is the code that runs: only the network and the servers are models.

use reelfall_gateway::forwarded::{Action, ForwardResult, ForwardedRequest};
use reelfall_gateway::store::{Admission, TicketStore};
use reelfall_gateway::ticket::{OriginId, Ticket, TicketStatus};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;

const DEADLINE: u64 = 100;
const QUERY_INTERVAL: u64 = 10;
const RETENTION: u64 = 1000;

/// What is on its way. Messages are a multiset: each can be lost, come late, or out of order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Offer(u64, u64),
    Query(u64, u64),
    /// The status of a ticket, by an incarnation of the peer.
    Status(u64, u64, ReportedStatus),
}

/// A status as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum ReportedStatus {
    NeverRan,
    InProgress,
    Completed,
    Failed,
    Unknown,
}

impl ReportedStatus {
    fn of(status: &TicketStatus<()>) -> ReportedStatus {
        match status {
            TicketStatus::NeverRan => ReportedStatus::NeverRan,
            TicketStatus::InProgress => ReportedStatus::InProgress,
            TicketStatus::Completed(()) => ReportedStatus::Completed,
            TicketStatus::Failed => ReportedStatus::Failed,
            TicketStatus::Unknown => ReportedStatus::Unknown,
        }
    }

    fn status(&self) -> TicketStatus<()> {
        match self {
            ReportedStatus::NeverRan => TicketStatus::NeverRan,
            ReportedStatus::InProgress => TicketStatus::InProgress,
            ReportedStatus::Completed => TicketStatus::Completed(()),
            ReportedStatus::Failed => TicketStatus::Failed,
            ReportedStatus::Unknown => TicketStatus::Unknown,
        }
    }
}

/// What the client received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Outcome {
    Answer,
    /// It never ran, and a repeat is harmless.
    Refused,
    /// It ran here.
    Here,
    MayHaveRun,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Request {
    forwarded: ForwardedRequest,
    outcomes: Vec<Outcome>,
    /// Effects at the peer, and at the origin.
    executions_at_peer: u8,
    executions_at_origin: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    requests: Vec<Request>,
    store: TicketStore<()>,
    incarnation: u64,
    net: BTreeMap<Message, u8>,
    /// Tickets that run at the peer.
    running: Vec<u64>,
    /// What may still happen, so that the world ends.
    duplicates: u8,
    restarts: u8,
    expiries: u8,
    queries: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Deliver(Message),
    Lose(Message),
    Duplicate(Message),
    LinkFails(u64),
    QueryAgain(u64),
    Deadline(u64),
    /// What runs at the peer ends: with an answer, with none, or refused before it began.
    Completes(u64, bool),
    Rejected(u64),
    Restart,
    Expire,
}

/// Which part is taken out, to see that the checker finds what it guards against.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disabled {
    Nothing,
    /// A query leaves no fence.
    Fence,
    /// A later incarnation admits what was offered to the one before, and reports on it.
    Incarnation,
    /// A removed record raises no floor.
    Floor,
}

struct Gateway {
    requests: u64,
    max_records: usize,
    /// Whether the origin runs what never ran at the peer, or refuses it.
    runs_at_origin: bool,
    disabled: Disabled,
    /// How often something may be duplicated, the peer restart, and what has ended be forgotten.
    faults: [u8; 3],
}

fn ticket(number: u64) -> Ticket {
    Ticket {
        origin: OriginId {
            node: 1,
            incarnation: 7,
        },
        number,
    }
}

impl Gateway {
    fn new_store(&self, incarnation: u64) -> TicketStore<()> {
        TicketStore::new(incarnation, RETENTION, self.max_records)
    }

    fn send(world: &mut World, message: Message) {
        *world.net.entry(message).or_default() += 1;
    }

    fn remove_message(world: &mut World, message: &Message) -> bool {
        match world.net.get_mut(message) {
            Some(1) => world.net.remove(message).is_some(),
            Some(n) => {
                *n -= 1;
                true
            }
            None => false,
        }
    }

    fn act(&self, world: &mut World, number: u64, action: Action<()>) {
        let request = &mut world.requests[number as usize];
        match action {
            Action::Wait => {}
            Action::Query => {
                let offered_to = request.forwarded.offered_to;
                Self::send(world, Message::Query(number, offered_to));
            }
            Action::Finish(ForwardResult::Answered(())) => request.outcomes.push(Outcome::Answer),
            Action::Finish(ForwardResult::MayHaveRun) => request.outcomes.push(Outcome::MayHaveRun),
            Action::Finish(ForwardResult::NeverRan) if self.runs_at_origin => {
                request.executions_at_origin += 1;
                request.outcomes.push(Outcome::Here);
            }
            Action::Finish(ForwardResult::NeverRan) => request.outcomes.push(Outcome::Refused),
        }
    }

    fn deliver(&self, world: &mut World, message: &Message) {
        let now = 0;
        let incarnation = world.incarnation;
        match message {
            Message::Offer(number, to) => {
                let to = if self.disabled == Disabled::Incarnation {
                    incarnation
                } else {
                    *to
                };
                match world.store.admit(now, ticket(*number), to) {
                    Admission::Execute => world.running.push(*number),
                    Admission::Reply(status) => Self::send(
                        world,
                        Message::Status(*number, incarnation, ReportedStatus::of(&status)),
                    ),
                }
            }
            Message::Query(number, to) => {
                let before = world.store.clone();
                let to = if self.disabled == Disabled::Incarnation {
                    incarnation
                } else {
                    *to
                };
                let status = world.store.query(now, ticket(*number), to);
                if self.disabled == Disabled::Fence {
                    world.store = before;
                }
                Self::send(
                    world,
                    Message::Status(*number, incarnation, ReportedStatus::of(&status)),
                );
            }
            Message::Status(number, by, status) => {
                let request = &mut world.requests[*number as usize];
                let by = if self.disabled == Disabled::Incarnation {
                    request.forwarded.offered_to
                } else {
                    *by
                };
                let action = request.forwarded.handle_status(by, status.status());
                self.act(world, *number, action);
            }
        }
    }
}

impl Model for Gateway {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let request = || Request {
            forwarded: ForwardedRequest::new(1, DEADLINE, QUERY_INTERVAL),
            outcomes: vec![],
            executions_at_peer: 0,
            executions_at_origin: 0,
        };
        let net = (0..self.requests)
            .map(|n| (Message::Offer(n, 1), 1))
            .collect();
        vec![World {
            requests: (0..self.requests).map(|_| request()).collect(),
            store: self.new_store(1),
            incarnation: 1,
            net,
            running: vec![],
            duplicates: self.faults[0],
            restarts: self.faults[1],
            expiries: self.faults[2],
            queries: 1,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for message in world.net.keys() {
            steps.push(Step::Deliver(message.clone()));
            steps.push(Step::Lose(message.clone()));
            if world.duplicates > 0 {
                steps.push(Step::Duplicate(message.clone()));
            }
        }
        for (n, request) in world.requests.iter().enumerate() {
            let n = n as u64;
            if !request.forwarded.is_ended() {
                steps.push(Step::Deadline(n));
                if request.forwarded.due() == Some(DEADLINE) {
                    steps.push(Step::LinkFails(n));
                } else if world.queries > 0 {
                    steps.push(Step::QueryAgain(n));
                }
            }
        }
        for n in &world.running {
            steps.extend([
                Step::Completes(*n, true),
                Step::Completes(*n, false),
                Step::Rejected(*n),
            ]);
        }
        if world.restarts > 0 {
            steps.push(Step::Restart);
        }
        if world.expiries > 0 && world.store.record_count() > 0 {
            steps.push(Step::Expire);
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        match step {
            Step::Deliver(message) => {
                Self::remove_message(&mut world, &message);
                self.deliver(&mut world, &message);
            }
            Step::Lose(message) => drop(Self::remove_message(&mut world, &message)),
            Step::Duplicate(message) => {
                world.duplicates -= 1;
                Self::send(&mut world, message);
            }
            Step::LinkFails(n) => {
                let action = world.requests[n as usize].forwarded.link_failed(0);
                self.act(&mut world, n, action);
            }
            Step::QueryAgain(n) => {
                world.queries -= 1;
                let action = world.requests[n as usize].forwarded.tick(QUERY_INTERVAL);
                self.act(&mut world, n, action);
            }
            Step::Deadline(n) => {
                let action = world.requests[n as usize].forwarded.tick(DEADLINE);
                self.act(&mut world, n, action);
            }
            Step::Completes(n, answered) => {
                world.running.retain(|r| *r != n);
                world.requests[n as usize].executions_at_peer += 1;
                world.store.complete(0, ticket(n), answered.then_some(()));
                let status = if answered {
                    ReportedStatus::Completed
                } else {
                    ReportedStatus::Failed
                };
                let by = world.incarnation;
                Self::send(&mut world, Message::Status(n, by, status));
            }
            Step::Rejected(n) => {
                world.running.retain(|r| *r != n);
                world.store.reject(0, ticket(n));
                let by = world.incarnation;
                Self::send(&mut world, Message::Status(n, by, ReportedStatus::NeverRan));
            }
            Step::Restart => {
                world.restarts -= 1;
                world.incarnation += 1;
                // What ran had its effect, or will have it: the servers behind the peer's node go on.
                for n in std::mem::take(&mut world.running) {
                    world.requests[n as usize].executions_at_peer += 1;
                }
                world.store = self.new_store(world.incarnation);
            }
            Step::Expire => {
                world.expiries -= 1;
                if self.disabled == Disabled::Floor {
                    // All records of requests that have ended are gone without a trace; the others stay.
                    let in_progress = world.running.clone();
                    world.store = self.new_store(world.incarnation);
                    for n in in_progress {
                        world.store.admit(0, ticket(n), world.incarnation);
                    }
                } else {
                    world.store.tick(RETENTION);
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("it runs once at most", |_: &Gateway, w: &World| {
                w.requests
                    .iter()
                    .all(|r| r.executions_at_peer + r.executions_at_origin <= 1)
            }),
            Property::always("one final answer", |_: &Gateway, w: &World| {
                w.requests.iter().all(|r| r.outcomes.len() <= 1)
            }),
            Property::always(
                "a refusal is of what never ran",
                |_: &Gateway, w: &World| {
                    w.requests
                        .iter()
                        .all(|r| r.outcomes != [Outcome::Refused] || r.executions_at_peer == 0)
                },
            ),
            Property::always("an answer is of what ran", |_: &Gateway, w: &World| {
                w.requests
                    .iter()
                    .all(|r| r.outcomes != [Outcome::Answer] || r.executions_at_peer == 1)
            }),
            Property::always(
                "whatever has ended was answered",
                |_: &Gateway, w: &World| {
                    w.requests
                        .iter()
                        .all(|r| r.forwarded.is_ended() == (r.outcomes.len() == 1))
                },
            ),
            Property::always(
                "the number of records is bounded",
                |g: &Gateway, w: &World| w.store.record_count() <= g.max_records,
            ),
            // The explored worlds are not all of one kind.
            Property::sometimes("it runs at the peer", |_: &Gateway, w: &World| {
                w.requests.iter().all(|r| r.outcomes == [Outcome::Answer])
            }),
            Property::sometimes(
                "a fence lets it be run here or refused",
                |_: &Gateway, w: &World| {
                    w.requests
                        .iter()
                        .any(|r| matches!(r.outcomes[..], [Outcome::Here | Outcome::Refused]))
                },
            ),
            Property::sometimes("nobody knows", |_: &Gateway, w: &World| {
                w.requests
                    .iter()
                    .any(|r| r.outcomes == [Outcome::MayHaveRun])
            }),
        ]
    }
}

fn check(model: Gateway) -> (usize, Vec<&'static str>) {
    let checker = model.checker().threads(2).spawn_bfs().join();
    let broken = checker.discoveries().into_keys().collect::<Vec<_>>();
    (checker.unique_state_count(), broken)
}

/// The properties that hold are not found broken; those that should be found somewhere are.
fn has_only_expected(found: &[&str]) -> bool {
    let mut found = found.to_vec();
    found.sort_unstable();
    found
        == [
            "a fence lets it be run here or refused",
            "it runs at the peer",
            "nobody knows",
        ]
}

#[test]
fn no_order_of_events_runs_a_request_twice_or_refuses_one_that_ran() {
    // Two requests that contend for one place, with one kind of mishap at a time; one request with all of them.
    let worlds = [
        (1, 2, [1, 1, 1]),
        (2, 1, [1, 0, 0]),
        (2, 1, [0, 1, 0]),
        (2, 1, [0, 0, 1]),
    ];
    for (requests, max_records, faults) in worlds {
        // What the origin does with a request that never ran changes nothing for the other one.
        let modes: &[bool] = if requests == 1 {
            &[true, false]
        } else {
            &[true]
        };
        for &runs_at_origin in modes {
            let disabled = Disabled::Nothing;
            let (states, found) = check(Gateway {
                requests,
                max_records,
                runs_at_origin,
                disabled,
                faults,
            });
            assert!(
                has_only_expected(&found),
                "{requests} requests, {max_records} held, {faults:?}: {found:?}"
            );
            assert!(states > 500, "only {states} states");
        }
    }
}

#[test]
fn without_each_part_the_checker_finds_what_it_guards_against() {
    for disabled in [Disabled::Fence, Disabled::Incarnation, Disabled::Floor] {
        let (_, found) = check(Gateway {
            requests: 1,
            max_records: 2,
            runs_at_origin: true,
            disabled,
            faults: [1, 1, 1],
        });
        assert!(
            found.contains(&"it runs once at most"),
            "{disabled:?}: {found:?}"
        );
    }
}

#[test]
fn a_later_incarnation_of_an_origin_removes_the_records_of_the_one_before() {
    let mut store: TicketStore<()> = TicketStore::new(1, RETENTION, 10);
    let of = |incarnation, number| Ticket {
        origin: OriginId {
            node: 1,
            incarnation,
        },
        number,
    };
    assert_eq!(store.admit(0, of(7, 0), 1), Admission::Execute);
    assert_eq!(store.admit(0, of(8, 0), 1), Admission::Execute);
    assert_eq!(store.record_count(), 1);
    // A copy of the earlier incarnation does not run, though its number has no record.
    assert_eq!(
        store.admit(0, of(7, 1), 1),
        Admission::Reply(TicketStatus::Unknown)
    );
    assert_eq!(store.query(0, of(7, 0), 1), TicketStatus::Unknown);
}

#[test]
fn memory_is_bounded_and_records_of_requests_in_progress_are_never_removed() {
    let mut store: TicketStore<u64> = TicketStore::new(1, RETENTION, 4);
    for n in 0..4 {
        assert_eq!(store.admit(0, ticket(n), 1), Admission::Execute);
    }
    assert_eq!(
        store.admit(0, ticket(4), 1),
        Admission::Reply(TicketStatus::NeverRan)
    );
    assert_eq!(
        store.admit(0, ticket(4), 1),
        Admission::Reply(TicketStatus::Unknown),
        "a fence that took no room"
    );
    assert_eq!(store.query(0, ticket(2), 1), TicketStatus::InProgress);
    store.complete(5, ticket(2), Some(9));
    assert_eq!(store.query(6, ticket(2), 1), TicketStatus::Completed(9));
    assert_eq!(
        store.admit(7, ticket(5), 1),
        Admission::Execute,
        "what has ended makes room"
    );
    assert_eq!(store.query(8, ticket(2), 1), TicketStatus::Unknown);
    store.tick(1_000_000);
    assert_eq!(store.record_count(), 4);
}

#[test]
fn the_origin_repeats_its_query_until_it_has_the_status_or_the_deadline() {
    let mut forwarded = ForwardedRequest::new(1, 100, 10);
    assert_eq!(forwarded.due(), Some(100));
    assert_eq!(forwarded.link_failed::<()>(20), Action::Query);
    assert_eq!(forwarded.link_failed::<()>(21), Action::Wait);
    assert_eq!(forwarded.due(), Some(30));
    assert_eq!(forwarded.tick::<()>(29), Action::Wait);
    assert_eq!(forwarded.tick::<()>(30), Action::Query);
    assert_eq!(
        forwarded.handle_status::<()>(1, TicketStatus::InProgress),
        Action::Wait
    );
    let mut other = forwarded.clone();
    assert_eq!(
        other.handle_status::<()>(2, TicketStatus::NeverRan),
        Action::Finish(ForwardResult::MayHaveRun),
        "another incarnation's report"
    );
    assert_eq!(
        forwarded.handle_status(1, TicketStatus::Completed(5)),
        Action::Finish(ForwardResult::Answered(5))
    );
    assert_eq!(
        (forwarded.tick::<()>(100), forwarded.due()),
        (Action::Wait, None)
    );
    let mut late = ForwardedRequest::new(1, 100, 10);
    assert_eq!(
        late.tick::<()>(100),
        Action::Finish(ForwardResult::MayHaveRun)
    );
    assert_eq!(
        late.handle_status::<()>(1, TicketStatus::NeverRan),
        Action::Wait
    );
}
