//! What each role needs at three sizes.

use super::inputs::Kind::{self, Assumed, Measured, WorkedOut};
use super::model::{self, bound, budget, Costs};
use super::table::{amount, markdown, rows, Row, Unit};
use crate::scale::report::{Run, Size};
use std::collections::BTreeMap;

/// The tables of all roles, by their names.
pub fn tables(costs: &Costs, runs: &[(String, Run)]) -> BTreeMap<&'static str, String> {
    BTreeMap::from([
        ("node-state", rows(&node_state(costs))),
        ("node-messages", rows(&node_messages(costs, runs))),
        ("node-processor", rows(&node_processor(costs))),
        ("node-connections", rows(&node_connections(costs))),
        ("control", rows(&control(costs))),
        ("keeper", rows(&keeper(costs))),
        ("lists", rows(&list_service(costs))),
        ("server", rows(&server(costs))),
        ("operator", rows(&operator(costs))),
        ("elsewhere", elsewhere(costs)),
    ])
}

/// Amounts at the three sizes.
fn at(of: impl Fn(&Size) -> f64) -> [f64; 3] {
    model::sizes().each_ref().map(of)
}

struct Of(&'static str, &'static str, Kind, Unit);

impl Of {
    fn row(self, at: [f64; 3], budget: Option<f64>, carried: &'static str) -> Row {
        self.known(at.map(Some), budget, carried)
    }

    fn known(self, at: [Option<f64>; 3], budget: Option<f64>, carried: &'static str) -> Row {
        let Of(what, how, kind, unit) = self;
        Row { what, how, kind, at, budget, unit, carried, with: None }
    }
}

fn with(mut row: Row, what: &'static str, amount: f64) -> Row {
    row.with = Some((what, amount));
    row
}

// ---- a node ----

fn node_state(costs: &Costs) -> Vec<Row> {
    let target = Size::TARGET;
    let part = |n: usize| at(|size| model::held(costs, size).get(n).copied().unwrap_or_default());
    let all = at(|size| model::held(costs, size).iter().sum());
    let memory = Some(budget::MEMORY);
    let compact = [
        target.routes as f64 * costs.compact_route_bytes,
        target.tenants as f64 * costs.compact_tenant_bytes,
        target.servers as f64 * costs.compact_server_bytes,
    ];
    let region = target.nodes as f64 / model::REGIONS;
    vec![
        with(
            Of("routes", "`route_bytes` each", Measured, Unit::Bytes).row(
                part(0),
                memory,
                "`crates/routes/src/table.rs`, `crates/conf/src/check.rs` (the plan \
                keeps each route three times)",
            ),
            "one copy in flat tables",
            compact[0],
        ),
        with(
            Of("tenants", "`tenant_bytes` each", Measured, Unit::Bytes).row(
                part(1),
                memory,
                "`crates/conf/src/model.rs`, `crates/core/src/settings.rs`, \
                `crates/node/src/net/service.rs` (`PoolKey`)",
            ),
            "a hash, a quota and a level each",
            compact[1],
        ),
        with(
            Of(
                "pools without their servers",
                "`pool_bytes` less eight of `entry_bytes`",
                WorkedOut,
                Unit::Bytes,
            )
            .row(part(2), memory, "`crates/node/src/net/pool.rs`"),
            "pools made by their first request: 650 of a region",
            650.0 * (costs.pool_bytes - 8.0 * costs.entry_bytes).max(0.0),
        ),
        with(
            Of(
                "servers",
                "`entry_bytes` each, in one pool; straight from 50 to 5,000 entries",
                WorkedOut,
                Unit::Bytes,
            )
            .row(
                part(3),
                memory,
                "`crates/node/src/net/pool.rs`, `crates/core/src/decide/state.rs`, \
                `crates/core/src/engine.rs`, `crates/routes/src/common.rs`",
            ),
            "names and addresses alone for what is not sent to",
            compact[2],
        ),
        Of("other nodes", "`peer_bytes` each", Measured, Unit::Bytes).row(
            part(4),
            memory,
            "`crates/fleet/src/members.rs`, `freshness.rs`, `fleet`",
        ),
        Of("the program with one service", "`rest_bytes`", Measured, Unit::Bytes).row(
            part(5),
            memory,
            "`crates/node`",
        ),
        with(
            Of("all of these", "sum", WorkedOut, Unit::Bytes).row(all, memory, "`crates/node`"),
            "all of the above, and other nodes of the region alone",
            compact.iter().sum::<f64>()
                + 650.0 * (costs.pool_bytes - 8.0 * costs.entry_bytes).max(0.0)
                + region * costs.peer_bytes
                + costs.rest_bytes,
        ),
        Of(
            "while a settings file is read",
            "`read_memory` by length; straight as it grows with entries",
            WorkedOut,
            Unit::Bytes,
        )
        .row(
            at(|size| model::read_memory(costs, model::settings(costs, size))),
            memory,
            "`crates/conf/src/reader.rs`",
        ),
        Of(
            "verdicts that can be held",
            "bound of the table, `verdict_bytes` three times each",
            WorkedOut,
            Unit::Bytes,
        )
        .row([bound::VERDICTS * 3.0 * costs.verdict_bytes; 3], memory, "`crates/fleet/src/table.rs`"),
        Of("services in a file", "size", WorkedOut, Unit::Count).row(
            at(|size| size.services as f64),
            Some(bound::SERVICES),
            "`crates/conf/src/check.rs`: more are refused",
        ),
        Of("routes in a file", "size", WorkedOut, Unit::Count).row(
            at(|size| size.routes as f64),
            Some(bound::ROUTES),
            "`crates/conf/src/check.rs`",
        ),
        Of("other nodes whose clocks and lives are kept", "nodes less one", WorkedOut, Unit::Count).row(
            at(|size| size.nodes as f64 - 1.0),
            Some(bound::PEERS),
            "`crates/fleet/src/freshness.rs`, `fleet.rs`: the first met is forgotten",
        ),
        Of("servers met within 5 s", "requests of 5 s at one node, at most", WorkedOut, Unit::Count).row(
            at(|size| model::requests(size) / size.nodes as f64 * bound::OUTCOMES),
            Some(bound::WITNESSED),
            "`crates/fleet/src/observer.rs`: further ones are not noted",
        ),
    ]
}

