//! Dispatch of lease messages and disk events to the state machines, and of their effects back.

use super::admin;
use super::disk::{Disk, DiskEvent, Outbox};
use super::{LeaseError, Leases, LocalKeeper};
use crate::fleet::Recipient;
use reelfall_cluster::node::Node;
use reelfall_config::model;
use reelfall_lease::durable::DurableState;
use reelfall_lease::holder::LeaseEvent;
use reelfall_lease::keeper::{self, Destination, Effects, Keeper};
use reelfall_lease::message::{ClientId, Message, Request, Response};
use reelfall_lease::token::LeaseName;
use reelfall_lease::Micros;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::mpsc;

impl LocalKeeper {
    /// Starts the storage of the keeper on this node, if the settings name the node as one.
    pub(super) fn start(
        node: &str,
        settings: &model::Leases,
        events: mpsc::UnboundedSender<DiskEvent>,
    ) -> Result<Option<LocalKeeper>, LeaseError> {
        let place = settings.keepers.iter().position(|name| name == node);
        let Some((place, folder)) = place.zip(settings.folder.clone()) else {
            return Ok(None);
        };
        let disk = Disk::start(folder, events).map_err(LeaseError::StorageThread)?;
        Ok(Some(LocalKeeper {
            place,
            disk,
            keeper: RefCell::default(),
            opening: Cell::default(),
            last_status: RefCell::default(),
            dropped_requests: Cell::default(),
        }))
    }
}

impl Leases {
    /// Subscribes to the messages of other nodes.
    pub(super) fn receive_messages(self: &Rc<Self>) {
        let leases = Rc::downgrade(self);
        self.fleet.set_message_handler(Box::new(move |from, body| {
            if let Some(leases) = leases.upgrade() {
                leases.handle_message(from, body);
            }
        }));
    }

    fn handle_message(&self, from: &Node, body: &[u8]) {
        let Some(message) = self.group_id.strip_from(body).and_then(Message::decode) else {
            return;
        };
        let place = self.keepers.iter().position(|name| *name == from.name);
        match (message, place) {
            (Message::Request(request), _) => {
                let client = ClientId {
                    name: from.name.clone(),
                    tag: from.incarnation.tag,
                };
                self.with_keeper(|keeper, now| keeper.handle_request(now, &client, request));
            }
            (Message::Peer(message), Some(place)) => {
                self.with_keeper(|keeper, now| keeper.handle_peer_message(now, place, message));
            }
            (Message::Response(response), Some(place)) => self.handle_response(place, response),
            // The sender is no keeper.
            (Message::Peer(_) | Message::Response(_), None) => {}
        }
        self.process_effects();
        self.wake.notify_one();
    }

    /// Calls the keeper on this node, if there is one and its disk keeps up.
    fn with_keeper(&self, call: impl FnOnce(&mut Keeper, Micros)) {
        let Some(local) = &self.local_keeper else {
            return;
        };
        if !local.disk.has_capacity() {
            // The disk is slower than the requests: the clients send them again.
            local.dropped_requests.set(local.dropped_requests.get() + 1);
            return;
        }
        if let Some(keeper) = local.keeper.borrow_mut().as_mut() {
            call(keeper, self.now());
        }
    }

    fn handle_response(&self, place: usize, response: Response) {
        let (now, random) = (self.now(), self.random.next());
        if let Some(local) = self.local_leases.borrow_mut().get_mut(response.lease()) {
            local.lease.handle_response(now, place, response, random);
        }
    }

    /// Sends, writes and logs the effects of events, until there are no more.
    pub(super) fn process_effects(&self) {
        loop {
            self.process_leases();
            self.process_keeper();
            let Some(message) = self.loopback.borrow_mut().pop_front() else {
                return;
            };
            let Some(place) = self.local_keeper.as_ref().map(|local| local.place) else {
                continue;
            };
            match message {
                Message::Request(request) => {
                    let me = self.client_id();
                    self.with_keeper(|keeper, now| keeper.handle_request(now, &me, request));
                }
                Message::Response(response) => self.handle_response(place, response),
                Message::Peer(_) => {}
            }
        }
    }

    fn process_leases(&self) {
        let mut requests = Vec::new();
        for (name, local) in self.local_leases.borrow_mut().iter_mut() {
            requests.extend(local.lease.take_requests());
            for event in local.lease.take_events() {
                self.changed.notify_waiters();
                self.log_event(name, &event);
            }
        }
        for (place, request) in requests {
            self.send_request(place, request);
        }
    }

