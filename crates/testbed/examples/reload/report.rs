//! The printed results: figures as JSON, and a summary line. Called by `main` at the end.

use super::latencies::WindowStats;
use super::settings::FileSize;
use serde_json::{json, Value};

/// The results of all measurements.
pub(super) struct Report {
    pub(super) size: FileSize,
    /// The size of the settings file in bytes.
    pub(super) file_bytes: usize,
    /// Requests per second.
    pub(super) rate: f64,
    pub(super) without_reload: WindowStats,
    pub(super) with_reload: WindowStats,
    /// The time of each reload until the file was applied, in ascending order.
    pub(super) applied_after_ms: Vec<f64>,
    /// The CPU time of each reload on the serving thread, in ascending order.
    pub(super) serving_thread_ms: Vec<f64>,
}

impl Report {
    pub(super) fn print(&self) {
        println!("{}", self.figures());
        println!("{}", self.summary());
    }

    fn figures(&self) -> Value {
        let FileSize {
            services,
            servers,
            routes,
            listed,
        } = self.size;
        let added = self
            .with_reload
            .latencies()
            .minus(self.without_reload.latencies());
        json!({
            "file": {
                "services": services, "servers": servers, "routes": routes, "listed": listed, "bytes": self.file_bytes
            },
            "rate": self.rate,
            "reloads": self.applied_after_ms.len(),
            "at_rest": self.without_reload.figures(),
            "with_reloads": self.with_reload.figures(),
            "added": { "p50_ms": added.p50_ms, "p99_ms": added.p99_ms, "max_ms": added.max_ms },
            "serving_thread": {
                "median_ms": median(&self.serving_thread_ms), "max_ms": maximum(&self.serving_thread_ms)
            },
            "in_force_after": {
                "median_ms": median(&self.applied_after_ms), "max_ms": maximum(&self.applied_after_ms)
            },
        })
    }

    fn summary(&self) -> String {
        let added = self
            .with_reload
            .latencies()
            .minus(self.without_reload.latencies());
        format!(
            "{} reloads of {} routes under {}/s: p50 {:+.2} ms, p99 {:+.2} ms, max {:+.2} ms; \
             each takes {:.2} ms (most {:.2} ms) of the serving thread; \
             in force after {:.0} ms (longest {:.0} ms)",
            self.applied_after_ms.len(),
            self.size.routes,
            self.rate,
            added.p50_ms,
            added.p99_ms,
            added.max_ms,
            median(&self.serving_thread_ms),
            maximum(&self.serving_thread_ms),
            median(&self.applied_after_ms),
            maximum(&self.applied_after_ms),
        )
    }
}

/// The median of sorted values; 0 if there are none.
fn median(sorted: &[f64]) -> f64 {
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

/// The last of sorted values; 0 if there are none.
fn maximum(sorted: &[f64]) -> f64 {
    sorted.last().copied().unwrap_or_default()
}
