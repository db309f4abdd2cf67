//! Converts the tables of a file to the model, and fills in the defaults of absent keys.
//!
//! [`super::fleet`] does the same for `[fleet]` and `[management]`.

use super::lines::LineIndex;
use super::tables::{
    ClassTable, GraphQlTable, LimitsTable, ListenerTable, MemberTable, ProcessTable, RegistryTable,
    RepeatValue, RouteTable, ServerStateValue, ServerTable, ServiceRegistryTable,
    ServiceStateValue, ServiceTable, SlowStartTable, StaleValue, TriesTable,
};
use super::values::{SizeText, TimeText};
use crate::model::{
    AttemptLimits, Class, GraphQl, ListSource, Listener, Located, NodeEntry, Process, Registry,
    RegistrySource, RetrySafety, Route, Server, Service, ServiceState, SlowStart, Tenant,
};
use reelfall_balancer::interface::{ServerState, Time};
use reelfall_registry_client::follow::{self, Identity, StalePolicy};
use reelfall_routing::budget::Quota;
use reelfall_routing::limits::ServiceLimits;
use reelfall_routing::rate::RateLimit;
use reelfall_routing::table;
use thiserror::Error;

/// Why the list source of a service can't be determined.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum ListSourceError {
    /// The service has no source.
    #[error("service `{service}` has no servers: add [[service.server]], discovery or registry")]
    Missing {
        /// The name of the service.
        service: String,
    },
    /// The service has more than one source.
    #[error(
        "service `{service}` has several sources of servers: keep only one of [[service.server]], discovery and registry"
    )]
    Ambiguous {
        /// The name of the service.
        service: String,
    },
}

pub(super) fn process(table: ProcessTable) -> Process {
    Process {
        max_descriptors: table.descriptors.unwrap_or(1024),
        max_memory: table.memory.map_or(128 << 20, |size| size.0),
        max_clients: table.clients,
        max_connections_per_server: table.server_connections,
        zone: table.zone,
        node_count: table.nodes.unwrap_or(1),
    }
}

pub(super) fn listener(table: ListenerTable) -> Listener {
    Listener {
        name: table.name,
        address: table.address.0,
    }
}

pub(super) fn service(
    lines: &LineIndex,
    mut table: ServiceTable,
) -> Result<Service, ListSourceError> {
    Ok(Service {
        list_source: list_source(lines, &mut table)?,
        state: match table.state {
            Some(ServiceStateValue::Draining) => ServiceState::Draining,
            Some(ServiceStateValue::Serving) | None => ServiceState::Serving,
        },
        limits: match table.limits {
            Some(limits) => lines.located(limits, |_, table| service_limits(table)),
            None => Located {
                value: ServiceLimits::UNLIMITED,
                origin: lines.file_origin(),
            },
        },
        graphql: table
            .graphql
            .map(|graphql| lines.located(graphql, |_, table| self::graphql(table))),
        attempts: attempt_limits(table.tries),
        slow_start: slow_start(table.cold),
        classes: lines.located_all(table.class, |_, table| class(table)),
        tenants: lines.located_all(table.member, |_, table| tenant(table)),
        routes: lines.located_all(table.route, |_, table| route(table)),
        name: table.name,
    })
}

/// Takes the list source out of a service's table.
fn list_source(lines: &LineIndex, table: &mut ServiceTable) -> Result<ListSource, ListSourceError> {
    let sources = (
        table.server.take(),
        table.discovery.take(),
        table.registry.take(),
    );
    match sources {
        (Some(servers), None, None) => Ok(ListSource::Static(
            lines.located_all(servers, |_, table| server(table)),
        )),
        (None, Some(address), None) => Ok(ListSource::Discovery(address.0)),
        (None, None, Some(registry)) => Ok(ListSource::Registry(registry_source(lines, registry))),
        (None, None, None) => Err(ListSourceError::Missing {
            service: table.name.clone(),
        }),
        _ => Err(ListSourceError::Ambiguous {
            service: table.name.clone(),
        }),
    }
}

fn attempt_limits(table: TriesTable) -> AttemptLimits {
    AttemptLimits {
        max: table.most,
        retry_budget_ratio: table.retry_share,
        connect_timeout: table.connect.0,
        idle_timeout: table.idle.0,
        max_retry_after: table.retry_after.0,
    }
}

fn slow_start(table: SlowStartTable) -> SlowStart {
    SlowStart {
        initial_capacity: table.from,
        duration: table.warm_after.0,
        overload_factor: table.factor,
        overload_window: table.within.0,
    }
}

fn class(table: ClassTable) -> Class {
    Class {
        name: table.name,
        retry_safety: match table.repeat {
            RepeatValue::Safe => RetrySafety::Idempotent,
            RepeatValue::Unsafe => RetrySafety::AtMostOnce,
        },
        latency_objective: table.aim.0,
        deadline: table.deadline.0,
        priority_weight: table.worth.unwrap_or(1.0),
        late_response_weight: table.late_value,
    }
}

