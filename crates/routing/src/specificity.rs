//! The specificity of a route, by which [`crate::table`] chooses among several routes that match a request.

/// How specific the conditions of a route are. The fields are compared in the order of their declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Specificity {
    /// Whether the route matches one listener only.
    pub names_listener: bool,
    /// The specificity of the host pattern.
    pub host: HostSpecificity,
    /// The number of segments of the path prefix.
    pub path_segments: usize,
    /// Whether the route is limited to some methods.
    pub names_methods: bool,
    /// Whether the route is limited to one class.
    pub names_class: bool,
}

/// How specific the host pattern of a route is, the least specific first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostSpecificity {
    /// The pattern matches every host.
    Any,
    /// The pattern matches the subdomains of a name.
    Subdomains {
        /// The length of the parent domain's name, in bytes; a longer one is more specific.
        len: usize,
    },
    /// The pattern matches one host.
    Exact,
}
