//! Shared by the module tests: small settings, and a node that can be told things.
#![allow(dead_code)]

use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;

pub fn class(effect: Effect) -> Class {
    Class {
        aim: 0.2,
        deadline: 0.6,
        worth: 1.0,
        late_value: 0.5,
        effect,
        streamed: false,
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        classes,
        tenants: vec![],
        zone: None,
        replicas: 1,
        number: None,
        discovery: Discovery::Push,
        reports: Reports::Silent,
        limits: Limits {
            max_attempts: 4,
            retry_share: 0.2,
            max_retry_after: 0.3,
            cancelling: true,
            may_probe: false,
            second_copies: false,
            conn_idle: 5.0,
        },
        rules: Rules {
            drain_grace: 0.5,
            cold_from: 0.3,
            warm_after: 10.0,
            overload_factor: 3.0,
            tip_after: 1.0,
            must_ask_in: 10.0,
        },
        prices: Prices::default(),
        goal: Goal {
            overall: 0.8,
            worst_class: 0.2,
            worst_tenant: 0.0,
        },
        over_share_worth: 0.1,
        worth_by_work: true,
        warm_keys: false,
        weighted: false,
        tick: 0.002,
    }
}

pub fn entry(server: ServerId) -> Entry {
    Entry {
        server,
        hash: u64::from(server + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        zone: 0,
        kind: 0,
        cell: server / 2,
        state: ServerState::Up,
        weight: 1.0,
        ready_at: 0.0,
        sharers: 1,
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
        node.members(ListKind::Cached, (0..servers).map(entry).collect());
        node
    }

    pub fn tell(&mut self, event: Event) -> &[Action] {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
        &self.actions
    }

    pub fn members(&mut self, list: ListKind, entries: Vec<Entry>) {
        self.tell(Event::Members { list, entries });
    }

    pub fn sweep(&mut self) {
        self.tell(Event::Timer { tag: 0 });
    }

    /// A request; the server it was sent to, or `None` if it was refused.
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
            hint: Some(0.02),
            key,
            left,
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

    pub fn refused(&self) -> bool {
        self.actions
            .iter()
            .any(|a| matches!(a, Action::Refuse { .. }))
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
        let ended = outcome == Outcome::Delivered;
        self.tell(Event::Outcome {
            request,
            attempt,
            server,
            outcome,
            latency,
            ended,
            load: None,
        });
    }
}
