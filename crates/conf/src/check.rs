//! Holds a model against all that must be true of it, and makes a plan that a node can follow.

use crate::model::*;
use reelfall_core::interface as core;
use reelfall_core::settings::{Figures, Vocabulary};
use reelfall_graphql::class::{ClassInfo, Classes, Mapping};
use reelfall_routes::limits::{Kind, Limits, Totals};
use reelfall_routes::table::{Ambiguous, ListenerId, Match, Query, Table};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Not;

/// Methods that a route can name.
pub const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
/// Longest name of a service, server, class, member or listener, in bytes.
pub const NAME_MOST: usize = 128;
/// Longest deadline, in seconds: what holds a request longer is no request of this kind.
pub const DEADLINE_MOST: f64 = 60.0;
/// Most services, listeners, and classes of a service.
pub const SERVICES_MOST: usize = 256;
/// Most routes of all services together.
pub const ROUTES_MOST: usize = 100_000;

/// Descriptors for what is neither client nor server: listeners, discovery, the runtime's own, a margin.
const SPARE: usize = 24;

/// Where a route leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Goal {
    /// The service, by its place in [`Model::services`].
    pub service: usize,
    /// The class that its requests have, by its place in [`Service::classes`], if the route assigns one.
    pub assign: Option<core::ClassId>,
}

/// A model that holds together, and its routes ready for look-ups.
#[derive(Debug)]
pub struct Plan {
    /// What the file says.
    pub model: Model,
    /// All routes.
    pub table: Table,
    /// Where each route leads, by its place in the table.
    pub goals: Vec<Goal>,
    /// What each route matches, by its place in the table.
    pub matches: Vec<Match>,
    /// What the services share.
    pub totals: Totals,
    /// Most connections of clients.
    pub clients: usize,
}

/// How the descriptors and the memory of a process are parted: `(clients, to servers, KiB of bodies)`.
///
/// Requests hold a third of the descriptors at most, and each needs one to a server; attempts that outlive their
/// request need more. What is left is for clients that ask nothing at the moment, or never will. A quarter of the
/// memory goes to bodies.
pub fn parts(descriptors: usize, memory_mb: usize) -> (usize, usize, usize) {
    let all = descriptors.saturating_sub(SPARE).max(8);
    let upstream = all * 43 / 100;
    (all - upstream, upstream, memory_mb.saturating_mul(256).max(1024))
}

struct Checker {
    faults: Vec<Fault>,
}

impl Checker {
    fn say(&mut self, origin: &Origin, mistake: String) {
        self.faults.push(Fault { origin: origin.clone(), mistake });
    }

    fn want(&mut self, holds: bool, origin: &Origin, mistake: impl FnOnce() -> String) {
        if !holds {
            self.say(origin, mistake());
        }
    }

    /// Names are short plain words, and each is there once.
    fn names<'a, T: 'a>(
        &mut self, what: &str, items: impl IntoIterator<Item = &'a At<T>>, name: impl Fn(&'a T) -> &'a str,
    ) {
        let mut seen: HashMap<&str, &Origin> = HashMap::new();
        for item in items {
            let name = name(&item.value);
            let plain = !name.is_empty()
                && name.len() <= NAME_MOST
                && name.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'));
            self.want(plain, &item.origin, || {
                format!("`{name}` is no name for a {what}: use letters, digits, `-`, `_` and `.`")
            });
            if let Some(first) = seen.insert(name, &item.origin) {
                self.say(&item.origin, format!("{what} `{name}` is there already, at line {}", first.line));
            }
        }
    }
}

