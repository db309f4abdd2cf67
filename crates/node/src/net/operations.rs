//! A GraphQL service's settings, and what they make of a request: the operations that go to servers.

use super::message::Waiter;
use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use reelfall_balancer::interface::{ClassId, Time};
use reelfall_graphql::class::Classes;
use reelfall_graphql::decode::Params;
use reelfall_graphql::document::{operation, Kind, Operation};
use reelfall_graphql::persisted::Persisted;
use reelfall_graphql::{Fault, FaultKind, Limits};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// How a service takes GraphQL.
pub struct GraphQl {
    pub classes: Classes,
    pub limits: Limits,
    /// What a field is as work, in seconds on a standard core.
    pub field_work: Time,
    /// How many reads of a batch run at once.
    pub side_by_side: usize,
    /// Documents known by their hash; they outlive a reload.
    pub persisted: Rc<RefCell<Persisted>>,
}

/// One operation, ready to be sent.
pub struct Ready {
    pub class: ClassId,
    pub operation: Rc<Operation>,
    pub method: Method,
    pub path: PathAndQuery,
    pub body: Bytes,
}

/// What all entries of a request have from its head.
pub struct Head {
    pub headers: HeaderMap,
    pub path: PathAndQuery,
    pub get: bool,
    /// The client waits so long, if it says so.
    pub left: Option<Time>,
    pub taken: Instant,
    /// Who waits for the answer.
    pub waiter: Rc<dyn Waiter>,
}

impl GraphQl {
    /// Finds what a request runs and how it goes to a server. `raw` is its text, where it came as a body.
    pub fn ready(&self, params: &Params, raw: Option<Bytes>, head: &Head) -> Result<Ready, Fault> {
        let hash = params.persisted()?;
        let text = self
            .persisted
            .borrow_mut()
            .resolve(params.query.as_deref(), hash)?;
        let name = params.operation_name.as_deref();
        let operation = operation(&text, name, &params.variables, &self.limits)?;
        if head.get && operation.kind == Kind::Mutation {
            return Err(Fault::new(
                FaultKind::Method,
                "a mutation by GET: whoever stands between may repeat it",
            ));
        }
        if hash.is_some() && params.query.is_some() {
            self.persisted.borrow_mut().keep(&text, &self.limits);
        }
        let class = self.classes.of(&operation);
        let operation = Rc::new(operation);
        let path = head.path.clone();
        // As it came, unless the server would have to know a hash that was told to this node.
        let (method, path, body) = match (params.query.is_some(), raw) {
            (true, Some(raw)) => (Method::POST, path, raw),
            (true, None) => (Method::GET, path, Bytes::new()),
            (false, _) => {
                let path = path
                    .path()
                    .parse()
                    .map_err(|_| Fault::new(FaultKind::Request, "no path"))?;
                (Method::POST, path, written(&text, params))
            }
        };
        Ok(Ready {
            class,
            operation,
            method,
            path,
            body,
        })
    }
}

fn written(text: &str, params: &Params) -> Bytes {
    let mut body = json!({ "query": text, "variables": params.variables });
    if let (Some(name), Some(body)) = (&params.operation_name, body.as_object_mut()) {
        body.insert("operationName".to_owned(), Value::String(name.clone()));
    }
    Bytes::from(body.to_string())
}
