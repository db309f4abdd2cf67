//! A node in front of GraphQL servers, and requests to it.

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::request::Builder;
use hyper::Request;
use reelfall_testbed::client::{Client, ClientResponse};
use reelfall_testbed::graphql;
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::{App, Pool, ServerBehavior};
use reelfall_testbed::scripted::Program;
use serde_json::{json, Value};
use std::time::Duration;

/// The media type of the GraphQL over HTTP specification.
pub const GRAPHQL_RESPONSE: &str = "application/graphql-response+json";
/// The media type of clients that predate the specification.
pub const JSON: &str = "application/json";
/// Longest wait for an event; events normally take a small part of it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const SERVER_COUNT: usize = 4;
const WORKERS: usize = 16;
const POOL_SEED: u64 = 3;

/// The program under test.
pub fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// The behavior of servers that never fail.
pub fn healthy() -> ServerBehavior {
    ServerBehavior::healthy(Duration::from_millis(2))
}

/// The body of a request with one operation and no variables.
pub fn operation(document: &str) -> Value {
    json!({ "query": document })
}

/// The head of a POST request with a JSON body.
pub fn post_head() -> Builder {
    Request::post("/graphql")
        .header("host", "flags.example.org")
        .header("content-type", JSON)
}

/// The head of a GET request with these URL parameters.
pub fn get_head(parameters: &str) -> Builder {
    Request::get(format!("/graphql?{parameters}")).header("host", "flags.example.org")
}

/// A response whose body has been parsed as JSON.
pub struct JsonResponse {
    pub status: u16,
    pub body: Value,
}

/// A node in front of GraphQL servers, and a client of the node.
pub struct Deployment {
    pub node: Node,
    pub pool: Pool,
    pub client: Client,
}

impl Deployment {
    /// Starts servers that never fail, and a node.
    pub async fn start() -> Deployment {
        Deployment::start_with(healthy(), "").await
    }

    /// Starts servers and a node. `service_settings` is added to the section of the service.
    pub async fn start_with(behavior: ServerBehavior, service_settings: &str) -> Deployment {
        let settings = |pool: &Pool| graphql::settings(pool, service_settings);
        Deployment::start_with_app(behavior, &graphql::app(), settings).await
    }

    /// Starts servers that run an application, and a node with the settings for them.
    pub async fn start_with_app(
        behavior: ServerBehavior,
        app: &App,
        settings: impl Fn(&Pool) -> String,
    ) -> Deployment {
        let pool = Pool::start_with_app("g", SERVER_COUNT, WORKERS, behavior, POOL_SEED, app)
            .await
            .unwrap();
        let node = Node::start(&program(), &settings(&pool)).await.unwrap();
        node.wait_for_health("/_health", true).await.unwrap();
        let client = Client::new(node.address());
        Deployment { node, pool, client }
    }

    /// Changes the behavior of all servers.
    pub fn update_behavior(&self, change: impl Fn(&mut ServerBehavior)) {
        for server in &self.pool.servers {
            server.update_behavior(&change);
        }
    }

    /// Sends a request and returns its response.
    pub async fn send(&self, head: Builder, body: impl Into<Bytes>) -> ClientResponse {
        send(&self.client, head, body).await
    }

    /// Sends a POST request that accepts this media type.
    pub async fn post(&self, body: impl Into<Bytes>, accept: &str) -> ClientResponse {
        self.send(post_head().header("accept", accept), body).await
    }

    /// Sends a POST request with a JSON body, and parses the response.
    pub async fn post_json(&self, body: &Value) -> JsonResponse {
        let response = self.post(body.to_string(), GRAPHQL_RESPONSE).await;
        JsonResponse {
            status: response.status.as_u16(),
            body: serde_json::from_slice(&response.body).expect("JSON"),
        }
    }
}

/// Sends a request through a client.
pub async fn send(client: &Client, head: Builder, body: impl Into<Bytes>) -> ClientResponse {
    let request = head.body(Full::new(body.into())).unwrap();
    client.send(request).await.expect("a response")
}
