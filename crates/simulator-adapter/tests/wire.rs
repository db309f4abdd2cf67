//! The adapter's wire, on lines written by hand.

use reelfall_simulator_adapter::serve;

const INFO: &str = r#"{"categories":[{"deadline":0.6,"effect":"idempotent","name":"get","promise":0.15,"worth":3}],"kinds":["box"],"failure-domains":["here"],"later":{"a":1}}"#;

fn run(input: &str) -> (Result<(), String>, Vec<String>) {
    let mut out = Vec::new();
    let end = serve(input.as_bytes(), &mut out).map_err(|error| error.to_string());
    (
        end,
        String::from_utf8(out)
            .unwrap()
            .lines()
            .map(str::to_owned)
            .collect(),
    )
}

fn opening(nodes: &[u32]) -> String {
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
fn a_request_is_sent_and_every_batch_closed() {
    let input = opening(&[0])
        + "{\"what\":\"tick\",\"at-time\":1.1}\n"
        + &request(0, 7)
        + "{\"what\":\"commit\"}\n";
    let (end, lines) = run(&input);
    assert_eq!(end, Ok(()));
    assert_eq!(
        lines.iter().filter(|l| *l == "{\"what\":\"end\"}").count(),
        2
    );
    assert!(lines
        .iter()
        .any(|l| l.contains("\"attempt\"") && l.contains("\"id\":7") && l.contains("\"s_")));
    assert_eq!(lines.last().unwrap(), "{\"what\":\"end\"}");
}

#[test]
fn unknown_events_and_fields_are_skipped() {
    let input = opening(&[0])
        + "{\"what\":\"tick\",\"at-time\":1.1,\"new\":[1]}\n{\"what\":\"weather\",\"id\":\"words\"}\n"
        + "{\"what\":\"memo\",\"node\":0,\"origin-peer\":1,\"contents\":\"x\"}\n{\"what\":\"commit\"}\n";
    let (end, lines) = run(&input);
    assert_eq!(end, Ok(()));
    assert_eq!(lines.last().unwrap(), "{\"what\":\"end\"}");
}

#[test]
fn malformed_lines_are_named() {
    let tick = "{\"what\":\"tick\",\"at-time\":1.1}\n";
    for (text, fault) in [
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
        let (end, lines) = run(&(opening(&[0]) + &text));
        let message = end.expect_err("a fault");
        assert!(
            message.starts_with("line ") && message.contains(fault),
            "{message}"
        );
        assert!(lines.iter().all(|l| l.starts_with('{')));
    }
}

#[test]
fn settings_that_cannot_be_used_bail_out() {
    let input = "{\"what\":\"tick\",\"at-time\":1.0}\n{\"what\":\"power-on\",\"node\":0,\"salt\":1,\"info\":{\"categories\":[]}}\n{\"what\":\"commit\"}\n";
    let (end, lines) = run(input);
    assert_eq!(end, Ok(()));
    assert!(
        lines[0].contains("bail-out") && lines[0].contains("no classes"),
        "{}",
        lines[0]
    );
}

#[test]
fn instances_act_alike_together_and_alone() {
    let traffic = |nodes: &[u32]| {
        let mut text = opening(nodes);
        for n in 0..40u32 {
            text += &format!(
                "{{\"what\":\"tick\",\"at-time\":{}}}\n",
                1.1 + f64::from(n) * 0.01
            );
            for node in nodes {
                text += &request(*node, n);
            }
            text += "{\"what\":\"commit\"}\n";
        }
        text
    };
    let of = |lines: &[String], node: u32| -> Vec<String> {
        lines
            .iter()
            .filter(|l| l.contains(&format!("\"node\":{node},")))
            .cloned()
            .collect()
    };
    let together = run(&traffic(&[0, 1, 2])).1;
    for node in 0..3 {
        let alone = of(&run(&traffic(&[node])).1, node);
        assert!(!alone.is_empty());
        assert_eq!(of(&together, node), alone);
    }
}
