//! The adapter's line protocol: batches, unknown events, and invalid input.

use reelfall_simulator_adapter::serve;

const INFO: &str = r#"{"categories":[{"deadline":0.6,"effect":"idempotent","name":"get","promise":0.15,"worth":3}],"kinds":["box"],"failure-domains":["here"],"later":{"a":1}}"#;

/// The line that ends a batch of output.
const END: &str = r#"{"what":"end"}"#;

/// The result of running the adapter on an input.
struct Output {
    /// The message of the error that stopped the adapter.
    error: Option<String>,
    lines: Vec<String>,
}

fn run(input: &str) -> Output {
    let mut bytes = Vec::new();
    let result = serve(input.as_bytes(), &mut bytes);
    let text = String::from_utf8(bytes).unwrap();
    Output {
        error: result.err().map(|error| error.to_string()),
        lines: text.lines().map(str::to_owned).collect(),
    }
}

/// The first batch: each node is started and receives an endpoint list of two servers.
fn first_batch(nodes: &[u32]) -> String {
    let mut text = "{\"what\":\"tick\",\"at-time\":1.0}\n".to_owned();
    for node in nodes {
        text += &format!("{{\"what\":\"power-on\",\"node\":{node},\"salt\":5,\"info\":{INFO}}}\n");
        text += &format!("{{\"what\":\"members\",\"node\":{node},\"how\":\"cached\",\"serial\":1,\"records\":[{{\"server\":\"s_a\",\"rack-zone\":\"here\",\"generation-hw\":\"box\",\"cluster\":0,\"mode\":\"U\"}},{{\"server\":\"s_b\",\"rack-zone\":\"here\",\"generation-hw\":\"box\",\"cluster\":0,\"mode\":\"U\"}}]}}\n");
    }
    text + "{\"what\":\"commit\"}\n"
}

fn request(node: u32, id: u32) -> String {
    format!("{{\"what\":\"req\",\"node\":{node},\"id\":{id},\"kind\":\"get\",\"left\":0.5}}\n")
}

#[test]
fn request_is_attempted_and_every_batch_is_ended() {
    let input = first_batch(&[0])
        + "{\"what\":\"tick\",\"at-time\":1.1}\n"
        + &request(0, 7)
        + "{\"what\":\"commit\"}\n";
    let Output { error, lines } = run(&input);
    assert_eq!(error, None);
    assert_eq!(lines.iter().filter(|line| *line == END).count(), 2);
    let is_attempt = |line: &String| {
        line.contains("\"attempt\"") && line.contains("\"id\":7") && line.contains("\"s_")
    };
    assert!(lines.iter().any(is_attempt));
    assert_eq!(lines.last().unwrap(), END);
}

#[test]
fn unknown_events_and_fields_are_ignored() {
    let input = first_batch(&[0])
        + "{\"what\":\"tick\",\"at-time\":1.1,\"new\":[1]}\n{\"what\":\"weather\",\"id\":\"words\"}\n"
        + "{\"what\":\"memo\",\"node\":0,\"origin-peer\":1,\"contents\":\"x\"}\n{\"what\":\"commit\"}\n";
    let Output { error, lines } = run(&input);
    assert_eq!(error, None);
    assert_eq!(lines.last().unwrap(), END);
}

#[test]
fn malformed_lines_are_reported() {
    let tick = "{\"what\":\"tick\",\"at-time\":1.1}\n";
    for (text, expected) in [
        ("nonsense\n".to_owned(), "line 5"),
        (
            "{\"what\":\"commit\"}\n".to_owned(),
            "`commit` before `tick`",
        ),
        (format!("{tick}{tick}"), "`tick` inside a batch"),
        (
            format!("{tick}{{\"what\":\"req\",\"node\":0,\"kind\":\"get\",\"left\":1}}\n"),
            "`id` is missing",
        ),
        (
            format!("{tick}{{\"what\":\"req\",\"id\":0,\"kind\":\"get\",\"left\":1}}\n"),
            "`node` is missing",
        ),
    ] {
        let Output { error, lines } = run(&(first_batch(&[0]) + &text));
        let message = error.expect("an error");
        assert!(
            message.starts_with("line ") && message.contains(expected),
            "{message}"
        );
        assert!(lines.iter().all(|line| line.starts_with('{')));
    }
}

#[test]
fn invalid_settings_cause_a_bail_out() {
    let input = "{\"what\":\"tick\",\"at-time\":1.0}\n{\"what\":\"power-on\",\"node\":0,\"salt\":1,\"info\":{\"categories\":[]}}\n{\"what\":\"commit\"}\n";
    let Output { error, lines } = run(input);
    assert_eq!(error, None);
    assert!(
        lines[0].contains("bail-out") && lines[0].contains("no classes"),
        "{}",
        lines[0]
    );
}

/// The first batch, and 40 more with a request to each node.
fn batches_of_requests(nodes: &[u32]) -> String {
    let mut text = first_batch(nodes);
    for id in 0..40u32 {
        let time = 1.1 + f64::from(id) * 0.01;
        text += &format!("{{\"what\":\"tick\",\"at-time\":{time}}}\n");
        for node in nodes {
            text += &request(*node, id);
        }
        text += "{\"what\":\"commit\"}\n";
    }
    text
}

fn lines_of_node(lines: &[String], node: u32) -> Vec<String> {
    let field = format!("\"node\":{node},");
    let lines = lines.iter().filter(|line| line.contains(&field));
    lines.cloned().collect()
}

#[test]
fn instances_are_independent() {
    let together = run(&batches_of_requests(&[0, 1, 2])).lines;
    for node in 0..3 {
        let alone = lines_of_node(&run(&batches_of_requests(&[node])).lines, node);
        assert!(!alone.is_empty());
        assert_eq!(lines_of_node(&together, node), alone);
    }
}
