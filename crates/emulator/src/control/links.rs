//! Properties of links: delay, loss, duplication, bandwidth, and delivery as datagrams or streams.

use super::topology::Distance;

/// How frames are delivered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delivery {
    /// As over UDP: frames may be lost, duplicated and reordered.
    Datagrams,
    /// As over TCP: frames between two endpoints arrive in order, and a lost frame delays itself and later ones by a
    /// retransmission. Frames sent to a process that has ended are not delivered to its successor.
    Streams {
        /// Seconds until a lost frame is retransmitted.
        retransmission_timeout: f64,
    },
}

/// The properties of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Minimum delay of a frame, in seconds.
    pub min_delay: f64,
    /// Maximum delay of a frame, in seconds.
    pub max_delay: f64,
    /// Fraction of frames that are lost.
    pub loss: f64,
    /// Fraction of datagrams that are delivered twice.
    pub duplication: f64,
}

/// The properties of all links of a network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Links {
    /// Between endpoints of one zone.
    pub within_zone: Link,
    /// Between zones of one region.
    pub within_region: Link,
    /// Between regions.
    pub between_regions: Link,
    /// Uplink bandwidth of each endpoint, in bytes per second.
    pub bandwidth: f64,
    /// Bytes of lower-layer headers per frame, which all counts of bytes include.
    pub overhead: usize,
    /// How frames are delivered.
    pub delivery: Delivery,
}

/// Headers of IPv4 and UDP, in bytes.
pub const UDP_OVERHEAD: usize = 28;
/// A gigabit per second, in bytes per second.
const GIGABIT: f64 = 125e6;

impl Default for Links {
    /// Assumed mean round-trip times of 0.6 ms within a zone, 2 ms between zones and 80 ms between regions, and an assumed
    /// loss of one frame in a thousand between regions.
    fn default() -> Self {
        let link = |min_delay, max_delay, loss| Link {
            min_delay,
            max_delay,
            loss,
            duplication: loss / 10.0,
        };
        Links {
            within_zone: link(0.000_2, 0.000_4, 0.000_01),
            within_region: link(0.000_7, 0.001_3, 0.000_1),
            between_regions: link(0.03, 0.05, 0.001),
            bandwidth: GIGABIT,
            overhead: UDP_OVERHEAD,
            delivery: Delivery::Datagrams,
        }
    }
}

impl Links {
    /// The link between two endpoints at this distance.
    pub fn over(&self, distance: Distance) -> Link {
        match distance {
            Distance::WithinZone => self.within_zone,
            Distance::WithinRegion => self.within_region,
            Distance::BetweenRegions => self.between_regions,
        }
    }

    /// Sets the fraction of frames that are lost on all links.
    pub fn with_loss(mut self, loss: f64) -> Links {
        for link in [
            &mut self.within_zone,
            &mut self.within_region,
            &mut self.between_regions,
        ] {
            link.loss = loss;
        }
        self
    }
}
