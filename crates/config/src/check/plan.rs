//! What a node follows: a model that holds together, with its routes.

use crate::model::{Class, Model, Origin, RetrySafety, Service};
use reelfall_balancer::interface as core;
use reelfall_balancer::settings::{ConnectionSettings, NameRegistry};
use reelfall_routing::limits::Totals;
use reelfall_routing::table::{Match, Query, Table};

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
    /// Where each route leads, by its place in the table; those of a service stand together, in its order.
    pub goals: Vec<Goal>,
    /// What each route matches, by its place in the table.
    pub matches: Vec<Match>,
    /// What the services share.
    pub totals: Totals,
    /// Most connections of clients.
    pub clients: usize,
}

impl Plan {
    /// What the decision module of a service is told, the names that it goes by, and what its sockets need.
    pub fn settings(
        &self,
        service: &Service,
    ) -> (core::Settings, NameRegistry, ConnectionSettings) {
        let mut names = NameRegistry::new(
            service.classes.iter().map(|c| c.name.clone()),
            service.tenants.iter().map(|m| m.name.clone()),
        );
        let (tries, cold) = (service.attempts, service.slow_start);
        let settings = core::Settings {
            classes: service.classes.iter().map(|c| class(c)).collect(),
            tenants: service
                .tenants
                .iter()
                .map(|m| core::Tenant { quota: m.quota })
                .collect(),
            zone: self.model.process.zone.as_ref().map(|z| names.zone(z)),
            node_count: self.model.process.node_count,
            // The file does not tell nodes from each other: each has the whole list.
            node_index: None,
            discovery: core::Discovery::Push,
            load_reports: core::LoadReports::Absent,
            limits: core::Limits {
                max_attempts: tries.max,
                retry_budget_ratio: tries.retry_budget_ratio,
                max_retry_after: tries.max_retry_after,
                can_cancel: false,
                can_health_check: false,
                can_hedge: false,
                idle_connection_timeout: tries.idle_timeout,
            },
            rules: core::Rules {
                drain_grace: 0.5,
                initial_capacity: cold.initial_capacity,
                slow_start_duration: cold.duration,
                overload_factor: cold.overload_factor,
                overload_window: cold.overload_window,
                max_poll_interval: 10.0,
            },
            costs: core::Costs::default(),
            objective: core::Objective {
                overall: 0.8,
                worst_class: 0.1,
                worst_tenant: 0.1,
            },
            over_quota_weight: 0.1,
            weight_per_work: true,
            has_key_affinity: false,
            has_server_weights: true,
            clock_resolution: 1e-3,
        };
        let figures = ConnectionSettings {
            connect_timeout: tries.connect_timeout,
            response_slack: 0.005,
        };
        (settings, names, figures)
    }

    /// Every route that a request fits, the one that wins first.
    pub fn candidates(&self, q: &Query) -> Vec<usize> {
        let mut fit: Vec<usize> = (0..self.matches.len())
            .filter(|n| self.matches.get(*n).is_some_and(|m| m.fits(q)))
            .collect();
        fit.sort_by_key(|n| std::cmp::Reverse(self.matches.get(*n).map(Match::rank)));
        fit
    }

    /// Where a route was read.
    pub fn origin(&self, route: usize) -> Option<&Origin> {
        let service = self.goals.get(route)?.service;
        let first = self.goals.partition_point(|goal| goal.service < service);
        let routes = &self.model.services.get(service)?.routes;
        routes.get(route - first).map(|route| &route.origin)
    }
}

fn class(class: &Class) -> core::Class {
    core::Class {
        latency_objective: class.latency_objective,
        deadline: class.deadline,
        priority_weight: class.priority_weight,
        late_response_weight: class.late_response_weight,
        idempotency: match class.retry_safety {
            RetrySafety::Idempotent => core::Idempotency::Idempotent,
            RetrySafety::AtMostOnce => core::Idempotency::AtMostOnce,
        },
        streams_response: false,
    }
}
