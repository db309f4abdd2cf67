//! The interface between a node and its [`Balancer`](crate::Balancer): settings, events, actions, identifiers and
//! times. It contains data types only.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `settings` | what is configured: classes, tenants, limits, rules, costs |
//! | `endpoint` | the entries of the endpoint list |
//! | `event` | what a node reports to its balancer |
//! | `action` | what a balancer requests of its node |
//! | `learned` | the state that one balancer hands over to its successor |

mod action;
mod endpoint;
mod event;
mod learned;
mod settings;

pub use action::Action;
pub use endpoint::{Endpoint, ServerState, UpdateKind};
pub use event::{Event, LoadReport, Outcome};
pub use learned::{LearnedServer, LearnedState};
pub use settings::{
    Class, Costs, Discovery, Idempotency, KeyScope, Limits, LoadReports, Objective, Rules,
    Settings, Tenant,
};

/// A point in time on the node's own clock, or a duration, in seconds. Only differences between points matter.
pub type Time = f64;
/// The node's identifier of a request, never used twice in one incarnation of the node.
pub type RequestId = u32;
/// A dense identifier of a server, assigned by the node. It is reused only some time after the server was removed.
pub type ServerId = u32;
/// Index into [`Settings::classes`].
pub type ClassId = u16;
/// Index into [`Settings::tenants`].
pub type TenantId = u16;
/// A dense identifier of a zone.
pub type ZoneId = u16;
/// A dense identifier of a machine type.
pub type MachineTypeId = u16;
