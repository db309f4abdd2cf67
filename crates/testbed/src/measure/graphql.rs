//! What GraphQL costs: classification by size of document, a request against the same sent plain, memory of open batches.

use super::{median, one_round, round1, Plan, Subject};
use crate::client::Client;
use crate::graphql;
use crate::load::{self, Kind};
use crate::node::{memory_kib, Node, PATIENCE};
use crate::pool::{Pool, ServerBehavior};
use crate::scripted::Program;
use crate::Result;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reelfall_graphql::class::{ClassInfo, Classes, Mapping};
use reelfall_graphql::decode::{self, DecodedRequest};
use reelfall_graphql::document::parse_operation;
use reelfall_graphql::Limits;
use serde_json::{json, Value};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Batches that are open at once when memory is measured, and the requests of each.
const BATCHES: usize = 1_000;
const ENTRIES: usize = 10;

/// Runs all measurements and gives the figures.
///
/// # Errors
/// If a subject can't be started, or doesn't serve.
pub async fn run(program: &Program, plan: &Plan) -> Result<Value> {
    let classification = classification()?;
    let mut figures = requests(program, plan).await?;
    let of_request = |us: &Value, cpu: &Value| Some(us.as_f64()? / cpu.as_f64()?);
    let share = of_request(
        &classification["small"]["us"],
        &figures["graphql"]["cpu_us_per_request"],
    );
    figures["classification"] = classification;
    figures["classification_share_of_request"] = json!(share.map(|s| (s * 1e4).round() / 1e4));
    figures["open_batches"] = open_batches(program).await?;
    Ok(figures)
}

// ---- classification ----

/// A request of which the document has so many fields.
fn document(fields: usize) -> String {
    let mut text = "query Q($f: String) { evaluate(flag: $f) { on".to_owned();
    for n in 0..fields {
        text += &format!("\n    field_{n:06}_of_many");
    }
    json!({ "query": text + " } }", "variables": { "f": "x" } }).to_string()
}

/// Time to read a request's body, find what it runs and tell its class, by size.
fn classification() -> Result<Value> {
    let mapping = Mapping {
        query: [("evaluate".to_owned(), 0)].into(),
        other_mutation: 1,
        ..Mapping::default()
    };
    let info = |safe| ClassInfo {
        is_idempotent: safe,
        deadline: 1.0,
    };
    let classes = Classes::new(mapping, vec![info(true), info(false)])?;
    let limits = Limits {
        cost: 100_000,
        tokens: 1_000_000,
        document: 4 << 20,
        ..Limits::default()
    };
    let once = |body: &[u8]| -> Result<usize> {
        let Ok(DecodedRequest::Single(params)) = decode::parse_body(body, &limits) else {
            return Err("no request".into());
        };
        let text = params.query.as_deref().unwrap_or_default();
        let operation =
            parse_operation(text, None, &params.variables, &limits).map_err(|f| f.message)?;
        Ok(usize::from(classes.class_of(&operation)))
    };
    let mut figures = serde_json::Map::new();
    for (name, fields) in [
        ("small", 0),
        ("1KiB", 30),
        ("8KiB", 270),
        ("64KiB", 2_200),
        ("512KiB", 17_500),
    ] {
        let body = document(fields);
        // Enough of them for a steady figure, and several times: the least is what it costs.
        let times = (2_000_000 / body.len()).max(3);
        let mut least = f64::MAX;
        for _ in 0..7 {
            let begun = Instant::now();
            for _ in 0..times {
                std::hint::black_box(once(std::hint::black_box(body.as_bytes()))?);
            }
            least = least.min(begun.elapsed().as_secs_f64() / times as f64);
        }
        figures.insert(
            name.to_owned(),
            json!({ "bytes": body.len(), "us": round1(least * 1e6), "ns_per_byte": round1(least * 1e9 / body.len() as f64) }),
        );
    }
    Ok(Value::Object(figures))
}

// ---- requests ----

fn read(n: usize) -> Value {
    json!({ "query": "query Q($f: String) { evaluate(flag: $f) { flag on } }", "variables": { "f": format!("f{n}") } })
}

fn kind(name: &str, path: &str, body: &Value, rate: f64) -> Kind {
    Kind {
        name: name.to_owned(),
        host: "flags.example.org".to_owned(),
        method: "POST",
        path: path.to_owned(),
        headers: vec![("content-type", "application/json".to_owned())],
        body: Some(Bytes::from(body.to_string())),
        deadline: Duration::from_secs(2),
        rate,
    }
}

/// A settings file with the same servers twice: as a GraphQL service, and as a plain one at `/plain`.
fn settings(pool: &Pool) -> String {
    graphql::settings(pool, "")
        + "\n[[service]]\nname = \"plain\"\n[[service.class]]\nname = \"evaluate\"\nrepeat = \"safe\"\naim = \"200ms\"\n\
           deadline = \"2s\"\n[[service.route]]\npath = \"/plain\"\n"
        + &pool.server_settings()
}

