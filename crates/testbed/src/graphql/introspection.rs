//! The introspection schema (section 4 of the specification). Called by `resolve`.

use serde_json::{json, Value};

/// The value of the field `__schema`.
pub(super) fn schema() -> Value {
    let directives = [directive("skip"), directive("include")];
    json!({ "__typename": "__Schema", "description": null, "queryType": object("Query"),
        "mutationType": object("Mutation"), "subscriptionType": null, "types": types(), "directives": directives })
}

/// The value of the field `__type`; null for an unknown name.
pub(super) fn type_named(name: &Value) -> Value {
    types()
        .into_iter()
        .find(|definition| definition["name"] == *name)
        .unwrap_or_default()
}

fn types() -> Vec<Value> {
    vec![
        query_type(),
        object_type(
            "Evaluation",
            &[
                field("flag", &[], &string()),
                field("on", &[], &boolean()),
                field("user", &[], &string()),
            ],
        ),
        mutation_type(),
        object_type(
            "Change",
            &[field("id", &[], &id()), field("done", &[], &boolean())],
        ),
        object_type(
            "User",
            &[field("id", &[], &id()), field("name", &[], &string())],
        ),
        scalar_type("String"),
        scalar_type("Boolean"),
        scalar_type("ID"),
    ]
}

fn query_type() -> Value {
    let evaluate_arguments = [argument("flag", &string()), argument("user", &string())];
    let user_arguments = [argument("id", &non_null(&id()))];
    object_type(
        "Query",
        &[
            field("evaluate", &evaluate_arguments, &object("Evaluation")),
            field("flags", &[], &list(&string())),
            field("broken", &[], &non_null(&string())),
            field("user", &user_arguments, &object("User")),
        ],
    )
}

fn mutation_type() -> Value {
    let id = argument("id", &non_null(&id()));
    let flag = argument("flag", &string());
    object_type(
        "Mutation",
        &[
            field("toggle", &[id.clone(), flag], &object("Change")),
            field("rollout", &[id], &object("Change")),
        ],
    )
}

// Type references.

fn string() -> Value {
    reference("SCALAR", "String")
}

fn boolean() -> Value {
    reference("SCALAR", "Boolean")
}

fn id() -> Value {
    reference("SCALAR", "ID")
}

fn object(name: &str) -> Value {
    reference("OBJECT", name)
}

fn reference(kind: &str, name: &str) -> Value {
    json!({ "__typename": "__Type", "kind": kind, "name": name, "ofType": null })
}

fn list(item: &Value) -> Value {
    wrapper("LIST", item)
}

fn non_null(nullable: &Value) -> Value {
    wrapper("NON_NULL", nullable)
}

fn wrapper(kind: &str, wrapped: &Value) -> Value {
    json!({ "__typename": "__Type", "kind": kind, "name": null, "ofType": wrapped })
}

// Definitions of types, fields, arguments and directives.

fn object_type(name: &str, fields: &[Value]) -> Value {
    let no_interfaces: [Value; 0] = [];
    type_definition("OBJECT", name, &json!(fields), &json!(no_interfaces))
}

fn scalar_type(name: &str) -> Value {
    type_definition("SCALAR", name, &Value::Null, &Value::Null)
}

fn type_definition(kind: &str, name: &str, fields: &Value, interfaces: &Value) -> Value {
    json!({ "__typename": "__Type", "kind": kind, "name": name, "description": null, "specifiedByURL": null,
        "fields": fields, "interfaces": interfaces, "inputFields": null,
        "enumValues": null, "possibleTypes": null, "ofType": null, "isOneOf": null })
}

fn field(name: &str, arguments: &[Value], field_type: &Value) -> Value {
    json!({ "__typename": "__Field", "name": name, "description": null, "args": arguments, "type": field_type,
        "isDeprecated": false, "deprecationReason": null })
}

fn argument(name: &str, argument_type: &Value) -> Value {
    json!({ "__typename": "__InputValue", "name": name, "description": null, "type": argument_type,
        "defaultValue": null, "isDeprecated": false, "deprecationReason": null })
}

fn directive(name: &str) -> Value {
    let condition = [argument("if", &non_null(&boolean()))];
    json!({ "__typename": "__Directive", "name": name, "description": null, "isRepeatable": false,
        "locations": ["FIELD", "FRAGMENT_SPREAD", "INLINE_FRAGMENT"], "args": condition })
}