/// Checks a model.
///
/// # Errors
/// Everything that is wrong with it.
pub fn check(model: Model) -> Result<Plan, Faults> {
    let mut c = Checker { faults: Vec::new() };
    let process = &model.process;
    c.want(process.descriptors >= 64, &process.origin, || "descriptors: 64 at least".to_owned());
    c.want(process.memory >= 16 << 20, &process.origin, || "memory: 16MiB at least".to_owned());
    c.want(process.nodes > 0, &process.origin, || "nodes: this one counts, so 1 at least".to_owned());
    c.want(process.server_connections != Some(0), &process.origin, || {
        "server_connections: 1 at least".to_owned()
    });
    let (clients, connections, memory) = parts(process.descriptors, (process.memory >> 20) as usize);
    let clients = process.clients.unwrap_or(clients);
    c.want(
        clients >= 8 && clients + connections <= process.descriptors.saturating_sub(SPARE),
        &process.origin,
        || {
            format!(
                "clients: {clients} do not fit into the descriptors, which leave room for 8 to {}",
                process.descriptors.saturating_sub(SPARE + connections)
            )
        },
    );
    let totals = Totals {
        // As many more clients as this may be connected without asking anything.
        open: (clients.min(connections)) as u64,
        connections: connections as u64,
        // Bodies of requests, and as much for answers.
        memory: 2 * memory as u64,
    };
    listeners(&mut c, &model);
    registries(&mut c, &model);
    fleet(&mut c, &model);
    services(&mut c, &model);
    shared_servers(&mut c, &model);
    limits(&mut c, &model, totals);
    let (table, goals, matches) = routes(&mut c, &model);
    match table {
        Some(table) if c.faults.is_empty() => Ok(Plan { model, table, goals, matches, totals, clients }),
        _ => {
            c.faults.sort_by_key(|f| f.origin.line);
            Err(Faults(c.faults))
        }
    }
}

fn listeners(c: &mut Checker, model: &Model) {
    c.want(!model.listeners.is_empty(), &model.origin, || {
        "nothing to listen on: add [[listener]] with a name and an address".to_owned()
    });
    c.want(model.listeners.len() <= SERVICES_MOST, &model.origin, || {
        format!("{} listeners, {SERVICES_MOST} at most", model.listeners.len())
    });
    c.names("listener", &model.listeners, |l| &l.name);
    for (n, listener) in model.listeners.iter().enumerate() {
        let before = model.listeners.iter().take(n).find(|l| l.address == listener.address);
        if let Some(before) = before.filter(|_| listener.address.port() != 0) {
            c.say(
                &listener.origin,
                format!("listener `{}` already has the address {}", before.name, listener.address),
            );
        }
    }
}

fn leases(c: &mut Checker, fleet: &At<Fleet>) {
    let Some(leases) = &fleet.leases else { return };
    let most = reelfall_lease::message::MAX_KEEPERS;
    let keepers: BTreeSet<&String> = leases.keepers.iter().collect();
    let count = leases.keepers.len();
    c.want(count % 2 == 1 && count <= most && keepers.len() == count, &fleet.origin, || {
        format!("fleet.leases: keepers are 1, 3 or another odd number of different nodes, {most} at most")
    });
    c.want(!keepers.contains(&fleet.node) || leases.folder.is_some(), &fleet.origin, || {
        format!("fleet.leases: {} is a keeper and needs a folder", fleet.node)
    });
    c.want((0.5..=60.0).contains(&leases.length), &fleet.origin, || {
        format!("fleet.leases: length is {}s, not between 0.5s and 60s", leases.length)
    });
    c.want((0.0..=0.1).contains(&leases.drift), &fleet.origin, || {
        "fleet.leases: drift is not between 0 and 10 %".to_owned()
    });
    let mut names = BTreeSet::new();
    for call in &leases.calls {
        let sound =
            reelfall_lease::token::LeaseName::try_from(call.name.clone()).is_ok() && names.insert(&call.name);
        c.want(sound, &fleet.origin, || {
            format!(
                "fleet.leases: call `{}`: {}, and each but once",
                call.name,
                reelfall_lease::token::InvalidLeaseName
            )
        });
        c.want((0.05..=86_400.0).contains(&call.every), &fleet.origin, || {
            format!(
                "fleet.leases: call `{}`: every is {}s, not between 0.05s and a day",
                call.name, call.every
            )
        });
        c.want(
            call.path.starts_with('/') && call.path.bytes().all(|b| b.is_ascii_graphic()),
            &fleet.origin,
            || format!("fleet.leases: call `{}`: the path begins with / and has no spaces", call.name),
        );
    }
}

