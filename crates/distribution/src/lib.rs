//! Distribution of configuration from authors over relays to nodes.
//!
//! No I/O: frames, moments and the seed of chance are arguments; what is to be sent, stored or applied comes back as
//! values, in the order in which it is to be done.
//!
//! | module | what belongs there |
//! | --- | --- |
//! | [`resource`] | names, versions, bodies with their hashes, changes, selectors |
//! | [`message`] | frames between an upstream and its children |
//! | [`frame`] | size limits of frames |
//! | [`epoch`] | the author's term: fencing token and known versions |
//! | [`session_end`] | why a session ends |
//! | [`peer`] | numbers of processes |
//! | [`output`] | what a machine asks its driver to do, and what is stored |
//! | [`coverage`] | which versions a holder has been told of |
//! | [`log`] | the latest change of each resource, in order of versions |
//! | [`link`] | one session with one peer: order, loss, repetition, proofs of age |
//! | [`token_bucket`], [`random`] | the budget of a link, spreads of time |
//! | [`reassembly`] | bodies that take several frames |
//! | [`child_subscription`], [`child`], [`downstream`] | what a relay sends its children, and in which order |
//! | [`upstream_config`], [`session`], [`upstream`] | whom a process follows, when it leaves, when it returns |
//! | [`report`] | what is told upwards: standings, refusals, orphans |
//! | [`restore`] | what was persisted, read back |
//! | [`publish`], [`history`], [`node_status`] | what an author writes, takes back, and hears of it |
//! | [`rollout`] | staged rollouts: policy, record, verdicts |
//! | [`author`], [`relay`], [`subscriber`] | the three machines |
//!
//! # Use
//!
//! Each machine has `receive(now, from, frame, outputs)`, `poll(now, outputs)` and `next_wakeup()`. The driver calls
//! `poll` after each call that changes something and when `next_wakeup` is due, and performs outputs in their order: a
//! [`output::Output::Persist`] is on the disk before a later [`output::Output::Send`] leaves. Frames may be lost,
//! repeated, delayed and overtaken. A driver that stood still reads what has come before it polls.
//!
//! An author holds the lease of the settings: [`author::Author::hold_lease`] tells it until when, and
//! [`author::Author::publish`] writes by that lease's claim. A relay follows one of its `upstreams` (authors for the
//! first relays, relays for the others) and serves children. A subscriber follows one of its relays; on
//! [`output::Output::Apply`] the driver answers with `accepted` or `rejected`.

mod applied;
pub mod author;
mod candidates;
pub mod child;
pub mod child_subscription;
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
pub mod session_end;
pub mod subscriber;
pub mod subscriptions;
pub mod token_bucket;
pub mod upstream;
pub mod upstream_config;
pub mod upstream_event;

/// Seconds on one process's own monotonic clock; only differences matter.
pub type Time = f64;

/// Clocks run between `1 - DRIFT` and `1 + DRIFT` of true time.
pub const DRIFT: f64 = 500e-6;
