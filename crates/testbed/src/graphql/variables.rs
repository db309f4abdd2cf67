//! Coercion of variables and evaluation of arguments. Called by `execute`.

use super::error::GraphQlError;
use apollo_parser::cst;
use serde_json::{Map, Value};

/// Adds the defaults to the variables of an operation; fails if a variable does not have its declared type.
pub(super) fn coerce_variables(
    operation: &cst::OperationDefinition,
    mut variables: Map<String, Value>,
) -> Result<Map<String, Value>, GraphQlError> {
    let definitions = operation
        .variable_definitions()
        .into_iter()
        .flat_map(|definitions| definitions.variable_definitions());
    for definition in definitions {
        let Some(name) = definition.variable().and_then(|variable| variable.name()) else {
            continue;
        };
        let name = name.text().to_string();
        if let Some(default) = definition.default_value().and_then(|value| value.value()) {
            variables
                .entry(name.clone())
                .or_insert_with(|| evaluate(&default, &Map::new()));
        }
        let value = variables.get(&name).unwrap_or(&Value::Null);
        if !definition.ty().is_some_and(|ty| has_type(value, &ty)) {
            return Err(GraphQlError::VariableType { name });
        }
    }
    Ok(variables)
}

/// Whether a value can be coerced to the type of a variable (section 6.1.2). Only types of this schema are supported.
fn has_type(value: &Value, ty: &cst::Type) -> bool {
    match ty {
        cst::Type::NonNullType(_) if value.is_null() => false,
        cst::Type::NonNullType(inner) => match (inner.named_type(), inner.list_type()) {
            (Some(named), _) => has_type(value, &cst::Type::NamedType(named)),
            (None, Some(list)) => has_type(value, &cst::Type::ListType(list)),
            (None, None) => false,
        },
        _ if value.is_null() => true,
        cst::Type::ListType(list) => {
            let Some(item_type) = list.ty() else {
                return false;
            };
            match value {
                Value::Array(items) => items.iter().all(|item| has_type(item, &item_type)),
                single => has_type(single, &item_type),
            }
        }
        cst::Type::NamedType(named) => {
            let name = named.name().map(|name| name.text().to_string());
            is_scalar(value, &name.unwrap_or_default())
        }
    }
}

fn is_scalar(value: &Value, type_name: &str) -> bool {
    match type_name {
        "String" => value.is_string(),
        "Boolean" => value.is_boolean(),
        "ID" => value.is_string() || value.is_i64() || value.is_u64(),
        "Int" => value
            .as_i64()
            .is_some_and(|number| i32::try_from(number).is_ok()),
        "Float" => value.is_number(),
        _ => false,
    }
}

/// Evaluates the arguments of a field.
pub(super) fn evaluate_arguments(
    field: &cst::Field,
    variables: &Map<String, Value>,
) -> Map<String, Value> {
    let arguments = field
        .arguments()
        .into_iter()
        .flat_map(|arguments| arguments.arguments());
    let mut values = Map::new();
    for argument in arguments {
        if let (Some(name), Some(value)) = (argument.name(), argument.value()) {
            values.insert(name.text().to_string(), evaluate(&value, variables));
        }
    }
    values
}

/// Evaluates a literal or a variable. Floats, lists and objects, which this schema doesn't use, evaluate to null.
pub(super) fn evaluate(value: &cst::Value, variables: &Map<String, Value>) -> Value {
    match value {
        cst::Value::Variable(variable) => variable
            .name()
            .and_then(|name| variables.get(name.text().as_str()).cloned())
            .unwrap_or_default(),
        cst::Value::StringValue(text) => String::from(text).into(),
        cst::Value::BooleanValue(boolean) => boolean.true_token().is_some().into(),
        cst::Value::IntValue(integer) => i32::try_from(integer).map_or(Value::Null, Into::into),
        cst::Value::EnumValue(variant) => variant.text().to_string().into(),
        _ => Value::Null,
    }
}
