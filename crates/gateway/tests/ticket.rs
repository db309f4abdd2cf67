//! Every order of loss, delay, duplication, reordering, restart, forgetting and time-out that two tickets can meet, explored
//! by a model checker. What is explored is the code that runs: only the network and the servers are models.

use reelfall_gateway::ticket::{End, Fate, Fates, Life, Passed, Taken, Ticket, Todo};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;

const DEADLINE: u64 = 100;
const ASK_EVERY: u64 = 10;
const WINDOW: u64 = 1000;

/// What is on its way. Messages are a multiset: each can be lost, come late, or out of order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Offer(u64, u64),
    Ask(u64, u64),
    /// Of a ticket, by a life of the peer.
    Said(u64, u64, Word),
}

/// A fate as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Word {
    NeverTaken,
    Open,
    Done,
    Failed,
    Forgotten,
}

impl Word {
    fn of(fate: &Fate<()>) -> Word {
        match fate {
            Fate::NeverTaken => Word::NeverTaken,
            Fate::Open => Word::Open,
            Fate::Done(()) => Word::Done,
            Fate::Failed => Word::Failed,
            Fate::Forgotten => Word::Forgotten,
        }
    }

    fn fate(&self) -> Fate<()> {
        match self {
            Word::NeverTaken => Fate::NeverTaken,
            Word::Open => Fate::Open,
            Word::Done => Fate::Done(()),
            Word::Failed => Fate::Failed,
            Word::Forgotten => Fate::Forgotten,
        }
    }
}

/// What the client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Told {
    Answer,
    /// It never ran, and a repeat is harmless.
    Refused,
    /// It ran here.
    Here,
    MayHaveRun,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Request {
    passed: Passed,
    told: Vec<Told>,
    /// Effects abroad, and here.
    abroad: u8,
    here: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    requests: Vec<Request>,
    fates: Fates<()>,
    incarnation: u64,
    net: BTreeMap<Message, u8>,
    /// Tickets that run at the peer.
    running: Vec<u64>,
    /// What may still happen, so that the world ends.
    duplicates: u8,
    restarts: u8,
    forgettings: u8,
    questions: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Deliver(Message),
    Lose(Message),
    Duplicate(Message),
    LinkFails(u64),
    AskAgain(u64),
    Deadline(u64),
    /// What runs at the peer ends: with an answer, with none, or refused before it began.
    Ends(u64, bool),
    Refused(u64),
    Restart,
    Forget,
}

/// Which part is taken out, to see that the checker finds what it guards against.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// A question leaves no fence.
    Fence,
    /// A later life takes what was offered to the one before, and speaks of it.
    Life,
    /// What is forgotten leaves no floor.
    Floor,
}

struct Gateway {
    requests: u64,
    most: usize,
    /// Whether the origin runs what never ran abroad, or refuses it.
    runs_here: bool,
    without: Without,
    /// How often something may be duplicated, the peer restart, and what has ended be forgotten.
    mishaps: [u8; 3],
}

fn ticket(number: u64) -> Ticket {
    Ticket { origin: Life { node: 1, incarnation: 7 }, number }
}

impl Gateway {
    fn fresh(&self, incarnation: u64) -> Fates<()> {
        Fates::new(incarnation, WINDOW, self.most)
    }

    fn send(world: &mut World, message: Message) {
        *world.net.entry(message).or_default() += 1;
    }

    fn take_out(world: &mut World, message: &Message) -> bool {
        match world.net.get_mut(message) {
            Some(1) => world.net.remove(message).is_some(),
            Some(n) => {
                *n -= 1;
                true
            }
            None => false,
        }
    }

    fn act(&self, world: &mut World, number: u64, todo: Todo<()>) {
        let request = &mut world.requests[number as usize];
        match todo {
            Todo::Wait => {}
            Todo::Ask => {
                let offered_to = request.passed.offered_to;
                Self::send(world, Message::Ask(number, offered_to));
            }
            Todo::End(End::Answer(())) => request.told.push(Told::Answer),
            Todo::End(End::MayHaveRun) => request.told.push(Told::MayHaveRun),
            Todo::End(End::NeverRan) if self.runs_here => {
                request.here += 1;
                request.told.push(Told::Here);
            }
            Todo::End(End::NeverRan) => request.told.push(Told::Refused),
        }
    }

    fn deliver(&self, world: &mut World, message: &Message) {
        let now = 0;
        let life = world.incarnation;
        match message {
            Message::Offer(number, to) => {
                let to = if self.without == Without::Life { life } else { *to };
                match world.fates.take(now, ticket(*number), to) {
                    Taken::Run => world.running.push(*number),
                    Taken::Say(fate) => Self::send(world, Message::Said(*number, life, Word::of(&fate))),
                }
            }
            Message::Ask(number, to) => {
                let before = world.fates.clone();
                let to = if self.without == Without::Life { life } else { *to };
                let fate = world.fates.ask(now, ticket(*number), to);
                if self.without == Without::Fence {
                    world.fates = before;
                }
                Self::send(world, Message::Said(*number, life, Word::of(&fate)));
            }
            Message::Said(number, by, word) => {
                let request = &mut world.requests[*number as usize];
                let by = if self.without == Without::Life { request.passed.offered_to } else { *by };
                let todo = request.passed.told(by, word.fate());
                self.act(world, *number, todo);
            }
        }
    }
}

