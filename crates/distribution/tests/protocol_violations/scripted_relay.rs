//! The relay's side of a node's session, with payloads chosen by the test.

use crate::world::payloads::subscriber;
use reelfall_distribution::close_reason::CloseReason;
use reelfall_distribution::message::{decode, encode, Head, Payload};
use reelfall_distribution::output::{Event, Output};
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::subscriber::Subscriber;
use reelfall_distribution::Time;

/// The number of a payload that is not retransmitted.
pub const UNNUMBERED: u64 = 0;
/// Time between two payloads, in seconds.
pub const SEND_INTERVAL: Time = 2.0;
const RELAYS: [PeerId; 2] = [PeerId(20), PeerId(21)];

pub struct ScriptedRelay {
    pub node: Subscriber,
    pub now: Time,
    pub session: u64,
    pub peer: PeerId,
    /// The number of the last payload that was sent with one.
    pub number: u64,
    /// The number of the last payload that was received.
    pub acknowledged: u64,
}

impl ScriptedRelay {
    /// A relay to which the node has opened a session and sent its subscription.
    pub fn new() -> ScriptedRelay {
        let mut node = subscriber(RELAYS.to_vec());
        let mut outputs = Vec::new();
        let mut now = 0.0;
        while node.following().is_none() {
            now = node.next_wakeup();
            node.poll(now, &mut outputs);
        }
        let peer = node.following().unwrap();
        let mut relay = ScriptedRelay {
            node,
            now,
            session: 0,
            peer,
            number: 0,
            acknowledged: 0,
        };
        relay.receive(&outputs);
        // The node sends two payloads: the opening of the session, and the subscription.
        for _ in 0..2 {
            relay.send(Payload::Acknowledge, UNNUMBERED);
        }
        assert_eq!(relay.acknowledged, 2);
        relay
    }

    fn receive(&mut self, outputs: &[Output]) {
        for output in outputs {
            let Output::Send { frame, .. } = output else {
                continue;
            };
            let (head, _) = decode(frame).unwrap();
            self.session = head.session;
            self.acknowledged = self.acknowledged.max(head.number);
        }
    }

    /// Sends a payload with this number, and returns the outputs of the node.
    pub fn send(&mut self, payload: Payload, number: u64) -> Vec<Output> {
        self.now += SEND_INTERVAL;
        let frame = encode(&self.head(number), &payload);
        let mut outputs = Vec::new();
        self.node.receive(self.now, self.peer, &frame, &mut outputs);
        self.node.poll(self.now, &mut outputs);
        self.receive(&outputs);
        outputs
    }

    /// Sends a payload with the next number.
    pub fn send_next(&mut self, payload: Payload) -> Vec<Output> {
        self.number += 1;
        self.send(payload, self.number)
    }

    /// The head of a payload with this number.
    pub fn head(&self, number: u64) -> Head {
        Head {
            session: self.session,
            from_child: false,
            number,
            acknowledged: self.acknowledged,
            sent_at_us: 1,
            echo: None,
        }
    }

    /// Whether the node has left the session for a violation of the protocol.
    pub fn is_left(&self, outputs: &[Output]) -> bool {
        is_left_for(outputs, CloseReason::ProtocolViolation) && self.node.following().is_none()
    }
}

pub fn is_left_for(outputs: &[Output], expected: CloseReason) -> bool {
    outputs.iter().any(
        |output| matches!(output, Output::Event(Event::Left { reason, .. }) if *reason == expected),
    )
}
