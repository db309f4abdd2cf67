//! All balancers of an adapter, and the batches of lines. The first line of a batch states its time; its output is complete
//! with its last line.

use crate::input::{InputError, Line, LineKind};
use crate::instance::Instance;
use crate::output;
use reelfall_balancer::interface::{Action, Time};
use std::collections::BTreeMap;

/// State of the current batch after a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// More lines of the batch follow.
    InBatch,
    /// The batch has ended and its output is complete.
    BatchComplete,
}

/// All balancers of one adapter.
#[derive(Default)]
pub(crate) struct Host {
    /// The balancers, by the node numbers that the simulator assigns.
    instances: BTreeMap<u32, Instance>,
    /// The time of the current batch; `None` between batches.
    batch_time: Option<Time>,
    /// Buffer that is reused between events to save allocations.
    actions: Vec<Action>,
}

impl Host {
    /// Handles one line and appends the output that it causes to `answer`.
    pub(crate) fn handle_line(
        &mut self,
        text: &str,
        answer: &mut Vec<u8>,
    ) -> Result<Progress, InputError> {
        let line: Line = match serde_json::from_str(text) {
            Ok(line) => line,
            Err(_) if is_of_unknown_kind(text) => return Ok(Progress::InBatch),
            Err(error) => return Err(error.into()),
        };
        let kind = LineKind::parse(line.kind_keyword());
        let Some(now) = self.batch_time else {
            return self.start_batch(kind, &line);
        };
        match kind {
            None => return Ok(Progress::InBatch),
            Some(LineKind::BatchStart) => return Err(InputError::NestedBatch),
            Some(LineKind::BatchEnd) => {
                self.batch_time = None;
                output::write_batch_end(answer);
                return Ok(Progress::BatchComplete);
            }
            Some(LineKind::InstanceStart) => self.start_instance(now, &line, answer)?,
            Some(LineKind::InstanceEnd) => {
                self.instances.remove(&line.instance()?);
            }
            Some(kind) => self.handle_event(now, kind, &line, answer)?,
        }
        Ok(Progress::InBatch)
    }

    fn start_batch(&mut self, kind: Option<LineKind>, line: &Line) -> Result<Progress, InputError> {
        if kind != Some(LineKind::BatchStart) {
            return Err(InputError::OutsideBatch(line.kind_keyword().to_owned()));
        }
        self.batch_time = Some(line.time()?);
        Ok(Progress::InBatch)
    }

    fn start_instance(
        &mut self,
        now: Time,
        line: &Line,
        answer: &mut Vec<u8>,
    ) -> Result<(), InputError> {
        let id = line.instance()?;
        let settings = line.settings()?;
        match Instance::new(settings, line.seed()?, now) {
            Ok(instance) => {
                self.instances.insert(id, instance);
            }
            Err(error) => {
                output::write_refusal(answer, id, &format!("settings can't be used: {error}"));
            }
        }
        Ok(())
    }

    /// Passes an event to its balancer. Events for unknown balancers are ignored.
    fn handle_event(
        &mut self,
        now: Time,
        kind: LineKind,
        line: &Line,
        answer: &mut Vec<u8>,
    ) -> Result<(), InputError> {
        let id = line.instance()?;
        let Some(instance) = self.instances.get_mut(&id) else {
            return Ok(());
        };
        self.actions.clear();
        instance.handle(now, kind, line, &mut self.actions)?;
        for action in &self.actions {
            output::write_action(answer, id, action, instance.servers());
        }
        Ok(())
    }
}

/// Whether an invalid line is of an unknown kind. Later protocol versions may add kinds with other fields.
fn is_of_unknown_kind(text: &str) -> bool {
    matches!(LineKind::of_malformed(text), Ok(None))
}
