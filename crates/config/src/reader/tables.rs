//! The tables of a settings file. Each field has the name of its key, which is part of the published format;
//! [`super::mapping`] converts the tables to the model.

use super::fleet::{FleetTable, ManagementTable};
use super::values::{
    fraction, optional_positive, positive, AddressText, HostText, Parsed, PathText, RateText,
    SizeText, TimeText,
};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use toml::Spanned;

/// The root table of a file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct File {
    pub(super) process: Option<Spanned<ProcessTable>>,
    pub(super) management: Option<Spanned<ManagementTable>>,
    pub(super) fleet: Option<Spanned<FleetTable>>,
    #[serde(default)]
    pub(super) listener: Vec<Spanned<ListenerTable>>,
    #[serde(default)]
    pub(super) registry: Vec<Spanned<RegistryTable>>,
    #[serde(default)]
    pub(super) service: Vec<Spanned<ServiceTable>>,
}

/// `[process]`.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub(super) struct ProcessTable {
    pub(super) descriptors: Option<usize>,
    pub(super) memory: Option<SizeText>,
    pub(super) clients: Option<usize>,
    pub(super) server_connections: Option<usize>,
    pub(super) zone: Option<String>,
    pub(super) nodes: Option<u32>,
}

/// `[[listener]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListenerTable {
    pub(super) name: String,
    pub(super) address: AddressText,
}

/// `[[registry]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RegistryTable {
    pub(super) name: String,
    pub(super) members: Vec<AddressText>,
    pub(super) session: Option<TimeText>,
    pub(super) connect: Option<TimeText>,
    pub(super) forget_after: Option<TimeText>,
    pub(super) digest_file: Option<PathBuf>,
    pub(super) entry: Option<Spanned<EntryTable>>,
}

/// `[registry.entry]`: the entry that this node registers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct EntryTable {
    pub(super) path: String,
    pub(super) name: String,
    pub(super) address: Option<String>,
    pub(super) site: Option<String>,
    #[serde(default)]
    pub(super) guarded: bool,
}

/// `stale`: what to do when the registry has not been reachable for too long.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum StaleValue {
    GoOn,
    Refuse,
}

/// `registry = { ... }` of a service: the entries that list its servers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServiceRegistryTable {
    pub(super) name: String,
    pub(super) path: String,
    pub(super) entries: Option<usize>,
    pub(super) reread: Option<TimeText>,
    pub(super) stale_after: Option<TimeText>,
    pub(super) stale: Option<StaleValue>,
    #[serde(default)]
    pub(super) persistent: bool,
    pub(super) owner: Option<OwnerTable>,
    #[serde(default)]
    pub(super) known: Vec<Spanned<ServerTable>>,
}

/// `owner`: the identity that has to own the entries.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OwnerTable {
    pub(super) scheme: String,
    pub(super) id: String,
}

/// `state` of a service.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum ServiceStateValue {
    Serving,
    Draining,
}

/// `[[service]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServiceTable {
    pub(super) name: String,
    pub(super) state: Option<ServiceStateValue>,
    pub(super) server: Option<Vec<Spanned<ServerTable>>>,
    pub(super) discovery: Option<AddressText>,
    pub(super) registry: Option<ServiceRegistryTable>,
    pub(super) limits: Option<Spanned<LimitsTable>>,
    pub(super) graphql: Option<Spanned<GraphQlTable>>,
    #[serde(default)]
    pub(super) tries: TriesTable,
    #[serde(default)]
    pub(super) cold: SlowStartTable,
    #[serde(default)]
    pub(super) class: Vec<Spanned<ClassTable>>,
    #[serde(default)]
    pub(super) member: Vec<Spanned<MemberTable>>,
    #[serde(default)]
    pub(super) route: Vec<Spanned<RouteTable>>,
}

/// `state` of a server.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum ServerStateValue {
    Up,
    Draining,
}

/// `[[service.server]]`, and the items of `known`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServerTable {
    pub(super) name: String,
    pub(super) address: AddressText,
    pub(super) zone: Option<String>,
    pub(super) kind: Option<String>,
    #[serde(default, deserialize_with = "optional_positive")]
    pub(super) weight: Option<f64>,
    pub(super) state: Option<ServerStateValue>,
}

/// `[service.limits]`.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub(super) struct LimitsTable {
    pub(super) open: Option<u64>,
    pub(super) open_reserved: Option<u64>,
    pub(super) connections: Option<u64>,
    pub(super) connections_reserved: Option<u64>,
    pub(super) memory: Option<SizeText>,
    pub(super) memory_reserved: Option<SizeText>,
    pub(super) weight: Option<u32>,
    pub(super) rate: Option<RateText>,
    pub(super) burst: Option<u32>,
}

/// `[service.tries]`: limits of attempts and of connections to servers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct TriesTable {
    pub(super) most: u32,
    #[serde(deserialize_with = "fraction")]
    pub(super) retry_share: f64,
    pub(super) connect: TimeText,
    pub(super) idle: TimeText,
    pub(super) retry_after: TimeText,
}

impl Default for TriesTable {
    fn default() -> Self {
        TriesTable {
            most: 3,
            retry_share: 0.2,
            connect: Parsed::default_value(0.25),
            idle: Parsed::default_value(15.0),
            retry_after: Parsed::default_value(1.0),
        }
    }
}

/// `[service.cold]`: the slow start of servers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct SlowStartTable {
    #[serde(deserialize_with = "fraction")]
    pub(super) from: f64,
    pub(super) warm_after: TimeText,
    #[serde(deserialize_with = "positive")]
    pub(super) factor: f64,
    pub(super) within: TimeText,
}

impl Default for SlowStartTable {
    fn default() -> Self {
        SlowStartTable {
            from: 0.33,
            warm_after: Parsed::default_value(10.0),
            factor: 3.0,
            within: Parsed::default_value(1.0),
        }
    }
}

/// `[service.graphql]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct GraphQlTable {
    #[serde(default)]
    pub(super) query: BTreeMap<String, String>,
    #[serde(default)]
    pub(super) mutation: BTreeMap<String, String>,
    pub(super) other_query: String,
    pub(super) other_mutation: String,
    pub(super) field_work: Option<TimeText>,
    pub(super) side_by_side: Option<usize>,
    pub(super) document: Option<SizeText>,
    pub(super) tokens: Option<usize>,
    pub(super) depth: Option<usize>,
    pub(super) aliases: Option<usize>,
    pub(super) root_fields: Option<usize>,
    pub(super) fragments: Option<usize>,
    pub(super) cost: Option<usize>,
    pub(super) batch: Option<usize>,
    pub(super) persisted: Option<usize>,
    pub(super) persisted_size: Option<SizeText>,
}

/// `repeat`: whether a request may be executed twice.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum RepeatValue {
    Safe,
    Unsafe,
}

/// `[[service.class]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClassTable {
    pub(super) name: String,
    pub(super) repeat: RepeatValue,
    pub(super) aim: TimeText,
    pub(super) deadline: TimeText,
    #[serde(default, deserialize_with = "optional_positive")]
    pub(super) worth: Option<f64>,
    #[serde(default, deserialize_with = "fraction")]
    pub(super) late_value: f64,
}

/// `[[service.member]]`: a tenant.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MemberTable {
    pub(super) name: String,
    pub(super) quota: RateText,
}

/// `[[service.route]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RouteTable {
    pub(super) listener: Option<String>,
    pub(super) host: Option<HostText>,
    pub(super) path: Option<PathText>,
    #[serde(default)]
    pub(super) methods: Vec<String>,
    pub(super) class: Option<String>,
    pub(super) assign: Option<String>,
}
