//! Reads TOML into the model.
//!
//! | module | what belongs there |
//! | --- | --- |
//! | [`sections`] | splitting a text into documents that are read one by one |
//! | [`document`] | reading one of them |
//! | [`lines`] | places in a text, told as lines of its file |
//! | [`tables`] | the tables of a file as they are written |
//! | [`fleet`] | those that concern a fleet and its operators |
//! | [`values`] | single values with their units and bounds |

mod document;
mod fleet;
mod lines;
mod sections;
mod tables;
mod values;

use crate::model::*;
use document::Document;
use lines::Lines;
use reelfall_balancer::interface::ServerState;
use reelfall_registry_client::follow;
use reelfall_routing::budget::Share;
use reelfall_routing::limits::Allowed;
use reelfall_routing::table;
use sections::Sections;
use std::slice;
use std::sync::Arc;
use tables::*;
use toml::Spanned;
use values::{SizeText, TimeText};

/// Reads a file's text.
///
/// # Errors
/// The first mistake of syntax or of a single value, first outside of the services and then service by service; the
/// others can't be told from its effects.
pub fn toml(file: &str, text: &str) -> Result<Model, Faults> {
    let file: Arc<str> = file.into();
    let sections = Sections::of(text);
    let rest = Document::of(&file, text, &sections.rest);
    let read = rest.read()?;
    let lines = rest.lines();
    let mut services = Services::default();
    services.found.reserve(sections.services.len());
    services.take(lines, read.service);
    for section in &sections.services {
        let document = Document::of(&file, text, slice::from_ref(section));
        services.take(document.lines(), document.read()?.service);
    }
    let process = match read.process {
        Some(process) => lines.located(process, |_, p| self::process(p)),
        None => Located {
            value: process(ProcessText::default()),
            origin: lines.file(),
        },
    };
    let zone = process.zone.clone();
    let model = Model {
        origin: lines.file(),
        process,
        management: read.management.map(|m| lines.located(m, |_, m| m.model())),
        fleet: read.fleet.map(|f| lines.located(f, |_, f| f.model(zone))),
        listeners: lines.all(read.listener, |_, l| Listener {
            name: l.name,
            address: l.address.0,
        }),
        registries: lines.all(read.registry, registry),
        services: services.found,
    };
    services
        .faults
        .is_empty()
        .then_some(model)
        .ok_or(Faults(services.faults))
}

/// The services of a file, and what is wrong with those that are none.
#[derive(Default)]
struct Services {
    found: Vec<Located<Service>>,
    faults: Vec<Fault>,
}

impl Services {
    fn take(&mut self, lines: &Lines, services: Vec<Spanned<ServiceText>>) {
        for service in services {
            let Located { value, origin } = lines.located(service, self::service);
            match value {
                Ok(value) => self.found.push(Located { value, origin }),
                Err(mistake) => self.faults.push(Fault { origin, mistake }),
            }
        }
    }
}

fn process(p: ProcessText) -> Process {
    Process {
        max_descriptors: p.descriptors.unwrap_or(1024),
        max_memory: p.memory.map_or(128 << 20, |m| m.0),
        max_clients: p.clients,
        max_connections_per_server: p.server_connections,
        zone: p.zone,
        node_count: p.nodes.unwrap_or(1),
    }
}

fn service(lines: &Lines, s: ServiceText) -> Result<Service, String> {
    let source = match (s.server, s.discovery, s.registry) {
        (Some(servers), None, None) => Source::Static(lines.all(servers, |_, s| server(s))),
        (None, Some(address), None) => Source::Discovery(address.0),
        (None, None, Some(follow)) => Source::Registry(followed(lines, follow)),
        (None, None, None) => {
            let add = "add [[service.server]], a discovery or a registry";
            return Err(format!("service `{}` has no servers: {add}", s.name));
        }
        _ => {
            let which = "servers, a discovery and a registry are three sources";
            return Err(format!("service `{}`: {which}: keep one", s.name));
        }
    };
    Ok(Service {
        state: match s.state {
            Some(StateText::Draining) => ServiceState::Draining,
            Some(StateText::Serving) | None => ServiceState::Serving,
        },
        source,
        limits: match s.limits {
            Some(limits) => lines.located(limits, |_, l| allowed(l)),
            None => Located {
                value: Allowed::OPEN,
                origin: lines.file(),
            },
        },
        graphql: s.graphql.map(|g| lines.located(g, |_, g| graphql(g))),
        attempts: AttemptLimits {
            max: s.tries.most,
            retry_budget_ratio: s.tries.retry_share,
            connect_timeout: s.tries.connect.0,
            idle_timeout: s.tries.idle.0,
            max_retry_after: s.tries.retry_after.0,
        },
        slow_start: SlowStart {
            initial_capacity: s.cold.from,
            duration: s.cold.warm_after.0,
            overload_factor: s.cold.factor,
            overload_window: s.cold.within.0,
        },
        classes: lines.all(s.class, |_, c| Class {
            name: c.name,
            retry_safety: match c.repeat {
                RepeatText::Safe => RetrySafety::Idempotent,
                RepeatText::Unsafe => RetrySafety::AtMostOnce,
            },
            latency_objective: c.aim.0,
            deadline: c.deadline.0,
            priority_weight: c.worth.unwrap_or(1.0),
            late_response_weight: c.late_value,
        }),
        tenants: lines.all(s.member, |_, m| Tenant {
            name: m.name,
            quota: m.quota.0,
        }),
        routes: lines.all(s.route, |_, r| Route {
            listener: r.listener,
            host: r.host.map_or(table::Host::Any, |h| h.0),
            path: r.path.map_or_else(Box::default, |p| p.0),
            methods: r.methods,
            class: r.class,
            assign: r.assign,
        }),
        name: s.name,
    })
}

