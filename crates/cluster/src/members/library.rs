//! The interface to the SWIM library: the actions that it requests, its events, and the conversion of its members.

use super::MemberEvent;
use crate::node::Node;
use crate::wire::{MemberState, MemberUpdate};
use foca::{Member, Notification, Runtime, State, Timer};
use std::collections::VecDeque;
use std::time::Duration;

/// A timer that the library has requested.
pub(super) struct RequestedTimer {
    pub(super) timer: Timer<Node>,
    pub(super) after: Duration,
}

/// A message of the membership protocol (SWIM) to send, as the `swim` part of a datagram.
pub struct SwimDatagram {
    /// The node to send it to.
    pub to: Node,
    /// The message, as encoded by the library.
    pub payload: Vec<u8>,
}

/// The library's requests and events that have not been processed yet.
#[derive(Default)]
pub(super) struct LibraryOutput {
    pub(super) datagrams: VecDeque<SwimDatagram>,
    pub(super) timers: Vec<RequestedTimer>,
    pub(super) events: Vec<LibraryEvent>,
    pub(super) failed_probes: u32,
    pub(super) swim_incarnation: u16,
}

/// A change that the library has reported.
pub(super) struct LibraryEvent {
    pub(super) event: MemberEvent,
    /// The later incarnation that replaces the one that is reported as down. It becomes a member if its predecessor was
    /// one.
    pub(super) successor: Option<Node>,
}

impl LibraryOutput {
    fn push_event(&mut self, event: MemberEvent) {
        self.events.push(LibraryEvent {
            event,
            successor: None,
        });
    }
}

impl Runtime<Node> for LibraryOutput {
    fn notify(&mut self, notification: Notification<'_, Node>) {
        match notification {
            Notification::MemberUp(node) => self.push_event(MemberEvent::Up(node.clone())),
            Notification::MemberDown(node) => self.push_event(MemberEvent::Down(node.clone())),
            Notification::Rename(old, new) => self.events.push(LibraryEvent {
                event: MemberEvent::Down(old.clone()),
                successor: Some(new.clone()),
            }),
            Notification::Rejoin(node) => self.push_event(MemberEvent::Rejoined(node.incarnation)),
            Notification::ProbeFailed(..) => self.failed_probes += 1,
            Notification::DataSent(header) => self.swim_incarnation = header.src_incarnation,
            Notification::Active | Notification::Idle | Notification::Defunct => {}
            Notification::DataReceived(_) => {}
        }
    }

    fn send_to(&mut self, to: Node, data: &[u8]) {
        self.datagrams.push_back(SwimDatagram {
            to,
            payload: data.to_vec(),
        });
    }

    fn submit_after(&mut self, timer: Timer<Node>, after: Duration) {
        self.timers.push(RequestedTimer { timer, after });
    }
}

/// Converts a member of the library to an update for a datagram.
pub(super) fn to_update(member: &Member<Node>) -> MemberUpdate {
    let state = match member.state() {
        State::Alive => MemberState::Alive,
        State::Suspect => MemberState::Suspected,
        State::Down => MemberState::Dead,
    };
    MemberUpdate {
        node: member.id().clone(),
        swim_incarnation: member.incarnation(),
        state,
    }
}

/// Converts an update from a datagram to a member of the library.
pub(super) fn to_member(update: &MemberUpdate) -> Member<Node> {
    let state = match update.state {
        MemberState::Alive => State::Alive,
        MemberState::Suspected => State::Suspect,
        MemberState::Dead => State::Down,
    };
    Member::new(update.node.clone(), update.swim_incarnation, state)
}
