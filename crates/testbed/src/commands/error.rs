//! Errors of the arguments of a command.

/// An argument names nothing that the command can run.
#[derive(Debug, thiserror::Error)]
pub enum UnknownName {
    /// Not the name of a demo.
    #[error("there is no demo `{0}`: services, graphql, membership")]
    Demo(String),
    /// Not the name of a measurement.
    #[error("there is no measurement `{0}`: services, graphql, membership, fleet")]
    Measurement(String),
    /// Not the name of a scenario.
    #[error("there is no scenario `{0}`: services, graphql, membership, fleet")]
    Scenario(String),
}
