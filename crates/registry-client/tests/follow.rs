//! The mirror of entries against a fake registry: random changes, lost watches, lost connections and
//! members that stand elsewhere, in virtual time.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_registry_client::entry::EntryError;
use reelfall_registry_client::follow::{
    Follower, FollowerSizes, Identity, Limits, Report, StalePolicy,
};
use reelfall_registry_client::roster::{Change, MAX_RETURN_DELAY};
use reelfall_registry_client::session::{Event, LossReason, TokenRequest};
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
struct FakeRegistry {
    nodes: BTreeMap<String, Node>,
    zxid: i64,
    /// Watches: on everything under the path, on its children, on the data of some.
    recursive: bool,
    children: bool,
    data: BTreeSet<String>,
    /// Whether it knows persistent watches.
    has_persistent_watches: bool,
    up: bool,
    requests: VecDeque<TokenRequest>,
    events: VecDeque<Event>,
}

fn payload(port: u16) -> Bytes {
    Bytes::from(format!(
        "{{\"address\":\"127.0.0.1:{port}\",\"started\":1000}}"
    ))
}

impl FakeRegistry {
    fn new(has_persistent_watches: bool) -> FakeRegistry {
        FakeRegistry {
            nodes: BTreeMap::new(),
            zxid: 0,
            recursive: false,
            children: false,
            data: BTreeSet::new(),
            has_persistent_watches,
            up: false,
            requests: VecDeque::new(),
            events: VecDeque::new(),
        }
    }