fn tenant(table: MemberTable) -> Tenant {
    Tenant {
        name: table.name,
        quota: table.quota.0,
    }
}

fn route(table: RouteTable) -> Route {
    Route {
        listener: table.listener,
        host: table.host.map_or(table::HostPattern::Any, |host| host.0),
        path_prefix: table.path.map_or_else(Box::default, |path| path.0),
        methods: table.methods,
        class: table.class,
        assigned_class: table.assign,
    }
}

fn time_or(time: Option<TimeText>, default: Time) -> Time {
    time.map_or(default, |time| time.0)
}

fn bytes_or(size: Option<SizeText>, default: usize) -> usize {
    size.map_or(default, |size| {
        usize::try_from(size.0).unwrap_or(usize::MAX)
    })
}

pub(super) fn registry(lines: &LineIndex, table: RegistryTable) -> Registry {
    Registry {
        name: table.name,
        members: table.members.into_iter().map(|member| member.0).collect(),
        session_timeout: time_or(table.session, 6.0),
        connect_timeout: time_or(table.connect, 1.0),
        forget_after: time_or(table.forget_after, 60.0),
        digest_file: table.digest_file,
        entry: table.entry.map(|entry| {
            lines.located(entry, |_, table| NodeEntry {
                path: table.path,
                name: table.name,
                address: table.address,
                site: table.site,
                is_guarded: table.guarded,
            })
        }),
    }
}

fn registry_source(lines: &LineIndex, table: ServiceRegistryTable) -> RegistrySource {
    let default = follow::FollowerConfig::default();
    RegistrySource {
        registry: table.name,
        path: table.path,
        initial_servers: lines.located_all(table.known, |_, table| server(table)),
        follower: follow::FollowerConfig {
            max_entries: table.entries.unwrap_or(default.max_entries),
            reread_interval: time_or(table.reread, default.reread_interval),
            stale_after: time_or(table.stale_after, default.stale_after),
            stale_policy: match table.stale {
                Some(StaleValue::Refuse) => StalePolicy::RejectRequests,
                Some(StaleValue::GoOn) | None => StalePolicy::KeepServers,
            },
            accepts_persistent: table.persistent,
            owner: table.owner.map(|owner| Identity {
                scheme: owner.scheme,
                id: owner.id,
            }),
            ..default
        },
    }
}

fn server(table: ServerTable) -> Server {
    Server {
        name: table.name,
        address: table.address.0,
        zone: table.zone,
        machine_type: table.kind,
        weight: table.weight,
        state: match table.state {
            Some(ServerStateValue::Draining) => ServerState::Draining,
            Some(ServerStateValue::Up) | None => ServerState::Up,
        },
    }
}

fn graphql(table: GraphQlTable) -> GraphQl {
    let default = reelfall_graphql::Limits::default();
    GraphQl {
        query_classes: table.query,
        mutation_classes: table.mutation,
        default_query_class: table.other_query,
        default_mutation_class: table.other_mutation,
        field_work: time_or(table.field_work, 1e-3),
        max_parallel_reads: table.side_by_side.unwrap_or(4),
        limits: reelfall_graphql::Limits {
            document: bytes_or(table.document, default.document),
            tokens: table.tokens.unwrap_or(default.tokens),
            depth: table.depth.unwrap_or(default.depth),
            aliases: table.aliases.unwrap_or(default.aliases),
            root_fields: table.root_fields.unwrap_or(default.root_fields),
            fragments: table.fragments.unwrap_or(default.fragments),
            cost: table.cost.unwrap_or(default.cost),
            batch: table.batch.unwrap_or(default.batch),
            persisted: table.persisted.unwrap_or(default.persisted),
            persisted_bytes: bytes_or(table.persisted_size, default.persisted_bytes),
        },
    }
}

fn service_limits(table: LimitsTable) -> ServiceLimits {
    let weight = table.weight.unwrap_or(1);
    let quota = |reserved: Option<u64>, max: Option<u64>| Quota {
        reserved: reserved.unwrap_or(0),
        max: max.unwrap_or(u64::MAX),
        weight,
    };
    let kib = |size: Option<SizeText>| size.map(|size| size.0 / 1024);
    let burst = table.burst;
    ServiceLimits {
        open_requests: quota(table.open_reserved, table.open),
        connections: quota(table.connections_reserved, table.connections),
        memory_kib: quota(kib(table.memory_reserved), kib(table.memory)),
        rate: table.rate.map(|rate| RateLimit {
            per_second: rate.0,
            burst: burst.map_or_else(|| rate.0.max(1.0), f64::from),
        }),
    }
}
