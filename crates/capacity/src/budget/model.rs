//! The formulas: what each part needs, by the size of the system and the costs of one thing.
//!
//! All amounts are in bytes, seconds and cores. Each formula that extends a line beyond what was measured says why the line is
//! straight that far, or is not there.

use super::inputs::Inputs;
use super::Fault;
use crate::scale::report::Size;

/// Seconds in a day.
pub const DAY: f64 = 86_400.0;
/// Requests a second at the target's peak.
pub const REQUESTS: f64 = 1_700_000.0;
/// Regions, at any size.
pub const REGIONS: f64 = 4.0;
/// Zones, at any size.
pub const ZONES: f64 = 13.0;
/// Machines that are set aside for control.
pub const MACHINES: f64 = 18.0;

/// What may be spent.
pub mod budget {
    /// Control at one node, in processor seconds a second.
    pub const PROCESSOR: f64 = 0.012;
    /// Control at one node, in bytes.
    pub const MEMORY: f64 = 32e6;
    /// Control at one node, in and out, in bytes a second.
    pub const TRAFFIC: f64 = 8e3;
    /// From a change until it is in force at all nodes, in seconds.
    pub const IN_FORCE: f64 = 15.0;
    /// Added to a request, for 99 of 100, in seconds.
    pub const ADDED: f64 = 1.7e-3;
}

/// Bounds of the program, from its source.
pub mod bound {
    /// Services in a file: `crates/config/src/check.rs`.
    pub const SERVICES: f64 = 4096.0;
    /// Routes of all services: the same.
    pub const ROUTES: f64 = 100_000.0;
    /// Others of which clocks and lives are kept: `crates/cluster/src/fleet`.
    pub const PEERS: f64 = 4096.0;
    /// Verdicts that are held: `crates/cluster/src/table.rs`.
    pub const VERDICTS: f64 = 8192.0;
    /// Names that a keeper has: `crates/lease/src/keeper/mod.rs`.
    pub const LEASES: f64 = 1024.0;
    /// Askers that wait for one name: the same.
    pub const WAITERS: f64 = 512.0;
    /// Longest frame of a keeper's file, in bytes: `crates/lease-store/src/lib.rs`.
    pub const FRAME: f64 = 1_048_576.0;
    /// Longest list of servers, in bytes: `crates/node/src/net/discovery.rs`.
    pub const LIST: f64 = 4_194_304.0;
    /// Longest datagram, in bytes: `crates/cluster/src/wire.rs`.
    pub const DATAGRAM: f64 = 1200.0;
    /// Servers out by hand at once: `crates/admin/src/ban.rs`.
    pub const BANS: f64 = 4096.0;
    /// Servers of which outcomes are kept: `crates/cluster/src/observer.rs`.
    pub const WITNESSED: f64 = 4096.0;
    /// Descriptors that are neither for clients nor for servers: `crates/config/src/check.rs`.
    pub const SPARE_DESCRIPTORS: f64 = 24.0;
    /// Connections to servers of a process with 1,024 descriptors: the same.
    pub const CONNECTIONS: f64 = 430.0;
    /// Datagrams of news a second: `fanout` in each `spread_every`, `crates/cluster/src/fleet`.
    pub const NEWS: f64 = 30.0;
    /// Seconds for which an echo of a clock counts: `crates/cluster/src/freshness.rs`.
    pub const ECHO_HELD: f64 = 120.0;
    /// Seconds for which outcomes are kept: `crates/cluster/src/observer.rs`.
    pub const OUTCOMES: f64 = 5.0;
    /// Bytes of an answer about the fleet: `crates/node/src/report.rs`.
    pub const SAID: f64 = 12_288.0;
    /// Requests that a tenant may send at once at one node beyond its part: `crates/balancer/src/decide/admission.rs`.
    pub const TENANT_BURST: f64 = 3.0;
    /// Voices that condemn a server: `crates/cluster/src/quorum.rs`.
    pub const WITNESSES: f64 = 3.0;
}

