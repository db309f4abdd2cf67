//! A GraphQL server with a small schema of flags, to run on the servers of [`crate::pool`].
//!
//! ```graphql
//! type Query {
//!   evaluate(flag: String, user: String): Evaluation  flags: [String]  broken: String!
//!   user(id: ID!): User  # what the examples of GraphQL over HTTP ask for
//! }
//! type User { id: ID  name: String }
//! type Evaluation { flag: String  on: Boolean  user: String }
//! type Mutation { toggle(id: ID!, flag: String): Change  rollout(id: ID!): Change }
//! type Change { id: ID  done: Boolean }
//! ```
//!
//! `broken` always fails, so that `data` is null. The schema can be asked for (`__schema`, `__type`). A mutation's effect is
//! counted by its `id`. Written for itself from the specification, so that it shares no reading of
//! a document with the node but the parser.

use crate::pool::{App, AppResponse, Completion};
use apollo_parser::cst::{self, Definition, Selection};
use apollo_parser::Parser;
use hyper::http::request::Parts;
use hyper::StatusCode;
use serde_json::{json, Map, Value};
use std::collections::HashMap;
use std::sync::Arc;

/// The application.
pub fn app() -> App {
    Arc::new(|head: &Parts, body: &[u8]| serve(head, body))
}

fn serve(head: &Parts, body: &[u8]) -> AppResponse {
    let request: Value = if head.method == hyper::Method::GET {
        let mut request = Map::new();
        for (name, value) in form_urlencoded::parse(head.uri.query().unwrap_or_default().as_bytes())
        {
            let value = match name.as_ref() {
                "variables" => serde_json::from_str(&value).unwrap_or_default(),
                _ => Value::String(value.into_owned()),
            };
            request.insert(name.into_owned(), value);
        }
        Value::Object(request)
    } else {
        serde_json::from_slice(body).unwrap_or_default()
    };
    let mut effects = Vec::new();
    let (status, answer) = match run(&request, &mut effects) {
        Ok(data) if data.get(FAILED).is_some() => {
            let error = json!({ "message": "broken", "path": [data[FAILED]] });
            (StatusCode::OK, json!({ "errors": [error], "data": null }))
        }
        Ok(data) => (StatusCode::OK, json!({ "data": data })),
        Err(mistake) => (
            StatusCode::BAD_REQUEST,
            json!({ "errors": [{ "message": mistake }] }),
        ),
    };
    AppResponse {
        effect_ids: effects,
        status,
        body: answer.to_string(),
        completion: Completion::AsConfigured,
    }
}

/// The key under which a field that must not be null, and is, leaves its own; no name begins with a digit.
const FAILED: &str = "0";

struct Run<'a> {
    fragments: HashMap<String, cst::SelectionSet>,
    variables: Map<String, Value>,
    effects: &'a mut Vec<String>,
}

fn run(request: &Value, effects: &mut Vec<String>) -> Result<Value, String> {
    let text = request["query"].as_str().ok_or("no query")?;
    let tree = Parser::new(text).recursion_limit(100).parse();
    if let Some(error) = tree.errors().next() {
        return Err(error.message().to_owned());
    }
    let (mut operations, mut fragments) = (Vec::new(), HashMap::new());
    for definition in tree.document().definitions() {
        match definition {
            Definition::OperationDefinition(o) => operations.push(o),
            Definition::FragmentDefinition(f) => {
                let name = f
                    .fragment_name()
                    .and_then(|n| n.name())
                    .ok_or("no name")?
                    .text()
                    .to_string();
                fragments.insert(name, f.selection_set().ok_or("no set")?);
            }
            _ => return Err("no operation".to_owned()),
        }
    }
    let named = |o: &cst::OperationDefinition| o.name().map(|n| n.text().to_string());
    let operation = match request["operationName"].as_str() {
        Some(name) => operations
            .iter()
            .find(|o| named(o).as_deref() == Some(name)),
        None if operations.len() == 1 => operations.first(),
        None => None,
    };
    let operation = operation.ok_or("no such operation")?;
    let mut variables = request["variables"]
        .as_object()
        .cloned()
        .unwrap_or_default();
    for v in operation
        .variable_definitions()
        .iter()
        .flat_map(|v| v.variable_definitions())
    {
        let Some(name) = v.variable().and_then(|v| v.name()) else {
            continue;
        };
        if let Some(default) = v.default_value().and_then(|d| d.value()) {
            variables
                .entry(name.text().to_string())
                .or_insert_with(|| value(&default, &Map::new()));
        }
        let given = variables.get(name.text().as_str()).unwrap_or(&Value::Null);
        if !v.ty().is_some_and(|ty| coerces(given, &ty)) {
            return Err(format!("variable `${}` is of another type", name.text()));
        }
    }
    let root = match operation.operation_type() {
        Some(t) if t.mutation_token().is_some() => "Mutation",
        Some(t) if t.subscription_token().is_some() => return Err("no subscriptions".to_owned()),
        _ => "Query",
    };
    let mut run = Run {
        fragments,
        variables,
        effects,
    };
    let mut data = Map::new();
    run.select(
        operation.selection_set().ok_or("no set")?,
        root,
        &Value::Null,
        &mut data,
    )?;
    Ok(Value::Object(data))
}

