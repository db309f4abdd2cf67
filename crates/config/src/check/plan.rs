//! What a node follows: a model that holds together, with its routes.

use crate::model::{Class, Model, Origin, Repeat, Service};
use reelfall_balancer::interface as core;
use reelfall_balancer::settings::{Figures, Vocabulary};
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
    pub fn settings(&self, service: &Service) -> (core::Settings, Vocabulary, Figures) {
        let mut names = Vocabulary::new(
            service.classes.iter().map(|c| c.name.clone()),
            service.members.iter().map(|m| m.name.clone()),
        );
        let (tries, cold) = (service.tries, service.cold);
        let settings = core::Settings {
            classes: service.classes.iter().map(|c| class(c)).collect(),
            tenants: service
                .members
                .iter()
                .map(|m| core::Tenant { quota: m.quota })
                .collect(),
            zone: self.model.process.zone.as_ref().map(|z| names.zone(z)),
            replicas: self.model.process.nodes,
            // The file does not tell nodes from each other: each has the whole list.
            number: None,
            discovery: core::Discovery::Push,
            reports: core::Reports::Silent,
            limits: core::Limits {
                max_attempts: tries.most,
                retry_share: tries.retry_share,
                max_retry_after: tries.retry_after,
                cancelling: false,
                may_probe: false,
                second_copies: false,
                conn_idle: tries.idle,
            },
            rules: core::Rules {
                drain_grace: 0.5,
                cold_from: cold.from,
                warm_after: cold.warm_after,
                overload_factor: cold.factor,
                tip_after: cold.within,
                must_ask_in: 10.0,
            },
            prices: core::Prices::default(),
            goal: core::Goal {
                overall: 0.8,
                worst_class: 0.1,
                worst_tenant: 0.1,
            },
            over_share_worth: 0.1,
            worth_by_work: true,
            warm_keys: false,
            weighted: true,
            tick: 1e-3,
        };
        let figures = Figures {
            connect_timeout: tries.connect,
            answer_slack: 0.005,
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
        aim: class.aim,
        deadline: class.deadline,
        worth: class.worth,
        late_value: class.late_value,
        effect: match class.repeat {
            Repeat::Safe => core::Effect::Idempotent,
            Repeat::Unsafe => core::Effect::AtMostOnce,
        },
        streamed: false,
    }
}
