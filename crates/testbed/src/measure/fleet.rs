//! The measurement `fleet`: processor time and latency of a request with gossip between nodes, without it, and with another
//! build of the program.

use super::error::MeasureError;
use super::{median, Plan, Subject, SubjectProcess};
use crate::fleet::{FleetSpec, TestFleet};
use crate::load::Workload;
use crate::scripted::Program;
use crate::Result;
use serde_json::{json, Map, Value};

/// Nodes of the fleet with gossip; one of them is loaded.
const NODES: usize = 5;

/// Servers of each subject.
const SERVERS: usize = 8;
/// Number of the first round, which sets the seed of its load.
const FIRST_ROUND: u64 = 2;

/// Starts a fleet of which the first node is the subject.
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
            .wait_until("all know each other", async |fleet| {
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
    if let Some(old) = &plan.baseline {
        subjects.push(start_subject("old", old, 1, false, plan.rate).await?);
    }
    subjects.push(start_subject("off", program, 1, false, plan.rate).await?);
    subjects.push(start_subject("on", program, NODES, true, plan.rate).await?);
    Ok(subjects)
}

/// Median, minimum and maximum over the rounds of the ratio between the processor times of two subjects.
fn cpu_ratio(subjects: &[Subject], of: &str, to: &str) -> Option<Value> {
    let find = |name: &str| subjects.iter().find(|subject| subject.name == name);
    let (numerator, denominator) = (find(of)?, find(to)?);
    let rounds = numerator.cpu_us.iter().zip(&denominator.cpu_us);
    let mut ratios: Vec<f64> = rounds.map(|(above, below)| above / below).collect();
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
/// Fails if a subject can't be started.
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
