//! Parses the command line.

use std::fmt;
use std::num::ParseIntError;
use thiserror::Error;

/// Default number of seeds.
const DEFAULT_SEEDS: usize = 2;
/// Default sizes of clusters, in nodes.
const DEFAULT_SIZES: [usize; 3] = [30, 300, 1000];

/// What to measure.
pub enum Arguments {
    /// Detection of dead nodes.
    Members,
    /// Dissemination of bans.
    Dissemination {
        /// Number of seeds.
        seeds: usize,
        /// Sizes of clusters.
        sizes: Vec<usize>,
    },
}

/// An argument is not a number.
#[derive(Error)]
#[error("{argument}: {error}")]
pub struct ArgumentError {
    argument: String,
    error: ParseIntError,
}

/// `main` prints its error with this format.
impl fmt::Debug for ArgumentError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::Debug::fmt(&self.to_string(), f)
    }
}

impl Arguments {
    /// Parses the arguments after the name of the program.
    pub fn from_command_line(
        arguments: impl Iterator<Item = String>,
    ) -> Result<Arguments, ArgumentError> {
        let mut arguments = arguments.peekable();
        if arguments.peek().is_some_and(|first| first == "members") {
            return Ok(Arguments::Members);
        }
        let mut numbers = arguments.map(parse_number);
        let seeds = numbers.next().transpose()?.unwrap_or(DEFAULT_SEEDS);
        let mut sizes: Vec<usize> = numbers.collect::<Result<_, _>>()?;
        if sizes.is_empty() {
            sizes.extend(DEFAULT_SIZES);
        }
        Ok(Arguments::Dissemination { seeds, sizes })
    }
}

fn parse_number(argument: String) -> Result<usize, ArgumentError> {
    argument
        .parse()
        .map_err(|error| ArgumentError { argument, error })
}
