//! A mirror of the entries under a path.
//!
//! | state | what is known | what counts |
//! | --- | --- | --- |
//! | out | what was known when the connection went | the same, for [`Limits::stale_after`]; then as [`Stale`] says |
//! | catching up | the same, until the list is there | removals as soon as the list, or a watch, tells them |
//! | following | what the registry has, but for news under way | all of it |
//!
//! Whoever comes up again, with the same session or a new one, or at another member, asks for all of it: first that the
//! member catches up (`sync`), then the list, then each entry. The session takes care that no member answers from a state
//! older than one that was seen. A watch tells of changes in between (persistent and recursive; where the registry has no
//! such, one for each read), and a list and an entry read anew from time to time heal what a watch has lost.
//!
//! Removal needs no read: it counts as soon as it is told.
//!
//! Source: ZooKeeper Programmer's Guide, "ZooKeeper Watches", "What ZooKeeper Guarantees about Watches" (a client sees the
//! watch event before the state that made it).

use crate::entry::{self, EntryError};
use crate::roster::{Change, Roster};
use crate::session::Event;
use crate::wire::{Acl, Answer, Fired, Happened, Op, Refusal, Stat};
use crate::Time;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// What to do when the list is stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stale {
    /// The last list is kept: servers are more often there than not.
    GoOn,
    /// No server is used.
    Refuse,
}

/// Bounds and rules of what is followed.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Most entries; any further ones are passed over, and that is reported.
    pub entries: usize,
    /// Entries that are read at the same time.
    pub window: usize,
    /// All of it is read again after this time, in seconds, to heal what watches have lost.
    pub reread: Time,
    /// Without a word of the registry for so long, in seconds, the list is stale.
    pub stale_after: Time,
    /// What then.
    pub stale: Stale,
    /// Entries that don't end with a session count too.
    pub persistent: bool,
    /// Whoever else may change an entry, or remove it, makes it a stranger's: scheme and id. `None` trusts everybody.
    pub owner: Option<(String, String)>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            entries: 16_384,
            window: 64,
            reread: 30.0,
            stale_after: 60.0,
            stale: Stale::GoOn,
            persistent: false,
            owner: None,
        }
    }
}

/// Something that is worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// An entry is invalid. Reported once for each version of its data.
    InvalidEntry(String, EntryError),
    /// There are more entries than the limit.
    TooManyEntries(usize),
    /// The path does not exist.
    PathMissing,
    /// The registry does not let this session read the path.
    AccessDenied,
    /// The list is stale, for so many seconds now.
    Stale(u64),
    /// The registry is heard again, after the list was stale.
    UpToDate,
}

#[derive(Debug, Default)]
struct Child {
    /// It is being read.
    reading: bool,
    /// Something has happened since it was asked for.
    read_again: bool,
    /// The state of its data that has been looked at.
    mzxid: Option<i64>,
}

#[derive(Debug, PartialEq)]
enum Purpose {
    Sync,
    Watch,
    List,
    Data(String),
    /// With what has been read of it.
    Acl(String, Box<(bytes::Bytes, Stat)>),
}

/// Follows the entries under a path; see the module.
#[derive(Debug)]
pub struct Follower {
    path: String,
    limits: Limits,
    children: HashMap<String, Child>,
    /// Children to be read, in their order.
    queue: VecDeque<String>,
    queued: BTreeSet<String>,
    pending: HashMap<u64, Purpose>,
    reading: usize,
    next_token: u64,
    /// What is to be asked, in its order.
    requests: VecDeque<(u64, Op)>,
    up: bool,
    /// A watch of its own for each read, since the registry has no persistent ones.
    one_shot: bool,
    /// A list is under way, and another one has to follow.
    listing: bool,
    list_again: bool,
    /// Everything that was there when it came up has been read.
    is_complete: bool,
    /// The whole list was read at least once.
    has_list: bool,
    /// When the registry was last heard.
    last_heard: Time,
    next_reread: Time,
    stale: bool,
    roster: Roster,
    reports: VecDeque<Report>,
}

