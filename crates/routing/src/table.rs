//! The route table: finds the route of a request.
//!
//! Every condition of a route must match. Among the routes that match, the most specific one wins; conditions are
//! compared in this order, and the first difference decides:
//!
//! 1. listener: a named one before any;
//! 2. host: the name itself, then `*.` names, the longest first, then any;
//! 3. path: the longest prefix, counted on segment borders;
//! 4. method: a named one before any;
//! 5. class: a named one before any.
//!
//! Two routes that are equal in all five are ambiguous and an error when the table is made.
//!
//! A look-up iterates over the labels of a host and the segments of a path, never over the routes, and over no more
//! segments than the longest prefix has, so that a hostile path costs no more than a plain one.

use crate::specificity::{HostSpecificity, Specificity};
use std::collections::HashMap;
use std::fmt;
use thiserror::Error;

/// The id of a listener, assigned by the caller.
pub type ListenerId = u16;

/// The pattern of a route's hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub enum HostPattern {
    /// Every host.
    #[default]
    Any,
    /// This host; lower case.
    Exact(Box<str>),
    /// All subdomains of this name, at any depth, but not the name itself; lower case, without `*.`.
    Subdomains(Box<str>),
}

/// Why a host or path pattern is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PatternError {
    /// The pattern is neither a host nor `*.` before one.
    #[error("a host pattern is a name, an address, or `*.` before a name")]
    Host,
    /// The pattern is not a path prefix that a valid request can match.
    #[error(
        "a path prefix begins with `/` and has no dot segments, empty segments or needless escapes"
    )]
    Path,
}

impl HostPattern {
    /// Parses a pattern: a name, an address, `*.name`, or `*` for every host.
    ///
    /// # Errors
    /// If it is none of these, or has a port.
    pub fn parse(pattern: &str) -> Result<HostPattern, PatternError> {
        if pattern == "*" {
            return Ok(HostPattern::Any);
        }
        let lower = pattern.to_ascii_lowercase();
        if let Some(name) = lower.strip_prefix("*.") {
            if !crate::target::is_host_name(name) {
                return Err(PatternError::Host);
            }
            return Ok(HostPattern::Subdomains(name.into()));
        }
        let has_port = crate::target::parse_host(&lower).map(|host| host != lower);
        match has_port {
            Ok(false) => Ok(HostPattern::Exact(lower.into())),
            Ok(true) | Err(_) => Err(PatternError::Host),
        }
    }
}

impl fmt::Display for HostPattern {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            HostPattern::Any => f.write_str("*"),
            HostPattern::Exact(name) => f.write_str(name),
            HostPattern::Subdomains(name) => write!(f, "*.{name}"),
        }
    }
}

/// Parses a path prefix, and removes a slash at its end: `/` becomes the empty prefix.
///
/// # Errors
/// If no valid request could match it.
pub fn parse_path_prefix(path: &str) -> Result<Box<str>, PatternError> {
    crate::target::check_path(path).map_err(|_| PatternError::Path)?;
    Ok(path.strip_suffix('/').unwrap_or(path).into())
}

/// The conditions of a route. `None` and an empty list match everything.
#[derive(Clone, Debug, Default)]
pub struct RouteConditions {
    /// The listener.
    pub listener: Option<ListenerId>,
    /// The host pattern.
    pub host: HostPattern,
    /// The path prefix, as [`parse_path_prefix`] gives it.
    pub path_prefix: Box<str>,
    /// The methods.
    pub methods: Vec<Box<str>>,
    /// The class that the request has to state.
    pub class: Option<Box<str>>,
}

impl fmt::Display for RouteConditions {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let path = if self.path_prefix.is_empty() {
            "/"
        } else {
            &self.path_prefix
        };
        write!(f, "host {} path {path}", self.host)?;
        if !self.methods.is_empty() {
            write!(f, " method {}", self.methods.join("|"))?;
        }
        if let Some(class) = &self.class {
            write!(f, " class {class}")?;
        }
        if let Some(listener) = self.listener {
            write!(f, " listener {listener}")?;
        }
        Ok(())
    }
}

