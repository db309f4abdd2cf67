//! What pools that list the same server tell each other.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_routes::fleet::{Fleet, Line, View, Word, GONE_HOLDS, SHARERS_MOST};

/// A server is warm so long after its start.
const WARM: f64 = 10.0;

/// What a list that follows servers says.
fn says(word: Word, ready_at: f64) -> Line {
    Line { word, ready_at, known: true }
}

fn view(fleet: &Fleet<&str, u8>, now: f64, pool: u8, ready_at: f64) -> View {
    fleet.view(now, pool, &"s", says(Word::Up, ready_at), WARM)
}

#[test]
fn a_drain_told_by_either_list_holds_for_both() {
    let mut fleet: Fleet<&str, u8> = Fleet::default();
    assert!(fleet.tell(0.0, 1, &"s", Some(says(Word::Up, 0.0))));
    assert_eq!(view(&fleet, 0.0, 1, 0.0), View::alone(0.0));
    assert!(fleet.tell(0.0, 2, &"s", Some(says(Word::Up, 0.0))));
    assert_eq!(view(&fleet, 0.0, 1, 0.0), View { sharers: 2, ..View::alone(0.0) });
    assert!(!fleet.tell(0.5, 2, &"s", Some(says(Word::Up, 0.0))), "the same word twice is no news");
    assert!(fleet.tell(1.0, 2, &"s", Some(says(Word::Draining, 0.0))));
    assert!(view(&fleet, 1.0, 1, 0.0).drained);
    // A drain holds for as long as it is said.
    assert!(view(&fleet, 1000.0, 1, 0.0).drained);
    assert!(fleet.tell(1000.0, 2, &"s", Some(says(Word::Up, 0.0))));
    assert!(!view(&fleet, 1000.0, 1, 0.0).drained);
}

#[test]
fn an_end_holds_for_a_time_or_until_the_server_starts_anew() {
    let mut fleet: Fleet<&str, u8> = Fleet::default();
    fleet.tell(0.0, 1, &"s", Some(says(Word::Up, 5.0)));
    fleet.tell(0.0, 2, &"s", Some(says(Word::Up, 5.0)));
    fleet.tell(10.0, 2, &"s", Some(says(Word::Gone, 5.0)));
    // The list of pool 1 is late and repeats what it said.
    assert!(view(&fleet, 10.1, 1, 5.0).drained);
    assert_eq!(view(&fleet, 10.1, 1, 5.0).sharers, 1);
    // A start after the end that was told is news.
    assert!(!view(&fleet, 10.2, 1, 9.0).drained);
    assert!(fleet.lapse(10.0 + GONE_HOLDS / 2.0).is_empty());
    assert_eq!(fleet.lapse(10.0 + GONE_HOLDS), ["s"]);
    assert_eq!(view(&fleet, 10.0 + GONE_HOLDS, 1, 5.0), View::alone(5.0));
}

#[test]
fn what_is_taken_from_the_settings_says_nothing_of_the_server() {
    let mut fleet: Fleet<&str, u8> = Fleet::default();
    fleet.tell(0.0, 1, &"s", Some(says(Word::Up, 0.0)));
    fleet.tell(0.0, 2, &"s", Some(says(Word::Draining, 0.0)));
    assert!(fleet.tell(1.0, 2, &"s", None));
    assert_eq!(view(&fleet, 1.0, 1, 0.0), View::alone(0.0));
    fleet.tell(2.0, 2, &"s", Some(says(Word::Draining, 0.0)));
    assert_eq!(fleet.leave(2), ["s"]);
    assert_eq!(view(&fleet, 2.0, 1, 0.0), View::alone(0.0));
    assert_eq!(fleet.leave(1), ["s"]);
    assert!(fleet.is_empty(), "something is kept of a server that nobody lists");
}

