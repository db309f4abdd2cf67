//! Admission control: the fraction of the offered work that is admitted, and which requests are shed first.
//!
//! The admitted fraction falls with each late response and rises steadily while few responses are late. It also follows
//! the capacity of the listed servers, so that it reacts to a loss of servers before responses are late.

use super::estimates::WorkEstimates;
use crate::interface::{Settings, Time};

/// A response that takes more than this fraction of its latency objective counts as late. It is less than 1, as load
/// has to be shed before objectives are missed.
const LATE_OBJECTIVE_FRACTION: f64 = 0.95;
/// A response that takes less than this fraction of its latency objective is never late.
const MIN_LATE_OBJECTIVE_FRACTION: f64 = 0.6;
/// A response that takes more than this multiple of the unloaded response time is assumed to have been queued.
pub(super) const QUEUED_RESPONSE_FACTOR: f64 = 3.0;

/// Relative decrease of the admitted fraction within the shortest deadline if all responses are late.
const DECREASE: f64 = 2.0;
/// Maximum relative decrease of the admitted fraction per late response.
const MAX_DECREASE: f64 = 0.25;
/// Increase of the admitted fraction within the shortest deadline.
const INCREASE: f64 = 0.2;
/// From this fraction of late responses on, each of them has its full decrease and the admitted fraction does not rise.
const HIGH_LATE_FRACTION: f64 = 0.25;
/// Maximum smoothing factor of the fraction of late responses.
const MAX_LATE_STEP: f64 = 0.125;
/// Time constant of the decay of the fraction of late responses, in shortest deadlines.
const LATE_DECAY_DEADLINES: f64 = 4.0;
/// The admitted fraction may rise above 1 up to this, so that a few late responses do not shed load.
const MAX_ADMITTED_FRACTION: f64 = 1.3;
/// The least admitted fraction: without any requests the end of the overload would not be noticed.
const MIN_ADMITTED_FRACTION: f64 = 0.1;

/// How long a response may take, in seconds, before its server is considered overloaded.
pub(super) fn queueing_threshold(latency_objective: Time, unloaded_response: Time) -> Time {
    (LATE_OBJECTIVE_FRACTION * latency_objective).min(QUEUED_RESPONSE_FACTOR * unloaded_response)
}

/// Whether a response that was awaited for this time, in seconds, counts as late for admission.
pub(super) fn is_late(waited: Time, latency_objective: Time, unloaded_response: Time) -> bool {
    let threshold = queueing_threshold(latency_objective, unloaded_response);
    waited > threshold.max(MIN_LATE_OBJECTIVE_FRACTION * latency_objective)
}

/// The requests of one class that are within the quotas of their tenants, or those that are over them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Segment(usize);

impl Segment {
    /// The segment of a request.
    pub(super) fn new(class: usize, is_over_quota: bool) -> Self {
        Segment(2 * class + usize::from(is_over_quota))
    }

    fn class(self) -> usize {
        self.0 / 2
    }

    fn is_over_quota(self) -> bool {
        self.0 % 2 == 1
    }
}

/// Decaying sums of the work of one segment, in seconds on a standard core.
#[derive(Clone, Copy, Debug, Default)]
struct SegmentWork {
    offered: f64,
    served: f64,
}

impl SegmentWork {
    fn served_fraction(&self) -> f64 {
        self.served / self.offered.max(f64::MIN_POSITIVE)
    }
}

/// The state of admission control.
pub(super) struct Admission {
    admitted_fraction: f64,
    /// Smoothed fraction of late responses.
    late_fraction: f64,
    last_response_at: Time,
    /// Capacity of the listed servers, in units of a warm server.
    capacity: f64,
    segments: Vec<SegmentWork>,
}

impl Admission {
    /// Creates the state in which everything is admitted.
    pub(super) fn new(classes: usize, now: Time) -> Self {
        Admission {
            admitted_fraction: MAX_ADMITTED_FRACTION,
            late_fraction: 0.0,
            last_response_at: now,
            capacity: 0.0,
            segments: vec![SegmentWork::default(); 2 * classes],
        }
    }

    /// The fraction of the offered work that is admitted, up to 1.
    pub(super) fn admitted_fraction(&self) -> f64 {
        self.admitted_fraction.min(1.0)
    }

    /// Whether everything is admitted.
    pub(super) fn admits_all(&self) -> bool {
        self.admitted_fraction >= 1.0
    }

    /// Restores the admitted fraction; an invalid one is replaced by 1.
    pub(super) fn restore(&mut self, admitted_fraction: f64) {
        let is_usable = admitted_fraction.is_finite() && admitted_fraction > 0.0;
        self.admitted_fraction = if is_usable {
            admitted_fraction.clamp(MIN_ADMITTED_FRACTION, 1.0)
        } else {
            1.0
        };
    }

    /// Adds the work of a request that has arrived.
    pub(super) fn record_offered(&mut self, segment: Segment, work: f64) {
        self.segments[segment.0].offered += work;
    }

    /// Adds the work of a request that was served.
    pub(super) fn record_served(&mut self, segment: Segment, work: f64) {
        self.segments[segment.0].served += work;
    }

