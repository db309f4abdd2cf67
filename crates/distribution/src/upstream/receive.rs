//! Handles the frames of the upstream that is followed, and checks that they conform to the protocol.

use super::{State, Upstream};
use crate::close_reason::CloseReason;
use crate::coverage::Span;
use crate::epoch::Epoch;
use crate::link::FrameReceipt;
use crate::message::{Chunk, Head, Payload, Received};
use crate::output::Output;
use crate::reassembly::ChunkOutcome;
use crate::resource::{Change, Version};
use crate::session::ManifestDigests;
use crate::upstream_event::UpstreamEvent;
use crate::Time;

impl Upstream {
    /// Handles a frame of the upstream; frames of others are ignored.
    pub fn receive(
        &mut self,
        now: Time,
        received: Received,
        outputs: &mut Vec<Output>,
    ) -> Option<UpstreamEvent> {
        self.take_answer(now, &received, outputs);
        let Received {
            from,
            bytes,
            head,
            payload,
        } = received;
        let State::Following(session) = &mut self.state else {
            return None;
        };
        if session.link.peer() != from || session.link.session() != head.session {
            return None;
        }
        // Four times a relay's send budget: only an upstream that ignores its budget exceeds it.
        if !session.receive_bucket.take(now, bytes) {
            self.leave(now, CloseReason::RateExceeded, outputs);
            return None;
        }
        self.handle(now, &head, payload, outputs)
            .unwrap_or_else(|reason| {
                self.leave(now, reason, outputs);
                None
            })
    }

    /// Accepts a frame in sequence and handles its payload.
    fn handle(
        &mut self,
        now: Time,
        head: &Head,
        payload: Payload,
        outputs: &mut Vec<Output>,
    ) -> Result<Option<UpstreamEvent>, CloseReason> {
        let State::Following(session) = &mut self.state else {
            return Ok(None);
        };
        let receipt = session.link.accept(now, head)?;
        if !receipt.is_new {
            return Ok(None);
        }
        if session.link.is_idle() {
            session.reports.clear();
        }
        self.dispatch(now, receipt, payload, outputs)
    }

    /// Handles a payload that is next in sequence.
    fn dispatch(
        &mut self,
        now: Time,
        receipt: FrameReceipt,
        payload: Payload,
        outputs: &mut Vec<Output>,
    ) -> Result<Option<UpstreamEvent>, CloseReason> {
        match payload {
            Payload::Acknowledge => Ok(None),
            Payload::Close {
                reason,
                retry_after_ms,
            } => {
                self.end_session(now, reason, self.requested_backoff(retry_after_ms), outputs);
                Ok(None)
            }
            Payload::Epoch(epoch) => self.handle_epoch(epoch),
            Payload::Changes { id, span, changes } => {
                self.handle_changes(now, receipt, id, span, changes)
            }
            Payload::Chunk { id, span, chunk } => self.handle_chunk(now, receipt, id, span, chunk),
            Payload::Manifest {
                id,
                is_first,
                is_last,
                pruned_through,
                digests,
            } => {
                let page = ManifestDigests {
                    id,
                    is_first,
                    is_last,
                    digests,
                };
                self.handle_manifest(now, receipt, page, pruned_through)
            }
            Payload::UpToDate {
                head,
                removals,
                pruned_through,
                age_us,
            } => {
                let age = self.handle_up_to_date(now, receipt, head, removals, age_us);
                Ok(Some(UpstreamEvent::UpToDate {
                    head,
                    pruned_through,
                    age,
                }))
            }
            _ => Err(CloseReason::ProtocolViolation),
        }
    }