    fn emit(&mut self, kind: WatchEventKind, child: &str, lose: bool) {
        let path = if child.is_empty() {
            PATH.to_owned()
        } else {
            format!("{PATH}/{child}")
        };
        if !lose {
            self.events
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
                self.emit(WatchEventKind::DataChanged, child, lose);
            }
        } else {
            if self.recursive {
                self.emit(WatchEventKind::Created, child, lose);
            }
            if std::mem::take(&mut self.children) {
                self.emit(WatchEventKind::ChildrenChanged, "", lose);
            }
        }
    }

    fn remove(&mut self, child: &str, lose: bool) {
        self.zxid += 1;
        if self.nodes.remove(child).is_none() {
            return;
        }
        if self.data.remove(child) || self.recursive {
            self.emit(WatchEventKind::Deleted, child, lose);
        }
        if std::mem::take(&mut self.children) {
            self.emit(WatchEventKind::ChildrenChanged, "", lose);
        }
    }

    /// Works off one request, from the state that is there now.
    fn execute_request(&mut self) {
        let Some(TokenRequest { token, op }) = self.requests.pop_front() else {
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
            Op::AddWatch { .. } if self.has_persistent_watches => {
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
        self.events.push_back(Event::Response(token, answer));
    }

    /// The connection goes, and with it all watches and what was under way.
    fn drop_connection(&mut self, follower: &mut Follower, now: f64) {
        if !self.up {
            return;
        }
        (self.up, self.recursive, self.children) = (false, false, false);
        self.data.clear();
        let lost: Vec<u64> = self
            .requests
            .drain(..)
            .map(|request| request.token)
            .collect();
        let answered = self.events.drain(..).filter_map(|w| match w {
            Event::Response(token, _) => Some(token),
            _ => None,
        });
        let lost: Vec<u64> = answered.chain(lost).collect();
        follower.handle_event(now, &Event::Lost(LossReason::Closed));
        lost.into_iter()
            .for_each(|token| follower.handle_event(now, &Event::RequestLost(token)));
    }

    fn connect(&mut self, follower: &mut Follower, now: f64) {
        if !self.up {
            self.up = true;
            follower.handle_event(now, &Event::Up { is_new: true });
        }
    }

    fn receive_requests(&mut self, follower: &mut Follower) {
        while let Some(op) = follower.next_request().filter(|_| self.up) {
            self.requests.push_back(op);
        }
    }

    /// All that is under way comes to its end.
    fn settle(&mut self, follower: &mut Follower, now: f64) {
        for _ in 0..100_000 {
            self.receive_requests(follower);
            self.execute_request();
            match self.events.pop_front() {
                Some(event) => follower.handle_event(now, &event),
                None if self.requests.is_empty() => {
                    self.receive_requests(follower);
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

fn listed_servers(follower: &Follower) -> BTreeSet<(String, u16)> {
    follower
        .roster()
        .servers()
        .map(|e| (e.name.clone(), e.address.port()))
        .collect()
}

fn follower(limits: Limits) -> (FakeRegistry, Follower) {
    let (mut registry, mut follower) = (FakeRegistry::new(true), Follower::new(PATH, limits, 0.0));
    registry.connect(&mut follower, 0.0);
    registry.settle(&mut follower, 0.0);
    (registry, follower)
}

#[test]
fn what_is_there_is_known_once_all_of_it_has_been_read() {
    let (mut registry, mut follower) = (
        FakeRegistry::new(true),
        Follower::new(PATH, Limits::default(), 0.0),
    );
    for n in 1..=200 {
        registry.put(&format!("s{n}"), payload(n), 9, false);
    }
    registry.connect(&mut follower, 0.0);
    // Half of it is not all of it.
    for _ in 0..100 {
        registry.receive_requests(&mut follower);
        registry.execute_request();
        if let Some(event) = registry.events.pop_front() {
            follower.handle_event(0.0, &event);
        }
    }
    assert!(
        !follower.has_list() && follower.sizes().pending_requests <= 65,
        "{:?}",
        follower.sizes()
    );
    registry.settle(&mut follower, 0.0);
    assert!(follower.has_list() && follower.is_settled());
    assert_eq!(listed_servers(&follower).len(), 200);
}

#[test]
fn a_removal_needs_no_answer() {
    let (mut registry, mut follower) = follower(Limits::default());
    registry.put("a", payload(1), 9, false);
    registry.settle(&mut follower, 1.0);
    follower.take_changes();
    // A read of it is under way as it goes: what that brings is older than the event of its end.
    registry.put("a", payload(2), 9, false);
    let event = registry.events.pop_front().unwrap();
    follower.handle_event(1.0, &event);
    registry.receive_requests(&mut follower);
    let answered = {
        registry.execute_request();
        registry.events.pop_front().unwrap()
    };
    registry.remove("a", false);
    let gone = registry.events.pop_front().unwrap();
    follower.handle_event(1.0, &gone);
    assert_eq!(follower.take_changes(), [Change::Removed("a".to_owned())]);
    follower.handle_event(1.0, &answered);
    assert!(
        listed_servers(&follower).is_empty(),
        "a read brought it back"
    );
    assert_eq!(follower.take_changes(), []);
}

#[test]
fn entries_that_do_not_count_are_named_once() {
    let (mut registry, mut follower) = follower(Limits::default());
    registry.put("by-hand", payload(1), 0, false);
    registry.put("odd", Bytes::from_static(b"\xff\xfe"), 9, false);
    registry.put("good", payload(3), 9, false);
    registry.settle(&mut follower, 1.0);
    assert_eq!(listed_servers(&follower), [("good".to_owned(), 3)].into());
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
    registry.settle(&mut follower, 31.0);
    assert_eq!(follower.next_report(), None);
    // Those that end by a time to live belong to no session either.
    registry.put("ttl", payload(4), (0xff << 56) | 5000, false);
    registry.settle(&mut follower, 32.0);
    assert_eq!(listed_servers(&follower).len(), 1);
    let limits = Limits {
        accepts_persistent: true,
        ..Limits::default()
    };
    let (mut registry, mut follower) = self::follower(limits);
    registry.put("by-hand", payload(1), 0, false);
    registry.settle(&mut follower, 1.0);
    assert_eq!(listed_servers(&follower).len(), 1);
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
    let (mut registry, mut follower) = follower(limits);
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
        registry.put(&name, payload(n as u16 + 1), 9, false);
        registry.nodes.get_mut(&name).unwrap().acl = acls;
    }
    registry.settle(&mut follower, 1.0);
    assert_eq!(
        listed_servers(&follower)
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
        let (mut registry, mut follower) = follower(limits);
        registry.put("a", payload(1), 9, false);
        registry.settle(&mut follower, 1.0);
        registry.drop_connection(&mut follower, 5.0);
        assert_eq!(
            listed_servers(&follower).len(),
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
        assert_eq!(listed_servers(&follower).len(), 1);
        registry.connect(&mut follower, 30.0);
        registry.settle(&mut follower, 30.0);
        assert_eq!(
            (follower.refuses_servers(), follower.next_report()),
            (false, Some(Report::UpToDate))
        );
    }
}

#[test]
fn there_are_no_more_entries_than_the_bound() {
    let (mut registry, mut follower) = follower(Limits {
        max_entries: 10,
        ..Limits::default()
    });
    for n in 1..=50 {
        registry.put(&format!("s{n:02}"), payload(n), 9, false);
    }
    registry.settle(&mut follower, 1.0);
    assert_eq!(
        (listed_servers(&follower).len(), follower.sizes().entries),
        (10, 10)
    );
    assert_eq!(follower.next_report(), Some(Report::TooManyEntries(10)));
    // One that goes makes room, found when all is read again.
    registry.remove("s01", false);
    registry.settle(&mut follower, 2.0);
    follower.tick(40.0);
    registry.settle(&mut follower, 40.0);
    assert_eq!(listed_servers(&follower).len(), 10);
}

#[test]
fn entries_that_come_and_go_while_answers_are_slow_take_no_room() {
    let limits = Limits {
        max_parallel_reads: 1,
        ..Limits::default()
    };
    let (mut registry, mut follower) = follower(limits);
    // One read is out and unanswered; the others wait, and come and go.
    for n in 0..20_000 {
        let child = format!("s{}", n % 7);
        registry.put(&child, payload(1 + n % 7), 9, false);
        registry.remove(&child, false);
        for event in registry.events.drain(..).collect::<Vec<_>>() {
            follower.handle_event(1.0, &event);
        }
        registry.receive_requests(&mut follower);
        assert!(
            follower.sizes().waiting_reads <= 80,
            "{} wait to be read",
            follower.sizes().waiting_reads
        );
    }
    registry.put("s1", payload(9), 9, false);
    registry.settle(&mut follower, 2.0);
    assert_eq!(listed_servers(&follower), [("s1".to_owned(), 9)].into());
}

#[test]
fn a_path_that_is_not_there_yet_is_waited_for() {
    for has_persistent_watches in [true, false] {
        let (mut registry, mut follower) = (
            FakeRegistry::new(has_persistent_watches),
            Follower::new(PATH, Limits::default(), 0.0),
        );
        registry.connect(&mut follower, 0.0);
        registry.receive_requests(&mut follower);
        // Whatever is asked of it, there is no such path.
        while let Some(TokenRequest { token, op }) = registry.requests.pop_front() {
            let answer = match op {
                Op::AddWatch { .. } if !has_persistent_watches => {
                    Err(OperationError::Unimplemented)
                }
                Op::GetChildren { .. } | Op::Exists { .. } => Err(OperationError::NoNode),
                _ => Ok(Response::Done),
            };
            follower.handle_event(0.0, &Event::Response(token, answer));
            registry.receive_requests(&mut follower);
        }
        assert_eq!(follower.next_report(), Some(Report::PathMissing));
        assert!(follower.has_list(), "nothing is there, and that is known");
        registry.recursive = has_persistent_watches;
        follower.handle_event(
            1.0,
            &Event::Watch(WatchEvent {
                kind: WatchEventKind::Created,
                path: PATH.to_owned(),
            }),
        );
        registry.put("a", payload(1), 9, !has_persistent_watches);
        registry.settle(&mut follower, 1.0);
        assert_eq!(listed_servers(&follower).len(), 1);
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
        .run(
            &(any::<bool>(), steps),
            |(has_persistent_watches, steps)| {
                let (mut registry, mut now) = (FakeRegistry::new(has_persistent_watches), 1000.0);
                let mut follower = Follower::new(PATH, Limits::default(), now);
                // The state in which each entry's end was told last.
                let mut ended = BTreeMap::<String, i64>::new();
                for (what, child, port, after, lose) in steps {
                    now += after;
                    let child = format!("s{child}");
                    match what {
                        0 | 1 => registry.put(&child, payload(port), 9, lose && what == 0),
                        2 | 3 => registry.remove(&child, lose && what == 2),
                        4 => registry.put(&child, Bytes::from_static(b"nonsense"), 9, false),
                        5 => registry.drop_connection(&mut follower, now),
                        6 => registry.connect(&mut follower, now),
                        7 => follower.tick(now),
                        8 | 9 => {
                            registry.receive_requests(&mut follower);
                            registry.execute_request();
                        }
                        _ => {
                            if let Some(event) = registry.events.pop_front() {
                                follower.handle_event(now, &event);
                                if let Event::Watch(WatchEvent {
                                    kind: WatchEventKind::Deleted,
                                    path,
                                }) = &event
                                {
                                    let child = path.rsplit('/').next().unwrap().to_owned();
                                    prop_assert!(
                                        !listed_servers(&follower).iter().any(|(n, _)| *n == child),
                                        "its end was told, and it is there"
                                    );
                                    ended.insert(child, registry.zxid);
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
                registry.connect(&mut follower, now);
                registry.settle(&mut follower, now);
                for _ in 0..2 {
                    now += MAX_RETURN_DELAY + 1.0;
                    follower.tick(now);
                    registry.settle(&mut follower, now);
                }
                let mut latest_by_port = BTreeMap::<u16, (i64, String)>::new();
                for (name, node) in registry.nodes.iter().filter(|(_, n)| n.data != "nonsense") {
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
                    let last = latest_by_port
                        .entry(port)
                        .or_insert((node.czxid, name.clone()));
                    if last.0 < node.czxid {
                        *last = (node.czxid, name.clone());
                    }
                }
                let expected: BTreeSet<(String, u16)> = latest_by_port
                    .into_iter()
                    .map(|(port, (_, name))| (name, port))
                    .collect();
                prop_assert_eq!(listed_servers(&follower), expected);
                prop_assert!(follower.is_settled());
                Ok(())
            },
        )
        .unwrap();
}
