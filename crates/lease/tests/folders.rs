//! Keepers whose folders are lost, old, or in another's place; and clients by the hundred.

use reelfall_lease::durable::{DurableState, Record};
use reelfall_lease::holder::{Config, Lease};
use reelfall_lease::keeper::{self, Destination, Keeper};
use reelfall_lease::message::{
    ClientId, Message, PeerMessage, Promise, RejectionReason, Request, Response,
};
use reelfall_lease::recovery::{Status, StorageFault};
use reelfall_lease::token::{Claim, Fence, FenceError, LeaseName};
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000;

fn task() -> LeaseName {
    LeaseName::try_from("task".to_owned()).unwrap()
}

struct KeeperSlot {
    keeper: Keeper,
    disk: DurableState,
    up: bool,
}

/// Keepers whose messages come at once, but where somebody is not reached.
struct Group {
    now: u64,
    slots: Vec<KeeperSlot>,
    clients: Vec<Lease>,
    /// Keepers that an client does not reach.
    unreached: Vec<(usize, usize)>,
    free: usize,
    tags: u64,
}

impl Group {
    fn new(keepers: usize, clients: usize) -> Group {
        let config = Config::new(keepers, 2 * SECOND);
        let slot = |n: usize| KeeperSlot {
            keeper: Keeper::open(
                n,
                keepers,
                keeper::Config::default(),
                DurableState::default(),
                1 + n as u64,
                0,
            ),
            disk: DurableState::default(),
            up: true,
        };
        let clients = (0..clients).map(|_| Lease::new(task(), config)).collect();
        let slots = (0..keepers).map(slot).collect();
        let mut group = Group {
            now: 0,
            slots,
            clients,
            unreached: Vec::new(),
            free: 0,
            tags: 100,
        };
        group.run(2 * SECOND);
        assert!((0..keepers).all(|n| group.status(n) == Status::Voting));
        group
    }

    fn status(&self, n: usize) -> Status {
        self.slots[n].keeper.status()
    }

    /// A keeper begins with this folder.
    fn begin(&mut self, n: usize, disk: DurableState) {
        self.tags += 1;
        let (keepers, now) = (self.slots.len(), self.now);
        let keeper = Keeper::open(
            n,
            keepers,
            keeper::Config::default(),
            disk.clone(),
            self.tags,
            now,
        );
        self.slots[n] = KeeperSlot {
            keeper,
            disk,
            up: true,
        };
    }

    fn settle(&mut self) {
        loop {
            let mut quiet = true;
            for n in 0..self.slots.len() {
                let effects = self.slots[n].keeper.take_effects();
                effects
                    .records
                    .iter()
                    .for_each(|record| self.slots[n].disk.apply(record));
                if !self.slots[n].up {
                    continue;
                }
                for (to, message) in effects.messages {
                    quiet = false;
                    match (to, message) {
                        (Destination::Keeper(to), Message::Peer(message)) => {
                            // A page fits.
                            assert!(Message::Peer(message.clone()).encode().is_some());
                            if self.slots[to].up {
                                self.slots[to]
                                    .keeper
                                    .handle_peer_message(self.now, n, message);
                            }
                        }
                        (Destination::Client(to), Message::Response(response)) => {
                            self.free +=
                                usize::from(matches!(response, Response::Available { .. }));
                            let client: usize = to.name.parse().unwrap();
                            if !self.unreached.contains(&(client, n)) {
                                self.clients[client].handle_response(
                                    self.now,
                                    n,
                                    response,
                                    u32::MAX / 2,
                                );
                            }
                        }
                        other => panic!("{other:?}"),
                    }
                }
            }
            for n in 0..self.clients.len() {
                for (keeper, request) in self.clients[n].take_requests() {
                    quiet = false;
                    if self.slots[keeper].up && !self.unreached.contains(&(n, keeper)) {
                        let who = ClientId {
                            name: n.to_string(),
                            tag: n as u64,
                        };
                        self.slots[keeper]
                            .keeper
                            .handle_request(self.now, &who, request);
                    }
                }
            }
            if quiet {
                return;
            }
        }
    }