fn registry(lines: &Lines, r: RegistryText) -> Registry {
    let time = |t: Option<TimeText>, usual| t.map_or(usual, |t| t.0);
    Registry {
        name: r.name,
        members: r.members.into_iter().map(|m| m.0).collect(),
        session_timeout: time(r.session, 6.0),
        connect_timeout: time(r.connect, 1.0),
        forget_after: time(r.forget_after, 60.0),
        digest_file: r.digest_file,
        entry: r.entry.map(|e| {
            lines.located(e, |_, e| NodeEntry {
                path: e.path,
                name: e.name,
                address: e.address,
                site: e.site,
                guarded: e.guarded,
            })
        }),
    }
}

fn followed(lines: &Lines, f: FollowText) -> RegistrySource {
    let usual = follow::Limits::default();
    RegistrySource {
        registry: f.name,
        path: f.path,
        initial_servers: lines.all(f.known, |_, s| server(s)),
        limits: follow::Limits {
            entries: f.entries.unwrap_or(usual.entries),
            reread: f.reread.map_or(usual.reread, |t| t.0),
            stale_after: f.stale_after.map_or(usual.stale_after, |t| t.0),
            stale: match f.stale {
                Some(StaleText::Refuse) => follow::Stale::Refuse,
                Some(StaleText::GoOn) | None => follow::Stale::GoOn,
            },
            persistent: f.persistent,
            owner: f.owner.map(|o| (o.scheme, o.id)),
            ..usual
        },
    }
}

fn server(s: ServerText) -> Server {
    Server {
        name: s.name,
        address: s.address.0,
        zone: s.zone,
        machine_type: s.kind,
        weight: s.weight,
        state: match s.state {
            Some(ServerStateText::Draining) => ServerState::Draining,
            Some(ServerStateText::Up) | None => ServerState::Up,
        },
    }
}

fn graphql(g: GraphQlText) -> GraphQl {
    let usual = reelfall_graphql::Limits::default();
    let bytes = |size: Option<SizeText>, usual| {
        size.map_or(usual, |s| usize::try_from(s.0).unwrap_or(usize::MAX))
    };
    GraphQl {
        query: g.query,
        mutation: g.mutation,
        other_query: g.other_query,
        other_mutation: g.other_mutation,
        field_work: g.field_work.map_or(1e-3, |t| t.0),
        max_parallel_reads: g.side_by_side.unwrap_or(4),
        limits: reelfall_graphql::Limits {
            document: bytes(g.document, usual.document),
            tokens: g.tokens.unwrap_or(usual.tokens),
            depth: g.depth.unwrap_or(usual.depth),
            aliases: g.aliases.unwrap_or(usual.aliases),
            root_fields: g.root_fields.unwrap_or(usual.root_fields),
            fragments: g.fragments.unwrap_or(usual.fragments),
            cost: g.cost.unwrap_or(usual.cost),
            batch: g.batch.unwrap_or(usual.batch),
            persisted: g.persisted.unwrap_or(usual.persisted),
            persisted_bytes: bytes(g.persisted_size, usual.persisted_bytes),
        },
    }
}

fn allowed(l: LimitsText) -> Allowed {
    let weight = l.weight.unwrap_or(1);
    let share = |reserve: Option<u64>, most: Option<u64>| Share {
        reserve: reserve.unwrap_or(0),
        most: most.unwrap_or(u64::MAX),
        weight,
    };
    let kib = |size: Option<SizeText>| size.map(|s| s.0 / 1024);
    Allowed {
        open: share(l.open_reserved, l.open),
        connections: share(l.connections_reserved, l.connections),
        memory: share(kib(l.memory_reserved), kib(l.memory)),
        rate: l
            .rate
            .map(|r| (r.0, l.burst.map_or_else(|| r.0.max(1.0), f64::from))),
    }
}
