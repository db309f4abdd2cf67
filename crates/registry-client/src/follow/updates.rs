//! Applies responses and watch events to a follower's entries and roster.

use super::requests::{Purpose, RawEntry};
use super::{trust, Follower, Report};
use crate::entry;
use crate::wire::{Acl, Op, OperationError, Response, Stat, WatchEvent, WatchEventKind};
use crate::Time;
use std::collections::BTreeSet;

impl Follower {
    /// Handles the response to a request.
    pub(super) fn handle_response(
        &mut self,
        now: Time,
        purpose: Purpose,
        response: &Result<Response, OperationError>,
    ) {
        match (purpose, response) {
            (Purpose::Sync, _) => {}
            (Purpose::Watch, response) => {
                self.uses_one_shot_watches = response.is_err();
                self.request_list();
            }
            (Purpose::List, response) => {
                self.is_listing = false;
                self.handle_list(now, response);
                if std::mem::take(&mut self.list_again) {
                    self.request_list();
                }
            }
            (Purpose::ReadData(child), Ok(Response::Data(data, stat))) => {
                let entry = RawEntry {
                    data: data.clone(),
                    stat: *stat,
                };
                if self.config.owner.is_some() && self.children.contains(&child) {
                    let path = self.child_path(&child);
                    let purpose = Purpose::ReadAcl(child, Box::new(entry));
                    self.requests.add(purpose, Op::GetAcl { path });
                } else {
                    self.handle_entry(now, &child, &entry, &[]);
                }
            }
            (Purpose::ReadAcl(child, entry), Ok(Response::Acl(acl, _))) => {
                self.handle_entry(now, &child, &entry, acl);
            }
            (
                Purpose::ReadData(child) | Purpose::ReadAcl(child, _),
                Err(OperationError::NoNode),
            ) => {
                self.children.end_read();
                self.remove(now, &child);
            }
            (Purpose::ReadData(child) | Purpose::ReadAcl(child, _), _) => {
                // An entry that can't be read can't be validated, so its server is removed.
                self.children.fail_read(&child);
                self.roster.remove(now, &child);
                self.report(Report::AccessDenied);
            }
        }
    }

    fn handle_list(&mut self, now: Time, response: &Result<Response, OperationError>) {
        let names: Vec<String> = match response {
            Ok(Response::Children(names, _)) => names.iter().flatten().cloned().collect(),
            Err(OperationError::NoNode) => {
                self.report(Report::PathMissing);
                if self.uses_one_shot_watches {
                    // Sets a watch that reports the creation of the path.
                    let op = Op::Exists {
                        path: self.path.clone(),
                        watch: true,
                    };
                    self.requests.add(Purpose::Sync, op);
                }
                Vec::new()
            }
            // Another error says nothing about the servers, so the known list stays in use until it is stale.
            _ => return self.report(Report::AccessDenied),
        };
        self.is_listed = true;
        let listed: BTreeSet<&str> = names.iter().map(String::as_str).collect();
        for child in self.children.missing_from(&listed) {
            self.remove(now, &child);
        }
        for child in names {
            self.add(child);
        }
    }

    /// Handles the event of a watch.
    pub(super) fn handle_watch(&mut self, now: Time, event: &WatchEvent) {
        let Some(below) = event.path.strip_prefix(self.parent_path()) else {
            return;
        };
        if below.is_empty() {
            match event.kind {
                WatchEventKind::ChildrenChanged
                | WatchEventKind::Created
                | WatchEventKind::Deleted => self.request_list(),
                WatchEventKind::DataChanged | WatchEventKind::Other => {}
            }
            return;
        }
        let child = match below.strip_prefix('/') {
            Some(child) if !child.is_empty() && !child.contains('/') => child.to_owned(),
            // A path further below, or a sibling whose name begins with the same characters.
            _ => return,
        };
        match event.kind {
            WatchEventKind::Deleted => self.remove(now, &child),
            WatchEventKind::Created => self.add(child),
            WatchEventKind::DataChanged => self.children.request_read(child),
            WatchEventKind::ChildrenChanged | WatchEventKind::Other => {}
        }
    }

    fn handle_entry(&mut self, now: Time, child: &str, read: &RawEntry, acl: &[Acl]) {
        let stat: &Stat = &read.stat;
        // An entry that was removed during the read stays removed.
        let Some(completed) = self.children.complete_read(child, stat.mzxid) else {
            return;
        };
        let entry = trust::check(&self.config, stat, acl)
            .and_then(|()| entry::parse(child, &read.data, stat, now));
        if let (Err(error), true) = (&entry, completed.is_new_version) {
            self.report(Report::InvalidEntry(child.to_owned(), error.clone()));
        }
        self.roster.update(now, child, stat.czxid, entry);
        if completed.read_again {
            self.children.request_read(child.to_owned());
        }
    }
}
