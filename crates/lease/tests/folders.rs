//! Keepers whose folders are lost, old, or in another's place; and askers by the hundred.

use reelfall_lease::holder::{Lease, Rules};
use reelfall_lease::image::{Image, Record};
use reelfall_lease::keeper::{self, Keeper, To};
use reelfall_lease::say::{Ask, Asker, Kept, Message, No, Said};
use reelfall_lease::token::{Claim, Fence, Fenced, Name};
use reelfall_lease::trust::{Fault, Standing};
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000;

fn task() -> Name {
    Name::try_from("task".to_owned()).unwrap()
}

struct Seat {
    keeper: Keeper,
    disk: Image,
    up: bool,
}

/// Keepers whose messages come at once, but where somebody is not reached.
struct Group {
    now: u64,
    seats: Vec<Seat>,
    askers: Vec<Lease>,
    /// Keepers that an asker does not reach.
    unreached: Vec<(usize, usize)>,
    free: usize,
    tags: u64,
}

impl Group {
    fn new(keepers: usize, askers: usize) -> Group {
        let rules = Rules::of(keepers, 2 * SECOND);
        let seat = |n: usize| Seat {
            keeper: Keeper::open(n, keepers, keeper::Rules::default(), Image::default(), 1 + n as u64, 0),
            disk: Image::default(),
            up: true,
        };
        let askers = (0..askers).map(|_| Lease::new(task(), rules)).collect();
        let seats = (0..keepers).map(seat).collect();
        let mut group = Group { now: 0, seats, askers, unreached: Vec::new(), free: 0, tags: 100 };
        group.run(2 * SECOND);
        assert!((0..keepers).all(|n| group.standing(n) == Standing::Trusted));
        group
    }

    fn standing(&self, n: usize) -> Standing {
        self.seats[n].keeper.standing()
    }

    /// A keeper begins with this folder.
    fn begin(&mut self, n: usize, disk: Image) {
        self.tags += 1;
        let (keepers, now) = (self.seats.len(), self.now);
        let keeper = Keeper::open(n, keepers, keeper::Rules::default(), disk.clone(), self.tags, now);
        self.seats[n] = Seat { keeper, disk, up: true };
    }

