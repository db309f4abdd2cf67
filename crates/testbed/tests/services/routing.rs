//! The choice of service and class, and the rejection of ambiguous requests.

use crate::harness::{fast_server, request, start_node};
use crate::settings::{idempotent_service, server_sections, settings_file};
use reelfall_testbed::client::{Client, ClientResponse};
use reelfall_testbed::scripted;
use std::net::SocketAddr;
use tokio::task::block_in_place;

/// A request without a body, and the status of its response.
struct RoutingCase {
    request_line: &'static str,
    /// The value of each `Host` header, with the white space before it.
    hosts: &'static [&'static str],
    status: u16,
}

const fn case(
    request_line: &'static str,
    hosts: &'static [&'static str],
    status: u16,
) -> RoutingCase {
    RoutingCase {
        request_line,
        hosts,
        status,
    }
}

/// The host of a service that exists.
const HOST: &str = " flags.example.org";

const ROUTING_CASES: &[RoutingCase] = &[
    case("GET /api HTTP/1.1", &[HOST], 200),
    case("GET /api HTTP/1.1", &[" FLAGS.Example.ORG"], 200),
    case("GET /api HTTP/1.1", &[" flags.example.org:8443"], 200),
    case("GET /api?x=/../%2f//%61 HTTP/1.1", &[HOST], 200),
    case("GET http://flags.example.org/api HTTP/1.1", &[HOST], 200),
    case("GET /api HTTP/1.1", &[" other.example.org"], 404),
    case("GET /other HTTP/1.1", &[HOST], 404),
    case("GET /apis HTTP/1.1", &[HOST], 404),
    case("GET /API HTTP/1.1", &[HOST], 404),
    case("GET /api HTTP/1.1", &[], 400),
    case("GET /api HTTP/1.0", &[], 400),
    case("GET /api HTTP/1.1", &[""], 400),
    case("GET /api HTTP/1.1", &[HOST, HOST], 400),
    case("GET /api HTTP/1.1", &[HOST, " admin.example.org"], 400),
    case("GET /api HTTP/1.1", &[" flags.example.org."], 400),
    case("GET /api HTTP/1.1", &[" flags.example.org:"], 400),
    case("GET /api HTTP/1.1", &[" flags.example.org:http"], 400),
    case(
        "GET /api HTTP/1.1",
        &[" admin.example.org@flags.example.org"],
        400,
    ),
    case("GET /api HTTP/1.1", &[" flags.example.org/admin"], 400),
    case(
        "GET /api HTTP/1.1",
        &[" flags.example.org, admin.example.org"],
        400,
    ),
    case("GET http://admin.example.org/api HTTP/1.1", &[HOST], 400),
    case("GET http://u@flags.example.org/api HTTP/1.1", &[HOST], 400),
    case("GET https://flags.example.org/api HTTP/1.1", &[HOST], 400),
    case("GET http://flags.example.org/api HTTP/1.1", &[], 400),
    case("GET /api/./x HTTP/1.1", &[HOST], 400),
    case("GET /x/../api HTTP/1.1", &[HOST], 400),
    case("GET /api/%2e%2e/x HTTP/1.1", &[HOST], 400),
    case("GET /api/..;/x HTTP/1.1", &[HOST], 400),
    case("GET /api%2fx HTTP/1.1", &[HOST], 400),
    case("GET /api%5cx HTTP/1.1", &[HOST], 400),
    case("GET /%61pi HTTP/1.1", &[HOST], 400),
    case("GET //api HTTP/1.1", &[HOST], 400),
    case("GET /api//x HTTP/1.1", &[HOST], 400),
    case("GET /api%00 HTTP/1.1", &[HOST], 400),
    case("GET /api% HTTP/1.1", &[HOST], 400),
    case("GET api HTTP/1.1", &[HOST], 400),
    case("GET * HTTP/1.1", &[HOST], 400),
    case("GET flags.example.org:80 HTTP/1.1", &[HOST], 400),
    case("CONNECT flags.example.org:80 HTTP/1.1", &[HOST], 400),
    case("TRACE /api HTTP/1.1", &[HOST], 400),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ambiguous_requests_are_rejected_and_reach_no_server() {
    let flags_server = fast_server("flags").await;
    let admin_server = fast_server("admin").await;
    let node = start_node(&settings_file(&[
        &idempotent_service("flags", "", &server_sections(&[&flags_server])),
        &idempotent_service("admin", "", &server_sections(&[&admin_server])),
    ]))
    .await;
    let forwarded = ROUTING_CASES
        .iter()
        .filter(|case| case.status == 200)
        .count() as u64;
    for case in ROUTING_CASES {
        assert_eq!(
            send_case(node.address(), case),
            case.status,
            "{} {:?}",
            case.request_line,
            case.hosts
        );
    }
    assert_eq!(
        (
            flags_server.requests_received(),
            admin_server.requests_received()
        ),
        (forwarded, 0),
        "a rejected request was forwarded"
    );
}

/// Sends the request on a new connection. Returns the status of the response; 0 if the connection ends instead.
fn send_case(node_address: SocketAddr, case: &RoutingCase) -> u16 {
    let host_lines: String = case
        .hosts
        .iter()
        .map(|host| format!("Host:{host}\r\n"))
        .collect();
    let message = format!("{}\r\n{host_lines}\r\n", case.request_line);
    let response = block_in_place(|| scripted::exchange(node_address, message.as_bytes()));
    response.map_or(0, |response| response.status)
}

/// A service whose route for `/w` assigns class `write`, while requests for `/any` state their class in a header.
const SERVICE_WITH_TWO_CLASSES: &str = r#"[[service]]
name = "a"
[[service.class]]
name = "read"
repeat = "safe"
aim = "1s"
deadline = "5s"
[[service.class]]
name = "write"
repeat = "unsafe"
aim = "1s"
deadline = "5s"
[[service.route]]
host = "a.example.org"
path = "/w"
assign = "write"
[[service.route]]
host = "a.example.org"
path = "/any"
"#;
/// Number of characters of a correlation id that the node generates.
const GENERATED_ID_LEN: usize = 16;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn route_assigns_class_and_missing_correlation_id_is_generated() {
    let server = fast_server("s").await;
    let service = SERVICE_WITH_TWO_CLASSES.to_owned() + &server_sections(&[&server]);
    let node = start_node(&settings_file(&[&service])).await;
    let client = Client::new(node.address());
    let response = send_with_class(&client, "POST", "/w", None).await;
    assert_eq!(
        (response.status.as_u16(), response.body.len()),
        (200, GENERATED_ID_LEN),
        "no correlation id was generated"
    );
    let status = async |method, path, class| {
        let response = send_with_class(&client, method, path, class).await;
        response.status
    };
    // The class of the route takes precedence over the class that the request states.
    assert_eq!(status("GET", "/w", Some("read")).await, 405);
    assert_eq!(status("PUT", "/w", Some("read")).await, 200);
    // If the route assigns no class, the request must state one.
    assert_eq!(status("GET", "/any", Some("read")).await, 200);
    assert_eq!(status("POST", "/any", Some("read")).await, 200);
    assert_eq!(status("POST", "/any", Some("write")).await, 200);
    assert_eq!(status("GET", "/any", Some("write")).await, 405);
    assert_eq!(status("GET", "/any", None).await, 400);
    assert_eq!(status("GET", "/any", Some("other")).await, 400);
    let effect_counts = server.effect_counts();
    assert_eq!(
        (effect_counts.len(), server.requests_received()),
        (5, 5),
        "generated correlation ids are not unique: {effect_counts:?}"
    );
}

/// Sends a request without a correlation id, which states `class` if there is one.
async fn send_with_class(
    client: &Client,
    method: &str,
    path: &str,
    class: Option<&'static str>,
) -> ClientResponse {
    let mut request = request(method, "a.example.org", path, None);
    if let Some(class) = class {
        let class = class.parse().unwrap();
        request.headers_mut().insert("x-service-class", class);
    }
    client.send(request).await.unwrap()
}
