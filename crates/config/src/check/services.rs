//! Checks services: their servers, classes, tenants, attempts and limits.

use super::graphql::graphql;
use super::registries::registry_source;
use super::{Checker, MAX_CLASSES, MAX_DEADLINE, MAX_SERVICES, MAX_TENANTS};
use crate::model::{Class, ListSource, Located, Model, Origin, Service};
use reelfall_routing::budget::Quota;
use reelfall_routing::limits::{AdmissionControl, ProcessResources, Resource};
use reelfall_routing::shared_servers;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Checks each service by itself.
pub(super) fn services(checker: &mut Checker, model: &Model) {
    checker.require(!model.services.is_empty(), &model.origin, || {
        "no services: add [[service]]".to_owned()
    });
    checker.require(model.services.len() <= MAX_SERVICES, &model.origin, || {
        format!("{} services, {MAX_SERVICES} at most", model.services.len())
    });
    checker.require_unique_names("service", &model.services, |s| &s.name);
    let registries: HashSet<&str> = model.registries.iter().map(|r| r.name.as_str()).collect();
    for service in &model.services {
        routes_and_classes(checker, service);
        registry_source(checker, &registries, service);
        servers(checker, service);
        for class in &service.classes {
            self::class(checker, class);
        }
        graphql(checker, service);
        tenants(checker, service);
        attempts(checker, service);
    }
}

/// Requires routes and classes, and limits the number of classes and tenants.
fn routes_and_classes(checker: &mut Checker, service: &Located<Service>) {
    let name = &service.name;
    checker.require(!service.classes.is_empty(), &service.origin, || {
        format!("service `{name}` knows no requests: add [[service.class]]")
    });
    checker.require(!service.routes.is_empty(), &service.origin, || {
        format!("nothing reaches service `{name}`: add [[service.route]]")
    });
    checker.require(
        service.classes.len() <= MAX_CLASSES,
        &service.origin,
        || {
            format!(
                "service `{name}` has {} classes, {MAX_CLASSES} at most",
                service.classes.len()
            )
        },
    );
    checker.require(
        service.tenants.len() <= MAX_TENANTS,
        &service.origin,
        || {
            format!(
                "service `{name}` has {} members, {MAX_TENANTS} at most",
                service.tenants.len()
            )
        },
    );
    checker.require_unique_names("class", &service.classes, |s| &s.name);
    checker.require_unique_names("member", &service.tenants, |s| &s.name);
}

/// Requires unique names and addresses in a static list.
fn servers(checker: &mut Checker, service: &Located<Service>) {
    let ListSource::Static(servers) = &service.list_source else {
        return;
    };
    checker.require_unique_names("server", servers, |s| &s.name);
    checker.require_unique_addresses("server", servers, |s| (&s.name, s.address));
}

/// Requires a positive quota of each tenant.
fn tenants(checker: &mut Checker, service: &Located<Service>) {
    for tenant in &service.tenants {
        checker.require(tenant.quota > 0.0, &tenant.origin, || {
            format!("member `{}`: a quota is more than 0/s", tenant.name)
        });
    }
}

/// Checks the limits of attempts and connections, slow start, and the request rate.
fn attempts(checker: &mut Checker, service: &Located<Service>) {
    let name = &service.name;
    let attempts = service.attempts;
    checker.require((1..=16).contains(&attempts.max), &service.origin, || {
        format!(
            "service `{name}`: tries.most is {}, not between 1 and 16",
            attempts.max
        )
    });
    let has_timeouts = attempts.connect_timeout > 0.0 && attempts.idle_timeout > 0.0;
    checker.require(has_timeouts, &service.origin, || {
        format!("service `{name}`: tries.connect and tries.idle are more than 0")
    });
    checker.require(
        service.slow_start.overload_window > 0.0,
        &service.origin,
        || format!("service `{name}`: cold.within is more than 0"),
    );
    if let Some(rate) = service.limits.rate {
        checker.require(
            rate.per_second > 0.0 && rate.burst >= 1.0,
            &service.limits.origin,
            || format!("service `{name}`: a rate is more than 0/s and its burst 1 at least"),
        );
    }
}

/// Checks the latency objective and the deadline of a class.
fn class(checker: &mut Checker, class: &Located<Class>) {
    let Class {
        name,
        latency_objective,
        deadline,
        ..
    } = &class.value;
    checker.require(*latency_objective > 0.0, &class.origin, || {
        format!("class `{name}`: aim is more than 0")
    });
    checker.require(latency_objective <= deadline, &class.origin, || {
        format!("class `{name}`: aim ({latency_objective}s) is past its deadline ({deadline}s)")
    });
    checker.require(*deadline <= MAX_DEADLINE, &class.origin, || {
        format!("class `{name}`: deadline is {deadline}s, {MAX_DEADLINE}s at most")
    });
}

/// Maximum number of services that list one server. A further one could not send to it while it warms up.
const MAX_SERVICES_PER_SERVER: usize = shared_servers::MAX_POOLS_IN_SLOW_START as usize;

/// Limits the number of services that list the same server.
pub(super) fn shared_servers(checker: &mut Checker, model: &Model) {
    let mut counts: HashMap<SocketAddr, usize> = HashMap::new();
    for service in &model.services {
        let ListSource::Static(servers) = &service.list_source else {
            continue;
        };
        for server in servers {
            let count = counts.entry(server.address).or_default();
            *count += 1;
            checker.require(
                *count != MAX_SERVICES_PER_SERVER + 1,
                &server.origin,
                || {
                    format!(
                        "{} is listed by more than {MAX_SERVICES_PER_SERVER} services",
                        server.address
                    )
                },
            );
        }
    }
}

/// Checks the limits of each service, and the reservations of all services together.
pub(super) fn limits(checker: &mut Checker, model: &Model, totals: ProcessResources) {
    for service in &model.services {
        let limits = &service.limits;
        // Limits that are not in the file have no line of their own.
        let origin = if limits.origin.line == 0 {
            &service.origin
        } else {
            &limits.origin
        };
        for (kind, quota) in [
            (Resource::OpenRequests, limits.open_requests),
            (Resource::Connections, limits.connections),
            (Resource::Memory, limits.memory_kib),
        ] {
            self::quota(checker, origin, &service.name, kind, quota);
        }
    }
    if checker.errors.is_empty() {
        let allowed: Vec<_> = model.services.iter().map(|s| s.limits.value).collect();
        if let Err(unfit) = AdmissionControl::check(totals, &allowed) {
            checker.report(
                &model.process.origin,
                format!("the reservations do not fit the process: {unfit}"),
            );
        }
    }
}

/// Checks the quota that a service has of one resource.
fn quota(checker: &mut Checker, origin: &Origin, service: &str, kind: Resource, quota: Quota) {
    checker.require(quota.reserved <= quota.max, origin, || {
        format!(
            "service `{service}`: {kind}: {} are reserved, but it may have {}",
            quota.reserved, quota.max
        )
    });
    checker.require((1..=1000).contains(&quota.weight), origin, || {
        format!(
            "service `{service}`: weight is {}, not between 1 and 1000",
            quota.weight
        )
    });
    checker.require(quota.max > 0, origin, || {
        format!(
            "service `{service}`: {kind}: 0 lets nothing through; to stop it, write state = \"draining\""
        )
    });
}
