//! Distribution of configuration from publishers over relays to nodes.
//!
//! Replicates versioned configuration without performing I/O: frames, times and the random seed are arguments; what has
//! to be sent, stored or applied is returned as values, in the order in which it has to be done.
//!
//! | module | contents |
//! | --- | --- |
//! | [`resource`] | names, versions, contents, changes, selectors |
//! | [`message`] | frames between an upstream and its children |
//! | [`frame`] | size limits of frames |
//! | [`epoch`] | the publisher's term: fencing token and known versions |
//! | [`close_reason`] | why a session ends |
//! | [`peer`] | ids of processes |
//! | [`output`] | what a state machine asks its driver to do, and the stored records |
//! | [`coverage`] | the set of versions that a holder has received |
//! | [`log`] | the latest change of each key, by version |
//! | [`link`] | one session's link: sequence, retransmission, bounds of a frame's age |
//! | [`token_bucket`], [`random`] | flow control, jitter |
//! | [`reassembly`] | bodies that arrive in chunks |
//! | [`child_subscription`], [`child`], [`downstream`], [`downstream_config`] | what children are sent, and in which order |
//! | [`replica_view`] | the view of a replica from which children are served |
//! | [`upstream`], [`upstream_config`], [`upstream_event`], [`session`], [`subscriptions`] | which upstream a process follows, and what it receives |
//! | [`report`] | reports to the publisher: acknowledgements, rejections, orphans |
//! | [`restore`] | state from stored records |
//! | [`publish`], [`history`], [`node_status`] | changes to publish, their history, what nodes reported of them |
//! | [`rollout`] | staged rollouts: policy, record, verdicts |
//! | [`publisher`], [`relay`], [`subscriber`] | the three state machines |
//!
//! # Use
//!
//! Each state machine has `receive(now, from, frame, outputs)`, `poll(now, outputs)` and `next_wakeup()`. The driver
//! calls `poll` after each call that changes something and when `next_wakeup` is due, and performs outputs in their
//! order: a [`output::Output::Persist`] has to be on disk before a later [`output::Output::Send`] is sent. Frames may
//! be lost, duplicated, delayed and reordered. A driver that was paused passes on the received frames before it polls.
//!
//! A publisher holds the lease of the settings: [`publisher::Publisher::hold_lease`] records until when, and
//! [`publisher::Publisher::publish`] publishes under the claim of that lease. A relay follows one of its `upstreams`
//! (publishers for first-tier relays, relays for the others) and serves children. A subscriber follows one of its
//! relays; on [`output::Output::Apply`] the driver answers with `accepted` or `rejected`.

mod applied;
mod candidates;
pub mod child;
pub mod child_subscription;
pub mod close_reason;
pub mod coverage;
pub mod downstream;
pub mod downstream_config;
pub mod epoch;
pub mod frame;
pub mod history;
pub mod link;
pub mod log;
pub mod message;
pub mod node_status;
pub mod output;
pub mod peer;
pub mod publish;
pub mod publisher;
pub mod random;
pub mod reassembly;
pub mod relay;
mod replica;
pub mod replica_view;
pub mod report;
pub mod resource;
pub mod restore;
pub mod rollout;
mod send_progress;
pub mod session;
mod session_attempts;
mod staleness;
pub mod subscriber;
pub mod subscriptions;
pub mod token_bucket;
pub mod upstream;
pub mod upstream_config;
pub mod upstream_event;

/// Seconds on one process's own monotonic clock; only differences matter.
pub type Time = f64;

/// Maximum relative error of the rate of a clock: in a second of true time it advances by `1 - DRIFT` to `1 + DRIFT`
/// seconds.
pub const DRIFT: f64 = 500e-6;
