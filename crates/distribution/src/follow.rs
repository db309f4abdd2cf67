//! Whom a process may follow, and for how long it bears with an upstream that is of no use.

use crate::bucket::Budget;
use crate::link::REPEAT_AFTER;
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
    /// An upstream that has not answered the beginning of a session for so long is left, in seconds.
    pub answer: Time,
    /// While nobody has answered, the next candidate is asked after so long, in seconds; those before are still waited for.
    pub attempt_delay: Time,
    /// An upstream that was not heard for so long is left, in seconds.
    pub silence: Time,
    /// An upstream that has brought nothing new for so long is left if there is another one, in seconds; after each one
    /// in a row that brought nothing new at all, the next is borne with for twice as long, up to [`PATIENCE_MOST`] times.
    pub stale: Time,
    /// An upstream hears something at least so often, in seconds.
    pub keepalive: Time,
    /// The rest after an upstream that was heard is drawn up to this, in seconds: all its children may leave it at once.
    pub spread: Time,
    /// The longest rest, in seconds. Between half of it and all of it is rested after each attempt while all candidates
    /// have been tried and none was heard.
    pub rest_most: Time,
}

/// How many times [`FollowRules::stale`] an upstream is borne with at most.
pub const PATIENCE_MOST: f64 = 8.0;

/// A beginning is sent at once and again after [`REPEAT_AFTER`], and each is waited for that long, several round trips
/// between regions. Only if both or both answers are lost is an upstream that runs taken for one that doesn't.
const ANSWER_WITHIN: Time = 2.0 * REPEAT_AFTER;

/// The "Connection Attempt Delay" that RFC 8305 recommends. It is longer than a round trip between regions, so an upstream
/// that runs has answered before the next is asked, and few sessions are begun in vain.
const ATTEMPT_DELAY: Time = 0.25;

/// An upstream says something every 2 s ([`crate::downstream::ServeRules::keepalive`]) and once more after
/// [`REPEAT_AFTER`] if it was not heard. After two of these that did not come it is left, so that a node whose relay was
/// lost has a session elsewhere well within the 15 s in which a change is in force, also after eight more relays that are
/// dead: `SILENCE + spread + 8 * ATTEMPT_DELAY = 11` s.
const SILENCE: Time = 5.0;

/// A relay has up to 1,024 children and takes 100 new sessions a second. If all of them look for it in vain, each begins
/// a session every `ANSWER_WITHIN + 0.75 * NODE_REST_MOST = 10.25` s at the mean, which is no less than `1024 / 100`.
const NODE_REST_MOST: Time = 11.0;

/// The longest rest that a relay or an author asks of whom it refuses ([`crate::downstream::ServeRules::rest`], twice).
/// Relays and authors are few; their sessions come nowhere near what an author takes in a second.
const RELAY_REST_MOST: Time = 4.0;

impl FollowRules {
    /// For a node.
    pub fn node(upstreams: Vec<PeerId>) -> FollowRules {
        FollowRules {
            upstreams,
            fallbacks: Vec::new(),
            relay: false,
            budget: Budget::UP,
            inflow: Budget {
                rate: 4.0 * Budget::DOWN.rate,
                burst: 100_000.0,
            },
            answer: ANSWER_WITHIN,
            attempt_delay: ATTEMPT_DELAY,
            silence: SILENCE,
            stale: 60.0,
            keepalive: 5.0,
            spread: 4.0,
            rest_most: NODE_REST_MOST,
        }
    }

    /// For a relay or an author.
    pub fn relay(upstreams: Vec<PeerId>) -> FollowRules {
        let inflow = Budget {
            rate: 4.0 * Budget::CONTROL.rate,
            burst: 4.0 * Budget::CONTROL.burst,
        };
        let rules = FollowRules::node(upstreams);
        let (spread, rest_most) = (1.0, RELAY_REST_MOST);
        FollowRules {
            relay: true,
            budget: Budget::CONTROL,
            inflow,
            spread,
            rest_most,
            ..rules
        }
    }
}
