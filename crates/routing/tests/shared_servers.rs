//! The combined state of servers that the endpoint lists of several pools contain.

use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, prop_oneof, Just, Strategy};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use reelfall_routing::shared_servers::{
    CombinedView, ListedState, ServerStatus, SharedServers, GONE_TTL, MAX_POOLS_IN_SLOW_START,
};
use std::collections::BTreeMap;

/// The duration of a server's slow start, in seconds.
const SLOW_START: f64 = 10.0;

const ADDRESS: &str = "s";

type Servers = SharedServers<&'static str, u8>;

/// The state of a server in a list that reports when servers start.
fn listed(status: ServerStatus, started_at: f64) -> ListedState {
    ListedState {
        status,
        started_at,
        reports_start: true,
    }
}

/// The state of an available server in a list that does not report when servers start.
fn with_assumed_start(started_at: f64) -> ListedState {
    ListedState {
        reports_start: false,
        ..listed(ServerStatus::Up, started_at)
    }
}

fn update(servers: &mut Servers, now: f64, pool: u8, status: ServerStatus, start: f64) -> bool {
    servers.update(now, pool, &ADDRESS, Some(listed(status, start)))
}

/// The view of a pool whose own list has the server as available.
fn view(servers: &Servers, now: f64, pool: u8, started_at: f64) -> CombinedView {
    let state = listed(ServerStatus::Up, started_at);
    servers.view(now, pool, &ADDRESS, state, SLOW_START)
}

#[test]
fn draining_in_one_list_applies_to_all_pools() {
    let mut servers = Servers::default();
    assert!(update(&mut servers, 0.0, 1, ServerStatus::Up, 0.0));
    assert_eq!(view(&servers, 0.0, 1, 0.0), CombinedView::unshared(0.0));
    assert!(update(&mut servers, 0.0, 2, ServerStatus::Up, 0.0));
    assert_eq!(
        view(&servers, 0.0, 1, 0.0),
        CombinedView {
            pool_count: 2,
            ..CombinedView::unshared(0.0)
        }
    );
    assert!(
        !update(&mut servers, 0.5, 2, ServerStatus::Up, 0.0),
        "a repeated update was reported as a change"
    );
    assert!(update(&mut servers, 1.0, 2, ServerStatus::Draining, 0.0));
    assert!(view(&servers, 1.0, 1, 0.0).is_draining);
    // Draining does not expire.
    assert!(view(&servers, 1000.0, 1, 0.0).is_draining);
    assert!(update(&mut servers, 1000.0, 2, ServerStatus::Up, 0.0));
    assert!(!view(&servers, 1000.0, 1, 0.0).is_draining);
}

#[test]
fn stop_in_one_list_applies_until_it_expires_or_the_server_restarts() {
    let mut servers = Servers::default();
    update(&mut servers, 0.0, 1, ServerStatus::Up, 5.0);
    update(&mut servers, 0.0, 2, ServerStatus::Up, 5.0);
    update(&mut servers, 10.0, 2, ServerStatus::Gone, 5.0);
    // The list of pool 1 is outdated and still has the server.
    assert!(view(&servers, 10.1, 1, 5.0).is_draining);
    assert_eq!(view(&servers, 10.1, 1, 5.0).pool_count, 1);
    // A start time later than that of the removed server means that it has restarted.
    assert!(!view(&servers, 10.2, 1, 9.0).is_draining);
    assert!(servers.expire(10.0 + GONE_TTL / 2.0).is_empty());
    assert_eq!(servers.expire(10.0 + GONE_TTL), [ADDRESS]);
    assert_eq!(
        view(&servers, 10.0 + GONE_TTL, 1, 5.0),
        CombinedView::unshared(5.0)
    );
}

