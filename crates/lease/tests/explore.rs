//! Three keepers, two clients, one resource: all orders of what can happen to their messages, with keepers that begin anew,
//! clients that stand still, and clocks that drift. The code that is explored is the code that runs; the network, the
//! disks and the resource are models.

use reelfall_lease::clock::Margins;
use reelfall_lease::durable::DurableState;
use reelfall_lease::holder::{Config, Lease, LeaseEvent};
use reelfall_lease::keeper::{self, Destination, Keeper};
use reelfall_lease::message::{ClientId, Message, RejectionReason, Request, Response};
use reelfall_lease::queue::QueueTimeouts;
use reelfall_lease::token::{Claim, Fence, LeaseName};
use reelfall_lease::Micros;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const KEEPERS: usize = 3;
/// Most states, the same ones counted anew, that one exploration looks at.
const MOST: usize = 2_000_000;

fn lease() -> LeaseName {
    LeaseName::try_from("task".to_owned()).unwrap()
}

fn client(n: usize) -> ClientId {
    ClientId {
        name: format!("n{n}"),
        tag: n as u64,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DurableKeeper {
    keeper: Keeper,
    disk: DurableState,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Packet {
    Request(usize, usize, Request),
    Response(usize, usize, Response),
    /// An act on its way to the resource.
    Act(usize, u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u8,
    keepers: Vec<DurableKeeper>,
    clients: Vec<Lease>,
    asked: [u8; 2],
    renewed: u8,
    /// The first client gets the lease, and nothing goes wrong meanwhile.
    prelude: bool,
    in_flight: BTreeSet<Packet>,
    restarts: u8,
    twice: u8,
    late: u8,
    /// Who has acted, by which tokens, in the order in which the resource let them.
    acted: Vec<(usize, u64)>,
    /// Who has got the lease, by which tokens.
    got: BTreeSet<(usize, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Later,
    /// A question comes to a keeper, and its answer back at once; or an act, or an answer that was late, comes.
    Bring(Packet),
    /// The answer takes longer, or never comes.
    BringLate(Packet),
    BringTwice(Packet),
    /// The keeper takes it in and ends: before its disk has it, or before anybody hears of it.
    BringAndEnd(Packet, bool),
    Timer(usize),
    Act(usize),
}

/// Which part is taken out, to see that the checker finds what it guards against.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// The resource lets every act by.
    Fence,
    /// The holder counts the whole length, whatever the clocks do.
    Margin,
    /// Keepers answer before their disk has what they say.
    Disk,
    /// One keeper is enough, and each client has one of its own.
    Majority,
}

struct Explored {
    without: Without,
    length: Micros,
    /// The last moment.
    end: u8,
    /// Clocks of keepers go by so many eighths of true time, and those of clients.
    rates: (u64, u64),
    requests: [u8; 2],
    renewals: u8,
    restarts: u8,
    twice: u8,
    /// How many answers come later than at once.
    late: u8,
    acts: bool,
    /// Whose messages come to which keepers at all: majorities that meet in one keeper are the worst there are.
    reach: [[bool; KEEPERS]; 2],
    /// The first client has the lease already.
    held: bool,
}

impl Default for Explored {
    fn default() -> Self {
        Explored {
            without: Without::Nothing,
            length: 3,
            end: 5,
            rates: (8, 8),
            requests: [0, 1],
            renewals: 0,
            restarts: 0,
            twice: 0,
            late: 1,
            acts: false,
            reach: [[true, false, true], [true, true, false]],
            held: true,
        }
    }
}

impl Explored {
    fn at_keeper(&self, now: u8) -> Micros {
        u64::from(now) * self.rates.0 / 8
    }

    fn at_client(&self, now: u8) -> Micros {
        u64::from(now) * self.rates.1 / 8
    }

    fn margins(&self) -> Margins {
        let drifts = self.rates != (8, 8) && self.without != Without::Margin;
        Margins {
            drift_ppm: if drifts { 125_000 } else { 0 },
        }
    }

    fn keeper_config(&self) -> keeper::Config {
        keeper::Config {
            margins: self.margins(),
            max_length: 100,
            queue_timeouts: QueueTimeouts { turn: 1, idle: 2 },
            ..keeper::Config::default()
        }
    }

    fn client_config(&self) -> Config {
        let keepers = if self.without == Without::Majority {
            1
        } else {
            KEEPERS
        };
        Config {
            keepers,
            margins: self.margins(),
            length: self.length,
            response_timeout: 1,
            min_backoff: 0,
            max_backoff: 0,
        }
    }

    /// Which keeper an client means.
    fn keeper_of(&self, client: usize, place: usize) -> usize {
        if self.without == Without::Majority {
            client
        } else {
            place
        }
    }

    /// What keepers have to write and say is written and said; whom they ask among themselves answers at once.
    fn flush(&self, world: &mut World, n: usize) {
        let mut due = vec![n];
        while let Some(n) = due.pop() {
            let effects = world.keepers[n].keeper.take_effects();
            if self.without != Without::Disk || world.prelude {
                effects
                    .records
                    .iter()
                    .for_each(|record| world.keepers[n].disk.apply(record));
            }
            for (to, message) in effects.messages {
                match (to, message) {
                    (Destination::Keeper(to), Message::Peer(message)) => {
                        let now = self.at_keeper(world.now);
                        world.keepers[to]
                            .keeper
                            .handle_peer_message(now, n, message);
                        due.push(to);
                    }
                    (Destination::Client(to), Message::Response(response)) => {
                        self.post_response(world, n, &to, response)
                    }
                    other => panic!("{other:?}"),
                }
            }
        }
    }

    fn post_response(&self, world: &mut World, from: usize, to: &ClientId, response: Response) {
        world
            .in_flight
            .insert(Packet::Response(from, to.tag as usize, response));
    }

    /// A keeper begins, with what its disk has.
    fn begin(&self, world: &mut World, n: usize, tag: u64) {
        let now = self.at_keeper(world.now);
        let disk = world.keepers[n].disk.clone();
        world.keepers[n].keeper = Keeper::open(n, KEEPERS, self.keeper_config(), disk, tag, now);
        self.flush(world, n);
    }

    fn post(&self, world: &mut World, n: usize) {
        for (place, request) in world.clients[n].take_requests() {
            let keeper = self.keeper_of(n, place);
            if self.reach[n][keeper] || world.prelude || self.without == Without::Majority {
                world.in_flight.insert(Packet::Request(n, keeper, request));
            }
        }
        for event in world.clients[n].take_events() {
            if let LeaseEvent::Acquired(token) = event {
                world.got.insert((n, token.number()));
            }
        }
    }

    fn deliver_request(&self, world: &mut World, packet: &Packet) -> Option<usize> {
        let Packet::Request(from, keeper, request) = packet else {
            return None;
        };
        world.keepers[*keeper].keeper.handle_request(
            self.at_keeper(world.now),
            &client(*from),
            request.clone(),
        );
        Some(*keeper)
    }

    fn bring(&self, world: &mut World, packet: &Packet) {
        match packet {
            Packet::Request(..) => {
                if let Some(keeper) = self.deliver_request(world, packet) {
                    self.flush(world, keeper);
                }
            }
            Packet::Response(keeper, to, response) => {
                let place = if self.without == Without::Majority {
                    0
                } else {
                    *keeper
                };
                world.clients[*to].handle_response(
                    self.at_client(world.now),
                    place,
                    response.clone(),
                    0,
                );
                self.post(world, *to);
            }
            Packet::Act(by, token) => {
                let mut fence = Fence::new(1);
                let claim = |token: u64| Claim {
                    lease: lease(),
                    token,
                };
                world.acted.iter().for_each(|(_, token)| {
                    let _ = fence.admit(&claim(*token));
                });
                if self.without == Without::Fence || fence.admit(&claim(*token)).is_ok() {
                    world.acted.push((*by, *token));
                }
            }
        }
    }

    /// Takes away what changes nothing, now or later: answers to what is asked no more, and numbers that are over. Whether
    /// they come makes no other world.
    fn sweep(&self, world: &mut World) {
        let (now, in_flight) = (
            self.at_client(world.now),
            std::mem::take(&mut world.in_flight),
        );
        let alive = |packet: &Packet| match packet {
            Packet::Act(..) => true,
            Packet::Response(keeper, to, response) => {
                let mut client = world.clients[*to].clone();
                client.handle_response(
                    now,
                    if self.without == Without::Majority {
                        0
                    } else {
                        *keeper
                    },
                    response.clone(),
                    0,
                );
                client != world.clients[*to]
            }
            Packet::Request(from, keeper, request) => {
                let promised = world.keepers[*keeper]
                    .keeper
                    .state()
                    .promised_ballot(&lease());
                let awaited = |round: u64| {
                    let mut client = world.clients[*from].clone();
                    let place = if self.without == Without::Majority {
                        0
                    } else {
                        *keeper
                    };
                    client.handle_response(
                        now,
                        place,
                        Response::Rejected {
                            lease: lease(),
                            round,
                            reason: RejectionReason::StaleBallot,
                            promised,
                        },
                        0,
                    );
                    client != world.clients[*from]
                };
                match request {
                    Request::Prepare { ballot, round, .. } => *ballot > promised || awaited(*round),
                    Request::Grant { token, round, .. } => *token >= promised || awaited(*round),
                    Request::Release { token, .. } => *token >= promised,
                }
            }
        };
        world.in_flight = in_flight.into_iter().filter(alive).collect();
    }

    fn holding(&self, world: &World) -> Vec<u64> {
        let now = self.at_client(world.now);
        world
            .clients
            .iter()
            .filter_map(|a| a.held(now).map(|held| held.token().number()))
            .collect()
    }
}

impl Model for Explored {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let durable_keeper = |n: usize| DurableKeeper {
            keeper: Keeper::open(
                n,
                KEEPERS,
                self.keeper_config(),
                DurableState::default(),
                n as u64 + 1,
                0,
            ),
            disk: DurableState::default(),
        };
        let mut world = World {
            now: 0,
            keepers: (0..KEEPERS).map(durable_keeper).collect(),
            clients: (0..2)
                .map(|_| Lease::new(lease(), self.client_config()))
                .collect(),
            asked: [0, 0],
            renewed: 0,
            prelude: self.held,
            in_flight: BTreeSet::new(),
            restarts: 0,
            twice: 0,
            late: 0,
            acted: Vec::new(),
            got: BTreeSet::new(),
        };
        // The first to begin asked before the others were there; they ask each other anew in time.
        for _ in 0..4 {
            for n in 0..KEEPERS {
                self.flush(&mut world, n);
            }
            for n in 0..KEEPERS {
                world.keepers[n].keeper.tick(0);
                self.flush(&mut world, n);
            }
        }
        // They have what they know on their disks, and begin anew with it.
        for n in 0..KEEPERS {
            self.begin(&mut world, n, 10 + n as u64);
        }
        for keeper in &world.keepers {
            assert_eq!(
                keeper.keeper.status(),
                reelfall_lease::recovery::Status::Voting
            );
        }
        world.clients.iter_mut().for_each(|a| a.acquire(0));
        if self.held {
            world.clients[0].tick(0, 0);
            self.post(&mut world, 0);
            while let Some(packet) = world.in_flight.pop_first() {
                self.bring(&mut world, &packet);
            }
            assert_eq!(self.holding(&world), [1]);
            world.prelude = false;
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < self.end {
            steps.push(Step::Later);
        }
        for packet in &world.in_flight {
            steps.push(Step::Bring(packet.clone()));
            if world.late < self.late
                && matches!(
                    packet,
                    Packet::Request(_, _, Request::Prepare { .. } | Request::Grant { .. })
                )
            {
                steps.push(Step::BringLate(packet.clone()));
            }
            if world.twice < self.twice {
                steps.push(Step::BringTwice(packet.clone()));
            }
            if world.restarts < self.restarts
                && matches!(
                    packet,
                    Packet::Request(_, _, Request::Prepare { .. } | Request::Grant { .. })
                )
            {
                steps.push(Step::BringAndEnd(packet.clone(), false));
                steps.push(Step::BringAndEnd(packet.clone(), true));
            }
        }
        let now = self.at_client(world.now);
        for n in 0..2 {
            let is_due = world.clients[n].deadline().is_some_and(|due| due <= now);
            let (held, renews) = (
                world.clients[n].held(now).is_some(),
                world.renewed < self.renewals,
            );
            if is_due
                && (if held {
                    renews
                } else {
                    world.asked[n] < self.requests[n]
                })
            {
                steps.push(Step::Timer(n));
            }
            let acts = self.acts
                && !world
                    .in_flight
                    .iter()
                    .any(|m| matches!(m, Packet::Act(by, _) if *by == n));
            if acts && world.acted.len() < 2 && world.clients[n].held(now).is_some() {
                steps.push(Step::Act(n));
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Later => world.now += 1,
            Step::Bring(packet) => {
                world.in_flight.remove(&packet);
                let before = world.in_flight.clone();
                self.bring(&mut world, &packet);
                if let Packet::Request(from, ..) = packet {
                    let answers =
                        |m: &&Packet| matches!(m, Packet::Response(_, to, _) if *to == from);
                    let new: Vec<Packet> = world
                        .in_flight
                        .difference(&before)
                        .filter(answers)
                        .cloned()
                        .collect();
                    for answer in new {
                        world.in_flight.remove(&answer);
                        self.bring(&mut world, &answer);
                    }
                }
            }
            Step::BringLate(packet) => {
                world.late += 1;
                world.in_flight.remove(&packet);
                self.bring(&mut world, &packet);
            }
            Step::BringTwice(packet) => {
                world.twice += 1;
                self.bring(&mut world, &packet);
            }
            Step::BringAndEnd(packet, written) => {
                world.in_flight.remove(&packet);
                world.restarts += 1;
                let n = self.deliver_request(&mut world, &packet)?;
                let effects = world.keepers[n].keeper.take_effects();
                if written {
                    effects
                        .records
                        .iter()
                        .for_each(|record| world.keepers[n].disk.apply(record));
                }
                if self.without == Without::Disk {
                    for (to, message) in effects.messages {
                        if let (Destination::Client(to), Message::Response(response)) =
                            (to, message)
                        {
                            self.post_response(&mut world, n, &to, response);
                        }
                    }
                }
                self.begin(&mut world, n, 20);
            }
            Step::Timer(n) => {
                let now = self.at_client(world.now);
                if world.clients[n].held(now).is_some() {
                    world.renewed += 1;
                } else {
                    world.asked[n] += 1;
                }
                world.clients[n].tick(now, 0);
                self.post(&mut world, n);
            }
            Step::Act(n) => {
                let now = self.at_client(world.now);
                let token = world.clients[n].held(now)?.operation(()).claim().token;
                world.in_flight.insert(Packet::Act(n, token));
            }
        }
        self.sweep(&mut world);
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder", |model: &Explored, world: &World| {
                model.holding(world).len() < 2
            }),
            Property::always("no lower token after a higher one", |_, world: &World| {
                world.acted.windows(2).all(|two| two[0].1 <= two[1].1)
            }),
            Property::always("no token twice", |_, world: &World| {
                world
                    .acted
                    .iter()
                    .all(|(by, token)| world.acted.iter().all(|(b, t)| t != token || b == by))
                    && world
                        .got
                        .iter()
                        .all(|(by, token)| world.got.iter().all(|(b, t)| t != token || b == by))
            }),
            Property::sometimes("one after the other", |model: &Explored, world: &World| {
                let number = |n: usize| {
                    world.clients[n]
                        .held(model.at_client(world.now))
                        .map(|held| held.token().number())
                };
                number(1).is_some_and(|token| token > 1) || number(0).is_some_and(|token| token > 1)
            }),
        ]
    }
}

/// What was found to be false, and how many states were looked at.
fn found(model: Explored) -> (Vec<&'static str>, usize) {
    let checker = model
        .checker()
        .threads(2)
        .target_state_count(MOST)
        .spawn_bfs()
        .join();
    // Whatever is not found was looked for everywhere.
    assert!(
        checker.state_count() < MOST,
        "more states than are looked at"
    );
    let found = checker.discoveries().into_keys().collect();
    (found, checker.unique_state_count())
}

/// All that can be: nothing is broken, and the lease passes from one to the other.
fn holds(model: Explored) {
    let (found, states) = found(model);
    assert_eq!(found, ["one after the other"], "in {states} states");
    assert!(
        states > 1000,
        "{states} states are too few to tell anything"
    );
}

/// Without the part, something is found.
fn breaks(model: Explored, what: &str) {
    assert_ne!(model.without, Without::Nothing);
    let (found, states) = found(model);
    assert!(found.contains(&what), "{found:?} in {states} states");
}

fn acts(without: Without) -> Explored {
    Explored {
        without,
        acts: true,
        late: 0,
        ..Explored::default()
    }
}

fn drifts(without: Without) -> Explored {
    Explored {
        without,
        rates: (9, 7),
        length: 8,
        end: 9,
        late: 0,
        ..Explored::default()
    }
}

fn ends(without: Without) -> Explored {
    Explored {
        without,
        restarts: 1,
        requests: [1, 1],
        late: 0,
        length: 2,
        end: 3,
        ..Explored::default()
    }
}

#[test]
fn an_act_that_comes_late_is_refused() {
    holds(acts(Without::Nothing));
    breaks(acts(Without::Fence), "no lower token after a higher one");
}

#[test]
fn clocks_that_drift_end_a_lease_before_its_keepers_do() {
    holds(drifts(Without::Nothing));
    breaks(drifts(Without::Margin), "one holder");
}

#[test]
fn keepers_that_begin_anew_keep_their_word() {
    holds(ends(Without::Nothing));
    breaks(ends(Without::Disk), "no token twice");
}

#[test]
fn two_majorities_meet_in_a_keeper() {
    holds(Explored {
        renewals: 1,
        end: 4,
        late: 0,
        ..Explored::default()
    });
    breaks(
        Explored {
            without: Without::Majority,
            ..Explored::default()
        },
        "one holder",
    );
}

#[test]
fn renewals_and_answers_that_come_late_or_twice() {
    holds(Explored {
        end: 4,
        ..Explored::default()
    });
    holds(Explored {
        twice: 1,
        late: 0,
        end: 4,
        ..Explored::default()
    });
}

#[test]
fn two_that_ask_at_once() {
    holds(Explored {
        held: false,
        requests: [1, 1],
        reach: [[true; KEEPERS]; 2],
        end: 1,
        late: 0,
        ..Explored::default()
    });
}
