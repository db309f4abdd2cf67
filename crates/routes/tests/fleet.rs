//! What pools that list the same server tell each other.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_routes::fleet::{Fleet, View, Word, GONE_HOLDS};

#[test]
fn a_drain_told_by_either_list_holds_for_both() {
    let mut fleet: Fleet<&str, u8> = Fleet::default();
    assert!(fleet.tell(0.0, 1, &"s", Some(Word::Up), 0.0));
    assert_eq!(fleet.view(0.0, 1, &"s", 0.0), View::ALONE);
    assert!(fleet.tell(0.0, 2, &"s", Some(Word::Up), 0.0));
    assert_eq!(fleet.view(0.0, 1, &"s", 0.0), View { drained: false, sharers: 2 });
    assert!(!fleet.tell(0.5, 2, &"s", Some(Word::Up), 0.0), "the same word twice is no news");
    assert!(fleet.tell(1.0, 2, &"s", Some(Word::Draining), 0.0));
    assert!(fleet.view(1.0, 1, &"s", 0.0).drained);
    // A drain holds for as long as it is said.
    assert!(fleet.view(1000.0, 1, &"s", 0.0).drained);
    assert!(fleet.tell(1000.0, 2, &"s", Some(Word::Up), 0.0));
    assert!(!fleet.view(1000.0, 1, &"s", 0.0).drained);
}

#[test]
fn an_end_holds_for_a_time_or_until_the_server_starts_anew() {
    let mut fleet: Fleet<&str, u8> = Fleet::default();
    fleet.tell(0.0, 1, &"s", Some(Word::Up), 5.0);
    fleet.tell(0.0, 2, &"s", Some(Word::Up), 5.0);
    fleet.tell(10.0, 2, &"s", Some(Word::Gone), 5.0);
    // The list of pool 1 is late and repeats what it said.
    assert!(fleet.view(10.1, 1, &"s", 5.0).drained);
    assert_eq!(fleet.view(10.1, 1, &"s", 5.0).sharers, 1);
    // A start after the end that was told is news.
    assert!(!fleet.view(10.2, 1, &"s", 9.0).drained);
    assert!(fleet.lapse(10.0 + GONE_HOLDS / 2.0).is_empty());
    assert_eq!(fleet.lapse(10.0 + GONE_HOLDS), ["s"]);
    assert_eq!(fleet.view(10.0 + GONE_HOLDS, 1, &"s", 5.0), View::ALONE);
}

#[test]
fn what_is_taken_from_the_settings_says_nothing_of_the_server() {
    let mut fleet: Fleet<&str, u8> = Fleet::default();
    fleet.tell(0.0, 1, &"s", Some(Word::Up), 0.0);
    fleet.tell(0.0, 2, &"s", Some(Word::Draining), 0.0);
    assert!(fleet.tell(1.0, 2, &"s", None, 0.0));
    assert_eq!(fleet.view(1.0, 1, &"s", 0.0), View::ALONE);
    fleet.tell(2.0, 2, &"s", Some(Word::Draining), 0.0);
    assert_eq!(fleet.leave(2), ["s"]);
    assert_eq!(fleet.view(2.0, 1, &"s", 0.0), View::ALONE);
    assert_eq!(fleet.leave(1), ["s"]);
    assert!(fleet.is_empty(), "something is kept of a server that nobody lists");
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
                fleet.tell(now, pool, &server, word, 0.0);
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
                        prop_assert_eq!(fleet.view(now, pool, &server, 0.0).drained, drained);
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
