//! Memory and processor time that control takes at a node, for the tables of roles and the ranking.

use super::costs::Costs;
use super::program_limits;
use crate::scale::report::Size;

/// Servers in the pool at which `pool_bytes` was measured.
const MEASURED_POOL_SERVERS: f64 = 8.0;
/// Services in a region at the target.
const REGION_SERVICES: f64 = 650.0;
/// Scans per second for expired listed states.
const EXPIRY_SCAN_RATE: f64 = 4.0;
/// Rounds per second in which verdicts are applied to all pools.
const VERDICT_RATE: f64 = 10.0;
/// Largest fraction of all servers that the quorum ejects.
const EJECTED_RATIO_LIMIT: f64 = 0.2;

/// Memory of a node by resource, in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeMemory {
    /// All routes.
    pub routes: f64,
    /// All tenants.
    pub tenants: f64,
    /// All pools, without their servers.
    pub pools: f64,
    /// All servers.
    pub servers: f64,
    /// The other nodes.
    pub peers: f64,
    /// The program with one service.
    pub program: f64,
}

impl NodeMemory {
    /// Returns the sum over all resources.
    pub fn total(&self) -> f64 {
        let NodeMemory {
            routes,
            tenants,
            pools,
            servers,
            peers,
            program,
        } = *self;
        routes + tenants + pools + servers + peers + program
    }
}

/// Bytes of a pool without its servers.
fn empty_pool_bytes(costs: &Costs) -> f64 {
    (costs.pool_bytes - MEASURED_POOL_SERVERS * costs.endpoint_bytes).max(0.0)
}

/// Computes the memory of a node at this size.
pub fn memory(costs: &Costs, size: &Size) -> NodeMemory {
    NodeMemory {
        routes: size.routes as f64 * costs.route_bytes,
        tenants: size.tenants as f64 * costs.tenant_bytes,
        pools: size.services as f64 * empty_pool_bytes(costs),
        servers: size.servers as f64 * costs.endpoint_bytes,
        peers: (size.nodes as f64 - 1.0) * costs.peer_bytes,
        program: costs.idle_node_bytes,
    }
}

/// Bytes of pools, without their servers, if a node creates only those of the services in its region.
pub fn region_pool_bytes(costs: &Costs) -> f64 {
    REGION_SERVICES * empty_pool_bytes(costs)
}

/// Processor time of a node in a cluster without requests. The line measured from 64 to 256 services extends further because
/// each pool has its own timer and is checked separately.
pub fn idle_cores(costs: &Costs, size: &Size) -> f64 {
    costs.idle_node_cores + size.services as f64 * costs.idle_service_cores
}

/// Processor time of scanning the listed states of servers for expired ones.
pub fn expiry_cores(costs: &Costs, size: &Size) -> f64 {
    EXPIRY_SCAN_RATE * size.servers as f64 * costs.expiry_seconds
}

/// Largest number of servers ejected at once: a full verdict table with a quorum of witnesses for each server, or a fifth of the
/// servers, whichever is smaller.
pub fn max_ejected_servers(size: &Size) -> f64 {
    (program_limits::VERDICTS / program_limits::QUORUM_WITNESSES)
        .floor()
        .min(EJECTED_RATIO_LIMIT * size.servers as f64)
}

/// Processor time of applying the verdict on every ejected server to every pool.
pub fn verdict_cores(costs: &Costs, size: &Size) -> f64 {
    VERDICT_RATE * max_ejected_servers(size) * size.services as f64 * costs.verdict_seconds
}
