//! Checks services: their servers, classes, tenants, attempts and limits.

use super::graphql::check_graphql;
use super::registries::check_registry_source;
use super::{Checker, MAX_CLASSES, MAX_DEADLINE, MAX_SERVICES, MAX_TENANTS};
use crate::model::{Class, ListSource, Located, Model, Origin, Service};
use reelfall_routing::budget::Quota;
use reelfall_routing::limits::{AdmissionControl, ProcessResources, Resource};
use reelfall_routing::shared_servers;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Checks each service on its own.
pub(super) fn check_services(checker: &mut Checker, model: &Model) {
    checker.require(!model.services.is_empty(), &model.origin, || {
        "no services: add [[service]]".to_owned()
    });
    checker.require(model.services.len() <= MAX_SERVICES, &model.origin, || {
        format!(
            "too many services: {}, but at most {MAX_SERVICES} are allowed",
            model.services.len()
        )
    });
    checker.require_unique_names("service", &model.services, |s| &s.name);
    let registries: HashSet<&str> = model.registries.iter().map(|r| r.name.as_str()).collect();
    for service in &model.services {
        check_item_counts(checker, service);
        check_registry_source(checker, &registries, service);
        check_servers(checker, service);
        for class in &service.classes {
            self::check_class(checker, class);
        }
        check_graphql(checker, service);
        check_tenants(checker, service);
        check_attempts(checker, service);
    }
}

/// Requires routes and classes, and limits the number of classes and tenants.
fn check_item_counts(checker: &mut Checker, service: &Located<Service>) {
    let name = &service.name;
    checker.require(!service.classes.is_empty(), &service.origin, || {
        format!("service `{name}` has no classes: add [[service.class]]")
    });
    checker.require(!service.routes.is_empty(), &service.origin, || {
        format!("service `{name}` has no routes: add [[service.route]]")
    });
    checker.require(
        service.classes.len() <= MAX_CLASSES,
        &service.origin,
        || {
            format!(
                "service `{name}` has {} classes, but at most {MAX_CLASSES} are allowed",
                service.classes.len()
            )
        },
    );
    checker.require(
        service.tenants.len() <= MAX_TENANTS,
        &service.origin,
        || {
            format!(
                "service `{name}` has {} members, but at most {MAX_TENANTS} are allowed",
                service.tenants.len()
            )
        },
    );
    checker.require_unique_names("class", &service.classes, |s| &s.name);
    checker.require_unique_names("member", &service.tenants, |s| &s.name);
}

/// Requires that names and addresses of a static list are unique.
fn check_servers(checker: &mut Checker, service: &Located<Service>) {
    let ListSource::Static(servers) = &service.list_source else {
        return;
    };
    checker.require_unique_names("server", servers, |s| &s.name);
    checker.require_unique_addresses("server", servers, |s| (&s.name, s.address));
}

/// Requires that the quota of each tenant is positive.
fn check_tenants(checker: &mut Checker, service: &Located<Service>) {
    for tenant in &service.tenants {
        checker.require(tenant.quota > 0.0, &tenant.origin, || {
            format!("member `{}`: quota must be more than 0/s", tenant.name)
        });
    }
}

/// Checks the limits of attempts and connections, the slow start, and the request rate.
fn check_attempts(checker: &mut Checker, service: &Located<Service>) {
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
        format!("service `{name}`: tries.connect and tries.idle must be more than 0")
    });
    checker.require(
        service.slow_start.overload_window > 0.0,
        &service.origin,
        || format!("service `{name}`: cold.within must be more than 0"),
    );
    if let Some(rate) = service.limits.rate {
        checker.require(
            rate.per_second > 0.0 && rate.burst >= 1.0,
            &service.limits.origin,
            || format!("service `{name}`: rate must be more than 0/s, and burst at least 1"),
        );
    }
}

/// Checks the latency objective and the deadline of a class.
fn check_class(checker: &mut Checker, class: &Located<Class>) {
    let Class {
        name,
        latency_objective,
        deadline,
        ..
    } = &class.value;
    checker.require(*latency_objective > 0.0, &class.origin, || {
        format!("class `{name}`: aim must be more than 0")
    });
    checker.require(latency_objective <= deadline, &class.origin, || {
        format!("class `{name}`: aim ({latency_objective}s) exceeds the deadline ({deadline}s)")
    });
    checker.require(*deadline <= MAX_DEADLINE, &class.origin, || {
        format!("class `{name}`: deadline is {deadline}s, but at most {MAX_DEADLINE}s is allowed")
    });
}

/// Maximum number of services that list one server. A further service could not send to it during its slow start.
const MAX_SERVICES_PER_SERVER: usize = shared_servers::MAX_POOLS_IN_SLOW_START as usize;

/// Limits the number of services that list the same server.
pub(super) fn check_shared_servers(checker: &mut Checker, model: &Model) {
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
pub(super) fn check_limits(checker: &mut Checker, model: &Model, totals: ProcessResources) {
    for service in &model.services {
        let limits = &service.limits;
        // Limits that the file omits have no line of their own.
        let origin = if limits.origin.line == 0 {
            &service.origin
        } else {
            &limits.origin
        };
        for (resource, quota) in [
            (Resource::OpenRequests, limits.open_requests),
            (Resource::Connections, limits.connections),
            (Resource::Memory, limits.memory_kib),
        ] {
            self::check_quota(checker, origin, &service.name, resource, quota);
        }
    }
    if checker.errors.is_empty() {
        let limits: Vec<_> = model.services.iter().map(|s| s.limits.value).collect();
        if let Err(error) = AdmissionControl::check(totals, &limits) {
            checker.report(
                &model.process.origin,
                format!("the reservations exceed the resources of the process: {error}"),
            );
        }
    }
}

/// Checks the quota of a service for one resource.
fn check_quota(
    checker: &mut Checker,
    origin: &Origin,
    service: &str,
    resource: Resource,
    quota: Quota,
) {
    checker.require(quota.reserved <= quota.max, origin, || {
        format!(
            "service `{service}`: {resource}: {} are reserved, but the maximum is {}",
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
            "service `{service}`: {resource}: a maximum of 0 rejects every request; to stop the service, set state = \"draining\""
        )
    });
}