    fn handle_chunk(
        &mut self,
        now: Time,
        receipt: FrameReceipt,
        id: u32,
        span: Span,
        chunk: Chunk,
    ) -> Result<Option<UpstreamEvent>, CloseReason> {
        let State::Following(session) = &mut self.state else {
            return Ok(None);
        };
        if session.selector_of(id, receipt)?.is_none() {
            return Ok(None);
        }
        session.progress_at = now;
        match session.reassembler.take(id, chunk) {
            ChunkOutcome::Incomplete => Ok(None),
            ChunkOutcome::Complete(change) => {
                self.handle_changes(now, receipt, id, span, vec![*change])
            }
            ChunkOutcome::Invalid => Err(CloseReason::ProtocolViolation),
        }
    }

    fn handle_manifest(
        &mut self,
        now: Time,
        receipt: FrameReceipt,
        page: ManifestDigests,
        pruned_through: Version,
    ) -> Result<Option<UpstreamEvent>, CloseReason> {
        let State::Following(session) = &mut self.state else {
            return Ok(None);
        };
        let manifest = session.add_digests(receipt, page)?;
        session.progress_at = now;
        Ok(manifest.map(|manifest| UpstreamEvent::Manifest {
            selector: manifest.selector,
            pruned_through,
            digests: manifest.digests,
        }))
    }

    pub(super) fn handle_epoch(
        &mut self,
        epoch: Epoch,
    ) -> Result<Option<UpstreamEvent>, CloseReason> {
        if !epoch.known.is_valid() {
            return Err(CloseReason::ProtocolViolation);
        }
        self.admit_epoch(&epoch)?;
        Ok(Some(UpstreamEvent::Epoch(epoch)))
    }

    /// Checks that changes were subscribed to and lie in their span.
    pub(super) fn handle_changes(
        &mut self,
        now: Time,
        receipt: FrameReceipt,
        id: u32,
        span: Span,
        changes: Vec<Change>,
    ) -> Result<Option<UpstreamEvent>, CloseReason> {
        let State::Following(session) = &mut self.state else {
            return Ok(None);
        };
        let Some(selector) = session.selector_of(id, receipt)? else {
            return Ok(None);
        };
        let fits = |change: &Change| {
            let inside = span.after < change.version && change.version <= span.through;
            change.is_valid() && inside && selector.matches(&change.key.name.group)
        };
        if span.after >= span.through || !changes.iter().all(fits) {
            return Err(CloseReason::ProtocolViolation);
        }
        session.progress_at = now;
        Ok(Some(UpstreamEvent::Changes {
            selector,
            span,
            changes,
        }))
    }

    /// Handles the notice that everything was sent; returns the upper bound of the staleness. A subscription that was
    /// requested after the upstream sent the notice is not included. Removals are known as far as the upstream knew
    /// them: it may have all changes before it has its manifest.
    pub(super) fn handle_up_to_date(
        &mut self,
        now: Time,
        receipt: FrameReceipt,
        head: Version,
        removals: Version,
        age_us: Option<u64>,
    ) -> Option<Time> {
        let mut is_age_valid = true;
        for subscription in self.subscriptions.by_selector.values_mut() {
            if subscription
                .subscribed_in
                .is_some_and(|number| number <= receipt.acknowledged)
            {
                subscription.coverage.add(Span {
                    after: Version::ZERO,
                    through: head,
                });
                subscription.removals_known = subscription.removals_known.max(removals);
                subscription.is_complete = true;
            } else {
                // At a full replica the age holds only if its one subscription is included. At a node it also holds
                // while subscriptions are missing that have never been complete.
                is_age_valid &= !subscription.is_complete && !self.config.is_relay;
            }
        }
        let age = age_us
            .zip(receipt.max_transit)
            .map(|(age_us, transit)| age_us as f64 / 1e6 + transit);
        if let State::Following(session) = &mut self.state {
            if age.is_some_and(|age| age <= self.config.stale_timeout) {
                session.progress_at = now;
                session.has_progressed = true;
                self.stale_factor = 1.0;
                self.candidates.clear_failures();
            }
        }
        age.filter(|_| is_age_valid)
    }
}