/// What nodes tell each other with nothing to tell: as measured, at the sizes at which it was.
fn quiet(costs: &Costs, runs: &[(String, Run)]) -> Row {
    let measured = |size: &Size| {
        let run =
            runs.iter().map(|(_, run)| run).find(|run| run.name == "quiet" && run.size.nodes == size.nodes);
        let bytes = |run: &Run| run.per_node.traffic.iter().map(|t| t.bytes_in + t.bytes_out).sum();
        run.map(bytes)
    };
    let [few, middle, target] = model::sizes();
    let (at_300, at_1500) = (2.0 * costs.gossip_bytes_300, 2.0 * costs.gossip_bytes_1500);
    let at = [measured(&few).or(Some(at_300)), measured(&middle).or(Some(at_1500)), measured(&target)];
    let how = "in and out; nothing is extended: out of a node come 604 bytes at 300 nodes, 889 \
                at 1,000 and 1,917 at 1,500";
    Of("fleet, quiet", how, Measured, Unit::BytesPerSecond).known(at, Some(budget::TRAFFIC), "`crates/fleet`")
}

fn node_messages(costs: &Costs, runs: &[(String, Run)]) -> Vec<Row> {
    let target = Size::TARGET;
    let traffic = Some(budget::TRAFFIC);
    let by_change = |size: &Size| model::changes(size) * (costs.change_bytes + 2.0 * costs.packet_overhead);
    let restarts = |size: &Size| size.restarts as f64 / model::DAY;
    vec![
        with(
            Of(
                "settings, a file for each change, the day's mean",
                "`settings_bytes` by entries, changes a day",
                WorkedOut,
                Unit::BytesPerSecond,
            )
            .row(
                at(|size| model::settings(costs, size) * model::changes(size)),
                traffic,
                "none: nothing carries files; `crates/node/src/standalone.rs` reads one \
                from the disk",
            ),
            "each change by itself",
            by_change(&target),
        ),
        with(
            Of(
                "the same at the rate of 500 changes in a minute",
                "the same",
                WorkedOut,
                Unit::BytesPerSecond,
            )
            .row(at(|size| model::settings(costs, size) * 500.0 / 60.0), traffic, "none"),
            "each change by itself",
            500.0 / 60.0 * (costs.change_bytes + 2.0 * costs.packet_overhead),
        ),
        with(
            Of(
                "lists: signs of life of the watches",
                "services, each `beat_every`",
                Assumed,
                Unit::BytesPerSecond,
            )
            .row(
                at(|size| model::beats(costs, size)),
                traffic,
                "`crates/node/src/net/discovery.rs`: a connection for each service",
            ),
            "one connection for all lists",
            (costs.beat_bytes + 2.0 * costs.packet_overhead) / costs.beat_every,
        ),
        Of("lists: changes", "restarts a day, three changes each", Assumed, Unit::BytesPerSecond).row(
            at(|size| model::list_changes(costs, restarts(size))),
            traffic,
            "`crates/node/src/net/discovery.rs`",
        ),
        Of(
            "a registry in place of list services: entries read again",
            "all entries each `reread_every`, `entry_read_bytes` each",
            WorkedOut,
            Unit::BytesPerSecond,
        )
        .row(
            at(|size| model::rereads(costs, size).0),
            traffic,
            "`crates/membership/src/follow.rs` (`tick`)",
        ),
        quiet(costs, runs),
        Of(
            "fleet: restarts of nodes, the day's mean",
            "an end, a beginning and a later life, each told as often as the size \
                asks",
            Assumed,
            Unit::BytesPerSecond,
        )
        .row(
            at(|size| model::membership_news(costs, size, restarts(size))),
            traffic,
            "`crates/fleet/src/members.rs`",
        ),
        Of(
            "fleet: news, all datagrams full",
            "three to each tenth of a second, in and out",
            WorkedOut,
            Unit::BytesPerSecond,
        )
        .row(
            [model::most_news(); 3],
            traffic,
            "`crates/fleet/src/fleet`: nothing bounds bytes a second",
        ),
        Of(
            "leases: a node that waits for one in each service",
            "all keepers once in a lease's length",
            WorkedOut,
            Unit::BytesPerSecond,
        )
        .row(
            at(|size| model::asker_traffic(costs, size)),
            traffic,
            "`crates/lease/src/holder.rs`; not switched on for lists",
        ),
    ]
}

