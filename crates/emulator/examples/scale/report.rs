//! Reports in the shape of the rig's `scale::report::Report`.

use reelfall_emulator::control::account::Usage;
use reelfall_emulator::control::plays::{JudgedBy, Outcome};
use reelfall_emulator::control::times::Times;
use serde_json::{json, Value};
use std::path::Path;

const SCHEMA: u64 = 1;

/// A run with everything that is not measured left empty.
pub struct Run<'a> {
    /// What it was about.
    pub name: String,
    /// `virtual-time` or `computation`.
    pub source: &'a str,
    /// How large it was.
    pub size: Size,
    /// How long it took, in virtual seconds.
    pub seconds: f64,
    /// What kind of traffic the usage is of.
    pub kind: &'a str,
    /// What it cost one node.
    pub usage: Usage,
    /// Memory of one node, in bytes.
    pub memory: f64,
    /// Time until a change was in force at the nodes.
    pub in_force: Option<Times>,
    /// What came of a play of the distribution, if it is one.
    pub played: Option<Played>,
}

/// A play of the distribution, for the table of docs/CAPACITY.md.
pub struct Played {
    /// What was played, in words.
    pub title: String,
    /// What came of it.
    pub outcome: Outcome,
    /// Memory of one control machine, in bytes.
    pub control_memory: f64,
}

impl Played {
    fn to_json(&self) -> Value {
        let Outcome { missing, caught_up, faults_seen, ages, judged_by, control, nodes, .. } = &self.outcome;
        let judged_by = match judged_by {
            JudgedBy::InForce => "in-force",
            JudgedBy::CaughtUp => "caught-up",
            JudgedBy::FirstRequest => "first-request",
            JudgedBy::Bytes => "bytes",
        };
        let ages = ages.map(|ages| {
            json!({ "compared": ages.compared, "least_margin": ages.least_margin, "oldest": ages.oldest })
        });
        json!({
            "title": self.title, "judged_by": judged_by, "caught_up": caught_up.map(times_json),
            "peak_bytes_10s": nodes.long_most, "missing": missing, "faults": faults_seen, "ages": ages,
            "control": { "bytes_in": control.bytes_in, "bytes_out": control.bytes_out, "cpu": control.cpu,
                "memory": self.control_memory },
        })
    }
}

fn times_json(times: Times) -> Value {
    json!({ "p50": times.p50, "p99": times.p99, "last": times.last })
}

/// What was played; 0 for what was not.
#[derive(Clone, Copy, Default)]
pub struct Size {
    pub nodes: usize,
    pub servers: usize,
    pub services: usize,
    pub routes: usize,
    pub tenants: usize,
    pub changes: usize,
    pub restarts: usize,
}

impl Run<'_> {
    /// As the report has it.
    pub fn to_json(&self) -> Value {
        let Size { nodes, servers, services, routes, tenants, changes, restarts } = self.size;
        let size = json!({
            "nodes": nodes, "servers": servers, "services": services, "routes": routes,
            "tenants": tenants, "changes": changes, "restarts": restarts,
        });
        let traffic = json!({
            "kind": self.kind,
            "bytes_in": self.usage.bytes_in, "bytes_out": self.usage.bytes_out,
            "messages_in": self.usage.messages_in, "messages_out": self.usage.messages_out,
        });
        let per_node = json!({
            "traffic": [traffic], "peak_bytes": self.usage.short_most, "cpu": self.usage.cpu,
            "memory": self.memory,
        });
        json!({
            "name": self.name, "source": self.source, "size": size, "seconds": self.seconds,
            "per_node": per_node, "in_force": self.in_force.map(times_json), "requests": null,
            "played": self.played.as_ref().map(Played::to_json),
        })
    }

    /// Prints it on a line.
    pub fn print(&self) {
        let Usage { bytes_in, bytes_out, messages_in, messages_out, cpu, short_most, long_most } = self.usage;
        let Times { p50, p99, last } =
            self.in_force.unwrap_or(Times { p50: f64::NAN, p99: f64::NAN, last: f64::NAN });
        println!(
            "{:<28} {:>5} nodes: in {bytes_in:.0} B/s {messages_in:.2}/s, out {bytes_out:.0} B/s {messages_out:.2}/s, most in 1 s {short_most} B, \
             in 10 s {long_most} B, cpu {:.4} %, memory {:.1} MB, in force p50 {p50:.2} p99 {p99:.2} last {last:.2} s",
            self.name, self.size.nodes, cpu * 100.0, self.memory / 1e6,
        );
    }
}

/// A report as it is on the disk.
pub struct Report(Value);

impl Report {
    /// Reads a report, or begins one.
    pub fn open(path: &Path, commit: &str, seed: u64) -> Result<Report, String> {
        if !path.exists() {
            let cores = std::thread::available_parallelism().map_or(1, usize::from);
            return Ok(Report(json!({
                "schema": SCHEMA, "commit": commit, "seed": seed, "cores": cores, "runs": [], "slopes": [],
            })));
        }
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let report: Value = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        if report["schema"] != SCHEMA || report["seed"] != seed || report["commit"] != commit {
            return Err(format!("{}: of another schema, seed or commit", path.display()));
        }
        Ok(Report(report))
    }

    /// Adds runs; a run replaces an earlier one of its name and size.
    pub fn append(&mut self, runs: Vec<Value>) {
        let Some(all) = self.0["runs"].as_array_mut() else { return };
        for run in runs {
            all.retain(|other| (&other["name"], &other["size"]) != (&run["name"], &run["size"]));
            all.push(run);
        }
    }

    /// Writes it.
    pub fn save(&self, path: &Path) -> Result<(), String> {
        let text = serde_json::to_string_pretty(&self.0).map_err(|e| e.to_string())?;
        std::fs::write(path, text + "\n").map_err(|e| format!("{}: {e}", path.display()))
    }
}

/// Memory of this process that is in use, in bytes; 0 where the system does not tell.
pub fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1024.0
}

/// Processor time of this thread, in seconds.
pub fn thread_cpu() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}
