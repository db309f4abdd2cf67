//! Whom a process may follow, and for how long it bears with an upstream that is of no use.

use crate::link::RETRANSMIT_TIMEOUT;
use crate::peer::PeerId;
use crate::token_bucket::Budget;
use crate::Time;

/// How upstreams are followed.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamConfig {
    /// Those to follow; one is drawn.
    pub upstreams: Vec<PeerId>,
    /// Those to follow while none of the others can be.
    pub fallbacks: Vec<PeerId>,
    /// Whether changes for other nodes are needed, too.
    pub is_relay: bool,
    /// What is sent.
    pub send_budget: Budget,
    /// What is taken in; who sends more is left.
    pub receive_budget: Budget,
    /// An upstream that has not answered the beginning of a session for so long is left, in seconds.
    pub open_timeout: Time,
    /// While nobody has answered, the next candidate is asked after so long, in seconds; those before are still waited for.
    pub attempt_delay: Time,
    /// An upstream that was not heard for so long is left, in seconds.
    pub silence_timeout: Time,
    /// An upstream that has brought nothing new for so long is left if there is another one, in seconds; after each one
    /// in a row that brought nothing new at all, the next is borne with for twice as long, up to [`MAX_STALE_FACTOR`] times.
    pub stale_timeout: Time,
    /// An upstream hears something at least so often, in seconds.
    pub keepalive_interval: Time,
    /// The rest after an upstream that was heard is drawn up to this, in seconds: all its children may leave it at once.
    pub reconnect_jitter: Time,
    /// The longest rest, in seconds. Between half of it and all of it is rested after each attempt while all candidates
    /// have been tried and none was heard.
    pub max_backoff: Time,
}

/// How many times [`UpstreamConfig::stale_timeout`] an upstream is borne with at most.
pub const MAX_STALE_FACTOR: f64 = 8.0;

/// A beginning is sent at once and again after [`RETRANSMIT_TIMEOUT`], and each is waited for that long, several round trips
/// between regions. Only if both or both answers are lost is an upstream that runs taken for one that doesn't.
const OPEN_TIMEOUT: Time = 2.0 * RETRANSMIT_TIMEOUT;

/// The "Connection Attempt Delay" that RFC 8305 recommends. It is longer than a round trip between regions, so an upstream
/// that runs has answered before the next is asked, and few sessions are begun in vain.
const ATTEMPT_DELAY: Time = 0.25;

/// An upstream says something every 2 s ([`crate::downstream::DownstreamConfig::keepalive_interval`]) and once more after
/// [`RETRANSMIT_TIMEOUT`] if it was not heard. After two of these that did not come it is left, so that a node whose relay was
/// lost has a session elsewhere well within the 15 s in which a change is in force, also after eight more relays that are
/// dead: `SILENCE_TIMEOUT + spread + 8 * ATTEMPT_DELAY = 11` s.
const SILENCE_TIMEOUT: Time = 5.0;

/// A relay has up to 1,024 children and takes 100 new sessions a second. If all of them look for it in vain, each begins
/// a session every `OPEN_TIMEOUT + 0.75 * MAX_NODE_BACKOFF = 10.25` s at the mean, which is no less than `1024 / 100`.
const MAX_NODE_BACKOFF: Time = 11.0;

/// The longest rest that a relay or an author asks of whom it refuses ([`crate::downstream::DownstreamConfig::min_retry_after`], twice).
/// Relays and authors are few; their sessions come nowhere near what an author takes in a second.
const MAX_RELAY_BACKOFF: Time = 4.0;

impl UpstreamConfig {
    /// For a node.
    pub fn node(upstreams: Vec<PeerId>) -> UpstreamConfig {
        UpstreamConfig {
            upstreams,
            fallbacks: Vec::new(),
            is_relay: false,
            send_budget: Budget::UP,
            receive_budget: Budget {
                bytes_per_second: 4.0 * Budget::DOWN.bytes_per_second,
                burst_bytes: 100_000.0,
            },
            open_timeout: OPEN_TIMEOUT,
            attempt_delay: ATTEMPT_DELAY,
            silence_timeout: SILENCE_TIMEOUT,
            stale_timeout: 60.0,
            keepalive_interval: 5.0,
            reconnect_jitter: 4.0,
            max_backoff: MAX_NODE_BACKOFF,
        }
    }

    /// For a relay or an author.
    pub fn relay(upstreams: Vec<PeerId>) -> UpstreamConfig {
        let receive_budget = Budget {
            bytes_per_second: 4.0 * Budget::CONTROL.bytes_per_second,
            burst_bytes: 4.0 * Budget::CONTROL.burst_bytes,
        };
        let rules = UpstreamConfig::node(upstreams);
        let (spread, rest_most) = (1.0, MAX_RELAY_BACKOFF);
        UpstreamConfig {
            is_relay: true,
            send_budget: Budget::CONTROL,
            receive_budget,
            reconnect_jitter: spread,
            max_backoff: rest_most,
            ..rules
        }
    }
}