impl RouteConditions {
    /// Whether a request fulfils all conditions. [`RouteTable::find`] finds the matching routes without iterating over all.
    pub fn matches(&self, query: &RouteQuery) -> bool {
        self.host_matches(query.host)
            && self.path_matches(query.path)
            && self.listener.is_none_or(|id| id == query.listener)
            && (self.methods.is_empty() || self.methods.iter().any(|m| **m == *query.method))
            && self
                .class
                .as_deref()
                .is_none_or(|class| Some(class) == query.class)
    }

    fn host_matches(&self, host: &str) -> bool {
        match &self.host {
            HostPattern::Any => true,
            HostPattern::Exact(name) => **name == *host,
            HostPattern::Subdomains(name) => host
                .strip_suffix(&**name)
                .is_some_and(|labels| labels.len() > 1 && labels.ends_with('.')),
        }
    }

    fn path_matches(&self, path: &str) -> bool {
        path.strip_prefix(&*self.path_prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// How specific the route is: of the routes that match a request, the one with the greatest specificity wins.
    pub fn specificity(&self) -> Specificity {
        Specificity {
            names_listener: self.listener.is_some(),
            host: match &self.host {
                HostPattern::Any => HostSpecificity::Any,
                HostPattern::Subdomains(name) => HostSpecificity::Subdomains { len: name.len() },
                HostPattern::Exact(_) => HostSpecificity::Exact,
            },
            path_segments: self.path_prefix.matches('/').count(),
            names_methods: !self.methods.is_empty(),
            names_class: self.class.is_some(),
        }
    }
}

/// The properties of a request that determine its route.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The listener that accepted it.
    pub listener: ListenerId,
    /// Its host, in lower case.
    pub host: &'a str,
    /// Its path, without query.
    pub path: &'a str,
    /// Its method.
    pub method: &'a str,
    /// The class that it states, if any.
    pub class: Option<&'a str>,
}

/// Two routes have equal conditions. They are identified by their indices in the list that the table was made from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("routes {first} and {second} can't be told apart")]
pub struct AmbiguousRoutes {
    /// The earlier one.
    pub first: usize,
    /// The later one.
    pub second: usize,
}

/// The routes of one path prefix, by method and then by class.
#[derive(Debug, Default)]
struct MethodTable {
    by_method: HashMap<Box<str>, ClassTable>,
    any_method: ClassTable,
}

/// The routes of one method, by class.
#[derive(Debug, Default)]
struct ClassTable {
    by_class: HashMap<Box<str>, usize>,
    any_class: Option<usize>,
}

impl ClassTable {
    fn get(&self, class: Option<&str>) -> Option<usize> {
        class
            .and_then(|class| self.by_class.get(class))
            .copied()
            .or(self.any_class)
    }

    /// Inserts a route. Returns another route that had the same class.
    fn insert(&mut self, class: Option<&str>, route: usize) -> Option<usize> {
        let replaced = match class {
            Some(class) => self.by_class.insert(class.into(), route),
            None => self.any_class.replace(route),
        };
        replaced.filter(|replaced| *replaced != route)
    }
}

/// The routes of one host pattern, by path prefix.
#[derive(Debug, Default)]
struct PathTable {
    by_prefix: HashMap<Box<str>, MethodTable>,
    /// Number of segments of the longest prefix.
    max_segments: usize,
}

impl PathTable {
    /// The route with the longest prefix that matches.
    ///
    /// Prefixes are tried in chunks of bounded size: the chunks from short to long, the prefixes of a chunk from long to
    /// short. A match in a later chunk replaces that of an earlier one.
    fn get(&self, query: &RouteQuery) -> Option<usize> {
        let segment_ends = query
            .path
            .match_indices('/')
            .map(|(offset, _)| offset)
            .skip(1)
            .chain([query.path.len()]);
        let mut segment_ends = segment_ends.take(self.max_segments);
        let mut chunk = [0; Self::CHUNK_LEN];
        let mut segments_tried = 0;
        let mut best = self.get_by_prefix("", query);
        loop {
            let mut chunk_len = 0;
            for (slot, end) in chunk.iter_mut().zip(segment_ends.by_ref()) {
                *slot = end;
                chunk_len += 1;
            }
            let longest = chunk
                .iter()
                .take(chunk_len)
                .rev()
                .find_map(|end| self.get_by_prefix(query.path.get(..*end)?, query));
            best = longest.or(best);
            segments_tried += chunk_len;
            if chunk_len < Self::CHUNK_LEN || segments_tried >= self.max_segments {
                return best;
            }
        }
    }

