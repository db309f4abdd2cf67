//! Whom a process may follow, and for how long it bears with an upstream that is of no use.

use crate::bucket::Budget;
use crate::peer::PeerId;
use crate::Time;

/// How upstreams are followed.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowRules {
    /// Those to follow; one is drawn.
    pub upstreams: Vec<PeerId>,
    /// Those to follow while none of the others can be.
    pub fallbacks: Vec<PeerId>,
    /// Whether changes for other nodes are needed, too.
    pub relay: bool,
    /// What is sent.
    pub budget: Budget,
    /// What is taken in; who sends more is left.
    pub inflow: Budget,
    /// An upstream that was not heard for so long is left, in seconds.
    pub silence: Time,
    /// An upstream that has brought nothing new for so long is left if there is another one, in seconds.
    pub stale: Time,
    /// An upstream hears something at least so often, in seconds.
    pub keepalive: Time,
    /// The first rest is drawn up to this, in seconds; after each failure, up to twice as much.
    pub spread: Time,
    /// The longest rest, in seconds.
    pub rest_most: Time,
}

impl FollowRules {
    /// For a node.
    pub fn node(upstreams: Vec<PeerId>) -> FollowRules {
        FollowRules {
            upstreams,
            fallbacks: Vec::new(),
            relay: false,
            budget: Budget::UP,
            inflow: Budget { rate: 4.0 * Budget::DOWN.rate, burst: 100_000.0 },
            silence: 6.0,
            stale: 60.0,
            keepalive: 5.0,
            spread: 4.0,
            rest_most: 60.0,
        }
    }

    /// For a relay or an author.
    pub fn relay(upstreams: Vec<PeerId>) -> FollowRules {
        let inflow = Budget { rate: 4.0 * Budget::CONTROL.rate, burst: 4.0 * Budget::CONTROL.burst };
        let rules = FollowRules::node(upstreams);
        FollowRules { relay: true, budget: Budget::CONTROL, inflow, spread: 1.0, ..rules }
    }
}
