//! Accounts of endpoints: bytes and frames sent and received, and processor time. The network has one for each endpoint.

use std::collections::VecDeque;

/// Length of the short window, in seconds. Reports of runs state the maximum over it as the peak.
pub const SHORT_WINDOW: f64 = 1.0;
/// Length of the long window, in seconds. The bandwidth budget of a node's control traffic applies to any such window.
pub const LONG_WINDOW: f64 = 10.0;

/// Tracks the maximum number of bytes within a sliding window.
#[derive(Clone, Debug)]
pub struct Window {
    length: f64,
    transfers: VecDeque<Transfer>,
    sum: u64,
    max: u64,
}

impl Window {
    /// A window of this length, in seconds.
    pub fn new(length: f64) -> Window {
        Window {
            length,
            transfers: VecDeque::new(),
            sum: 0,
            max: 0,
        }
    }

    /// Adds bytes at a time. Times must not decrease between calls.
    pub fn add(&mut self, now: f64, bytes: u64) {
        while let Some(oldest) = self.transfers.front() {
            if oldest.at > now - self.length {
                break;
            }
            self.sum -= oldest.bytes;
            self.transfers.pop_front();
        }
        self.transfers.push_back(Transfer { at: now, bytes });
        self.sum += bytes;
        self.max = self.max.max(self.sum);
    }

    /// Maximum number of bytes within any window of this length so far.
    pub fn max(&self) -> u64 {
        self.max
    }
}

#[derive(Clone, Copy, Debug)]
struct Transfer {
    at: f64,
    bytes: u64,
}

/// The account of one endpoint, over all of its incarnations.
#[derive(Clone, Debug)]
pub struct Account {
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Frames received.
    pub messages_in: u64,
    /// Frames sent.
    pub messages_out: u64,
    /// Processor time that its calls took, in seconds; 0 if the network measures none.
    pub cpu: f64,
    /// Bytes received and sent within [`SHORT_WINDOW`].
    pub short_window: Window,
    /// Bytes received and sent within [`LONG_WINDOW`].
    pub long_window: Window,
}

impl Default for Account {
    fn default() -> Self {
        Account {
            bytes_in: 0,
            bytes_out: 0,
            messages_in: 0,
            messages_out: 0,
            cpu: 0.0,
            short_window: Window::new(SHORT_WINDOW),
            long_window: Window::new(LONG_WINDOW),
        }
    }
}

impl Account {
    /// Counts a received frame.
    pub fn received(&mut self, now: f64, bytes: u64) {
        self.bytes_in += bytes;
        self.messages_in += 1;
        self.add_to_windows(now, bytes);
    }

    /// Counts a sent frame.
    pub fn sent(&mut self, now: f64, bytes: u64) {
        self.bytes_out += bytes;
        self.messages_out += 1;
        self.add_to_windows(now, bytes);
    }

    fn add_to_windows(&mut self, now: f64, bytes: u64) {
        self.short_window.add(now, bytes);
        self.long_window.add(now, bytes);
    }
}

/// The usage of several endpoints over a period: means per endpoint, and maxima over the endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Mean bytes received per second and endpoint.
    pub bytes_in: f64,
    /// Mean bytes sent per second and endpoint.
    pub bytes_out: f64,
    /// Mean frames received per second and endpoint.
    pub messages_in: f64,
    /// Mean frames sent per second and endpoint.
    pub messages_out: f64,
    /// Mean processor time per endpoint, in seconds per second.
    pub cpu: f64,
    /// Maximum number of bytes received and sent by any endpoint within [`SHORT_WINDOW`].
    pub short_window_max: u64,
    /// Maximum number of bytes received and sent by any endpoint within [`LONG_WINDOW`].
    pub long_window_max: u64,
}

impl Usage {
    /// Computes the usage from accounts that cover this many seconds.
    pub fn of<'a>(accounts: impl IntoIterator<Item = &'a Account>, seconds: f64) -> Usage {
        let mut usage = Usage::default();
        let mut endpoints = 0.0;
        for account in accounts {
            endpoints += 1.0;
            usage.bytes_in += account.bytes_in as f64;
            usage.bytes_out += account.bytes_out as f64;
            usage.messages_in += account.messages_in as f64;
            usage.messages_out += account.messages_out as f64;
            usage.cpu += account.cpu;
            usage.short_window_max = usage.short_window_max.max(account.short_window.max());
            usage.long_window_max = usage.long_window_max.max(account.long_window.max());
        }
        let endpoint_seconds = endpoints * seconds;
        if endpoint_seconds > 0.0 {
            usage.bytes_in /= endpoint_seconds;
            usage.bytes_out /= endpoint_seconds;
            usage.messages_in /= endpoint_seconds;
            usage.messages_out /= endpoint_seconds;
            usage.cpu /= endpoint_seconds;
        }
        usage
    }
}
