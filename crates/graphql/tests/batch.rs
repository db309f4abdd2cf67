//! Batches with random schedules, the cache of persisted documents, and responses.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_graphql::answer::{check, entry_response, error_response, merge, InvalidResponse};
use reelfall_graphql::batch::{can_be_rejected, Batch, EntryResult};
use reelfall_graphql::document::parse_operation;
use reelfall_graphql::persisted::{hash_of, PersistedDocuments};
use reelfall_graphql::{GraphQlError, GraphQlErrorKind, Limits, Location};
use serde_json::{json, Map, Value};
use std::sync::Arc;

#[derive(Clone, Debug)]
enum Step {
    /// One of the running entries finishes, with one of three results.
    Finish {
        pick: usize,
        result: u8,
    },
    /// An entry, which may not be running, is reported as never run.
    ReportNeverRan {
        pick: usize,
    },
    EndBatch,
}

/// A batch, and its expected state after the steps so far.
struct Schedule {
    batch: Batch<usize>,
    /// For each entry, whether it is a write.
    writes: Vec<bool>,
    max_concurrent_reads: usize,
    running: Vec<usize>,
    started: Vec<usize>,
    results: Vec<Option<EntryResult<usize>>>,
    has_ended: bool,
}

impl Schedule {
    fn new(writes: Vec<bool>, max_concurrent_reads: usize) -> Schedule {
        Schedule {
            batch: Batch::new(writes.iter().copied(), max_concurrent_reads),
            results: vec![None; writes.len()],
            writes,
            max_concurrent_reads,
            running: Vec::new(),
            started: Vec::new(),
            has_ended: false,
        }
    }

    /// Checks that the batch was allowed to start these entries, and adds them to the running ones.
    fn start(&mut self, entries: Vec<usize>) -> Result<(), TestCaseError> {
        prop_assert!(
            !self.has_ended || entries.is_empty(),
            "an entry started after the end of the batch"
        );
        for entry in entries {
            prop_assert!(!self.started.contains(&entry), "an entry started twice");
            if self.writes[entry] {
                let mut earlier_writes = (0..entry).filter(|earlier| self.writes[*earlier]);
                prop_assert!(
                    earlier_writes.all(|earlier| self.results[earlier].is_some()),
                    "a write started before an earlier one finished"
                );
            }
            self.running.push(entry);
            self.started.push(entry);
        }
        let running_writes = self.running.iter().filter(|entry| self.writes[**entry]);
        let running_writes = running_writes.count();
        prop_assert!(running_writes <= 1, "two concurrent writes");
        prop_assert!(self.running.len() - running_writes <= self.max_concurrent_reads);
        Ok(())
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Finish { pick, result } if !self.running.is_empty() => {
                let entry = self.running.swap_remove(pick % self.running.len());
                let result = match result {
                    0 => EntryResult::Answered(entry),
                    1 => EntryResult::Rejected(None),
                    _ => EntryResult::Failed,
                };
                self.results[entry] = Some(result.clone());
                self.batch.finish(entry, result);
            }
            Step::Finish { .. } => {}
            Step::ReportNeverRan { pick } => {
                // The report is ignored if the entry is not running.
                let entry = pick % self.writes.len();
                self.batch.finish(entry, EntryResult::NeverRan);
                if self.running.contains(&entry) {
                    self.results[entry] = Some(EntryResult::NeverRan);
                }
            }
            Step::EndBatch => {
                self.batch.end();
                self.has_ended = true;
            }
        }
        self.running.retain(|entry| self.results[*entry].is_none());
    }

    /// Checks the results of all entries; `last_started` are those that were started after the last step.
    fn check_results(mut self, last_started: Vec<usize>) -> Result<(), TestCaseError> {
        self.started.extend(last_started);
        let is_complete = self.batch.is_complete();
        prop_assert_eq!(is_complete, self.results.iter().all(Option::is_some));
        for (entry, result) in self.batch.into_results().into_iter().enumerate() {
            let expected = match &self.results[entry] {
                Some(result) => result.clone(),
                None if self.started.contains(&entry) => EntryResult::Failed,
                None => EntryResult::NeverRan,
            };
            prop_assert_eq!(result, expected, "entry {}", entry);
        }
        Ok(())
    }
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
fn writes_run_in_order_and_nothing_starts_after_the_end() {
    let step = prop_oneof![
        20 => (any::<usize>(), 0..3u8).prop_map(|(pick, result)| Step::Finish { pick, result }),
        3 => any::<usize>().prop_map(|pick| Step::ReportNeverRan { pick }),
        1 => Just(Step::EndBatch),
    ];
    let input = (
        prop::collection::vec(any::<bool>(), 1..20),
        1..4usize,
        prop::collection::vec(step, 0..60),
    );
    runner()
        .run(&input, |(writes, max_concurrent_reads, steps)| {
            let mut schedule = Schedule::new(writes, max_concurrent_reads);
            let mut started = schedule.batch.start_ready();
            for step in &steps {
                schedule.start(started)?;
                schedule.apply(step);
                started = schedule.batch.start_ready();
            }
            schedule.check_results(started)
        })
        .unwrap();
}

