//! A lease that this node holds or tries to acquire, and the call in progress that it guards.
//!
//! Another node may call as soon as the lease is released, so a release waits for the end of the call.

use reelfall_lease::holder::{ActiveLease, Config, Lease};
use reelfall_lease::token::LeaseName;
use reelfall_lease::Micros;

/// Delay until a lease that was released temporarily is acquired again, as a multiple of its duration.
const REACQUIRE_DELAY_DURATIONS: u64 = 2;

/// How a lease is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Release {
    /// It is acquired again after a while.
    Temporary,
    /// It is not acquired again, as the node shuts down.
    Permanent,
}

/// The state of a lease that this node holds or tries to acquire.
pub(super) struct LocalLease {
    pub lease: Lease,
    /// When it is acquired again after a temporary release.
    reacquire_at: Option<Micros>,
    /// Whether a call that it guards is in progress. Until that has ended, the lease is not released.
    is_in_use: bool,
    /// The release that was requested last. Only a temporary one is ever over.
    release: Option<Release>,
}

impl LocalLease {
    pub fn new(name: &LeaseName, config: Config) -> Self {
        LocalLease {
            lease: Lease::new(name.clone(), config),
            reacquire_at: None,
            is_in_use: false,
            release: None,
        }
    }

    /// Whether a call that it guards is in progress.
    pub fn is_in_use(&self) -> bool {
        self.is_in_use
    }

    /// When [`LocalLease::tick`] has something to do next; `None` while it is neither held nor to be acquired.
    pub fn deadline(&self) -> Option<Micros> {
        self.lease.deadline().or(self.reacquire_at)
    }

    /// Handles the deadline if it has passed. `random` returns uniformly distributed numbers.
    pub fn tick(&mut self, now: Micros, random: impl FnOnce() -> u32) {
        if self.reacquire_at.take_if(|at| *at <= now).is_some() {
            self.lease.acquire(now);
        }
        if self.lease.deadline().is_some_and(|due| due <= now) {
            self.lease.tick(now, random());
        }
    }

    /// Requests a release, which is made now, or when the call in progress has ended.
    pub fn request_release(&mut self, release: Release, now: Micros, config: &Config) {
        if self.release != Some(Release::Permanent) {
            self.release = Some(release);
        }
        if !self.is_in_use {
            self.make_requested_release(now, config);
        }
    }

    fn make_requested_release(&mut self, now: Micros, config: &Config) {
        let Some(release) = self.release else {
            return;
        };
        self.lease.release(now);
        self.reacquire_at = None;
        if release == Release::Temporary {
            self.release = None;
            self.reacquire_at = Some(now + config.duration * REACQUIRE_DELAY_DURATIONS);
        }
    }

    /// Begins a call that it guards, unless it isn't active at this moment or is about to be released.
    pub fn begin_call(&mut self, now: Micros) -> Option<ActiveLease<'_>> {
        if self.release.is_some() {
            return None;
        }
        let active = self.lease.active(now)?;
        self.is_in_use = true;
        Some(active)
    }

    /// Ends its call, if one has begun, and makes the release that has waited for that.
    pub fn end_call(&mut self, now: Micros, config: &Config) {
        self.is_in_use = false;
        self.make_requested_release(now, config);
    }
}