#[test]
fn removal_from_the_settings_does_not_apply_to_other_pools() {
    let mut servers = Servers::default();
    update(&mut servers, 0.0, 1, ServerStatus::Up, 0.0);
    update(&mut servers, 0.0, 2, ServerStatus::Draining, 0.0);
    assert!(servers.update(1.0, 2, &ADDRESS, None));
    assert_eq!(view(&servers, 1.0, 1, 0.0), CombinedView::unshared(0.0));
    update(&mut servers, 2.0, 2, ServerStatus::Draining, 0.0);
    assert_eq!(servers.remove_pool(2), [ADDRESS]);
    assert_eq!(view(&servers, 2.0, 1, 0.0), CombinedView::unshared(0.0));
    assert_eq!(servers.remove_pool(1), [ADDRESS]);
    assert!(
        servers.is_empty(),
        "the state of a server that no pool lists was kept"
    );
}

#[test]
fn start_time_reported_by_one_list_applies_to_all_pools() {
    const NOW: f64 = 100.0;
    let mut servers = Servers::default();
    let start = |servers: &Servers, pool, own| {
        servers
            .view(NOW, pool, &ADDRESS, own, SLOW_START)
            .started_at
    };
    servers.update(NOW, 1, &ADDRESS, Some(with_assumed_start(0.0)));
    // While no list reports the start time, each pool uses its own assumption.
    assert_eq!(start(&servers, 2, with_assumed_start(90.0)), 90.0);
    assert!(
        update(&mut servers, NOW, 2, ServerStatus::Up, 95.0),
        "a reported start time was not reported as a change"
    );
    assert_eq!(start(&servers, 1, with_assumed_start(0.0)), 95.0);
    // An assumed start time does not apply to other pools, even if it is later.
    servers.update(NOW, 1, &ADDRESS, Some(with_assumed_start(99.0)));
    assert_eq!(start(&servers, 2, listed(ServerStatus::Up, 95.0)), 95.0);
    // Of two reported start times the later applies: the list with the earlier one is outdated.
    assert_eq!(start(&servers, 3, listed(ServerStatus::Up, 97.0)), 97.0);
    assert_eq!(start(&servers, 3, listed(ServerStatus::Up, 50.0)), 95.0);
    // A start time in the future, from a fast clock, counts as the current time.
    update(&mut servers, NOW, 2, ServerStatus::Up, 1e9);
    assert_eq!(start(&servers, 1, with_assumed_start(0.0)), 100.0);
    // The start time that a list reported no longer applies once the list reports the server as gone.
    update(&mut servers, NOW, 2, ServerStatus::Gone, 95.0);
    assert_eq!(start(&servers, 1, with_assumed_start(0.0)), 0.0);
}

/// The start time of the server in the test of withheld servers.
const STARTED_AT: f64 = 100.0;

/// The pools from which a server that started at [`STARTED_AT`] is not withheld.
fn admitted_pools(servers: &Servers, now: f64, pools: u8) -> Vec<u8> {
    (0..pools)
        .filter(|pool| {
            view(servers, now, *pool, STARTED_AT)
                .withheld_until
                .is_none()
        })
        .collect()
}

#[test]
fn server_in_slow_start_is_withheld_from_pools_beyond_the_limit() {
    let max_pools = MAX_POOLS_IN_SLOW_START as u8;
    let pools = max_pools + 2;
    let mut servers = Servers::default();
    // The pools are ordered by their ids, not by their updates.
    for pool in (0..pools).rev() {
        update(&mut servers, STARTED_AT, pool, ServerStatus::Up, STARTED_AT);
    }
    assert_eq!(
        admitted_pools(&servers, 101.0, pools),
        (0..max_pools).collect::<Vec<_>>()
    );
    assert_eq!(
        view(&servers, 101.0, pools - 1, STARTED_AT).withheld_until,
        Some(STARTED_AT + SLOW_START)
    );
    // When a pool is removed, the next one may send to the server.
    servers.remove_pool(0);
    assert_eq!(
        admitted_pools(&servers, 102.0, pools),
        (0..=max_pools).collect::<Vec<_>>()
    );
    assert_eq!(
        admitted_pools(&servers, STARTED_AT + SLOW_START, pools).len(),
        usize::from(pools)
    );
    // A server that started long ago is withheld from no pool.
    let mut long_running = Servers::default();
    for pool in 0..pools {
        assert!(update(&mut long_running, 0.5, pool, ServerStatus::Up, 0.0));
    }
    assert!((0..pools).all(|pool| view(&long_running, 1.0, pool, 0.0).withheld_until.is_none()));
}