#[test]
fn a_start_that_one_list_knows_of_holds_for_all() {
    let mut fleet: Fleet<&str, u8> = Fleet::default();
    let guess = |ready_at| Line { known: false, ..says(Word::Up, ready_at) };
    let seen = |fleet: &Fleet<&str, u8>, pool, own| fleet.view(100.0, pool, &"s", own, WARM).ready_at;
    fleet.tell(100.0, 1, &"s", Some(guess(0.0)));
    // Nobody knows: each keeps its guess.
    assert_eq!(seen(&fleet, 2, guess(90.0)), 90.0);
    assert!(fleet.tell(100.0, 2, &"s", Some(says(Word::Up, 95.0))), "a start is news");
    assert_eq!(seen(&fleet, 1, guess(0.0)), 95.0);
    // A guess tells nobody anything, however late it is.
    fleet.tell(100.0, 1, &"s", Some(guess(99.0)));
    assert_eq!(seen(&fleet, 2, says(Word::Up, 95.0)), 95.0);
    // Of two that know, the later: the other's news is behind.
    assert_eq!(seen(&fleet, 3, says(Word::Up, 97.0)), 97.0);
    assert_eq!(seen(&fleet, 3, says(Word::Up, 50.0)), 95.0);
    // A clock that is ahead makes nothing cold beyond its time.
    fleet.tell(100.0, 2, &"s", Some(says(Word::Up, 1e9)));
    assert_eq!(seen(&fleet, 1, guess(0.0)), 100.0);
    // An end takes its word with it.
    fleet.tell(100.0, 2, &"s", Some(says(Word::Gone, 95.0)));
    assert_eq!(seen(&fleet, 1, guess(0.0)), 0.0);
}

#[test]
fn a_cold_server_is_withheld_from_pools_beyond_the_bound_until_it_is_warm() {
    let mut fleet: Fleet<&str, u8> = Fleet::default();
    let pools = SHARERS_MOST as u8 + 2;
    // Whoever lists it first: numbers tell who was there first.
    for pool in (0..pools).rev() {
        fleet.tell(100.0, pool, &"s", Some(says(Word::Up, 100.0)));
    }
    let open = |fleet: &Fleet<&str, u8>, now| -> Vec<u8> {
        (0..pools).filter(|p| view(fleet, now, *p, 100.0).withheld.is_none()).collect()
    };
    assert_eq!(open(&fleet, 101.0), (0..SHARERS_MOST as u8).collect::<Vec<_>>());
    assert_eq!(view(&fleet, 101.0, pools - 1, 100.0).withheld, Some(100.0 + WARM));
    // One that leaves makes room for the next.
    fleet.leave(0);
    assert_eq!(open(&fleet, 102.0), (0..=SHARERS_MOST as u8).collect::<Vec<_>>());
    assert_eq!(open(&fleet, 100.0 + WARM).len(), usize::from(pools));
    // What has been there for long is withheld from nobody.
    let mut warm: Fleet<&str, u8> = Fleet::default();
    (0..pools).for_each(|p| assert!(warm.tell(0.5, p, &"s", Some(says(Word::Up, 0.0)))));
    assert!((0..pools).all(|p| view(&warm, 1.0, p, 0.0).withheld.is_none()));
}

/// Whatever is said in whatever order: a drain or an end that stands is kept by all, and nothing is kept for ever.
#[test]
fn no_order_of_news_lets_a_pool_send_where_another_was_told_not_to() {
    let words = prop_oneof![
        2 => Just(Some(Word::Up)),
        1 => Just(Some(Word::Draining)),
        1 => Just(Some(Word::Gone)),
        1 => Just(None),
    ];
    let steps = prop::collection::vec((0.0..6.0f64, 0..3u8, 0..2u8, words, any::<bool>()), 1..60);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut fleet: Fleet<u8, u8> = Fleet::default();
            // The last word of each pool on each server, with when it was first said.
            let mut said = std::collections::BTreeMap::<(u8, u8), (Word, f64)>::new();
            let mut now = 0.0;
            for (after, pool, server, word, lapse) in steps {
                now += after;
                fleet.tell(now, pool, &server, word.map(|w| says(w, 0.0)));
                match word {
                    None => drop(said.remove(&(pool, server))),
                    Some(word) => {
                        let old = said.get(&(pool, server)).copied();
                        if old.is_none() && word == Word::Gone {
                            // Nothing was known of it.
                        } else if old.is_none_or(|(w, _)| w != word) {
                            said.insert((pool, server), (word, now));
                        }
                    }
                }
                if lapse {
                    fleet.lapse(now);
                    said.retain(|_, (w, at)| *w != Word::Gone || now - *at < GONE_HOLDS);
                }
                for pool in 0..3 {
                    for server in 0..2 {
                        let others = || said.iter().filter(|((p, s), _)| *p != pool && *s == server);
                        let drained = others().any(|(_, (w, at))| match w {
                            Word::Up => false,
                            Word::Draining => true,
                            Word::Gone => now - at < GONE_HOLDS,
                        });
                        prop_assert_eq!(
                            fleet.view(now, pool, &server, says(Word::Up, 0.0), WARM).drained,
                            drained
                        );
                    }
                }
            }
            fleet.lapse(now + GONE_HOLDS);
            (0..3).for_each(|pool| drop(fleet.leave(pool)));
            prop_assert!(fleet.is_empty());
            Ok(())
        })
        .unwrap();
}
