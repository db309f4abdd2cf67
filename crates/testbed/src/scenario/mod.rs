//! Scenarios: guarantees of a node under load and faults, on loopback with stand-ins. Run by the command `scenario` and by
//! tests.

pub mod fleet;
pub mod graphql;
pub mod membership;
pub mod services;

use serde_json::{json, Map, Value};

/// Minimum share of requests that are served without injected faults or overload, in percent.
const MIN_SERVED_PERCENT: f64 = 90.0;

/// The result of a scenario.
#[derive(Debug, Default)]
pub struct Report {
    figures: Map<String, Value>,
    violations: Vec<String>,
}

impl Report {
    /// Adds a figure.
    pub fn add_figure(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.insert(name.to_owned(), value.into());
    }

    /// Checks a guarantee; if it doesn't hold, records the description that `violation` returns.
    pub fn check(&mut self, holds: bool, violation: impl FnOnce() -> String) {
        if !holds {
            self.violations.push(violation());
        }
    }

    /// Checks that a load without injected faults was served; otherwise a comparison with it is meaningless.
    pub fn check_served(&mut self, load: &str, served_percent: f64) {
        self.check(served_percent >= MIN_SERVED_PERCENT, || {
            format!("{load}: only {served_percent:.2} % served without faults or overload")
        });
    }

    /// Whether all guarantees hold.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }

    /// The guarantees that don't hold.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// The report as one line of JSON.
    pub fn to_json_line(&self, scenario: &str) -> String {
        json!({ "scenario": scenario, "pass": self.passed(), "broken": self.violations, "figures": self.figures })
            .to_string()
    }
}
