//! Checks that the cost of an endpoint list update is linear in the length of the list, and not quadratic.
//!
//! Each test compares the processor time of its thread for a list with that for one eight times as long. A linear cost
//! grows by a factor of 8, a quadratic one by a factor of 64.

mod common;

use common::{class, endpoint_of, settings};
use reelfall_balancer::engine::{
    AddressedEndpoint, Command, DecisionModule, Engine, Host, SERVER_ID_QUARANTINE,
};
use reelfall_balancer::interface::{
    Action, Endpoint, Event, Idempotency, MachineTypeId, ServerId, ServerState, Settings, Tenant,
    Time, UpdateKind,
};
use reelfall_balancer::Balancer;
use rustix::time::{clock_gettime, ClockId};
use std::cell::RefCell;
use std::rc::Rc;

const SHORT_LIST: u32 = 1_000;
const LONG_LIST: u32 = 8 * SHORT_LIST;

/// Well above the factor of 8 of a linear cost, and well below the factor of 64 of a quadratic one.
const MAX_GROWTH: f64 = 24.0;

/// Number of runs. The fastest one counts, as other processes may evict the caches during a run.
const RUNS: usize = 4;

/// Processor time of this thread, in seconds.
fn processor_time() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// The processor time of `operation` on the state that `prepare` makes for a list of this length.
fn cost<T>(servers: u32, prepare: impl Fn(u32) -> T, operation: impl Fn(u32, &mut T)) -> f64 {
    let run = |_| {
        let mut prepared = prepare(servers);
        let start = processor_time();
        operation(servers, &mut prepared);
        processor_time() - start
    };
    (0..RUNS).map(run).fold(f64::MAX, f64::min)
}

fn assert_linear_cost<T>(prepare: impl Fn(u32) -> T, operation: impl Fn(u32, &mut T)) {
    let short = cost(SHORT_LIST, &prepare, &operation);
    let long = cost(LONG_LIST, &prepare, &operation);
    let growth = long / short;
    assert!(
        growth < MAX_GROWTH,
        "{short:.6} s for {SHORT_LIST}, {long:.6} s for {LONG_LIST}: {growth:.1} times"
    );
}

/// One of a hundred balancers, each of which has a subset of the list.
fn balancer() -> Balancer {
    let settings = Settings {
        node_count: 100,
        node_index: Some(3),
        has_server_weights: true,
        tenants: vec![Tenant { quota: 2000.0 }],
        ..settings(vec![class(Idempotency::Idempotent)])
    };
    Balancer::new(settings, 1, 0.0).expect("valid settings")
}

fn server(id: ServerId) -> Endpoint {
    Endpoint {
        machine_type: (id % 5) as MachineTypeId,
        weight: 1.0 + f64::from(id % 3),
        ..endpoint_of(id)
    }
}

fn removed(id: ServerId) -> Endpoint {
    Endpoint {
        state: ServerState::Removed,
        ..server(id)
    }
}

fn update(balancer: &mut Balancer, kind: UpdateKind, endpoints: Vec<Endpoint>) {
    let event = Event::EndpointUpdate { kind, endpoints };
    balancer.handle(1.0, event, &mut vec![]);
}

fn balancer_with_list(servers: u32) -> Balancer {
    let mut balancer = balancer();
    let list = (0..servers).map(server).collect();
    update(&mut balancer, UpdateKind::Cached, list);
    balancer
}

#[test]
fn initial_list_has_linear_cost() {
    assert_linear_cost(
        |_| balancer(),
        |servers, balancer| {
            update(
                balancer,
                UpdateKind::Cached,
                (0..servers).map(server).collect(),
            );
        },
    );
}

#[test]
fn snapshot_of_other_servers_has_linear_cost() {
    assert_linear_cost(balancer_with_list, |servers, balancer| {
        update(
            balancer,
            UpdateKind::Snapshot,
            (servers..2 * servers).map(server).collect(),
        );
    });
}

