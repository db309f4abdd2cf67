//! The model that the checker explores: the initial state, the possible steps, and their effects.

use crate::message::{Message, ReportedStatus};
use crate::properties;
use crate::world::{FaultLimits, Outcome, Request, Step, World};
use crate::{ticket, DEADLINE, FIRST_INCARNATION, QUERY_INTERVAL, RETENTION};
use reelfall_gateway::forwarded::{Action, ForwardResult, ForwardedRequest};
use reelfall_gateway::store::{Admission, TicketStore};
use reelfall_gateway::Millis;
use stateright::{Model, Property};

/// The time of all steps except timers.
const NOW: Millis = 0;

/// The safeguard to disable, to show that the checker finds the error that it prevents.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disabled {
    /// No safeguard.
    Nothing,
    /// A status query does not fence the ticket.
    Fence,
    /// A later incarnation of the peer admits and reports on requests that were offered to an earlier one.
    Incarnation,
    /// The removal of a record does not raise the floor.
    Floor,
}

/// An origin that forwards requests to a peer.
pub struct Gateway {
    /// Number of requests.
    pub requests: u64,
    /// Maximum number of records at the peer.
    pub max_records: usize,
    /// Whether the origin executes a request that was never executed at the peer, or rejects it.
    pub executes_at_origin: bool,
    pub disabled: Disabled,
    pub faults: FaultLimits,
}

impl Gateway {
    fn new_store(&self, incarnation: u64) -> TicketStore<()> {
        TicketStore::new(incarnation, RETENTION, self.max_records)
    }

    /// The incarnation that the peer treats a request as offered to.
    fn effective_incarnation(&self, world: &World, offered_to: u64) -> u64 {
        if self.disabled == Disabled::Incarnation {
            world.incarnation
        } else {
            offered_to
        }
    }

    /// Performs an action that a forwarded request returned.
    fn perform(&self, world: &mut World, number: u64, action: Action<()>) {
        let request = world.request_mut(number);
        match action {
            Action::Wait => {}
            Action::Query => {
                let offered_to = request.forwarded.offered_to;
                world.send(Message::Query { number, offered_to });
            }
            Action::Finish(ForwardResult::Answered(())) => {
                request.outcomes.push(Outcome::Answered);
            }
            Action::Finish(ForwardResult::MayHaveRun) => request.outcomes.push(Outcome::MayHaveRun),
            Action::Finish(ForwardResult::NeverRan) if self.executes_at_origin => {
                request.executions_at_origin += 1;
                request.outcomes.push(Outcome::ExecutedAtOrigin);
            }
            Action::Finish(ForwardResult::NeverRan) => request.outcomes.push(Outcome::Rejected),
        }
    }

    fn deliver(&self, world: &mut World, message: &Message) {
        match message {
            Message::Offer { number, offered_to } => {
                self.deliver_offer(world, *number, *offered_to);
            }
            Message::Query { number, offered_to } => {
                self.deliver_query(world, *number, *offered_to);
            }
            Message::Status {
                number,
                reported_by,
                status,
            } => self.deliver_status(world, *number, *reported_by, status),
        }
    }

    fn deliver_offer(&self, world: &mut World, number: u64, offered_to: u64) {
        let offered_to = self.effective_incarnation(world, offered_to);
        match world.store.admit(NOW, ticket(number), offered_to) {
            Admission::Execute => world.executing.push(number),
            Admission::Reply(status) => world.send_status(number, (&status).into()),
        }
    }

    fn deliver_query(&self, world: &mut World, number: u64, offered_to: u64) {
        let store_before = world.store.clone();
        let offered_to = self.effective_incarnation(world, offered_to);
        let status = world.store.query(NOW, ticket(number), offered_to);
        if self.disabled == Disabled::Fence {
            world.store = store_before;
        }
        world.send_status(number, (&status).into());
    }

    fn deliver_status(
        &self,
        world: &mut World,
        number: u64,
        reported_by: u64,
        status: &ReportedStatus,
    ) {
        let forwarded = &mut world.request_mut(number).forwarded;
        let reported_by = if self.disabled == Disabled::Incarnation {
            forwarded.offered_to
        } else {
            reported_by
        };
        let action = forwarded.handle_status(reported_by, status.into());
        self.perform(world, number, action);
    }

    /// Fires the timer of a request.
    fn tick(&self, world: &mut World, number: u64, now: Millis) {
        let action = world.request_mut(number).forwarded.tick(now);
        self.perform(world, number, action);
    }