    fn settle(&mut self) {
        loop {
            let mut quiet = true;
            for n in 0..self.seats.len() {
                let effects = self.seats[n].keeper.effects();
                effects.records.iter().for_each(|record| self.seats[n].disk.apply(record));
                if !self.seats[n].up {
                    continue;
                }
                for (to, message) in effects.says {
                    quiet = false;
                    match (to, message) {
                        (To::Keeper(to), Message::Between(between)) => {
                            // A page fits.
                            assert!(Message::Between(between.clone()).write().is_some());
                            if self.seats[to].up {
                                self.seats[to].keeper.heard(self.now, n, between);
                            }
                        }
                        (To::Asker(to), Message::Said(said)) => {
                            self.free += usize::from(matches!(said, Said::Free { .. }));
                            let asker: usize = to.name.parse().unwrap();
                            if !self.unreached.contains(&(asker, n)) {
                                self.askers[asker].heard(self.now, n, said, u32::MAX / 2);
                            }
                        }
                        other => panic!("{other:?}"),
                    }
                }
            }
            for n in 0..self.askers.len() {
                for (keeper, ask) in self.askers[n].asks() {
                    quiet = false;
                    if self.seats[keeper].up && !self.unreached.contains(&(n, keeper)) {
                        let who = Asker { name: n.to_string(), tag: n as u64 };
                        self.seats[keeper].keeper.asked(self.now, &who, ask);
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
            self.seats.iter_mut().filter(|s| s.keeper.deadline() <= now).for_each(|s| s.keeper.tick(now));
            for (n, asker) in self.askers.iter_mut().enumerate() {
                if asker.deadline().is_some_and(|due| due <= now) {
                    asker.tick(now, (n as u32 + 1).wrapping_mul(2_654_435_761));
                }
            }
            self.settle();
        }
    }

    fn holder(&self) -> Option<usize> {
        self.askers.iter().position(|a| a.held(self.now).is_some())
    }

    fn token(&self, n: usize) -> u64 {
        self.askers[n].held(self.now).unwrap().token().number()
    }
}

#[test]
fn an_emptied_keeper_votes_once_it_has_read_what_a_majority_promised() {
    let mut group = Group::new(3, 2);
    // The first has it by the votes of keepers 0 and 1.
    group.unreached = vec![(0, 2), (1, 0)];
    group.askers[0].want(group.now);
    group.run(SECOND / 10);
    assert_eq!(group.holder(), Some(0));
    let token = group.token(0);
    // Keeper 1 loses its folder, and reaches keeper 2 alone, which knows of nothing.
    group.begin(1, Image::default());
    group.seats[0].up = false;
    group.askers[1].want(group.now);
    group.run(SECOND);
    assert_ne!(group.standing(1), Standing::Trusted);
    assert!(group.askers[1].held(group.now).is_none());
    // With keeper 0 it votes again, and no token comes twice.
    group.seats[0].up = true;
    group.askers[0].give_back(group.now);
    group.run(6 * SECOND);
    assert_eq!(group.standing(1), Standing::Trusted);
    assert_eq!(group.holder(), Some(1));
    assert!(group.token(1) > token);
}

#[test]
fn a_folder_from_a_backup_is_refused_until_it_is_emptied() {
    let mut group = Group::new(3, 1);
    let backup = group.seats[1].disk.clone();
    group.askers[0].want(group.now);
    group.run(SECOND);
    group.begin(1, backup);
    group.run(SECOND);
    assert!(matches!(group.standing(1), Standing::Refused(Fault::Older { .. })), "{:?}", group.standing(1));
    group.begin(1, Image::default());
    group.run(SECOND);
    assert_eq!(group.standing(1), Standing::Trusted);
    assert_eq!(group.seats[1].disk.seal.unwrap().generation, 2);
}

#[test]
fn an_old_copy_does_not_grow_before_its_fellows_have_spoken() {
    let mut group = Group::new(3, 1);
    // The copy is from before it knew its fellows, and lacks as many records as it would write down of them.
    let mut backup = group.seats[1].disk.clone();
    let (known, missing) = (backup.written, backup.fellows.len() as u64);
    backup.fellows.clear();
    backup.written = known - missing;
    group.seats[1].up = false;
    group.begin(1, backup);
    // It hears of them before they answer.
    group.seats[1].up = false;
    for n in [0, 2] {
        let own = group.seats[n].disk.seen();
        group.seats[1].keeper.heard(group.now, n, reelfall_lease::say::Between::Who { own });
    }
    group.seats[1].up = true;
    group.run(2 * SECOND);
    assert!(matches!(group.standing(1), Standing::Refused(Fault::Older { .. })), "{:?}", group.standing(1));
}

#[test]
fn of_two_processes_with_one_keepers_name_the_former_does_not_count() {
    let mut group = Group::new(3, 1);
    // Another process with an empty folder takes keeper 1's place; the former runs on, cut off from its fellows.
    let former = group.seats[1].keeper.clone();
    let disk = group.seats[1].disk.clone();
    group.begin(1, Image::default());
    group.run(SECOND);
    assert_eq!(group.standing(1), Standing::Trusted);
    let latter = std::mem::replace(&mut group.seats[1], Seat { keeper: former, disk, up: true });
    // The asker reaches keeper 0 and the former of the two.
    group.unreached = vec![(0, 2)];
    let now = group.now;
    group.askers[0].want(now);
    group.askers[0].tick(now, 0);
    group.settle();
    assert_eq!(group.holder(), None, "a lease by the vote of a folder whose place was taken");
    // It hears of it from its fellows, and says no itself.
    group.run(SECOND);
    assert!(matches!(group.standing(1), Standing::Refused(Fault::Replaced { .. })));
    group.seats[1] = latter;
    group.run(10 * SECOND);
    assert_eq!(group.holder(), Some(0));
}

#[test]
fn three_hundred_wait_for_one_lease_and_each_release_wakes_one() {
    let mut group = Group::new(3, 301);
    for n in 0..301 {
        group.askers[n].want(group.now);
        // In the order of their numbers, and not nearly together.
        group.run(300_000);
    }
    group.run(SECOND);
    let mut order = Vec::new();
    for _ in 0..301 {
        let holder = group.holder().unwrap();
        order.push(holder);
        let before = group.free;
        group.askers[holder].give_back(group.now);
        group.run(20_000);
        assert!(group.free - before <= 3, "a release wakes {} through three keepers", group.free - before);
        if order.len() < 301 {
            assert!(group.holder().is_some(), "nobody has it after {order:?}");
        }
    }
    let sorted: Vec<usize> = (0..301).collect();
    assert_eq!(order, sorted, "whoever waited longest is next");
}

fn promise(counter: u64) -> Ask {
    Ask::Promise { lease: task(), round: counter, counter, length: SECOND, waited: 0 }
}

/// What a keeper says to a question at this moment.
fn says(group: &mut Group, keeper: usize, who: u64, ask: Ask) -> Said {
    let asker = Asker { name: who.to_string(), tag: who };
    group.seats[keeper].keeper.asked(group.now, &asker, ask);
    let said = group.seats[keeper].keeper.effects().says.pop();
    match said {
        Some((To::Asker(_), Message::Said(said))) => said,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_free_lease_is_the_firsts_for_half_a_second_and_then_anybodys() {
    let mut group = Group::new(3, 0);
    assert!(matches!(says(&mut group, 0, 1, promise(1)), Said::Promised { .. }));
    let grant = Ask::Grant { lease: task(), round: 2, token: 1, length: SECOND, fellows: Vec::new() };
    assert!(matches!(says(&mut group, 0, 1, grant), Said::Granted { .. }));
    assert!(matches!(says(&mut group, 0, 2, promise(2)), Said::Refused { why: No::Held { .. }, .. }));
    group.now += SECOND;
    // Others come sooner than the one who waits.
    assert!(matches!(says(&mut group, 0, 3, promise(3)), Said::Refused { why: No::Turn, promised: 1, .. }));
    group.now += SECOND / 4;
    assert!(matches!(says(&mut group, 0, 3, promise(3)), Said::Refused { why: No::Turn, .. }));
    group.now += SECOND / 4;
    assert!(matches!(says(&mut group, 0, 3, promise(3)), Said::Promised { .. }));
}

#[test]
fn who_hears_its_turn_while_it_asks_asks_again_at_once() {
    for called in [false, true] {
        let mut lease = Lease::new(task(), Rules::of(3, 4 * SECOND));
        lease.want(0);
        lease.tick(0, 0);
        if called {
            lease.heard(1, 0, Said::Free { lease: task() }, 0);
        }
        for keeper in 0..3 {
            let why = No::Held { left: 3 * SECOND };
            lease.heard(2, keeper, Said::Refused { lease: task(), round: 1, why, promised: 1 }, u32::MAX);
        }
        assert_eq!(lease.deadline().unwrap() < SECOND / 10, called);
    }
}

#[test]
fn a_floor_counts_for_names_that_are_kept_too() {
    let mut image = Image::default();
    image.apply(&Record::Promised(task(), Kept { promised: 40, to: None, length: SECOND }));
    image.apply(&Record::Floor(50));
    assert_eq!(image.promised(&task()), 50);
    image.apply(&Record::Promised(task(), Kept { promised: 60, to: None, length: SECOND }));
    assert_eq!(image.promised(&task()), 60);
}

#[test]
fn forgotten_names_leave_their_numbers() {
    let mut group = Group::new(3, 1);
    group.askers[0].want(group.now);
    group.run(SECOND);
    let token = group.token(0);
    group.askers[0].give_back(group.now);
    group.settle();
    // A day and more later.
    group.now += 2 * 86_400 * SECOND;
    group.run(SECOND);
    assert!(group.seats.iter().all(|s| s.keeper.image().leases.is_empty()));
    group.askers[0] = Lease::new(task(), Rules::of(3, 2 * SECOND));
    group.askers[0].want(group.now);
    group.run(SECOND);
    assert!(group.token(0) > token);
}

#[test]
fn a_fence_lets_the_latest_by_and_its_number_of_leases_has_a_bound() {
    let claim = |lease: &str, token| Claim { lease: Name::try_from(lease.to_owned()).unwrap(), token };
    let mut fence = Fence::new(2);
    assert_eq!(fence.admit(&claim("a", 3)), Ok(()));
    assert_eq!(fence.admit(&claim("a", 3)), Ok(()));
    assert!(matches!(fence.admit(&claim("a", 2)), Err(Fenced::Stale { told: 2, seen: 3, .. })));
    assert_eq!(fence.admit(&claim("b", 1)), Ok(()));
    assert!(matches!(fence.admit(&claim("c", 1)), Err(Fenced::Full(_))));
    let names: BTreeMap<&str, bool> =
        [("", false), ("a b", false), ("probe/s-1:80", true), ("\u{e4}", false)].into_iter().collect();
    for (name, sound) in names {
        assert_eq!(Name::try_from(name.to_owned()).is_ok(), sound, "{name}");
    }
    assert!(Name::try_from("x".repeat(65)).is_err());
}

#[test]
fn messages_that_this_program_does_not_make_are_none() {
    let free = Message::Said(Said::Free { lease: task() });
    let bytes = free.write().unwrap();
    assert_eq!(Message::read(&bytes), Some(free));
    assert!((0..bytes.len()).all(|cut| Message::read(&bytes[..cut]).is_none()));
    assert_eq!(Message::read(&[bytes.as_slice(), &[0]].concat()), None);
    assert_eq!(Message::read(&vec![0; 5000]), None);
    // A name that is none.
    let spoilt: Vec<u8> = bytes.iter().map(|b| if *b == b'k' { b' ' } else { *b }).collect();
    assert_eq!(Message::read(&spoilt), None);
}
