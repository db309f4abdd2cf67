//! The route table: finds the route of a request.
//!
//! A route matches if all of its conditions match. Of several matching routes, the most specific one is selected.
//! Conditions are compared in this order, and the first difference decides:
//!
//! 1. listener: a given one before any;
//! 2. host: an exact name, then `*.` patterns, the longest first, then any;
//! 3. path: the prefix with the most segments;
//! 4. method: a given one before any;
//! 5. class: a given one before any.
//!
//! Two routes are ambiguous if they are equal in all five, where one shared method is enough. Building a table of them
//! fails.
//!
//! A lookup iterates over the labels of the host and the segments of the path, never over the routes, and over no more
//! segments than the longest prefix has, so that its cost is bounded for any path that a client sends.

use crate::specificity::{HostSpecificity, Specificity};
use std::collections::HashMap;
use std::fmt;
use thiserror::Error;

/// The id of a listener, assigned by the caller.
pub type ListenerId = u16;

/// The hosts that a route matches.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub enum HostPattern {
    /// Every host.
    #[default]
    Any,
    /// This host, in lower case.
    Exact(Box<str>),
    /// All subdomains of this name at any depth, but not the name itself. It is in lower case and without `*.`.
    Subdomains(Box<str>),
}

/// Why a host or path pattern is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PatternError {
    /// The pattern is neither a host nor `*.` followed by a name.
    #[error("a host pattern is a name, an address, or `*.` before a name")]
    Host,
    /// The pattern is not a prefix of any valid path.
    #[error(
        "a path prefix begins with `/` and has no dot segments, empty segments or needless escapes"
    )]
    Path,
}

impl HostPattern {
    /// Parses a pattern: a name, an address, `*.name`, or `*` for every host.
    ///
    /// # Errors
    /// If the pattern is none of these, or has a port.
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

/// Parses a path prefix and removes a trailing slash, so that `/` becomes the empty prefix.
///
/// # Errors
/// If it is not a prefix of any valid path.
pub fn parse_path_prefix(path: &str) -> Result<Box<str>, PatternError> {
    crate::target::check_path(path).map_err(|_| PatternError::Path)?;
    Ok(path.strip_suffix('/').unwrap_or(path).into())
}

/// The conditions of a route. `None` and an empty list match every request.
#[derive(Clone, Debug, Default)]
pub struct RouteConditions {
    /// The listener that has to have accepted the request.
    pub listener: Option<ListenerId>,
    /// The hosts of the request.
    pub host: HostPattern,
    /// The prefix of the path, as returned by [`parse_path_prefix`].
    pub path_prefix: Box<str>,
    /// The permitted methods.
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
    /// Whether a request meets all conditions. [`RouteTable::find`] finds the most specific matching route without calling
    /// this for every route.
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

    /// How specific the route is: of several matching routes, the one with the greatest specificity is selected.
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
    /// The host, in lower case.
    pub host: &'a str,
    /// The path, without the query.
    pub path: &'a str,
    /// The method.
    pub method: &'a str,
    /// The class that the request states, if any.
    pub class: Option<&'a str>,
}

/// Two ambiguous routes, by their indices in the list from which the table was to be built.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("routes {first} and {second} overlap and are equally specific")]
pub struct AmbiguousRoutes {
    /// The earlier route.
    pub first: usize,
    /// The later route.
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

    /// Inserts a route. Returns the other route that had the same class, if there was one.
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
    /// The number of segments of the longest prefix.
    max_segments: usize,
}

impl PathTable {
    /// The route with the longest matching prefix.
    ///
    /// Prefixes are looked up in chunks of bounded size: the chunks from the shortest prefixes to the longest, the
    /// prefixes within a chunk from the longest to the shortest. A match in a later chunk replaces an earlier one.
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
    /// Routes for all subdomains of a name, by that name.
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

    /// The matching route of the longest parent domain that has one.
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

/// The routes of a configuration, indexed for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_listener: HashMap<ListenerId, HostTable>,
    any_listener: HostTable,
}

impl RouteTable {
    /// Builds a table. Lookups return indices of `routes`.
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

    /// The index of the most specific route that matches a request.
    pub fn find(&self, query: &RouteQuery) -> Option<usize> {
        self.by_listener
            .get(&query.listener)
            .and_then(|hosts| hosts.get(query))
            .or_else(|| self.any_listener.get(query))
    }
}