/// What one thing costs. The fields are the inputs of the same names.
#[derive(Clone, Copy, Debug, PartialEq)]
#[allow(missing_docs)] // The inputs say what each is.
pub struct Costs {
    pub settings_bytes: f64,
    pub read_seconds: f64,
    pub read_length: f64,
    pub read_memory: f64,
    pub change_bytes: f64,
    pub route_bytes: f64,
    pub tenant_bytes: f64,
    pub pool_bytes: f64,
    pub entry_bytes: f64,
    pub peer_bytes: f64,
    pub compact_route_bytes: f64,
    pub compact_tenant_bytes: f64,
    pub compact_server_bytes: f64,
    pub list_line_bytes: f64,
    pub list_changes_a_restart: f64,
    pub packet_overhead: f64,
    pub reread_every: f64,
    pub entry_read_bytes: f64,
    pub entry_read_seconds: f64,
    pub beat_bytes: f64,
    pub beat_every: f64,
    pub idle_kept: f64,
    pub gossip_datagrams: f64,
    pub gossip_bytes_300: f64,
    pub gossip_bytes_1500: f64,
    pub verdict_bytes: f64,
    pub member_bytes: f64,
    pub head_bytes: f64,
    pub update_seconds: f64,
    pub draw_seconds: f64,
    pub service_rest_cores: f64,
    pub rest_cores: f64,
    pub rest_bytes: f64,
    pub lapse_seconds: f64,
    pub judge_seconds: f64,
    pub choice_seconds_1000: f64,
    pub join_seconds_5000: f64,
    pub lease_length: f64,
    pub keepers: f64,
    pub lease_ask_bytes: f64,
    pub lease_said_bytes: f64,
    pub lease_kept_bytes: f64,
    pub lease_scan_seconds: f64,
    pub rtt_zone: f64,
    pub rtt_region: f64,
    pub machine_link: f64,
}

impl Costs {
    /// The costs that inputs tell.
    ///
    /// # Errors
    /// Names an input that is missing.
    pub fn of(inputs: &Inputs) -> Result<Costs, Fault> {
        macro_rules! of {
            ($($name:ident),* $(,)?) => { Ok(Costs { $($name: inputs.get(stringify!($name))?),* }) };
        }
        of!(
            settings_bytes,
            read_seconds,
            read_length,
            read_memory,
            change_bytes,
            route_bytes,
            tenant_bytes,
            pool_bytes,
            entry_bytes,
            peer_bytes,
            compact_route_bytes,
            compact_tenant_bytes,
            compact_server_bytes,
            list_line_bytes,
            list_changes_a_restart,
            packet_overhead,
            reread_every,
            entry_read_bytes,
            entry_read_seconds,
            beat_bytes,
            beat_every,
            idle_kept,
            gossip_datagrams,
            gossip_bytes_300,
            gossip_bytes_1500,
            verdict_bytes,
            member_bytes,
            head_bytes,
            update_seconds,
            draw_seconds,
            service_rest_cores,
            rest_cores,
            rest_bytes,
            lapse_seconds,
            judge_seconds,
            choice_seconds_1000,
            join_seconds_5000,
            lease_length,
            keepers,
            lease_ask_bytes,
            lease_said_bytes,
            lease_kept_bytes,
            lease_scan_seconds,
            rtt_zone,
            rtt_region,
            machine_link,
        )
    }
}

/// The target with all of it in the proportion of so many nodes.
pub fn size(nodes: usize) -> Size {
    let target = Size::TARGET;
    let part = |whole: usize| (whole * nodes).div_ceil(target.nodes);
    Size {
        nodes,
        servers: part(target.servers),
        services: part(target.services),
        routes: part(target.routes),
        tenants: part(target.tenants),
        changes: part(target.changes),
        restarts: part(target.restarts),
    }
}

/// The three sizes of the page.
pub fn sizes() -> [Size; 3] {
    [size(300), size(1500), Size::TARGET]
}

/// Requests a second at this size.
pub fn requests(size: &Size) -> f64 {
    REQUESTS * size.nodes as f64 / Size::TARGET.nodes as f64
}

// ---- settings ----

/// Entries of a settings file.
pub fn entries(size: &Size) -> f64 {
    (size.services + size.servers + size.routes + size.tenants) as f64
}

/// Bytes of a whole settings file: each entry takes as many as at the target.
pub fn settings(costs: &Costs, size: &Size) -> f64 {
    costs.settings_bytes * entries(size) / entries(&Size::TARGET)
}