fn node_processor(costs: &Costs) -> Vec<Row> {
    let processor = Some(budget::PROCESSOR);
    let restarts = |size: &Size| size.restarts as f64 / model::DAY;
    let updates = |size: &Size| {
        let nodes = size.nodes as f64;
        3.0 * model::node_restarts(size, restarts(size))
            * model::tellings(nodes)
            * model::update(costs, nodes)
    };
    vec![
        Of(
            "reading the whole file at each change",
            "`read_seconds` by length, changes a day",
            WorkedOut,
            Unit::Cores,
        )
        .row(
            at(|size| model::read_time(costs, model::settings(costs, size)) * model::changes(size)),
            processor,
            "`crates/conf/src/reader.rs`",
        ),
        with(
            Of(
                "at rest, nobody asking: timers of pools, looks at pools",
                "`rest_cores`, `service_rest_cores`; measured to 256 services",
                WorkedOut,
                Unit::Cores,
            )
            .row(
                at(|size| model::at_rest(costs, size)),
                processor,
                "`crates/core/src/decide/mod.rs` (`sweep`), `crates/node/src/net/pool.rs`, \
                `crates/node/src/net/shared.rs`",
            ),
            "pools that rest without a timer: as one service",
            costs.rest_cores,
        ),
        with(
            Of(
                "counting the servers of all lists, once a second",
                "`count_seconds` for each",
                WorkedOut,
                Unit::Cores,
            )
            .row(
                at(|size| model::count(costs, size)),
                processor,
                "`crates/node/src/net/shared.rs`, `crates/node/src/fleet/mod.rs`",
            ),
            "a count that lists keep as they change",
            0.0,
        ),
        Of("pause of all requests by that", "the same, in one piece", WorkedOut, Unit::Seconds).row(
            at(|size| model::count(costs, size)),
            Some(budget::ADDED),
            "the same: a pause each second is felt by more than 1 in 100 from 10 ms \
                on",
        ),
        Of(
            "entries of a registry read again",
            "all of them each `reread_every`, `entry_read_seconds` each",
            WorkedOut,
            Unit::Cores,
        )
        .row(
            at(|size| model::rereads(costs, size).1),
            processor,
            "`crates/membership/src/follow.rs` (`tick`)",
        ),
        Of(
            "words of lists looked through, four times a second",
            "`lapse_seconds` for each server",
            WorkedOut,
            Unit::Cores,
        )
        .row(
            at(|size| model::lapses(costs, size)),
            processor,
            "`crates/routes/src/common.rs` (`lapse`)",
        ),
        Of(
            "each pool told of each server held for sick, at the worst moment",
            "a full table of verdicts, ten times a second",
            WorkedOut,
            Unit::Cores,
        )
        .row(
            at(|size| model::judging(costs, size)),
            processor,
            "`crates/node/src/fleet/mod.rs` (`judge`), \
                `crates/node/src/net/shared.rs`",
        ),
        Of("sorting members while there is news", "ten draws a second", WorkedOut, Unit::Cores).row(
            at(|size| model::draws(costs, size.nodes as f64)),
            processor,
            "`crates/fleet/src/fleet` (`draw`)",
        ),
        Of(
            "words about members, the day's mean",
            "members are looked through for each",
            WorkedOut,
            Unit::Cores,
        )
        .row(at(updates), processor, "the library `foca` below `crates/fleet/src/members.rs`"),
        Of("a choice among 1,000 servers", "one core", Measured, Unit::Seconds).row(
            [costs.choice_seconds_1000; 3],
            Some(budget::ADDED),
            "`crates/core/src/decide/draw.rs`",
        ),
        Of("a list of 5,000 servers taken in", "one core; requests wait", Measured, Unit::Seconds).row(
            [costs.join_seconds_5000; 3],
            Some(budget::ADDED),
            "`crates/core/src/decide/list.rs`, `crates/core/src/floored.rs`",
        ),
    ]
}

