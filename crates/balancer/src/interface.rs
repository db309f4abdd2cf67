//! Everything that passes between a node and its [`Balancer`](crate::Balancer): settings, events, actions, identifiers
//! and times. No logic lives here.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `settings` | what a node knows at its start: classes, tenants, limits, rules, costs |
//! | `endpoint` | servers, as the endpoint list describes them |
//! | `event` | what a node reports to its balancer |
//! | `action` | what a balancer requests of its node |
//! | `learned` | what one balancer hands over to the next |

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

/// Seconds on the node's own clock; only differences matter.
pub type Time = f64;
/// The node's identifier of a request, never used twice in one incarnation of the node.
pub type RequestId = u32;
/// A dense number for a server, assigned by the embedding node and stable for the node's lifetime.
pub type ServerId = u32;
/// Index into [`Settings::classes`].
pub type ClassId = u16;
/// Index into [`Settings::tenants`].
pub type TenantId = u16;
/// A dense number for a zone.
pub type ZoneId = u16;
/// A dense number for a machine type.
pub type MachineTypeId = u16;