impl Model for Gateway {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let request =
            || Request { passed: Passed::new(1, DEADLINE, ASK_EVERY), told: vec![], abroad: 0, here: 0 };
        let net = (0..self.requests).map(|n| (Message::Offer(n, 1), 1)).collect();
        vec![World {
            requests: (0..self.requests).map(|_| request()).collect(),
            fates: self.fresh(1),
            incarnation: 1,
            net,
            running: vec![],
            duplicates: self.mishaps[0],
            restarts: self.mishaps[1],
            forgettings: self.mishaps[2],
            questions: 1,
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
            if !request.passed.is_ended() {
                steps.push(Step::Deadline(n));
                if request.passed.due() == Some(DEADLINE) {
                    steps.push(Step::LinkFails(n));
                } else if world.questions > 0 {
                    steps.push(Step::AskAgain(n));
                }
            }
        }
        for n in &world.running {
            steps.extend([Step::Ends(*n, true), Step::Ends(*n, false), Step::Refused(*n)]);
        }
        if world.restarts > 0 {
            steps.push(Step::Restart);
        }
        if world.forgettings > 0 && world.fates.held() > 0 {
            steps.push(Step::Forget);
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        match step {
            Step::Deliver(message) => {
                Self::take_out(&mut world, &message);
                self.deliver(&mut world, &message);
            }
            Step::Lose(message) => drop(Self::take_out(&mut world, &message)),
            Step::Duplicate(message) => {
                world.duplicates -= 1;
                Self::send(&mut world, message);
            }
            Step::LinkFails(n) => {
                let todo = world.requests[n as usize].passed.link_failed(0);
                self.act(&mut world, n, todo);
            }
            Step::AskAgain(n) => {
                world.questions -= 1;
                let todo = world.requests[n as usize].passed.tick(ASK_EVERY);
                self.act(&mut world, n, todo);
            }
            Step::Deadline(n) => {
                let todo = world.requests[n as usize].passed.tick(DEADLINE);
                self.act(&mut world, n, todo);
            }
            Step::Ends(n, answered) => {
                world.running.retain(|r| *r != n);
                world.requests[n as usize].abroad += 1;
                world.fates.done(0, ticket(n), answered.then_some(()));
                let word = if answered { Word::Done } else { Word::Failed };
                let by = world.incarnation;
                Self::send(&mut world, Message::Said(n, by, word));
            }
            Step::Refused(n) => {
                world.running.retain(|r| *r != n);
                world.fates.refused(0, ticket(n));
                let by = world.incarnation;
                Self::send(&mut world, Message::Said(n, by, Word::NeverTaken));
            }
            Step::Restart => {
                world.restarts -= 1;
                world.incarnation += 1;
                // What ran had its effect, or will have it: the servers behind the peer's node go on.
                for n in std::mem::take(&mut world.running) {
                    world.requests[n as usize].abroad += 1;
                }
                world.fates = self.fresh(world.incarnation);
            }
            Step::Forget => {
                world.forgettings -= 1;
                if self.without == Without::Floor {
                    // All that has ended is gone without a trace; what is open stays.
                    let open = world.running.clone();
                    world.fates = self.fresh(world.incarnation);
                    for n in open {
                        world.fates.take(0, ticket(n), world.incarnation);
                    }
                } else {
                    world.fates.tick(WINDOW);
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("it runs once at most", |_: &Gateway, w: &World| {
                w.requests.iter().all(|r| r.abroad + r.here <= 1)
            }),
            Property::always("one final answer", |_: &Gateway, w: &World| {
                w.requests.iter().all(|r| r.told.len() <= 1)
            }),
            Property::always("a refusal is of what never ran", |_: &Gateway, w: &World| {
                w.requests.iter().all(|r| r.told != [Told::Refused] || r.abroad == 0)
            }),
            Property::always("an answer is of what ran", |_: &Gateway, w: &World| {
                w.requests.iter().all(|r| r.told != [Told::Answer] || r.abroad == 1)
            }),
            Property::always("whatever has ended was answered", |_: &Gateway, w: &World| {
                w.requests.iter().all(|r| r.passed.is_ended() == (r.told.len() == 1))
            }),
            Property::always("no more is held than may be", |g: &Gateway, w: &World| {
                w.fates.held() <= g.most
            }),
            // The explored worlds are not all of one kind.
            Property::sometimes("it runs abroad", |_: &Gateway, w: &World| {
                w.requests.iter().all(|r| r.told == [Told::Answer])
            }),
            Property::sometimes("a fence lets it be run here or refused", |_: &Gateway, w: &World| {
                w.requests.iter().any(|r| matches!(r.told[..], [Told::Here | Told::Refused]))
            }),
            Property::sometimes("nobody knows", |_: &Gateway, w: &World| {
                w.requests.iter().any(|r| r.told == [Told::MayHaveRun])
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
fn sound(found: &[&str]) -> bool {
    let mut found = found.to_vec();
    found.sort_unstable();
    found == ["a fence lets it be run here or refused", "it runs abroad", "nobody knows"]
}

#[test]
fn no_order_of_events_runs_a_request_twice_or_refuses_one_that_ran() {
    // Two requests that contend for one place, with one kind of mishap at a time; one request with all of them.
    let worlds = [(1, 2, [1, 1, 1]), (2, 1, [1, 0, 0]), (2, 1, [0, 1, 0]), (2, 1, [0, 0, 1])];
    for (requests, most, mishaps) in worlds {
        // What the origin does with a request that never ran changes nothing for the other one.
        let does: &[bool] = if requests == 1 { &[true, false] } else { &[true] };
        for &runs_here in does {
            let without = Without::Nothing;
            let (states, found) = check(Gateway { requests, most, runs_here, without, mishaps });
            assert!(sound(&found), "{requests} requests, {most} held, {mishaps:?}: {found:?}");
            assert!(states > 500, "only {states} states");
        }
    }
}

#[test]
fn without_each_part_the_checker_finds_what_it_guards_against() {
    for without in [Without::Fence, Without::Life, Without::Floor] {
        let (_, found) =
            check(Gateway { requests: 1, most: 2, runs_here: true, without, mishaps: [1, 1, 1] });
        assert!(found.contains(&"it runs once at most"), "{without:?}: {found:?}");
    }
}

#[test]
fn a_later_life_of_an_origin_ends_what_is_held_of_the_one_before() {
    let mut fates: Fates<()> = Fates::new(1, WINDOW, 10);
    let of = |incarnation, number| Ticket { origin: Life { node: 1, incarnation }, number };
    assert_eq!(fates.take(0, of(7, 0), 1), Taken::Run);
    assert_eq!(fates.take(0, of(8, 0), 1), Taken::Run);
    assert_eq!(fates.held(), 1);
    // A copy of the life before does not run, though its number is not held.
    assert_eq!(fates.take(0, of(7, 1), 1), Taken::Say(Fate::Forgotten));
    assert_eq!(fates.ask(0, of(7, 0), 1), Fate::Forgotten);
}

#[test]
fn memory_is_bounded_and_what_is_open_is_never_forgotten() {
    let mut fates: Fates<u64> = Fates::new(1, WINDOW, 4);
    for n in 0..4 {
        assert_eq!(fates.take(0, ticket(n), 1), Taken::Run);
    }
    assert_eq!(fates.take(0, ticket(4), 1), Taken::Say(Fate::NeverTaken));
    assert_eq!(fates.take(0, ticket(4), 1), Taken::Say(Fate::Forgotten), "a fence that took no room");
    assert_eq!(fates.ask(0, ticket(2), 1), Fate::Open);
    fates.done(5, ticket(2), Some(9));
    assert_eq!(fates.ask(6, ticket(2), 1), Fate::Done(9));
    assert_eq!(fates.take(7, ticket(5), 1), Taken::Run, "what has ended makes room");
    assert_eq!(fates.ask(8, ticket(2), 1), Fate::Forgotten);
    fates.tick(1_000_000);
    assert_eq!(fates.held(), 4);
}

#[test]
fn the_origin_asks_until_it_knows_or_time_is_up() {
    let mut passed = Passed::new(1, 100, 10);
    assert_eq!(passed.due(), Some(100));
    assert_eq!(passed.link_failed::<()>(20), Todo::Ask);
    assert_eq!(passed.link_failed::<()>(21), Todo::Wait);
    assert_eq!(passed.due(), Some(30));
    assert_eq!(passed.tick::<()>(29), Todo::Wait);
    assert_eq!(passed.tick::<()>(30), Todo::Ask);
    assert_eq!(passed.told::<()>(1, Fate::Open), Todo::Wait);
    let mut other = passed.clone();
    assert_eq!(other.told::<()>(2, Fate::NeverTaken), Todo::End(End::MayHaveRun), "another life's word");
    assert_eq!(passed.told(1, Fate::Done(5)), Todo::End(End::Answer(5)));
    assert_eq!((passed.tick::<()>(100), passed.due()), (Todo::Wait, None));
    let mut late = Passed::new(1, 100, 10);
    assert_eq!(late.tick::<()>(100), Todo::End(End::MayHaveRun));
    assert_eq!(late.told::<()>(1, Fate::NeverTaken), Todo::Wait);
}
