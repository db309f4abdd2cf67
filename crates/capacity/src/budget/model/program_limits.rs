//! Limits of the node program; each comment names the source file that defines the limit. Requirements are compared with these,
//! and the test `capacity` checks them against the program.

/// Services in a file: `crates/config/src/check.rs`.
pub const SERVICES: f64 = 4096.0;
/// Routes of all services: `crates/config/src/check.rs`.
pub const ROUTES: f64 = 100_000.0;
/// Peers whose clock and incarnation are retained: `crates/cluster/src/fleet`.
pub const PEERS: f64 = 4096.0;
/// Entries of the verdict table: `crates/cluster/src/table.rs`.
pub const VERDICTS: f64 = 8192.0;
/// Lease names of a keeper: `crates/lease/src/keeper/mod.rs`.
pub const LEASE_NAMES: f64 = 1024.0;
/// Clients that wait for one lease: `crates/lease/src/keeper/mod.rs`.
pub const LEASE_WAITERS: f64 = 512.0;
/// Longest frame of a keeper's file, in bytes: `crates/lease-store/src/lib.rs`.
pub const STORE_FRAME_BYTES: f64 = 1_048_576.0;
/// Longest endpoint list, in bytes: `crates/node/src/net/discovery.rs`.
pub const ENDPOINT_LIST_BYTES: f64 = 4_194_304.0;
/// Longest datagram, in bytes: `crates/cluster/src/wire.rs`.
pub const DATAGRAM_BYTES: f64 = 1200.0;
/// Servers banned by an operator at once: `crates/admin/src/ban.rs`.
pub const BANS: f64 = 4096.0;
/// Servers whose outcomes are retained: `crates/cluster/src/observer.rs`.
pub const OBSERVED_SERVERS: f64 = 4096.0;
/// Descriptors that are neither for clients nor for servers: `crates/config/src/check.rs`.
pub const SPARE_DESCRIPTORS: f64 = 24.0;
/// Connections to servers of a process with 1,024 descriptors: `crates/config/src/check.rs`.
pub const SERVER_CONNECTIONS: f64 = 430.0;
/// Datagrams with updates per second: `gossip_fanout` in each `gossip_interval`, `crates/cluster/src/fleet`.
pub const GOSSIP_DATAGRAM_RATE: f64 = 30.0;
/// Largest age at which a clock echo is accepted, in seconds: `crates/cluster/src/freshness.rs`.
pub const ECHO_AGE_SECONDS: f64 = 120.0;
/// Window in which outcomes are retained, in seconds: `crates/cluster/src/observer.rs`.
pub const OUTCOME_WINDOW_SECONDS: f64 = 5.0;
/// Longest response about the cluster, in bytes: `crates/node/src/report.rs`.
pub const MANAGEMENT_RESPONSE_BYTES: f64 = 12_288.0;
/// Requests that a tenant may send at once at one node beyond its share: `crates/balancer/src/decide/admission.rs`.
pub const TENANT_BURST: f64 = 3.0;
/// Witnesses that eject a server: `crates/cluster/src/quorum.rs`.
pub const QUORUM_WITNESSES: f64 = 3.0;
