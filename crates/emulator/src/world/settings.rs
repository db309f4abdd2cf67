//! The balancer settings of nodes.

use super::nodes::DRAIN_GRACE;
use super::{NodeId, World, MAX_ATTEMPTS};
use crate::plan::RequestClass;
use reelfall_balancer::interface::{
    Class, Costs, Discovery, Limits, LoadReports, Objective, Rules, Settings, Tenant,
};

/// Quota of the only tenant, as a multiple of the mean request rate.
const QUOTA_FACTOR: f64 = 1.2;
/// Initial capacity in the settings, as a fraction of the actual initial capacity of servers.
const STATED_CAPACITY_FACTOR: f64 = 0.8;
/// Slow start duration in the settings, as a multiple of the actual one.
const STATED_DURATION_FACTOR: f64 = 1.2;

impl World {
    pub(super) fn settings(&self, node: NodeId) -> Settings {
        let plan = &self.plan;
        let quota = if plan.is_subsetting_disabled {
            0.0
        } else {
            QUOTA_FACTOR * self.request_rate
        };
        Settings {
            classes: plan.classes.iter().map(class).collect(),
            tenants: vec![Tenant { quota }],
            zone: Some(self.nodes[node].zone),
            node_count: plan.nodes as u32,
            node_index: Some(node as u32),
            discovery: Discovery::Push,
            load_reports: LoadReports::Absent,
            limits: self.limits(),
            rules: self.rules(),
            costs: Costs {
                cross_zone: 0.02,
                wasted_work: 0.05,
                health_check: 0.0,
                new_connection: 0.08,
            },
            objective: Objective {
                overall: 0.8,
                worst_class: 0.1,
                worst_tenant: 0.1,
            },
            over_quota_weight: 0.1,
            weight_per_work: true,
            has_key_affinity: false,
            has_server_weights: true,
            clock_resolution: 0.001,
        }
    }

    fn limits(&self) -> Limits {
        Limits {
            max_attempts: MAX_ATTEMPTS,
            retry_budget_ratio: 0.2,
            max_retry_after: 0.3,
            can_cancel: true,
            can_health_check: false,
            can_hedge: false,
            idle_connection_timeout: self.plan.idle_timeout,
        }
    }

    fn rules(&self) -> Rules {
        let slow_start = self.plan.slow_start;
        Rules {
            drain_grace: DRAIN_GRACE,
            initial_capacity: STATED_CAPACITY_FACTOR * slow_start.initial_capacity,
            slow_start_duration: STATED_DURATION_FACTOR * slow_start.duration,
            overload_factor: self.plan.overload.factor,
            overload_window: self.plan.overload.window,
            max_poll_interval: 10.0,
        }
    }
}

fn class(class: &RequestClass) -> Class {
    Class {
        latency_objective: class.latency_objective,
        deadline: class.deadline,
        priority_weight: class.priority_weight,
        late_response_weight: 0.3,
        idempotency: class.idempotency,
        streams_response: false,
    }
}
