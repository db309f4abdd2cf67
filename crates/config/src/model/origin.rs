//! Places in a settings file, values that remember them, and errors that report them.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;
use thiserror::Error;

/// The place of an item in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The file.
    pub file: Arc<str>,
    /// The line, counted from 1; 0 for the file as a whole.
    pub line: u32,
}

impl Origin {
    /// The origin that stands for a whole file.
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

/// A value with the place where it was read. Equality compares the values only.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// The place where it was read.
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

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{origin}: {message}")]
pub struct ConfigError {
    /// The place of the error.
    pub origin: Origin,
    /// The description for the author of the file.
    pub message: String,
}

/// All errors of a file; at least one.
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
