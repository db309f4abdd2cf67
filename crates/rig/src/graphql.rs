//! A GraphQL server with a small schema of flags, to run on the servers of [`crate::pool`].
//!
//! ```graphql
//! type Query { evaluate(flag: String, user: String): Evaluation  flags: [String] }
//! type Evaluation { flag: String  on: Boolean  user: String }
//! type Mutation { toggle(id: ID!, flag: String): Change  rollout(id: ID!): Change }
//! type Change { id: ID  done: Boolean }
//! ```
//!
//! A mutation's effect is counted by its `id`. Written for itself from the specification, so that it shares no reading of
//! a document with the node but the parser.

use crate::pool::{App, Done};
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

fn serve(head: &Parts, body: &[u8]) -> Done {
    let request: Value = if head.method == hyper::Method::GET {
        let mut request = Map::new();
        for (name, value) in form_urlencoded::parse(head.uri.query().unwrap_or_default().as_bytes()) {
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
        Ok(data) => (StatusCode::OK, json!({ "data": data })),
        Err(mistake) => (StatusCode::BAD_REQUEST, json!({ "errors": [{ "message": mistake }] })),
    };
    Done { effects, status, body: answer.to_string() }
}

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
                let name = f.fragment_name().and_then(|n| n.name()).ok_or("no name")?.text().to_string();
                fragments.insert(name, f.selection_set().ok_or("no set")?);
            }
            _ => return Err("no operation".to_owned()),
        }
    }
    let named = |o: &cst::OperationDefinition| o.name().map(|n| n.text().to_string());
    let operation = match request["operationName"].as_str() {
        Some(name) => operations.iter().find(|o| named(o).as_deref() == Some(name)),
        None if operations.len() == 1 => operations.first(),
        None => None,
    };
    let operation = operation.ok_or("no such operation")?;
    let mut variables = request["variables"].as_object().cloned().unwrap_or_default();
    for v in operation.variable_definitions().iter().flat_map(|v| v.variable_definitions()) {
        let Some(name) = v.variable().and_then(|v| v.name()) else { continue };
        if let Some(default) = v.default_value().and_then(|d| d.value()) {
            variables.entry(name.text().to_string()).or_insert_with(|| value(&default, &Map::new()));
        }
    }
    let root = match operation.operation_type() {
        Some(t) if t.mutation_token().is_some() => "Mutation",
        Some(t) if t.subscription_token().is_some() => return Err("no subscriptions".to_owned()),
        _ => "Query",
    };
    let mut run = Run { fragments, variables, effects };
    let mut data = Map::new();
    run.select(operation.selection_set().ok_or("no set")?, root, &Value::Null, &mut data)?;
    Ok(Value::Object(data))
}

fn value(of: &cst::Value, variables: &Map<String, Value>) -> Value {
    match of {
        cst::Value::Variable(v) => {
            v.name().and_then(|n| variables.get(n.text().as_str()).cloned()).unwrap_or_default()
        }
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
            let argument = d.arguments().and_then(|a| a.arguments().next()).and_then(|a| a.value());
            let on = argument.map(|v| value(&v, &self.variables)) == Some(Value::Bool(true));
            match name.as_str() {
                "skip" => !on,
                "include" => on,
                _ => true,
            }
        })
    }

    fn select(
        &mut self, set: cst::SelectionSet, on: &str, parent: &Value, data: &mut Map<String, Value>,
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
                            arguments.insert(name.text().to_string(), value(&given, &self.variables));
                        }
                    }
                    let found = self.resolve(on, &name, &arguments, parent)?;
                    let found = match (f.selection_set(), found) {
                        (Some(set), found @ Value::Object(_)) => {
                            let kind = found["__typename"].as_str().unwrap_or_default().to_owned();
                            let mut inner = Map::new();
                            self.select(set, &kind, &found, &mut inner)?;
                            Value::Object(inner)
                        }
                        (None, Value::Object(_)) => return Err(format!("`{name}` needs a selection")),
                        (_, found) => found,
                    };
                    data.insert(key, found);
                }
                Selection::InlineFragment(i) if self.kept(i.directives()) => {
                    if let Some(set) = i.selection_set() {
                        self.select(set, on, parent, data)?;
                    }
                }
                Selection::FragmentSpread(s) if self.kept(s.directives()) => {
                    let name = s.fragment_name().and_then(|n| n.name()).ok_or("no name")?.text().to_string();
                    let set = self.fragments.get(&name).cloned().ok_or("no such fragment")?;
                    self.select(set, on, parent, data)?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn resolve(
        &mut self, on: &str, field: &str, arguments: &Map<String, Value>, parent: &Value,
    ) -> Result<Value, String> {
        let argument = |name: &str| arguments.get(name).cloned().unwrap_or_default();
        Ok(match (on, field) {
            (_, "__typename") => on.into(),
            ("Query", "evaluate") => {
                json!({ "__typename": "Evaluation", "flag": argument("flag"), "on": true, "user": argument("user") })
            }
            ("Query", "flags") => json!(["dark-mode", "new-checkout"]),
            ("Mutation", "toggle" | "rollout") => {
                let id = argument("id").as_str().ok_or("an id is needed")?.to_owned();
                self.effects.push(id.clone());
                json!({ "__typename": "Change", "id": id, "done": true })
            }
            (_, field) => {
                parent.get(field).cloned().ok_or_else(|| format!("no field `{field}` on `{on}`"))?
            }
        })
    }
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
        pool.listed()
    )
}