fn fleet(c: &mut Checker, model: &Model) {
    let Some(fleet) = &model.fleet else { return };
    leases(c, fleet);
    let (rules, pace) = (&fleet.rules, &fleet.rules.membership);
    let named = |name: &str| !name.is_empty() && name.len() <= reelfall_fleet::node::MAX_NAME_LEN;
    c.want(named(&fleet.name) && named(&fleet.node), &fleet.origin, || {
        format!("fleet: name and node have 1 to {} bytes", reelfall_fleet::node::MAX_NAME_LEN)
    });
    c.want(fleet.advertise.unwrap_or(fleet.listen).ip().is_unspecified().not(), &fleet.origin, || {
        format!("fleet: nobody can send to {}: add advertise", fleet.listen)
    });
    let zone = model.process.zone.as_ref();
    c.want(zone.is_none_or(|zone| zone.len() <= reelfall_fleet::node::MAX_NAME_LEN), &fleet.origin, || {
        format!("fleet: the zone's name has {} bytes at most", reelfall_fleet::node::MAX_NAME_LEN)
    });
    let times = [
        ("probe_every", pace.probe_every, 0.05, 60.0),
        ("suspect_for", pace.suspect_for, 0.1, 600.0),
        ("spread_every", rules.spread_every, 0.01, 10.0),
        ("heal_every", rules.heal_every, 0.05, 60.0),
        ("verdicts.lasts", rules.report_lasts, 1.0, reelfall_fleet::entry::MAX_REPORT_TTL),
        ("verdicts.trial_every", rules.trial_every, 0.1, 60.0),
    ];
    for (what, time, least, most) in times {
        c.want((least..=most).contains(&time), &fleet.origin, || {
            format!("fleet: {what} is {time}s, not between {least}s and {most}s")
        });
    }
    c.want(pace.answer_within > 0.0 && pace.answer_within < pace.probe_every, &fleet.origin, || {
        "fleet: answer_within is more than 0 and less than probe_every".to_owned()
    });
    // One alone could send a server out for all.
    c.want((2..=1000).contains(&rules.quorum.witnesses), &fleet.origin, || {
        format!("fleet: verdicts.witnesses is {}, not between 2 and 1000", rules.quorum.witnesses)
    });
    c.want((1..=100_000).contains(&pace.size), &fleet.origin, || {
        format!("fleet: size is {}, not between 1 and 100000", pace.size)
    });
}

/// Whether a path can be one of a registry's, below its root.
fn registry_path(path: &str) -> bool {
    let segment = |s: &str| !s.is_empty() && s != "." && s != ".." && !s.chars().any(char::is_control);
    path.strip_prefix('/').is_some_and(|rest| rest.split('/').all(segment))
}

fn registries(c: &mut Checker, model: &Model) {
    c.names("registry", &model.registries, |r| &r.name);
    for registry in &model.registries {
        let name = &registry.name;
        c.want(!registry.members.is_empty(), &registry.origin, || {
            format!("registry `{name}` has no members: add their addresses")
        });
        c.want((0.1..=600.0).contains(&registry.session), &registry.origin, || {
            format!("registry `{name}`: session is {}s, not between 100ms and 600s", registry.session)
        });
        c.want(registry.connect > 0.0 && registry.connect <= registry.session, &registry.origin, || {
            format!("registry `{name}`: connect is more than 0 and at most session")
        });
        if let Some(entry) = &registry.entry {
            c.want(registry_path(&entry.path), &entry.origin, || {
                format!("`{}` is no path of a registry: write it as \"/nodes/n1\"", entry.path)
            });
            c.want(!entry.guarded || registry.digest_file.is_some(), &entry.origin, || {
                format!("registry `{name}`: a guarded entry needs digest_file, or nobody could change it")
            });
            c.want(!entry.name.is_empty() && entry.name.len() <= NAME_MOST, &entry.origin, || {
                format!("registry `{name}`: an entry needs the node's name, {NAME_MOST} bytes at most")
            });
        }
    }
}

