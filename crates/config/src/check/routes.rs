//! Routes: what each matches and where it leads.

use super::plan::Goal;
use super::{numbers, Checker, METHODS, ROUTES_MOST};
use crate::model::{Located, Model, Route};
use reelfall_balancer::interface as core;
use reelfall_routing::table::{Ambiguous, ListenerId, Match, Table};
use std::collections::HashSet;

/// Reads all routes: their table if nothing is wrong so far, where each leads, and what each matches.
pub(super) fn routes(c: &mut Checker, model: &Model) -> (Option<Table>, Vec<Goal>, Vec<Match>) {
    let count = model.services.iter().map(|s| s.routes.len()).sum();
    let mut goals = Vec::with_capacity(count);
    let mut matches = Vec::with_capacity(count);
    let mut origins = Vec::with_capacity(count);
    let listeners = numbers(model.listeners.iter().map(|l| l.name.as_str()));
    for (n, service) in model.services.iter().enumerate() {
        let classes = numbers(service.classes.iter().map(|x| x.name.as_str()));
        for route in &service.routes {
            let listener = route.listener.as_ref().and_then(|name| {
                let at = listeners.get(name.as_str()).copied();
                c.want(at.is_some(), &route.origin, || {
                    format!("there is no listener `{name}`")
                });
                at.and_then(|at| ListenerId::try_from(at).ok())
            });
            let assign = route.assign.as_ref().and_then(|name| {
                let at = classes.get(name.as_str()).copied();
                c.want(at.is_some(), &route.origin, || {
                    format!("service `{}` has no class `{name}`", service.name)
                });
                at.and_then(|at| core::ClassId::try_from(at).ok())
            });
            methods(c, route);
            let own = *route.path == *"/_health" || route.path.starts_with("/_health/");
            c.want(!own, &route.origin, || {
                "`/_health` is the node's own".to_owned()
            });
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
                c.say(
                    second,
                    format!(
                        "this route can't be told apart from the one at line {}",
                        first.line
                    ),
                );
            }
            (None, goals, matches)
        }
    }
}

/// The methods of a route are served ones, and each is there once.
fn methods(c: &mut Checker, route: &Located<Route>) {
    let mut seen = HashSet::with_capacity(route.methods.len());
    for method in &route.methods {
        c.want(METHODS.contains(&method.as_str()), &route.origin, || {
            format!("method `{method}` is not served: {}", METHODS.join(", "))
        });
        c.want(seen.insert(method.as_str()), &route.origin, || {
            format!("method `{method}` is named twice")
        });
    }
}