fn node_connections(costs: &Costs) -> Vec<Row> {
    vec![
        Of("watches of lists", "services", WorkedOut, Unit::Count).row(
            at(|size| size.services as f64),
            Some(bound::SPARE_DESCRIPTORS),
            "`crates/conf/src/check.rs`: descriptors that are neither for clients \
                nor for servers",
        ),
        Of(
            "connections to servers that would stand idle",
            "evenly spread, kept `idle_kept`",
            WorkedOut,
            Unit::Count,
        )
        .row(
            at(|size| model::standing(costs, size) * size.servers as f64),
            Some(bound::CONNECTIONS),
            "`crates/node/src/net/upstream.rs`: the oldest goes, so that a request \
                dials",
        ),
        Of("requests a second to one server", "evenly spread", Assumed, Unit::CountPerSecond).row(
            at(model::pair_rate),
            None,
            "`crates/core/src/decide/part.rs`: 2 a second are wanted; without a \
                number each node has the whole list",
        ),
        Of("servers that could have 2 a second each", "requests of a node", Assumed, Unit::Count).row(
            at(model::well_met),
            None,
            "the same",
        ),
        Of("requests that dial", "no idle connection is there", Assumed, Unit::CountPerSecond).row(
            at(|size| model::requests(size) / size.nodes as f64 * (1.0 - model::standing(costs, size))),
            None,
            "`crates/node/src/net/upstream.rs`: a round trip and a handshake of the \
                system each",
        ),
    ]
}

// ---- others ----

/// Machines of a zone's own among the eighteen; the others keep the record.
const RELAYS: f64 = model::ZONES;

fn control(costs: &Costs) -> Vec<Row> {
    let each = |size: &Size| model::nodes_of_a_machine(size, RELAYS);
    let change = costs.change_bytes + 2.0 * costs.packet_overhead;
    let none = "none; worked out for 13 that tell changes on, one in each zone, and 5 \
                that keep the record";
    let link = Some(costs.machine_link);
    vec![
        Of("nodes of one that tells on", "nodes, zones", WorkedOut, Unit::Count).row(at(each), None, none),
        Of("its bytes, the day's mean", "changes by themselves, to each node", Assumed, Unit::BytesPerSecond)
            .row(at(|size| each(size) * model::changes(size) * change), link, none),
        Of("its bytes, 500 changes in a minute", "the same", Assumed, Unit::BytesPerSecond).row(
            at(|size| each(size) * 500.0 / 60.0 * change),
            link,
            none,
        ),
        Of("the same by whole files", "`settings_bytes` by entries", WorkedOut, Unit::BytesPerSecond).row(
            at(|size| each(size) * 500.0 / 60.0 * model::settings(costs, size)),
            link,
            none,
        ),
        Of("to give its nodes the whole settings at once", "links filled", WorkedOut, Unit::Seconds).row(
            at(|size| model::given_in(costs, model::settings(costs, size), size.nodes as f64, RELAYS)),
            Some(budget::IN_FORCE),
            none,
        ),
        Of("which node has which version", "16 bytes a node, all nodes", Assumed, Unit::Bytes).row(
            at(|size| 16.0 * size.nodes as f64),
            None,
            none,
        ),
    ]
}