    fn run(&mut self, lasts: u64) {
        let end = self.now + lasts;
        while self.now < end {
            self.now += 10_000;
            let now = self.now;
            self.slots
                .iter_mut()
                .filter(|s| s.keeper.deadline() <= now)
                .for_each(|s| s.keeper.tick(now));
            for (n, client) in self.clients.iter_mut().enumerate() {
                if client.deadline().is_some_and(|due| due <= now) {
                    client.tick(now, (n as u32 + 1).wrapping_mul(2_654_435_761));
                }
            }
            self.settle();
        }
    }

    fn holder(&self) -> Option<usize> {
        self.clients.iter().position(|a| a.held(self.now).is_some())
    }

    fn token(&self, n: usize) -> u64 {
        self.clients[n].held(self.now).unwrap().token().number()
    }
}

#[test]
fn an_emptied_keeper_votes_once_it_has_read_what_a_majority_promised() {
    let mut group = Group::new(3, 2);
    // The first has it by the votes of keepers 0 and 1.
    group.unreached = vec![(0, 2), (1, 0)];
    group.clients[0].acquire(group.now);
    group.run(SECOND / 10);
    assert_eq!(group.holder(), Some(0));
    let token = group.token(0);
    // Keeper 1 loses its folder, and reaches keeper 2 alone, which knows of nothing.
    group.begin(1, DurableState::default());
    group.slots[0].up = false;
    group.clients[1].acquire(group.now);
    group.run(SECOND);
    assert_ne!(group.status(1), Status::Voting);
    assert!(group.clients[1].held(group.now).is_none());
    // With keeper 0 it votes again, and no token comes twice.
    group.slots[0].up = true;
    group.clients[0].release(group.now);
    group.run(6 * SECOND);
    assert_eq!(group.status(1), Status::Voting);
    assert_eq!(group.holder(), Some(1));
    assert!(group.token(1) > token);
}

#[test]
fn a_folder_from_a_backup_is_refused_until_it_is_emptied() {
    let mut group = Group::new(3, 1);
    let backup = group.slots[1].disk.clone();
    group.clients[0].acquire(group.now);
    group.run(SECOND);
    group.begin(1, backup);
    group.run(SECOND);
    assert!(
        matches!(
            group.status(1),
            Status::Rejected(StorageFault::Outdated { .. })
        ),
        "{:?}",
        group.status(1)
    );
    group.begin(1, DurableState::default());
    group.run(SECOND);
    assert_eq!(group.status(1), Status::Voting);
    assert_eq!(group.slots[1].disk.storage.unwrap().generation, 2);
}

#[test]
fn an_old_copy_does_not_grow_before_its_fellows_have_spoken() {
    let mut group = Group::new(3, 1);
    // The copy is from before it knew its peers, and lacks as many records as it would write down of them.
    let mut backup = group.slots[1].disk.clone();
    let (known, missing) = (backup.records, backup.peers.len() as u64);
    backup.peers.clear();
    backup.records = known - missing;
    group.slots[1].up = false;
    group.begin(1, backup);
    // It hears of them before they answer.
    group.slots[1].up = false;
    for n in [0, 2] {
        let own = group.slots[n].disk.position();
        group.slots[1]
            .keeper
            .handle_peer_message(group.now, n, PeerMessage::PositionQuery { own });
    }
    group.slots[1].up = true;
    group.run(2 * SECOND);
    assert!(
        matches!(
            group.status(1),
            Status::Rejected(StorageFault::Outdated { .. })
        ),
        "{:?}",
        group.status(1)
    );
}