fn followed(c: &mut Checker, model: &Model, service: &At<Service>) {
    let Source::Registry(Followed { registry, path, limits, known }) = &service.source else { return };
    let name = &service.name;
    c.names("server", known, |s| &s.name);
    c.want(model.registries.iter().any(|r| r.name == *registry), &service.origin, || {
        format!("service `{name}`: there is no registry `{registry}`")
    });
    c.want(registry_path(path), &service.origin, || {
        format!("service `{name}`: `{path}` is no path of a registry: write it as \"/flags/evaluate\"")
    });
    c.want((1..=100_000).contains(&limits.entries), &service.origin, || {
        format!("service `{name}`: entries is {}, not between 1 and 100000", limits.entries)
    });
    c.want(limits.reread >= 1.0 && limits.stale_after >= 1.0, &service.origin, || {
        format!("service `{name}`: reread and stale_after are 1s at least")
    });
}

fn services(c: &mut Checker, model: &Model) {
    c.want(!model.services.is_empty(), &model.origin, || "no services: add [[service]]".to_owned());
    c.want(model.services.len() <= SERVICES_MOST, &model.origin, || {
        format!("{} services, {SERVICES_MOST} at most", model.services.len())
    });
    c.names("service", &model.services, |s| &s.name);
    for service in &model.services {
        let name = &service.name;
        c.want(!service.classes.is_empty(), &service.origin, || {
            format!("service `{name}` knows no requests: add [[service.class]]")
        });
        c.want(!service.routes.is_empty(), &service.origin, || {
            format!("nothing reaches service `{name}`: add [[service.route]]")
        });
        c.want(service.classes.len() <= SERVICES_MOST, &service.origin, || {
            format!("service `{name}` has {} classes, {SERVICES_MOST} at most", service.classes.len())
        });
        c.names("class", &service.classes, |s| &s.name);
        c.names("member", &service.members, |s| &s.name);
        followed(c, model, service);
        if let Source::Static(servers) = &service.source {
            c.names("server", servers, |s| &s.name);
            for (n, server) in servers.iter().enumerate() {
                if let Some(before) = servers.iter().take(n).find(|s| s.address == server.address) {
                    let mistake =
                        format!("server `{}` already has the address {}", before.name, server.address);
                    c.say(&server.origin, mistake);
                }
            }
        }
        for class in &service.classes {
            class_figures(c, class);
        }
        if let Some(graphql) = &service.graphql {
            if let Err(fault) = graphql_classes(service, graphql) {
                c.say(&graphql.origin, format!("service `{name}`: {fault}"));
            }
            let GraphQl { limits, side_by_side, .. } = &graphql.value;
            c.want((1..=64).contains(&limits.depth), &graphql.origin, || {
                format!("service `{name}`: depth is {}, not between 1 and 64", limits.depth)
            });
            c.want(
                (1..=256).contains(&limits.batch) && (1..=64).contains(side_by_side),
                &graphql.origin,
                || format!("service `{name}`: batch is 1 to 256, side_by_side 1 to 64"),
            );
        }
        for member in &service.members {
            c.want(member.quota > 0.0, &member.origin, || {
                format!("member `{}`: a quota is more than 0/s", member.name)
            });
        }
        let Tries { most, connect, idle, .. } = service.tries;
        c.want((1..=16).contains(&most), &service.origin, || {
            format!("service `{name}`: tries.most is {most}, not between 1 and 16")
        });
        c.want(connect > 0.0 && idle > 0.0, &service.origin, || {
            format!("service `{name}`: tries.connect and tries.idle are more than 0")
        });
        c.want(service.cold.within > 0.0, &service.origin, || {
            format!("service `{name}`: cold.within is more than 0")
        });
        if let Some((rate, burst)) = service.allowed.rate {
            c.want(rate > 0.0 && burst >= 1.0, &service.allowed.origin, || {
                format!("service `{name}`: a rate is more than 0/s and its burst 1 at least")
            });
        }
    }
}

/// Past so many services that list one server, further ones would get nothing from it while it is cold.
const SHARERS_MOST: usize = reelfall_routes::common::SHARERS_MOST as usize;

fn shared_servers(c: &mut Checker, model: &Model) {
    let mut listed: HashMap<std::net::SocketAddr, usize> = HashMap::new();
    for service in &model.services {
        let Source::Static(servers) = &service.source else { continue };
        for server in servers {
            let n = listed.entry(server.address).or_default();
            *n += 1;
            c.want(*n != SHARERS_MOST + 1, &server.origin, || {
                format!("{} is listed by more than {SHARERS_MOST} services", server.address)
            });
        }
    }
}