#[test]
fn delta_with_many_added_servers_has_linear_cost() {
    assert_linear_cost(balancer_with_list, |servers, balancer| {
        update(
            balancer,
            UpdateKind::Delta,
            (servers..2 * servers).map(server).collect(),
        );
    });
}

#[test]
fn delta_with_many_removed_servers_has_linear_cost() {
    assert_linear_cost(balancer_with_list, |servers, balancer| {
        update(
            balancer,
            UpdateKind::Delta,
            (0..servers).map(removed).collect(),
        );
    });
}

#[test]
fn delta_with_many_restarted_servers_has_linear_cost() {
    assert_linear_cost(balancer_with_list, |servers, balancer| {
        let restarted = |id| Endpoint {
            started_at: 0.5,
            ..server(id)
        };
        update(
            balancer,
            UpdateKind::Delta,
            (0..servers).map(restarted).collect(),
        );
    });
}

#[test]
fn delta_with_removed_and_added_servers_has_linear_cost() {
    assert_linear_cost(balancer_with_list, |servers, balancer| {
        let changes = (0..servers)
            .flat_map(|id| [removed(id), server(servers + id), server(2 * servers + id)]);
        update(balancer, UpdateKind::Delta, changes.collect());
    });
}

#[test]
fn adoption_of_learned_state_has_linear_cost() {
    let prepare = |servers| {
        let balancer = balancer_with_list(servers);
        let learned = balancer.learned(1.0);
        (balancer, learned)
    };
    assert_linear_cost(prepare, |_, (balancer, learned)| {
        balancer.adopt(1.0, learned);
    });
}

/// A module that decides nothing.
struct IdleModule;

impl DecisionModule for IdleModule {
    fn handle(&mut self, _: Time, _: Event, _: &mut Vec<Action>) {}
}

struct TestHost;

impl Host for TestHost {
    type Payload = ();
    type Reply = ();
    type Address = u32;
    type Answer = ();
}

fn at_address(id: ServerId, address: u32) -> AddressedEndpoint<u32> {
    AddressedEndpoint {
        endpoint: server(id),
        address,
    }
}

fn engine_with_list(servers: u32) -> Engine<TestHost, IdleModule> {
    let mut engine = Engine::new(IdleModule, &[], 1);
    engine.update_endpoints(
        0.0,
        UpdateKind::Snapshot,
        (0..servers).map(|id| at_address(id, id)).collect(),
        &mut vec![],
    );
    engine
}

#[test]
fn initial_list_in_the_engine_has_linear_cost() {
    assert_linear_cost(
        |_| engine_with_list(0),
        |servers, engine| {
            engine.update_endpoints(
                0.0,
                UpdateKind::Snapshot,
                (0..servers).map(|id| at_address(id, id)).collect(),
                &mut vec![],
            );
        },
    );
}

#[test]
fn new_servers_at_reused_addresses_have_linear_cost() {
    assert_linear_cost(engine_with_list, |servers, engine| {
        let replacements = (0..servers)
            .map(|id| at_address(servers + id, id))
            .collect();
        engine.update_endpoints(1.0, UpdateKind::Delta, replacements, &mut vec![]);
        assert!(!engine.is_listed(0) && engine.is_listed(servers));
    });
}

#[test]
fn release_of_quarantined_ids_has_linear_cost() {
    let prepare = |servers| {
        let mut engine = engine_with_list(servers);
        engine.update_endpoints(1.0, UpdateKind::Snapshot, vec![], &mut vec![]);
        engine
    };
    assert_linear_cost(prepare, |servers, engine| {
        let mut commands = vec![];
        engine.update_endpoints(
            1.0 + 2.0 * SERVER_ID_QUARANTINE,
            UpdateKind::Delta,
            vec![],
            &mut commands,
        );
        let released = commands
            .iter()
            .filter(|command| matches!(command, Command::ReleaseServerId { .. }))
            .count();
        assert_eq!(released, servers as usize);
    });
}

