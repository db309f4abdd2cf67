//! Counts of the responses that the clients of the scenario have received. Filled in by `clients`.

use hyper::StatusCode;
use serde_json::Value;
use std::collections::HashMap;

/// Counts of requests and of the entries of batches; a request that is no batch counts as one entry.
#[derive(Default)]
pub(super) struct Results {
    pub(super) answered: u64,
    /// Requests without a response.
    pub(super) lost: u64,
    /// Responses after the deadline.
    pub(super) late: u64,
    pub(super) reads: u64,
    /// Reads that were answered with data.
    served_reads: u64,
    /// Ids of mutations whose response says that they may be retried.
    pub(super) retryable_ids: Vec<String>,
    /// Ids of mutations that were answered with data.
    pub(super) done_ids: Vec<String>,
    pub(super) statuses: HashMap<u16, u64>,
}

impl Results {
    /// The share of reads that were answered with data, in percent.
    pub(super) fn served_reads_percent(&self) -> f64 {
        100.0 * self.served_reads as f64 / self.reads.max(1) as f64
    }

    /// Records a response. The ids are those of the entries' mutations; a read has none.
    pub(super) fn record_response(
        &mut self,
        status: StatusCode,
        body: &[u8],
        mutation_ids: &[Option<String>],
        is_late: bool,
    ) {
        self.answered += 1;
        self.late += u64::from(is_late);
        *self.statuses.entry(status.as_u16()).or_default() += 1;
        let response: Value = serde_json::from_slice(body).unwrap_or_default();
        for (index, mutation_id) in mutation_ids.iter().enumerate() {
            let entry = match &response {
                Value::Array(entries) => entries.get(index).unwrap_or(&Value::Null),
                single => single,
            };
            self.record_entry(entry, mutation_id.as_ref());
        }
    }

    fn record_entry(&mut self, entry: &Value, mutation_id: Option<&String>) {
        let has_data = entry.get("data").is_some_and(Value::is_object);
        let is_retryable = entry["errors"][0]["extensions"]["retryable"] == true;
        match mutation_id {
            None => {
                self.reads += 1;
                self.served_reads += u64::from(has_data);
            }
            Some(id) if has_data => self.done_ids.push(id.clone()),
            Some(id) if is_retryable => self.retryable_ids.push(id.clone()),
            Some(_) => {}
        }
    }
}
