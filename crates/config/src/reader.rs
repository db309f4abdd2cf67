//! Reads TOML into the model.
//!
//! The keys of the file are a published format and keep their names (`aim`, `worth`, `tries`, `cold`, `member`, ...); the
//! model speaks the field's terms (`latency_objective`, `priority_weight`, `attempts`, ...). [`tables`] and [`fleet`]
//! hold the tables under their keys, and [`mapping`] and [`fleet`] are the only places where a key becomes a field
//! of the model.
//!
//! | module | content |
//! | --- | --- |
//! | [`sections`] | splits a text into documents that are parsed one by one |
//! | [`document`] | parses one of them |
//! | [`lines`] | finds the line of the file for an offset in a document |
//! | [`tables`] | the tables of a file, each field named as its key |
//! | [`mapping`] | converts these tables to the model |
//! | [`fleet`] | tables of fleet and management, with their conversion |
//! | [`values`] | single values with their units and bounds |

mod document;
mod fleet;
mod lines;
mod mapping;
mod sections;
mod tables;
mod values;

use crate::model::{ConfigError, ConfigErrors, Located, Model, Service};
use document::Document;
use lines::Lines;
use sections::Sections;
use std::slice;
use std::sync::Arc;
use tables::{ProcessTable, ServiceTable};
use toml::Spanned;

/// Parses the text of a settings file.
///
/// # Errors
/// The first error of syntax or of a single value, first outside of the services and then service by service: later
/// ones may only be its effects. If there is none, every service whose source of servers is missing or ambiguous.
pub fn parse_toml(file: &str, text: &str) -> Result<Model, ConfigErrors> {
    let file: Arc<str> = file.into();
    let sections = Sections::of(text);
    let main_document = Document::of(&file, text, &sections.rest);
    let tables = main_document.read()?;
    let lines = main_document.lines();
    let mut services = ServiceCollector::default();
    services.services.reserve(sections.services.len());
    services.add(lines, tables.service);
    for section in &sections.services {
        let document = Document::of(&file, text, slice::from_ref(section));
        services.add(document.lines(), document.read()?.service);
    }
    let process = match tables.process {
        Some(process) => lines.located(process, |_, table| mapping::process(table)),
        None => Located {
            value: mapping::process(ProcessTable::default()),
            origin: lines.file(),
        },
    };
    let zone = process.zone.clone();
    let services = services.finish()?;
    Ok(Model {
        origin: lines.file(),
        process,
        management: tables
            .management
            .map(|management| lines.located(management, |_, table| table.into_model())),
        fleet: tables
            .fleet
            .map(|fleet| lines.located(fleet, |_, table| table.into_model(zone))),
        listeners: lines.all(tables.listener, |_, table| mapping::listener(table)),
        registries: lines.all(tables.registry, mapping::registry),
        services,
    })
}

/// Collects the services of all documents of a file, and the errors of those that can't be converted.
#[derive(Default)]
struct ServiceCollector {
    services: Vec<Located<Service>>,
    errors: Vec<ConfigError>,
}

impl ServiceCollector {
    fn add(&mut self, lines: &Lines, tables: Vec<Spanned<ServiceTable>>) {
        for table in tables {
            let Located { value, origin } = lines.located(table, mapping::service);
            match value {
                Ok(value) => self.services.push(Located { value, origin }),
                Err(error) => self.errors.push(ConfigError {
                    origin,
                    message: error.to_string(),
                }),
            }
        }
    }

    fn finish(self) -> Result<Vec<Located<Service>>, ConfigErrors> {
        if self.errors.is_empty() {
            Ok(self.services)
        } else {
            Err(ConfigErrors(self.errors))
        }
    }
}
