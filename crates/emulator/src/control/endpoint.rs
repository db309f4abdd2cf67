//! What runs at the ends of links: the [`Endpoint`] trait, its frames, and the network's slot for each process.

use super::account::Account;
use std::collections::VecDeque;

/// Code without I/O at one end of links.
pub trait Endpoint {
    /// Handles a received frame.
    fn receive(&mut self, now: f64, from: u32, frame: &[u8], outgoing: &mut Vec<OutgoingFrame>);
    /// Does what is due.
    fn poll(&mut self, now: f64, outgoing: &mut Vec<OutgoingFrame>);
    /// When [`Endpoint::poll`] has something to do; infinite for never.
    fn next_wakeup(&self) -> f64;
}

/// A frame that an endpoint asks its network to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingFrame {
    /// The endpoint that receives it.
    pub to: u32,
    /// Its bytes, without headers.
    pub frame: Vec<u8>,
}

/// A frame with its sender.
#[derive(Clone)]
pub(super) struct ReceivedFrame {
    pub(super) from: u32,
    pub(super) frame: Vec<u8>,
}

/// A clock of processor time, in seconds.
pub type CpuClock = fn() -> f64;

/// The state of an endpoint, and the process that runs there.
pub(super) struct Slot<E> {
    pub(super) process: Option<E>,
    pub(super) is_frozen: bool,
    pub(super) inbox: VecDeque<ReceivedFrame>,
    /// Number of processes that have started here.
    pub(super) incarnation: u32,
    /// When the earliest wakeup in the queue is due.
    pub(super) scheduled_wakeup: f64,
    pub(super) last_polled_at: f64,
    /// When its uplink has sent all frames so far.
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

    /// Calls the process, if it runs, and accounts for the processor time.
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