/// An engine and a balancer of its own, both with the same list.
struct ListedServers {
    engine: Engine<TestHost, IdleModule>,
    balancer: Balancer,
}

#[test]
fn repeated_replacement_by_servers_with_new_ids_has_linear_cost() {
    let prepare = |servers| ListedServers {
        engine: engine_with_list(servers),
        balancer: balancer_with_list(servers),
    };
    assert_linear_cost(prepare, |servers, listed| {
        for round in 1..4 {
            let (first_old, first_new) = ((round - 1) * servers, round * servers);
            let now = 2.0 * SERVER_ID_QUARANTINE * f64::from(round);
            let replacements = (0..servers)
                .map(|index| at_address(first_new + index, index))
                .collect();
            listed
                .engine
                .update_endpoints(now, UpdateKind::Delta, replacements, &mut vec![]);
            let changes = (0..servers)
                .flat_map(|index| [removed(first_old + index), server(first_new + index)]);
            update(&mut listed.balancer, UpdateKind::Delta, changes.collect());
        }
    });
}

/// The identifiers that the engine releases at an update.
fn released_ids(
    engine: &mut Engine<TestHost, IdleModule>,
    now: Time,
    kind: UpdateKind,
    endpoints: Vec<AddressedEndpoint<u32>>,
) -> Vec<ServerId> {
    let mut commands = vec![];
    engine.update_endpoints(now, kind, endpoints, &mut commands);
    commands
        .iter()
        .filter_map(|command| match command {
            Command::ReleaseServerId { server } => Some(*server),
            _ => None,
        })
        .collect()
}

#[test]
fn reused_id_is_not_released() {
    let mut engine = engine_with_list(2);
    let mut released = |now, kind, endpoints| released_ids(&mut engine, now, kind, endpoints);
    assert!(released(1.0, UpdateKind::Snapshot, vec![]).is_empty());
    assert!(released(2.0, UpdateKind::Snapshot, vec![at_address(0, 0)]).is_empty());
    assert!(released(20.0, UpdateKind::Snapshot, vec![]).is_empty());
    // The first quarantine of identifier 0 is over, its second is not.
    assert_eq!(released(35.0, UpdateKind::Delta, vec![]), [1]);
    assert_eq!(released(55.0, UpdateKind::Delta, vec![]), [0]);
}

type EndpointStates = Rc<RefCell<Vec<(ServerId, ServerState)>>>;

/// Records the endpoints of the last update.
struct RecordingModule(EndpointStates);

impl DecisionModule for RecordingModule {
    fn handle(&mut self, _: Time, event: Event, _: &mut Vec<Action>) {
        if let Event::EndpointUpdate { endpoints, .. } = event {
            *self.0.borrow_mut() = endpoints
                .iter()
                .map(|endpoint| (endpoint.server, endpoint.state))
                .collect();
        }
    }
}

#[test]
fn last_server_at_an_address_replaces_the_others() {
    let recorded = EndpointStates::default();
    let module = RecordingModule(Rc::clone(&recorded));
    let mut engine: Engine<TestHost, RecordingModule> = Engine::new(module, &[], 1);
    let (up, removed) = (ServerState::Up, ServerState::Removed);
    let endpoints = vec![
        at_address(1, 7),
        at_address(2, 7),
        at_address(1, 7),
        at_address(3, 8),
    ];
    engine.update_endpoints(0.0, UpdateKind::Snapshot, endpoints, &mut vec![]);
    assert_eq!(
        *recorded.borrow(),
        [(1, removed), (2, removed), (1, up), (3, up)]
    );
    // A server that moves to another address leaves its old one to others.
    let endpoints = vec![at_address(3, 9), at_address(4, 8), at_address(5, 9)];
    engine.update_endpoints(1.0, UpdateKind::Delta, endpoints, &mut vec![]);
    assert_eq!(*recorded.borrow(), [(4, up), (3, removed), (5, up)]);
}