    /// Multiplies the sums of work by `retained`.
    pub(super) fn decay(&mut self, retained: f64) {
        for work in &mut self.segments {
            work.offered *= retained;
            work.served *= retained;
        }
    }

    /// Records a response, or an attempt that is overdue. A late one lowers the admitted fraction, by less the more
    /// requests arrive.
    pub(super) fn record_response(
        &mut self,
        now: Time,
        is_late: bool,
        shortest_deadline: Time,
        arrivals_per_second: f64,
    ) {
        let elapsed = (now - self.last_response_at).max(0.0);
        self.last_response_at = now;
        let step = (1.0 - (-2.0 * elapsed / shortest_deadline).exp()).min(MAX_LATE_STEP);
        self.late_fraction += step * (f64::from(is_late) - self.late_fraction);
        if is_late {
            let admitted_per_second = self.admitted_fraction() * arrivals_per_second;
            let severity = (self.late_fraction / HIGH_LATE_FRACTION).min(1.0);
            let decrease = DECREASE / shortest_deadline / admitted_per_second * severity;
            let admitted = self.admitted_fraction * (1.0 - decrease.min(MAX_DECREASE));
            self.admitted_fraction = admitted.max(MIN_ADMITTED_FRACTION);
        }
    }

    /// Raises the admitted fraction in proportion to the elapsed time, unless many responses are late.
    pub(super) fn recover(&mut self, elapsed: Time, shortest_deadline: Time) {
        self.late_fraction *= (-elapsed / (LATE_DECAY_DEADLINES * shortest_deadline)).exp();
        if self.late_fraction < HIGH_LATE_FRACTION {
            let increase = INCREASE * elapsed / shortest_deadline;
            self.admitted_fraction = (self.admitted_fraction + increase).min(MAX_ADMITTED_FRACTION);
        }
    }

    /// Adjusts the admitted fraction to a change of the capacity, by the square root of the ratio, as some capacity is
    /// usually spare. While everything is admitted this does not shed load, so that a fleet with little load can
    /// shrink.
    pub(super) fn set_capacity(&mut self, capacity: f64) {
        let previous = std::mem::replace(&mut self.capacity, capacity);
        if previous > 0.0 && capacity > 0.0 {
            let min = if self.admits_all() {
                1.0
            } else {
                MIN_ADMITTED_FRACTION
            };
            let adjusted = self.admitted_fraction * (capacity / previous).sqrt();
            self.admitted_fraction = adjusted.clamp(min, MAX_ADMITTED_FRACTION);
        }
    }

    /// The probability that a request of a segment is admitted while load is shed; 1 or more if all of them are. The
    /// admitted work is assigned to the segments in descending order of value.
    pub(super) fn segment_probability(
        &self,
        segment: Segment,
        settings: &Settings,
        work: &WorkEstimates,
    ) -> f64 {
        let total: f64 = self.segments.iter().map(|work| work.offered).sum();
        let value = self.value(segment, settings, work);
        let offered_first: f64 = self
            .all_segments()
            .filter(|other| *other != segment)
            .filter(|other| (self.value(*other, settings, work), *other) > (value, segment))
            .map(|other| self.segments[other.0].offered)
            .sum();
        (self.admitted_fraction * total - offered_first) / self.segments[segment.0].offered
    }

    fn all_segments(&self) -> impl Iterator<Item = Segment> {
        (0..self.segments.len()).map(Segment)
    }

    /// How much a unit of work of this segment contributes to the objective. The class with the least served fraction
    /// has an additional weight.
    fn value(&self, segment: Segment, settings: &Settings, work: &WorkEstimates) -> f64 {
        let density = |segment| weight_per_work(segment, settings, work);
        let offered = |segment: Segment| self.segments[segment.0].offered;
        let total: f64 = self
            .all_segments()
            .map(|other| density(other) * offered(other))
            .sum();
        let objective = &settings.objective;
        let mut value = objective.overall * density(segment) / total.max(f64::MIN_POSITIVE);
        if !segment.is_over_quota() && self.is_served_worst(segment) {
            value += objective.worst_class / offered(segment).max(f64::MIN_POSITIVE);
        }
        value
    }

    /// Whether no class has a smaller served fraction of its work within quotas.
    fn is_served_worst(&self, segment: Segment) -> bool {
        let served_fraction = self.segments[segment.0].served_fraction();
        let mut within_quota = self.all_segments().filter(|other| !other.is_over_quota());
        within_quota.all(|other| served_fraction <= self.segments[other.0].served_fraction())
    }
}

/// The priority weight of a unit of work.
fn weight_per_work(segment: Segment, settings: &Settings, work: &WorkEstimates) -> f64 {
    let class = &settings.classes[segment.class()];
    let unit = if settings.weight_per_work {
        1.0
    } else {
        work.of_class(segment.class())
    };
    let quota_factor = if segment.is_over_quota() {
        settings.over_quota_weight
    } else {
        1.0
    };
    class.priority_weight / unit * quota_factor
}
