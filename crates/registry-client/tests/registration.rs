//! The registration of a node's own entry in a fake registry.

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
/// The version in a delete request that matches any version of the entry.
const ANY_VERSION: i32 = -1;

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

#[derive(Clone)]
struct RegistryEntry {
    /// The session that created the entry.
    owner: i64,
    data: Bytes,
    version: i32,
}

/// A registry that has only [`PATH`].
#[derive(Default)]
struct FakeRegistry {
    entry: Option<RegistryEntry>,
    is_watched: bool,
}

impl FakeRegistry {
    /// The session that owns the entry.
    fn owner(&self) -> Option<i64> {
        self.entry.as_ref().map(|entry| entry.owner)
    }
}

/// A node, and its connection to the registry.
struct Node {
    registration: Registration,
    session: i64,
    is_connected: bool,
    requests: VecDeque<TokenRequest>,
    events: VecDeque<Event>,
}

impl Node {
    fn new(incarnation: u64, session: i64) -> Node {
        let registration = Registration::new(PATH.to_owned(), data(incarnation), vec![Acl::open()]);
        Node {
            registration,
            session,
            is_connected: false,
            requests: VecDeque::new(),
            events: VecDeque::new(),
        }
    }

    fn take_requests(&mut self) {
        while let Some(request) = self
            .registration
            .next_request()
            .filter(|_| self.is_connected)
        {
            self.requests.push_back(request);
        }
    }

    fn connect(&mut self, now: f64) {
        if !self.is_connected {
            self.is_connected = true;
            self.registration.handle_event(
                now,
                self.session,
                &Event::Connected {
                    is_new_session: true,
                },
            );
            self.take_requests();
        }
    }

    /// Loses the connection and all responses, before or after the registry executes the pending requests.
    fn disconnect(&mut self, now: f64, registry: &mut FakeRegistry, executes_pending: bool) {
        while executes_pending && !self.requests.is_empty() {
            self.execute_request(registry);
        }
        self.is_connected = false;
        registry.is_watched = false;
        let tokens: Vec<u64> = self
            .requests
            .drain(..)
            .map(|request| request.token)
            .collect();
        self.events.clear();
        self.registration
            .handle_event(now, self.session, &Event::Disconnected(LossReason::Closed));
        for token in tokens {
            self.registration
                .handle_event(now, self.session, &Event::RequestLost(token));
        }
    }

