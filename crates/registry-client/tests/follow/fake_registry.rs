//! A fake registry with one followed path and a connection to one follower.

use crate::PATH;
use bytes::Bytes;
use reelfall_registry_client::follow::Follower;
use reelfall_registry_client::session::{Event, LossReason, TokenRequest};
use reelfall_registry_client::wire::{
    Acl, Op, OperationError, Response, Stat, WatchEvent, WatchEventKind,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The session that owns the entries.
pub const OWNER_SESSION: i64 = 9;

/// The host part of every server's address.
const HOST: &str = "127.0.0.1:";

/// Number of steps after which a registry and a follower that still exchange messages are considered stuck.
const MAX_SETTLING_STEPS: usize = 100_000;

/// An entry of the registry.
#[derive(Clone)]
pub struct Node {
    /// The transaction that created it.
    pub czxid: i64,
    /// The transaction that modified it last.
    pub mzxid: i64,
    /// The data of the entry.
    pub data: Bytes,
    /// The session that owns the entry; 0 if it is not ephemeral.
    pub owner: i64,
    /// The access list.
    pub acl: Vec<Acl>,
}

impl Node {
    fn stat(&self) -> Stat {
        Stat {
            czxid: self.czxid,
            mzxid: self.mzxid,
            ephemeral_owner: self.owner,
            ctime: 1000,
            ..Stat::default()
        }
    }
}

/// Whether the follower receives the watch event of a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchDelivery {
    /// The event is delivered.
    Delivered,
    /// The event is lost.
    Lost,
}

/// A registry, and its connection to one follower.
pub struct FakeRegistry {
    /// The entries by name.
    pub nodes: BTreeMap<String, Node>,
    /// The id of the last transaction.
    zxid: i64,
    /// Whether there is a persistent watch on the path and everything below it.
    pub has_recursive_watch: bool,
    /// Whether there is a one-shot watch on the children of the path.
    has_children_watch: bool,
    /// The entries with a one-shot watch on their data.
    data_watches: BTreeSet<String>,
    /// Whether the registry supports persistent watches.
    pub has_persistent_watches: bool,
    is_connected: bool,
    /// Received requests that have not been executed.
    pub requests: VecDeque<TokenRequest>,
    /// Events that the follower has not received yet.
    pub events: VecDeque<Event>,
}

/// The data of an entry whose server listens on `port`.
pub fn payload(port: u16) -> Bytes {
    Bytes::from(format!("{{\"address\":\"{HOST}{port}\",\"started\":1000}}"))
}

/// The port in data made by [`payload`].
pub fn port_of(payload: &Bytes) -> u16 {
    let text = std::str::from_utf8(payload).unwrap();
    let (_, after_host) = text.split_once(HOST).unwrap();
    let (port, _) = after_host.split_once('"').unwrap();
    port.parse().unwrap()
}

/// The name of the entry at a path; `None` if the path is not below the followed one.
fn name_of(path: &str) -> Option<String> {
    path.strip_prefix(PATH)
        .map(|name| name.trim_start_matches('/').to_owned())
}

impl FakeRegistry {
    /// A registry without entries and without a connection.
    pub fn new(has_persistent_watches: bool) -> FakeRegistry {
        FakeRegistry {
            nodes: BTreeMap::new(),
            zxid: 0,
            has_recursive_watch: false,
            has_children_watch: false,
            data_watches: BTreeSet::new(),
            has_persistent_watches,
            is_connected: false,
            requests: VecDeque::new(),
            events: VecDeque::new(),
        }
    }

    /// Sends a watch event of the entry `name`, or of the path itself if `name` is empty.
    fn emit(&mut self, kind: WatchEventKind, name: &str, delivery: WatchDelivery) {
        let path = if name.is_empty() {
            PATH.to_owned()
        } else {
            format!("{PATH}/{name}")
        };
        if delivery == WatchDelivery::Delivered {
            self.events
                .push_back(Event::Watch(WatchEvent { kind, path }));
        }
    }

    /// Creates or changes the entry of a server.
    pub fn put_server(&mut self, name: &str, port: u16) {
        self.put(name, payload(port), OWNER_SESSION, WatchDelivery::Delivered);
    }

