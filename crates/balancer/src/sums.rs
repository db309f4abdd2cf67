//! Running sums and means that stay accurate while values are added and taken out again.

/// A sum that keeps the rounding errors of its additions (Neumaier's variant of Kahan summation).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sum {
    rounded: f64,
    error: f64,
}

impl Sum {
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

    /// The sum of what was added.
    pub(crate) fn value(&self) -> f64 {
        self.rounded + self.error
    }
}

/// A mean of values that come and go.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    sum: Sum,
    count: usize,
}

impl Mean {
    /// Adds a value.
    pub(crate) fn add(&mut self, value: f64) {
        self.sum.add(value);
        self.count += 1;
    }

    /// Takes out a value that was added before.
    pub(crate) fn remove(&mut self, value: f64) {
        self.sum.add(-value);
        self.count = self.count.saturating_sub(1);
        if self.count == 0 {
            self.sum = Sum::default();
        }
    }

    /// The mean, if there is any value.
    pub(crate) fn value(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum.value() / self.count as f64)
    }
}
