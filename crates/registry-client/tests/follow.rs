//! The mirror of entries against a registry that exists as a table only: random changes, lost watches, lost connections and
//! members that stand elsewhere, in virtual time.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_registry_client::entry::EntryError;
use reelfall_registry_client::follow::{
    Follower, FollowerSizes, Identity, Limits, Report, StalePolicy,
};
use reelfall_registry_client::roster::{Change, MAX_RETURN_DELAY};
use reelfall_registry_client::session::{Event, LossReason};
use reelfall_registry_client::wire::{
    Acl, Op, OperationError, Response, Stat, WatchEvent, WatchEventKind,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const PATH: &str = "/flags/evaluate";

#[derive(Clone)]
struct Node {
    czxid: i64,
    mzxid: i64,
    data: Bytes,
    owner: i64,
    acl: Vec<Acl>,
}

/// A registry and the connection of one follower.
struct Table {
    nodes: BTreeMap<String, Node>,
    zxid: i64,
    /// Watches: on everything under the path, on its children, on the data of some.
    recursive: bool,
    children: bool,
    data: BTreeSet<String>,
    /// Whether it knows persistent watches.
    modern: bool,
    up: bool,
    requests: VecDeque<(u64, Op)>,
    words: VecDeque<Event>,
}

fn payload(port: u16) -> Bytes {
    Bytes::from(format!(
        "{{\"address\":\"127.0.0.1:{port}\",\"started\":1000}}"
    ))
}

impl Table {
    fn new(modern: bool) -> Table {
        Table {
            nodes: BTreeMap::new(),
            zxid: 0,
            recursive: false,
            children: false,
            data: BTreeSet::new(),
            modern,
            up: false,
            requests: VecDeque::new(),
            words: VecDeque::new(),
        }
    }

    fn say(&mut self, kind: WatchEventKind, child: &str, lose: bool) {
        let path = if child.is_empty() {
            PATH.to_owned()
        } else {
            format!("{PATH}/{child}")
        };
        if !lose {
            self.words
                .push_back(Event::Watch(WatchEvent { kind, path }));
        }
    }

    fn put(&mut self, child: &str, data: Bytes, owner: i64, lose: bool) {
        self.zxid += 1;
        let old = self.nodes.get(child).cloned();
        let czxid = old.as_ref().map_or(self.zxid, |n| n.czxid);
        let node = Node {
            czxid,
            mzxid: self.zxid,
            data,
            owner,
            acl: vec![Acl::open()],
        };
        self.nodes.insert(child.to_owned(), node);
        let watched = self.data.remove(child);
        if old.is_some() {
            if self.recursive || watched {
                self.say(WatchEventKind::DataChanged, child, lose);
            }
        } else {
            if self.recursive {
                self.say(WatchEventKind::Created, child, lose);
            }
            if std::mem::take(&mut self.children) {
                self.say(WatchEventKind::ChildrenChanged, "", lose);
            }
        }
    }

    fn remove(&mut self, child: &str, lose: bool) {
        self.zxid += 1;
        if self.nodes.remove(child).is_none() {
            return;
        }
        if self.data.remove(child) || self.recursive {
            self.say(WatchEventKind::Deleted, child, lose);
        }
        if std::mem::take(&mut self.children) {
            self.say(WatchEventKind::ChildrenChanged, "", lose);
        }
    }

    /// Works off one request, from the state that is there now.
    fn work(&mut self) {
        let Some((token, op)) = self.requests.pop_front() else {
            return;
        };
        let child = |path: &str| {
            path.strip_prefix(PATH)
                .map(|c| c.trim_start_matches('/').to_owned())
        };
        let stat = |n: &Node| Stat {
            czxid: n.czxid,
            mzxid: n.mzxid,
            ephemeral_owner: n.owner,
            ctime: 1000,
            ..Stat::default()
        };
        let answer = match op {
            Op::Sync { .. } => Ok(Response::Done),
            Op::AddWatch { .. } if self.modern => {
                self.recursive = true;
                Ok(Response::Done)
            }
            Op::AddWatch { .. } => Err(OperationError::Unimplemented),
            Op::GetChildren { watch, .. } => {
                self.children |= watch;
                let names = self.nodes.keys().cloned().map(Some).collect();
                Ok(Response::Children(names, Stat::default()))
            }
            Op::GetData { path, watch } => {
                let child = child(&path).expect("a path that was never asked for");
                match self.nodes.get(&child) {
                    Some(node) => {
                        let answer = Response::Data(node.data.clone(), stat(node));
                        if watch {
                            self.data.insert(child);
                        }
                        Ok(answer)
                    }
                    None => Err(OperationError::NoNode),
                }
            }
            Op::GetAcl { path } => match self.nodes.get(&child(&path).unwrap()) {
                Some(node) => Ok(Response::Acl(node.acl.clone(), stat(node))),
                None => Err(OperationError::NoNode),
            },
            _ => Err(OperationError::Unimplemented),
        };
        self.words.push_back(Event::Response(token, answer));
    }

    /// The connection goes, and with it all watches and what was under way.
    fn drop_connection(&mut self, follower: &mut Follower, now: f64) {
        if !self.up {
            return;
        }
        (self.up, self.recursive, self.children) = (false, false, false);
        self.data.clear();
        let lost: Vec<u64> = self.requests.drain(..).map(|(token, _)| token).collect();
        let answered = self.words.drain(..).filter_map(|w| match w {
            Event::Response(token, _) => Some(token),
            _ => None,
        });
        let lost: Vec<u64> = answered.chain(lost).collect();
        follower.handle_event(now, &Event::Lost(LossReason::Closed));
        lost.into_iter()
            .for_each(|token| follower.handle_event(now, &Event::RequestLost(token)));
    }

    fn come_up(&mut self, follower: &mut Follower, now: f64) {
        if !self.up {
            self.up = true;
            follower.handle_event(now, &Event::Up { is_new: true });
        }
    }

    fn take(&mut self, follower: &mut Follower) {
        while let Some(op) = follower.next_request().filter(|_| self.up) {
            self.requests.push_back(op);
        }
    }

    /// All that is under way comes to its end.
    fn settle(&mut self, follower: &mut Follower, now: f64) {
        for _ in 0..100_000 {
            self.take(follower);
            self.work();
            match self.words.pop_front() {
                Some(word) => follower.handle_event(now, &word),
                None if self.requests.is_empty() => {
                    self.take(follower);
                    if self.requests.is_empty() {
                        return;
                    }
                }
                None => {}
            }
        }
        panic!("it never settles");
    }
}

fn there(follower: &Follower) -> BTreeSet<(String, u16)> {
    follower
        .roster()
        .servers()
        .map(|e| (e.name.clone(), e.address.port()))
        .collect()
}

fn follower(limits: Limits) -> (Table, Follower) {
    let (mut table, mut follower) = (Table::new(true), Follower::new(PATH, limits, 0.0));
    table.come_up(&mut follower, 0.0);
    table.settle(&mut follower, 0.0);
    (table, follower)
}

#[test]
fn what_is_there_is_known_once_all_of_it_has_been_read() {
    let (mut table, mut follower) = (
        Table::new(true),
        Follower::new(PATH, Limits::default(), 0.0),
    );
    for n in 1..=200 {
        table.put(&format!("s{n}"), payload(n), 9, false);
    }
    table.come_up(&mut follower, 0.0);
    // Half of it is not all of it.
    for _ in 0..100 {
        table.take(&mut follower);
        table.work();
        if let Some(word) = table.words.pop_front() {
            follower.handle_event(0.0, &word);
        }
    }
    assert!(
        !follower.has_list() && follower.sizes().pending_requests <= 65,
        "{:?}",
        follower.sizes()
    );
    table.settle(&mut follower, 0.0);
    assert!(follower.has_list() && follower.is_settled());
    assert_eq!(there(&follower).len(), 200);
}

#[test]
fn a_removal_needs_no_answer() {
    let (mut table, mut follower) = follower(Limits::default());
    table.put("a", payload(1), 9, false);
    table.settle(&mut follower, 1.0);
    follower.take_changes();
    // A read of it is under way as it goes: what that brings is older than the word of its end.
    table.put("a", payload(2), 9, false);
    let word = table.words.pop_front().unwrap();
    follower.handle_event(1.0, &word);
    table.take(&mut follower);
    let answered = {
        table.work();
        table.words.pop_front().unwrap()
    };
    table.remove("a", false);
    let gone = table.words.pop_front().unwrap();
    follower.handle_event(1.0, &gone);
    assert_eq!(follower.take_changes(), [Change::Removed("a".to_owned())]);
    follower.handle_event(1.0, &answered);
    assert!(there(&follower).is_empty(), "a read brought it back");
    assert_eq!(follower.take_changes(), []);
}

#[test]
fn entries_that_do_not_count_are_named_once() {
    let (mut table, mut follower) = follower(Limits::default());
    table.put("by-hand", payload(1), 0, false);
    table.put("odd", Bytes::from_static(b"\xff\xfe"), 9, false);
    table.put("good", payload(3), 9, false);
    table.settle(&mut follower, 1.0);
    assert_eq!(there(&follower), [("good".to_owned(), 3)].into());
    let reports: Vec<Report> = std::iter::from_fn(|| follower.next_report()).collect();
    assert!(
        reports.contains(&Report::InvalidEntry(
            "by-hand".to_owned(),
            EntryError::NotEphemeral
        )),
        "{reports:?}"
    );
    assert_eq!(reports.len(), 2, "{reports:?}");
    // Read again from time to time, and not named again.
    follower.tick(31.0);
    table.settle(&mut follower, 31.0);
    assert_eq!(follower.next_report(), None);
    // Those that end by a time to live belong to no session either.
    table.put("ttl", payload(4), (0xff << 56) | 5000, false);
    table.settle(&mut follower, 32.0);
    assert_eq!(there(&follower).len(), 1);
    let limits = Limits {
        accepts_persistent: true,
        ..Limits::default()
    };
    let (mut table, mut follower) = self::follower(limits);
    table.put("by-hand", payload(1), 0, false);
    table.settle(&mut follower, 1.0);
    assert_eq!(there(&follower).len(), 1);
}

#[test]
fn a_strangers_entry_does_not_count_where_an_owner_is_named() {
    let owner = Identity {
        scheme: "digest".to_owned(),
        id: "ops:hash".to_owned(),
    };
    let limits = Limits {
        owner: Some(owner),
        ..Limits::default()
    };
    let (mut table, mut follower) = follower(limits);
    let acl = |id: &str, permissions| Acl {
        permissions,
        scheme: "digest".to_owned(),
        id: id.to_owned(),
    };
    for (n, acls) in [
        vec![acl("ops:hash", 31), Acl::read_only()],
        // As it is shown to whoever may not change it.
        vec![acl("ops:x", 31)],
        vec![Acl::open()],
        vec![acl("ops:hash", 31), acl("eve:hash", 2)],
    ]
    .into_iter()
    .enumerate()
    {
        let name = format!("s{n}");
        table.put(&name, payload(n as u16 + 1), 9, false);
        table.nodes.get_mut(&name).unwrap().acl = acls;
    }
    table.settle(&mut follower, 1.0);
    assert_eq!(
        there(&follower)
            .into_iter()
            .map(|(n, _)| n)
            .collect::<Vec<_>>(),
        ["s0", "s1"]
    );
}

#[test]
fn a_silent_registry_makes_the_list_stale_after_its_time() {
    for stale_policy in [StalePolicy::KeepServers, StalePolicy::RejectRequests] {
        let limits = Limits {
            stale_policy,
            stale_after: 20.0,
            ..Limits::default()
        };
        let (mut table, mut follower) = follower(limits);
        table.put("a", payload(1), 9, false);
        table.settle(&mut follower, 1.0);
        table.drop_connection(&mut follower, 5.0);
        assert_eq!(
            there(&follower).len(),
            1,
            "a lost connection is no end of anybody"
        );
        // An expired session of this node's is none either.
        follower.handle_event(6.0, &Event::Expired);
        follower.tick(20.9);
        assert!(!follower.refuses_servers() && follower.age(20.0) == 19.0);
        assert_eq!(follower.deadline(), 21.0);
        follower.tick(21.0);
        assert_eq!(
            follower.refuses_servers(),
            stale_policy == StalePolicy::RejectRequests
        );
        assert_eq!(follower.next_report(), Some(Report::Stale(20)));
        assert_eq!(there(&follower).len(), 1);
        table.come_up(&mut follower, 30.0);
        table.settle(&mut follower, 30.0);
        assert_eq!(
            (follower.refuses_servers(), follower.next_report()),
            (false, Some(Report::UpToDate))
        );
    }
}

#[test]
fn there_are_no_more_entries_than_the_bound() {
    let (mut table, mut follower) = follower(Limits {
        max_entries: 10,
        ..Limits::default()
    });
    for n in 1..=50 {
        table.put(&format!("s{n:02}"), payload(n), 9, false);
    }
    table.settle(&mut follower, 1.0);
    assert_eq!((there(&follower).len(), follower.sizes().entries), (10, 10));
    assert_eq!(follower.next_report(), Some(Report::TooManyEntries(10)));
    // One that goes makes room, found when all is read again.
    table.remove("s01", false);
    table.settle(&mut follower, 2.0);
    follower.tick(40.0);
    table.settle(&mut follower, 40.0);
    assert_eq!(there(&follower).len(), 10);
}

#[test]
fn entries_that_come_and_go_while_answers_are_slow_take_no_room() {
    let limits = Limits {
        max_parallel_reads: 1,
        ..Limits::default()
    };
    let (mut table, mut follower) = follower(limits);
    // One read is out and unanswered; the others wait, and come and go.
    for n in 0..20_000 {
        let child = format!("s{}", n % 7);
        table.put(&child, payload(1 + n % 7), 9, false);
        table.remove(&child, false);
        for word in table.words.drain(..).collect::<Vec<_>>() {
            follower.handle_event(1.0, &word);
        }
        table.take(&mut follower);
        assert!(
            follower.sizes().waiting_reads <= 80,
            "{} wait to be read",
            follower.sizes().waiting_reads
        );
    }
    table.put("s1", payload(9), 9, false);
    table.settle(&mut follower, 2.0);
    assert_eq!(there(&follower), [("s1".to_owned(), 9)].into());
}

#[test]
fn a_path_that_is_not_there_yet_is_waited_for() {
    for modern in [true, false] {
        let (mut table, mut follower) = (
            Table::new(modern),
            Follower::new(PATH, Limits::default(), 0.0),
        );
        table.come_up(&mut follower, 0.0);
        table.take(&mut follower);
        // Whatever is asked of it, there is no such path.
        while let Some((token, op)) = table.requests.pop_front() {
            let answer = match op {
                Op::AddWatch { .. } if !modern => Err(OperationError::Unimplemented),
                Op::GetChildren { .. } | Op::Exists { .. } => Err(OperationError::NoNode),
                _ => Ok(Response::Done),
            };
            follower.handle_event(0.0, &Event::Response(token, answer));
            table.take(&mut follower);
        }
        assert_eq!(follower.next_report(), Some(Report::PathMissing));
        assert!(follower.has_list(), "nothing is there, and that is known");
        table.recursive = modern;
        follower.handle_event(
            1.0,
            &Event::Watch(WatchEvent {
                kind: WatchEventKind::Created,
                path: PATH.to_owned(),
            }),
        );
        table.put("a", payload(1), 9, !modern);
        table.settle(&mut follower, 1.0);
        assert_eq!(there(&follower).len(), 1);
    }
}

/// Whatever happens in whatever order: a server whose end was told is not there until it has been read anew, and once
/// all is quiet the list is the registry's.
#[test]
fn any_order_of_changes_and_losses_ends_with_the_registrys_list() {
    let step = (0..14u8, 0..5u8, 1..6u16, 0.0..2.0f64, any::<bool>());
    let steps = prop::collection::vec(step, 1..150);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]);
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&(any::<bool>(), steps), |(modern, steps)| {
            let (mut table, mut now) = (Table::new(modern), 1000.0);
            let mut follower = Follower::new(PATH, Limits::default(), now);
            // The state in which each entry's end was told last.
            let mut ended = BTreeMap::<String, i64>::new();
            for (what, child, port, after, lose) in steps {
                now += after;
                let child = format!("s{child}");
                match what {
                    0 | 1 => table.put(&child, payload(port), 9, lose && what == 0),
                    2 | 3 => table.remove(&child, lose && what == 2),
                    4 => table.put(&child, Bytes::from_static(b"nonsense"), 9, false),
                    5 => table.drop_connection(&mut follower, now),
                    6 => table.come_up(&mut follower, now),
                    7 => follower.tick(now),
                    8 | 9 => {
                        table.take(&mut follower);
                        table.work();
                    }
                    _ => {
                        if let Some(word) = table.words.pop_front() {
                            follower.handle_event(now, &word);
                            if let Event::Watch(WatchEvent {
                                kind: WatchEventKind::Deleted,
                                path,
                            }) = &word
                            {
                                let child = path.rsplit('/').next().unwrap().to_owned();
                                prop_assert!(
                                    !there(&follower).iter().any(|(n, _)| *n == child),
                                    "its end was told, and it is there"
                                );
                                ended.insert(child, table.zxid);
                            }
                        }
                    }
                }
                let FollowerSizes {
                    entries,
                    waiting_reads,
                    pending_requests,
                } = follower.sizes();
                prop_assert!(
                    entries <= 5 && waiting_reads <= 5 && pending_requests <= 5 + 5,
                    "{:?}",
                    follower.sizes()
                );
            }
            // All is quiet; what watches have lost is found when all is read again, and whoever waits has waited.
            table.come_up(&mut follower, now);
            table.settle(&mut follower, now);
            for _ in 0..2 {
                now += MAX_RETURN_DELAY + 1.0;
                follower.tick(now);
                table.settle(&mut follower, now);
            }
            let mut registry = BTreeMap::<u16, (i64, String)>::new();
            for (name, node) in table.nodes.iter().filter(|(_, n)| n.data != "nonsense") {
                let text = String::from_utf8(node.data.to_vec()).unwrap();
                let port = text
                    .split("1:")
                    .nth(1)
                    .unwrap()
                    .split('"')
                    .next()
                    .unwrap()
                    .parse()
                    .unwrap();
                let last = registry.entry(port).or_insert((node.czxid, name.clone()));
                if last.0 < node.czxid {
                    *last = (node.czxid, name.clone());
                }
            }
            let expected: BTreeSet<(String, u16)> = registry
                .into_iter()
                .map(|(port, (_, name))| (name, port))
                .collect();
            prop_assert_eq!(there(&follower), expected);
            prop_assert!(follower.is_settled());
            Ok(())
        })
        .unwrap();
}
