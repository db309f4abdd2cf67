//! Reading JSON files of a known schema. The inputs and the reports of scale runs are read through it.

use super::error::Error;
use crate::scale::report::{Report, SCHEMA as REPORT_SCHEMA};
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

/// Reads a JSON file.
///
/// # Errors
/// If the file can't be read or parsed.
pub(super) fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_slice(&text).map_err(|source| Error::Json {
        path: path.to_owned(),
        source,
    })
}

/// Checks the schema version that a file states.
///
/// # Errors
/// If the version is not the supported one.
pub(super) fn check_schema(path: &Path, found: u32, supported: u32) -> Result<(), Error> {
    if found == supported {
        return Ok(());
    }
    Err(Error::Schema {
        path: path.to_owned(),
        found,
        supported,
    })
}

/// Reads a report of scale runs.
///
/// # Errors
/// If the report can't be read or has an unsupported format.
pub(super) fn read_report(path: &Path) -> Result<Report, Error> {
    let report: Report = read(path)?;
    check_schema(path, report.schema, REPORT_SCHEMA)?;
    Ok(report)
}

/// Returns the JSON files of a folder, sorted by path; empty if the folder can't be read.
pub(super) fn files(folder: &Path) -> Vec<PathBuf> {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return Vec::new();
    };
    let mut files: Vec<_> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .collect();
    files.retain(|path| {
        path.extension()
            .is_some_and(|extension| extension == "json")
    });
    files.sort();
    files
}
