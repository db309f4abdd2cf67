//! Parses a TOML file into a model.
//!
//! The keys of the file are a published format and keep their names (`aim`, `worth`, `tries`, `cold`, `member`, ...); the
//! model uses the usual terms (`latency_objective`, `priority_weight`, `attempts`, ...). The tables in [`tables`] and
//! [`fleet`] have fields with the names of their keys, and only [`mapping`] and [`fleet`] convert them to the model.
//!
//! | module | content |
//! | --- | --- |
//! | [`sections`] | splits the text of a file into sections that can be parsed one by one |
//! | [`document`] | parses some sections as one TOML document |
//! | [`lines`] | maps offsets in a document to lines of the file |
//! | [`tables`] | the tables of a file; each field has the name of its key |
//! | [`mapping`] | converts these tables to the model |
//! | [`fleet`] | the tables `[fleet]` and `[management]`, and their conversion to the model |
//! | [`values`] | parses single values with their units and bounds |

mod document;
mod fleet;
mod lines;
mod mapping;
mod sections;
mod tables;
mod values;

use crate::model::{ConfigError, ConfigErrors, Located, Model, Service};
use document::Document;
use lines::LineIndex;
use sections::Sections;
use std::slice;
use std::sync::Arc;
use tables::{ProcessTable, ServiceTable};
use toml::Spanned;

/// Parses the text of a settings file.
///
/// # Errors
/// The first syntax error or invalid value, because later errors may only follow from it; the parts outside of services
/// are parsed first, then the services in their order. If there is none: an error for each service whose list source
/// is missing or ambiguous.
pub fn parse_toml(file: &str, text: &str) -> Result<Model, ConfigErrors> {
    let file: Arc<str> = file.into();
    let sections = Sections::split(text);
    let main_document = Document::from_sections(&file, text, &sections.main);
    let tables = main_document.parse()?;
    let lines = main_document.lines();
    let mut services = ServiceCollector::default();
    services.services.reserve(sections.services.len());
    services.add(lines, tables.service);
    for section in &sections.services {
        let document = Document::from_sections(&file, text, slice::from_ref(section));
        services.add(document.lines(), document.parse()?.service);
    }
    let process = match tables.process {
        Some(process) => lines.located(process, |_, table| mapping::process(table)),
        None => Located {
            value: mapping::process(ProcessTable::default()),
            origin: lines.file_origin(),
        },
    };
    let zone = process.zone.clone();
    let services = services.finish()?;
    Ok(Model {
        origin: lines.file_origin(),
        process,
        management: tables
            .management
            .map(|management| lines.located(management, |_, table| table.into_model())),
        fleet: tables
            .fleet
            .map(|fleet| lines.located(fleet, |_, table| table.into_model(zone))),
        listeners: lines.located_all(tables.listener, |_, table| mapping::listener(table)),
        registries: lines.located_all(tables.registry, mapping::registry),
        services,
    })
}

/// Collects the services of all documents of a file, and the errors of services that can't be converted.
#[derive(Default)]
struct ServiceCollector {
    services: Vec<Located<Service>>,
    errors: Vec<ConfigError>,
}

impl ServiceCollector {
    fn add(&mut self, lines: &LineIndex, tables: Vec<Spanned<ServiceTable>>) {
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
