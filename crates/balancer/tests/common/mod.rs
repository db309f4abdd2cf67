//! Fixtures of the tests: small settings, endpoints, and a node whose clock a test controls.
#![allow(dead_code)]

use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;

pub fn class(kind: Idempotency) -> Class {
    Class {
        latency_objective: 0.2,
        deadline: 0.6,
        priority_weight: 1.0,
        late_response_weight: 0.5,
        idempotency: kind,
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

pub fn endpoint_of(server: ServerId) -> Endpoint {
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

/// A balancer with a clock, and its actions on the last event.
pub struct Node {
    pub balancer: Balancer,
    pub now: Time,
    pub actions: Vec<Action>,
    next_request: RequestId,
}

impl Node {
    pub fn new(settings: Settings, servers: u32) -> Node {
        let balancer = Balancer::new(settings, 7, 0.0).expect("valid settings");
        let mut node = Node {
            balancer,
            now: 0.0,
            actions: vec![],
            next_request: 0,
        };
        node.update_endpoints(UpdateKind::Cached, (0..servers).map(endpoint_of).collect());
        node
    }

    pub fn handle(&mut self, event: Event) -> &[Action] {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
        &self.actions
    }

    pub fn update_endpoints(&mut self, update_kind: UpdateKind, listed: Vec<Endpoint>) {
        self.handle(Event::EndpointUpdate {
            kind: update_kind,
            endpoints: listed,
        });
    }

    pub fn sweep(&mut self) {
        self.handle(Event::Timer { tag: 0 });
    }

    /// Submits a request; returns its identifier and the server of its first attempt, or `None` if it was rejected.
    pub fn request(
        &mut self,
        class: ClassId,
        key: Option<u64>,
        time_left: Time,
    ) -> (RequestId, Option<ServerId>) {
        let request = self.next_request;
        self.next_request += 1;
        self.handle(Event::Request {
            request,
            class,
            tenant: None,
            work_hint: Some(0.02),
            key,
            remaining: time_left,
        });
        (request, self.attempted_server())
    }

    /// The server of the attempt that was started on the last event, if any.
    pub fn attempted_server(&self) -> Option<ServerId> {
        self.actions.iter().find_map(|action| match action {
            Action::Attempt { server, .. } => Some(*server),
            _ => None,
        })
    }

    /// Whether a request was rejected on the last event.
    pub fn has_rejected(&self) -> bool {
        self.actions
            .iter()
            .any(|action| matches!(action, Action::Reject { .. }))
    }

    /// Whether a request failed on the last event.
    pub fn has_failed(&self) -> bool {
        self.actions
            .iter()
            .any(|action| matches!(action, Action::Fail { .. }))
    }

    /// Ends an attempt; the request is answered if the outcome is [`Outcome::Served`].
    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        latency: Time,
    ) {
        let is_answered = outcome == Outcome::Served;
        self.handle(Event::AttemptEnded {
            request,
            attempt,
            server,
            outcome,
            latency,
            request_ended: is_answered,
            load: None,
        });
    }
}
