//! The line-by-line JSON wire of the adapter: parsing and printing. No decision is made here.

use reelfall_balancer::interface::*;
use reelfall_balancer::settings::{
    self, stable_hash, ListedEndpoint, NameRegistry, NameTable, SettingsError,
};
use reelfall_balancer::Balancer;
use serde::Deserialize;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// A string that borrows from its line unless it holds escapes.
#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

#[derive(Deserialize)]
struct Tag<'a> {
    #[serde(borrow)]
    what: Text<'a>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Record<'a> {
    #[serde(borrow)]
    server: Text<'a>,
    rack_zone: Option<Text<'a>>,
    generation_hw: Option<Text<'a>>,
    #[serde(default)]
    cluster: u32,
    mode: Option<Text<'a>>,
    capacity_hint: Option<f64>,
    ready_at: Option<f64>,
}

#[derive(Deserialize)]
struct Metrics {
    active: Option<f64>,
    waiting: Option<f64>,
    cpu: Option<f64>,
    avg_ms: Option<f64>,
}

impl Metrics {
    fn load(&self) -> LoadReport {
        let service = self.avg_ms.map(|ms| ms / 1e3);
        LoadReport {
            in_flight: self.active,
            queued: self.waiting,
            utilization: self.cpu,
            service_time: service,
        }
    }
}

/// Every event has this flat shape; which fields must be there depends on `what`.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Line<'a> {
    #[serde(borrow)]
    what: Text<'a>,
    at_time: Option<f64>,
    node: Option<u32>,
    salt: Option<u64>,
    #[serde(borrow)]
    info: Option<&'a serde_json::value::RawValue>,
    how: Option<Text<'a>>,
    records: Option<Vec<Record<'a>>>,
    id: Option<u32>,
    expected: Option<f64>,
    kind: Option<Text<'a>>,
    client_group: Option<serde_json::Value>,
    left: Option<f64>,
    affinity: Option<Text<'a>>,
    attempt: Option<u32>,
    server: Option<Text<'a>>,
    status: Option<Text<'a>>,
    wait_time: Option<f64>,
    #[serde(default)]
    ended: bool,
    metrics: Option<Metrics>,
    tag: Option<Text<'a>>,
}

/// One hosted balancer with the names it alone has heard.
struct Instance {
    balancer: Balancer,
    names: NameRegistry,
}

impl Instance {
    fn new(info: &str, salt: u64, now: Time) -> Result<Self, SettingsError> {
        let (settings, names, _) = settings::read(info)?;
        Ok(Instance {
            balancer: Balancer::new(settings, salt, now)?,
            names,
        })
    }

    fn entry(&mut self, r: &Record) -> Endpoint {
        self.names.endpoint(&ListedEndpoint {
            name: &r.server.0,
            zone: r.rack_zone.as_ref().map(|z| z.0.as_ref()),
            machine_type: r.generation_hw.as_ref().map(|k| k.0.as_ref()),
            cell: r.cluster,
            state: match r.mode.as_ref().map(|m| m.0.as_ref()) {
                Some("L") => ServerState::Draining,
                Some("D") => ServerState::Removed,
                _ => ServerState::Up,
            },
            weight: r.capacity_hint,
            started_at: r.ready_at,
        })
    }

