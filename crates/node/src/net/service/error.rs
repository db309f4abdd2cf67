//! Why a plan can't be applied.

use crate::net::registry::RegistryAccessError;
use reelfall_balancer::settings::SettingsError;
use reelfall_config::check::GraphQlClassesError;
use thiserror::Error;

/// A service of the plan can't be started.
#[derive(Debug, Error)]
#[error("service `{service}`: {source}")]
pub struct ApplyPlanError {
    /// The name of the service.
    pub service: String,
    /// Why it can't be started.
    pub source: StartServiceError,
}

/// Why a service can't be started.
#[derive(Debug, Error)]
pub enum StartServiceError {
    /// Its registry can't be accessed.
    #[error(transparent)]
    RegistryAccess(#[from] RegistryAccessError),
    /// The settings of its pool can't be used.
    #[error(transparent)]
    PoolSettings(#[from] SettingsError),
    /// Its GraphQL settings name no valid classes.
    #[error(transparent)]
    GraphQlClasses(#[from] GraphQlClassesError),
}