    const CHUNK_LEN: usize = 16;

    fn get_by_prefix(&self, prefix: &str, query: &RouteQuery) -> Option<usize> {
        let methods = self.by_prefix.get(prefix)?;
        methods
            .by_method
            .get(query.method)
            .and_then(|classes| classes.get(query.class))
            .or_else(|| methods.any_method.get(query.class))
    }
}

/// The routes of one listener, by host pattern.
#[derive(Debug, Default)]
struct HostTable {
    by_host: HashMap<Box<str>, PathTable>,
    /// Patterns for all subdomains of a name, by that name.
    by_parent: HashMap<Box<str>, PathTable>,
    any_host: PathTable,
}

impl HostTable {
    fn get(&self, query: &RouteQuery) -> Option<usize> {
        self.by_host
            .get(query.host)
            .and_then(|paths| paths.get(query))
            .or_else(|| self.get_by_parent(query))
            .or_else(|| self.any_host.get(query))
    }

    /// The route of the longest parent domain that has one.
    fn get_by_parent(&self, query: &RouteQuery) -> Option<usize> {
        if self.by_parent.is_empty() {
            return None;
        }
        query
            .host
            .match_indices('.')
            .filter_map(|(offset, _)| query.host.get(offset + 1..))
            .filter_map(|parent| self.by_parent.get(parent))
            .find_map(|paths| paths.get(query))
    }

    fn paths(&mut self, host: &HostPattern) -> &mut PathTable {
        match host {
            HostPattern::Any => &mut self.any_host,
            HostPattern::Exact(name) => self.by_host.entry(name.clone()).or_default(),
            HostPattern::Subdomains(name) => self.by_parent.entry(name.clone()).or_default(),
        }
    }
}

/// All routes of a configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_listener: HashMap<ListenerId, HostTable>,
    any_listener: HostTable,
}

impl RouteTable {
    /// Makes a table. Look-ups return the index of a route in `routes`.
    ///
    /// # Errors
    /// If two routes are ambiguous.
    pub fn new<'a>(
        routes: impl IntoIterator<Item = &'a RouteConditions>,
    ) -> Result<RouteTable, AmbiguousRoutes> {
        let mut table = RouteTable::default();
        for (index, route) in routes.into_iter().enumerate() {
            table.insert(index, route)?;
        }
        Ok(table)
    }

    fn insert(&mut self, index: usize, route: &RouteConditions) -> Result<(), AmbiguousRoutes> {
        let hosts = match route.listener {
            Some(listener) => self.by_listener.entry(listener).or_default(),
            None => &mut self.any_listener,
        };
        let paths = hosts.paths(&route.host);
        let segments = route.path_prefix.matches('/').count();
        paths.max_segments = paths.max_segments.max(segments);
        let methods = paths
            .by_prefix
            .entry(route.path_prefix.clone())
            .or_default();
        let class = route.class.as_deref();
        let replaced = if route.methods.is_empty() {
            methods.any_method.insert(class, index)
        } else {
            route.methods.iter().find_map(|method| {
                let classes = methods.by_method.entry(method.clone()).or_default();
                classes.insert(class, index)
            })
        };
        match replaced {
            Some(first) => Err(AmbiguousRoutes {
                first,
                second: index,
            }),
            None => Ok(()),
        }
    }

    /// The route of a request.
    pub fn find(&self, query: &RouteQuery) -> Option<usize> {
        self.by_listener
            .get(&query.listener)
            .and_then(|hosts| hosts.get(query))
            .or_else(|| self.any_listener.get(query))
    }
}
