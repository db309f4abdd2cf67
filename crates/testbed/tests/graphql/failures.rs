//! Failures of servers: reads are retried, and mutations run at most once.

use crate::harness::{healthy, operation, post_head, program, Deployment};
use hyper::HeaderMap;
use reelfall_testbed::graphql;
use reelfall_testbed::pool::{App, Completion, Corruption, Pool, ServerBehavior};
use reelfall_testbed::scenario::graphql::{run, Scale};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Settings under which the retry budget doesn't limit retries.
const MANY_RETRIES: &str = "tries = { most = 4, retry_share = 1.0 }";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn scenario_has_no_violations() {
    let report = run(&program(), Scale::SMALL).await.unwrap();
    assert!(report.passed(), "{:#?}", report.violations());
}

/// Requests of one kind that succeeded.
#[derive(Default)]
struct Successes {
    reads: usize,
    /// Batches in which both reads succeeded.
    batches: usize,
    /// Mutations in batches that ran.
    mutations: usize,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_failures_duplicate_no_mutation_and_lose_no_response() {
    let behavior = ServerBehavior {
        close_before_effect_ratio: 0.1,
        close_after_effect_ratio: 0.15,
        error_ratio: 0.1,
        shed_ratio: 0.1,
        corrupt_ratio: 0.1,
        ..healthy()
    };
    let deployment = Deployment::start_with(behavior, MANY_RETRIES).await;
    let corruptions = [
        Corruption::Truncated,
        Corruption::WrongContentType,
        Corruption::OtherResponse,
    ];
    // Without retries, 45 % of the reads would succeed, and 20 % of the pairs of reads in a batch.
    let mut successes = Successes::default();
    for round in 0..150 {
        deployment.update_behavior(|behavior| behavior.corruption = corruptions[round % 3]);
        let read = deployment.post_json(&operation("{ flags }")).await;
        successes.reads += usize::from(read.status == 200);
        check_single_mutation(&deployment, round).await;
        check_batch(&deployment, round, &mut successes).await;
    }
    assert_eq!(
        deployment.pool.duplicate_effects(),
        0,
        "mutations took effect more than once: {:?}",
        deployment.pool.effect_counts()
    );
    let Successes {
        reads,
        batches,
        mutations,
    } = successes;
    assert!(
        mutations > 100 && reads > 95 && batches > 75,
        "{mutations} mutations, {reads} reads, {batches} batches"
    );
}

/// Sends a mutation, and checks that the response truthfully says whether it ran.
async fn check_single_mutation(deployment: &Deployment, round: usize) {
    let id = format!("one-{round}");
    let mutation = operation(&format!("mutation {{ toggle(id: \"{id}\") {{ id }} }}"));
    let response = deployment.post_json(&mutation).await;
    let has_run = deployment.pool.effect_counts().contains_key(&id);
    let retryable = &response.body["errors"][0]["extensions"]["retryable"];
    match response.status {
        200 => assert!(has_run),
        503 => {
            assert!(!has_run, "a rejected mutation ran");
            assert_eq!(*retryable, true);
        }
        status => assert_eq!(*retryable, false, "{status} {}", response.body),
    }
}

/// Sends a batch of two reads, two mutations and an invalid document, and checks that the response truthfully says of each
/// entry whether it ran.
async fn check_batch(deployment: &Deployment, round: usize, successes: &mut Successes) {
    let batch = json!([
        operation("{ flags }"),
        operation(&format!(
            "mutation {{ toggle(id: \"a-{round}\") {{ id }} }}"
        )),
        operation("{ evaluate { on } }"),
        operation(&format!(
            "mutation {{ rollout(id: \"b-{round}\") {{ id }} }}"
        )),
        operation("{"),
    ]);
    let response = deployment.post_json(&batch).await;
    let entries = response.body.as_array().expect("a response per entry");
    assert_eq!((response.status, entries.len()), (200, 5));
    assert!(entries[4]["errors"][0]["extensions"]["code"] == "GRAPHQL_PARSE_FAILED");
    for (entry, id) in [
        (&entries[1], format!("a-{round}")),
        (&entries[3], format!("b-{round}")),
    ] {
        let has_run = deployment.pool.effect_counts().contains_key(&id);
        let retryable = &entry["errors"][0]["extensions"]["retryable"];
        assert!(
            *retryable != true || !has_run,
            "a mutation was reported as retryable but ran: {entry}"
        );
        assert!(
            entry.get("data").is_none_or(Value::is_null) || has_run,
            "{entry}"
        );
        successes.mutations += usize::from(has_run);
    }
    let both_reads_succeeded =
        entries[0]["data"]["flags"].is_array() && entries[2]["data"]["evaluate"]["on"] == true;
    successes.batches += usize::from(both_reads_succeeded);
}

/// The stage of a mutation at which its server fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureStage {
    BeforeEffect,
    AfterEffect,
    DuringResponse,
    Never,
}

impl FailureStage {
    const ALL: [FailureStage; 4] = [
        FailureStage::BeforeEffect,
        FailureStage::AfterEffect,
        FailureStage::DuringResponse,
        FailureStage::Never,
    ];

