//! Processor time and latency for each request with what nodes tell each other, without it, and of another program.

use super::{median, Plan, Subject, SubjectProcess};
use crate::fleet::{Made, Rig};
use crate::load::Workload;
use crate::scripted::Program;
use crate::Result;
use serde_json::{json, Value};

/// Nodes of the fleet; one of them is loaded.
const NODES: usize = 5;

async fn subject(
    name: &'static str,
    program: &Program,
    nodes: usize,
    fleet: bool,
    rate: f64,
) -> Result<Subject> {
    let made = Made {
        nodes,
        servers: 8,
        fleet: fleet.then(String::new),
        ..Made::default()
    };
    let rig = Rig::start(program, &made).await?;
    if fleet {
        rig.until("all know each other", async |rig| rig.gathered().await)
            .await?;
    }
    let (address, pid) = (
        rig.address(0).ok_or("no node")?,
        rig.pid(0).ok_or("no node")?,
    );
    let alive = SubjectProcess::Fleet {
        _rig: Box::new(rig),
    };
    Ok(Subject::new(
        name,
        address,
        pid,
        vec![Workload::evaluate(name.to_owned(), rate)],
        alive,
    ))
}

/// Runs all measurements and gives the figures.
///
/// # Errors
/// If a subject can't be started.
pub async fn run(program: &Program, plan: &Plan) -> Result<Value> {
    let mut subjects = Vec::new();
    if let Some(old) = &plan.baseline {
        subjects.push(subject("old", old, 1, false, plan.rate).await?);
    }
    subjects.push(subject("off", program, 1, false, plan.rate).await?);
    subjects.push(subject("on", program, NODES, true, plan.rate).await?);
    for subject in &subjects {
        subject.warm_up().await;
    }
    for round in 0..plan.rounds {
        for subject in &mut subjects {
            subject.measure_round(plan, round as u64 + 2).await?;
        }
    }
    let ratio = |of: &str, to: &str| {
        let find = |name: &str| subjects.iter().find(|s| s.name == name);
        let (a, b) = (find(of)?, find(to)?);
        let mut all: Vec<f64> = a.cpu_us.iter().zip(&b.cpu_us).map(|(a, b)| a / b).collect();
        all.sort_by(f64::total_cmp);
        Some(
            json!({ "median": median(all.iter().copied()), "least": all.first(), "most": all.last() }),
        )
    };
    let figures: serde_json::Map<_, _> = subjects
        .iter()
        .map(|s| (s.name.to_owned(), s.figures()))
        .collect();
    Ok(
        json!({ "subjects": figures, "on_to_off": ratio("on", "off"), "off_to_old": ratio("off", "old") }),
    )
}
