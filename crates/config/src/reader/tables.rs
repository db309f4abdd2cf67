//! A settings file as its tables are written, before it becomes the model.

use super::fleet;
use super::values::{
    positive, share, some_positive, AddressText, HostText, PathText, RateText, Read, SizeText,
    TimeText,
};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct File {
    pub(super) process: Option<Spanned<ProcessText>>,
    pub(super) management: Option<Spanned<fleet::ManagementText>>,
    pub(super) fleet: Option<Spanned<fleet::FleetText>>,
    #[serde(default)]
    pub(super) listener: Vec<Spanned<ListenerText>>,
    #[serde(default)]
    pub(super) registry: Vec<Spanned<RegistryText>>,
    #[serde(default)]
    pub(super) service: Vec<Spanned<ServiceText>>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub(super) struct ProcessText {
    pub(super) descriptors: Option<usize>,
    pub(super) memory: Option<SizeText>,
    pub(super) clients: Option<usize>,
    pub(super) server_connections: Option<usize>,
    pub(super) zone: Option<String>,
    pub(super) nodes: Option<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListenerText {
    pub(super) name: String,
    pub(super) address: AddressText,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RegistryText {
    pub(super) name: String,
    pub(super) members: Vec<AddressText>,
    pub(super) session: Option<TimeText>,
    pub(super) connect: Option<TimeText>,
    pub(super) forget_after: Option<TimeText>,
    pub(super) digest_file: Option<PathBuf>,
    pub(super) entry: Option<Spanned<EntryText>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct EntryText {
    pub(super) path: String,
    pub(super) name: String,
    pub(super) address: Option<String>,
    pub(super) site: Option<String>,
    #[serde(default)]
    pub(super) guarded: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum StaleText {
    GoOn,
    Refuse,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FollowText {
    pub(super) name: String,
    pub(super) path: String,
    pub(super) entries: Option<usize>,
    pub(super) reread: Option<TimeText>,
    pub(super) stale_after: Option<TimeText>,
    pub(super) stale: Option<StaleText>,
    #[serde(default)]
    pub(super) persistent: bool,
    pub(super) owner: Option<OwnerText>,
    #[serde(default)]
    pub(super) known: Vec<Spanned<ServerText>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OwnerText {
    pub(super) scheme: String,
    pub(super) id: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum StateText {
    Serving,
    Draining,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServiceText {
    pub(super) name: String,
    pub(super) state: Option<StateText>,
    pub(super) server: Option<Vec<Spanned<ServerText>>>,
    pub(super) discovery: Option<AddressText>,
    pub(super) registry: Option<FollowText>,
    pub(super) limits: Option<Spanned<LimitsText>>,
    pub(super) graphql: Option<Spanned<GraphQlText>>,
    #[serde(default)]
    pub(super) tries: TriesText,
    #[serde(default)]
    pub(super) cold: ColdText,
    #[serde(default)]
    pub(super) class: Vec<Spanned<ClassText>>,
    #[serde(default)]
    pub(super) member: Vec<Spanned<MemberText>>,
    #[serde(default)]
    pub(super) route: Vec<Spanned<RouteText>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum ServerStateText {
    Up,
    Draining,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServerText {
    pub(super) name: String,
    pub(super) address: AddressText,
    pub(super) zone: Option<String>,
    pub(super) kind: Option<String>,
    #[serde(default, deserialize_with = "some_positive")]
    pub(super) weight: Option<f64>,
    pub(super) state: Option<ServerStateText>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub(super) struct LimitsText {
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

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct TriesText {
    pub(super) most: u32,
    #[serde(deserialize_with = "share")]
    pub(super) retry_share: f64,
    pub(super) connect: TimeText,
    pub(super) idle: TimeText,
    pub(super) retry_after: TimeText,
}

impl Default for TriesText {
    fn default() -> Self {
        TriesText {
            most: 3,
            retry_share: 0.2,
            connect: Read::of(0.25),
            idle: Read::of(15.0),
            retry_after: Read::of(1.0),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct ColdText {
    #[serde(deserialize_with = "share")]
    pub(super) from: f64,
    pub(super) warm_after: TimeText,
    #[serde(deserialize_with = "positive")]
    pub(super) factor: f64,
    pub(super) within: TimeText,
}

impl Default for ColdText {
    fn default() -> Self {
        ColdText {
            from: 0.33,
            warm_after: Read::of(10.0),
            factor: 3.0,
            within: Read::of(1.0),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct GraphQlText {
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

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum RepeatText {
    Safe,
    Unsafe,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClassText {
    pub(super) name: String,
    pub(super) repeat: RepeatText,
    pub(super) aim: TimeText,
    pub(super) deadline: TimeText,
    #[serde(default, deserialize_with = "some_positive")]
    pub(super) worth: Option<f64>,
    #[serde(default, deserialize_with = "share")]
    pub(super) late_value: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MemberText {
    pub(super) name: String,
    pub(super) quota: RateText,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RouteText {
    pub(super) listener: Option<String>,
    pub(super) host: Option<HostText>,
    pub(super) path: Option<PathText>,
    #[serde(default)]
    pub(super) methods: Vec<String>,
    pub(super) class: Option<String>,
    pub(super) assign: Option<String>,
}