/// Changes of settings a second, on the day's mean.
pub fn changes(size: &Size) -> f64 {
    size.changes as f64 / DAY
}

/// Seconds to read and check a file of this length; they grow as it does.
pub fn read_time(costs: &Costs, bytes: f64) -> f64 {
    costs.read_seconds * bytes / costs.read_length
}

/// Memory while a file of this length is read: what is kept of it grows with its entries.
pub fn read_memory(costs: &Costs, bytes: f64) -> f64 {
    costs.read_memory * bytes / costs.read_length
}

// ---- lists of servers ----

/// Bytes a second of signs of life of a watch for each service: a packet, and its acknowledgement.
pub fn beats(costs: &Costs, size: &Size) -> f64 {
    size.services as f64 / costs.beat_every * (costs.beat_bytes + 2.0 * costs.packet_overhead)
}

/// Bytes of lists that name so many servers.
pub fn lists(costs: &Costs, servers: f64) -> f64 {
    costs.list_line_bytes * servers
}

/// The longest list that a node takes, in servers.
pub fn longest_list(costs: &Costs) -> f64 {
    (bound::LIST / costs.list_line_bytes).floor()
}

/// Bytes a second of changes of lists, with so many restarts a second.
pub fn list_changes(costs: &Costs, restarts: f64) -> f64 {
    restarts * costs.list_changes_a_restart * (costs.list_line_bytes + 2.0 * costs.packet_overhead)
}

/// Bytes a second of reading all entries of a registry again, and the processor time of it.
pub fn rereads(costs: &Costs, size: &Size) -> (f64, f64) {
    let reads = size.servers as f64 / costs.reread_every;
    (
        reads * costs.entry_read_bytes,
        reads * costs.entry_read_seconds,
    )
}

// ---- what a node holds ----

/// Bytes that a node holds, by what: routes, tenants, pools, servers, peers, the program itself.
pub fn held(costs: &Costs, size: &Size) -> [f64; 6] {
    let Size {
        nodes,
        servers,
        services,
        routes,
        tenants,
        ..
    } = *size;
    // A pool's figure was taken with eight servers of its own.
    let pool = (costs.pool_bytes - 8.0 * costs.entry_bytes).max(0.0);
    [
        routes as f64 * costs.route_bytes,
        tenants as f64 * costs.tenant_bytes,
        services as f64 * pool,
        servers as f64 * costs.entry_bytes,
        (nodes as f64 - 1.0) * costs.peer_bytes,
        costs.rest_bytes,
    ]
}

/// Processor time of a node that nobody asks, in a fleet: each pool has a timer of its own and is looked at by itself, so that the
/// line through 64 to 256 services goes on.
pub fn at_rest(costs: &Costs, size: &Size) -> f64 {
    costs.rest_cores + size.services as f64 * costs.service_rest_cores
}

/// Processor time of looking through what lists say of servers, four times a second, for words that no longer hold.
pub fn lapses(costs: &Costs, size: &Size) -> f64 {
    4.0 * size.servers as f64 * costs.lapse_seconds
}

/// Servers that can be held for sick at once: the table is full, with as many voices on each as it takes, or a fifth of the
/// servers.
pub fn condemned(size: &Size) -> f64 {
    (bound::VERDICTS / bound::WITNESSES)
        .floor()
        .min(0.2 * size.servers as f64)
}

/// Processor time of telling every pool of every server that is held for sick, ten times a second.
pub fn judging(costs: &Costs, size: &Size) -> f64 {
    10.0 * condemned(size) * size.services as f64 * costs.judge_seconds
}

// ---- connections ----

/// Requests a second from one node to one server, evenly spread.
pub fn pair_rate(size: &Size) -> f64 {
    requests(size) / size.nodes as f64 / size.servers as f64
}

/// Share of the time for which a connection between a node and a server stands idle and can be met again; requests come at
/// random moments.
pub fn standing(costs: &Costs, size: &Size) -> f64 {
    1.0 - (-pair_rate(size) * costs.idle_kept).exp()
}

/// Servers that a node could send two requests a second each, of all that it sends.
pub fn well_met(size: &Size) -> f64 {
    requests(size) / size.nodes as f64 / 2.0
}

// ---- a fleet of nodes ----

