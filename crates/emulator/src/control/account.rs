//! What each endpoint sent, received and computed.

use std::collections::VecDeque;

/// The span of the short window, in seconds: peaks of a run's report.
pub const SHORT_SPAN: f64 = 1.0;
/// The span of the long window, in seconds: the budget of a node's control traffic holds over any such span.
pub const LONG_SPAN: f64 = 10.0;

/// The most bytes within any span of a length.
#[derive(Clone, Debug)]
pub struct Window {
    span: f64,
    events: VecDeque<(f64, u64)>,
    sum: u64,
    most: u64,
}

impl Window {
    /// A window of so many seconds.
    pub fn new(span: f64) -> Window {
        Window {
            span,
            events: VecDeque::new(),
            sum: 0,
            most: 0,
        }
    }

    /// Bytes at a moment that is no earlier than those before.
    pub fn add(&mut self, now: f64, bytes: u64) {
        while let Some((at, old)) = self.events.front().copied() {
            if at > now - self.span {
                break;
            }
            self.sum -= old;
            self.events.pop_front();
        }
        self.events.push_back((now, bytes));
        self.sum += bytes;
        self.most = self.most.max(self.sum);
    }

    /// The most bytes within any span so far.
    pub fn most(&self) -> u64 {
        self.most
    }
}

/// The account of one endpoint, over all of its lives.
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
    /// Processor time of the real thread, in seconds; 0 without a clock.
    pub cpu: f64,
    /// Bytes received and sent within [`SHORT_SPAN`].
    pub short: Window,
    /// Bytes received and sent within [`LONG_SPAN`].
    pub long: Window,
}

impl Default for Account {
    fn default() -> Self {
        Account {
            bytes_in: 0,
            bytes_out: 0,
            messages_in: 0,
            messages_out: 0,
            cpu: 0.0,
            short: Window::new(SHORT_SPAN),
            long: Window::new(LONG_SPAN),
        }
    }
}

impl Account {
    /// A frame was delivered.
    pub fn received(&mut self, now: f64, bytes: u64) {
        self.bytes_in += bytes;
        self.messages_in += 1;
        self.passed(now, bytes);
    }

    /// A frame was sent.
    pub fn sent(&mut self, now: f64, bytes: u64) {
        self.bytes_out += bytes;
        self.messages_out += 1;
        self.passed(now, bytes);
    }

    fn passed(&mut self, now: f64, bytes: u64) {
        self.short.add(now, bytes);
        self.long.add(now, bytes);
    }
}

/// What some endpoints used over a time: means over them, and the most of any.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Bytes received by one of them in a second.
    pub bytes_in: f64,
    /// Bytes sent by one of them in a second.
    pub bytes_out: f64,
    /// Frames received by one of them in a second.
    pub messages_in: f64,
    /// Frames sent by one of them in a second.
    pub messages_out: f64,
    /// Processor time of one of them, in seconds a second.
    pub cpu: f64,
    /// Most bytes received and sent by any of them within [`SHORT_SPAN`].
    pub short_most: u64,
    /// Most bytes received and sent by any of them within [`LONG_SPAN`].
    pub long_most: u64,
}

impl Usage {
    /// Of accounts that were kept for so many seconds.
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
            usage.short_most = usage.short_most.max(account.short.most());
            usage.long_most = usage.long_most.max(account.long.most());
        }
        let whole = endpoints * seconds;
        if whole > 0.0 {
            usage.bytes_in /= whole;
            usage.bytes_out /= whole;
            usage.messages_in /= whole;
            usage.messages_out /= whole;
            usage.cpu /= whole;
        }
        usage
    }
}
