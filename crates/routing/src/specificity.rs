//! How specific the conditions of a route are, which decides between several routes that match a request. Used by
//! [`crate::table`].

/// How specific the conditions of a route are. The fields are compared in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Specificity {
    /// A listener is named.
    pub names_listener: bool,
    /// How specific the host is.
    pub host: HostSpecificity,
    /// Number of segments of the path.
    pub path_segments: usize,
    /// Methods are named.
    pub names_methods: bool,
    /// A class is named.
    pub names_class: bool,
}

/// How specific the host of a route is, the least specific first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostSpecificity {
    /// Any host.
    Any,
    /// The hosts below a domain.
    Subdomains {
        /// The length of the domain's name, in bytes.
        len: usize,
    },
    /// One host.
    Exact,
}
