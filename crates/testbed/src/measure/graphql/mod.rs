//! The measurement `graphql`: CPU time of classification by document size, CPU time and latency of a GraphQL request compared
//! with the same request to a plain service, and memory of open batches. Run by the command `measure graphql`.

mod classification;
mod open_batches;
mod requests;

use super::{measure_rounds, median_ratio, round_to_tenth, Plan, Subject};
use crate::graphql;
use crate::node::Program;
use crate::pool::Pool;
use crate::Result;
use serde_json::{json, Value};

/// Runs all measurements and returns the figures.
///
/// # Errors
/// If a subject can't be started, or doesn't serve.
pub async fn run(program: &Program, plan: &Plan) -> Result<Value> {
    let classification = classification::measure()?;
    let mut figures = requests::measure(program, plan).await?;
    let share = classification_share(&classification, &figures);
    figures["classification"] = classification;
    figures["classification_share_of_request"] = json!(share.map(round_to_ten_thousandth));
    figures["open_batches"] = open_batches::measure(program).await?;
    Ok(figures)
}

/// The share of a request's CPU time that the classification of a small document takes.
fn classification_share(classification: &Value, requests: &Value) -> Option<f64> {
    let classification_us = classification["small"]["us"].as_f64()?;
    let request_us = requests["graphql"]["cpu_us_per_request"].as_f64()?;
    Some(classification_us / request_us)
}

fn round_to_ten_thousandth(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

/// A read of one flag.
fn read_request(number: usize) -> Value {
    json!({ "query": "query Q($f: String) { evaluate(flag: $f) { flag on } }", "variables": { "f": format!("f{number}") } })
}

/// A settings file with the same servers twice: as a GraphQL service, and as a plain one at `/plain`.
fn settings(pool: &Pool) -> String {
    graphql::settings(pool, "")
        + "\n[[service]]\nname = \"plain\"\n[[service.class]]\nname = \"evaluate\"\nrepeat = \"safe\"\naim = \"200ms\"\n\
           deadline = \"2s\"\n[[service.route]]\npath = \"/plain\"\n"
        + &pool.server_settings()
}
