//! What a server list costs: in proportion to its length, not to the square of it.
//!
//! Each test compares the processor time of its thread for a list with that for one eight times as long. A cost in
//! proportion to the length grows to eight times, one in proportion to its square to sixty-four.

mod common;

use common::{class, entry, settings};
use reelfall_balancer::engine::{
    AddressedEndpoint, Command, DecisionModule, Engine, Host, SERVER_ID_QUARANTINE,
};
use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;
use rustix::time::{clock_gettime, ClockId};

const SHORT: u32 = 1_000;
const LONG: u32 = 8 * SHORT;

/// Far from eight times as well as from sixty-four.
const GROWTH_MOST: f64 = 24.0;

/// The least of so many runs counts: a run is longer where others take the caches.
const RUNS: usize = 4;

/// Processor time of this thread, in seconds.
fn processor_time() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// The cost of `act` on what `prepare` makes for a list of this length.
fn cost<T>(servers: u32, prepare: impl Fn(u32) -> T, act: impl Fn(u32, &mut T)) -> f64 {
    let run = |_| {
        let mut prepared = prepare(servers);
        let began = processor_time();
        act(servers, &mut prepared);
        processor_time() - began
    };
    (0..RUNS).map(run).fold(f64::MAX, f64::min)
}

fn assert_in_proportion<T>(prepare: impl Fn(u32) -> T, act: impl Fn(u32, &mut T)) {
    let short = cost(SHORT, &prepare, &act);
    let long = cost(LONG, &prepare, &act);
    let growth = long / short;
    assert!(
        growth < GROWTH_MOST,
        "{short:.6} s for {SHORT}, {long:.6} s for {LONG}: {growth:.1} times"
    );
}

/// One of a hundred nodes, each of which has a part of the list.
fn node() -> Balancer {
    let mut s = settings(vec![class(Idempotency::Idempotent)]);
    (s.node_count, s.node_index, s.has_server_weights) = (100, Some(3), true);
    s.tenants = vec![Tenant { quota: 2000.0 }];
    Balancer::new(s, 1, 0.0).expect("usable settings")
}

fn server(n: u32) -> Endpoint {
    Endpoint {
        machine_type: (n % 5) as MachineTypeId,
        weight: 1.0 + f64::from(n % 3),
        ..entry(n)
    }
}

fn gone(n: u32) -> Endpoint {
    Endpoint {
        state: ServerState::Removed,
        ..server(n)
    }
}

fn tell(node: &mut Balancer, list: UpdateKind, entries: Vec<Endpoint>) {
    node.handle(
        1.0,
        Event::EndpointUpdate {
            kind: list,
            endpoints: entries,
        },
        &mut vec![],
    );
}

fn listed(servers: u32) -> Balancer {
    let mut node = node();
    tell(
        &mut node,
        UpdateKind::Cached,
        (0..servers).map(server).collect(),
    );
    node
}

#[test]
fn a_whole_list() {
    assert_in_proportion(
        |_| node(),
        |servers, node| tell(node, UpdateKind::Cached, (0..servers).map(server).collect()),
    );
}

#[test]
fn a_whole_list_of_other_servers() {
    assert_in_proportion(listed, |servers, node| {
        tell(
            node,
            UpdateKind::Snapshot,
            (servers..2 * servers).map(server).collect(),
        );
    });
}

#[test]
fn a_change_in_which_many_join() {
    assert_in_proportion(listed, |servers, node| {
        tell(
            node,
            UpdateKind::Delta,
            (servers..2 * servers).map(server).collect(),
        );
    });
}

#[test]
fn a_change_in_which_many_leave() {
    assert_in_proportion(listed, |servers, node| {
        tell(node, UpdateKind::Delta, (0..servers).map(gone).collect());
    });
}

#[test]
fn a_change_in_which_many_restart() {
    assert_in_proportion(listed, |servers, node| {
        let restarted = |n| Endpoint {
            started_at: 0.5,
            ..server(n)
        };
        tell(
            node,
            UpdateKind::Delta,
            (0..servers).map(restarted).collect(),
        );
    });
}

#[test]
fn a_change_in_which_some_leave_as_others_join() {
    assert_in_proportion(listed, |servers, node| {
        let turns =
            (0..servers).flat_map(|n| [gone(n), server(servers + n), server(2 * servers + n)]);
        tell(node, UpdateKind::Delta, turns.collect());
    });
}

#[test]
fn what_another_has_learned() {
    let prepare = |servers| {
        let node = listed(servers);
        let learned = node.learned(1.0);
        (node, learned)
    };
    assert_in_proportion(prepare, |_, (node, learned)| node.adopt(1.0, learned));
}

/// A module that decides nothing.
struct Idle;

impl DecisionModule for Idle {
    fn handle(&mut self, _: Time, _: Event, _: &mut Vec<Action>) {}
}

struct Test;

impl Host for Test {
    type Payload = ();
    type Reply = ();
    type Address = u32;
    type Answer = ();
}

