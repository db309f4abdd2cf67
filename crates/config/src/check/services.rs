//! Services: their servers, classes, members, attempts and limits.

use super::graphql::graphql;
use super::registries::followed;
use super::{Checker, CLASSES_MOST, DEADLINE_MOST, MEMBERS_MOST, SERVICES_MOST};
use crate::model::{AttemptLimits, Class, Located, Model, Service, Source};
use reelfall_routing::common;
use reelfall_routing::limits::{Kind, Limits, Totals};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// All services, each by itself.
pub(super) fn services(c: &mut Checker, model: &Model) {
    c.want(!model.services.is_empty(), &model.origin, || {
        "no services: add [[service]]".to_owned()
    });
    c.want(model.services.len() <= SERVICES_MOST, &model.origin, || {
        format!("{} services, {SERVICES_MOST} at most", model.services.len())
    });
    c.names("service", &model.services, |s| &s.name);
    let registries: HashSet<&str> = model.registries.iter().map(|r| r.name.as_str()).collect();
    for service in &model.services {
        requests(c, service);
        followed(c, &registries, service);
        servers(c, service);
        service
            .classes
            .iter()
            .for_each(|class| class_figures(c, class));
        graphql(c, service);
        members(c, service);
        attempts(c, service);
    }
}

/// What requests a service takes: something reaches it, and it knows classes for that.
fn requests(c: &mut Checker, service: &Located<Service>) {
    let name = &service.name;
    c.want(!service.classes.is_empty(), &service.origin, || {
        format!("service `{name}` knows no requests: add [[service.class]]")
    });
    c.want(!service.routes.is_empty(), &service.origin, || {
        format!("nothing reaches service `{name}`: add [[service.route]]")
    });
    c.want(
        service.classes.len() <= CLASSES_MOST,
        &service.origin,
        || {
            format!(
                "service `{name}` has {} classes, {CLASSES_MOST} at most",
                service.classes.len()
            )
        },
    );
    c.want(
        service.tenants.len() <= MEMBERS_MOST,
        &service.origin,
        || {
            format!(
                "service `{name}` has {} members, {MEMBERS_MOST} at most",
                service.tenants.len()
            )
        },
    );
    c.names("class", &service.classes, |s| &s.name);
    c.names("member", &service.tenants, |s| &s.name);
}

/// A static list has each name and each address once.
fn servers(c: &mut Checker, service: &Located<Service>) {
    let Source::Static(servers) = &service.source else {
        return;
    };
    c.names("server", servers, |s| &s.name);
    c.addresses("server", servers, |s| (&s.name, s.address));
}

fn members(c: &mut Checker, service: &Located<Service>) {
    for member in &service.tenants {
        c.want(member.quota > 0.0, &member.origin, || {
            format!("member `{}`: a quota is more than 0/s", member.name)
        });
    }
}

/// Attempts, cold servers and the rate.
fn attempts(c: &mut Checker, service: &Located<Service>) {
    let name = &service.name;
    let AttemptLimits {
        max: most,
        connect_timeout: connect,
        idle_timeout: idle,
        ..
    } = service.attempts;
    c.want((1..=16).contains(&most), &service.origin, || {
        format!("service `{name}`: tries.most is {most}, not between 1 and 16")
    });
    c.want(connect > 0.0 && idle > 0.0, &service.origin, || {
        format!("service `{name}`: tries.connect and tries.idle are more than 0")
    });
    c.want(
        service.slow_start.overload_window > 0.0,
        &service.origin,
        || format!("service `{name}`: cold.within is more than 0"),
    );
    if let Some((rate, burst)) = service.limits.rate {
        c.want(rate > 0.0 && burst >= 1.0, &service.limits.origin, || {
            format!("service `{name}`: a rate is more than 0/s and its burst 1 at least")
        });
    }
}

fn class_figures(c: &mut Checker, class: &Located<Class>) {
    let Class {
        name,
        latency_objective: aim,
        deadline,
        ..
    } = &class.value;
    c.want(*aim > 0.0, &class.origin, || {
        format!("class `{name}`: aim is more than 0")
    });
    c.want(aim <= deadline, &class.origin, || {
        format!("class `{name}`: aim ({aim}s) is past its deadline ({deadline}s)")
    });
    c.want(*deadline <= DEADLINE_MOST, &class.origin, || {
        format!("class `{name}`: deadline is {deadline}s, {DEADLINE_MOST}s at most")
    });
}

/// Past so many services that list one server, further ones would get nothing from it while it is cold.
const SHARERS_MOST: usize = common::SHARERS_MOST as usize;

/// Servers that several services list.
pub(super) fn shared_servers(c: &mut Checker, model: &Model) {
    let mut listed: HashMap<SocketAddr, usize> = HashMap::new();
    for service in &model.services {
        let Source::Static(servers) = &service.source else {
            continue;
        };
        for server in servers {
            let n = listed.entry(server.address).or_default();
            *n += 1;
            c.want(*n != SHARERS_MOST + 1, &server.origin, || {
                format!(
                    "{} is listed by more than {SHARERS_MOST} services",
                    server.address
                )
            });
        }
    }
}

/// What each service may hold, and all of them together.
pub(super) fn limits(c: &mut Checker, model: &Model, totals: Totals) {
    let allowed: Vec<_> = model.services.iter().map(|s| s.limits.value).collect();
    for service in &model.services {
        let a = &service.limits;
        for (kind, share) in [
            (Kind::Open, a.open),
            (Kind::Connections, a.connections),
            (Kind::Memory, a.memory),
        ] {
            let named = if a.origin.line == 0 {
                &service.origin
            } else {
                &a.origin
            };
            c.want(share.reserve <= share.most, named, || {
                format!(
                    "service `{}`: {kind}: {} are reserved, but it may have {}",
                    service.name, share.reserve, share.most
                )
            });
            c.want((1..=1000).contains(&share.weight), named, || {
                format!(
                    "service `{}`: weight is {}, not between 1 and 1000",
                    service.name, share.weight
                )
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
            c.say(
                &model.process.origin,
                format!("the reservations do not fit the process: {unfit}"),
            );
        }
    }
}
