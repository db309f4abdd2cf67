//! CPU time and latency of GraphQL requests, of the same requests to a plain service, and of batches. Called by `run` of the
//! parent module.

use super::{measure_rounds, median_ratio, read_request, settings, Plan, Subject};
use crate::graphql;
use crate::load::{RequestHeader, Workload};
use crate::node::{Node, Program};
use crate::pool::{Pool, ServerBehavior};
use crate::Result;
use bytes::Bytes;
use serde_json::{json, Map, Value};
use std::time::Duration;

const SERVERS: usize = 8;
const WORKERS: usize = 4;
const POOL_SEED: u64 = 1;
const SERVICE_TIME: Duration = Duration::from_millis(2);
const DEADLINE: Duration = Duration::from_secs(2);
const BATCH_LEN: usize = 10;
const BATCH_SUBJECT: &str = "batch_of_ten";

/// Measures all three.
pub(super) async fn measure(program: &Program, plan: &Plan) -> Result<Value> {
    let behavior = ServerBehavior::healthy(SERVICE_TIME);
    let app = graphql::app();
    let pool = Pool::start_with_app("graphql", SERVERS, WORKERS, behavior, POOL_SEED, &app).await?;
    let mut subjects = Vec::new();
    for workload in workloads(plan) {
        let node = Node::start(program, &settings(&pool)).await?;
        node.wait_for_health("/_health", true).await?;
        let subject = Subject::from_node(workload.name, node, vec![workload.load()]);
        subject.warm_up().await;
        subjects.push(subject);
    }
    measure_rounds(&mut subjects, plan).await?;
    Ok(Value::Object(compare(&subjects)))
}

/// The figures of each subject, with its CPU time as a multiple of that of the plain service, which is the first subject.
fn compare(subjects: &[Subject]) -> Map<String, Value> {
    let plain = &subjects[0];
    let mut figures = Map::new();
    for subject in subjects {
        let ratio = median_ratio(&subject.cpu_us, &plain.cpu_us);
        let mut subject_figures = subject.figures();
        subject_figures["cpu_over_plain"] = json!(ratio);
        if subject.name == BATCH_SUBJECT {
            subject_figures["cpu_over_ten_plain"] = json!((ratio * 100.0).round() / 1e3);
        }
        figures.insert(subject.name.to_owned(), subject_figures);
    }
    figures
}

/// The requests of one subject.
struct PostWorkload {
    name: &'static str,
    path: &'static str,
    body: Value,
    rate: f64,
}

fn workloads(plan: &Plan) -> [PostWorkload; 3] {
    let batch: Vec<Value> = (0..BATCH_LEN).map(read_request).collect();
    [
        PostWorkload {
            name: "plain",
            path: "/plain",
            body: read_request(0),
            rate: plan.rate,
        },
        PostWorkload {
            name: "graphql",
            path: "/graphql",
            body: read_request(0),
            rate: plan.rate,
        },
        PostWorkload {
            name: BATCH_SUBJECT,
            path: "/graphql",
            body: Value::Array(batch),
            rate: plan.rate / BATCH_LEN as f64,
        },
    ]
}

impl PostWorkload {
    fn load(&self) -> Workload {
        Workload {
            name: self.name.to_owned(),
            host: "flags.example.org".to_owned(),
            method: "POST",
            path: self.path.to_owned(),
            headers: vec![RequestHeader {
                name: "content-type",
                value: "application/json".to_owned(),
            }],
            body: Some(Bytes::from(self.body.to_string())),
            deadline: DEADLINE,
            rate: self.rate,
        }
    }
}
