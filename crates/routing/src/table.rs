//! The route table.
//!
//! Every part of a route that is stated must match. Among the routes that match, the most special one wins, parts
//! compared in this order, the first difference deciding:
//!
//! 1. listener: a named one before any;
//! 2. host: the name itself, then `*.` names, the longest first, then any;
//! 3. path: the longest prefix, counted on segment borders;
//! 4. method: a named one before any;
//! 5. class: a named one before any.
//!
//! Two routes that match alike in all five can't be told apart and are an error when the table is made.
//!
//! A look-up walks the labels of a host and the segments of a path, never the routes, and no more segments than the
//! longest prefix has: a hostile path costs no more than a plain one.

use std::collections::HashMap;
use std::fmt;
use thiserror::Error;

/// A listener's number, given by whoever makes the table.
pub type ListenerId = u16;

/// Which hosts a route takes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub enum Host {
    /// All.
    #[default]
    Any,
    /// This one; lower case.
    Exact(Box<str>),
    /// All names below this one, at any depth, but not it itself; lower case, without `*.`.
    Below(Box<str>),
}

/// Why a host or path pattern can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PatternFault {
    /// Neither a host nor `*.` before one.
    #[error("a host pattern is a name, an address, or `*.` before a name")]
    Host,
    /// No path prefix.
    #[error(
        "a path prefix begins with `/` and has no dot segments, empty segments or needless escapes"
    )]
    Path,
}

impl Host {
    /// Reads a pattern: a name, an address, `*.name`, or `*` for all.
    ///
    /// # Errors
    /// If it is none of these. A port is none of a host's business here.
    pub fn read(pattern: &str) -> Result<Host, PatternFault> {
        if pattern == "*" {
            return Ok(Host::Any);
        }
        let lower = pattern.to_ascii_lowercase();
        if let Some(name) = lower.strip_prefix("*.") {
            let fits = crate::target::is_name(name);
            return fits
                .then(|| Host::Below(name.into()))
                .ok_or(PatternFault::Host);
        }
        let fits = crate::target::host(&lower).is_ok_and(|h| h == lower);
        fits.then(|| Host::Exact(lower.into()))
            .ok_or(PatternFault::Host)
    }
}

impl fmt::Display for Host {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Host::Any => f.write_str("*"),
            Host::Exact(name) => f.write_str(name),
            Host::Below(name) => write!(f, "*.{name}"),
        }
    }
}

/// A path prefix, without a slash at its end: `/` itself is the empty prefix.
///
/// # Errors
/// If no request could match it.
pub fn prefix(path: &str) -> Result<Box<str>, PatternFault> {
    crate::target::path(path).map_err(|_| PatternFault::Path)?;
    Ok(path.strip_suffix('/').unwrap_or(path).into())
}

/// What a route matches. `None` and an empty list stand for any.
#[derive(Clone, Debug, Default)]
pub struct Match {
    /// The listener.
    pub listener: Option<ListenerId>,
    /// The host.
    pub host: Host,
    /// The path prefix, as [`prefix`] gives it.
    pub path: Box<str>,
    /// The methods.
    pub methods: Vec<Box<str>>,
    /// The class that the request states.
    pub class: Option<Box<str>>,
}

impl fmt::Display for Match {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "host {} path {}",
            self.host,
            if self.path.is_empty() {
                "/"
            } else {
                &self.path
            }
        )?;
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

impl Match {
    /// Whether all that is stated here holds of a request. [`Table::get`] finds the same without asking each route.
    pub fn fits(&self, q: &Query) -> bool {
        let below = |name: &str| {
            q.host
                .strip_suffix(name)
                .is_some_and(|l| l.len() > 1 && l.ends_with('.'))
        };
        let host = match &self.host {
            Host::Any => true,
            Host::Exact(name) => **name == *q.host,
            Host::Below(name) => below(name),
        };
        let behind = q.path.strip_prefix(&*self.path);
        host && behind.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
            && self.listener.is_none_or(|l| l == q.listener)
            && (self.methods.is_empty() || self.methods.iter().any(|m| **m == *q.method))
            && self.class.as_deref().is_none_or(|c| Some(c) == q.class)
    }

    /// How special it is: of the routes that fit a request, the one with the greatest rank wins.
    pub fn rank(&self) -> (bool, (u8, usize), usize, bool, bool) {
        let host = match &self.host {
            Host::Any => (0, 0),
            Host::Below(name) => (1, name.len()),
            Host::Exact(_) => (2, 0),
        };
        let path = self.path.matches('/').count();
        (
            self.listener.is_some(),
            host,
            path,
            !self.methods.is_empty(),
            self.class.is_some(),
        )
    }
}

/// What a look-up is about.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Where the request came in.
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

/// Two routes that can't be told apart, by their places in the list that the table was made from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("routes {first} and {second} can't be told apart")]
pub struct Ambiguous {
    /// The earlier one.
    pub first: usize,
    /// The later one.
    pub second: usize,
}

