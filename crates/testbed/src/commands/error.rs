//! Errors in the arguments of a command.

/// A name in the arguments that the command doesn't know.
#[derive(Debug, thiserror::Error)]
pub enum UnknownName {
    /// Not the name of a demo.
    #[error("unknown demo `{0}`; expected services, graphql or membership")]
    Demo(String),
    /// Not the name of a measurement.
    #[error("unknown measurement `{0}`; expected services, graphql, membership or fleet")]
    Measurement(String),
    /// Not the name of a scenario.
    #[error("unknown scenario `{0}`; expected services, graphql, membership or fleet")]
    Scenario(String),
}
