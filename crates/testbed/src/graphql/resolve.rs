//! Resolves the fields of the schema. Called by `execute`.

use super::error::GraphQlError;
use super::introspection;
use serde_json::{json, Map, Value};

/// Name of the root type of queries.
pub(super) const QUERY: &str = "Query";
/// Name of the root type of mutations.
pub(super) const MUTATION: &str = "Mutation";

/// Returns the value of a field of an object. Adds the id of a mutation to `effect_ids`.
pub(super) fn resolve(
    type_name: &str,
    field: &str,
    arguments: &Map<String, Value>,
    parent: &Value,
    effect_ids: &mut Vec<String>,
) -> Result<Value, GraphQlError> {
    let argument = |name: &str| arguments.get(name).cloned().unwrap_or_default();
    let value = match (type_name, field) {
        (_, "__typename") => type_name.into(),
        (QUERY, "evaluate") => {
            json!({ "__typename": "Evaluation", "flag": argument("flag"), "on": true, "user": argument("user") })
        }
        (QUERY, "user") => json!({ "__typename": "User", "id": argument("id"), "name": "Ada" }),
        (QUERY, "__schema") => introspection::schema(),
        (QUERY, "__type") => introspection::type_named(&argument("name")),
        (QUERY, "flags") => json!(["dark-mode", "new-checkout"]),
        (MUTATION, "toggle" | "rollout") => {
            let id = argument("id");
            let id = id.as_str().ok_or(GraphQlError::MissingId)?;
            effect_ids.push(id.to_owned());
            json!({ "__typename": "Change", "id": id, "done": true })
        }
        (_, field) => parent
            .get(field)
            .cloned()
            .ok_or_else(|| GraphQlError::UnknownField {
                field: field.to_owned(),
                type_name: type_name.to_owned(),
            })?,
    };
    Ok(value)
}
