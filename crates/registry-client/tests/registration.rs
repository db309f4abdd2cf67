//! This node's own entry against a fake registry.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_registry_client::registration::{EntryData, Registration, Report, RETRY_INTERVAL};
use reelfall_registry_client::session::{Event, LossReason, TokenRequest};
use reelfall_registry_client::wire::{
    Acl, Op, OperationError, Response, Stat, WatchEvent, WatchEventKind,
};
use std::collections::VecDeque;

const PATH: &str = "/nodes/n1";

fn data(incarnation: u64) -> EntryData {
    EntryData {
        name: "n1".to_owned(),
        address: "127.0.0.1:80".to_owned(),
        site: Some("ikeja-dc".to_owned()),
        zone: None,
        incarnation,
        started: incarnation,
    }
}

/// A registry with a single path: the owner, data and version of its entry.
#[derive(Default)]
struct FakeRegistry {
    entry: Option<(i64, Bytes, i32)>,
    watched: bool,
}

/// A node with its connection.
struct Node {
    registration: Registration,
    session: i64,
    up: bool,
    requests: VecDeque<TokenRequest>,
    events: VecDeque<Event>,
}

impl Node {
    fn new(incarnation: u64, session: i64) -> Node {
        let registration = Registration::new(PATH.to_owned(), data(incarnation), vec![Acl::open()]);
        Node {
            registration,
            session,
            up: false,
            requests: VecDeque::new(),
            events: VecDeque::new(),
        }
    }

    fn take_requests(&mut self) {
        while let Some(op) = self.registration.next_request().filter(|_| self.up) {
            self.requests.push_back(op);
        }
    }

    fn connect(&mut self, now: f64) {
        if !self.up {
            self.up = true;
            self.registration
                .handle_event(now, self.session, &Event::Up { is_new: true });
            self.take_requests();
        }
    }

    /// What was asked for may have been carried out or not; nobody hears.
    fn lose(&mut self, now: f64, registry: &mut FakeRegistry, carried_out: bool) {
        while carried_out && !self.requests.is_empty() {
            self.execute_request(registry);
        }
        self.up = false;
        registry.watched = false;
        let tokens: Vec<u64> = self
            .requests
            .drain(..)
            .map(|request| request.token)
            .collect();
        self.events.clear();
        self.registration
            .handle_event(now, self.session, &Event::Lost(LossReason::Closed));
        tokens.into_iter().for_each(|t| {
            self.registration
                .handle_event(now, self.session, &Event::RequestLost(t))
        });
    }

    /// Its session is over, and the registry has dropped what ended with it.
    fn expire(&mut self, now: f64, registry: &mut FakeRegistry, session: i64) {
        self.lose(now, registry, false);
        if registry
            .entry
            .as_ref()
            .is_some_and(|(owner, ..)| *owner == self.session)
        {
            registry.entry = None;
        }
        self.registration
            .handle_event(now, self.session, &Event::Expired);
        self.session = session;
    }

    fn execute_request(&mut self, registry: &mut FakeRegistry) {
        let Some(TokenRequest { token, op }) = self.requests.pop_front() else {
            return;
        };
        let answer = match (op, &mut registry.entry) {
            (Op::GetData { .. }, Some((owner, data, version))) => {
                registry.watched = true;
                let stat = Stat {
                    ephemeral_owner: *owner,
                    version: *version,
                    ..Stat::default()
                };
                Ok(Response::Data(data.clone(), stat))
            }
            (Op::GetData { .. }, None) => Err(OperationError::NoNode),
            (Op::Create { data, .. }, entry @ None) => {
                *entry = Some((self.session, data, 0));
                Ok(Response::Done)
            }
            (Op::Create { .. }, Some(_)) => Err(OperationError::NodeExists),
            (Op::Delete { .. }, None) => Err(OperationError::NoNode),
            (Op::Delete { version, .. }, Some((_, _, is))) if version != -1 && version != *is => {
                Err(OperationError::BadVersion)
            }
            (Op::Delete { .. }, entry) => {
                *entry = None;
                if std::mem::take(&mut registry.watched) {
                    self.report_deleted();
                }
                Ok(Response::Done)
            }
            _ => Err(OperationError::Unimplemented),
        };
        self.events.push_back(Event::Response(token, answer));
    }

    fn report_deleted(&mut self) {
        let path = PATH.to_owned();
        self.events.push_back(Event::Watch(WatchEvent {
            kind: WatchEventKind::Deleted,
            path,
        }));
    }

    fn handle_event(&mut self, now: f64) {
        if let Some(event) = self.events.pop_front() {
            self.registration.handle_event(now, self.session, &event);
        }
        self.take_requests();
    }

