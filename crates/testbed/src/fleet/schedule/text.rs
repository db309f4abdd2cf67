//! The text form of schedules, one step per line: `["cut",[0,1],[2],true]`, `["wait",500]`.

use super::Step;
use serde_json::{json, Value};
use std::time::Duration;

/// Error of a line that is not a valid step.
#[derive(Debug, thiserror::Error)]
pub enum StepError {
    /// The line is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The line is JSON, but not a step.
    #[error("`{0}` is not a step of a schedule")]
    NotAStep(String),
}

/// Error of a text that is not a valid schedule.
#[derive(Debug, thiserror::Error)]
pub enum ScheduleError {
    /// A line is not a valid step.
    #[error("line {line}: {source}")]
    Step {
        /// Number of the line, from 1.
        line: usize,
        /// Why it is invalid.
        source: StepError,
    },
    /// A line names a node that does not exist.
    #[error("line {line}: there is no node {node}")]
    UnknownNode {
        /// Number of the line, from 1.
        line: usize,
        /// The node.
        node: usize,
    },
    /// A line names a server that does not exist.
    #[error("line {line}: there is no server {server}")]
    UnknownServer {
        /// Number of the line, from 1.
        line: usize,
        /// The server.
        server: usize,
    },
}

/// Formats a schedule, one line per step.
pub fn format(steps: &[Step]) -> String {
    steps.iter().map(|step| step.to_line() + "\n").collect()
}

/// Parses a schedule for this number of nodes and servers. Empty lines, and those that begin with `#`, are skipped.
///
/// # Errors
/// Fails if a line is not a valid step, or names a node or server that does not exist.
pub fn parse(
    text: &str,
    node_count: usize,
    server_count: usize,
) -> Result<Vec<Step>, ScheduleError> {
    let mut steps = Vec::new();
    for (line, content) in (1..).zip(text.lines().map(str::trim)) {
        if content.is_empty() || content.starts_with('#') {
            continue;
        }
        let step = Step::parse(content).map_err(|source| ScheduleError::Step { line, source })?;
        if let Some(node) = step.nodes().into_iter().find(|node| *node >= node_count) {
            return Err(ScheduleError::UnknownNode { line, node });
        }
        if let Some(server) = step.server().filter(|server| *server >= server_count) {
            return Err(ScheduleError::UnknownServer { line, server });
        }
        steps.push(step);
    }
    Ok(steps)
}

fn milliseconds(duration: &Duration) -> u64 {
    duration.as_millis() as u64
}

impl Step {
    /// Formats the step as a line that [`Step::parse`] accepts.
    pub fn to_line(&self) -> String {
        let value = match self {
            Step::Wait(duration) => json!(["wait", milliseconds(duration)]),
            Step::Partition {
                from,
                to,
                both_directions,
            } => json!(["cut", from, to, both_directions]),
            Step::Heal => json!(["heal"]),
            Step::SetDatagramFaults {
                loss_ratio,
                duplicate_ratio,
                corruption_ratio,
            } => json!(["loss", loss_ratio, duplicate_ratio, corruption_ratio]),
            Step::SetDatagramDelay { min, max } => {
                json!(["delay", milliseconds(min), milliseconds(max)])
            }
            Step::SetNodePaused { node, paused } => json!(["freeze", node, paused]),
            Step::KillNode(node) => json!(["kill", node]),
            Step::StartNode(node) => json!(["start", node]),
            Step::TerminateNode(node) => json!(["end", node]),
            Step::SetServerPaused { server, paused } => json!(["server", server, paused]),
            Step::SetServerFailures { server, ratio } => json!(["fails", server, ratio]),
            Step::BanServer {
                node,
                server,
                seconds,
            } => json!(["ban", node, server, seconds]),
            Step::LiftBan { node, server } => json!(["lift", node, server]),
        };
        value.to_string()
    }