/// How often each node tells a piece of news, as `crates/cluster/src/members.rs` has it.
pub fn tellings(nodes: f64) -> f64 {
    ((nodes + 1.0).log10() * 4.0).ceil().clamp(2.0, 32.0)
}

/// Bytes a second, in and out, that one node spends at the most on news: all datagrams full.
pub fn most_news() -> f64 {
    2.0 * bound::NEWS * bound::DATAGRAM
}

/// Seconds until a node has told so many verdicts as often as it has to.
pub fn told_in(costs: &Costs, verdicts: f64, nodes: f64) -> f64 {
    let a_datagram = ((bound::DATAGRAM - costs.head_bytes) / costs.verdict_bytes)
        .floor()
        .max(1.0);
    verdicts * tellings(nodes) / a_datagram / bound::NEWS
}

/// Share of the others whose clock a node has heard lately enough to tell them news at once, when quiet.
pub fn echoes(costs: &Costs, size: &Size) -> f64 {
    let others = size.nodes as f64 - 1.0;
    1.0 - (-bound::ECHO_HELD * costs.gossip_datagrams / others).exp()
}

/// Comings and goings of nodes a second, of so many restarts of machines: their share of the machines.
pub fn node_restarts(size: &Size, restarts: f64) -> f64 {
    restarts * size.nodes as f64 / (size.nodes + size.servers) as f64
}

/// Bytes a second, in and out, that tell of nodes that begin again: an end, a beginning and the later life, each told so often.
pub fn membership_news(costs: &Costs, size: &Size, restarts: f64) -> f64 {
    let words = 3.0 * node_restarts(size, restarts) * tellings(size.nodes as f64);
    2.0 * words * (costs.member_bytes + costs.head_bytes)
}

/// Processor seconds of taking in one word about a member: the members are looked through.
pub fn update(costs: &Costs, nodes: f64) -> f64 {
    nodes * costs.update_seconds
}

/// Processor time of drawing others while there is news: all members are sorted, each time.
pub fn draws(costs: &Costs, nodes: f64) -> f64 {
    bound::NEWS / 3.0 * nodes * costs.draw_seconds
}

// ---- leases ----

/// Names, with one for each service and zone.
pub fn names(size: &Size) -> f64 {
    size.services as f64 * ZONES
}

/// Renewals a second at one keeper: three in a lease's length.
pub fn renewals(costs: &Costs, size: &Size) -> f64 {
    names(size) * 3.0 / costs.lease_length
}

/// Bytes a second, in and out, at one keeper for these.
pub fn keeper_traffic(costs: &Costs, size: &Size) -> f64 {
    renewals(costs, size) * (costs.lease_ask_bytes + costs.lease_said_bytes)
}

/// Processor time at one keeper: each message is followed by a look through all names.
pub fn keeper_scans(costs: &Costs, size: &Size) -> f64 {
    renewals(costs, size) * names(size) * costs.lease_scan_seconds
}

/// Bytes a second, in and out, of a node that wants the lease of each service in its zone and has none: it asks every keeper
/// once in a lease's length.
pub fn asker_traffic(costs: &Costs, size: &Size) -> f64 {
    let asks = size.services as f64 * costs.keepers / costs.lease_length;
    asks * (costs.lease_ask_bytes + costs.lease_said_bytes)
}

// ---- tenants ----

/// Share of requests whose tenant was not heard of within this time, if all tenants ask alike.
pub fn first_requests(size: &Size, window: f64) -> f64 {
    (-requests(size) / size.nodes as f64 * window / size.tenants as f64).exp()
}

/// Requests that a tenant may send at once beyond its quota, by all nodes together.
pub fn beyond_quota(size: &Size) -> f64 {
    bound::TENANT_BURST * size.nodes as f64
}

// ---- machines ----

/// Nodes of one machine that tells changes on, if so many of the machines are there.
pub fn nodes_of_a_machine(size: &Size, machines: f64) -> f64 {
    size.nodes as f64 / machines
}

/// Seconds to give so many bytes to each of so many nodes from so many machines, their links filled.
pub fn given_in(costs: &Costs, bytes: f64, nodes: f64, machines: f64) -> f64 {
    bytes * nodes / machines / costs.machine_link
}
