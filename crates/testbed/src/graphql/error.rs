//! Request errors. Their texts are sent in the `errors` of the response.

/// The reason why a request can't be executed.
#[derive(Debug, thiserror::Error)]
pub(super) enum GraphQlError {
    #[error("no query")]
    MissingQuery,
    #[error("{message}")]
    Syntax { message: String },
    #[error("no name")]
    MissingName,
    #[error("no set")]
    MissingSelectionSet,
    #[error("no operation")]
    NotExecutable,
    #[error("no such operation")]
    UnknownOperation,
    #[error("no subscriptions")]
    Subscription,
    #[error("variable `${name}` is of another type")]
    VariableType { name: String },
    #[error("no such fragment")]
    UnknownFragment,
    #[error("`{field}` needs a selection")]
    MissingSelection { field: String },
    #[error("an id is needed")]
    MissingId,
    #[error("no field `{field}` on `{type_name}`")]
    UnknownField { field: String, type_name: String },
}
