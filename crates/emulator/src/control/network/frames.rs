//! Sending in a [`Network`]: a frame is queued at the sender's uplink, then its link delays, drops or duplicates it.

use super::{Arrival, Event, Network};
use crate::control::endpoint::{Endpoint, OutgoingFrame, ReceivedFrame};
use crate::control::links::{Delivery, Link};
use rand::Rng;

/// Maximum number of retransmissions of a lost frame of a stream.
const MAX_RETRANSMISSIONS: u32 = 16;

/// An ordered stream of frames from one endpoint to another.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Stream {
    from: u32,
    to: u32,
}

/// A frame that has passed its sender's uplink.
struct InTransit {
    to: u32,
    departure: f64,
    link: Link,
    received: ReceivedFrame,
}

impl<E: Endpoint> Network<E> {
    /// Sends a frame over the link between two endpoints.
    pub(super) fn send(&mut self, from: u32, outgoing: OutgoingFrame) {
        let OutgoingFrame { to, frame } = outgoing;
        let bytes = self.bytes_on_link(&frame);
        if let Some(slot) = self.slots.get_mut(from as usize) {
            slot.account.sent(self.now, bytes);
        }
        let departure = self.departure(from, bytes);
        let Some(distance) = self.topology.distance(from, to) else {
            self.undelivered.ended += 1;
            return;
        };
        if self.is_partitioned(from, to) {
            self.undelivered.partitioned += 1;
            return;
        }
        let in_transit = InTransit {
            to,
            departure,
            link: self.links.over(distance),
            received: ReceivedFrame { from, frame },
        };
        match self.links.delivery {
            Delivery::Datagrams => self.send_datagram(in_transit),
            Delivery::Streams {
                retransmission_timeout,
            } => self.send_in_stream(in_transit, retransmission_timeout),
        }
    }

    /// Size of a frame including lower-layer headers, in bytes.
    pub(super) fn bytes_on_link(&self, frame: &[u8]) -> u64 {
        (frame.len() + self.links.overhead) as u64
    }

    /// Queues this many bytes at the sender's uplink; returns when the last one has been sent.
    fn departure(&mut self, from: u32, bytes: u64) -> f64 {
        let duration = bytes as f64 / self.links.bandwidth;
        let Some(slot) = self.slots.get_mut(from as usize) else {
            return self.now;
        };
        slot.uplink_free_at = slot.uplink_free_at.max(self.now) + duration;
        slot.uplink_free_at
    }

    /// Samples whether an event of this probability occurs. Probability 0 draws no random number.
    fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random::<f64>() < probability
    }

    fn sample_delay(&mut self, link: Link) -> f64 {
        link.min_delay + (link.max_delay - link.min_delay) * self.rng.random::<f64>()
    }

    fn send_datagram(&mut self, in_transit: InTransit) {
        let InTransit {
            to,
            departure,
            link,
            received,
        } = in_transit;
        if self.happens(link.duplication) {
            let at = departure + self.sample_delay(link);
            self.schedule_arrival(at, to, received.clone());
        }
        if self.happens(link.loss) {
            self.undelivered.lost += 1;
            return;
        }
        let at = departure + self.sample_delay(link);
        self.schedule_arrival(at, to, received);
    }

    fn send_in_stream(&mut self, in_transit: InTransit, retransmission_timeout: f64) {
        let InTransit {
            to,
            departure,
            link,
            received,
        } = in_transit;
        let mut at = departure + self.sample_delay(link);
        for _ in 0..MAX_RETRANSMISSIONS {
            if !self.happens(link.loss) {
                break;
            }
            at += retransmission_timeout;
        }
        let stream = Stream {
            from: received.from,
            to,
        };
        let last = self.last_arrivals.entry(stream).or_insert(at);
        // Frames that arrive at the same time are delivered in the order in which they were scheduled.
        at = at.max(*last);
        *last = at;
        self.schedule_arrival(at, to, received);
    }

    fn schedule_arrival(&mut self, at: f64, to: u32, received: ReceivedFrame) {
        let slot = self.slots.get(to as usize);
        let incarnation = slot.map_or(0, |slot| slot.incarnation);
        let arrival = Arrival {
            to,
            incarnation,
            received,
        };
        self.queue.schedule(at, Event::Arrival(arrival));
    }
}
