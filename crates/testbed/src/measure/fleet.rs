//! The measurement `fleet`: CPU time and latency of a request with gossip between nodes, without it, and with another build
//! of the program.

use super::error::MeasureError;
use super::{median, Plan, Subject, SubjectProcess};
use crate::fleet::{FleetSpec, TestFleet};
use crate::load::Workload;
use crate::scripted::Program;
use crate::Result;
use serde_json::{json, Map, Value};

/// Number of nodes of the fleet with gossip; one of them receives the load.
const NODES: usize = 5;

/// Number of servers behind each subject.
const SERVERS: usize = 8;
/// Number of the first round, which sets the seed of its load.
const FIRST_ROUND: u64 = 2;

/// Starts a fleet whose first node is the subject.
async fn start_subject(
    name: &'static str,
    program: &Program,
    node_count: usize,
    has_gossip: bool,
    rate: f64,
) -> Result<Subject> {
    let spec = FleetSpec {
        node_count,
        server_count: SERVERS,
        fleet_settings: has_gossip.then(String::new),
        ..FleetSpec::default()
    };
    let fleet = TestFleet::start(program, &spec).await?;
    if has_gossip {
        fleet
            .wait_until("all nodes know each other", async |fleet| {
                fleet.is_converged().await
            })
            .await?;
    }
    let address = fleet.address(0).ok_or(MeasureError::NoNode)?;
    let pid = fleet.pid(0).ok_or(MeasureError::NoNode)?;
    let process = SubjectProcess::Fleet {
        _fleet: Box::new(fleet),
    };
    let workloads = vec![Workload::evaluate(name.to_owned(), rate)];
    Ok(Subject::new(name, address, pid, workloads, process))
}

async fn start_subjects(program: &Program, plan: &Plan) -> Result<Vec<Subject>> {
    let mut subjects = Vec::new();
    if let Some(baseline) = &plan.baseline {
        subjects.push(start_subject("old", baseline, 1, false, plan.rate).await?);
    }
    subjects.push(start_subject("off", program, 1, false, plan.rate).await?);
    subjects.push(start_subject("on", program, NODES, true, plan.rate).await?);
    Ok(subjects)
}

/// Median, minimum and maximum over the rounds of the CPU time of `numerator` divided by that of `denominator`; `None` if
/// either was not measured.
fn cpu_ratio(subjects: &[Subject], numerator: &str, denominator: &str) -> Option<Value> {
    let find = |name: &str| subjects.iter().find(|subject| subject.name == name);
    let (numerator, denominator) = (find(numerator)?, find(denominator)?);
    let rounds = numerator.cpu_us.iter().zip(&denominator.cpu_us);
    let mut ratios: Vec<f64> = rounds
        .map(|(numerator_us, denominator_us)| numerator_us / denominator_us)
        .collect();
    ratios.sort_by(f64::total_cmp);
    Some(json!({
        "median": median(ratios.iter().copied()),
        "least": ratios.first(),
        "most": ratios.last(),
    }))
}

/// Runs all rounds and returns the figures.
///
/// # Errors
/// If a subject can't be started or does not serve its load.
pub async fn run(program: &Program, plan: &Plan) -> Result<Value> {
    let mut subjects = start_subjects(program, plan).await?;
    for subject in &subjects {
        subject.warm_up().await;
    }
    for round in 0..plan.rounds {
        for subject in &mut subjects {
            let round = round as u64 + FIRST_ROUND;
            subject.measure_round(plan, round).await?;
        }
    }
    let figures: Map<String, Value> = subjects
        .iter()
        .map(|subject| (subject.name.to_owned(), subject.figures()))
        .collect();
    Ok(json!({
        "subjects": figures,
        "on_to_off": cpu_ratio(&subjects, "on", "off"),
        "off_to_old": cpu_ratio(&subjects, "off", "old"),
    }))
}
