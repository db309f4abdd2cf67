//! Shared by the module tests: small settings, and a node that can be told things.
#![allow(dead_code)]

use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;

pub fn class(effect: Idempotency) -> Class {
    Class {
        latency_objective: 0.2,
        deadline: 0.6,
        priority_weight: 1.0,
        late_response_weight: 0.5,
        idempotency: effect,
        streams_response: false,
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        classes,
        tenants: vec![],
        zone: None,
        node_count: 1,
        node_index: None,
        discovery: Discovery::Push,
        load_reports: LoadReports::Absent,
        limits: Limits {
            max_attempts: 4,
            retry_budget_ratio: 0.2,
            max_retry_after: 0.3,
            can_cancel: true,
            can_health_check: false,
            can_hedge: false,
            idle_connection_timeout: 5.0,
        },
        rules: Rules {
            drain_grace: 0.5,
            initial_capacity: 0.3,
            slow_start_duration: 10.0,
            overload_factor: 3.0,
            overload_window: 1.0,
            max_poll_interval: 10.0,
        },
        costs: Costs::default(),
        objective: Objective {
            overall: 0.8,
            worst_class: 0.2,
            worst_tenant: 0.0,
        },
        over_quota_weight: 0.1,
        weight_per_work: true,
        has_key_affinity: false,
        has_server_weights: false,
        clock_resolution: 0.002,
    }
}

pub fn entry(server: ServerId) -> Endpoint {
    Endpoint {
        server,
        hash: u64::from(server + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        zone: 0,
        machine_type: 0,
        cell: server / 2,
        state: ServerState::Up,
        weight: 1.0,
        started_at: 0.0,
        local_balancers: 1,
    }
}

/// A balancer with its clock and what it did last.
pub struct Node {
    pub balancer: Balancer,
    pub now: Time,
    pub actions: Vec<Action>,
    next: RequestId,
}

impl Node {
    pub fn new(settings: Settings, servers: u32) -> Node {
        let balancer = Balancer::new(settings, 7, 0.0).expect("usable settings");
        let mut node = Node {
            balancer,
            now: 0.0,
            actions: vec![],
            next: 0,
        };
        node.members(UpdateKind::Cached, (0..servers).map(entry).collect());
        node
    }

    pub fn tell(&mut self, event: Event) -> &[Action] {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
        &self.actions
    }

    pub fn members(&mut self, list: UpdateKind, entries: Vec<Endpoint>) {
        self.tell(Event::EndpointUpdate {
            kind: list,
            endpoints: entries,
        });
    }

    pub fn sweep(&mut self) {
        self.tell(Event::Timer { tag: 0 });
    }

    /// A request; the server it was sent to, or `None` if it was rejected.
    pub fn request(
        &mut self,
        class: ClassId,
        key: Option<u64>,
        left: Time,
    ) -> (RequestId, Option<ServerId>) {
        let request = self.next;
        self.next += 1;
        self.tell(Event::Request {
            request,
            class,
            tenant: None,
            work_hint: Some(0.02),
            key,
            remaining: left,
        });
        (request, self.sent())
    }

    /// Where the last event's actions sent an attempt.
    pub fn sent(&self) -> Option<ServerId> {
        self.actions.iter().find_map(|a| match a {
            Action::Attempt { server, .. } => Some(*server),
            _ => None,
        })
    }

    pub fn rejected(&self) -> bool {
        self.actions
            .iter()
            .any(|a| matches!(a, Action::Reject { .. }))
    }

    pub fn failed(&self) -> bool {
        self.actions
            .iter()
            .any(|a| matches!(a, Action::Fail { .. }))
    }

    pub fn end(
        &mut self,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        latency: Time,
    ) {
        let ended = outcome == Outcome::Served;
        self.tell(Event::AttemptEnded {
            request,
            attempt,
            server,
            outcome,
            latency,
            request_ended: ended,
            load: None,
        });
    }
}