impl Follower {
    /// Follows the entries under a path. Nothing is known yet.
    pub fn new(path: &str, limits: Limits, now: Time) -> Follower {
        Follower {
            path: path.to_owned(),
            next_reread: now + limits.reread,
            limits,
            children: HashMap::new(),
            queue: VecDeque::new(),
            queued: BTreeSet::new(),
            pending: HashMap::new(),
            reading: 0,
            next_token: 0,
            requests: VecDeque::new(),
            up: false,
            one_shot: false,
            listing: false,
            list_again: false,
            is_complete: false,
            has_list: false,
            last_heard: now,
            stale: false,
            roster: Roster::default(),
            reports: VecDeque::new(),
        }
    }

    /// The next request, with the token that its answer has.
    pub fn next_request(&mut self) -> Option<(u64, Op)> {
        self.requests.pop_front()
    }

    /// Returns the changes of servers since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.roster.take_changes()
    }

    /// The next report.
    pub fn next_report(&mut self) -> Option<Report> {
        self.reports.pop_front()
    }

    /// The servers that are there.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Whether the whole list was read at least once.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// All that was there has been read, and no news is under way.
    pub fn is_settled(&self) -> bool {
        self.up && self.is_complete && !self.listing && self.queue.is_empty() && self.reading == 0
    }

    /// Seconds since the registry was last heard.
    pub fn age(&self, now: Time) -> Time {
        (now - self.last_heard).max(0.0)
    }

    /// Whether no server may be used, since the list is stale.
    pub fn refuses_servers(&self) -> bool {
        self.stale && self.limits.stale == Stale::Refuse
    }

    /// Numbers of entries, of entries that wait to be read, and of requests under way.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.children.len(), self.queue.len(), self.pending.len())
    }

    /// When [`Follower::tick`] has to be called next.
    pub fn deadline(&self) -> Time {
        let stale = if self.up || self.stale {
            f64::MAX
        } else {
            self.last_heard + self.limits.stale_after
        };
        let reread = if self.up { self.next_reread } else { f64::MAX };
        stale
            .min(reread)
            .min(self.roster.deadline().unwrap_or(f64::MAX))
    }

    /// Acts on timeouts; to be called at [`Follower::deadline`].
    pub fn tick(&mut self, now: Time) {
        self.roster.tick(now);
        if !self.up && !self.stale && now - self.last_heard >= self.limits.stale_after {
            self.stale = true;
            self.report(Report::Stale(self.age(now) as u64));
        }
        if self.up && now >= self.next_reread {
            self.next_reread = now + self.limits.reread;
            self.request_list();
            // Nothing is read twice at once: what is being read is read again after.
            let all: Vec<String> = self.children.keys().cloned().collect();
            all.into_iter().for_each(|child| self.request_read(child));
            self.issue_reads();
        }
    }

    /// The registry was heard: the list is as old as this.
    pub fn note_heard(&mut self, now: Time) {
        self.last_heard = self.last_heard.max(now);
    }

    /// Handles an event of the session.
    pub fn handle_event(&mut self, now: Time, event: &Event) {
        match event {
            Event::Up { .. } => self.handle_up(now),
            // A session that is over takes entries of this node with it, not those of others: the list stays as old as
            // it is until it is read again.
            Event::Lost(_) | Event::Expired | Event::Reset => self.up = false,
            Event::Answered(token, answer) => {
                self.last_heard = now;
                if let Some(purpose) = self.pending.remove(token) {
                    self.handle_answer(now, purpose, answer);
                }
                self.issue_reads();
            }
            Event::Unanswered(token) => {
                if let Some(Purpose::Data(_) | Purpose::Acl(..)) = self.pending.remove(token) {
                    self.reading = self.reading.saturating_sub(1);
                }
            }
            Event::Fired(fired) => {
                self.last_heard = now;
                self.handle_watch(now, fired);
                self.issue_reads();
            }
        }
    }

    fn handle_up(&mut self, now: Time) {
        (self.up, self.is_complete, self.listing, self.list_again) = (true, false, false, false);
        self.last_heard = now;
        self.next_reread = now + self.limits.reread;
        if std::mem::take(&mut self.stale) {
            self.report(Report::UpToDate);
        }
        self.requests.clear();
        self.pending.clear();
        self.queue.clear();
        self.queued.clear();
        self.reading = 0;
        self.children
            .values_mut()
            .for_each(|c| (c.reading, c.read_again) = (false, false));
        self.request(
            Purpose::Sync,
            Op::Sync {
                path: self.path.clone(),
            },
        );
        if self.one_shot {
            self.request_list();
        } else {
            self.request(
                Purpose::Watch,
                Op::AddWatch {
                    path: self.path.clone(),
                },
            );
        }
    }

    fn request(&mut self, purpose: Purpose, op: Op) {
        self.next_token += 1;
        self.pending.insert(self.next_token, purpose);
        self.requests.push_back((self.next_token, op));
    }

    fn request_list(&mut self) {
        if self.listing {
            self.list_again = true;
            return;
        }
        self.listing = true;
        let op = Op::GetChildren {
            path: self.path.clone(),
            watch: self.one_shot,
        };
        self.request(Purpose::List, op);
    }

    /// A child has to be read, now or when it has been.
    fn request_read(&mut self, child: String) {
        let Some(known) = self.children.get_mut(&child) else {
            return;
        };
        if known.reading {
            known.read_again = true;
        } else if self.queued.insert(child.clone()) {
            self.queue.push_back(child);
        }
    }

    fn issue_reads(&mut self) {
        while self.up && self.reading < self.limits.window {
            let Some(child) = self.queue.pop_front() else {
                break;
            };
            if !self.queued.remove(&child) {
                // Removed since, or read already.
                continue;
            }
            let Some(known) = self.children.get_mut(&child) else {
                continue;
            };
            (known.reading, known.read_again) = (true, false);
            self.reading += 1;
            let op = Op::GetData {
                path: format!("{}/{child}", self.prefix()),
                watch: self.one_shot,
            };
            self.request(Purpose::Data(child), op);
        }
        if self.up && self.is_complete && self.is_settled() {
            self.has_list = true;
        }
    }

    /// The path as it begins those of its children.
    fn prefix(&self) -> &str {
        self.path.trim_end_matches('/')
    }

    fn handle_answer(&mut self, now: Time, purpose: Purpose, answer: &Result<Answer, Refusal>) {
        match (purpose, answer) {
            (Purpose::Sync, _) => {}
            (Purpose::Watch, answer) => {
                self.one_shot = answer.is_err();
                self.request_list();
            }
            (Purpose::List, answer) => {
                self.listing = false;
                self.handle_list(now, answer);
                if std::mem::take(&mut self.list_again) {
                    self.request_list();
                }
            }
            (Purpose::Data(child), Ok(Answer::Data(data, stat))) => match self.limits.owner {
                Some(_) if self.children.contains_key(&child) => {
                    let path = format!("{}/{child}", self.prefix());
                    let read = Box::new((data.clone(), *stat));
                    self.request(Purpose::Acl(child, read), Op::GetAcl { path });
                }
                _ => self.handle_entry(now, &child, data, stat, &[]),
            },
            (Purpose::Acl(child, read), Ok(Answer::Acl(acl, _))) => {
                self.handle_entry(now, &child, &read.0, &read.1, acl);
            }
            (Purpose::Data(child) | Purpose::Acl(child, _), Err(Refusal::NoNode)) => {
                self.reading = self.reading.saturating_sub(1);
                self.remove(now, &child);
            }
            (Purpose::Data(child) | Purpose::Acl(child, _), _) => {
                // Whatever it is that forbids to read it, it is no reason to send there.
                self.reading = self.reading.saturating_sub(1);
                if let Some(known) = self.children.get_mut(&child) {
                    known.reading = false;
                }
                self.roster.remove(now, &child);
                self.report(Report::AccessDenied);
            }
        }
    }

    fn handle_list(&mut self, now: Time, answer: &Result<Answer, Refusal>) {
        let names: Vec<String> = match answer {
            Ok(Answer::Children(names, _)) => names.iter().flatten().cloned().collect(),
            Err(Refusal::NoNode) => {
                self.report(Report::PathMissing);
                if self.one_shot {
                    // Its watch tells when it is made.
                    let op = Op::Exists {
                        path: self.path.clone(),
                        watch: true,
                    };
                    self.request(Purpose::Sync, op);
                }
                Vec::new()
            }
            // Not to be let in says nothing of servers: what was known stays, and grows stale.
            _ => return self.report(Report::AccessDenied),
        };
        self.is_complete = true;
        let listed: BTreeSet<&str> = names.iter().map(String::as_str).collect();
        let missing: Vec<String> = self
            .children
            .keys()
            .filter(|c| !listed.contains(c.as_str()))
            .cloned()
            .collect();
        missing
            .into_iter()
            .for_each(|child| self.remove(now, &child));
        for child in names {
            self.add(child);
        }
    }

    /// A child is there: it is read, unless it has been since this session came up.
    fn add(&mut self, child: String) {
        if !self.children.contains_key(&child) {
            if self.children.len() >= self.limits.entries {
                return self.report(Report::TooManyEntries(self.limits.entries));
            }
            self.children.insert(child.clone(), Child::default());
        }
        self.request_read(child);
    }

    fn remove(&mut self, now: Time, child: &str) {
        if self.children.remove(child).is_some() {
            self.queued.remove(child);
            self.roster.remove(now, child);
        }
        // Guards against a queue that grows with each coming and going while answers are slow. Harm: none.
        if self.queue.len() > 2 * self.queued.len() + 64 {
            let (queued, mut seen) = (&self.queued, BTreeSet::new());
            self.queue
                .retain(|c| queued.contains(c) && seen.insert(c.clone()));
        }
    }

    fn handle_watch(&mut self, now: Time, fired: &Fired) {
        let child = match fired.path.strip_prefix(self.prefix()) {
            Some("") => None,
            Some(rest) => match rest.strip_prefix('/') {
                // What is deeper concerns nobody here.
                Some(child) if !child.is_empty() && !child.contains('/') => Some(child.to_owned()),
                _ => return,
            },
            None => return,
        };
        match (child, fired.what) {
            (Some(child), Happened::Deleted) => self.remove(now, &child),
            (Some(child), Happened::Created) => self.add(child),
            (Some(child), Happened::Data) => self.request_read(child),
            (None, Happened::Children | Happened::Created | Happened::Deleted) => {
                self.request_list()
            }
            _ => {}
        }
    }

    fn handle_entry(&mut self, now: Time, child: &str, data: &[u8], stat: &Stat, acl: &[Acl]) {
        self.reading = self.reading.saturating_sub(1);
        // Removed since it was asked for: a removal is never taken back by a read that was under way.
        let Some(known) = self.children.get_mut(child) else {
            return;
        };
        known.reading = false;
        let read_again = std::mem::take(&mut known.read_again);
        let is_new = known.mzxid.replace(stat.mzxid) != Some(stat.mzxid);
        let entry = self
            .check_trust(stat, acl)
            .and_then(|()| entry::parse(child, data, stat, now));
        if let (Err(fault), true) = (&entry, is_new) {
            self.report(Report::InvalidEntry(child.to_owned(), fault.clone()));
        }
        self.roster.update(now, child, stat.czxid, entry);
        if read_again {
            self.request_read(child.to_owned());
        }
    }

    /// Whether an entry is one of those that count.
    ///
    /// Guards against entries that outlive their process, and against those that a stranger put there or could put
    /// another's address into. Harm: servers that somebody entered by hand need the setting.
    fn check_trust(&self, stat: &Stat, acl: &[Acl]) -> Result<(), EntryError> {
        // The top byte marks entries that end by a time to live or as empty containers (EphemeralType).
        let ephemeral = stat.ephemeral_owner != 0 && (stat.ephemeral_owner as u64) >> 56 < 0x80;
        if !ephemeral && !self.limits.persistent {
            return Err(EntryError::NotEphemeral);
        }
        // Write 2, delete 8, admin 16.
        let changes = |a: &&Acl| a.permissions & (2 | 8 | 16) != 0;
        match &self.limits.owner {
            Some(owner) if !acl.iter().filter(changes).all(|a| names_identity(a, owner)) => {
                Err(EntryError::UntrustedWriter)
            }
            _ => Ok(()),
        }
    }

    /// Keeps a report, unless so many wait that one more would help nobody.
    fn report(&mut self, report: Report) {
        if self.reports.len() < 64 && !self.reports.contains(&report) {
            self.reports.push_back(report);
        }
    }
}

/// Whether an access list names somebody. To a session that may not change it, a registry shows `x` for a digest.
fn names_identity(acl: &Acl, (scheme, id): &(String, String)) -> bool {
    let user = id.split(':').next().unwrap_or_default();
    acl.scheme == *scheme
        && (acl.id == *id || (scheme == "digest" && acl.id == format!("{user}:x")))
}
