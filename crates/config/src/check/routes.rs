//! Checks routes, and makes the route table of them.

use super::plan::RouteTarget;
use super::{indices, Checker, MAX_ROUTES, METHODS};
use crate::model::{Located, Model, Origin, Route, Service};
use reelfall_balancer::interface as core;
use reelfall_routing::table::{AmbiguousRoutes, ListenerId, RouteConditions, RouteTable};
use std::collections::{HashMap, HashSet};

/// The routes of a model, by their index over all services.
pub(super) struct Routes {
    /// The table; `None` if the model has errors.
    pub(super) table: Option<RouteTable>,
    /// Where each route leads.
    pub(super) targets: Vec<RouteTarget>,
    /// The conditions of each route.
    pub(super) conditions: Vec<RouteConditions>,
}

/// Checks all routes. The table is made only if there are no errors so far.
pub(super) fn routes(checker: &mut Checker, model: &Model) -> Routes {
    let count = model.services.iter().map(|s| s.routes.len()).sum();
    let mut targets = Vec::with_capacity(count);
    let mut conditions = Vec::with_capacity(count);
    let mut origins = Vec::with_capacity(count);
    let listeners = indices(model.listeners.iter().map(|l| l.name.as_str()));
    for (index, service) in model.services.iter().enumerate() {
        let classes = indices(service.classes.iter().map(|class| class.name.as_str()));
        for route in &service.routes {
            let listener = listener(checker, &listeners, route);
            targets.push(RouteTarget {
                service: index,
                assigned_class: assigned_class(checker, &classes, service, route),
            });
            methods(checker, route);
            let is_reserved = *route.path == *"/_health" || route.path.starts_with("/_health/");
            checker.require(!is_reserved, &route.origin, || {
                "`/_health` is the node's own".to_owned()
            });
            conditions.push(RouteConditions {
                listener,
                host: route.host.clone(),
                path_prefix: route.path.clone(),
                methods: route.methods.iter().map(|m| m.as_str().into()).collect(),
                class: route.class.as_deref().map(Into::into),
            });
            origins.push(&route.origin);
        }
    }
    checker.require(conditions.len() <= MAX_ROUTES, &model.origin, || {
        format!("{} routes, {MAX_ROUTES} at most", conditions.len())
    });
    Routes {
        table: table(checker, &conditions, &origins),
        targets,
        conditions,
    }
}

/// The listener that a route names.
fn listener(
    checker: &mut Checker,
    listeners: &HashMap<&str, usize>,
    route: &Located<Route>,
) -> Option<ListenerId> {
    let name = route.listener.as_ref()?;
    let index = listeners.get(name.as_str()).copied();
    checker.require(index.is_some(), &route.origin, || {
        format!("there is no listener `{name}`")
    });
    ListenerId::try_from(index?).ok()
}

/// The class that a route assigns.
fn assigned_class(
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

/// The route table, unless there are errors or two routes are ambiguous.
fn table(
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
                    format!("this route can't be told apart from the one at line {line}"),
                );
            }
            None
        }
    }
}

/// Requires methods that are supported, each of them once.
fn methods(checker: &mut Checker, route: &Located<Route>) {
    let mut seen = HashSet::with_capacity(route.methods.len());
    for method in &route.methods {
        checker.require(METHODS.contains(&method.as_str()), &route.origin, || {
            format!("method `{method}` is not served: {}", METHODS.join(", "))
        });
        checker.require(seen.insert(method.as_str()), &route.origin, || {
            format!("method `{method}` is named twice")
        });
    }
}