    /// Translates one line; `None` for events that are not known here.
    fn event(&mut self, line: &Line) -> Result<Option<Event>, String> {
        let server = |names: &NameTable| {
            names
                .get(&need(&line.server, "server")?.0)
                .ok_or("unknown server".to_owned())
        };
        let load = line.metrics.as_ref().map(Metrics::load);
        Ok(Some(match line.what.0.as_ref() {
            "members" => Event::EndpointUpdate {
                kind: match need(&line.how, "how")?.0.as_ref() {
                    "delta" => UpdateKind::Delta,
                    "full" => UpdateKind::Snapshot,
                    "cached" => UpdateKind::Cached,
                    "failed" => UpdateKind::Failed,
                    other => return Err(format!("unknown list kind `{other}`")),
                },
                endpoints: line
                    .records
                    .iter()
                    .flatten()
                    .map(|r| self.entry(r))
                    .collect(),
            },
            "req" => Event::Request {
                request: *need(&line.id, "id")?,
                class: self
                    .names
                    .classes
                    .get(&need(&line.kind, "kind")?.0)
                    .map_or(ClassId::MAX, |c| c as ClassId),
                tenant: line
                    .client_group
                    .as_ref()
                    .and_then(|v| v.as_str())
                    .and_then(|t| self.names.tenant(t)),
                work_hint: line.expected,
                key: line.affinity.as_ref().map(|k| stable_hash(&k.0)),
                remaining: *need(&line.left, "left")?,
            },
            "report-back" => Event::AttemptEnded {
                request: *need(&line.id, "id")?,
                attempt: *need(&line.attempt, "attempt")?,
                server: server(&self.names.servers)?,
                outcome: outcome(&need(&line.status, "status")?.0)?,
                latency: *need(&line.wait_time, "wait-time")?,
                request_ended: line.ended,
                load,
            },
            "first-byte" => Event::ResponseStarted {
                request: *need(&line.id, "id")?,
                attempt: *need(&line.attempt, "attempt")?,
                latency: *need(&line.wait_time, "wait-time")?,
            },
            "left" => Event::ClientGone {
                request: *need(&line.id, "id")?,
            },
            "fired" => match need(&line.tag, "tag")?.0.parse() {
                Ok(tag) => Event::Timer { tag },
                Err(_) => return Ok(None),
            },
            "probed" => Event::HealthChecked {
                server: server(&self.names.servers)?,
                outcome: outcome(&need(&line.status, "status")?.0)?,
                load,
            },
            _ => return Ok(None),
        }))
    }
}

fn need<'a, T>(field: &'a Option<T>, name: &str) -> Result<&'a T, String> {
    field
        .as_ref()
        .ok_or_else(|| format!("field `{name}` is missing"))
}

fn outcome(word: &str) -> Result<Outcome, String> {
    Ok(match word {
        "delivered" => Outcome::Served,
        "app_error" => Outcome::Error,
        "shed" => Outcome::Rejected,
        "expired" => Outcome::TimedOut,
        "dial_failed" => Outcome::ConnectFailed,
        "dropped" => Outcome::ConnectionLost,
        "revoked" => Outcome::Cancelled,
        "unused" => Outcome::NotSent,
        other => return Err(format!("unknown outcome `{other}`")),
    })
}

/// Reads what a failed parse was about; events of a kind unknown here are skipped, whatever they hold.
fn known(text: &str) -> bool {
    const WORDS: [&str; 11] = [
        "tick",
        "commit",
        "power-on",
        "members",
        "req",
        "report-back",
        "first-byte",
        "left",
        "fired",
        "probed",
        "destroy",
    ];
    serde_json::from_str::<Tag>(text).map_or(true, |t| WORDS.contains(&t.what.0.as_ref()))
}

fn quoted(out: &mut Vec<u8>, text: &str) {
    // Writing to a Vec cannot fail.
    let _ = serde_json::to_writer(out, text);
}

