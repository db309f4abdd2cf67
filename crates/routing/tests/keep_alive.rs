//! The adaptive timeout of idle connections to servers that reject new connections.

use reelfall_routing::keep_alive::KeepAlive;

/// The configured timeout of idle connections, in seconds.
const CONFIGURED_TIMEOUT: f64 = 8.0;
/// The interval between two ticks, in seconds.
const TICK_INTERVAL: f64 = 0.25;

#[test]
fn rejections_halve_the_timeout_once_a_tick_and_it_recovers() {
    let mut keep_alive = KeepAlive::new(CONFIGURED_TIMEOUT);
    (0..100).for_each(|_| keep_alive.record_rejection());
    assert_eq!(keep_alive.idle_timeout(), CONFIGURED_TIMEOUT);
    keep_alive.tick(TICK_INTERVAL);
    assert_eq!(keep_alive.idle_timeout(), 4.0);
    for _ in 0..20 {
        keep_alive.record_rejection();
        keep_alive.tick(TICK_INTERVAL);
    }
    assert_eq!(keep_alive.idle_timeout(), 0.5);
    (0..80).for_each(|_| keep_alive.tick(TICK_INTERVAL));
    assert_eq!(keep_alive.idle_timeout(), CONFIGURED_TIMEOUT);
}

/// Connections in the second half of a simulation.
#[derive(Debug, PartialEq, Eq)]
struct ConnectionCounts {
    rejected: usize,
    opened: usize,
}

const NODES: usize = 300;
const SERVERS: usize = 168;
const STEPS: u32 = 120;
/// The step from which connections are counted.
const FIRST_COUNTED_STEP: u32 = 60;
const REQUESTS_PER_STEP: usize = 3;
/// Servers that a node uses often.
const FREQUENT_SERVERS: usize = 9;

/// A linear congruential generator.
struct SmallRng(u64);

impl SmallRng {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as usize) % bound
    }

    /// Selects the server of a request: in eight of ten cases one that the node uses often.
    fn server_of(&mut self, node: usize) -> usize {
        if self.below(10) < 8 {
            (node * 7 + self.below(FREQUENT_SERVERS)) % SERVERS
        } else {
            self.below(SERVERS)
        }
    }
}

/// A node and its connections.
struct Node {
    keep_alive: KeepAlive,
    /// For each server, when the connection to it was last used; `None` without a connection.
    last_used: Vec<Option<f64>>,
}

/// Simulates nodes that each use a few servers often and all servers occasionally. A server accepts `max_connections`.
/// Nodes use the adaptive timeout of idle connections if `is_adaptive`, otherwise the configured one.
fn simulate(max_connections: usize, is_adaptive: bool) -> ConnectionCounts {
    let mut rng = SmallRng(7);
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|_| Node {
            keep_alive: KeepAlive::new(CONFIGURED_TIMEOUT),
            last_used: vec![None; SERVERS],
        })
        .collect();
    let mut open_connections = vec![0; SERVERS];
    let mut counts = ConnectionCounts {
        rejected: 0,
        opened: 0,
    };
    for step in 0..STEPS {
        let now = f64::from(step) * TICK_INTERVAL;
        let is_counted = step >= FIRST_COUNTED_STEP;
        for (index, node) in nodes.iter_mut().enumerate() {
            node.keep_alive.tick(TICK_INTERVAL);
            let timeout = if is_adaptive {
                node.keep_alive.idle_timeout()
            } else {
                CONFIGURED_TIMEOUT
            };
            for (server, last_used) in node.last_used.iter_mut().enumerate() {
                if last_used.is_some_and(|last_used| now - last_used >= timeout) {
                    *last_used = None;
                    open_connections[server] -= 1;
                }
            }
            for _ in 0..REQUESTS_PER_STEP {
                let server = rng.server_of(index);
                if node.last_used[server].is_none() {
                    if open_connections[server] >= max_connections {
                        node.keep_alive.record_rejection();
                        counts.rejected += usize::from(is_counted);
                        continue;
                    }
                    open_connections[server] += 1;
                    counts.opened += usize::from(is_counted);
                }
                node.last_used[server] = Some(now);
            }
        }
    }
    counts
}

#[test]
fn adaptive_timeouts_reduce_rejections_at_saturated_servers() {
    let configured = simulate(30, false).rejected;
    let adaptive = simulate(30, true).rejected;
    assert!(configured > 2_000, "{configured} rejected");
    assert!(
        2 * adaptive < configured,
        "{adaptive} rejected, {configured} without adaptation"
    );
    // Servers that are not saturated see no difference.
    assert_eq!(simulate(300, true), simulate(300, false));
}
