//! Soak runs with fixed seeds, and runs with an injected violation, which the checker has to find.

use reelfall_testbed::node::Program;
use reelfall_testbed::soak::answers;
use reelfall_testbed::soak::answers_plan::AnswersPlan;
use reelfall_testbed::soak::checker::{CheckResult, Rule};
use reelfall_testbed::soak::endings::{self, EndingsOutcome};
use reelfall_testbed::soak::fleet_run::{self, FleetPlan};
use reelfall_testbed::soak::injected_violation::InjectedViolation;
use reelfall_testbed::soak::plan::EndingsPlan;
use reelfall_testbed::soak::report::{findings, has_failed};
use reelfall_testbed::soak::stalls::StallMeter;
use reelfall_testbed::soak::upgrade_plan::UpgradePlan;
use reelfall_testbed::soak::upgrades;
use std::path::Path;

const TESTBED: &str = env!("CARGO_BIN_EXE_reelfall-testbed");
/// Runs of kind `endings`: with and without exhausted connections, with both sources of the configuration, and with signals
/// right after the start and right after readiness.
const ENDINGS_SEEDS: [u64; 4] = [2, 4, 8, 9];
/// A run with exhausted connections and a slow path to a server, on which bodies take longer than the node has left.
const SLOW_UPLOAD_SEED: u64 = 1;
/// Runs of kind `fleet`.
const FLEET_SEEDS: [u64; 1] = [1];
/// A run in which all processes of a busy machine stalled for up to a second.
const STALLED_FLEET_SEED: u64 = 212;
/// Runs of kind `upgrade`, with successors that are killed.
const UPGRADE_SEEDS: [u64; 2] = [4, 5];
/// Runs of kind `answers`: signals in series with both sources of the configuration, a crowd, draining servers, an upgrade and a drain.
const ANSWERS_SEEDS: [u64; 6] = [0, 2, 11, 13, 32, 35];
/// Runs of kind `uploads`: signals in series with both sources of the configuration, a crowd, an upgrade and a drain.
const UPLOADS_SEEDS: [u64; 4] = [0, 13, 32, 35];
/// An injected violation must be found within this number of runs.
const MAX_RUNS_TO_FIND: u64 = 10;

fn program() -> Program {
    Program::in_testbed(TESTBED)
}

fn meter() -> StallMeter {
    StallMeter::start(Path::new(TESTBED)).unwrap()
}

async fn run_endings(
    seed: u64,
    violation: Option<InjectedViolation>,
    meter: &StallMeter,
) -> EndingsOutcome {
    let plan = EndingsPlan::from_seed(seed);
    endings::run(&program(), &plan, violation, meter)
        .await
        .unwrap()
}

fn assert_not_red(seed: u64, check_result: &CheckResult, history: &str) {
    let text = findings(&check_result.findings);
    assert!(!has_failed(check_result), "seed {seed}:\n{text}\n{history}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generated_shutdowns_violate_no_rule() {
    let meter = meter();
    for seed in ENDINGS_SEEDS {
        let outcome = run_endings(seed, None, &meter).await;
        assert_not_red(seed, &outcome.check_result, &outcome.record.to_text());
    }
}

/// Guards against uploads that get no answer when the process exits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shutdown_during_slow_uploads_violates_no_rule() {
    let outcome = run_endings(SLOW_UPLOAD_SEED, None, &meter()).await;
    assert_not_red(
        SLOW_UPLOAD_SEED,
        &outcome.check_result,
        &outcome.record.to_text(),
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generated_fleets_violate_no_rule() {
    let meter = meter();
    for seed in FLEET_SEEDS {
        let plan = FleetPlan::from_seed(seed);
        let outcome = fleet_run::run(&program(), &plan, false, &meter)
            .await
            .unwrap();
        assert_not_red(seed, &outcome.check_result, &outcome.history.tail(60));
    }
}

/// Guards against ejection of healthy servers while all responses are late because the machine stalls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fleet_on_a_busy_machine_ejects_no_server_that_responds() {
    let plan = FleetPlan::from_seed(STALLED_FLEET_SEED);
    let outcome = fleet_run::run(&program(), &plan, false, &meter())
        .await
        .unwrap();
    let history = outcome.history.tail(60);
    assert_not_red(STALLED_FLEET_SEED, &outcome.check_result, &history);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generated_upgrades_violate_no_rule() {
    let meter = meter();
    for seed in UPGRADE_SEEDS {
        let plan = UpgradePlan::from_seed(seed);
        let outcome = upgrades::run(&program(), &plan, &meter).await.unwrap();
        assert_not_red(seed, &outcome.check_result, &outcome.record.to_text());
    }
}

/// Guards against answers that are cut off, held back, or end so that their clients can't tell.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generated_slow_answers_violate_no_rule() {
    let meter = meter();
    for seed in ANSWERS_SEEDS {
        let plan = AnswersPlan::from_seed(seed);
        let outcome = answers::run(&program(), &plan, &meter).await.unwrap();
        let history = format!("{}\n{}", outcome.history, outcome.log);
        assert_not_red(seed, &outcome.check_result, &history);
    }
}

/// Guards against large requests that are answered late, twice or not at all while their servers read them slowly or stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generated_uploads_violate_no_rule() {
    let meter = meter();
    for seed in UPLOADS_SEEDS {
        let plan = AnswersPlan::with_uploads(seed);
        let outcome = answers::run(&program(), &plan, &meter).await.unwrap();
        let history = format!("{}\n{}", outcome.history, outcome.log);
        assert_not_red(seed, &outcome.check_result, &history);
    }
}

/// Asserts that one of the first runs with an injected violation has a finding about the rule.
async fn assert_found(violation: InjectedViolation, rule: Rule) {
    let meter = meter();
    for seed in 0..MAX_RUNS_TO_FIND {
        let outcome = run_endings(seed, Some(violation), &meter).await;
        let found = outcome.check_result.findings;
        if found.iter().any(|finding| finding.rule == rule) {
            return;
        }
    }
    panic!("{violation:?} was not found in {MAX_RUNS_TO_FIND} runs");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dropped_answers_are_found() {
    assert_found(InjectedViolation::DropAnswers, Rule::Answered).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_closed_after_requests_are_found() {
    assert_found(
        InjectedViolation::CloseReadRequests,
        Rule::NotClosedUnanswered,
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_sent_for_disconnected_clients_are_found() {
    assert_found(
        InjectedViolation::SendForDisconnectedClients,
        Rule::NothingForLeft,
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_that_a_node_never_uses_again_is_found() {
    let meter = meter();
    let plan = FleetPlan::from_seed(FLEET_SEEDS[0]);
    let outcome = fleet_run::run(&program(), &plan, true, &meter)
        .await
        .unwrap();
    let found = outcome.check_result.findings;
    assert!(
        found.iter().any(|finding| finding.rule == Rule::UsedAgain),
        "{found:?}"
    );
}