    /// Parses a line.
    ///
    /// # Errors
    /// Fails if the line is not a valid step.
    pub fn parse(line: &str) -> Result<Step, StepError> {
        let fields = Fields {
            line,
            value: serde_json::from_str(line)?,
        };
        Ok(match fields.name()? {
            "wait" => Step::Wait(fields.duration(1)?),
            "cut" => Step::Partition {
                from: fields.indices(1)?,
                to: fields.indices(2)?,
                both_directions: fields.flag(3)?,
            },
            "heal" => Step::Heal,
            "loss" => Step::SetDatagramFaults {
                loss_ratio: fields.ratio(1)?,
                duplicate_ratio: fields.ratio(2)?,
                corruption_ratio: fields.ratio(3)?,
            },
            "delay" => Step::SetDatagramDelay {
                min: fields.duration(1)?,
                max: fields.duration(2)?,
            },
            "freeze" => Step::SetNodePaused {
                node: fields.index(1)?,
                paused: fields.flag(2)?,
            },
            "kill" => Step::KillNode(fields.index(1)?),
            "start" => Step::StartNode(fields.index(1)?),
            "end" => Step::TerminateNode(fields.index(1)?),
            "server" => Step::SetServerPaused {
                server: fields.index(1)?,
                paused: fields.flag(2)?,
            },
            "fails" => Step::SetServerFailures {
                server: fields.index(1)?,
                ratio: fields.ratio(2)?,
            },
            "ban" => Step::BanServer {
                node: fields.index(1)?,
                server: fields.index(2)?,
                seconds: fields.seconds(3)?,
            },
            "lift" => Step::LiftBan {
                node: fields.index(1)?,
                server: fields.index(2)?,
            },
            _ => return Err(fields.error()),
        })
    }

    /// The nodes that the step names.
    fn nodes(&self) -> Vec<usize> {
        match self {
            Step::Partition { from, to, .. } => [from.as_slice(), to].concat(),
            Step::SetNodePaused { node, .. }
            | Step::KillNode(node)
            | Step::StartNode(node)
            | Step::TerminateNode(node)
            | Step::BanServer { node, .. }
            | Step::LiftBan { node, .. } => vec![*node],
            Step::Wait(_)
            | Step::Heal
            | Step::SetDatagramFaults { .. }
            | Step::SetDatagramDelay { .. }
            | Step::SetServerPaused { .. }
            | Step::SetServerFailures { .. } => vec![],
        }
    }

    /// The server that the step names.
    fn server(&self) -> Option<usize> {
        match self {
            Step::SetServerPaused { server, .. }
            | Step::SetServerFailures { server, .. }
            | Step::BanServer { server, .. }
            | Step::LiftBan { server, .. } => Some(*server),
            _ => None,
        }
    }
}

/// The fields of a line: the name of the step, then its arguments.
struct Fields<'a> {
    line: &'a str,
    value: Value,
}

impl Fields<'_> {
    fn error(&self) -> StepError {
        StepError::NotAStep(self.line.to_owned())
    }

    fn field(&self, position: usize) -> Result<&Value, StepError> {
        self.value.get(position).ok_or_else(|| self.error())
    }

    fn name(&self) -> Result<&str, StepError> {
        self.field(0)?.as_str().ok_or_else(|| self.error())
    }

    fn integer(&self, position: usize) -> Result<u64, StepError> {
        self.field(position)?.as_u64().ok_or_else(|| self.error())
    }

    fn index(&self, position: usize) -> Result<usize, StepError> {
        Ok(self.integer(position)? as usize)
    }

    fn duration(&self, position: usize) -> Result<Duration, StepError> {
        Ok(Duration::from_millis(self.integer(position)?))
    }

    fn ratio(&self, position: usize) -> Result<f64, StepError> {
        self.field(position)?.as_f64().ok_or_else(|| self.error())
    }

    fn flag(&self, position: usize) -> Result<bool, StepError> {
        self.field(position)?.as_bool().ok_or_else(|| self.error())
    }

    /// A number of seconds; `None` for any other value.
    fn seconds(&self, position: usize) -> Result<Option<u32>, StepError> {
        let seconds = self.field(position)?.as_u64();
        Ok(seconds.map(|seconds| seconds as u32))
    }

    /// A list of indices; values of another type are ignored.
    fn indices(&self, position: usize) -> Result<Vec<usize>, StepError> {
        let list = self
            .field(position)?
            .as_array()
            .ok_or_else(|| self.error())?;
        let indices = list.iter().filter_map(Value::as_u64);
        Ok(indices.map(|index| index as usize).collect())
    }
}
