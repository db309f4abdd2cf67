//! The command that looks up the route of a request in a settings file, and explains why it takes precedence over others.

use super::args::RouteArgs;
use reelfall_config::{ConfigErrors, Plan};
use reelfall_routing::table::{ListenerId, RouteConditions, RouteQuery};
use reelfall_routing::target;
use std::path::PathBuf;
use thiserror::Error;

/// Why the lookup fails, with the text that is printed on standard error.
#[derive(Debug, Error)]
pub enum RouteError {
    /// The settings file is unusable.
    #[error(transparent)]
    Settings(#[from] ConfigErrors),
    /// The file has no such listener.
    #[error("{file}: no listener is named `{name}`", file = file.display())]
    UnknownListener {
        /// The settings file.
        file: PathBuf,
        /// The name of the listener.
        name: String,
    },
    /// A node would reject the request.
    #[error("400: {0}")]
    InvalidTarget(#[from] target::TargetError),
    /// No route matches the request.
    #[error("404: no route matches")]
    NoRoute,
}

/// Looks up the route of a request, and prints it with the matching routes that it takes precedence over.
///
/// # Errors
/// If the settings file is unusable, or a node would reject the request.
pub fn run(args: &RouteArgs) -> Result<(), RouteError> {
    let plan = reelfall_config::load(&args.file)?;
    let listener = find_listener(&plan, args)?;
    let target = target::parse(target::ReceivedTarget {
        path: &args.path,
        host: Some(args.host.as_bytes()),
        ..Default::default()
    })?;
    let query = RouteQuery {
        listener: ListenerId::try_from(listener).unwrap_or(ListenerId::MAX),
        host: &target.host,
        path: target.path,
        method: &args.method,
        class: args.class.as_deref(),
    };
    let route = plan.route_table.find(&query).ok_or(RouteError::NoRoute)?;
    print_candidates(&plan, &query, route);
    Ok(())
}

/// The index of the request's listener: the first one if none is named.
fn find_listener(plan: &Plan, args: &RouteArgs) -> Result<usize, RouteError> {
    let Some(name) = &args.listener else {
        return Ok(0);
    };
    let mut listeners = plan.model.listeners.iter();
    let index = listeners.position(|listener| listener.name == *name);
    index.ok_or_else(|| RouteError::UnknownListener {
        file: args.file.clone(),
        name: name.clone(),
    })
}

fn print_candidates(plan: &Plan, query: &RouteQuery, route: usize) {
    let mut candidates = plan.matching_routes(query).into_iter();
    let winner = candidates.next().unwrap_or(route);
    println!("{}", describe(plan, winner));
    for loser in candidates {
        let reason = match (
            plan.route_conditions.get(winner),
            plan.route_conditions.get(loser),
        ) {
            (Some(winner), Some(loser)) => reason_to_win(winner, loser),
            _ => "",
        };
        println!(
            "  takes precedence over {}: {reason}",
            describe(plan, loser)
        );
    }
}

/// Describes a route: its service, the class that it assigns, its position in the file, and its conditions.
fn describe(plan: &Plan, route: usize) -> String {
    let goal = plan.route_targets.get(route);
    let service = goal.and_then(|goal| plan.model.services.get(goal.service));
    let class = goal.and_then(|goal| service?.classes.get(usize::from(goal.assigned_class?)));
    let origin = plan.route_origin(route).map(ToString::to_string);
    let matched = plan.route_conditions.get(route).map(ToString::to_string);
    let name = service.map_or("", |service| &service.name);
    let class = class.map(|class| format!(" as class {}", class.name));
    format!(
        "{name}{class} by {origin} ({matched})",
        class = class.unwrap_or_default(),
        origin = origin.unwrap_or_default(),
        matched = matched.unwrap_or_default(),
    )
}

/// The first criterion by which `winner` is more specific than `loser`.
fn reason_to_win(winner: &RouteConditions, loser: &RouteConditions) -> &'static str {
    let (winner, loser) = (winner.specificity(), loser.specificity());
    if winner.names_listener != loser.names_listener {
        "its listener is named"
    } else if winner.host != loser.host {
        "its host is more specific"
    } else if winner.path_segments != loser.path_segments {
        "its path is longer"
    } else if winner.names_methods != loser.names_methods {
        "its method is named"
    } else {
        "its class is named"
    }
}