/// Prints one action. `serde_json` prints the numbers' texts; a name comes from the instance's own table.
fn print(out: &mut Vec<u8>, node: u32, action: &Action, servers: &NameTable) {
    let name = |s: &ServerId| servers.name(*s).unwrap_or_default();
    let _ = match action {
        Action::Attempt {
            request,
            server,
            timeout,
        } => {
            let _ = write!(
                out,
                "{{\"what\":\"attempt\",\"node\":{node},\"id\":{request},\"server\":"
            );
            quoted(out, name(server));
            match timeout {
                Some(cap) => writeln!(out, ",\"cap\":{cap:.6}}}"),
                None => writeln!(out, "}}"),
            }
        }
        Action::Reject {
            request,
            retry_after: Some(t),
        } => {
            writeln!(
                out,
                "{{\"what\":\"say-no\",\"node\":{node},\"id\":{request},\"not-before-for\":{t:.6}}}"
            )
        }
        Action::Reject {
            request,
            retry_after: None,
        } => {
            writeln!(
                out,
                "{{\"what\":\"say-no\",\"node\":{node},\"id\":{request}}}"
            )
        }
        Action::Fail { request } => writeln!(
            out,
            "{{\"what\":\"lose\",\"node\":{node},\"id\":{request}}}"
        ),
        Action::Cancel { request, attempt } => {
            writeln!(
                out,
                "{{\"what\":\"stop-attempt\",\"node\":{node},\"id\":{request},\"attempt\":{attempt}}}"
            )
        }
        Action::Watch => writeln!(out, "{{\"what\":\"observe\",\"node\":{node},\"on\":true}}"),
        Action::HealthCheck { server } => {
            let _ = write!(out, "{{\"what\":\"check\",\"node\":{node},\"server\":");
            quoted(out, name(server));
            writeln!(out, "}}")
        }
        Action::StartTimer { after, tag } => {
            writeln!(
                out,
                "{{\"what\":\"set-alarm\",\"node\":{node},\"after\":{after:.6},\"tag\":\"{tag}\"}}"
            )
        }
    };
}

/// Every instance of one adapter process.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    now: Option<Time>,
    actions: Vec<Action>,
}

impl Host {
    /// Takes one line, adds what it answers to `out` and tells whether that reply is complete.
    fn line(&mut self, text: &str, out: &mut Vec<u8>) -> Result<bool, String> {
        let line: Line = match serde_json::from_str(text) {
            Ok(line) => line,
            Err(_) if !known(text) => return Ok(false),
            Err(e) => return Err(e.to_string()),
        };
        let what = line.what.0.as_ref();
        let Some(now) = self.now else {
            if what != "tick" {
                return Err(format!("`{what}` before `tick`"));
            }
            self.now = Some(*need(&line.at_time, "at-time")?);
            return Ok(false);
        };
        match what {
            "tick" => return Err("`tick` inside a batch".to_owned()),
            "commit" => {
                self.now = None;
                out.extend_from_slice(b"{\"what\":\"end\"}\n");
                return Ok(true);
            }
            _ => {}
        }
        let node = match line.node {
            Some(node) => node,
            None if known(text) => return Err("field `node` is missing".to_owned()),
            None => return Ok(false),
        };
        match what {
            "power-on" => {
                let info = need(&line.info, "info")?;
                let salt = *need(&line.salt, "salt")?;
                match Instance::new(info.get(), salt, now) {
                    Ok(instance) => {
                        self.instances.insert(node, instance);
                    }
                    Err(fault) => {
                        let _ = write!(
                            out,
                            "{{\"what\":\"bail-out\",\"node\":{node},\"reason-text\":"
                        );
                        quoted(out, &format!("settings can't be used: {fault}"));
                        out.extend_from_slice(b"}\n");
                    }
                }
            }
            "destroy" => {
                self.instances.remove(&node);
            }
            _ => {
                if let Some(instance) = self.instances.get_mut(&node) {
                    if let Some(event) = instance.event(&line)? {
                        self.actions.clear();
                        instance.balancer.handle(now, event, &mut self.actions);
                        for action in &self.actions {
                            print(out, node, action, &instance.names.servers);
                        }
                    }
                }
            }
        }
        Ok(false)
    }
}

/// Speaks the wire until the input ends.
///
/// # Errors
/// A plain message with the number of the line that could not be used.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let (mut line, mut out) = (String::new(), Vec::new());
    for number in 1u64.. {
        line.clear();
        let fault = |e: &dyn std::fmt::Display| format!("line {number}: {e}");
        if input.read_line(&mut line).map_err(|e| fault(&e))? == 0 {
            break;
        }
        let text = line.trim_end();
        if !text.is_empty() && host.line(text, &mut out).map_err(|e| fault(&e))? {
            output
                .write_all(&out)
                .and_then(|()| output.flush())
                .map_err(|e| fault(&e))?;
            out.clear();
        }
    }
    Ok(())
}
