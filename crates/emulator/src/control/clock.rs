//! Clocks of machines, which drift from the simulation's clock.

/// A machine's clock, as a linear function of the simulation's time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clock {
    /// Its time at simulation time 0, in seconds.
    pub offset: f64,
    /// Seconds of this clock per second of simulation time.
    pub rate: f64,
}

impl Clock {
    /// A clock that shows the simulation time.
    pub const TRUE: Clock = Clock {
        offset: 0.0,
        rate: 1.0,
    };

    /// Converts simulation time to the time of this clock.
    pub fn local(&self, world: f64) -> f64 {
        self.offset + world * self.rate
    }

    /// Converts a time of this clock to simulation time.
    pub fn world(&self, local: f64) -> f64 {
        (local - self.offset) / self.rate
    }
}
