//! GraphQL requests, which are always buffered whole, while servers stop.

use crate::clients::{send_all_in_time, ClientWrite, Framing, TIME_LEFT};
use crate::nodes::start_node_with_settings;
use crate::servers::{hang, read_body, read_head, serve, Runs};
use reelfall_testbed::scripted::exchange;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Lengths of requests in bytes: in one read, in many, and more than the buffers between the node and a server hold.
const LENGTHS: [usize; 3] = [3_000, 60_000, 1_000_000];

fn settings(servers: &[SocketAddr]) -> String {
    let mut text = "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n[[service]]\nname = \"graphql\"\n\
                    [service.graphql]\nmutation = { toggle = \"toggle\" }\nother_query = \"toggle\"\n\
                    other_mutation = \"toggle\"\n[[service.class]]\nname = \"toggle\"\nrepeat = \"unsafe\"\n\
                    aim = \"200ms\"\ndeadline = \"2s\"\n[[service.route]]\npath = \"/graphql\"\n"
        .to_owned();
    for (number, server) in servers.iter().enumerate() {
        text += &format!("[[service.server]]\nname = \"s-{number}\"\naddress = \"{server}\"\n");
    }
    text
}

/// A mutation whose variables make it this long.
fn mutation(id: &str, length: usize) -> Vec<u8> {
    let start =
        r#"{"query":"mutation ($note: String) { toggle(note: $note) }","variables":{"note":""#;
    let end = r#""}}"#;
    let note = "x".repeat(length - start.len() - end.len());
    let time_left = TIME_LEFT.as_secs_f64();
    format!(
        "POST /graphql HTTP/1.1\r\nhost: n\r\ncontent-type: application/json\r\nx-correlation-id: {id}\r\n\
         x-time-left: {time_left:.3}\r\ncontent-length: {length}\r\n\r\n{start}{note}{end}"
    )
    .into_bytes()
}

/// Sends mutations of all lengths at once, and checks that all are answered in time and none that has run is refused.
fn check_mutations(servers: &[SocketAddr], runs: &Runs) {
    let node = start_node_with_settings(&settings(servers));
    let requests = LENGTHS.map(|length| {
        let id = format!("m-{length}");
        let write = ClientWrite {
            pause: Duration::ZERO,
            data: mutation(&id, length),
        };
        (id, vec![write])
    });
    for (id, ending) in send_all_in_time(node.address, "graphql", requests.into()) {
        let has_run = runs.count(&id) > 0;
        assert!(
            !has_run || !ending.is_refused(),
            "{id}: refused after it has run"
        );
        assert!(runs.count(&id) <= 1);
    }
}

#[test]
fn mutation_is_answered_in_time_though_its_server_reads_nothing() {
    let servers = serve(|mut reader, _stream| {
        let _ = read_head(&mut reader);
        hang()
    });
    check_mutations(&servers, &Runs::default());
}

#[test]
fn mutation_that_has_run_is_not_refused_after_a_reset() {
    let runs = Runs::default();
    let recorded = runs.clone();
    let servers = serve(move |mut reader, stream| {
        let Some(head) = read_head(&mut reader) else {
            return;
        };
        if read_body(&mut reader, &head).is_some() {
            recorded.record(&head.id);
            let linger = Some(Duration::ZERO);
            socket2::SockRef::from(&stream).set_linger(linger).unwrap();
        }
    });
    check_mutations(&servers, &runs);
    assert!(LENGTHS
        .iter()
        .any(|length| runs.count(&format!("m-{length}")) == 1));
}

/// Sizes of answers in bytes that do not count towards the memory of their service.
const SMALL_ANSWERS: [usize; 2] = [9_000, 60_000];

/// Guards against answers that wait for memory of their service, which is for larger ones.
#[test]
fn answer_up_to_64_kib_needs_no_memory_of_its_service() {
    for framing in Framing::ALL {
        for length in SMALL_ANSWERS {
            let servers = serve(move |mut reader, mut stream| {
                while let Some(head) = read_head(&mut reader) {
                    let _ = read_body(&mut reader, &head);
                    let body = format!(r#"{{"data":{{"toggle":"{}"}}}}"#, "x".repeat(length));
                    let answer = match framing {
                        Framing::Announced => {
                            format!("content-length: {}\r\n\r\n{body}", body.len())
                        }
                        Framing::Chunked => format!(
                            "transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
                            body.len()
                        ),
                    };
                    let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{answer}").as_bytes());
                }
            });
            let settings = settings(&servers).replace(
                "name = \"graphql\"\n",
                "name = \"graphql\"\nlimits = { memory = \"1KiB\" }\n",
            );
            let node = start_node_with_settings(&settings);
            let response = exchange(node.address, &mutation("small", 200));
            let status = response.map(|response| response.status);
            assert_eq!(status, Some(200), "{framing:?}, {length} bytes");
        }
    }
}
