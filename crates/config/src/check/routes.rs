//! Checks routes and builds the route table.

use super::plan::RouteTarget;
use super::{indices, Checker, MAX_ROUTES, METHODS};
use crate::model::{Located, Model, Origin, Route, Service};
use reelfall_balancer::interface as core;
use reelfall_routing::table::{AmbiguousRoutes, ListenerId, RouteConditions, RouteTable};
use std::collections::{HashMap, HashSet};

/// The routes of all services. They are numbered in the order of the model.
pub(super) struct Routes {
    /// The route table; `None` if the model has errors.
    pub(super) table: Option<RouteTable>,
    /// The target of each route.
    pub(super) targets: Vec<RouteTarget>,
    /// The conditions of each route.
    pub(super) conditions: Vec<RouteConditions>,
}

/// Checks all routes. Builds the table only if there are no errors so far.
pub(super) fn check_routes(checker: &mut Checker, model: &Model) -> Routes {
    let count = model.services.iter().map(|s| s.routes.len()).sum();
    let mut targets = Vec::with_capacity(count);
    let mut conditions = Vec::with_capacity(count);
    let mut origins = Vec::with_capacity(count);
    let listeners = indices(model.listeners.iter().map(|l| l.name.as_str()));
    for (index, service) in model.services.iter().enumerate() {
        let classes = indices(service.classes.iter().map(|class| class.name.as_str()));
        for route in &service.routes {
            let listener = find_listener(checker, &listeners, route);
            targets.push(RouteTarget {
                service: index,
                assigned_class: find_assigned_class(checker, &classes, service, route),
            });
            check_methods(checker, route);
            let is_reserved =
                *route.path_prefix == *"/_health" || route.path_prefix.starts_with("/_health/");
            checker.require(!is_reserved, &route.origin, || {
                "`/_health` is reserved for the node".to_owned()
            });
            conditions.push(RouteConditions {
                listener,
                host: route.host.clone(),
                path_prefix: route.path_prefix.clone(),
                methods: route.methods.iter().map(|m| m.as_str().into()).collect(),
                class: route.class.as_deref().map(Into::into),
            });
            origins.push(&route.origin);
        }
    }
    checker.require(conditions.len() <= MAX_ROUTES, &model.origin, || {
        format!(
            "too many routes: {}, but at most {MAX_ROUTES} are allowed",
            conditions.len()
        )
    });
    Routes {
        table: build_table(checker, &conditions, &origins),
        targets,
        conditions,
    }
}

/// Finds the listener of a route, and reports one that does not exist. `None` if the route matches any.
fn find_listener(
    checker: &mut Checker,
    listeners: &HashMap<&str, usize>,
    route: &Located<Route>,
) -> Option<ListenerId> {
    let name = route.listener.as_ref()?;
    let index = listeners.get(name.as_str()).copied();
    checker.require(index.is_some(), &route.origin, || {
        format!("unknown listener `{name}`")
    });
    ListenerId::try_from(index?).ok()
}

/// Finds the class that a route assigns, and reports one that does not exist. `None` if the route assigns none.
fn find_assigned_class(
    checker: &mut Checker,
    classes: &HashMap<&str, usize>,
    service: &Service,
    route: &Located<Route>,
) -> Option<core::ClassId> {
    let name = route.assigned_class.as_ref()?;
    let index = classes.get(name.as_str()).copied();
    checker.require(index.is_some(), &route.origin, || {
        format!("service `{}` has no class `{name}`", service.name)
    });
    core::ClassId::try_from(index?).ok()
}

/// Builds the route table; `None` if there are errors. Reports ambiguous routes.
fn build_table(
    checker: &mut Checker,
    conditions: &[RouteConditions],
    origins: &[&Origin],
) -> Option<RouteTable> {
    if !checker.errors.is_empty() {
        return None;
    }
    match RouteTable::new(conditions) {
        Ok(table) => Some(table),
        Err(AmbiguousRoutes { first, second }) => {
            if let (Some(first), Some(second)) = (origins.get(first), origins.get(second)) {
                let line = first.line;
                checker.report(
                    second,
                    format!(
                        "ambiguous route: overlaps with the equally specific route at line {line}"
                    ),
                );
            }
            None
        }
    }
}

/// Requires that methods are supported and unique.
fn check_methods(checker: &mut Checker, route: &Located<Route>) {
    let mut seen = HashSet::with_capacity(route.methods.len());
    for method in &route.methods {
        checker.require(METHODS.contains(&method.as_str()), &route.origin, || {
            format!("unsupported method `{method}`: use {}", METHODS.join(", "))
        });
        checker.require(seen.insert(method.as_str()), &route.origin, || {
            format!("duplicate method `{method}`")
        });
    }
}
