//! GraphQL over HTTP through a whole node, with a stand-in that counts effects by mutation.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reelfall_testbed::client::{Client, ClientResponse};
use reelfall_testbed::graphql;
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::{App, Completion, Corruption, Pool, ServerBehavior};
use reelfall_testbed::scripted::Program;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const RESPONSE: &str = "application/graphql-response+json";

async fn start(manner: ServerBehavior, more: &str) -> (Node, Pool) {
    running(manner, &graphql::app(), |pool| {
        graphql::settings(pool, more)
    })
    .await
}

async fn running(
    manner: ServerBehavior,
    app: &App,
    settings: impl Fn(&Pool) -> String,
) -> (Node, Pool) {
    let pool = Pool::start_with_app("g", 4, 16, manner, 3, app)
        .await
        .unwrap();
    let settings = settings(&pool);
    let program = Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"));
    let node = Node::start(&program, &settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    (node, pool)
}

fn good() -> ServerBehavior {
    ServerBehavior::healthy(Duration::from_millis(2))
}

async fn post(client: &Client, body: impl Into<Bytes>, accept: &str) -> ClientResponse {
    let request = Request::post("/graphql")
        .header("host", "flags.example.org")
        .header("content-type", "application/json")
        .header("accept", accept);
    client
        .send(request.body(Full::new(body.into())).unwrap())
        .await
        .expect("an answer")
}

async fn ask(client: &Client, body: Value) -> (u16, Value) {
    let got = post(client, body.to_string(), RESPONSE).await;
    (
        got.status.as_u16(),
        serde_json::from_slice(&got.body).expect("JSON"),
    )
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queries_and_mutations_are_served_as_they_are_asked() {
    let (node, pool) = start(good(), "").await;
    let client = Client::new(node.address());
    let (status, said) = ask(
        &client,
        json!({"query": "{ evaluate(flag: \"f\") { on } }"}),
    )
    .await;
    assert_eq!(
        (status, said),
        (200, json!({"data": {"evaluate": {"on": true}}}))
    );
    let query = "mutation M($id: ID!) { x: toggle(id: $id) { id } } query Q { __typename }";
    let (status, said) = ask(
        &client,
        json!({"query": query, "operationName": "M", "variables": {"id": "m-1"}}),
    )
    .await;
    assert_eq!((status, said), (200, json!({"data": {"x": {"id": "m-1"}}})));
    assert_eq!(pool.effect_counts().get("m-1"), Some(&1));
    // The media types and their statuses.
    for (accept, kind, bad) in [
        (RESPONSE, RESPONSE, 400),
        ("application/json", "application/json", 200),
        ("*/*", "application/json", 200),
    ] {
        let got = post(&client, r#"{"query":"{ __typename }"}"#, accept).await;
        assert_eq!(got.status, 200);
        assert!(
            got.headers["content-type"]
                .to_str()
                .unwrap()
                .starts_with(kind),
            "{accept}"
        );
        let got = post(&client, r#"{"query":"{ __typename"}"#, accept).await;
        assert_eq!(got.status, bad, "{accept}");
        let said: Value = serde_json::from_slice(&got.body).unwrap();
        assert_eq!(said["errors"][0]["locations"][0]["line"], 1, "{said}");
        assert!(said.get("data").is_none());
        // What only the server can tell is passed on, with the status that the media type demands.
        let got = post(&client, r#"{"query":"{ none }"}"#, accept).await;
        assert_eq!(got.status, bad, "{accept}: {:?}", got.body);
    }
    assert_eq!(
        post(&client, r#"{"query":"{ __typename }"}"#, "text/html")
            .await
            .status,
        406
    );
}

/// Requests that the working draft of GraphQL over HTTP has as examples, with the statuses that it gives them for
/// `application/graphql-response+json` and `application/json`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_specifications_examples_are_answered_as_it_says() {
    let (node, pool) = start(good(), "").await;
    let client = Client::new(node.address());
    let user = json!({"data": {"user": {"name": "Ada"}}});
    let posts = [
        // Request: "POST".
        (
            r#"{"query":"query ($id: ID!) { user(id: $id) { name } }","variables":{"id":"QVBJcy5ndXJ1"}}"#,
            200,
            200,
        ),
        // Response, examples: JSON parsing failure.
        ("NONSENSE", 400, 400),
        (r#"{"query":"#, 400, 400),
        // Invalid parameters.
        (r#"{"qeury": "{__typename}"}"#, 400, 400),
        (
            r#"{"query": "query Q ($i:Int!) { q(i: $i) }", "variables": [7]}"#,
            400,
            400,
        ),
        // Document parsing failure.
        (r#"{"query": "{"}"#, 400, 200),
        // Document validation failure: the server's word.
        (r#"{"query": "query Q { unknownField }"}"#, 400, 200),
        // Operation cannot be determined.
        (
            r#"{"query": "query A { __typename } query B { __typename }"}"#,
            400,
            200,
        ),
        (
            r#"{"query": "query A { __typename }", "operationName": "B"}"#,
            400,
            200,
        ),
        // Variable coercion failure: the server's word.
        (
            r#"{"query": "query Q ($id: ID!) { user(id: $id) { name } }", "variables": {"id": null}}"#,
            400,
            200,
        ),
        // Field errors during execution.
        (r#"{"query": "{ broken }"}"#, 200, 200),
    ];
    for (body, response, json) in posts {
        for (accept, status) in [(RESPONSE, response), ("application/json", json)] {
            let got = post(&client, body, accept).await;
            assert_eq!(got.status.as_u16(), status, "{accept}: {body}");
            assert!(got.headers["content-type"]
                .to_str()
                .unwrap()
                .starts_with(accept));
            let said: Value = serde_json::from_slice(&got.body).unwrap();
            assert!(
                said["data"].is_object() || said["errors"][0]["message"].is_string(),
                "{body}: {said}"
            );
        }
    }
    // Request: "GET".
    let path = "/graphql?query=query(%24id%3A%20ID!)%7Buser(id%3A%24id)%7Bname%7D%7D&variables=%7B%22id%22%3A%22QVBJcy5ndXJ1%22%7D";
    let get = Request::get(path)
        .header("host", "flags.example.org")
        .header("accept", RESPONSE);
    let got = client
        .send(get.body(Full::new(Bytes::new())).unwrap())
        .await
        .unwrap();
    assert_eq!(
        (
            got.status.as_u16(),
            serde_json::from_slice::<Value>(&got.body).unwrap()
        ),
        (200, user)
    );
    // What the node can tell by itself never came to a server.
    assert_eq!(pool.requests_received(), 9);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_mutation_by_get_never_leaves_and_a_query_does() {
    let (node, pool) = start(good(), "").await;
    let client = Client::new(node.address());
    let get = |query: &'static str| {
        let request = Request::get(format!("/graphql?{query}")).header("host", "flags.example.org");
        let request = request.body(Full::new(Bytes::new())).unwrap();
        let client = &client;
        async move { client.send(request).await.expect("an answer") }
    };
    let got = get("query=%7B__typename%7D").await;
    assert_eq!(
        (got.status.as_u16(), &got.body[..]),
        (200, &br#"{"data":{"__typename":"Query"}}"#[..])
    );
    let seen = pool.requests_received();
    for hidden in [
        "query=mutation%7Btoggle(id:%22g%22)%7Bid%7D%7D",
        "query=query%20A%7Bflags%7Dmutation%20B%7Btoggle(id:%22g%22)%7Bid%7D%7D&operationName=B",
        "query=mutation%7B...F%7Dfragment%20F%20on%20Mutation%7Bevaluate:toggle(id:%22g%22)%7Bid%7D%7D",
    ] {
        let got = get(hidden).await;
        assert_eq!(got.status, 405, "{hidden}");
        assert_eq!(got.headers["allow"], "POST");
    }
    assert_eq!(
        (pool.requests_received(), pool.effect_counts().len()),
        (seen, 0),
        "a mutation by GET went through"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_two_parsers_could_read_differently_reaches_no_server() {
    let (node, pool) = start(good(), "").await;
    let client = Client::new(node.address());
    for body in [
        r#"{"query":"{ flags }","query":"mutation { toggle(id: \"h\") { id } }"}"#,
        r#"{"query":"{ flags }","Query":"mutation { toggle(id: \"h\") { id } }"}"#,
        r#"{"query":"query A { flags } mutation B { toggle(id: \"h\") { id } }"}"#,
        r#"{"query":"query A { flags } mutation B { toggle(id: \"h\") { id } }","operationName":""}"#,
        r#"{"query":"query A { flags } mutation B { toggle(id: \"h\") { id } }","operationName":null}"#,
        r#"{"query":"query A { flags } mutation A { toggle(id: \"h\") { id } }","operationName":"A"}"#,
        r##"{"query":"#\rmutation Q { toggle(id: \"h\") { id } } #\nquery Q { flags }"}"##,
        "\u{feff}{\"query\":\"{ flags }\"}",
        r#"{"query":"\ufeff{ flags }"}"#,
        r#"{"query":"{ flags }","documentId":"x"}"#,
        r#"{"extensions":{"persistedQuery":{"version":1,"sha256Hash":"0000000000000000000000000000000000000000000000000000000000000000"}}}"#,
        r#"{"query":"subscription { flags }"}"#,
        r#"{"query":"{ ...F } fragment F on Query { ...F }"}"#,
        "[]",
        "{",
    ] {
        let got = post(&client, body, RESPONSE).await;
        assert!(
            got.status.is_client_error()
                || got.body.windows(22).any(|w| w == b"PersistedQueryNotFound"),
            "{body}"
        );
    }
    assert_eq!(pool.requests_received(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn persisted_documents_are_known_after_they_were_told_once() {
    let (node, pool) = start(good(), "").await;
    let client = Client::new(node.address());
    let text = "mutation P($id: ID!) { toggle(id: $id) { id } }";
    let hash: String = reelfall_graphql::persisted::hash_of(text)
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect();
    let asked = |query: Option<&str>, id: &str| {
        let mut body = json!({"variables": {"id": id}, "extensions": {"persistedQuery": {"version": 1, "sha256Hash": hash}}});
        if let Some(query) = query {
            body["query"] = query.into();
        }
        body
    };
    let (_, said) = ask(&client, asked(None, "p-1")).await;
    assert_eq!(said["errors"][0]["message"], "PersistedQueryNotFound");
    assert_eq!(pool.requests_received(), 0);
    assert_eq!(ask(&client, asked(Some(text), "p-1")).await.0, 200);
    let (status, said) = ask(&client, asked(None, "p-2")).await;
    assert_eq!(
        (status, &said["data"]["toggle"]["id"]),
        (200, &json!("p-2"))
    );
    assert_eq!(
        ask(&client, asked(Some("{ flags }"), "p-3")).await.0,
        400,
        "a hash of something else"
    );
    let effects = pool.effect_counts();
    assert_eq!(
        (effects.get("p-1"), effects.get("p-2"), effects.len()),
        (Some(&1), Some(&1), 2)
    );
}

/// Servers that fail at every stage: reads are tried again, mutations run once at most, and what is told is true.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forced_failures_double_no_mutation_and_lose_no_answer() {
    let manner = ServerBehavior {
        close_before_effect_ratio: 0.1,
        close_after_effect_ratio: 0.15,
        error_ratio: 0.1,
        shed_ratio: 0.1,
        corrupt_ratio: 0.1,
        ..good()
    };
    let (node, pool) = start(manner, "tries = { most = 4, retry_share = 1.0 }").await;
    let spoils = [
        Corruption::Truncated,
        Corruption::WrongContentType,
        Corruption::OtherResponse,
    ];
    let client = Client::new(node.address());
    // Without retries, 45 % of the reads are served, and 20 % of the pairs of them in a batch.
    let (mut reads, mut batches, mut told_run) = (0, 0, 0);
    for n in 0..150 {
        pool.servers
            .iter()
            .for_each(|s| s.update_behavior(|m| m.corruption = spoils[n % 3]));
        let (status, _) = ask(&client, json!({"query": "{ flags }"})).await;
        reads += usize::from(status == 200);
        let mutation = json!({"query": format!("mutation {{ toggle(id: \"one-{n}\") {{ id }} }}")});
        let (status, said) = ask(&client, mutation).await;
        let ran = pool.effect_counts().contains_key(&format!("one-{n}"));
        match status {
            200 => assert!(ran),
            503 => {
                assert!(!ran, "refused, and it ran");
                assert_eq!(said["errors"][0]["extensions"]["retryable"], true);
            }
            _ => assert_eq!(
                said["errors"][0]["extensions"]["retryable"], false,
                "{status} {said}"
            ),
        }
        let batch = json!([
            {"query": "{ flags }"},
            {"query": format!("mutation {{ toggle(id: \"a-{n}\") {{ id }} }}")},
            {"query": "{ evaluate { on } }"},
            {"query": format!("mutation {{ rollout(id: \"b-{n}\") {{ id }} }}")},
            {"query": "{"},
        ]);
        let (status, said) = ask(&client, batch).await;
        let said = said.as_array().expect("as many answers").clone();
        assert_eq!((status, said.len()), (200, 5));
        assert!(said[4]["errors"][0]["extensions"]["code"] == "GRAPHQL_PARSE_FAILED");
        for (entry, id) in [(&said[1], format!("a-{n}")), (&said[3], format!("b-{n}"))] {
            let ran = pool.effect_counts().contains_key(&id);
            let retryable = &entry["errors"][0]["extensions"]["retryable"];
            assert!(
                *retryable != true || !ran,
                "told that a repeat is harmless, and it ran: {entry}"
            );
            assert!(
                entry.get("data").is_none_or(Value::is_null) || ran,
                "{entry}"
            );
            told_run += usize::from(ran);
        }
        batches += usize::from(
            said[0]["data"]["flags"].is_array() && said[2]["data"]["evaluate"]["on"] == true,
        );
    }
    assert_eq!(
        pool.duplicate_effects(),
        0,
        "an effect twice: {:?}",
        pool.effect_counts()
    );
    assert!(
        told_run > 100 && reads > 95 && batches > 75,
        "{told_run} ran, {reads} reads, {batches} batches"
    );
}

/// The server of a mutation dies at a chosen stage, and that of a read twice before the third attempt is served: what
/// happens to each is told by `X-Correlation-Id`, which has the place of an entry behind it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_mutation_dies_at_each_stage_beside_a_read_that_needs_two_retries() {
    let attempts: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let (counting, inner) = (attempts.clone(), graphql::app());
    let app: App = Arc::new(move |head, body| {
        let id = head
            .headers
            .get("x-correlation-id")
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
            .to_owned();
        let mut attempts = counting.lock().unwrap();
        let attempt = attempts.entry(id.clone()).or_default();
        *attempt += 1;
        let mut done = inner(head, body);
        done.completion = match id.rsplit_once('.') {
            // The first read dies before and in the middle of its answer, then is served.
            Some((_, "0")) if *attempt == 1 => Completion::CloseAfterEffect,
            Some((_, "0")) if *attempt == 2 => Completion::TruncateResponse,
            Some((batch, "1")) if batch.contains("before") => Completion::CloseBeforeEffect,
            Some((batch, "1")) if batch.contains("during") => Completion::CloseAfterEffect,
            Some((batch, "1")) if batch.contains("after") => Completion::TruncateResponse,
            _ => Completion::AsConfigured,
        };
        done
    });
    let (node, pool) = running(good(), &app, |pool| {
        // Attempts end by what the servers do, and never by time.
        let settings = graphql::settings(pool, "tries = { most = 4, retry_share = 1.0 }");
        settings
            .replace("aim = \"200ms\"", "aim = \"5s\"")
            .replace("deadline = \"2s\"", "deadline = \"30s\"")
    })
    .await;
    let client = Client::new(node.address());
    for round in 0..12 {
        let stage = ["before", "during", "after", "none"][round % 4];
        let id = format!("{stage}-{round}");
        let mutation =
            |n: u32| json!({"query": format!("mutation {{ toggle(id: \"{id}-{n}\") {{ id }} }}")});
        let batch = json!([{"query": "{ flags }"}, mutation(1), {"query": "{ evaluate { on } }"}, mutation(2)]);
        let request = Request::post("/graphql")
            .header("host", "flags.example.org")
            .header("content-type", "application/json")
            .header("x-correlation-id", &id);
        let got = client
            .send(
                request
                    .body(Full::new(Bytes::from(batch.to_string())))
                    .unwrap(),
            )
            .await
            .unwrap();
        let said: Value = serde_json::from_slice(&got.body).unwrap();
        assert_eq!(
            (got.status.as_u16(), said.as_array().map(Vec::len)),
            (200, Some(4)),
            "{said}"
        );
        assert!(
            said[0]["data"]["flags"].is_array(),
            "{stage}: the read is lost: {said}"
        );
        assert_eq!(said[2]["data"]["evaluate"]["on"], true, "{stage}: {said}");
        // The mutation behind it is a request of its own.
        assert_eq!(
            said[3]["data"]["toggle"]["id"],
            format!("{id}-2"),
            "{stage}: {said}"
        );
        let effects = pool.effect_counts();
        let ran = effects.get(&format!("{id}-1")).copied().unwrap_or(0);
        if stage == "none" {
            assert_eq!(said[1]["data"]["toggle"]["id"], format!("{id}-1"));
        } else {
            assert_eq!(
                said[1]["errors"][0]["extensions"],
                json!({"code": "FAILED", "retryable": false}),
                "{stage}"
            );
        }
        assert_eq!(ran, u32::from(stage != "before"), "{stage}");
        let attempts = attempts.lock().unwrap();
        let tried = |place: u32| attempts.get(&format!("{id}.{place}")).copied();
        assert_eq!(
            [tried(0), tried(1), tried(2), tried(3)],
            [Some(3), Some(1), Some(1), Some(1)],
            "{stage}"
        );
    }
    assert_eq!(pool.duplicate_effects(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_of_errors_with_data_null_is_an_answer() {
    let (node, pool) = start(good(), "").await;
    let client = Client::new(node.address());
    let broken = json!({"data": null, "errors": [{"message": "broken", "path": ["b"]}]});
    let (status, said) = ask(&client, json!({"query": "{ flags b: broken }"})).await;
    // It has `data`, so that both media types give it 200; it has run, and is not tried again.
    assert_eq!((status, &said, pool.requests_received()), (200, &broken, 1));
    let (status, said) = ask(
        &client,
        json!([{"query": "{ b: broken }"}, {"query": "{ flags }"}]),
    )
    .await;
    assert_eq!(
        (status, &said[0], pool.requests_received()),
        (200, &broken, 3)
    );
    assert!(said[1]["data"]["flags"].is_array());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_too_much_is_refused_with_its_bound_and_reaches_no_server() {
    let (node, pool) = start(good(), "").await;
    let client = Client::new(node.address());
    let one = |query: String| json!({ "query": query }).to_string();
    let entry = r#"{"query":"{ flags }"}"#;
    for (body, bound) in [
        (
            format!("[{}]", vec![entry; 1_000].join(",")),
            "requests in a batch",
        ),
        (
            one(format!(
                "{{ evaluate(flag: \"{}\") {{ on }} }}",
                "x".repeat((1 << 20) - 100)
            )),
            "bytes of a document",
        ),
        (one("{a".repeat(30_000)), "tokens of a document"),
        (one("{".repeat(100_000)), "bytes of a document"),
        (
            one((0..10_000).map(|n| format!("a{n}:a ")).collect::<String>()),
            "bytes of a document",
        ),
        (
            one(format!(
                "{{ {} }}",
                (0..4_000).map(|n| format!("a{n}:a ")).collect::<String>()
            )),
            "of a",
        ),
        (
            one("{ ...F } fragment F on Query { ...G } fragment G on Query { ...F }".to_owned()),
            "leads back to itself",
        ),
    ] {
        let got = post(&client, body.clone(), RESPONSE).await;
        let said = String::from_utf8_lossy(&got.body).into_owned();
        assert_eq!(got.status, 400, "{said}");
        assert!(said.contains(bound), "{bound}: {said}");
    }
    // A body past a megabyte is told so before it is read.
    let got = post(&client, vec![b' '; (1 << 20) + 1], RESPONSE).await;
    assert_eq!(got.status, 413);
    // A long text that is no document is nobody's business.
    let long = json!({"query": "query Q($f: String) { evaluate(flag: $f) { on } }", "variables": {"f": "x".repeat(900 << 10)}});
    assert_eq!(ask(&client, long).await.0, 200);
    assert_eq!(pool.requests_received(), 1, "something was passed on");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_scenario_keeps_its_promises() {
    use reelfall_testbed::scenario::graphql::{run, Scale};
    let program = Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"));
    let report = run(&program, Scale::SMALL).await.unwrap();
    assert!(report.passed(), "{:#?}", report.violations());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn at_the_deadline_a_batch_is_answered_with_what_is_done() {
    let (node, pool) = start(good(), "").await;
    let client = Client::new(node.address());
    pool.servers
        .iter()
        .for_each(|s| s.update_behavior(|m| m.is_frozen = true));
    let batch = json!([
        {"query": "{"},
        {"query": "mutation { toggle(id: \"d-1\") { id } }"},
        {"query": "mutation { toggle(id: \"d-2\") { id } }"},
    ]);
    let request = Request::post("/graphql")
        .header("host", "flags.example.org")
        .header("content-type", "application/json")
        .header("x-time-left", "0.4");
    let begun = Instant::now();
    let got = client
        .send(
            request
                .body(Full::new(Bytes::from(batch.to_string())))
                .unwrap(),
        )
        .await
        .unwrap();
    assert!(
        begun.elapsed() < Duration::from_secs(4),
        "the deadline is not kept"
    );
    let said: Value = serde_json::from_slice(&got.body).unwrap();
    assert_eq!(
        said[0]["errors"][0]["extensions"]["code"],
        "GRAPHQL_PARSE_FAILED"
    );
    assert_eq!(
        said[1]["errors"][0]["extensions"],
        json!({"code": "FAILED", "retryable": false})
    );
    assert_eq!(
        said[2]["errors"][0]["extensions"],
        json!({"code": "NOT_RUN", "retryable": true})
    );
    pool.servers
        .iter()
        .for_each(|s| s.update_behavior(|m| m.is_frozen = false));
    // The one that was told to be harmless never runs, however long one waits.
    let begun = Instant::now();
    while !pool.effect_counts().contains_key("d-1") {
        assert!(begun.elapsed() < Duration::from_secs(20));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(ask(&client, json!({"query": "{ flags }"})).await.0, 200);
    assert!(!pool.effect_counts().contains_key("d-2"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_client_that_leaves_starts_nothing_more() {
    let (node, pool) = start(good(), "").await;
    pool.servers
        .iter()
        .for_each(|s| s.update_behavior(|m| m.is_frozen = true));
    let batch = json!([
        {"query": "mutation { toggle(id: \"l-1\") { id } }"},
        {"query": "mutation { toggle(id: \"l-2\") { id } }"},
    ]);
    let address = node.address();
    let leaving =
        tokio::spawn(async move { post(&Client::new(address), batch.to_string(), RESPONSE).await });
    let begun = Instant::now();
    while pool.requests_received() == 0 {
        assert!(begun.elapsed() < Duration::from_secs(20));
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    leaving.abort();
    let _ = leaving.await;
    // Requests of others tell that the node has seen it go: they go round it, and it is long gone by then.
    let client = Client::new(node.address());
    pool.servers
        .iter()
        .for_each(|s| s.update_behavior(|m| m.is_frozen = false));
    for _ in 0..50 {
        assert_eq!(ask(&client, json!({"query": "{ flags }"})).await.0, 200);
    }
    let effects = pool.effect_counts();
    assert!(
        effects.contains_key("l-1") && !effects.contains_key("l-2"),
        "{effects:?}"
    );
}
