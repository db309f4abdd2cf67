//! Promises, kept or broken under load and faults. Each scenario plays on loopback with stand-ins and reports.

pub mod fleet;
pub mod graphql;
pub mod membership;
pub mod services;

use serde_json::{json, Map, Value};

/// What a scenario saw.
#[derive(Debug, Default)]
pub struct Report {
    figures: Map<String, Value>,
    broken: Vec<String>,
}

impl Report {
    /// Notes a figure.
    pub fn figure(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.insert(name.to_owned(), value.into());
    }

    /// Notes a promise, and whether it was kept.
    pub fn promise(&mut self, kept: bool, what: impl FnOnce() -> String) {
        if !kept {
            self.broken.push(what());
        }
    }

    /// All promises were kept.
    pub fn pass(&self) -> bool {
        self.broken.is_empty()
    }

    /// The promises that were broken.
    pub fn broken(&self) -> &[String] {
        &self.broken
    }

    /// The report, as one line of JSON.
    pub fn line(&self, scenario: &str) -> String {
        json!({ "scenario": scenario, "pass": self.pass(), "broken": self.broken, "figures": self.figures })
            .to_string()
    }
}
