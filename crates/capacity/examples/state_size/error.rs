//! Errors of measurements. All modules return them, and `main` prints them.

use reelfall_cluster::wire::KeyTooShort;
use reelfall_config::ConfigErrors;
use reelfall_lease::token::InvalidLeaseName;
use std::fmt;
use thiserror::Error as ThisError;

/// The result of a measurement.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a measurement failed.
#[derive(ThisError)]
pub enum Error {
    /// The arguments are not those of a command.
    #[error("usage: state_size COMMAND [PROGRAM] [SIZE...]")]
    Usage,
    /// The resource is unknown.
    #[error("unknown resource `{0}`")]
    UnknownResource(String),
    /// The process that measures one size failed, with this output.
    #[error("{0}")]
    Child(String),
    /// The system does not state the memory of a process.
    #[error("the system reports no resident set")]
    MissingResidentSet,
    /// The settings to be measured lack a part.
    #[error("the settings have no {0}")]
    MissingFixture(&'static str),
    /// A header is longer than a datagram.
    #[error("the header does not fit into a datagram")]
    HeaderTooLong,
    /// Entries are longer than a datagram.
    #[error("the entries do not fit into a datagram")]
    EntriesTooLong,
    /// A message is longer than a datagram.
    #[error("the message does not fit into a datagram")]
    MessageTooLong,
    /// A page of promises is longer than a message.
    #[error("the page of promises does not fit into a message")]
    PageTooLong,
    /// The node does not know all of its peers.
    #[error("only {known} peers are known in a cluster of {size} nodes")]
    UnknownPeers {
        /// Number of peers that the node knows.
        known: usize,
        /// Number of nodes of the cluster.
        size: usize,
    },
    /// The keeper did not grant all leases.
    #[error("only {granted} of {size} leases were granted")]
    LeasesNotGranted {
        /// Number of leases that were granted.
        granted: usize,
        /// Number of leases that were requested.
        size: usize,
    },
    /// The standard output of the node's process is not available.
    #[error("the standard output of the node is not available")]
    NoOutput,
    /// The temporary folder can't be created.
    #[error("{0}")]
    Folder(reelfall_testbed::Error),
    /// A file or process could not be used.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A size is not a number.
    #[error(transparent)]
    Size(#[from] std::num::ParseIntError),
    /// A figure is not a number.
    #[error(transparent)]
    Figure(#[from] std::num::ParseFloatError),
    /// The output of a process is not valid UTF-8.
    #[error(transparent)]
    Output(#[from] std::string::FromUtf8Error),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] ConfigErrors),
    /// The key of the cluster is too short.
    #[error(transparent)]
    Key(#[from] KeyTooShort),
    /// A lease name is invalid.
    #[error(transparent)]
    LeaseName(#[from] InvalidLeaseName),
}

/// `main` prints errors in their debug form: errors of other packages in their own, the others as quoted messages.
impl fmt::Debug for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Error::Io(source) => source.fmt(formatter),
            Error::Size(source) => source.fmt(formatter),
            Error::Figure(source) => source.fmt(formatter),
            Error::Output(source) => source.fmt(formatter),
            Error::Settings(source) => source.fmt(formatter),
            Error::Key(source) => source.fmt(formatter),
            Error::LeaseName(source) => source.fmt(formatter),
            message => message.to_string().fmt(formatter),
        }
    }
}
