//! Servers that several pools list.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_routing::shared_servers::{
    CombinedView, ListedState, ServerStatus, SharedServers, GONE_TTL, MAX_POOLS_WHILE_COLD,
};

/// A server is warm so long after its start.
const WARM: f64 = 10.0;

/// The state of a server in a list that follows servers.
fn listed(status: ServerStatus, ready_at: f64) -> ListedState {
    ListedState {
        status,
        started_at: ready_at,
        knows_start: true,
    }
}

fn view(
    shared_servers: &SharedServers<&str, u8>,
    now: f64,
    pool: u8,
    ready_at: f64,
) -> CombinedView {
    shared_servers.view(now, pool, &"s", listed(ServerStatus::Up, ready_at), WARM)
}

#[test]
fn a_drain_told_by_either_list_holds_for_both() {
    let mut shared_servers: SharedServers<&str, u8> = SharedServers::default();
    assert!(shared_servers.update(0.0, 1, &"s", Some(listed(ServerStatus::Up, 0.0))));
    assert_eq!(
        view(&shared_servers, 0.0, 1, 0.0),
        CombinedView::unshared(0.0)
    );
    assert!(shared_servers.update(0.0, 2, &"s", Some(listed(ServerStatus::Up, 0.0))));
    assert_eq!(
        view(&shared_servers, 0.0, 1, 0.0),
        CombinedView {
            pools: 2,
            ..CombinedView::unshared(0.0)
        }
    );
    assert!(
        !shared_servers.update(0.5, 2, &"s", Some(listed(ServerStatus::Up, 0.0))),
        "the same word twice is no news"
    );
    assert!(shared_servers.update(1.0, 2, &"s", Some(listed(ServerStatus::Draining, 0.0))));
    assert!(view(&shared_servers, 1.0, 1, 0.0).is_draining);
    // A drain holds for as long as it is said.
    assert!(view(&shared_servers, 1000.0, 1, 0.0).is_draining);
    assert!(shared_servers.update(1000.0, 2, &"s", Some(listed(ServerStatus::Up, 0.0))));
    assert!(!view(&shared_servers, 1000.0, 1, 0.0).is_draining);
}

#[test]
fn an_end_holds_for_a_time_or_until_the_server_starts_anew() {
    let mut shared_servers: SharedServers<&str, u8> = SharedServers::default();
    shared_servers.update(0.0, 1, &"s", Some(listed(ServerStatus::Up, 5.0)));
    shared_servers.update(0.0, 2, &"s", Some(listed(ServerStatus::Up, 5.0)));
    shared_servers.update(10.0, 2, &"s", Some(listed(ServerStatus::Gone, 5.0)));
    // The list of pool 1 is late and repeats what it said.
    assert!(view(&shared_servers, 10.1, 1, 5.0).is_draining);
    assert_eq!(view(&shared_servers, 10.1, 1, 5.0).pools, 1);
    // A start after the end that was told is news.
    assert!(!view(&shared_servers, 10.2, 1, 9.0).is_draining);
    assert!(shared_servers.expire(10.0 + GONE_TTL / 2.0).is_empty());
    assert_eq!(shared_servers.expire(10.0 + GONE_TTL), ["s"]);
    assert_eq!(
        view(&shared_servers, 10.0 + GONE_TTL, 1, 5.0),
        CombinedView::unshared(5.0)
    );
}

#[test]
fn what_is_taken_from_the_settings_says_nothing_of_the_server() {
    let mut shared_servers: SharedServers<&str, u8> = SharedServers::default();
    shared_servers.update(0.0, 1, &"s", Some(listed(ServerStatus::Up, 0.0)));
    shared_servers.update(0.0, 2, &"s", Some(listed(ServerStatus::Draining, 0.0)));
    assert!(shared_servers.update(1.0, 2, &"s", None));
    assert_eq!(
        view(&shared_servers, 1.0, 1, 0.0),
        CombinedView::unshared(0.0)
    );
    shared_servers.update(2.0, 2, &"s", Some(listed(ServerStatus::Draining, 0.0)));
    assert_eq!(shared_servers.remove_pool(2), ["s"]);
    assert_eq!(
        view(&shared_servers, 2.0, 1, 0.0),
        CombinedView::unshared(0.0)
    );
    assert_eq!(shared_servers.remove_pool(1), ["s"]);
    assert!(
        shared_servers.is_empty(),
        "something is kept of a server that nobody lists"
    );
}