    fn settle(&mut self, now: f64, registry: &mut FakeRegistry) {
        for _ in 0..1000 {
            self.take_requests();
            if self.requests.is_empty() && self.events.is_empty() {
                return;
            }
            self.execute_request(registry);
            self.handle_event(now);
        }
        panic!("it never settles");
    }
}

#[test]
fn it_stands_from_when_it_is_wanted_until_it_is_not() {
    let (mut registry, mut node) = (FakeRegistry::default(), Node::new(1, 100));
    node.connect(0.0);
    node.settle(0.0, &mut registry);
    assert!(registry.entry.is_none(), "nobody wants it yet");
    node.registration.register();
    node.settle(0.0, &mut registry);
    assert!(node.registration.is_registered());
    let (owner, bytes, _) = registry.entry.clone().unwrap();
    assert_eq!(
        (owner, serde_json::from_slice::<EntryData>(&bytes).unwrap()),
        (100, data(1))
    );
    assert_eq!(node.registration.next_report(), Some(Report::Registered));
    // Somebody removes it.
    registry.entry = None;
    node.report_deleted();
    node.settle(1.0, &mut registry);
    assert!(registry.entry.is_some() && node.registration.is_registered());
    node.registration.deregister();
    assert!(!node.registration.is_deregistered());
    node.settle(2.0, &mut registry);
    assert!(registry.entry.is_none() && node.registration.is_deregistered());
}

#[test]
fn what_an_earlier_life_left_goes_and_a_strangers_or_a_later_lifes_stays() {
    let entry =
        |data: &EntryData, owner| Some((owner, Bytes::from(serde_json::to_vec(data).unwrap()), 3));
    let mut registry = FakeRegistry {
        entry: entry(&data(1), 50),
        ..FakeRegistry::default()
    };
    let mut node = Node::new(2, 100);
    node.registration.register();
    node.connect(0.0);
    node.settle(0.0, &mut registry);
    assert_eq!(
        registry.entry.as_ref().map(|(owner, ..)| *owner),
        Some(100),
        "the entry of the life before stands"
    );
    for (theirs, report) in [
        (data(9), Report::Superseded),
        (
            EntryData {
                name: "other".to_owned(),
                ..data(1)
            },
            Report::PathTaken(PATH.to_owned()),
        ),
    ] {
        let mut registry = FakeRegistry {
            entry: entry(&theirs, 50),
            ..FakeRegistry::default()
        };
        let mut node = Node::new(2, 100);
        node.registration.register();
        node.connect(0.0);
        node.settle(0.0, &mut registry);
        assert_eq!(node.registration.next_report(), Some(report));
        assert_eq!(registry.entry.as_ref().map(|(owner, ..)| *owner), Some(50));
        // When it goes, this one comes, told by the watch or by looking again.
        registry.entry = None;
        node.registration.tick(node.registration.deadline());
        node.settle(RETRY_INTERVAL, &mut registry);
        assert!(node.registration.is_registered());
    }
}

/// Connections lost before and after what was asked was carried out, sessions over, entries removed by others, in any
/// order: once all is quiet it stands if it is wanted, by the present session, and nothing is left if it is not.
#[test]
fn any_order_of_losses_ends_with_one_entry_or_none() {
    let steps = prop::collection::vec((0..9u8, 0.0..3.0f64), 1..80);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[14; 32]);
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&(steps, any::<bool>()), |(steps, leaves)| {
            let (mut registry, mut node, mut now, mut session) =
                (FakeRegistry::default(), Node::new(1, 100), 0.0, 100);
            node.registration.register();
            for (what, after) in steps {
                now += after;
                match what {
                    0 => node.connect(now),
                    1 => node.lose(now, &mut registry, false),
                    2 => node.lose(now, &mut registry, true),
                    3 => {
                        session += 1;
                        node.expire(now, &mut registry, session);
                    }
                    4 => {
                        if registry.entry.take().is_some()
                            && std::mem::take(&mut registry.watched)
                            && node.up
                        {
                            node.report_deleted();
                        }
                    }
                    5 => node.registration.tick(now),
                    _ => {
                        node.take_requests();
                        node.execute_request(&mut registry);
                        node.handle_event(now);
                    }
                }
            }
            if leaves {
                node.registration.deregister();
            }
            node.connect(now);
            for _ in 0..4 {
                now += RETRY_INTERVAL;
                node.settle(now, &mut registry);
                node.registration.tick(now);
            }
            node.settle(now, &mut registry);
            let owner = registry.entry.as_ref().map(|(owner, ..)| *owner);
            if leaves {
                prop_assert_eq!(owner, None);
                prop_assert!(node.registration.is_deregistered());
            } else {
                prop_assert_eq!(owner, Some(node.session));
                prop_assert!(node.registration.is_registered());
            }
            Ok(())
        })
        .unwrap();
}