fn class_figures(c: &mut Checker, class: &At<Class>) {
    let Class { name, aim, deadline, .. } = &class.value;
    c.want(*aim > 0.0, &class.origin, || format!("class `{name}`: aim is more than 0"));
    c.want(aim <= deadline, &class.origin, || {
        format!("class `{name}`: aim ({aim}s) is past its deadline ({deadline}s)")
    });
    c.want(*deadline <= DEADLINE_MOST, &class.origin, || {
        format!("class `{name}`: deadline is {deadline}s, {DEADLINE_MOST}s at most")
    });
}

fn limits(c: &mut Checker, model: &Model, totals: Totals) {
    let allowed: Vec<_> = model.services.iter().map(|s| s.allowed.value).collect();
    for service in &model.services {
        let a = &service.allowed;
        for (kind, share) in
            [(Kind::Open, a.open), (Kind::Connections, a.connections), (Kind::Memory, a.memory)]
        {
            let named = if a.origin.line == 0 { &service.origin } else { &a.origin };
            c.want(share.reserve <= share.most, named, || {
                format!(
                    "service `{}`: {kind}: {} are reserved, but it may have {}",
                    service.name, share.reserve, share.most
                )
            });
            c.want((1..=1000).contains(&share.weight), named, || {
                format!("service `{}`: weight is {}, not between 1 and 1000", service.name, share.weight)
            });
            c.want(share.most > 0, named, || {
                format!(
                    "service `{}`: {kind}: 0 lets nothing through; to stop it, write state = \"draining\"",
                    service.name
                )
            });
        }
    }
    if c.faults.is_empty() {
        if let Err(unfit) = Limits::check(totals, &allowed) {
            c.say(&model.process.origin, format!("the reservations do not fit the process: {unfit}"));
        }
    }
}

fn routes(c: &mut Checker, model: &Model) -> (Option<Table>, Vec<Goal>, Vec<Match>) {
    let (mut goals, mut matches, mut origins) = (Vec::new(), Vec::new(), Vec::new());
    for (n, service) in model.services.iter().enumerate() {
        for route in &service.routes {
            let listener = route.listener.as_ref().and_then(|name| {
                let at = model.listeners.iter().position(|l| l.name == *name);
                c.want(at.is_some(), &route.origin, || format!("there is no listener `{name}`"));
                at.and_then(|at| ListenerId::try_from(at).ok())
            });
            let assign = route.assign.as_ref().and_then(|name| {
                let at = service.classes.iter().position(|x| x.name == *name);
                c.want(at.is_some(), &route.origin, || {
                    format!("service `{}` has no class `{name}`", service.name)
                });
                at.and_then(|at| core::ClassId::try_from(at).ok())
            });
            for (n, method) in route.methods.iter().enumerate() {
                c.want(METHODS.contains(&method.as_str()), &route.origin, || {
                    format!("method `{method}` is not served: {}", METHODS.join(", "))
                });
                c.want(!route.methods.iter().take(n).any(|m| m == method), &route.origin, || {
                    format!("method `{method}` is named twice")
                });
            }
            let own = *route.path == *"/_health" || route.path.starts_with("/_health/");
            c.want(!own, &route.origin, || "`/_health` is the node's own".to_owned());
            matches.push(Match {
                listener,
                host: route.host.clone(),
                path: route.path.clone(),
                methods: route.methods.iter().map(|m| m.as_str().into()).collect(),
                class: route.class.as_deref().map(Into::into),
            });
            goals.push(Goal { service: n, assign });
            origins.push(&route.origin);
        }
    }
    c.want(matches.len() <= ROUTES_MOST, &model.origin, || {
        format!("{} routes, {ROUTES_MOST} at most", matches.len())
    });
    if !c.faults.is_empty() {
        return (None, goals, matches);
    }
    match Table::new(&matches) {
        Ok(table) => (Some(table), goals, matches),
        Err(Ambiguous { first, second }) => {
            if let (Some(first), Some(second)) = (origins.get(first), origins.get(second)) {
                c.say(second, format!("this route can't be told apart from the one at line {}", first.line));
            }
            (None, goals, matches)
        }
    }
}

