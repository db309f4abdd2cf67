//! The printed form of runs and lines, for [`record`](super::record).

use super::report::{PerNode, RequestTimes, Run, Slope, Source, Traffic};

/// Milliseconds per second.
const MILLISECONDS: f64 = 1e3;
/// Bytes per mebibyte.
const MIB: u32 = 1 << 20;

/// Renders a run as one line of text.
pub fn run_text(run: &Run) -> String {
    let percent = run.per_node.cpu * 100.0;
    let mut text = format!(
        "{} [{:?}] {}: {percent:.4} % of a core",
        run.name,
        run.source,
        size_text(run)
    );
    if let Some(memory) = run.per_node.memory {
        text += &format!(", {:.2} MiB", memory / f64::from(MIB));
    }
    if let Some(bytes) = run.read_bytes {
        text += &format!(", {bytes} B read");
    }
    if !run.per_node.traffic.is_empty() {
        text += &traffic_text(&run.per_node);
    }
    if let Some(times) = &run.in_force {
        text += &format!(
            ", in force p50 {:.3} s p99 {:.3} s last {:.3} s",
            times.p50, times.p99, times.last
        );
    }
    if let Some(requests) = &run.requests {
        text += &requests_text(requests);
    }
    text
}

/// Renders the axes that the figures of a run depend on.
fn size_text(run: &Run) -> String {
    let size = &run.size;
    if run.source == Source::Computation {
        format!(
            "servers {} services {} routes {} tenants {}",
            size.servers, size.services, size.routes, size.tenants
        )
    } else {
        format!("nodes {} servers {}", size.nodes, size.servers)
    }
}

fn traffic_text(per_node: &PerNode) -> String {
    let total = |of: fn(&Traffic) -> f64| per_node.traffic.iter().map(of).sum::<f64>();
    format!(
        ", {:.0} B/s in, {:.0} B/s out, {:.1} messages/s out, peak {:.0} B in 1 s",
        total(|traffic| traffic.bytes_in),
        total(|traffic| traffic.bytes_out),
        total(|traffic| traffic.messages_out),
        per_node.peak_bytes,
    )
}

fn requests_text(requests: &RequestTimes) -> String {
    let (rest, changes) = (requests.at_rest, requests.under_changes);
    format!(
        ", requests p50 {:.3} ms p99 {:.3} ms at rest, {:.3} ms and {:.3} ms under changes",
        rest.p50 * MILLISECONDS,
        rest.p99 * MILLISECONDS,
        changes.p50 * MILLISECONDS,
        changes.p99 * MILLISECONDS
    )
}

/// Renders a line through a sweep with its error and residuals, and its projection to the target unless the points bend.
pub fn slope_text(slope: &Slope) -> String {
    let residuals: Vec<String> = slope
        .residuals
        .iter()
        .map(|residual| format!("{residual:.2e}"))
        .collect();
    let line = format!(
        "{:?}, {}: {:.4e} + {:.4e} (standard error {:.1e}) for one more; residuals {}",
        slope.axis,
        slope.figure,
        slope.intercept,
        slope.slope,
        slope.standard_error,
        residuals.join(" ")
    );
    line + &projection_text(slope)
}

fn projection_text(slope: &Slope) -> String {
    match (slope.projection, slope.bend) {
        (Some(projection), _) => format!(
            "; at {}: {:.4} (standard error {:.4})",
            projection.at, projection.figure, projection.standard_error
        ),
        (None, Some(bend)) => format!(
            "; bent (t {:.2}, bound {:.2}): no projection",
            bend.t, bend.bound
        ),
        (None, None) => "; bent: no projection".to_owned(),
    }
}
