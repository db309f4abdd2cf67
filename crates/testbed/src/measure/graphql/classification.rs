//! The time to read a request's body, select its operation and classify it, by size. Called by `run` of the parent module.

use super::round_to_tenth;
use crate::measure::error::MeasureError;
use crate::Result;
use reelfall_graphql::class::{ClassId, ClassInfo, Classes, Mapping};
use reelfall_graphql::decode::{self, DecodedRequest};
use reelfall_graphql::document::parse_operation;
use reelfall_graphql::Limits;
use serde_json::{json, Map, Value};
use std::hint::black_box;
use std::time::Instant;

/// A document of a measured size.
struct DocumentSize {
    name: &'static str,
    fields: usize,
}

const DOCUMENT_SIZES: [DocumentSize; 5] = [
    DocumentSize::new("small", 0),
    DocumentSize::new("1KiB", 30),
    DocumentSize::new("8KiB", 270),
    DocumentSize::new("64KiB", 2_200),
    DocumentSize::new("512KiB", 17_500),
];
/// The number of bytes that are classified in one series.
const BYTES_PER_SERIES: usize = 2_000_000;
const MIN_REPETITIONS: usize = 3;
/// Number of series. The fastest one counts, because other processes slow down the rest.
const SERIES: usize = 7;
/// Limits that the largest document stays below.
const COST_LIMIT: usize = 100_000;
const TOKEN_LIMIT: usize = 1_000_000;
const DOCUMENT_BYTE_LIMIT: usize = 4 << 20;
const READ_CLASS: ClassId = 0;
const WRITE_CLASS: ClassId = 1;
const NS_PER_SECOND: f64 = 1e9;
const US_PER_SECOND: f64 = 1e6;

impl DocumentSize {
    const fn new(name: &'static str, fields: usize) -> DocumentSize {
        DocumentSize { name, fields }
    }

    /// The body of a request whose document has this number of fields.
    fn request_body(&self) -> String {
        let mut text = "query Q($f: String) { evaluate(flag: $f) { on".to_owned();
        for number in 0..self.fields {
            text += &format!("\n    field_{number:06}_of_many");
        }
        json!({ "query": text + " } }", "variables": { "f": "x" } }).to_string()
    }
}

/// Measures documents of several sizes.
pub(super) fn measure() -> Result<Value> {
    let classifier = Classifier::new()?;
    let mut figures = Map::new();
    for size in &DOCUMENT_SIZES {
        let body = size.request_body();
        let seconds = classifier.measure_seconds(body.as_bytes())?;
        let figure = json!({
            "bytes": body.len(),
            "us": round_to_tenth(seconds * US_PER_SECOND),
            "ns_per_byte": round_to_tenth(seconds * NS_PER_SECOND / body.len() as f64),
        });
        figures.insert(size.name.to_owned(), figure);
    }
    Ok(Value::Object(figures))
}

struct Classifier {
    classes: Classes,
    limits: Limits,
}

impl Classifier {
    fn new() -> Result<Classifier> {
        let mapping = Mapping {
            query: [("evaluate".to_owned(), READ_CLASS)].into(),
            other_mutation: WRITE_CLASS,
            ..Mapping::default()
        };
        let class = |is_idempotent| ClassInfo {
            is_idempotent,
            deadline: 1.0,
        };
        let limits = Limits {
            cost: COST_LIMIT,
            tokens: TOKEN_LIMIT,
            document: DOCUMENT_BYTE_LIMIT,
            ..Limits::default()
        };
        Ok(Classifier {
            classes: Classes::new(mapping, vec![class(true), class(false)])?,
            limits,
        })
    }

    fn classify(&self, body: &[u8]) -> Result<usize> {
        let Ok(DecodedRequest::Single(parameters)) = decode::parse_body(body, &self.limits) else {
            return Err(MeasureError::InvalidRequest.into());
        };
        let text = parameters.query.as_deref().unwrap_or_default();
        let operation =
            parse_operation(text, None, &parameters.variables, &self.limits).map_err(|error| {
                MeasureError::InvalidDocument {
                    message: error.message,
                }
            })?;
        Ok(usize::from(self.classes.class_of(&operation)))
    }

    /// The shortest time for one request over all series.
    fn measure_seconds(&self, body: &[u8]) -> Result<f64> {
        let repetitions = (BYTES_PER_SERIES / body.len()).max(MIN_REPETITIONS);
        let mut shortest = f64::MAX;
        for _ in 0..SERIES {
            let started_at = Instant::now();
            for _ in 0..repetitions {
                black_box(self.classify(black_box(body))?);
            }
            let seconds = started_at.elapsed().as_secs_f64() / repetitions as f64;
            shortest = shortest.min(seconds);
        }
        Ok(shortest)
    }
}