    fn restart(&self, world: &mut World) {
        world.remaining_faults.restarts -= 1;
        world.incarnation += 1;
        // The servers behind the peer complete the requests that they execute.
        for number in std::mem::take(&mut world.executing) {
            world.request_mut(number).executions_at_peer += 1;
        }
        world.store = self.new_store(world.incarnation);
    }

    fn expire(&self, world: &mut World) {
        world.remaining_faults.expiries -= 1;
        if self.disabled != Disabled::Floor {
            world.store.tick(RETENTION);
            return;
        }
        // Removes the records of ended requests without raising the floor.
        world.store = self.new_store(world.incarnation);
        for number in &world.executing {
            world.store.admit(NOW, ticket(*number), world.incarnation);
        }
    }
}

fn complete(world: &mut World, number: u64, is_answered: bool) {
    world.stop_executing(number);
    world.request_mut(number).executions_at_peer += 1;
    let answer = is_answered.then_some(());
    world.store.complete(NOW, ticket(number), answer);
    let status = if is_answered {
        ReportedStatus::Completed
    } else {
        ReportedStatus::Failed
    };
    world.send_status(number, status);
}

fn reject(world: &mut World, number: u64) {
    world.stop_executing(number);
    world.store.reject(NOW, ticket(number));
    world.send_status(number, ReportedStatus::NeverRan);
}

fn add_network_steps(world: &World, steps: &mut Vec<Step>) {
    for message in world.network.keys() {
        steps.push(Step::Deliver(message.clone()));
        steps.push(Step::Lose(message.clone()));
        if world.remaining_faults.duplicates > 0 {
            steps.push(Step::Duplicate(message.clone()));
        }
    }
}

fn add_origin_steps(world: &World, steps: &mut Vec<Step>) {
    for (number, request) in (0..).zip(&world.requests) {
        if request.forwarded.is_ended() {
            continue;
        }
        steps.push(Step::PassDeadline(number));
        // Until the link fails, the deadline is the only timer of a request.
        if request.forwarded.due() == Some(DEADLINE) {
            steps.push(Step::FailLink(number));
        } else if world.remaining_queries > 0 {
            steps.push(Step::RepeatQuery(number));
        }
    }
}

fn add_peer_steps(world: &World, steps: &mut Vec<Step>) {
    for &number in &world.executing {
        let complete = |is_answered| Step::Complete {
            number,
            is_answered,
        };
        steps.extend([complete(true), complete(false), Step::Reject(number)]);
    }
    if world.remaining_faults.restarts > 0 {
        steps.push(Step::Restart);
    }
    if world.remaining_faults.expiries > 0 && world.store.record_count() > 0 {
        steps.push(Step::Expire);
    }
}

impl Model for Gateway {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let request = |_| Request {
            forwarded: ForwardedRequest::new(FIRST_INCARNATION, DEADLINE, QUERY_INTERVAL),
            outcomes: vec![],
            executions_at_peer: 0,
            executions_at_origin: 0,
        };
        let offer = |number| Message::Offer {
            number,
            offered_to: FIRST_INCARNATION,
        };
        vec![World {
            requests: (0..self.requests).map(request).collect(),
            store: self.new_store(FIRST_INCARNATION),
            incarnation: FIRST_INCARNATION,
            network: (0..self.requests)
                .map(|number| (offer(number), 1))
                .collect(),
            executing: vec![],
            remaining_faults: self.faults,
            remaining_queries: 1,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        add_network_steps(world, steps);
        add_origin_steps(world, steps);
        add_peer_steps(world, steps);
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        match step {
            Step::Deliver(message) => {
                world.remove_message(&message);
                self.deliver(&mut world, &message);
            }
            Step::Lose(message) => world.remove_message(&message),
            Step::Duplicate(message) => {
                world.remaining_faults.duplicates -= 1;
                world.send(message);
            }
            Step::FailLink(number) => {
                let action = world.request_mut(number).forwarded.link_failed(NOW);
                self.perform(&mut world, number, action);
            }
            Step::RepeatQuery(number) => {
                world.remaining_queries -= 1;
                self.tick(&mut world, number, QUERY_INTERVAL);
            }
            Step::PassDeadline(number) => self.tick(&mut world, number, DEADLINE),
            Step::Complete {
                number,
                is_answered,
            } => complete(&mut world, number, is_answered),
            Step::Reject(number) => reject(&mut world, number),
            Step::Restart => self.restart(&mut world),
            Step::Expire => self.expire(&mut world),
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties::all()
    }
}
