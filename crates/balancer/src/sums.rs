//! Running sums and means that stay accurate while values are added and removed.

/// A sum that compensates the rounding errors of its additions (Neumaier's variant of Kahan summation).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CompensatedSum {
    rounded: f64,
    error: f64,
}

impl CompensatedSum {
    /// Adds a value.
    pub(crate) fn add(&mut self, value: f64) {
        let total = self.rounded + value;
        self.error += if self.rounded.abs() >= value.abs() {
            (self.rounded - total) + value
        } else {
            (value - total) + self.rounded
        };
        self.rounded = total;
    }

    /// The sum of the added values.
    pub(crate) fn value(&self) -> f64 {
        self.rounded + self.error
    }
}

/// The mean of a changing set of values.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    sum: CompensatedSum,
    count: usize,
}

impl RunningMean {
    /// Adds a value.
    pub(crate) fn add(&mut self, value: f64) {
        self.sum.add(value);
        self.count += 1;
    }

    /// Removes a value that was added before.
    pub(crate) fn remove(&mut self, value: f64) {
        self.sum.add(-value);
        self.count = self.count.saturating_sub(1);
        if self.count == 0 {
            self.sum = CompensatedSum::default();
        }
    }

    /// The mean, if there is any value.
    pub(crate) fn value(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum.value() / self.count as f64)
    }
}