/// Processor time and latency of GraphQL, of the same requests sent plain, and of batches.
async fn requests(program: &Program, plan: &Plan) -> Result<Value> {
    let manner = ServerBehavior::healthy(Duration::from_millis(2));
    let pool = Pool::start_with_app("graphql", 8, 4, manner, 1, &graphql::app()).await?;
    let ten: Vec<Value> = (0..10).map(read).collect();
    let mut subjects = Vec::new();
    for (name, path, body, rate) in [
        ("plain", "/plain", read(0), plan.rate),
        ("graphql", "/graphql", read(0), plan.rate),
        (
            "batch_of_ten",
            "/graphql",
            Value::Array(ten),
            plan.rate / 10.0,
        ),
    ] {
        let node = Node::start(program, &settings(&pool)).await?;
        node.until_health("/_health", true).await?;
        let subject = Subject::new(name, node, vec![kind(name, path, &body, rate)]);
        load::run(subject.address, &subject.kinds, Duration::from_secs(1), 1).await;
        subjects.push(subject);
    }
    for round in 0..plan.rounds {
        for n in 0..subjects.len() {
            let at = (n + round) % subjects.len();
            one_round(&mut subjects[at], plan, round as u64).await?;
        }
    }
    let plain = subjects[0].cpu.clone();
    let mut figures = serde_json::Map::new();
    for s in &subjects {
        let over = median(s.cpu.iter().zip(&plain).map(|(a, b)| a / b));
        let mut of = s.figures();
        of["cpu_over_plain"] = json!(over);
        if s.name == "batch_of_ten" {
            of["cpu_over_ten_plain"] = json!((over * 100.0).round() / 1e3);
        }
        figures.insert(s.name.to_owned(), of);
    }
    Ok(Value::Object(figures))
}

// ---- open batches ----

/// Memory of the node while servers stand still and clients wait for many batches, and for as many plain requests with
/// the same bodies.
async fn open_batches(program: &Program) -> Result<Value> {
    let batch: Vec<Value> = (0..ENTRIES)
        .map(|n| {
            let mut one = read(n);
            one["variables"]["f"] = Value::String("x".repeat(900));
            one
        })
        .collect();
    let body = Bytes::from(Value::Array(batch).to_string());
    let batches = open_requests(program, "/graphql", &body).await?;
    let plain = open_requests(program, "/plain", &body).await?;
    let over = batches.0 / plain.0;
    Ok(json!({
        "open_at_once": BATCHES, "entries_of_each": ENTRIES, "body_bytes": body.len(),
        "kib_for_each_batch": round1(batches.0), "kib_for_each_plain": round1(plain.0),
        "batch_over_plain": (over * 100.0).round() / 100.0,
        "kib_kept_after_batches": round1(batches.1), "kib_kept_after_plain": round1(plain.1),
    }))
}

/// Memory for each of many open requests, and what is kept of it once they are answered, in KiB.
async fn open_requests(program: &Program, path: &'static str, body: &Bytes) -> Result<(f64, f64)> {
    let manner = ServerBehavior {
        is_frozen: true,
        ..ServerBehavior::healthy(Duration::from_millis(1))
    };
    let pool = Pool::start_with_app("graphql", 4, 64, manner, 1, &graphql::app()).await?;
    // Nothing is given up while the servers stand still, and each batch has one request out.
    let settings = "[process]\ndescriptors = 8000\nmemory = \"1GiB\"\n\n".to_owned()
        + &settings(&pool)
            .replace("aim = \"200ms\"", "aim = \"50s\"")
            .replace("deadline = \"2s\"", "deadline = \"55s\"")
            .replace("other_query", "side_by_side = 1\nother_query");
    let node = Node::start(program, &settings).await?;
    node.until_health("/_health", true).await?;
    let before = memory_kib(node.pid())?;
    let client = Arc::new(Client::new(node.address()));
    let mut running = JoinSet::new();
    for _ in 0..BATCHES {
        let (client, body) = (client.clone(), body.clone());
        running.spawn(async move {
            let request = Request::post(path).header("content-type", "application/json");
            let request = request
                .header("host", "flags.example.org")
                .body(Full::new(body))
                .ok()?;
            client
                .ask(request)
                .await
                .ok()
                .map(|got| got.status.as_u16())
        });
    }
    // One request of each is at a server, the others of a batch wait their turn.
    let begun = Instant::now();
    while pool.requests_received() < BATCHES as u64 && begun.elapsed() < PATIENCE {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let (open, during) = (pool.requests_received(), memory_kib(node.pid())?);
    pool.servers
        .iter()
        .for_each(|s| s.update_behavior(|m| m.is_frozen = false));
    let mut answered = 0;
    while let Some(done) = running.join_next().await {
        answered += usize::from(done?.is_some());
    }
    if open != BATCHES as u64 || answered != BATCHES {
        return Err(
            format!("{path}: {open} were open at once, {answered} answered, of {BATCHES}").into(),
        );
    }
    let kib = |now: u64| (now as f64 - before as f64) / BATCHES as f64;
    Ok((kib(during), kib(memory_kib(node.pid())?)))
}
