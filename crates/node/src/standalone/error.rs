//! The error of applying a plan.

use crate::net::frontend::BindError;
use crate::net::registry::RegistryAccessError;
use crate::net::service::ApplyPlanError;
use reelfall_config::model::Origin;
use thiserror::Error;

/// Why a plan can't be applied.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// A listener's address can't be bound.
    #[error("{origin}: listener `{name}`: {source}")]
    Listener {
        /// The position of the listener in the settings file.
        origin: Origin,
        /// The name of the listener.
        name: String,
        /// Why it can't be bound.
        source: BindError,
    },
    /// A registry can't be accessed.
    #[error("{origin}: {source}")]
    Registry {
        /// The position of the registry in the settings file.
        origin: Origin,
        /// What is missing for the access.
        source: RegistryAccessError,
    },
    /// A service can't be started.
    #[error(transparent)]
    Services(#[from] ApplyPlanError),
}