#[test]
fn a_start_that_one_list_knows_of_holds_for_all() {
    let mut shared_servers: SharedServers<&str, u8> = SharedServers::default();
    let guess = |ready_at| ListedState {
        knows_start: false,
        ..listed(ServerStatus::Up, ready_at)
    };
    let seen = |shared_servers: &SharedServers<&str, u8>, pool, own| {
        shared_servers.view(100.0, pool, &"s", own, WARM).started_at
    };
    shared_servers.update(100.0, 1, &"s", Some(guess(0.0)));
    // Nobody knows: each keeps its guess.
    assert_eq!(seen(&shared_servers, 2, guess(90.0)), 90.0);
    assert!(
        shared_servers.update(100.0, 2, &"s", Some(listed(ServerStatus::Up, 95.0))),
        "a start is news"
    );
    assert_eq!(seen(&shared_servers, 1, guess(0.0)), 95.0);
    // A guess tells nobody anything, however late it is.
    shared_servers.update(100.0, 1, &"s", Some(guess(99.0)));
    assert_eq!(
        seen(&shared_servers, 2, listed(ServerStatus::Up, 95.0)),
        95.0
    );
    // Of two that know, the later: the other's news is behind.
    assert_eq!(
        seen(&shared_servers, 3, listed(ServerStatus::Up, 97.0)),
        97.0
    );
    assert_eq!(
        seen(&shared_servers, 3, listed(ServerStatus::Up, 50.0)),
        95.0
    );
    // A clock that is ahead makes nothing cold beyond its time.
    shared_servers.update(100.0, 2, &"s", Some(listed(ServerStatus::Up, 1e9)));
    assert_eq!(seen(&shared_servers, 1, guess(0.0)), 100.0);
    // An end takes its word with it.
    shared_servers.update(100.0, 2, &"s", Some(listed(ServerStatus::Gone, 95.0)));
    assert_eq!(seen(&shared_servers, 1, guess(0.0)), 0.0);
}

#[test]
fn a_cold_server_is_withheld_from_pools_beyond_the_bound_until_it_is_warm() {
    let mut shared_servers: SharedServers<&str, u8> = SharedServers::default();
    let pools = MAX_POOLS_WHILE_COLD as u8 + 2;
    // Whoever lists it first: numbers tell who was there first.
    for pool in (0..pools).rev() {
        shared_servers.update(100.0, pool, &"s", Some(listed(ServerStatus::Up, 100.0)));
    }
    let open = |shared_servers: &SharedServers<&str, u8>, now| -> Vec<u8> {
        (0..pools)
            .filter(|p| {
                view(shared_servers, now, *p, 100.0)
                    .withheld_until
                    .is_none()
            })
            .collect()
    };
    assert_eq!(
        open(&shared_servers, 101.0),
        (0..MAX_POOLS_WHILE_COLD as u8).collect::<Vec<_>>()
    );
    assert_eq!(
        view(&shared_servers, 101.0, pools - 1, 100.0).withheld_until,
        Some(100.0 + WARM)
    );
    // One that leaves makes room for the next.
    shared_servers.remove_pool(0);
    assert_eq!(
        open(&shared_servers, 102.0),
        (0..=MAX_POOLS_WHILE_COLD as u8).collect::<Vec<_>>()
    );
    assert_eq!(
        open(&shared_servers, 100.0 + WARM).len(),
        usize::from(pools)
    );
    // What has been there for long is withheld from nobody.
    let mut warm: SharedServers<&str, u8> = SharedServers::default();
    (0..pools)
        .for_each(|p| assert!(warm.update(0.5, p, &"s", Some(listed(ServerStatus::Up, 0.0)))));
    assert!((0..pools).all(|p| view(&warm, 1.0, p, 0.0).withheld_until.is_none()));
}

/// Whatever is said in whatever order: a drain or an end that stands is kept by all, and nothing is kept for ever.
#[test]
fn no_order_of_news_lets_a_pool_send_where_another_was_told_not_to() {
    let words = prop_oneof![
        2 => Just(Some(ServerStatus::Up)),
        1 => Just(Some(ServerStatus::Draining)),
        1 => Just(Some(ServerStatus::Gone)),
        1 => Just(None),
    ];
    let steps = prop::collection::vec((0.0..6.0f64, 0..3u8, 0..2u8, words, any::<bool>()), 1..60);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut shared_servers: SharedServers<u8, u8> = SharedServers::default();
            // The last word of each pool on each server, with when it was first said.
            let mut said = std::collections::BTreeMap::<(u8, u8), (ServerStatus, f64)>::new();
            let mut now = 0.0;
            for (after, pool, server, word, lapse) in steps {
                now += after;
                shared_servers.update(now, pool, &server, word.map(|w| listed(w, 0.0)));
                match word {
                    None => drop(said.remove(&(pool, server))),
                    Some(word) => {
                        let old = said.get(&(pool, server)).copied();
                        if old.is_none() && word == ServerStatus::Gone {
                            // Nothing was known of it.
                        } else if old.is_none_or(|(w, _)| w != word) {
                            said.insert((pool, server), (word, now));
                        }
                    }
                }
                if lapse {
                    shared_servers.expire(now);
                    said.retain(|_, (w, at)| *w != ServerStatus::Gone || now - *at < GONE_TTL);
                }
                for pool in 0..3 {
                    for server in 0..2 {
                        let others =
                            || said.iter().filter(|((p, s), _)| *p != pool && *s == server);
                        let drained = others().any(|(_, (w, at))| match w {
                            ServerStatus::Up => false,
                            ServerStatus::Draining => true,
                            ServerStatus::Gone => now - at < GONE_TTL,
                        });
                        prop_assert_eq!(
                            shared_servers
                                .view(now, pool, &server, listed(ServerStatus::Up, 0.0), WARM)
                                .is_draining,
                            drained
                        );
                    }
                }
            }
            shared_servers.expire(now + GONE_TTL);
            (0..3).for_each(|pool| drop(shared_servers.remove_pool(pool)));
            prop_assert!(shared_servers.is_empty());
            Ok(())
        })
        .unwrap();
}