#[test]
fn of_two_processes_with_one_keepers_name_the_former_does_not_count() {
    let mut group = Group::new(3, 1);
    // Another process with an empty folder takes keeper 1's place; the former runs on, cut off from its peers.
    let former = group.slots[1].keeper.clone();
    let disk = group.slots[1].disk.clone();
    group.begin(1, DurableState::default());
    group.run(SECOND);
    assert_eq!(group.status(1), Status::Voting);
    let latter = std::mem::replace(
        &mut group.slots[1],
        KeeperSlot {
            keeper: former,
            disk,
            up: true,
        },
    );
    // The client reaches keeper 0 and the former of the two.
    group.unreached = vec![(0, 2)];
    let now = group.now;
    group.clients[0].acquire(now);
    group.clients[0].tick(now, 0);
    group.settle();
    assert_eq!(
        group.holder(),
        None,
        "a lease by the vote of a folder whose place was taken"
    );
    // It hears of it from its peers, and says no itself.
    group.run(SECOND);
    assert!(matches!(
        group.status(1),
        Status::Rejected(StorageFault::Replaced { .. })
    ));
    group.slots[1] = latter;
    group.run(10 * SECOND);
    assert_eq!(group.holder(), Some(0));
}

#[test]
fn three_hundred_wait_for_one_lease_and_each_release_wakes_one() {
    let mut group = Group::new(3, 301);
    for n in 0..301 {
        group.clients[n].acquire(group.now);
        // In the order of their numbers, and not nearly together.
        group.run(300_000);
    }
    group.run(SECOND);
    let mut order = Vec::new();
    for _ in 0..301 {
        let holder = group.holder().unwrap();
        order.push(holder);
        let before = group.free;
        group.clients[holder].release(group.now);
        group.run(20_000);
        assert!(
            group.free - before <= 3,
            "a release wakes {} through three keepers",
            group.free - before
        );
        if order.len() < 301 {
            assert!(group.holder().is_some(), "nobody has it after {order:?}");
        }
    }
    let sorted: Vec<usize> = (0..301).collect();
    assert_eq!(order, sorted, "whoever waited longest is next");
}

fn promise(ballot: u64) -> Request {
    Request::Prepare {
        lease: task(),
        round: ballot,
        ballot,
        length: SECOND,
        waited: 0,
    }
}

