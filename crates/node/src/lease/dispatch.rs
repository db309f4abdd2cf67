//! Delivers messages to the leases and the keeper of this node, and sends their messages to other nodes.

use super::disk::Outbox;
use super::Leases;
use crate::fleet::Recipient;
use reelfall_cluster::node::Node;
use reelfall_lease::holder::{KeeperRequest, LeaseEvent};
use reelfall_lease::keeper::{Destination, OutgoingMessage};
use reelfall_lease::message::{ClientId, Message, Request, Response};
use reelfall_lease::token::LeaseName;
use std::rc::Rc;

impl Leases {
    /// Registers the handler of messages from other nodes.
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
        let index = self.keepers.iter().position(|name| *name == from.name);
        match (message, index) {
            (Message::Request(request), _) => {
                let client = ClientId {
                    name: from.name.clone(),
                    instance_id: from.incarnation.tag,
                };
                self.with_keeper(|keeper, now| keeper.handle_request(now, &client, request));
            }
            (Message::Peer(message), Some(index)) => {
                self.with_keeper(|keeper, now| keeper.handle_peer_message(now, index, message));
            }
            (Message::Response(response), Some(index)) => self.handle_response(index, response),
            // The sender is not a keeper.
            (Message::Peer(_) | Message::Response(_), None) => {}
        }
        self.process_effects();
        self.wake.notify_one();
    }

    fn handle_response(&self, index: usize, response: Response) {
        let (now, random) = (self.now(), self.random.next());
        if let Some(local) = self.local_leases.borrow_mut().get_mut(response.lease()) {
            local.lease.handle_response(now, index, response, random);
        }
    }

    /// Sends, writes and logs the effects of the state machines, including those of messages to this node itself.
    pub(super) fn process_effects(&self) {
        loop {
            self.process_leases();
            self.process_keeper();
            let Some(message) = self.loopback.borrow_mut().pop_front() else {
                return;
            };
            let Some(index) = self.local_keeper.as_ref().map(|local| local.index) else {
                continue;
            };
            match message {
                Message::Request(request) => {
                    let me = self.client_id();
                    self.with_keeper(|keeper, now| keeper.handle_request(now, &me, request));
                }
                Message::Response(response) => self.handle_response(index, response),
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
        for KeeperRequest { keeper, request } in requests {
            self.send_request(keeper, request);
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

    fn send_request(&self, index: usize, request: Request) {
        let message = Message::Request(request);
        let local = self.local_keeper.as_ref();
        if local.is_some_and(|local| local.index == index) {
            self.loopback.borrow_mut().push_back(message);
        } else {
            self.send_to_keeper(index, &message);
        }
    }

    fn send_to_keeper(&self, index: usize, message: &Message) {
        if let Some((name, body)) = self.keepers.get(index).zip(self.encode(message)) {
            self.fleet
                .send_message(&Recipient::Named(name.clone()), body);
        }
    }

    fn send_to_client(&self, client: &ClientId, message: &Message) {
        if let Some(body) = self.encode(message) {
            self.fleet
                .send_message(&Recipient::Tagged(client.instance_id), body);
        }
    }

    fn encode(&self, message: &Message) -> Option<Vec<u8>> {
        message
            .encode()
            .map(|bytes| self.group_id.prepend_to(&bytes))
    }

    pub(super) fn send_all(&self, messages: Outbox) {
        let me = self.client_id().instance_id;
        for OutgoingMessage {
            destination,
            message,
        } in messages
        {
            match destination {
                Destination::Client(client) if client.instance_id == me => {
                    self.loopback.borrow_mut().push_back(message);
                }
                Destination::Client(client) => self.send_to_client(&client, &message),
                Destination::Keeper(index) => self.send_to_keeper(index, &message),
            }
        }
    }
}