    /// The prefix of the ids of batches whose first mutation fails at this stage.
    fn batch_prefix(self) -> &'static str {
        match self {
            FailureStage::BeforeEffect => "before",
            FailureStage::AfterEffect => "during",
            FailureStage::DuringResponse => "after",
            FailureStage::Never => "none",
        }
    }

    fn of_batch(batch_id: &str) -> Option<FailureStage> {
        FailureStage::ALL
            .into_iter()
            .find(|stage| batch_id.starts_with(stage.batch_prefix()))
    }

    fn completion(self) -> Completion {
        match self {
            FailureStage::BeforeEffect => Completion::CloseBeforeEffect,
            FailureStage::AfterEffect => Completion::CloseAfterEffect,
            FailureStage::DuringResponse => Completion::TruncateResponse,
            FailureStage::Never => Completion::AsConfigured,
        }
    }
}

/// The attempts at each entry of a batch, by correlation id: `BATCH.INDEX`.
#[derive(Clone, Default)]
struct AttemptCounts(Arc<Mutex<HashMap<String, u32>>>);

impl AttemptCounts {
    /// Counts an attempt; returns the number of attempts with this correlation id so far.
    fn add(&self, correlation_id: &str) -> u32 {
        let mut counts = self.0.lock().unwrap();
        let attempts = counts.entry(correlation_id.to_owned()).or_default();
        *attempts += 1;
        *attempts
    }

    /// The attempts at each of the four entries of a batch.
    fn of_batch(&self, batch_id: &str) -> [Option<u32>; 4] {
        let counts = self.0.lock().unwrap();
        [0, 1, 2, 3].map(|index| counts.get(&format!("{batch_id}.{index}")).copied())
    }
}

/// The GraphQL application on servers that fail: the first two attempts at entry 0 of each batch fail, and entry 1 fails at
/// the stage that the id of the batch names.
fn failing_app(attempt_counts: AttemptCounts) -> App {
    let inner = graphql::app();
    Arc::new(move |head, body| {
        let correlation_id = correlation_id(&head.headers);
        let attempt = attempt_counts.add(correlation_id);
        let mut response = inner(head, body);
        response.completion = completion(correlation_id, attempt);
        response
    })
}

fn correlation_id(headers: &HeaderMap) -> &str {
    headers
        .get("x-correlation-id")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

fn completion(correlation_id: &str, attempt: u32) -> Completion {
    match (correlation_id.rsplit_once('.'), attempt) {
        (Some((_, "0")), 1) => Completion::CloseAfterEffect,
        (Some((_, "0")), 2) => Completion::TruncateResponse,
        (Some((batch_id, "1")), _) => FailureStage::of_batch(batch_id)
            .map_or(Completion::AsConfigured, FailureStage::completion),
        _ => Completion::AsConfigured,
    }
}

/// Settings with such long deadlines that attempts end only by failures of the servers, never by a timeout.
fn settings_with_long_deadlines(pool: &Pool) -> String {
    graphql::settings(pool, MANY_RETRIES)
        .replace("aim = \"200ms\"", "aim = \"5s\"")
        .replace("deadline = \"2s\"", "deadline = \"30s\"")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_mutation_is_not_retried_and_read_in_its_batch_is() {
    let attempt_counts = AttemptCounts::default();
    let app = failing_app(attempt_counts.clone());
    let deployment =
        Deployment::start_with_app(healthy(), &app, settings_with_long_deadlines).await;
    for round in 0..12 {
        let stage = FailureStage::ALL[round % 4];
        let batch_id = format!("{}-{round}", stage.batch_prefix());
        let entries = send_batch(&deployment, &batch_id).await;
        check_entries(&entries, stage, &batch_id);
        let effect_counts = deployment.pool.effect_counts();
        let effects = effect_counts.get(&format!("{batch_id}-1")).copied();
        let expected_effects = u32::from(stage != FailureStage::BeforeEffect);
        assert_eq!(effects.unwrap_or(0), expected_effects, "{stage:?}");
        assert_eq!(
            attempt_counts.of_batch(&batch_id),
            [Some(3), Some(1), Some(1), Some(1)],
            "{stage:?}"
        );
    }
    assert_eq!(deployment.pool.duplicate_effects(), 0);
}

/// Sends a read, a mutation, a read and a mutation; returns the response of each.
async fn send_batch(deployment: &Deployment, batch_id: &str) -> Value {
    let mutation = |number: u32| {
        operation(&format!(
            "mutation {{ toggle(id: \"{batch_id}-{number}\") {{ id }} }}"
        ))
    };
    let batch = json!([
        operation("{ flags }"),
        mutation(1),
        operation("{ evaluate { on } }"),
        mutation(2),
    ]);
    let head = post_head().header("x-correlation-id", batch_id);
    let response = deployment.send(head, batch.to_string()).await;
    let entries: Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(
        (response.status.as_u16(), entries.as_array().map(Vec::len)),
        (200, Some(4)),
        "{entries}"
    );
    entries
}

fn check_entries(entries: &Value, stage: FailureStage, batch_id: &str) {
    assert!(
        entries[0]["data"]["flags"].is_array(),
        "{stage:?}: the read failed: {entries}"
    );
    assert_eq!(
        entries[2]["data"]["evaluate"]["on"], true,
        "{stage:?}: {entries}"
    );
    // The second mutation runs although the first has failed.
    assert_eq!(
        entries[3]["data"]["toggle"]["id"],
        format!("{batch_id}-2"),
        "{stage:?}: {entries}"
    );
    if stage == FailureStage::Never {
        assert_eq!(entries[1]["data"]["toggle"]["id"], format!("{batch_id}-1"));
    } else {
        assert_eq!(
            entries[1]["errors"][0]["extensions"],
            json!({"code": "FAILED", "retryable": false}),
            "{stage:?}"
        );
    }
}
