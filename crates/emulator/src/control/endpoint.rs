//! The [`Endpoint`] trait of processes on a network, their frames, and the network's slot for each process.

use super::account::Account;
use std::collections::VecDeque;

/// A process on a network, as a state machine without I/O.
pub trait Endpoint {
    /// Handles a received frame.
    fn receive(&mut self, now: f64, from: u32, frame: &[u8], outgoing: &mut Vec<OutgoingFrame>);
    /// Performs the work that is due at `now`.
    fn poll(&mut self, now: f64, outgoing: &mut Vec<OutgoingFrame>);
    /// When [`Endpoint::poll`] is next due; infinite if it is not.
    fn next_wakeup(&self) -> f64;
}

/// A frame to be sent by the network.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingFrame {
    /// The receiving endpoint.
    pub to: u32,
    /// The frame's bytes, without headers of lower layers.
    pub frame: Vec<u8>,
}

/// A frame with its sender.
#[derive(Clone)]
pub(super) struct ReceivedFrame {
    pub(super) from: u32,
    pub(super) frame: Vec<u8>,
}

/// A function that returns consumed processor time, in seconds.
pub type CpuClock = fn() -> f64;

/// An endpoint's process and the network's state for it.
pub(super) struct Slot<E> {
    pub(super) process: Option<E>,
    pub(super) is_frozen: bool,
    pub(super) inbox: VecDeque<ReceivedFrame>,
    /// Number of processes that have been started at this endpoint.
    pub(super) incarnation: u32,
    /// When its earliest queued wakeup is due; infinite if there is none.
    pub(super) scheduled_wakeup: f64,
    pub(super) last_polled_at: f64,
    /// When its uplink will have sent all frames so far.
    pub(super) uplink_free_at: f64,
    pub(super) account: Account,
}

impl<E> Slot<E> {
    pub(super) fn empty() -> Slot<E> {
        Slot {
            process: None,
            is_frozen: false,
            inbox: VecDeque::new(),
            incarnation: 0,
            scheduled_wakeup: f64::INFINITY,
            last_polled_at: f64::NEG_INFINITY,
            uplink_free_at: 0.0,
            account: Account::default(),
        }
    }

    pub(super) fn running_process(&mut self) -> Option<&mut E> {
        if self.is_frozen {
            return None;
        }
        self.process.as_mut()
    }

    /// Calls the process, if it runs, and records the processor time of the call.
    pub(super) fn call<R>(
        &mut self,
        clock: Option<CpuClock>,
        call: impl FnOnce(&mut E) -> R,
    ) -> Option<R> {
        let process = self.running_process()?;
        let started_at = clock.map(|clock| clock());
        let result = call(process);
        if let (Some(clock), Some(started_at)) = (clock, started_at) {
            self.account.cpu += (clock() - started_at).max(0.0);
        }
        Some(result)
    }
}