fn at(n: u32, address: u32) -> AddressedEndpoint<u32> {
    AddressedEndpoint {
        endpoint: server(n),
        address,
    }
}

fn engine(servers: u32) -> Engine<Test, Idle> {
    let mut engine = Engine::new(Idle, &[], 1);
    engine.update_endpoints(
        0.0,
        UpdateKind::Snapshot,
        (0..servers).map(|n| at(n, n)).collect(),
        &mut vec![],
    );
    engine
}

#[test]
fn a_whole_list_in_the_engine() {
    assert_in_proportion(
        |_| engine(0),
        |servers, engine| {
            engine.update_endpoints(
                0.0,
                UpdateKind::Snapshot,
                (0..servers).map(|n| at(n, n)).collect(),
                &mut vec![],
            );
        },
    );
}

#[test]
fn new_servers_at_the_addresses_of_others() {
    assert_in_proportion(engine, |servers, engine| {
        let new = (0..servers).map(|n| at(servers + n, n)).collect();
        engine.update_endpoints(1.0, UpdateKind::Delta, new, &mut vec![]);
        assert!(!engine.is_listed(0) && engine.is_listed(servers));
    });
}

#[test]
fn numbers_that_are_free_again() {
    let prepare = |servers| {
        let mut engine = engine(servers);
        engine.update_endpoints(1.0, UpdateKind::Snapshot, vec![], &mut vec![]);
        engine
    };
    assert_in_proportion(prepare, |servers, engine| {
        let mut out = vec![];
        engine.update_endpoints(
            1.0 + 2.0 * SERVER_ID_QUARANTINE,
            UpdateKind::Delta,
            vec![],
            &mut out,
        );
        let released = out
            .iter()
            .filter(|c| matches!(c, Command::ReleaseServerId { .. }))
            .count();
        assert_eq!(released, servers as usize);
    });
}

/// Servers whose numbers are ever new, each replaced by another.
#[test]
fn a_churn_of_new_numbers() {
    let act = |servers: u32, (engine, node): &mut (Engine<Test, Idle>, Balancer)| {
        for round in 1..4 {
            let (old, new) = ((round - 1) * servers, round * servers);
            let now = 2.0 * SERVER_ID_QUARANTINE * f64::from(round);
            let places = (0..servers).map(|n| at(new + n, n)).collect();
            engine.update_endpoints(now, UpdateKind::Delta, places, &mut vec![]);
            let turns = (0..servers).flat_map(|n| [gone(old + n), server(new + n)]);
            tell(node, UpdateKind::Delta, turns.collect());
        }
    };
    assert_in_proportion(|servers| (engine(servers), listed(servers)), act);
}

#[test]
fn a_number_that_is_used_again_is_not_released() {
    let mut engine = engine(2);
    let mut released = |now: Time, list: UpdateKind, places: Vec<AddressedEndpoint<u32>>| {
        let mut out = vec![];
        engine.update_endpoints(now, list, places, &mut out);
        let of = |c: &Command<Test>| match c {
            Command::ReleaseServerId { server } => Some(*server),
            _ => None,
        };
        out.iter().filter_map(of).collect::<Vec<ServerId>>()
    };
    assert!(released(1.0, UpdateKind::Snapshot, vec![]).is_empty());
    assert!(released(2.0, UpdateKind::Snapshot, vec![at(0, 0)]).is_empty());
    assert!(released(20.0, UpdateKind::Snapshot, vec![]).is_empty());
    // The first rest of number 0 is over, its second is not.
    assert_eq!(released(35.0, UpdateKind::Delta, vec![]), [1]);
    assert_eq!(released(55.0, UpdateKind::Delta, vec![]), [0]);
}

#[test]
fn of_servers_at_one_address_the_one_named_last_stays() {
    struct Told(std::rc::Rc<std::cell::RefCell<Vec<(ServerId, ServerState)>>>);
    impl DecisionModule for Told {
        fn handle(&mut self, _: Time, event: Event, _: &mut Vec<Action>) {
            if let Event::EndpointUpdate {
                endpoints: entries, ..
            } = event
            {
                *self.0.borrow_mut() = entries.iter().map(|e| (e.server, e.state)).collect();
            }
        }
    }
    let told = std::rc::Rc::default();
    let mut engine: Engine<Test, Told> = Engine::new(Told(std::rc::Rc::clone(&told)), &[], 1);
    let (up, gone) = (ServerState::Up, ServerState::Removed);
    let places = vec![at(1, 7), at(2, 7), at(1, 7), at(3, 8)];
    engine.update_endpoints(0.0, UpdateKind::Snapshot, places, &mut vec![]);
    assert_eq!(*told.borrow(), [(1, gone), (2, gone), (1, up), (3, up)]);
    // One that moves to another address leaves its old one to others.
    engine.update_endpoints(
        1.0,
        UpdateKind::Delta,
        vec![at(3, 9), at(4, 8), at(5, 9)],
        &mut vec![],
    );
    assert_eq!(*told.borrow(), [(4, up), (3, gone), (5, up)]);
}
