//! Configuration of a follower: its candidates, budgets and timeouts.

use crate::link::RETRANSMIT_TIMEOUT;
use crate::peer::PeerId;
use crate::token_bucket::Budget;
use crate::Time;

/// How a process follows its upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamConfig {
    /// The preferred upstreams; one is picked at random.
    pub upstreams: Vec<PeerId>,
    /// Upstreams to follow while no preferred one is usable.
    pub fallbacks: Vec<PeerId>,
    /// Whether this process is a relay or a publisher, which also needs changes for other nodes.
    pub is_relay: bool,
    /// Limit of what is sent.
    pub send_budget: Budget,
    /// Limit of what is received; an upstream that exceeds it is left.
    pub receive_budget: Budget,
    /// Seconds to wait for the answer to an opening frame.
    pub open_timeout: Time,
    /// Seconds until the next candidate is tried while earlier attempts are still open.
    pub attempt_delay: Time,
    /// Seconds without a frame after which an upstream is left.
    pub silence_timeout: Time,
    /// Seconds without fresh data after which an upstream is left, if there is another one. The time doubles with each
    /// upstream in a row that sent no fresh data, up to [`MAX_STALE_FACTOR`] times.
    pub stale_timeout: Time,
    /// Longest time between two frames to the upstream, in seconds.
    pub keepalive_interval: Time,
    /// Longest random delay after losing an upstream, in seconds: all its children may lose it at once.
    pub reconnect_jitter: Time,
    /// Longest backoff in seconds. Half of it to all of it is waited after each attempt while every candidate has
    /// failed.
    pub max_backoff: Time,
}

/// Maximum factor on [`UpstreamConfig::stale_timeout`].
pub const MAX_STALE_FACTOR: f64 = 8.0;

/// An opening frame is sent, and once more after [`RETRANSMIT_TIMEOUT`]; the wait for each answer has this length,
/// which is several round trips between regions. A running upstream is missed only if both opening frames or both
/// answers are lost.
const OPEN_TIMEOUT: Time = 2.0 * RETRANSMIT_TIMEOUT;

/// The "Connection Attempt Delay" that RFC 8305 recommends. It exceeds a round trip between regions, so a running
/// upstream has answered before the next one is tried.
const ATTEMPT_DELAY: Time = 0.25;

/// An upstream sends a frame every 2 s ([`crate::downstream_config::DownstreamConfig::keepalive_interval`]), and once
/// more after [`RETRANSMIT_TIMEOUT`] without an acknowledgement. It is left after two of these are missing, so a node
/// that lost its relay has a new session well within the 15 s in which a change has to be applied, even after eight
/// more dead relays: `SILENCE_TIMEOUT + reconnect_jitter + 8 * ATTEMPT_DELAY = 11` s.
const SILENCE_TIMEOUT: Time = 5.0;

/// A relay has up to 1,024 children and accepts 100 new sessions a second. If none of them gets an answer, each opens a
/// session every `OPEN_TIMEOUT + 0.75 * MAX_NODE_BACKOFF = 10.25` s on average, which is no less than `1024 / 100`.
const MAX_NODE_BACKOFF: Time = 11.0;

/// Twice [`crate::downstream_config::DownstreamConfig::min_retry_after`], the longest that a rejected child is asked
/// to wait. Relays and publishers are few; their sessions stay far below the limit of a publisher.
const MAX_RELAY_BACKOFF: Time = 4.0;

impl UpstreamConfig {
    /// For a node.
    pub fn node(upstreams: Vec<PeerId>) -> UpstreamConfig {
        UpstreamConfig {
            upstreams,
            fallbacks: Vec::new(),
            is_relay: false,
            send_budget: Budget::NODE_UPLINK,
            receive_budget: Budget {
                bytes_per_second: 4.0 * Budget::NODE_DOWNLINK.bytes_per_second,
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

    /// For a relay or a publisher.
    pub fn relay(upstreams: Vec<PeerId>) -> UpstreamConfig {
        let receive_budget = Budget {
            bytes_per_second: 4.0 * Budget::CONTROL.bytes_per_second,
            burst_bytes: 4.0 * Budget::CONTROL.burst_bytes,
        };
        let node_config = UpstreamConfig::node(upstreams);
        let (jitter, backoff) = (1.0, MAX_RELAY_BACKOFF);
        UpstreamConfig {
            is_relay: true,
            send_budget: Budget::CONTROL,
            receive_budget,
            reconnect_jitter: jitter,
            max_backoff: backoff,
            ..node_config
        }
    }
}