/// Whether a value can be given to a variable of a type (6.1.2), as far as this schema has types.
fn coerces(given: &Value, to: &cst::Type) -> bool {
    match to {
        cst::Type::NonNullType(t)
            if given.is_null() || (t.named_type().is_none() && t.list_type().is_none()) =>
        {
            false
        }
        cst::Type::NonNullType(t) => match (t.named_type(), t.list_type()) {
            (Some(named), _) => coerces(given, &cst::Type::NamedType(named)),
            (_, Some(list)) => coerces(given, &cst::Type::ListType(list)),
            _ => false,
        },
        _ if given.is_null() => true,
        cst::Type::ListType(t) => match given {
            Value::Array(items) => t.ty().is_some_and(|t| items.iter().all(|i| coerces(i, &t))),
            one => t.ty().is_some_and(|t| coerces(one, &t)),
        },
        cst::Type::NamedType(t) => match t.name().map(|n| n.text().to_string()).as_deref() {
            Some("String") => given.is_string(),
            Some("Boolean") => given.is_boolean(),
            Some("ID") => given.is_string() || given.is_i64() || given.is_u64(),
            Some("Int") => given.as_i64().is_some_and(|n| i32::try_from(n).is_ok()),
            Some("Float") => given.is_number(),
            _ => false,
        },
    }
}

fn value(of: &cst::Value, variables: &Map<String, Value>) -> Value {
    match of {
        cst::Value::Variable(v) => v
            .name()
            .and_then(|n| variables.get(n.text().as_str()).cloned())
            .unwrap_or_default(),
        cst::Value::StringValue(s) => String::from(s).into(),
        cst::Value::BooleanValue(b) => b.true_token().is_some().into(),
        cst::Value::IntValue(i) => i32::try_from(i).map_or(Value::Null, Into::into),
        cst::Value::EnumValue(e) => e.text().to_string().into(),
        _ => Value::Null,
    }
}

