//! Model checking of bans in a cluster of three nodes: datagrams are sent, delayed, duplicated and lost in every order,
//! and a node restarts without its state. Merging, aging and the bounds of transit times are computed by the crate's
//! own code.

mod ban;
mod node;
mod state;

use node::{Contact, Node, NODES};
use state::{Datagram, State, BAN, BANNING_NODE, LIFTING_NODE};
use stateright::{Checker, Model, Property};

/// The time at which the exploration ends, in seconds.
const END: u8 = 3;
const MAX_IN_FLIGHT: usize = 1;
/// Number of steps up to which all orders of events are explored.
const MAX_DEPTH: usize = 10;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    AdvanceClock,
    Ban,
    RenewBan,
    LiftBan,
    Send { from: usize, to: usize },
    Deliver { index: usize },
    DeliverCopy { index: usize },
    Drop { index: usize },
    Restart { node: usize },
}

struct Cluster;

impl Model for Cluster {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        // Each node has received a datagram from each other node.
        let contact = Contact {
            sent_at: 0,
            received_at: 0,
        };
        vec![State {
            now: 0,
            nodes: std::array::from_fn(|_| Node {
                last_contact: [Some(contact); NODES],
                ..Node::default()
            }),
            in_flight: vec![],
            announcements: vec![],
            lifts: 0,
            has_restarted: false,
            has_reapplied_lifted_ban: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        let is_banned = |node: usize| !state.nodes[node].active_bans(state.now).is_empty();
        if state.now < END {
            steps.push(Step::AdvanceClock);
        }
        if state.announcements.is_empty() {
            steps.push(Step::Ban);
        }
        let knows_lift = state.nodes[BANNING_NODE].lifted.contains(&BAN);
        if state.announcements.len() == 1 && !knows_lift && is_banned(BANNING_NODE) {
            steps.push(Step::RenewBan);
        }
        if state.lifts == 0 && is_banned(LIFTING_NODE) {
            steps.push(Step::LiftBan);
        }
        for from in 0..NODES {
            for to in (0..NODES).filter(|to| *to != from) {
                // A datagram without bans is sent too, since it contains the sender's clock.
                let is_same = |datagram: &Datagram| {
                    datagram.from == from && datagram.to == to && datagram.sent_at == state.now
                };
                if state.in_flight.len() < MAX_IN_FLIGHT && !state.in_flight.iter().any(is_same) {
                    steps.push(Step::Send { from, to });
                }
            }
        }
        for index in 0..state.in_flight.len() {
            steps.extend([
                Step::Deliver { index },
                Step::DeliverCopy { index },
                Step::Drop { index },
            ]);
        }
        if !state.has_restarted {
            // The banning node does not restart here: it would be another incarnation, which does not own these
            // entries.
            steps.extend([Step::Restart { node: 1 }, Step::Restart { node: 2 }]);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::AdvanceClock => state.now += 1,
            Step::Ban | Step::RenewBan => state.announce_ban(),
            Step::LiftBan => state.lift_ban(),
            Step::Send { from, to } => state.send(from, to),
            Step::Deliver { index } => {
                let datagram = state.in_flight.remove(index);
                state.receive(datagram);
            }
            Step::DeliverCopy { index } => {
                let datagram = state.in_flight[index].clone();
                state.receive(datagram);
            }
            Step::Drop { index } => drop(state.in_flight.remove(index)),
            Step::Restart { node } => {
                state.has_restarted = true;
                state.nodes[node] = Node::default();
            }
        }
        let now = state.now;
        let mut nodes = state.nodes.iter();
        state.has_reapplied_lifted_ban |= nodes.any(|node| node.applies_lifted_ban(now));
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no ban is in force past its TTL", |_, state: &State| {
                state.active_bans_are_in_time()
            }),
            Property::always("no lifted ban is applied again", |_, state: &State| {
                !state.has_reapplied_lifted_ban
            }),
            Property::always(
                "the merged state does not depend on the order of the nodes",
                |_, state: &State| state.merge_is_independent_of_order(),
            ),
            Property::sometimes("a ban is known to all nodes", |_, state: &State| {
                let mut nodes = state.nodes.iter();
                nodes.all(|node| !node.active_bans(state.now).is_empty())
            }),
            Property::sometimes("a lift is known to all nodes", |_, state: &State| {
                state.nodes.iter().all(|node| node.lifted == [BAN])
            }),
            Property::sometimes(
                "a renewed ban outlives its first version",
                |_, state: &State| state.renewed_ban_outlives_first(),
            ),
        ]
    }
}

#[test]
fn ban_invariants_hold_in_every_order_of_events() {
    let checker = Cluster
        .checker()
        .threads(2)
        .target_max_depth(MAX_DEPTH)
        .spawn_bfs()
        .join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    assert!(
        checker.unique_state_count() > 10_000,
        "{} states",
        checker.unique_state_count()
    );
}
