//! Random sequences of changes, lost watch events and lost connections.

use crate::fake_registry::{payload, port_of, FakeRegistry, WatchDelivery, OWNER_SESSION};
use crate::fixture::{Fixture, ListedServer};
use bytes::Bytes;
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, Strategy, TestCaseError};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_registry_client::follow::{FollowerConfig, FollowerSizes};
use reelfall_registry_client::roster::MAX_RETURN_DELAY;
use reelfall_registry_client::session::Event;
use reelfall_registry_client::wire::{WatchEvent, WatchEventKind};
use std::collections::{BTreeMap, BTreeSet};

/// Number of different entry names.
const NAMES: u8 = 5;

/// Data that is no valid description of a server.
const INVALID_DATA: &[u8] = b"nonsense";

const START: f64 = 1000.0;

#[derive(Clone, Copy, Debug)]
enum Action {
    Put(WatchDelivery),
    Remove(WatchDelivery),
    PutInvalid,
    DropConnection,
    Connect,
    Tick,
    ExecuteRequest,
    DeliverEvent,
}

#[derive(Clone, Debug)]
struct Step {
    action: Action,
    /// The entry that the action changes.
    name: String,
    /// The port that a put writes.
    port: u16,
    /// The time since the previous step, in seconds.
    delay: f64,
}

fn action(number: u8, loses_event: bool) -> Action {
    let delivery = if loses_event {
        WatchDelivery::Lost
    } else {
        WatchDelivery::Delivered
    };
    match number {
        0 => Action::Put(delivery),
        1 => Action::Put(WatchDelivery::Delivered),
        2 => Action::Remove(delivery),
        3 => Action::Remove(WatchDelivery::Delivered),
        4 => Action::PutInvalid,
        5 => Action::DropConnection,
        6 => Action::Connect,
        7 => Action::Tick,
        8 | 9 => Action::ExecuteRequest,
        _ => Action::DeliverEvent,
    }
}

fn step() -> impl Strategy<Value = Step> {
    (0..14u8, 0..NAMES, 1..6u16, 0.0..2.0f64, any::<bool>()).prop_map(
        |(number, name, port, delay, loses_event)| Step {
            action: action(number, loses_event),
            name: format!("s{name}"),
            port,
            delay,
        },
    )
}

fn perform(fixture: &mut Fixture, step: &Step, now: f64) -> Result<(), TestCaseError> {
    let registry = &mut fixture.registry;
    match step.action {
        Action::Put(delivery) => {
            registry.put(&step.name, payload(step.port), OWNER_SESSION, delivery);
        }
        Action::Remove(delivery) => registry.remove(&step.name, delivery),
        Action::PutInvalid => registry.put(
            &step.name,
            Bytes::from_static(INVALID_DATA),
            OWNER_SESSION,
            WatchDelivery::Delivered,
        ),
        Action::DropConnection => fixture.drop_connection(now),
        Action::Connect => fixture.connect(now),
        Action::Tick => fixture.follower.tick(now),
        Action::ExecuteRequest => {
            fixture.receive_requests();
            fixture.registry.execute_request();
        }
        Action::DeliverEvent => deliver_event(fixture, now)?,
    }
    Ok(())
}

/// Delivers an event, and checks that a server is not listed after the event of its removal.
fn deliver_event(fixture: &mut Fixture, now: f64) -> Result<(), TestCaseError> {
    if let Some(Event::Watch(WatchEvent {
        kind: WatchEventKind::Deleted,
        path,
    })) = fixture.deliver_event(now)
    {
        let removed = path.rsplit('/').next().unwrap();
        prop_assert!(
            !fixture
                .listed_servers()
                .iter()
                .any(|server| server.name == removed),
            "the server is listed after the event of its removal"
        );
    }
    Ok(())
}

fn check_sizes(sizes: FollowerSizes) -> Result<(), TestCaseError> {
    let max_entries = usize::from(NAMES);
    let FollowerSizes {
        entries,
        waiting_reads,
        pending_requests,
    } = sizes;
    prop_assert!(
        entries <= max_entries
            && waiting_reads <= max_entries
            && pending_requests <= max_entries + 5,
        "{:?}",
        sizes
    );
    Ok(())
}

/// The servers of the registry's valid entries; of several with one address, that of the entry created last.
fn expected_servers(registry: &FakeRegistry) -> BTreeSet<ListedServer> {
    let mut valid_nodes: Vec<_> = registry
        .nodes
        .iter()
        .filter(|(_, node)| node.data != INVALID_DATA)
        .collect();
    valid_nodes.sort_by_key(|(_, node)| node.czxid);
    let latest_by_port: BTreeMap<u16, &String> = valid_nodes
        .into_iter()
        .map(|(name, node)| (port_of(&node.data), name))
        .collect();
    latest_by_port
        .into_iter()
        .map(|(port, name)| ListedServer::new(name, port))
        .collect()
}

fn run(has_persistent_watches: bool, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut now = START;
    let mut fixture = Fixture::disconnected(has_persistent_watches, FollowerConfig::default(), now);
    for step in steps {
        now += step.delay;
        perform(&mut fixture, step, now)?;
        check_sizes(fixture.follower.sizes())?;
    }
    fixture.connect(now);
    fixture.settle(now);
    // The first periodic read finds the changes whose events were lost; by the second, delayed servers have returned.
    for _ in 0..2 {
        now += MAX_RETURN_DELAY + 1.0;
        fixture.tick_and_settle(now);
    }
    let expected = expected_servers(&fixture.registry);
    prop_assert_eq!(fixture.listed_servers(), expected);
    prop_assert!(fixture.follower.is_settled());
    Ok(())
}

/// For any order of changes and losses, a server is not listed between the event of its removal and the next read of
/// its entry, and at the end the list equals the registry's.
#[test]
fn list_converges_after_any_order_of_changes_and_losses() {
    let strategy = (any::<bool>(), prop::collection::vec(step(), 1..150));
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]);
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, |(has_persistent_watches, steps)| {
            run(has_persistent_watches, &steps)
        })
        .unwrap();
}