    fn log_event(&self, name: &LeaseName, event: &LeaseEvent) {
        let (change, token) = match event {
            LeaseEvent::Acquired(token) => ("acquired", token),
            LeaseEvent::Released(token) => ("released", token),
            LeaseEvent::Lost(token) => ("lost", token),
        };
        let number = token.number();
        self.log
            .write_line(format_args!("lease {name}: {change}, token {number}"));
    }

    fn send_request(&self, place: usize, request: Request) {
        let message = Message::Request(request);
        let local = self.local_keeper.as_ref();
        if local.is_some_and(|local| local.place == place) {
            self.loopback.borrow_mut().push_back(message);
        } else {
            self.send_to_keeper(place, &message);
        }
    }

    fn send_to_keeper(&self, place: usize, message: &Message) {
        if let Some((name, body)) = self.keepers.get(place).zip(self.encode(message)) {
            self.fleet
                .send_message(&Recipient::Named(name.clone()), body);
        }
    }

    fn send_to_client(&self, client: &ClientId, message: &Message) {
        if let Some(body) = self.encode(message) {
            self.fleet
                .send_message(&Recipient::Tagged(client.tag), body);
        }
    }

    fn encode(&self, message: &Message) -> Option<Vec<u8>> {
        message
            .encode()
            .map(|bytes| self.group_id.prepend_to(&bytes))
    }

    fn send_all(&self, messages: Outbox) {
        let me = self.client_id().tag;
        for (to, message) in messages {
            match to {
                Destination::Client(client) if client.tag == me => {
                    self.loopback.borrow_mut().push_back(message);
                }
                Destination::Client(client) => self.send_to_client(&client, &message),
                Destination::Keeper(place) => self.send_to_keeper(place, &message),
            }
        }
    }

    fn process_keeper(&self) {
        let Some(local) = &self.local_keeper else {
            return;
        };
        let Effects { records, messages } = match local.keeper.borrow_mut().as_mut() {
            Some(keeper) => keeper.take_effects(),
            None => return,
        };
        if records.is_empty() && messages.is_empty() {
            return;
        }
        if records.is_empty() && local.disk.is_idle() {
            return self.send_all(messages);
        }
        // Messages after a write that waits must not overtake it.
        if !local.disk.write(local.opening.get(), records, messages) {
            self.stop_keeper(local, "more waits for the disk than may");
        }
    }

    pub(super) fn handle_disk_event(&self, event: DiskEvent) {
        let Some(local) = &self.local_keeper else {
            return;
        };
        match event {
            DiskEvent::Opened { opening, state } => {
                local.opening.set(opening);
                local.disk.reset();
                let keeper = self.open_keeper(local.place, *state);
                local.keeper.replace(Some(keeper));
            }
            DiskEvent::Written {
                opening,
                writes,
                messages,
            } => {
                if opening == local.opening.get() && local.keeper.borrow().is_some() {
                    local.disk.complete(writes);
                    self.send_all(messages);
                }
            }
            DiskEvent::Failed(error) => self.stop_keeper(local, &error.to_string()),
        }
        self.process_effects();
        self.log_status(local);
    }

    fn open_keeper(&self, place: usize, state: DurableState) -> Keeper {
        let config = keeper::Config {
            margins: self.config.margins,
            max_length: self.max_length,
            ..keeper::Config::default()
        };
        let (tag, now) = (self.random.storage_tag(), self.now());
        Keeper::open(place, self.keepers.len(), config, state, tag, now)
    }

    /// Stops the keeper until its folder is open again: its state in memory may be ahead of the disk.
    fn stop_keeper(&self, local: &LocalKeeper, reason: &str) {
        local.keeper.replace(None);
        local.opening.set(0);
        if local.last_status.replace(reason.to_owned()) != reason {
            self.log
                .write_line(format_args!("leases: the keeper's folder: {reason}"));
        }
    }

    /// Logs the keeper's status if it has changed.
    fn log_status(&self, local: &LocalKeeper) {
        let status = local.keeper.borrow().as_ref().map(Keeper::status);
        let Some(status) = status.map(admin::describe) else {
            return;
        };
        if *local.last_status.borrow() != status {
            self.log
                .write_line(format_args!("leases: this keeper {status}"));
            local.last_status.replace(status);
        }
    }
}