const POOLS: u8 = 3;
const SERVERS: u8 = 2;

/// An update of a server in the list of a pool.
#[derive(Clone, Debug)]
struct Step {
    /// The time since the previous update, in seconds.
    delay: f64,
    pool: u8,
    server: u8,
    /// `None` if new settings of the pool no longer contain the server.
    status: Option<ServerStatus>,
    /// Whether expired states are removed after the update.
    expires: bool,
}

fn step() -> impl Strategy<Value = Step> {
    let status = prop_oneof![
        2 => Just(Some(ServerStatus::Up)),
        1 => Just(Some(ServerStatus::Draining)),
        1 => Just(Some(ServerStatus::Gone)),
        1 => Just(None),
    ];
    (0.0..6.0f64, 0..POOLS, 0..SERVERS, status, any::<bool>()).prop_map(
        |(delay, pool, server, status, expires)| Step {
            delay,
            pool,
            server,
            status,
            expires,
        },
    )
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ListEntry {
    pool: u8,
    server: u8,
}

#[derive(Clone, Copy)]
struct StatusSince {
    status: ServerStatus,
    since: f64,
}

impl StatusSince {
    fn is_expired(self, now: f64) -> bool {
        self.status == ServerStatus::Gone && now - self.since >= GONE_TTL
    }

    fn stops_requests(self, now: f64) -> bool {
        self.status != ServerStatus::Up && !self.is_expired(now)
    }
}

/// A reference that keeps the last status of each server in each list.
#[derive(Default)]
struct Model(BTreeMap<ListEntry, StatusSince>);

impl Model {
    fn update(&mut self, now: f64, entry: ListEntry, status: Option<ServerStatus>) {
        let Some(status) = status else {
            self.0.remove(&entry);
            return;
        };
        let previous = self.0.get(&entry).map(|entry| entry.status);
        // A list that never had the server reports it as gone: this changes nothing.
        let is_removal_of_unknown = previous.is_none() && status == ServerStatus::Gone;
        if !is_removal_of_unknown && previous != Some(status) {
            self.0.insert(entry, StatusSince { status, since: now });
        }
    }

    fn expire(&mut self, now: f64) {
        self.0.retain(|_, state| !state.is_expired(now));
    }

    /// Whether the server gets no new requests from the viewer because of another pool's list.
    fn is_draining(&self, now: f64, viewer: u8, server: u8) -> bool {
        self.0
            .iter()
            .filter(|(entry, _)| entry.pool != viewer && entry.server == server)
            .any(|(_, state)| state.stops_requests(now))
    }
}

fn check_steps(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut servers: SharedServers<u8, u8> = SharedServers::default();
    let mut model = Model::default();
    let mut now = 0.0;
    for step in steps {
        now += step.delay;
        let Step { pool, server, .. } = step;
        let state = step.status.map(|status| listed(status, 0.0));
        servers.update(now, pool, &server, state);
        model.update(now, ListEntry { pool, server }, step.status);
        if step.expires {
            servers.expire(now);
            model.expire(now);
        }
        for pool in 0..POOLS {
            for server in 0..SERVERS {
                let own = listed(ServerStatus::Up, 0.0);
                prop_assert_eq!(
                    servers
                        .view(now, pool, &server, own, SLOW_START)
                        .is_draining,
                    model.is_draining(now, pool, server)
                );
            }
        }
    }
    servers.expire(now + GONE_TTL);
    for pool in 0..POOLS {
        servers.remove_pool(pool);
    }
    prop_assert!(servers.is_empty());
    Ok(())
}

/// Whatever the order of updates, draining and stops in one list apply to all pools, and no state is left after the
/// removal of all pools.
#[test]
fn views_match_the_model_for_any_order_of_updates() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&prop::collection::vec(step(), 1..60), check_steps)
        .unwrap();
}