fn keeper(costs: &Costs) -> Vec<Row> {
    let carried = "`crates/lease/src/keeper.rs`";
    vec![
        Of("names, one for each service and zone", "services, zones", WorkedOut, Unit::Count).row(
            at(model::names),
            Some(bound::LEASES),
            "`crates/lease/src/keeper.rs`: further ones are refused as full while \
                all are held",
        ),
        Of("a whole image in one frame", "`lease_kept_bytes` each", WorkedOut, Unit::Bytes).row(
            at(|size| model::names(size) * costs.lease_kept_bytes),
            Some(bound::FRAME),
            "`crates/lease-store/src/lib.rs`: a longer one can't be written, and the \
                keeper stops",
        ),
        Of("renewals", "three in a lease's length", WorkedOut, Unit::CountPerSecond).row(
            at(|size| model::renewals(costs, size)),
            None,
            carried,
        ),
        Of(
            "their bytes, in and out",
            "`lease_ask_bytes`, `lease_said_bytes`",
            WorkedOut,
            Unit::BytesPerSecond,
        )
        .row(at(|size| model::keeper_traffic(costs, size)), Some(costs.machine_link), carried),
        Of(
            "looks through all names, one for each message",
            "`lease_scan_seconds` a name",
            WorkedOut,
            Unit::Cores,
        )
        .row(
            at(|size| model::keeper_scans(costs, size)),
            Some(1.0),
            "`crates/lease/src/keeper.rs` (`deadline`, `tick`)",
        ),
        Of("askers that wait for one name", "nodes of a zone", WorkedOut, Unit::Count).row(
            at(|size| size.nodes as f64 / model::ZONES),
            Some(bound::WAITERS),
            "`crates/lease/src/queue.rs`",
        ),
    ]
}

fn list_service(costs: &Costs) -> Vec<Row> {
    let none = "not ours; worked out for one service that all nodes ask";
    vec![
        Of("watches that it holds", "nodes, services", WorkedOut, Unit::Count).row(
            at(|size| size.nodes as f64 * size.services as f64),
            None,
            none,
        ),
        Of("its bytes for signs of life", "the same, each `beat_every`", Assumed, Unit::BytesPerSecond).row(
            at(|size| model::beats(costs, size) * size.nodes as f64),
            Some(costs.machine_link),
            none,
        ),
        Of("its bytes for changes", "restarts a day, to all nodes", Assumed, Unit::BytesPerSecond).row(
            at(|size| model::list_changes(costs, size.restarts as f64 / model::DAY) * size.nodes as f64),
            Some(costs.machine_link),
            none,
        ),
        Of("all lists whole to all nodes", "`list_line_bytes` a server, one link", WorkedOut, Unit::Seconds)
            .row(
                at(|size| {
                    model::given_in(costs, model::lists(costs, size.servers as f64), size.nodes as f64, 1.0)
                }),
                Some(budget::IN_FORCE),
                none,
            ),
        Of("one list of all servers", "`list_line_bytes` a server", WorkedOut, Unit::Bytes).row(
            at(|size| model::lists(costs, size.servers as f64)),
            Some(bound::LIST),
            "`crates/node/src/net/discovery.rs`: a longer one can't be followed",
        ),
    ]
}

fn server(costs: &Costs) -> Vec<Row> {
    vec![
        Of("requests", "evenly spread", Assumed, Unit::CountPerSecond).row(
            at(|size| model::requests(size) / size.servers as f64),
            None,
            "`crates/core`",
        ),
        Of("connections that stand idle", "from all nodes, kept `idle_kept`", WorkedOut, Unit::Count).row(
            at(|size| model::standing(costs, size) * size.nodes as f64),
            None,
            "`crates/node/src/net/upstream.rs`; `process.server_connections` bounds \
                them for one node alone",
        ),
        Of("connections opened", "requests that meet none", WorkedOut, Unit::CountPerSecond).row(
            at(|size| model::requests(size) / size.servers as f64 * (1.0 - model::standing(costs, size))),
            None,
            "the same",
        ),
        Of(
            "probes",
            "nodes send none; one node in a second tries a condemned server",
            WorkedOut,
            Unit::CountPerSecond,
        )
        .row([0.0; 3], None, "`crates/fleet/src/quorum.rs`"),
        Of(
            "a request from each node within a second of its start",
            "nodes that have it listed and a request for it",
            Assumed,
            Unit::Count,
        )
        .row(
            at(|size| size.nodes as f64 * (1.0 - (-model::pair_rate(size)).exp())),
            None,
            "`crates/core/src/decide/cold.rs`: tolerance is parted by `process.nodes`",
        ),
    ]
}