    /// Creates or changes an entry.
    pub fn put(&mut self, name: &str, data: Bytes, owner: i64, delivery: WatchDelivery) {
        self.zxid += 1;
        let previous = self.nodes.get(name).cloned();
        let node = Node {
            czxid: previous.as_ref().map_or(self.zxid, |node| node.czxid),
            mzxid: self.zxid,
            data,
            owner,
            acl: vec![Acl::open()],
        };
        self.nodes.insert(name.to_owned(), node);
        let is_watched = self.data_watches.remove(name);
        if previous.is_some() {
            if self.has_recursive_watch || is_watched {
                self.emit(WatchEventKind::DataChanged, name, delivery);
            }
        } else {
            if self.has_recursive_watch {
                self.emit(WatchEventKind::Created, name, delivery);
            }
            self.emit_children_changed(delivery);
        }
    }

    /// Removes an entry, if it exists.
    pub fn remove(&mut self, name: &str, delivery: WatchDelivery) {
        self.zxid += 1;
        if self.nodes.remove(name).is_none() {
            return;
        }
        if self.data_watches.remove(name) || self.has_recursive_watch {
            self.emit(WatchEventKind::Deleted, name, delivery);
        }
        self.emit_children_changed(delivery);
    }

    /// Fires the one-shot watch on the children, if it is set.
    fn emit_children_changed(&mut self, delivery: WatchDelivery) {
        if std::mem::take(&mut self.has_children_watch) {
            self.emit(WatchEventKind::ChildrenChanged, "", delivery);
        }
    }

    /// Executes the oldest request on the current state.
    pub fn execute_request(&mut self) {
        let Some(TokenRequest { token, op }) = self.requests.pop_front() else {
            return;
        };
        let response = self.response(op);
        self.events.push_back(Event::Response(token, response));
    }

    fn response(&mut self, op: Op) -> Result<Response, OperationError> {
        match op {
            Op::Sync { .. } => Ok(Response::Done),
            Op::AddWatch { .. } if self.has_persistent_watches => {
                self.has_recursive_watch = true;
                Ok(Response::Done)
            }
            Op::AddWatch { .. } => Err(OperationError::Unimplemented),
            Op::GetChildren { watch, .. } => {
                self.has_children_watch |= watch;
                let names = self.nodes.keys().cloned().map(Some).collect();
                Ok(Response::Children(names, Stat::default()))
            }
            Op::GetData { path, watch } => {
                let name = name_of(&path).expect("a path outside the followed one");
                let node = self.nodes.get(&name).ok_or(OperationError::NoNode)?;
                let response = Response::Data(node.data.clone(), node.stat());
                if watch {
                    self.data_watches.insert(name);
                }
                Ok(response)
            }
            Op::GetAcl { path } => {
                let name = name_of(&path).unwrap();
                let node = self.nodes.get(&name).ok_or(OperationError::NoNode)?;
                Ok(Response::Acl(node.acl.clone(), node.stat()))
            }
            _ => Err(OperationError::Unimplemented),
        }
    }

    /// Closes the connection, with all its watches and requests in flight.
    pub fn drop_connection(&mut self, follower: &mut Follower, now: f64) {
        if !self.is_connected {
            return;
        }
        self.is_connected = false;
        self.has_recursive_watch = false;
        self.has_children_watch = false;
        self.data_watches.clear();
        let without_response = self.requests.drain(..).map(|request| request.token);
        let undelivered = self.events.drain(..).filter_map(|event| match event {
            Event::Response(token, _) => Some(token),
            _ => None,
        });
        follower.handle_event(now, &Event::Disconnected(LossReason::Closed));
        for token in undelivered.chain(without_response) {
            follower.handle_event(now, &Event::RequestLost(token));
        }
    }

    /// Opens a connection with a new session, if there is no connection.
    pub fn connect(&mut self, follower: &mut Follower, now: f64) {
        if !self.is_connected {
            self.is_connected = true;
            follower.handle_event(
                now,
                &Event::Connected {
                    is_new_session: true,
                },
            );
        }
    }

    /// Takes the requests that the follower wants to send.
    pub fn receive_requests(&mut self, follower: &mut Follower) {
        while let Some(request) = follower.next_request().filter(|_| self.is_connected) {
            self.requests.push_back(request);
        }
    }

    /// Executes requests and delivers events until none are left.
    pub fn settle(&mut self, follower: &mut Follower, now: f64) {
        for _ in 0..MAX_SETTLING_STEPS {
            self.receive_requests(follower);
            self.execute_request();
            match self.events.pop_front() {
                Some(event) => follower.handle_event(now, &event),
                None if self.requests.is_empty() => {
                    self.receive_requests(follower);
                    if self.requests.is_empty() {
                        return;
                    }
                }
                None => {}
            }
        }
        panic!("the registry and the follower never settle");
    }
}
