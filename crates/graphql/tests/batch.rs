//! Batches on random schedules, the store of persisted documents, and answers.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_graphql::answer::{check, entry_response, error_response, merge, InvalidResponse};
use reelfall_graphql::batch::{can_be_rejected, Batch, EntryResult};
use reelfall_graphql::document::parse_operation;
use reelfall_graphql::persisted::{hash_of, PersistedDocuments};
use reelfall_graphql::{GraphQlError, GraphQlErrorKind, Limits, Location};
use serde_json::{json, Map, Value};

#[derive(Clone, Debug)]
enum Step {
    Done { pick: usize, fate: u8 },
    Twice { pick: usize },
    End,
}

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[2; 32]);
    TestRunner::new_with_rng(
        Config {
            cases: 1000,
            failure_persistence: None,
            ..Config::default()
        },
        rng,
    )
}

#[test]
fn writes_run_one_at_a_time_in_their_order_and_nothing_starts_after_the_end() {
    let step = prop_oneof![
        20 => (any::<usize>(), 0..3u8).prop_map(|(pick, fate)| Step::Done { pick, fate }),
        3 => any::<usize>().prop_map(|pick| Step::Twice { pick }),
        1 => Just(Step::End),
    ];
    let schedule = (
        prop::collection::vec(any::<bool>(), 1..20),
        1..4usize,
        prop::collection::vec(step, 0..60),
    );
    runner()
        .run(&schedule, |(writes, side_by_side, steps)| {
            let mut batch: Batch<usize> = Batch::new(writes.iter().copied(), side_by_side);
            let (mut running, mut begun, mut ended) =
                (Vec::<usize>::new(), Vec::<usize>::new(), false);
            let mut fates = vec![None; writes.len()];
            let mut started = batch.start_ready();
            for step in steps {
                prop_assert!(!ended || started.is_empty(), "started after the end");
                for n in started {
                    prop_assert!(!begun.contains(&n), "started twice");
                    if writes[n] {
                        let before: Vec<usize> = (0..n).filter(|m| writes[*m]).collect();
                        prop_assert!(
                            before.iter().all(|m| fates[*m].is_some()),
                            "a write before its turn"
                        );
                    }
                    running.push(n);
                    begun.push(n);
                }
                prop_assert!(
                    running.iter().filter(|n| writes[**n]).count() <= 1,
                    "two writes at once"
                );
                prop_assert!(running.iter().filter(|n| !writes[**n]).count() <= side_by_side);
                match step {
                    Step::Done { pick, fate } if !running.is_empty() => {
                        let n = running.swap_remove(pick % running.len());
                        let fate = [
                            EntryResult::Answered(n),
                            EntryResult::Rejected(None),
                            EntryResult::Failed,
                        ][usize::from(fate)]
                        .clone();
                        fates[n] = Some(fate.clone());
                        batch.finish(n, fate);
                    }
                    Step::Twice { pick } => {
                        // A word on an entry counts if it was running, and changes nothing otherwise.
                        let n = pick % writes.len();
                        batch.finish(n, EntryResult::NeverRan);
                        if running.contains(&n) {
                            fates[n] = Some(EntryResult::NeverRan);
                        }
                    }
                    Step::End => {
                        batch.end();
                        ended = true;
                    }
                    Step::Done { .. } => {}
                }
                running.retain(|n| fates[*n].is_none());
                started = batch.start_ready();
            }
            running.extend(started.iter().copied());
            begun.extend(started);
            let complete = batch.is_complete();
            prop_assert_eq!(complete, fates.iter().all(Option::is_some));
            for (n, fate) in batch.into_results().into_iter().enumerate() {
                let expected = match &fates[n] {
                    Some(fate) => fate.clone(),
                    None if begun.contains(&n) => EntryResult::Failed,
                    None => EntryResult::NeverRan,
                };
                prop_assert_eq!(fate, expected, "entry {}", n);
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_whole_batch_is_a_refusal_only_if_nothing_ran() {
    let fates = |last: EntryResult<u8>| {
        vec![
            EntryResult::Rejected(Some(0.1)),
            EntryResult::NeverRan,
            last,
        ]
    };
    assert!(can_be_rejected(&fates(EntryResult::NeverRan)));
    assert!(!can_be_rejected(&fates(EntryResult::Failed)));
    assert!(!can_be_rejected(&fates(EntryResult::Answered(1))));
}

#[test]
fn the_store_is_bounded_and_an_unknown_hash_is_never_taken_for_anything() {
    let limits = Limits {
        persisted: 3,
        persisted_bytes: 100,
        ..Limits::default()
    };
    let mut store = PersistedDocuments::new();
    let kind = |r: Result<std::sync::Arc<str>, GraphQlError>| r.map_err(|f| f.kind);
    assert_eq!(
        kind(store.resolve(None, Some(hash_of("{a}")))),
        Err(GraphQlErrorKind::PersistedQueryNotFound)
    );
    assert_eq!(
        kind(store.resolve(Some("{a}"), Some(hash_of("{b}")))),
        Err(GraphQlErrorKind::Request)
    );
    assert_eq!(
        kind(store.resolve(Some("{a}"), Some(hash_of("{a}")))).as_deref(),
        Ok("{a}")
    );
    assert_eq!(
        (store.len(), store.total_bytes()),
        (0, 0),
        "cached before it was found to be valid"
    );
    for document in ["{a}", "{b}", "{c}"] {
        store.insert(document, &limits);
    }
    // The one that was used lately stays.
    assert_eq!(
        kind(store.resolve(None, Some(hash_of("{a}")))).as_deref(),
        Ok("{a}")
    );
    store.insert("{d}", &limits);
    assert_eq!((store.len(), store.total_bytes()), (3, 9));
    assert_eq!(
        kind(store.resolve(None, Some(hash_of("{b}")))),
        Err(GraphQlErrorKind::PersistedQueryNotFound)
    );
    assert_eq!(
        kind(store.resolve(None, Some(hash_of("{a}")))).as_deref(),
        Ok("{a}")
    );
    store.insert(&"x".repeat(95), &limits);
    assert_eq!(
        (store.len(), store.total_bytes()),
        (2, 98),
        "over its bytes"
    );
    store.insert(&"y".repeat(101), &limits);
    assert_eq!(store.len(), 2, "something larger than the store is cached");
    for n in 0..10_000 {
        store.insert(&format!("{{a{n}}}"), &limits);
        assert!(store.len() <= 3 && store.total_bytes() <= 100);
    }
}

#[test]
fn an_answer_is_to_its_own_operation_or_none() {
    let asked = parse_operation(
        "{ x: evaluate __typename }",
        None,
        &Map::new(),
        &Limits::default(),
    )
    .unwrap();
    let said = |body: &str| check(body.as_bytes(), &asked);
    for good in [
        r#"{"data":{"x":1,"__typename":"Query"}}"#,
        r#"{"data":null,"errors":[{"message":"no"}]}"#,
        r#"{"errors":[{"message":"no"}]}"#,
        r#"{"data":{"x":{"evaluate":1}},"extensions":{"y":1}}"#,
        r#"{"data":{}}"#,
    ] {
        assert_eq!(said(good), Ok(()), "{good}");
    }
    for (bad, why) in [
        ("", InvalidResponse::NotJson),
        (r#"{"data":{"x":1"#, InvalidResponse::NotJson),
        (r#"{"data":{"x":1}}x"#, InvalidResponse::NotJson),
        ("<html>", InvalidResponse::NotJson),
        ("[]", InvalidResponse::NotGraphQl),
        ("null", InvalidResponse::NotGraphQl),
        ("{}", InvalidResponse::NotGraphQl),
        (r#"{"data":null}"#, InvalidResponse::NotGraphQl),
        (r#"{"data":null,"errors":[]}"#, InvalidResponse::NotGraphQl),
        (r#"{"data":1}"#, InvalidResponse::NotGraphQl),
        (
            r#"{"errors":{"message":"no"}}"#,
            InvalidResponse::NotGraphQl,
        ),
        (r#"{"data":{"toggle":1}}"#, InvalidResponse::OtherOperation),
        (r#"{"data":{"x":1,"y":2}}"#, InvalidResponse::OtherOperation),
        (
            r#"{"data":{"evaluate":1}}"#,
            InvalidResponse::OtherOperation,
        ),
    ] {
        assert_eq!(said(bad), Err(why), "{bad}");
    }
    let deep = format!(
        "{{\"data\":{{\"x\":{}{}}}}}",
        "[".repeat(100_000),
        "]".repeat(100_000)
    );
    // Values are passed over without a stack, so depth is no matter.
    assert_eq!(said(&deep), Ok(()));
}

#[test]
fn what_the_client_is_told_says_whether_a_repeat_is_harmless() {
    let code =
        |fate: &EntryResult<()>| entry_response(fate).map(|m| m["errors"][0]["extensions"].clone());
    assert_eq!(code(&EntryResult::Answered(())), None);
    assert_eq!(
        code(&EntryResult::Rejected(Some(0.25))),
        Some(json!({"code":"REFUSED","retryable":true,"retryAfterMs":250}))
    );
    assert_eq!(
        code(&EntryResult::Rejected(None)),
        Some(json!({"code":"REFUSED","retryable":true}))
    );
    assert_eq!(
        code(&EntryResult::NeverRan),
        Some(json!({"code":"NOT_RUN","retryable":true}))
    );
    assert_eq!(
        code(&EntryResult::Failed),
        Some(json!({"code":"FAILED","retryable":false}))
    );
    let merged = merge(vec![
        EntryResult::Failed,
        EntryResult::Answered("{\"data\":{\"x\": 1.0}}\n"),
    ]);
    let merged = String::from_utf8(merged).unwrap();
    let read: Vec<Value> = serde_json::from_str(&merged).unwrap();
    assert_eq!(read.len(), 2);
    assert!(
        merged.ends_with(",{\"data\":{\"x\": 1.0}}]"),
        "an answer was changed: {merged}"
    );
    let at = Some(Location { line: 2, column: 3 });
    let told = error_response(&GraphQlError {
        kind: GraphQlErrorKind::Syntax,
        message: "no".to_owned(),
        location: at,
    });
    let expected = json!({"errors":[{"message":"no","locations":[{"line":2,"column":3}],"extensions":{"code":"GRAPHQL_PARSE_FAILED"}}]});
    assert_eq!(told, expected);
}
