//! The JSON configuration that the platform writes for a node.

use std::net::SocketAddr;
use std::time::Duration;

/// The memory of a node unless a test limits it, in MiB.
const DEFAULT_MEMORY_MIB: usize = 64;
/// How long a node waits for a connection to a server unless a test says otherwise.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long servers know a key, in seconds.
const KEY_WINDOW_S: f64 = 5.0;

/// What the platform sets for a node, besides its addresses.
#[derive(Clone, Copy, Debug)]
pub struct NodeSettings {
    /// Maximum number of sockets that the node may open.
    pub max_sockets: usize,
    /// The memory above which the platform kills the node, in MiB.
    pub memory_mib: usize,
    /// How long the node waits for a connection to a server.
    pub connect_timeout: Duration,
}

impl NodeSettings {
    /// Settings with this number of sockets, and limits that a few clients don't reach.
    pub fn with_sockets(max_sockets: usize) -> NodeSettings {
        NodeSettings {
            max_sockets,
            memory_mib: DEFAULT_MEMORY_MIB,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
        }
    }
}

/// The parts of the configuration that vary between tests.
#[derive(Clone, Copy, Debug)]
pub struct PlatformConfiguration {
    /// Address on which the node listens for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// What the platform sets for the node.
    pub settings: NodeSettings,
    /// Latency objective of all classes.
    pub latency_objective: Duration,
    /// Deadline of all classes.
    pub deadline: Duration,
    /// Grace period during which requests may still be sent to a draining server.
    pub drain_grace: Duration,
}

impl PlatformConfiguration {
    /// Formats the configuration in the platform's format, with an idempotent class `read`, an at-most-once class `write` and a
    /// class `keyed`, of which servers know repeats by their key.
    pub fn to_json(&self) -> String {
        let promise = self.latency_objective.as_secs_f64();
        let deadline = self.deadline.as_secs_f64();
        let drain_grace = self.drain_grace.as_secs_f64();
        let class = |name: &str, idempotency: &str| {
            format!(
                r#"{{"name":"{name}","promise":{promise:?},"deadline":{deadline:?},"worth":1.0,"late-value":0.5,"effect":"{idempotency}","key-scope":"all","dedup-window":{KEY_WINDOW_S:?}}}"#
            )
        };
        let PlatformConfiguration {
            listen,
            discovery,
            settings,
            ..
        } = self;
        let NodeSettings {
            max_sockets,
            memory_mib,
            connect_timeout,
        } = settings;
        let connect_timeout = connect_timeout.as_secs_f64();
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"1f",
        "limits":{{"cores":1.0,"memory_mb":{memory_mib},"sockets":{max_sockets}}},"known":null,
        "settings":{{"categories":[{},{},{}],"discovery":"push","kinds":["k"],"failure-domains":["a"],
        "limits":{{"max-attempts":4,"conn-idle":5.0,"connect-timeout":{connect_timeout:?},"retry-after":true,
        "max-retry-after":0.3}},"rules":{{"answer-slack":0.05,"drain-grace":{drain_grace:?}}}}}}}"#,
            class("read", "idempotent"),
            class("write", "at_most_once"),
            class("keyed", "deduplicated"),
        )
    }
}