#[test]
fn batch_is_rejected_only_if_nothing_ran() {
    let results = |last: EntryResult<u8>| {
        vec![
            EntryResult::Rejected(Some(0.1)),
            EntryResult::NeverRan,
            last,
        ]
    };
    assert!(can_be_rejected(&results(EntryResult::NeverRan)));
    assert!(!can_be_rejected(&results(EntryResult::Failed)));
    assert!(!can_be_rejected(&results(EntryResult::Answered(1))));
}

#[test]
fn persisted_documents_are_bounded_and_verified_by_hash() {
    let limits = Limits {
        persisted: 3,
        persisted_bytes: 100,
        ..Limits::default()
    };
    let mut store = PersistedDocuments::new();
    let kind = |result: Result<Arc<str>, GraphQlError>| result.map_err(|error| error.kind);
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
        "cached before its validation"
    );
    for document in ["{a}", "{b}", "{c}"] {
        store.insert(document, &limits);
    }
    // A use of the oldest document protects it from the next eviction.
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
        "documents are not evicted to stay within the limit on bytes"
    );
    store.insert(&"y".repeat(101), &limits);
    assert_eq!(store.len(), 2, "a document larger than the cache is cached");
    for index in 0..10_000 {
        store.insert(&format!("{{a{index}}}"), &limits);
        assert!(store.len() <= 3 && store.total_bytes() <= 100);
    }
}

#[test]
fn responses_to_other_operations_are_rejected() {
    let operation = parse_operation(
        "{ x: evaluate __typename }",
        None,
        &Map::new(),
        &Limits::default(),
    )
    .unwrap();
    let check_response = |body: &str| check(body.as_bytes(), &operation);
    for valid in [
        r#"{"data":{"x":1,"__typename":"Query"}}"#,
        r#"{"data":null,"errors":[{"message":"no"}]}"#,
        r#"{"errors":[{"message":"no"}]}"#,
        r#"{"data":{"x":{"evaluate":1}},"extensions":{"y":1}}"#,
        r#"{"data":{}}"#,
    ] {
        assert_eq!(check_response(valid), Ok(()), "{valid}");
    }
    for (invalid, expected) in [
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
        assert_eq!(check_response(invalid), Err(expected), "{invalid}");
    }
    let deeply_nested = format!(
        "{{\"data\":{{\"x\":{}{}}}}}",
        "[".repeat(100_000),
        "]".repeat(100_000)
    );
    // Values are skipped without recursion, so their depth does not matter.
    assert_eq!(check_response(&deeply_nested), Ok(()));
}

#[test]
fn error_responses_state_whether_a_retry_is_safe() {
    let extensions = |result: &EntryResult<()>| {
        entry_response(result).map(|response| response["errors"][0]["extensions"].clone())
    };
    assert_eq!(extensions(&EntryResult::Answered(())), None);
    assert_eq!(
        extensions(&EntryResult::Rejected(Some(0.25))),
        Some(json!({"code":"REFUSED","retryable":true,"retryAfterMs":250}))
    );
    assert_eq!(
        extensions(&EntryResult::Rejected(None)),
        Some(json!({"code":"REFUSED","retryable":true}))
    );
    assert_eq!(
        extensions(&EntryResult::NeverRan),
        Some(json!({"code":"NOT_RUN","retryable":true}))
    );
    assert_eq!(
        extensions(&EntryResult::Failed),
        Some(json!({"code":"FAILED","retryable":false}))
    );
    let merged = merge(vec![
        EntryResult::Failed,
        EntryResult::Answered("{\"data\":{\"x\": 1.0}}\n"),
    ]);
    let merged = String::from_utf8(merged).unwrap();
    let decoded: Vec<Value> = serde_json::from_str(&merged).unwrap();
    assert_eq!(decoded.len(), 2);
    assert!(
        merged.ends_with(",{\"data\":{\"x\": 1.0}}]"),
        "a response was changed: {merged}"
    );
    let response = error_response(&GraphQlError {
        kind: GraphQlErrorKind::Syntax,
        message: "no".to_owned(),
        location: Some(Location { line: 2, column: 3 }),
    });
    let expected = json!({"errors":[{"message":"no","locations":[{"line":2,"column":3}],"extensions":{"code":"GRAPHQL_PARSE_FAILED"}}]});
    assert_eq!(response, expected);
}
