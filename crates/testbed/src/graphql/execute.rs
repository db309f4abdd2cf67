//! Executes an operation: selection sets, fragments and directives. Called for each request to the application.

use super::document::{fragment_name, Document};
use super::error::GraphQlError;
use super::resolve::{resolve, MUTATION, QUERY};
use super::variables::{coerce_variables, evaluate, evaluate_arguments};
use apollo_parser::cst::{self, Selection};
use serde_json::{Map, Value};
use std::collections::HashMap;

/// The only non-null field of `Query`; it always fails.
const BROKEN_FIELD: &str = "broken";

/// The result of an operation.
pub(super) struct ExecutedData {
    /// The selected fields.
    pub(super) data: Map<String, Value>,
    /// Response key of a failed non-null field. If set, `data` in the response is null.
    pub(super) failed_field: Option<String>,
}

/// Executes a request. Adds the ids of its mutations to `effect_ids`, even if a later field fails.
pub(super) fn execute(
    request: &Value,
    effect_ids: &mut Vec<String>,
) -> Result<ExecutedData, GraphQlError> {
    let text = request["query"]
        .as_str()
        .ok_or(GraphQlError::MissingQuery)?;
    let document = Document::parse(text)?;
    let operation = document.operation(request["operationName"].as_str())?;
    let variables = request["variables"].as_object().cloned();
    let variables = coerce_variables(operation, variables.unwrap_or_default())?;
    let root_type = root_type(operation)?;
    let selections = operation
        .selection_set()
        .ok_or(GraphQlError::MissingSelectionSet)?;
    let mut executor = Executor {
        fragments: &document.fragments,
        variables,
        effect_ids,
        failed_field: None,
    };
    let root = Parent {
        type_name: root_type,
        value: &Value::Null,
    };
    let mut data = Map::new();
    executor.select(selections, &root, &mut data)?;
    Ok(ExecutedData {
        data,
        failed_field: executor.failed_field,
    })
}

fn root_type(operation: &cst::OperationDefinition) -> Result<&'static str, GraphQlError> {
    match operation.operation_type() {
        Some(kind) if kind.mutation_token().is_some() => Ok(MUTATION),
        Some(kind) if kind.subscription_token().is_some() => Err(GraphQlError::Subscription),
        _ => Ok(QUERY),
    }
}

/// The object whose fields are being selected.
struct Parent<'a> {
    type_name: &'a str,
    value: &'a Value,
}

struct Executor<'a> {
    fragments: &'a HashMap<String, cst::SelectionSet>,
    variables: Map<String, Value>,
    effect_ids: &'a mut Vec<String>,
    failed_field: Option<String>,
}

impl Executor<'_> {
    /// Adds the selected fields of an object to `data`.
    fn select(
        &mut self,
        selections: cst::SelectionSet,
        parent: &Parent,
        data: &mut Map<String, Value>,
    ) -> Result<(), GraphQlError> {
        for selection in selections.selections() {
            match selection {
                Selection::Field(field) if self.is_included(field.directives()) => {
                    self.select_field(&field, parent, data)?;
                }
                Selection::InlineFragment(fragment) if self.is_included(fragment.directives()) => {
                    if let Some(selections) = fragment.selection_set() {
                        self.select(selections, parent, data)?;
                    }
                }
                Selection::FragmentSpread(spread) if self.is_included(spread.directives()) => {
                    let name = fragment_name(spread.fragment_name())?;
                    let selections = self.fragments.get(&name).cloned();
                    let selections = selections.ok_or(GraphQlError::UnknownFragment)?;
                    self.select(selections, parent, data)?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Whether the directives `skip` and `include` admit a selection.
    fn is_included(&self, directives: Option<cst::Directives>) -> bool {
        directives
            .iter()
            .flat_map(|directives| directives.directives())
            .all(|directive| self.allows(&directive))
    }

    fn allows(&self, directive: &cst::Directive) -> bool {
        let condition = directive
            .arguments()
            .and_then(|arguments| arguments.arguments().next())
            .and_then(|argument| argument.value())
            .map(|value| evaluate(&value, &self.variables));
        let is_true = condition == Some(Value::Bool(true));
        let name = directive.name().map(|name| name.text().to_string());
        match name.as_deref() {
            Some("skip") => !is_true,
            Some("include") => is_true,
            _ => true,
        }
    }

    fn select_field(
        &mut self,
        field: &cst::Field,
        parent: &Parent,
        data: &mut Map<String, Value>,
    ) -> Result<(), GraphQlError> {
        let name = field.name().ok_or(GraphQlError::MissingName)?;
        let name = name.text().to_string();
        let alias = field.alias().and_then(|alias| alias.name());
        let key = alias.map_or_else(|| name.clone(), |alias| alias.text().to_string());
        let arguments = evaluate_arguments(field, &self.variables);
        if parent.type_name == QUERY && name == BROKEN_FIELD {
            self.failed_field = Some(key);
            return Ok(());
        }
        // Fields with the same response key are merged (section 6.3.2), so a mutation takes effect only once.
        if parent.type_name == MUTATION && data.contains_key(&key) {
            return Ok(());
        }
        let value = resolve(
            parent.type_name,
            &name,
            &arguments,
            parent.value,
            self.effect_ids,
        )?;
        let value = self.complete(field.selection_set(), &name, value)?;
        merge_field(data, key, value);
        Ok(())
    }

    /// Selects the fields of an object, or of each item of a list; returns other values unchanged.
    fn complete(
        &mut self,
        selections: Option<cst::SelectionSet>,
        field: &str,
        value: Value,
    ) -> Result<Value, GraphQlError> {
        match (selections, value) {
            (Some(selections), Value::Array(items)) => items
                .into_iter()
                .map(|item| self.complete(Some(selections.clone()), field, item))
                .collect::<Result<_, _>>()
                .map(Value::Array),
            (Some(selections), value @ Value::Object(_)) => {
                let parent = Parent {
                    type_name: value["__typename"].as_str().unwrap_or_default(),
                    value: &value,
                };
                let mut fields = Map::new();
                self.select(selections, &parent, &mut fields)?;
                Ok(Value::Object(fields))
            }
            (None, Value::Object(_)) => Err(GraphQlError::MissingSelection {
                field: field.to_owned(),
            }),
            (_, value) => Ok(value),
        }
    }
}

fn merge_field(data: &mut Map<String, Value>, key: String, value: Value) {
    match (data.get_mut(&key), value) {
        (Some(Value::Object(existing)), Value::Object(fields)) => existing.extend(fields),
        (_, value) => {
            data.insert(key, value);
        }
    }
}