    /// The session expires, and the registry removes its entry. The next session is `session`.
    fn expire(&mut self, now: f64, registry: &mut FakeRegistry, session: i64) {
        self.disconnect(now, registry, false);
        if registry.owner() == Some(self.session) {
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
        let response = match (op, &mut registry.entry) {
            (Op::GetData { .. }, Some(entry)) => {
                registry.is_watched = true;
                let stat = Stat {
                    ephemeral_owner: entry.owner,
                    version: entry.version,
                    ..Stat::default()
                };
                Ok(Response::Data(entry.data.clone(), stat))
            }
            (Op::GetData { .. }, None) => Err(OperationError::NoNode),
            (Op::Create { data, .. }, entry @ None) => {
                *entry = Some(RegistryEntry {
                    owner: self.session,
                    data,
                    version: 0,
                });
                Ok(Response::Done)
            }
            (Op::Create { .. }, Some(_)) => Err(OperationError::NodeExists),
            (Op::Delete { .. }, None) => Err(OperationError::NoNode),
            (Op::Delete { version, .. }, Some(entry))
                if version != ANY_VERSION && version != entry.version =>
            {
                Err(OperationError::BadVersion)
            }
            (Op::Delete { .. }, entry) => {
                *entry = None;
                if std::mem::take(&mut registry.is_watched) {
                    self.report_deleted();
                }
                Ok(Response::Done)
            }
            _ => Err(OperationError::Unimplemented),
        };
        self.events.push_back(Event::Response(token, response));
    }

    /// Another client removes the entry.
    fn remove_entry_by_other(&mut self, registry: &mut FakeRegistry) {
        if registry.entry.take().is_some()
            && std::mem::take(&mut registry.is_watched)
            && self.is_connected
        {
            self.report_deleted();
        }
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

    /// Executes requests and handles events until none are left.
    fn settle(&mut self, now: f64, registry: &mut FakeRegistry) {
        for _ in 0..1000 {
            self.take_requests();
            if self.requests.is_empty() && self.events.is_empty() {
                return;
            }
            self.execute_request(registry);
            self.handle_event(now);
        }
        panic!("the node and the registry never settle");
    }
}

#[test]
fn entry_exists_while_registration_is_requested() {
    let mut registry = FakeRegistry::default();
    let mut node = Node::new(1, 100);
    node.connect(0.0);
    node.settle(0.0, &mut registry);
    assert!(registry.entry.is_none(), "registered before the request");
    node.registration.register();
    node.settle(0.0, &mut registry);
    assert!(node.registration.is_registered());
    let entry = registry.entry.clone().unwrap();
    let entry_data = serde_json::from_slice::<EntryData>(&entry.data).unwrap();
    assert_eq!((entry.owner, entry_data), (100, data(1)));
    assert_eq!(node.registration.next_report(), Some(Report::Registered));
    // Another client removes the entry.
    registry.entry = None;
    node.report_deleted();
    node.settle(1.0, &mut registry);
    assert!(registry.entry.is_some() && node.registration.is_registered());
    node.registration.deregister();
    assert!(!node.registration.is_deregistered());
    node.settle(2.0, &mut registry);
    assert!(registry.entry.is_none() && node.registration.is_deregistered());
}

/// Guards against a shutdown that waits for an entry that it can't delete, and ends without closing the session, whose end
/// removes it.
#[test]
fn rejected_request_ends_the_deregistration() {
    let rejection = Err(OperationError::NoAuth);
    let mut registry = FakeRegistry::default();
    // Rejected are the removal, the creation that was in flight, and the read after it.
    for executed_before in [None, Some(1), Some(2)] {
        let mut node = Node::new(1, 100);
        node.connect(0.0);
        node.registration.register();
        match executed_before {
            None => node.settle(0.0, &mut registry),
            Some(count) => (0..count).for_each(|_| {
                node.take_requests();
                node.execute_request(&mut registry);
                node.handle_event(0.0);
            }),
        }
        node.registration.deregister();
        assert!(!node.registration.is_deregistered());
        node.take_requests();
        let token = node.requests.pop_front().expect("a request").token;
        let response = Event::Response(token, rejection.clone());
        node.registration.handle_event(1.0, node.session, &response);
        assert!(node.registration.is_deregistered());
        registry.entry = None;
    }
}

/// Guards against a shutdown that waits for a registry in which the node has no entry.
#[test]
fn nothing_is_awaited_without_an_entry() {
    let mut node = Node::new(1, 100);
    node.connect(0.0);
    node.registration.register();
    node.take_requests();
    assert_eq!(node.requests.len(), 1, "the entry is read");
    node.registration.deregister();
    assert!(node.registration.is_deregistered());
    // The late response changes nothing.
    node.settle(1.0, &mut FakeRegistry::default());
    assert!(node.registration.is_deregistered() && node.requests.is_empty());
}

#[test]
fn only_the_entry_of_an_earlier_incarnation_is_replaced() {
    let entry = |data: &EntryData, owner| {
        Some(RegistryEntry {
            owner,
            data: serde_json::to_vec(data).unwrap().into(),
            version: 3,
        })
    };
    let mut registry = FakeRegistry {
        entry: entry(&data(1), 50),
        ..FakeRegistry::default()
    };
    let mut node = Node::new(2, 100);
    node.registration.register();
    node.connect(0.0);
    node.settle(0.0, &mut registry);
    assert_eq!(
        registry.owner(),
        Some(100),
        "the entry of the earlier incarnation still exists"
    );
    for (other_data, expected) in [
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
            entry: entry(&other_data, 50),
            ..FakeRegistry::default()
        };
        let mut node = Node::new(2, 100);
        node.registration.register();
        node.connect(0.0);
        node.settle(0.0, &mut registry);
        assert_eq!(node.registration.next_report(), Some(expected));
        assert_eq!(registry.owner(), Some(50));
        // Once the other entry is removed, the node registers its own, after the retry interval at the latest.
        registry.entry = None;
        node.registration.tick(node.registration.deadline());
        node.settle(RETRY_INTERVAL, &mut registry);
        assert!(node.registration.is_registered());
    }
}

/// An action of the random test.
#[derive(Clone, Copy, Debug)]
enum Action {
    Connect,
    Disconnect {
        executes_pending: bool,
    },
    Expire,
    /// Another client removes the entry.
    RemoveEntry,
    Tick,
    ExecuteRequest,
}

fn action() -> impl Strategy<Value = Action> {
    (0..9u8).prop_map(|action| match action {
        0 => Action::Connect,
        1 => Action::Disconnect {
            executes_pending: false,
        },
        2 => Action::Disconnect {
            executes_pending: true,
        },
        3 => Action::Expire,
        4 => Action::RemoveEntry,
        5 => Action::Tick,
        _ => Action::ExecuteRequest,
    })
}

/// Connections are lost before and after requests are executed, sessions expire and other clients remove the entry, in
/// any order. Afterwards the entry exists and belongs to the current session, or does not exist if the node
/// deregisters.
#[test]
fn entry_state_converges_after_any_order_of_losses() {
    let steps = prop::collection::vec((action(), 0.0..3.0f64), 1..80);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[14; 32]);
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&(steps, any::<bool>()), |(steps, deregisters)| {
            let mut registry = FakeRegistry::default();
            let mut session = 100;
            let mut node = Node::new(1, session);
            let mut now = 0.0;
            node.registration.register();
            for (action, after) in steps {
                now += after;
                match action {
                    Action::Connect => node.connect(now),
                    Action::Disconnect { executes_pending } => {
                        node.disconnect(now, &mut registry, executes_pending)
                    }
                    Action::Expire => {
                        session += 1;
                        node.expire(now, &mut registry, session);
                    }
                    Action::RemoveEntry => node.remove_entry_by_other(&mut registry),
                    Action::Tick => node.registration.tick(now),
                    Action::ExecuteRequest => {
                        node.take_requests();
                        node.execute_request(&mut registry);
                        node.handle_event(now);
                    }
                }
            }
            if deregisters {
                node.registration.deregister();
            }
            node.connect(now);
            for _ in 0..4 {
                now += RETRY_INTERVAL;
                node.settle(now, &mut registry);
                node.registration.tick(now);
            }
            node.settle(now, &mut registry);
            if deregisters {
                prop_assert_eq!(registry.owner(), None);
                prop_assert!(node.registration.is_deregistered());
            } else {
                prop_assert_eq!(registry.owner(), Some(node.session));
                prop_assert!(node.registration.is_registered());
            }
            Ok(())
        })
        .unwrap();
}
