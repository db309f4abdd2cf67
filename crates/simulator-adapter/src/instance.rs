//! One balancer, with the tables that map names in lines to its identifiers.

use crate::input::{InputError, Line, LineKind};
use reelfall_balancer::interface::{Action, ClassId, Event, ServerId, Time};
use reelfall_balancer::settings::{self, stable_hash, NameRegistry, NameTable, SettingsError};
use reelfall_balancer::Balancer;

/// A balancer with its name tables.
pub(crate) struct Instance {
    balancer: Balancer,
    names: NameRegistry,
}

impl Instance {
    pub(crate) fn new(settings: &str, seed: u64, now: Time) -> Result<Self, SettingsError> {
        let (settings, names, _) = settings::read(settings)?;
        let balancer = Balancer::new(settings, seed, now)?;
        Ok(Instance { balancer, names })
    }

    /// The table of server names.
    pub(crate) fn servers(&self) -> &NameTable {
        &self.names.servers
    }

    /// Handles a line and appends the resulting actions.
    pub(crate) fn handle(
        &mut self,
        now: Time,
        kind: LineKind,
        line: &Line,
        actions: &mut Vec<Action>,
    ) -> Result<(), InputError> {
        if let Some(event) = self.event(kind, line)? {
            self.balancer.handle(now, event, actions);
        }
        Ok(())
    }

    /// Converts a line to an event; `None` if there is nothing for the balancer to handle.
    fn event(&mut self, kind: LineKind, line: &Line) -> Result<Option<Event>, InputError> {
        Ok(Some(match kind {
            LineKind::EndpointUpdate => Event::EndpointUpdate {
                kind: line.update_kind()?,
                endpoints: line
                    .endpoints()
                    .map(|listed| self.names.endpoint(&listed))
                    .collect(),
            },
            LineKind::Request => self.request(line)?,
            LineKind::AttemptEnded => Event::AttemptEnded {
                request: line.request()?,
                attempt: line.attempt()?,
                server: self.server(line)?,
                outcome: line.outcome()?,
                latency: line.latency()?,
                request_ended: line.request_ended(),
                load: line.load(),
            },
            LineKind::ResponseStarted => Event::ResponseStarted {
                request: line.request()?,
                attempt: line.attempt()?,
                latency: line.latency()?,
            },
            LineKind::ClientGone => Event::ClientGone {
                request: line.request()?,
            },
            LineKind::Timer => match line.timer_tag()? {
                Some(tag) => Event::Timer { tag },
                None => return Ok(None),
            },
            LineKind::HealthChecked => Event::HealthChecked {
                server: self.server(line)?,
                outcome: line.outcome()?,
                load: line.load(),
            },
            LineKind::BatchStart
            | LineKind::BatchEnd
            | LineKind::InstanceStart
            | LineKind::InstanceEnd => return Ok(None),
        }))
    }

    fn request(&self, line: &Line) -> Result<Event, InputError> {
        let request = line.request()?;
        let class = self.names.classes.get(line.class()?);
        Ok(Event::Request {
            request,
            class: class.map_or(ClassId::MAX, |class| class as ClassId),
            tenant: line.tenant().and_then(|name| self.names.tenant(name)),
            work_hint: line.work_hint(),
            key: line.affinity_key().map(stable_hash),
            remaining: line.remaining()?,
        })
    }

    fn server(&self, line: &Line) -> Result<ServerId, InputError> {
        self.names
            .servers
            .get(line.server()?)
            .ok_or(InputError::UnknownServer)
    }
}
