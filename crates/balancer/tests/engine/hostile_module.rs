//! The engine under a decision module whose actions are generated at random.

use crate::generators::{runner, schedule, HostileAction, Schedule, Step, SERVERS};
use crate::rule_checker::{ObservedRequest, RuleChecker, MAX_ATTEMPTS};
use crate::{classes, endpoint, Commands, TestHost};
use reelfall_balancer::engine::{Arrival, Command, DecisionModule, Engine};
use reelfall_balancer::interface::{
    Action, Event, Outcome, RequestId, ServerId, ServerState, Time, UpdateKind,
};
use std::vec::IntoIter;

const CASES: u32 = 400;

/// Returns the next generated action on each event. Most of them are applied to the request of the event, as that is
/// most likely to break a rule.
struct HostileModule(IntoIter<HostileAction>);

impl DecisionModule for HostileModule {
    fn handle(&mut self, _: Time, event: Event, actions: &mut Vec<Action>) {
        let Some(hostile) = self.0.next() else {
            return;
        };
        let mut action = hostile.action;
        if let (true, Some(request)) = (hostile.targets_event_request, request_of(&event)) {
            set_request(&mut action, request);
        }
        actions.push(action);
    }
}

fn request_of(event: &Event) -> Option<RequestId> {
    match event {
        Event::Request { request, .. }
        | Event::AttemptEnded { request, .. }
        | Event::ClientGone { request } => Some(*request),
        _ => None,
    }
}

fn set_request(action: &mut Action, target: RequestId) {
    match action {
        Action::Attempt { request, .. }
        | Action::Reject { request, .. }
        | Action::Fail { request }
        | Action::Cancel { request, .. } => *request = target,
        _ => {}
    }
}

/// An engine with the hostile module, and the checker of its commands.
struct Trial {
    engine: Engine<TestHost, HostileModule>,
    checker: RuleChecker,
}

impl Trial {
    fn new(actions: Vec<HostileAction>) -> Trial {
        let module = HostileModule(actions.into_iter());
        let mut trial = Trial {
            engine: Engine::new(module, &classes(), MAX_ATTEMPTS),
            checker: RuleChecker::default(),
        };
        let mut commands = Commands::new();
        let servers = (0..SERVERS)
            .map(|server| endpoint(server, ServerState::Up))
            .collect();
        trial
            .engine
            .update_endpoints(0.0, UpdateKind::Snapshot, servers, &mut commands);
        trial.checker.listed = (0..SERVERS)
            .map(|server| (server, ServerState::Up))
            .collect();
        trial.checker.check(commands);
        trial
    }

    fn apply(&mut self, step: Step) {
        let mut commands = Commands::new();
        match step {
            Step::Submit { class, remaining } => self.submit(class, remaining, &mut commands),
            Step::EndAttempt { index, outcome } => {
                let candidates = self.checker.requests_in_flight();
                if let Some(request) = select(&candidates, index) {
                    self.end_attempt(request, outcome, &mut commands);
                }
            }
            Step::Abandon { index } => {
                let candidates: Vec<u32> = self.checker.requests.keys().copied().collect();
                if let Some(request) = select(&candidates, index) {
                    self.abandon(request, &mut commands);
                }
            }
            Step::UpdateEndpoint {
                server,
                state,
                is_snapshot,
            } => self.update_endpoint(server, state, is_snapshot, &mut commands),
            Step::Timer => self.engine.handle_timer(self.checker.now, 0, &mut commands),
        }
        self.checker.check(commands);
    }

    fn submit(&mut self, class: u16, remaining: Time, commands: &mut Commands) {
        let now = self.checker.now;
        let request = self.checker.requests.len() as u32;
        let deadline = now + remaining;
        let observed = ObservedRequest::new(class, deadline);
        self.checker.requests.insert(request, observed);
        let arrival = Arrival {
            class,
            tenant: None,
            work_hint: None,
            key: None,
            deadline,
            time_after_upload: None,
        };
        assert_eq!(
            self.engine.submit(now, request, request, arrival, commands),
            request
        );
    }

    fn update_endpoint(
        &mut self,
        server: ServerId,
        state: ServerState,
        is_snapshot: bool,
        commands: &mut Commands,
    ) {
        let listed = &mut self.checker.listed;
        if is_snapshot {
            listed.clear();
        }
        match state {
            ServerState::Removed => listed.remove(&server),
            _ => listed.insert(server, state),
        };
        let kind = if is_snapshot {
            UpdateKind::Snapshot
        } else {
            UpdateKind::Delta
        };
        let endpoints = vec![endpoint(server, state)];
        self.engine
            .update_endpoints(self.checker.now, kind, endpoints, commands);
        assert_eq!(
            self.engine.address(server).is_some(),
            state == ServerState::Up,
            "a draining or removed server has an address"
        );
    }

    fn abandon(&mut self, request: u32, commands: &mut Commands) {
        let unanswered = self
            .checker
            .requests
            .get_mut(&request)
            .filter(|observed| observed.answers == 0);
        if let Some(observed) = unanswered {
            observed.is_abandoned = true;
        }
        self.engine.abandon(self.checker.now, request, commands);
    }

    fn end_attempt(&mut self, request: u32, outcome: Outcome, commands: &mut Commands) {
        let now = self.checker.now;
        let observed = self
            .checker
            .requests
            .get_mut(&request)
            .expect("an open request");
        let Some(attempt) = observed.attempt_in_flight.take() else {
            return;
        };
        if !outcome.never_ran() {
            observed.record_execution();
        }
        let answer = (outcome == Outcome::Served).then_some("done");
        self.engine
            .end_attempt(now, request, attempt, outcome, answer, commands);
        let is_sent_again = commands
            .iter()
            .any(|command| matches!(command, Command::Send { .. }));
        if !is_sent_again {
            // A second end of the same attempt changes nothing.
            let commands_before = commands.len();
            self.engine
                .end_attempt(now, request, attempt, Outcome::Rejected, None, commands);
            assert_eq!(commands.len(), commands_before, "an attempt ended twice");
        }
    }

    /// Disconnects every client, ends every attempt and checks that no request remains open.
    fn finish(&mut self) {
        for request in 0..self.checker.requests.len() as u32 {
            let mut commands = Commands::new();
            self.abandon(request, &mut commands);
            self.checker.check(commands);
        }
        while let Some(request) = self.checker.requests_in_flight().first().copied() {
            let mut commands = Commands::new();
            self.end_attempt(request, Outcome::Error, &mut commands);
            self.checker.check(commands);
        }
        assert_eq!(self.engine.open_requests(), 0, "a request remains open");
    }
}

fn select(candidates: &[u32], index: usize) -> Option<u32> {
    candidates.get(index % candidates.len().max(1)).copied()
}

#[test]
fn engine_rules_hold_under_any_decision_module() {
    runner(CASES)
        .run(&schedule(), |Schedule { steps, actions }| {
            let mut trial = Trial::new(actions);
            for timed in steps {
                trial.checker.now += timed.delay;
                trial.apply(timed.step);
            }
            trial.finish();
            Ok(())
        })
        .unwrap();
}
