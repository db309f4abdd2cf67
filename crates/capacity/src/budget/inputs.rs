//! The figures that formulas depend on, with their provenance. The model takes its costs from them.

use super::error::Error;
use super::json;
use super::markdown;
use super::provenance::Provenance;
use super::units::plain;
use serde::Deserialize;
use std::path::Path;

/// The supported format of the inputs' JSON.
pub const SCHEMA: u32 = 1;

/// A named figure with its unit and provenance.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Input {
    /// Name by which formulas refer to the figure.
    pub name: String,
    /// The figure.
    pub value: f64,
    /// Unit of the value, in words.
    pub unit: String,
    /// Whether it was measured, derived or assumed.
    #[serde(rename = "kind")]
    pub provenance: Provenance,
    /// Description of the figure and of the sizes at which it was measured.
    #[serde(rename = "about")]
    pub description: String,
    /// The command that prints it, if there is one.
    pub command: Option<String>,
    /// The commit that was measured.
    pub commit: Option<String>,
}

impl Input {
    /// Renders the command and the commit that produced the figure.
    fn origin(&self) -> String {
        match (&self.command, &self.commit) {
            (Some(command), Some(commit)) => format!("`{command}`, {commit}"),
            (Some(command), None) => format!("`{command}`"),
            (None, Some(commit)) => format!("by hand at {commit}; the command was not kept"),
            (None, None) => String::new(),
        }
    }

    fn cells(&self) -> Vec<String> {
        vec![
            format!("`{}`", self.name),
            format!("{} {}", plain(self.value), self.unit),
            self.provenance.label().to_owned(),
            self.description.clone(),
            self.origin(),
        ]
    }
}

/// The contents of the inputs file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inputs {
    /// Format version; [`SCHEMA`] is the only supported one.
    pub schema: u32,
    /// The figures, in the order of the page.
    pub inputs: Vec<Input>,
}

impl Inputs {
    /// Reads the inputs from a JSON file.
    ///
    /// # Errors
    /// If the file can't be read or has an unsupported format.
    pub fn read(path: &Path) -> Result<Inputs, Error> {
        let inputs: Inputs = json::read(path)?;
        json::check_schema(path, inputs.schema, SCHEMA)?;
        Ok(inputs)
    }

    /// Returns the value of the figure of this name.
    ///
    /// # Errors
    /// If there is no figure of that name.
    pub fn value(&self, name: &'static str) -> Result<f64, Error> {
        let input = self.inputs.iter().find(|input| input.name == name);
        input
            .map(|input| input.value)
            .ok_or(Error::MissingInput(name))
    }

    /// Renders the figures as a table.
    pub fn table(&self) -> String {
        let header = ["input", "value", "kind", "what it is", "command, commit"];
        let rows: Vec<_> = self.inputs.iter().map(Input::cells).collect();
        markdown::table(&header, &rows)
    }
}
