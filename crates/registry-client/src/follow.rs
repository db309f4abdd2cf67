//! Mirrors the entries under a path of a registry.
//!
//! | state | known entries | what may be used |
//! | --- | --- | --- |
//! | disconnected | those known when the connection was lost | all of them for [`FollowerConfig::stale_after`], then as [`StalePolicy`] says |
//! | synchronizing | the same, until the list has been read | all of them, except removed ones, which the list or a watch event reports |
//! | following | those of the registry, except for updates in flight | all of them |
//!
//! After each connect, everything is read again, whether the session is the same or a new one, and whichever the
//! member: first the member is asked to catch up with the others (`sync`), then the list is read, then each entry. The
//! session rejects responses with a state older than one that was seen before. Later changes are reported by a
//! persistent recursive watch, or, if the registry does not support these, by a one-shot watch for each read. The list
//! and the entries are read again periodically, since watch events can be lost. A removal takes effect without a read.
//!
//! | module | content |
//! | --- | --- |
//! | [`children`] | the known entries, and the queue of those to be read |
//! | [`requests`] | requests that are queued or in flight, each with its purpose |
//! | [`updates`] | applies responses and watch events to the known entries |
//! | [`config`] | limits, intervals and policies |
//! | [`trust`] | which entries are trusted |
//!
//! Source: ZooKeeper Programmer's Guide, "ZooKeeper Watches", "What ZooKeeper Guarantees about Watches" (a client sees
//! the watch event before the state that caused it).

mod children;
mod config;
mod requests;
mod trust;
mod updates;

pub use config::{FollowerConfig, StalePolicy};
pub use trust::Identity;

use crate::entry::EntryError;
use crate::roster::{Change, Roster};
use crate::session::{Event, TokenRequest};
use crate::wire::Op;
use crate::Time;
use children::Children;
use requests::{Purpose, Requests};
use std::collections::VecDeque;

/// Maximum number of queued reports; further ones are dropped.
const MAX_REPORTS: usize = 64;

/// An event that the caller should log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// An entry is invalid. Reported once for each version of its data.
    InvalidEntry(String, EntryError),
    /// There are more entries than [`FollowerConfig::max_entries`], which is given.
    TooManyEntries(usize),
    /// The path does not exist.
    PathMissing,
    /// The registry rejected a request to read the path or one of its entries.
    AccessDenied,
    /// The list is stale. The age is in seconds.
    Stale(u64),
    /// The registry is reachable again after the list was stale.
    UpToDate,
}

/// The sizes of a follower's collections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerSizes {
    /// Known entries.
    pub entries: usize,
    /// Length of the queue of entries to be read, outdated items included.
    pub waiting_reads: usize,
    /// Requests that are queued or have no response yet.
    pub pending_requests: usize,
}

/// Follows the entries under a path; see the module documentation.
#[derive(Debug)]
pub struct Follower {
    path: String,
    config: FollowerConfig,
    children: Children,
    requests: Requests,
    is_connected: bool,
    /// The registry does not support persistent watches, so each read sets a one-shot watch.
    uses_one_shot_watches: bool,
    /// The list is being read.
    is_listing: bool,
    /// The list has to be read again after the current read.
    list_again: bool,
    /// The list has been read since the last connect.
    is_listed: bool,
    /// The list and all of its entries have been read at least once.
    has_list: bool,
    last_contact: Time,
    next_reread: Time,
    is_stale: bool,
    roster: Roster,
    reports: VecDeque<Report>,
}

impl Follower {
    /// Creates a follower of the entries under a path. None are known yet.
    pub fn new(path: &str, config: FollowerConfig, now: Time) -> Follower {
        Follower {
            path: path.to_owned(),
            next_reread: now + config.reread_interval,
            config,
            children: Children::default(),
            requests: Requests::default(),
            is_connected: false,
            uses_one_shot_watches: false,
            is_listing: false,
            list_again: false,
            is_listed: false,
            has_list: false,
            last_contact: now,
            is_stale: false,
            roster: Roster::default(),
            reports: VecDeque::new(),
        }
    }

    /// Takes the next request to send to the registry.
    pub fn next_request(&mut self) -> Option<TokenRequest> {
        self.requests.next()
    }

