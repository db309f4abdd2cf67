//! A child's session with its upstream: its subscriptions, their manifests and chunks in transit, and reports in
//! flight.
//!
//! Driven by [`crate::upstream`].

use crate::close_reason::CloseReason;
use crate::frame;
use crate::link::{FrameReceipt, Link};
use crate::message::{Payload, Subscribe};
use crate::output::Output;
use crate::reassembly::Reassembler;
use crate::report::{Report, ReportQueue};
use crate::resource::Selector;
use crate::subscriptions::Subscriptions;
use crate::token_bucket::TokenBucket;
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of ended subscriptions in one session; beyond it a new session is opened.
pub(crate) const MAX_ENDED_SUBSCRIPTIONS: usize = 4096;
/// Maximum number of digests of one manifest.
const MAX_MANIFEST_DIGESTS: usize = 2_000_000;
/// Maximum number of spans of a subscription that are sent to an upstream.
const MAX_SUBSCRIBE_SPANS: usize = 8;
/// Size of a payload with a list without the list, in bytes.
const LIST_OVERHEAD_BYTES: usize = 16;
/// Maximum size of the encoding of a subscription id, in bytes.
const MAX_ID_BYTES: usize = 8;

/// The digests of one frame of a manifest.
pub(crate) struct ManifestDigests {
    pub id: u32,
    pub is_first: bool,
    pub is_last: bool,
    pub digests: Vec<u64>,
}

/// The digests of all keys of a subscription.
pub(crate) struct CompleteManifest {
    pub selector: Selector,
    pub digests: BTreeSet<u64>,
}

#[derive(Debug)]
struct PartialManifest {
    subscription: u32,
    digests: BTreeSet<u64>,
}

/// An open session with the upstream that is followed.
#[derive(Debug)]
pub(crate) struct Session {
    pub link: Link,
    next_id: u32,
    selectors: BTreeMap<u32, Selector>,
    /// Ended subscriptions, each with the number of the payload that told the upstream, once that was sent.
    ended: BTreeMap<u32, Option<u64>>,
    pub reassembler: Reassembler,
    manifest: Option<PartialManifest>,
    /// Reports in flight.
    pub reports: Vec<Report>,
    pub progress_at: Time,
    /// Whether the upstream has sent fresh data.
    pub has_progressed: bool,
    pub receive_bucket: TokenBucket,
}

impl Session {
    /// A session over a link whose opening the upstream has answered.
    pub fn new(link: Link, receive_budget: TokenBucket, now: Time) -> Session {
        Session {
            link,
            next_id: 0,
            selectors: BTreeMap::new(),
            ended: BTreeMap::new(),
            reassembler: Reassembler::default(),
            manifest: None,
            reports: Vec::new(),
            progress_at: now,
            has_progressed: false,
            receive_bucket: receive_budget,
        }
    }

    /// The selector of a subscription; `None` if the subscription has ended and the upstream may not know it yet.
    ///
    /// # Errors
    /// If the subscription never existed, or the upstream knows that it has ended.
    pub fn selector_of(
        &self,
        id: u32,
        receipt: FrameReceipt,
    ) -> Result<Option<Selector>, CloseReason> {
        if let Some(selector) = self.selectors.get(&id) {
            return Ok(Some(selector.clone()));
        }
        match self.ended.get(&id) {
            Some(Some(announced_in)) if *announced_in <= receipt.acknowledged => {
                Err(CloseReason::ProtocolViolation)
            }
            Some(_) => Ok(None),
            None => Err(CloseReason::ProtocolViolation),
        }
    }

    /// Ends a subscription; the upstream is told with a later payload.
    pub fn end_subscription(&mut self, id: u32) {
        self.selectors.remove(&id);
        self.ended.insert(id, None);
    }

    /// Whether too many subscriptions have ended in this session.
    pub fn has_too_many_ended(&self) -> bool {
        self.ended.len() > MAX_ENDED_SUBSCRIPTIONS
    }