/// The classes of a service's root fields.
///
/// # Errors
/// If a name is that of no class, or a mutation would count as safe.
pub fn graphql_classes(service: &Service, graphql: &GraphQl) -> Result<Classes, String> {
    let class = |name: &String| {
        let at = service.classes.iter().position(|c| c.name == *name);
        at.and_then(|at| core::ClassId::try_from(at).ok())
            .ok_or_else(|| format!("there is no class `{name}`"))
    };
    let fields = |fields: &BTreeMap<String, String>| -> Result<HashMap<String, core::ClassId>, String> {
        fields.iter().map(|(field, name)| Ok((field.clone(), class(name)?))).collect()
    };
    let mapping = Mapping {
        query: fields(&graphql.query)?,
        mutation: fields(&graphql.mutation)?,
        other_query: class(&graphql.other_query)?,
        other_mutation: class(&graphql.other_mutation)?,
    };
    let info = |c: &At<Class>| ClassInfo { safe: c.repeat == Repeat::Safe, deadline: c.deadline };
    Classes::new(mapping, service.classes.iter().map(info).collect()).map_err(|e| e.to_string())
}

impl Plan {
    /// What the decision module of a service is told, the names that it goes by, and what its sockets need.
    pub fn settings(&self, service: &Service) -> (core::Settings, Vocabulary, Figures) {
        let mut names = Vocabulary::new(
            service.classes.iter().map(|c| c.name.clone()),
            service.members.iter().map(|m| m.name.clone()),
        );
        let (tries, cold) = (service.tries, service.cold);
        let settings = core::Settings {
            classes: service.classes.iter().map(|c| class(c)).collect(),
            tenants: service.members.iter().map(|m| core::Tenant { quota: m.quota }).collect(),
            zone: self.model.process.zone.as_ref().map(|z| names.zone(z)),
            replicas: self.model.process.nodes,
            // The file does not tell nodes from each other: each has the whole list.
            number: None,
            discovery: core::Discovery::Push,
            reports: core::Reports::Silent,
            limits: core::Limits {
                max_attempts: tries.most,
                retry_share: tries.retry_share,
                max_retry_after: tries.retry_after,
                cancelling: false,
                may_probe: false,
                second_copies: false,
                conn_idle: tries.idle,
            },
            rules: core::Rules {
                drain_grace: 0.5,
                cold_from: cold.from,
                warm_after: cold.warm_after,
                overload_factor: cold.factor,
                tip_after: cold.within,
                must_ask_in: 10.0,
            },
            prices: core::Prices::default(),
            goal: core::Goal { overall: 0.8, worst_class: 0.1, worst_tenant: 0.1 },
            over_share_worth: 0.1,
            worth_by_work: true,
            warm_keys: false,
            weighted: true,
            tick: 1e-3,
        };
        let figures = Figures { connect_timeout: tries.connect, answer_slack: 0.005 };
        (settings, names, figures)
    }

    /// Every route that a request fits, the one that wins first.
    pub fn candidates(&self, q: &Query) -> Vec<usize> {
        let mut fit: Vec<usize> =
            (0..self.matches.len()).filter(|n| self.matches.get(*n).is_some_and(|m| m.fits(q))).collect();
        fit.sort_by_key(|n| std::cmp::Reverse(self.matches.get(*n).map(Match::rank)));
        fit
    }

    /// Where a route was read.
    pub fn origin(&self, route: usize) -> Option<&Origin> {
        self.model.services.iter().flat_map(|s| &s.routes).nth(route).map(|r| &r.origin)
    }
}

fn class(class: &Class) -> core::Class {
    core::Class {
        aim: class.aim,
        deadline: class.deadline,
        worth: class.worth,
        late_value: class.late_value,
        effect: match class.repeat {
            Repeat::Safe => core::Effect::Idempotent,
            Repeat::Unsafe => core::Effect::AtMostOnce,
        },
        streamed: false,
    }
}