    /// Returns the changes of listed servers since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.roster.take_changes()
    }

    /// Takes the next report.
    pub fn next_report(&mut self) -> Option<Report> {
        self.reports.pop_front()
    }

    /// The listed servers.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Whether the list and all of its entries have been read at least once.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Whether everything has been read since the last connect, and no read is queued or in flight.
    pub fn is_settled(&self) -> bool {
        self.is_connected && self.is_listed && !self.is_listing && self.children.is_settled()
    }

    /// Seconds since the last contact with the registry.
    pub fn age(&self, now: Time) -> Time {
        (now - self.last_contact).max(0.0)
    }

    /// Whether no server may be used because the list is stale.
    pub fn rejects_requests(&self) -> bool {
        self.is_stale && self.config.stale_policy == StalePolicy::RejectRequests
    }

    /// The sizes of the follower's collections.
    pub fn sizes(&self) -> FollowerSizes {
        FollowerSizes {
            entries: self.children.len(),
            waiting_reads: self.children.queue_len(),
            pending_requests: self.requests.pending_count(),
        }
    }

    /// When [`Follower::tick`] has to be called next.
    pub fn deadline(&self) -> Time {
        let stale_at = if self.is_connected || self.is_stale {
            f64::MAX
        } else {
            self.last_contact + self.config.stale_after
        };
        let reread_at = if self.is_connected {
            self.next_reread
        } else {
            f64::MAX
        };
        stale_at
            .min(reread_at)
            .min(self.roster.deadline().unwrap_or(f64::MAX))
    }

    /// Marks the list as stale, starts periodic reads and lists delayed servers, as far as they are due. Has to be
    /// called at [`Follower::deadline`].
    pub fn tick(&mut self, now: Time) {
        self.roster.tick(now);
        let is_overdue = now - self.last_contact >= self.config.stale_after;
        if !self.is_connected && !self.is_stale && is_overdue {
            self.is_stale = true;
            self.report(Report::Stale(self.age(now) as u64));
        }
        if self.is_connected && now >= self.next_reread {
            self.next_reread = now + self.config.reread_interval;
            self.request_list();
            self.children.request_all();
            self.issue_reads();
        }
    }

    /// Records contact with the registry at `now`: the list was up to date then.
    pub fn record_contact(&mut self, now: Time) {
        self.last_contact = self.last_contact.max(now);
    }

    /// Handles an event of the session.
    pub fn handle_event(&mut self, now: Time, event: &Event) {
        match event {
            Event::Connected { .. } => self.handle_connected(now),
            // The end of this session removes this node's entries, not those of others, so the list stays in use.
            Event::Disconnected(_) | Event::Expired | Event::Reset => self.is_connected = false,
            Event::Response(token, response) => {
                self.last_contact = now;
                if let Some(purpose) = self.requests.complete(*token) {
                    self.handle_response(now, purpose, response);
                }
                self.issue_reads();
            }
            Event::RequestLost(token) => {
                if let Some(Purpose::ReadData(_) | Purpose::ReadAcl(..)) =
                    self.requests.complete(*token)
                {
                    self.children.end_read();
                }
            }
            Event::Watch(event) => {
                self.last_contact = now;
                self.handle_watch(now, event);
                self.issue_reads();
            }
        }
    }

    fn handle_connected(&mut self, now: Time) {
        self.is_connected = true;
        self.is_listed = false;
        self.is_listing = false;
        self.list_again = false;
        self.last_contact = now;
        self.next_reread = now + self.config.reread_interval;
        if std::mem::take(&mut self.is_stale) {
            self.report(Report::UpToDate);
        }
        self.requests.clear();
        self.children.cancel_reads();
        let path = self.path.clone();
        self.requests.add(Purpose::Sync, Op::Sync { path });
        if self.uses_one_shot_watches {
            self.request_list();
        } else {
            let path = self.path.clone();
            self.requests.add(Purpose::Watch, Op::AddWatch { path });
        }
    }

    /// Requests the list, at once or after the read that is in progress.
    fn request_list(&mut self) {
        if self.is_listing {
            self.list_again = true;
            return;
        }
        self.is_listing = true;
        let op = Op::GetChildren {
            path: self.path.clone(),
            watch: self.uses_one_shot_watches,
        };
        self.requests.add(Purpose::List, op);
    }

    /// Requests the queued entries, up to the limit of concurrent reads.
    fn issue_reads(&mut self) {
        while self.is_connected {
            let Some(child) = self.children.start_read(self.config.max_parallel_reads) else {
                break;
            };
            let op = Op::GetData {
                path: self.child_path(&child),
                watch: self.uses_one_shot_watches,
            };
            self.requests.add(Purpose::ReadData(child), op);
        }
        if self.is_settled() {
            self.has_list = true;
        }
    }

    /// The path without a trailing slash, to which `/` and a child's name are appended.
    fn parent_path(&self) -> &str {
        self.path.trim_end_matches('/')
    }

    fn child_path(&self, child: &str) -> String {
        format!("{}/{child}", self.parent_path())
    }

    /// Adds a child if it is unknown, and queues a read of it.
    fn add(&mut self, child: String) {
        if !self.children.contains(&child) {
            if self.children.len() >= self.config.max_entries {
                return self.report(Report::TooManyEntries(self.config.max_entries));
            }
            self.children.insert(child.clone());
        }
        self.children.request_read(child);
    }

    fn remove(&mut self, now: Time, child: &str) {
        if self.children.remove(child) {
            self.roster.remove(now, child);
        }
    }

    /// Queues a report, unless the same one is queued or the queue is full.
    fn report(&mut self, report: Report) {
        if self.reports.len() < MAX_REPORTS && !self.reports.contains(&report) {
            self.reports.push_back(report);
        }
    }
}