    /// Adds a page of a manifest; returns the complete manifest after the last page.
    ///
    /// # Errors
    /// If the page belongs to no subscription or manifest, or the manifest is too long.
    pub fn add_digests(
        &mut self,
        receipt: FrameReceipt,
        page: ManifestDigests,
    ) -> Result<Option<CompleteManifest>, CloseReason> {
        let selector = self.selector_of(page.id, receipt)?;
        if page.is_first {
            self.manifest = Some(PartialManifest {
                subscription: page.id,
                digests: BTreeSet::new(),
            });
        }
        let manifest = self
            .manifest
            .as_mut()
            .filter(|manifest| manifest.subscription == page.id)
            .ok_or(CloseReason::ProtocolViolation)?;
        manifest.digests.extend(page.digests);
        if manifest.digests.len() > MAX_MANIFEST_DIGESTS {
            return Err(CloseReason::ProtocolViolation);
        }
        if !page.is_last {
            return Ok(None);
        }
        let complete = self.manifest.take();
        Ok(selector
            .zip(complete)
            .map(|(selector, manifest)| CompleteManifest {
                selector,
                digests: manifest.digests,
            }))
    }

    /// Whether there are subscriptions, ends of subscriptions or reports to send.
    pub fn has_pending_payloads(
        &self,
        subscriptions: &Subscriptions,
        reports: &ReportQueue,
    ) -> bool {
        let ended = self.ended.values().any(Option::is_none);
        !subscriptions.pending.is_empty() || ended || !reports.is_empty()
    }

    /// Sends the next payload, if there is one and the budget allows the longest.
    pub fn send_next(
        &mut self,
        now: Time,
        subscriptions: &mut Subscriptions,
        reports: &mut ReportQueue,
        outputs: &mut Vec<Output>,
    ) {
        let max_bytes = self.link.max_payload_bytes();
        if !self.link.is_idle()
            || self.link.available_payload_bytes(now) < max_bytes
            || !self.has_pending_payloads(subscriptions, reports)
        {
            return;
        }
        let payload = if !subscriptions.pending.is_empty() {
            Payload::Subscribe(self.next_subscriptions(subscriptions, max_bytes))
        } else if self.ended.values().any(Option::is_none) {
            Payload::Unsubscribe(self.next_unsubscriptions(max_bytes))
        } else {
            self.reports = reports.take(max_bytes - LIST_OVERHEAD_BYTES);
            Payload::Reports(self.reports.clone())
        };
        self.link.send_reliable(now, &payload, outputs);
    }

    /// As many subscriptions as fit into a frame, and at least one.
    fn next_subscriptions(
        &mut self,
        subscriptions: &mut Subscriptions,
        max_bytes: usize,
    ) -> Vec<Subscribe> {
        let payload_number = self.link.last_sent() + 1;
        let mut list = Vec::new();
        let mut bytes = LIST_OVERHEAD_BYTES;
        while let Some(selector) = subscriptions.pending.first().cloned() {
            let Some(subscription) = subscriptions.by_selector.get_mut(&selector) else {
                subscriptions.pending.pop_first();
                continue;
            };
            let id = self.next_id;
            let coverage = subscription.coverage.truncated(MAX_SUBSCRIBE_SPANS);
            let (removals_known, has_changes) =
                (subscription.removals_known, subscription.has_changes);
            let subscribe = Subscribe {
                id,
                selector: selector.clone(),
                coverage,
                removals_known,
                has_changes,
            };
            bytes += frame::serialized_size(&subscribe);
            if bytes > max_bytes && !list.is_empty() {
                break;
            }
            subscription.id = Some(id);
            subscription.subscribed_in = Some(payload_number);
            self.next_id += 1;
            self.selectors.insert(id, selector);
            list.push(subscribe);
            subscriptions.pending.pop_first();
        }
        list
    }

    fn next_unsubscriptions(&mut self, max_bytes: usize) -> Vec<u32> {
        let payload_number = self.link.last_sent() + 1;
        let unsent = self
            .ended
            .iter_mut()
            .filter(|(_, announced_in)| announced_in.is_none());
        let mut list = Vec::new();
        for (id, announced_in) in unsent.take(max_bytes / MAX_ID_BYTES) {
            *announced_in = Some(payload_number);
            list.push(*id);
        }
        list
    }
}
