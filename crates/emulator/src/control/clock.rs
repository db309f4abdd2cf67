//! Clocks of machines, which do not run as the world's one clock does.

/// A machine's own clock: where it stands at the world's moment 0, and how fast it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clock {
    /// What it shows at the world's moment 0, in seconds.
    pub offset: f64,
    /// Its seconds for each second of the world.
    pub rate: f64,
}

impl Clock {
    /// Runs as the world's clock does.
    pub const TRUE: Clock = Clock {
        offset: 0.0,
        rate: 1.0,
    };

    /// What it shows at a moment of the world.
    pub fn local(&self, world: f64) -> f64 {
        self.offset + world * self.rate
    }

    /// The moment of the world at which it shows this.
    pub fn world(&self, local: f64) -> f64 {
        (local - self.offset) / self.rate
    }
}