impl Run<'_> {
    fn kept(&self, directives: Option<cst::Directives>) -> bool {
        directives.iter().flat_map(|d| d.directives()).all(|d| {
            let name = d.name().map(|n| n.text().to_string()).unwrap_or_default();
            let argument = d
                .arguments()
                .and_then(|a| a.arguments().next())
                .and_then(|a| a.value());
            let on = argument.map(|v| value(&v, &self.variables)) == Some(Value::Bool(true));
            match name.as_str() {
                "skip" => !on,
                "include" => on,
                _ => true,
            }
        })
    }

    fn select(
        &mut self,
        set: cst::SelectionSet,
        on: &str,
        parent: &Value,
        data: &mut Map<String, Value>,
    ) -> Result<(), String> {
        for selection in set.selections() {
            match selection {
                Selection::Field(f) if self.kept(f.directives()) => {
                    let name = f.name().ok_or("no name")?.text().to_string();
                    let key = f
                        .alias()
                        .and_then(|a| a.name())
                        .map_or_else(|| name.clone(), |n| n.text().to_string());
                    let mut arguments = Map::new();
                    for a in f.arguments().iter().flat_map(|a| a.arguments()) {
                        if let (Some(name), Some(given)) = (a.name(), a.value()) {
                            arguments
                                .insert(name.text().to_string(), value(&given, &self.variables));
                        }
                    }
                    if (on, name.as_str()) == ("Query", "broken") {
                        data.insert(FAILED.to_owned(), key.into());
                        continue;
                    }
                    // One field asked for twice is one field (6.3.2): it is resolved once.
                    let found = match data.get(&key) {
                        Some(_) if on == "Mutation" => continue,
                        _ => self.resolve(on, &name, &arguments, parent)?,
                    };
                    let found = self.complete(f.selection_set(), &name, found)?;
                    match (data.get_mut(&key), found) {
                        (Some(Value::Object(old)), Value::Object(more)) => old.extend(more),
                        (_, found) => drop(data.insert(key, found)),
                    }
                }
                Selection::InlineFragment(i) if self.kept(i.directives()) => {
                    if let Some(set) = i.selection_set() {
                        self.select(set, on, parent, data)?;
                    }
                }
                Selection::FragmentSpread(s) if self.kept(s.directives()) => {
                    let name = s
                        .fragment_name()
                        .and_then(|n| n.name())
                        .ok_or("no name")?
                        .text()
                        .to_string();
                    let set = self
                        .fragments
                        .get(&name)
                        .cloned()
                        .ok_or("no such fragment")?;
                    self.select(set, on, parent, data)?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// What is selected of a value, of each item of a list.
    fn complete(
        &mut self,
        set: Option<cst::SelectionSet>,
        name: &str,
        found: Value,
    ) -> Result<Value, String> {
        match (set, found) {
            (Some(set), Value::Array(items)) => {
                let items = items
                    .into_iter()
                    .map(|i| self.complete(Some(set.clone()), name, i));
                items.collect::<Result<_, _>>().map(Value::Array)
            }
            (Some(set), found @ Value::Object(_)) => {
                let kind = found["__typename"].as_str().unwrap_or_default().to_owned();
                let mut inner = Map::new();
                self.select(set, &kind, &found, &mut inner)?;
                Ok(Value::Object(inner))
            }
            (None, Value::Object(_)) => Err(format!("`{name}` needs a selection")),
            (_, found) => Ok(found),
        }
    }

    fn resolve(
        &mut self,
        on: &str,
        field: &str,
        arguments: &Map<String, Value>,
        parent: &Value,
    ) -> Result<Value, String> {
        let argument = |name: &str| arguments.get(name).cloned().unwrap_or_default();
        Ok(match (on, field) {
            (_, "__typename") => on.into(),
            ("Query", "evaluate") => {
                json!({ "__typename": "Evaluation", "flag": argument("flag"), "on": true, "user": argument("user") })
            }
            ("Query", "user") => {
                json!({ "__typename": "User", "id": argument("id"), "name": "Ada" })
            }
            ("Query", "__schema") => schema(),
            ("Query", "__type") => {
                let named = |t: &&Value| t["name"] == argument("name");
                schema()["types"]
                    .as_array()
                    .and_then(|t| t.iter().find(named))
                    .cloned()
                    .unwrap_or_default()
            }
            ("Query", "flags") => json!(["dark-mode", "new-checkout"]),
            ("Mutation", "toggle" | "rollout") => {
                let id = argument("id").as_str().ok_or("an id is needed")?.to_owned();
                self.effects.push(id.clone());
                json!({ "__typename": "Change", "id": id, "done": true })
            }
            (_, field) => parent
                .get(field)
                .cloned()
                .ok_or_else(|| format!("no field `{field}` on `{on}`"))?,
        })
    }
}

// ---- the schema, as it is asked for (section 4) ----

fn named(kind: &str, name: &str) -> Value {
    json!({ "__typename": "__Type", "kind": kind, "name": name, "ofType": null })
}

fn wrapped(kind: &str, of: &Value) -> Value {
    json!({ "__typename": "__Type", "kind": kind, "name": null, "ofType": of })
}

fn argument(name: &str, of: &Value) -> Value {
    json!({ "__typename": "__InputValue", "name": name, "description": null, "type": of, "defaultValue": null,
        "isDeprecated": false, "deprecationReason": null })
}

fn field(name: &str, arguments: &[Value], of: &Value) -> Value {
    json!({ "__typename": "__Field", "name": name, "description": null, "args": arguments, "type": of,
        "isDeprecated": false, "deprecationReason": null })
}

fn type_of(kind: &str, name: &str, fields: &[Value]) -> Value {
    let object = kind == "OBJECT";
    json!({ "__typename": "__Type", "kind": kind, "name": name, "description": null, "specifiedByURL": null,
        "fields": object.then_some(fields), "interfaces": object.then_some(Vec::<Value>::new()), "inputFields": null,
        "enumValues": null, "possibleTypes": null, "ofType": null, "isOneOf": null })
}

fn schema() -> Value {
    let (text, on, id) = (
        named("SCALAR", "String"),
        named("SCALAR", "Boolean"),
        named("SCALAR", "ID"),
    );
    let (must, must_id) = (wrapped("NON_NULL", &text), wrapped("NON_NULL", &id));
    let (flag, user, must_be) = (
        argument("flag", &text),
        argument("user", &text),
        argument("id", &must_id),
    );
    let change = named("OBJECT", "Change");
    let types = [
        type_of(
            "OBJECT",
            "Query",
            &[
                field(
                    "evaluate",
                    &[flag.clone(), user],
                    &named("OBJECT", "Evaluation"),
                ),
                field("flags", &[], &wrapped("LIST", &text)),
                field("broken", &[], &must),
                field(
                    "user",
                    std::slice::from_ref(&must_be),
                    &named("OBJECT", "User"),
                ),
            ],
        ),
        type_of(
            "OBJECT",
            "Evaluation",
            &[
                field("flag", &[], &text),
                field("on", &[], &on),
                field("user", &[], &text),
            ],
        ),
        type_of(
            "OBJECT",
            "Mutation",
            &[
                field("toggle", &[must_be.clone(), flag], &change),
                field("rollout", &[must_be], &change),
            ],
        ),
        type_of(
            "OBJECT",
            "Change",
            &[field("id", &[], &id), field("done", &[], &on)],
        ),
        type_of(
            "OBJECT",
            "User",
            &[field("id", &[], &id), field("name", &[], &text)],
        ),
        type_of("SCALAR", "String", &[]),
        type_of("SCALAR", "Boolean", &[]),
        type_of("SCALAR", "ID", &[]),
    ];
    let root = |name: &str| named("OBJECT", name);
    let condition = [argument("if", &wrapped("NON_NULL", &on))];
    let directive = |name: &str| {
        json!({ "__typename": "__Directive", "name": name, "description": null, "isRepeatable": false,
            "locations": ["FIELD", "FRAGMENT_SPREAD", "INLINE_FRAGMENT"], "args": condition })
    };
    json!({ "__typename": "__Schema", "description": null, "queryType": root("Query"), "mutationType": root("Mutation"),
        "subscriptionType": null, "types": types, "directives": [directive("skip"), directive("include")] })
}

/// The settings file of a node in front of such servers; `more` goes into the service.
pub fn settings(pool: &crate::pool::Pool, more: &str) -> String {
    format!(
        "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n\n[[service]]\nname = \"graphql\"\n{more}\n\n\
         [service.graphql]\nquery = {{ evaluate = \"evaluate\" }}\n\
         mutation = {{ toggle = \"toggle\", rollout = \"rollout\" }}\n\
         other_query = \"evaluate\"\nother_mutation = \"rollout\"\n\n\
         [[service.class]]\nname = \"evaluate\"\nrepeat = \"safe\"\naim = \"200ms\"\ndeadline = \"2s\"\n\n\
         [[service.class]]\nname = \"toggle\"\nrepeat = \"unsafe\"\naim = \"200ms\"\ndeadline = \"2s\"\n\n\
         [[service.class]]\nname = \"rollout\"\nrepeat = \"unsafe\"\naim = \"200ms\"\ndeadline = \"2s\"\n\n\
         [[service.route]]\npath = \"/graphql\"\n\n{}",
        pool.server_settings()
    )
}
