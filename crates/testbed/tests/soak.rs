//! Days of the soak with fixed seeds, and violations that are put in on purpose, which it has to find.

use reelfall_testbed::node::Program;
use reelfall_testbed::soak::endings::{self, EndingsOutcome};
use reelfall_testbed::soak::fleet_day::{self, FleetPlan};
use reelfall_testbed::soak::judge::{Judgement, Rule};
use reelfall_testbed::soak::plan::EndingsPlan;
use reelfall_testbed::soak::report::{findings, is_red};
use reelfall_testbed::soak::sabotage::Sabotage;
use reelfall_testbed::soak::stalls::StallMeter;
use reelfall_testbed::soak::upgrade_plan::UpgradePlan;
use reelfall_testbed::soak::upgrades;
use std::path::Path;

const TESTBED: &str = env!("CARGO_BIN_EXE_reelfall-testbed");
/// Days of endings: with and without a crowd, of both forms, and with the signal right after the start and readiness.
const ENDINGS_SEEDS: [u64; 4] = [2, 4, 8, 9];
/// A day with a crowd and a slow path to a server, which takes bodies for longer than the node has left.
const SLOW_UPLOAD_SEED: u64 = 1;
/// Days of a fleet.
const FLEET_SEEDS: [u64; 1] = [1];
/// A day on which all processes of a busy machine stood still for up to a second.
const STALLED_FLEET_SEED: u64 = 212;
/// Days of upgrades, with successors that are killed.
const UPGRADE_SEEDS: [u64; 2] = [4, 5];
/// A violation that is put in on purpose is found within so many days.
const MAX_DAYS_TO_FIND: u64 = 10;

fn program() -> Program {
    Program::in_testbed(TESTBED)
}

fn meter() -> StallMeter {
    StallMeter::start(Path::new(TESTBED)).unwrap()
}

async fn play_endings(seed: u64, sabotage: Option<Sabotage>, meter: &StallMeter) -> EndingsOutcome {
    let plan = EndingsPlan::draw(seed);
    endings::play(&program(), &plan, sabotage, meter)
        .await
        .unwrap()
}

fn assert_not_red(seed: u64, judgement: &Judgement, history: &str) {
    let text = findings(&judgement.findings);
    assert!(!is_red(judgement), "seed {seed}:\n{text}\n{history}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drawn_endings_violate_no_rule() {
    let meter = meter();
    for seed in ENDINGS_SEEDS {
        let outcome = play_endings(seed, None, &meter).await;
        assert_not_red(seed, &outcome.judgement, &outcome.record.to_text());
    }
}

/// Guards against uploads that end with the process, without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ending_during_slow_uploads_violates_no_rule() {
    let outcome = play_endings(SLOW_UPLOAD_SEED, None, &meter()).await;
    assert_not_red(
        SLOW_UPLOAD_SEED,
        &outcome.judgement,
        &outcome.record.to_text(),
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drawn_fleets_violate_no_rule() {
    let meter = meter();
    for seed in FLEET_SEEDS {
        let plan = FleetPlan::draw(seed);
        let outcome = fleet_day::play(&program(), &plan, false, &meter)
            .await
            .unwrap();
        assert_not_red(seed, &outcome.judgement, &outcome.history.tail(60));
    }
}

/// Guards against servers that are ejected because everything is late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fleet_on_a_busy_machine_ejects_no_server_that_responds() {
    let plan = FleetPlan::draw(STALLED_FLEET_SEED);
    let outcome = fleet_day::play(&program(), &plan, false, &meter())
        .await
        .unwrap();
    let history = outcome.history.tail(60);
    assert_not_red(STALLED_FLEET_SEED, &outcome.judgement, &history);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drawn_upgrades_violate_no_rule() {
    let meter = meter();
    for seed in UPGRADE_SEEDS {
        let plan = UpgradePlan::draw(seed);
        let outcome = upgrades::play(&program(), &plan, &meter).await.unwrap();
        assert_not_red(seed, &outcome.judgement, &outcome.record.to_text());
    }
}

/// Plays days with a violation that is put in on purpose until one finds it.
async fn assert_found(sabotage: Sabotage, rule: Rule) {
    let meter = meter();
    for seed in 0..MAX_DAYS_TO_FIND {
        let outcome = play_endings(seed, Some(sabotage), &meter).await;
        let found = outcome.judgement.findings;
        if found.iter().any(|finding| finding.rule == rule) {
            return;
        }
    }
    panic!("{sabotage:?} is not found");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dropped_answers_are_found() {
    assert_found(Sabotage::DropAnswers, Rule::Answered).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_closed_behind_requests_are_found() {
    assert_found(Sabotage::CloseReadRequests, Rule::NotClosedUnanswered).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_sent_for_left_clients_are_found() {
    assert_found(Sabotage::SendForLeftClients, Rule::NothingForLeft).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_that_a_node_never_uses_again_is_found() {
    let meter = meter();
    let plan = FleetPlan::draw(FLEET_SEEDS[0]);
    let outcome = fleet_day::play(&program(), &plan, true, &meter)
        .await
        .unwrap();
    let found = outcome.judgement.findings;
    assert!(
        found.iter().any(|finding| finding.rule == Rule::UsedAgain),
        "{found:?}"
    );
}
