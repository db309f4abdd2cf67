//! Code at the ends of links, and the places of a network where it runs.

use super::account::Account;
use std::collections::VecDeque;

/// Code without I/O at one end of links.
pub trait Endpoint {
    /// A frame has come.
    fn receive(&mut self, now: f64, from: u32, frame: &[u8], sends: &mut Vec<(u32, Vec<u8>)>);
    /// Time has passed.
    fn poll(&mut self, now: f64, sends: &mut Vec<(u32, Vec<u8>)>);
    /// When [`Endpoint::poll`] has something to do; infinite for never.
    fn next_wakeup(&self) -> f64;
}

/// A clock of processor time, in seconds.
pub type CpuClock = fn() -> f64;

/// A place in a network, and the process that runs there.
pub(super) struct Slot<E> {
    pub(super) endpoint: Option<E>,
    pub(super) frozen: bool,
    pub(super) inbox: VecDeque<(u32, Vec<u8>)>,
    /// Processes that began here so far.
    pub(super) life: u32,
    /// When the earliest wakeup in the queue is due.
    pub(super) wakeup: f64,
    pub(super) polled: f64,
    /// When its uplink has sent all that was given to it.
    pub(super) uplink_free: f64,
    pub(super) account: Account,
}

impl<E> Slot<E> {
    pub(super) fn empty() -> Slot<E> {
        Slot {
            endpoint: None,
            frozen: false,
            inbox: VecDeque::new(),
            life: 0,
            wakeup: f64::INFINITY,
            polled: f64::NEG_INFINITY,
            uplink_free: 0.0,
            account: Account::default(),
        }
    }

    pub(super) fn running(&mut self) -> Option<&mut E> {
        if self.frozen {
            return None;
        }
        self.endpoint.as_mut()
    }

    /// Calls the endpoint, if it runs, and accounts for the processor time.
    pub(super) fn call<R>(
        &mut self,
        clock: Option<CpuClock>,
        call: impl FnOnce(&mut E) -> R,
    ) -> Option<R> {
        let endpoint = self.running()?;
        let begun = clock.map(|clock| clock());
        let result = call(endpoint);
        if let (Some(clock), Some(begun)) = (clock, begun) {
            self.account.cpu += (clock() - begun).max(0.0);
        }
        Some(result)
    }
}