fn operator(costs: &Costs) -> Vec<Row> {
    let nodes = |size: &Size| size.nodes as f64;
    // A line of `crates/node/src/report.rs`: a name, an address and a life.
    let line = 36.0;
    vec![
        Of("a change of settings", "a file at each node and SIGHUP, by hand", WorkedOut, Unit::Count).row(
            at(nodes),
            None,
            "none: nothing takes a call to all nodes",
        ),
        Of("one ban, told by one node", "tellings, one datagram each", WorkedOut, Unit::Count).row(
            at(|size| model::tellings(nodes(size))),
            None,
            "`crates/fleet/src/table.rs`; p99 0.31 s at 300, 0.34 s at 1,000 \
                (docs/measurements/verdicts.md) and 0.41 s at 1,500 nodes",
        ),
        Of("bans of a zone, until told", "3,850 at the target, in proportion", WorkedOut, Unit::Seconds).row(
            at(|size| model::told_in(costs, 3850.0 * nodes(size) / 6000.0, nodes(size))),
            Some(budget::IN_FORCE),
            "`crates/fleet/src/table.rs`: no word for a zone",
        ),
        Of("servers out by hand at once", "a zone's", WorkedOut, Unit::Count).row(
            at(|size| size.servers as f64 / model::ZONES),
            Some(bound::BANS),
            "`crates/operations/src/ban.rs`",
        ),
        Of("who is there, asked of a node", "a line for each", WorkedOut, Unit::Bytes).row(
            at(|size| nodes(size) * line),
            Some(bound::SAID),
            "`crates/node/src/report.rs`: cut, and the rest is counted",
        ),
    ]
}

// ---- where else it could be held ----

fn elsewhere(costs: &Costs) -> String {
    let target = Size::TARGET;
    let regions = model::REGIONS;
    let [routes, tenants, _, servers, peers, _] = model::held(costs, &target);
    let bytes = |b: f64| amount(b, Unit::Bytes);
    let first = |window: f64| format!("{:.0} of 100", 100.0 * model::first_requests(&target, window));
    let requests = model::requests(&target) / target.nodes as f64;
    let active = (requests * 60.0).min(target.tenants as f64);
    let row = |cells: [String; 6]| cells.to_vec();
    let none = || "-".to_owned();
    markdown(
        &[
            "what",
            "whole, as it is",
            "whole, compact",
            "its region's, compact",
            "on demand",
            "the first request waits",
        ],
        &[
            row([
                "tenants".into(),
                bytes(tenants),
                bytes(target.tenants as f64 * costs.compact_tenant_bytes),
                bytes(target.tenants as f64 * costs.compact_tenant_bytes / regions),
                format!("{} for those of the last minute", bytes(active * costs.tenant_bytes)),
                format!(
                    "{} in its zone, {} in its region; {} of requests are such with a \
                minute's memory, {} with ten minutes', if all tenants ask alike",
                    amount(costs.rtt_zone, Unit::Seconds),
                    amount(costs.rtt_region, Unit::Seconds),
                    first(60.0),
                    first(600.0)
                ),
            ]),
            row([
                "routes".into(),
                bytes(routes),
                bytes(target.routes as f64 * costs.compact_route_bytes),
                bytes(target.routes as f64 * costs.compact_route_bytes / regions),
                "not possible: the longest match needs all of a host".into(),
                none(),
            ]),
            row([
                "servers".into(),
                bytes(servers),
                bytes(target.servers as f64 * costs.compact_server_bytes),
                bytes(target.servers as f64 * costs.compact_server_bytes / regions),
                format!(
                    "{} for the {} that it can send 2 a second",
                    bytes(model::well_met(&target) * costs.entry_bytes),
                    amount(model::well_met(&target), Unit::Count)
                ),
                format!("{} for a list from its zone, and a dial", amount(costs.rtt_zone, Unit::Seconds)),
            ]),
            row([
                "other nodes".into(),
                bytes(peers),
                bytes(target.nodes as f64 * 32.0),
                bytes(target.nodes as f64 * 32.0 / regions),
                "not needed for a request".into(),
                none(),
            ]),
            row([
                "what others sent for a tenant".into(),
                "not there".into(),
                none(),
                none(),
                "a sketch of four rows of 16,384 counters: 262 KB, whatever the tenants".into(),
                "nothing: it is beside the request".into(),
            ]),
            row([
                "versions of others".into(),
                "not there".into(),
                none(),
                none(),
                "not at a node: 96 KB at the machines for control".into(),
                none(),
            ]),
        ],
    )
}
