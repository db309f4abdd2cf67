//! The result of a successful check, which a node puts in force.

use crate::model::{AttemptLimits, Class, Model, Origin, RetrySafety, Service, SlowStart};
use reelfall_balancer::interface as core;
use reelfall_balancer::settings::{BalancerConfig, ConnectionSettings, NameRegistry};
use reelfall_routing::limits::ProcessResources;
use reelfall_routing::table::{RouteConditions, RouteQuery, RouteTable};

/// The service and class that a route assigns to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The index of the service in [`Model::services`].
    pub service: usize,
    /// The index in [`Service::classes`] of the class that the route assigns, if it assigns one.
    pub assigned_class: Option<core::ClassId>,
}

/// A validated settings file, with its route table and the capacity of the process.
#[derive(Debug)]
pub struct Plan {
    /// The validated content of the file.
    pub model: Model,
    /// The route table, which returns the index of a route.
    pub route_table: RouteTable,
    /// The target of each route, by its index in the table. The routes of a service are consecutive and in its order.
    pub route_targets: Vec<RouteTarget>,
    /// The conditions of each route, by its index in the table.
    pub route_conditions: Vec<RouteConditions>,
    /// The resources that all services share.
    pub resources: ProcessResources,
    /// Maximum number of client connections.
    pub max_clients: usize,
}

impl Plan {
    /// The settings of a service's balancer and of its connections.
    pub fn balancer_config(&self, service: &Service) -> BalancerConfig {
        let mut names = NameRegistry::new(
            service.classes.iter().map(|class| class.name.clone()),
            service.tenants.iter().map(|tenant| tenant.name.clone()),
        );
        let settings = core::Settings {
            classes: service
                .classes
                .iter()
                .map(|class| core_class(class))
                .collect(),
            tenants: service
                .tenants
                .iter()
                .map(|tenant| core::Tenant {
                    quota: tenant.quota,
                })
                .collect(),
            zone: self
                .model
                .process
                .zone
                .as_ref()
                .map(|zone| names.zone(zone)),
            node_count: self.model.process.node_count,
            // The file does not assign indices to nodes, so each node uses the whole endpoint list.
            node_index: None,
            discovery: core::Discovery::Push,
            load_reports: core::LoadReports::Absent,
            limits: limits(&service.attempts),
            rules: rules(&service.slow_start),
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
        let connections = ConnectionSettings {
            connect_timeout: service.attempts.connect_timeout,
            response_slack: 0.005,
        };
        BalancerConfig {
            settings,
            names,
            connections,
        }
    }

    /// The indices of all routes that match a request, in descending order of precedence.
    pub fn matching_routes(&self, query: &RouteQuery) -> Vec<usize> {
        let specificity = |route: &usize| {
            let conditions = self.route_conditions.get(*route);
            conditions.map(RouteConditions::specificity)
        };
        let mut candidates: Vec<usize> = (0..self.route_conditions.len())
            .filter(|route| {
                self.route_conditions
                    .get(*route)
                    .is_some_and(|m| m.matches(query))
            })
            .collect();
        candidates.sort_by_key(|route| std::cmp::Reverse(specificity(route)));
        candidates
    }

    /// The position of a route in the file.
    pub fn route_origin(&self, route: usize) -> Option<&Origin> {
        let service = self.route_targets.get(route)?.service;
        let first = self
            .route_targets
            .partition_point(|target| target.service < service);
        let routes = &self.model.services.get(service)?.routes;
        routes.get(route - first).map(|route| &route.origin)
    }
}

fn limits(attempts: &AttemptLimits) -> core::Limits {
    core::Limits {
        max_attempts: attempts.max,
        retry_budget_ratio: attempts.retry_budget_ratio,
        max_retry_after: attempts.max_retry_after,
        can_cancel: false,
        can_health_check: false,
        can_hedge: false,
        idle_connection_timeout: attempts.idle_timeout,
    }
}

fn rules(slow_start: &SlowStart) -> core::Rules {
    core::Rules {
        drain_grace: 0.5,
        initial_capacity: slow_start.initial_capacity,
        slow_start_duration: slow_start.duration,
        overload_factor: slow_start.overload_factor,
        overload_window: slow_start.overload_window,
        max_poll_interval: 10.0,
    }
}

fn core_class(class: &Class) -> core::Class {
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
