//! Positions in a settings file, values with their position, and errors at a position.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;
use thiserror::Error;

/// The position of an item in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The name of the file.
    pub file: Arc<str>,
    /// The number of the line, from 1; 0 for the file as a whole.
    pub line: u32,
}

impl Origin {
    /// The origin of a file as a whole.
    pub fn file(name: &str) -> Origin {
        Origin {
            file: name.into(),
            line: 0,
        }
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}", self.file),
            line => write!(f, "{}:{line}", self.file),
        }
    }
}

/// A value with its position in the file. Equality compares only the values.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Where the value was read.
    pub origin: Origin,
}

impl<T> Deref for Located<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T: PartialEq> PartialEq for Located<T> {
    fn eq(&self, other: &Self) -> bool {
        self.value == other.value
    }
}

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{origin}: {message}")]
pub struct ConfigError {
    /// Where the error is.
    pub origin: Origin,
    /// What is wrong, for the author of the file.
    pub message: String,
}

/// The errors of a settings file; at least one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index > 0 { "\n" } else { "" };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}