/// The routes of one path: by method, then by class.
#[derive(Debug, Default)]
struct Leaf {
    by_method: HashMap<Box<str>, ByClass>,
    any_method: ByClass,
}

#[derive(Debug, Default)]
struct ByClass {
    named: HashMap<Box<str>, usize>,
    any: Option<usize>,
}

impl ByClass {
    fn get(&self, class: Option<&str>) -> Option<usize> {
        class.and_then(|c| self.named.get(c)).copied().or(self.any)
    }

    /// Puts a route in its place; the one that is there already if there is one.
    fn put(&mut self, class: Option<&str>, route: usize) -> Option<usize> {
        let old = match class {
            Some(class) => self.named.insert(class.into(), route),
            None => self.any.replace(route),
        };
        old.filter(|old| *old != route)
    }
}

/// The routes of one host.
#[derive(Debug, Default)]
struct Paths {
    leaves: HashMap<Box<str>, Leaf>,
    /// Segments of the longest prefix.
    depth: usize,
}

impl Paths {
    fn get(&self, q: &Query) -> Option<usize> {
        // Where the prefixes of the path end, up to the depth that some route has.
        let borders = q
            .path
            .match_indices('/')
            .map(|(at, _)| at)
            .skip(1)
            .chain([q.path.len()]);
        let mut ends = [0; Self::AT_ONCE];
        let mut from = 0;
        let mut best = self.leaf("", q);
        // From short to long in pieces of bounded size; the longest that matches is the last.
        let mut borders = borders.take(self.depth);
        loop {
            let mut n = 0;
            for (slot, at) in ends.iter_mut().zip(borders.by_ref()) {
                *slot = at;
                n += 1;
            }
            let longest = ends
                .iter()
                .take(n)
                .rev()
                .find_map(|end| self.leaf(q.path.get(..*end)?, q));
            best = longest.or(best);
            from += n;
            if n < Self::AT_ONCE || from >= self.depth {
                return best;
            }
        }
    }

    const AT_ONCE: usize = 16;

    fn leaf(&self, prefix: &str, q: &Query) -> Option<usize> {
        let leaf = self.leaves.get(prefix)?;
        let named = leaf.by_method.get(q.method).and_then(|c| c.get(q.class));
        named.or_else(|| leaf.any_method.get(q.class))
    }
}

/// The routes of one listener.
#[derive(Debug, Default)]
struct Hosts {
    exact: HashMap<Box<str>, Paths>,
    below: HashMap<Box<str>, Paths>,
    any: Paths,
}

impl Hosts {
    fn get(&self, q: &Query) -> Option<usize> {
        let exact = self.exact.get(q.host).and_then(|p| p.get(q));
        exact.or_else(|| self.wild(q)).or_else(|| self.any.get(q))
    }

    fn wild(&self, q: &Query) -> Option<usize> {
        if self.below.is_empty() {
            return None;
        }
        let suffixes = q
            .host
            .match_indices('.')
            .filter_map(|(at, _)| q.host.get(at + 1..));
        suffixes
            .filter_map(|name| self.below.get(name))
            .find_map(|p| p.get(q))
    }

    fn paths(&mut self, host: &Host) -> &mut Paths {
        match host {
            Host::Any => &mut self.any,
            Host::Exact(name) => self.exact.entry(name.clone()).or_default(),
            Host::Below(name) => self.below.entry(name.clone()).or_default(),
        }
    }
}

/// All routes, ready for look-ups.
#[derive(Debug, Default)]
pub struct Table {
    by_listener: HashMap<ListenerId, Hosts>,
    any_listener: Hosts,
}

impl Table {
    /// Makes a table; routes are known by their places in the list.
    ///
    /// # Errors
    /// Names two routes that can't be told apart.
    pub fn new<'a>(routes: impl IntoIterator<Item = &'a Match>) -> Result<Table, Ambiguous> {
        let mut table = Table::default();
        for (n, route) in routes.into_iter().enumerate() {
            table
                .add(n, route)
                .map_err(|first| Ambiguous { first, second: n })?;
        }
        Ok(table)
    }

    fn add(&mut self, n: usize, route: &Match) -> Result<(), usize> {
        let hosts = match route.listener {
            Some(listener) => self.by_listener.entry(listener).or_default(),
            None => &mut self.any_listener,
        };
        let paths = hosts.paths(&route.host);
        paths.depth = paths.depth.max(route.path.matches('/').count());
        let leaf = paths.leaves.entry(route.path.clone()).or_default();
        let class = route.class.as_deref();
        if route.methods.is_empty() {
            return leaf.any_method.put(class, n).map_or(Ok(()), Err);
        }
        for method in &route.methods {
            if let Some(old) = leaf
                .by_method
                .entry(method.clone())
                .or_default()
                .put(class, n)
            {
                return Err(old);
            }
        }
        Ok(())
    }

    /// The route of a request.
    pub fn get(&self, q: &Query) -> Option<usize> {
        let own = self.by_listener.get(&q.listener).and_then(|h| h.get(q));
        own.or_else(|| self.any_listener.get(q))
    }
}
