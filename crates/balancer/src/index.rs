//! Positions by dense numbers.

/// Where the thing of each number stands in a list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    places: Vec<Option<usize>>,
}

impl Index {
    /// Where the thing of this number stands, if it is listed.
    pub(crate) fn get(&self, number: u32) -> Option<usize> {
        self.places.get(number as usize).copied().flatten()
    }

    /// Says where the thing of this number stands from now on.
    pub(crate) fn set(&mut self, number: u32, place: Option<usize>) {
        let number = number as usize;
        if self.places.len() <= number {
            self.places.resize(number + 1, None);
        }
        self.places[number] = place;
    }
}