/// What a keeper says to a question at this moment.
fn respond(group: &mut Group, keeper: usize, who: u64, request: Request) -> Response {
    let client = ClientId {
        name: who.to_string(),
        tag: who,
    };
    group.slots[keeper]
        .keeper
        .handle_request(group.now, &client, request);
    let response = group.slots[keeper].keeper.take_effects().messages.pop();
    match response {
        Some((Destination::Client(_), Message::Response(response))) => response,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_free_lease_is_the_firsts_for_half_a_second_and_then_anybodys() {
    let mut group = Group::new(3, 0);
    assert!(matches!(
        respond(&mut group, 0, 1, promise(1)),
        Response::Promised { .. }
    ));
    let grant = Request::Grant {
        lease: task(),
        round: 2,
        token: 1,
        length: SECOND,
        peers: Vec::new(),
    };
    assert!(matches!(
        respond(&mut group, 0, 1, grant),
        Response::Granted { .. }
    ));
    assert!(matches!(
        respond(&mut group, 0, 2, promise(2)),
        Response::Rejected {
            reason: RejectionReason::Held { .. },
            ..
        }
    ));
    group.now += SECOND;
    // Others come sooner than the one who waits.
    assert!(matches!(
        respond(&mut group, 0, 3, promise(3)),
        Response::Rejected {
            reason: RejectionReason::NotFirstInQueue,
            promised: 1,
            ..
        }
    ));
    group.now += SECOND / 4;
    assert!(matches!(
        respond(&mut group, 0, 3, promise(3)),
        Response::Rejected {
            reason: RejectionReason::NotFirstInQueue,
            ..
        }
    ));
    group.now += SECOND / 4;
    assert!(matches!(
        respond(&mut group, 0, 3, promise(3)),
        Response::Promised { .. }
    ));
}

#[test]
fn who_hears_its_turn_while_it_asks_asks_again_at_once() {
    for called in [false, true] {
        let mut lease = Lease::new(task(), Config::new(3, 4 * SECOND));
        lease.acquire(0);
        lease.tick(0, 0);
        if called {
            lease.handle_response(1, 0, Response::Available { lease: task() }, 0);
        }
        for keeper in 0..3 {
            let reason = RejectionReason::Held {
                remaining: 3 * SECOND,
            };
            lease.handle_response(
                2,
                keeper,
                Response::Rejected {
                    lease: task(),
                    round: 1,
                    reason,
                    promised: 1,
                },
                u32::MAX,
            );
        }
        assert_eq!(lease.deadline().unwrap() < SECOND / 10, called);
    }
}

#[test]
fn a_floor_counts_for_names_that_are_kept_too() {
    let mut state = DurableState::default();
    state.apply(&Record::Promised(
        task(),
        Promise {
            ballot: 40,
            client: None,
            length: SECOND,
        },
    ));
    state.apply(&Record::Floor(50));
    assert_eq!(state.promised_ballot(&task()), 50);
    state.apply(&Record::Promised(
        task(),
        Promise {
            ballot: 60,
            client: None,
            length: SECOND,
        },
    ));
    assert_eq!(state.promised_ballot(&task()), 60);
}

#[test]
fn forgotten_names_leave_their_numbers() {
    let mut group = Group::new(3, 1);
    group.clients[0].acquire(group.now);
    group.run(SECOND);
    let token = group.token(0);
    group.clients[0].release(group.now);
    group.settle();
    // A day and more later.
    group.now += 2 * 86_400 * SECOND;
    group.run(SECOND);
    assert!(group
        .slots
        .iter()
        .all(|s| s.keeper.state().leases.is_empty()));
    group.clients[0] = Lease::new(task(), Config::new(3, 2 * SECOND));
    group.clients[0].acquire(group.now);
    group.run(SECOND);
    assert!(group.token(0) > token);
}

#[test]
fn a_fence_lets_the_latest_by_and_its_number_of_leases_has_a_bound() {
    let claim = |lease: &str, token| Claim {
        lease: LeaseName::try_from(lease.to_owned()).unwrap(),
        token,
    };
    let mut fence = Fence::new(2);
    assert_eq!(fence.admit(&claim("a", 3)), Ok(()));
    assert_eq!(fence.admit(&claim("a", 3)), Ok(()));
    assert!(matches!(
        fence.admit(&claim("a", 2)),
        Err(FenceError::StaleToken {
            presented: 2,
            highest: 3,
            ..
        })
    ));
    assert_eq!(fence.admit(&claim("b", 1)), Ok(()));
    assert!(matches!(
        fence.admit(&claim("c", 1)),
        Err(FenceError::AtCapacity(_))
    ));
    let names: BTreeMap<&str, bool> = [
        ("", false),
        ("a b", false),
        ("probe/s-1:80", true),
        ("\u{e4}", false),
    ]
    .into_iter()
    .collect();
    for (name, sound) in names {
        assert_eq!(
            LeaseName::try_from(name.to_owned()).is_ok(),
            sound,
            "{name}"
        );
    }
    assert!(LeaseName::try_from("x".repeat(65)).is_err());
}

#[test]
fn messages_that_this_program_does_not_make_are_none() {
    let free = Message::Response(Response::Available { lease: task() });
    let bytes = free.encode().unwrap();
    assert_eq!(Message::decode(&bytes), Some(free));
    assert!((0..bytes.len()).all(|cut| Message::decode(&bytes[..cut]).is_none()));
    assert_eq!(Message::decode(&[bytes.as_slice(), &[0]].concat()), None);
    assert_eq!(Message::decode(&vec![0; 5000]), None);
    // A name that is none.
    let spoilt: Vec<u8> = bytes
        .iter()
        .map(|b| if *b == b'k' { b' ' } else { *b })
        .collect();
    assert_eq!(Message::decode(&spoilt), None);
}
