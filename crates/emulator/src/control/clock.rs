//! Clocks of machines, which drift from the clock of the world. Each machine has one.

/// A machine's own clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clock {
    /// Its time at the world's time 0, in seconds.
    pub offset: f64,
    /// Its seconds per second of the world.
    pub rate: f64,
}

impl Clock {
    /// The world's clock.
    pub const TRUE: Clock = Clock {
        offset: 0.0,
        rate: 1.0,
    };

    /// Its time at a time of the world.
    pub fn local(&self, world: f64) -> f64 {
        self.offset + world * self.rate
    }

    /// The time of the world at a time of this clock.
    pub fn world(&self, local: f64) -> f64 {
        (local - self.offset) / self.rate
    }
}
