//! Compares the route table with a reference on random routes and requests.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_routing::table::{
    parse_path_prefix, AmbiguousRoutes, HostPattern, PatternError, RouteConditions, RouteQuery,
    RouteTable,
};

/// Finds the route by applying the rules of precedence to all routes: every condition must match, and of several matching
/// routes the one with the highest rank is selected.
fn reference_find(routes: &[RouteConditions], query: &RouteQuery) -> Option<usize> {
    (0..routes.len())
        .filter(|index| matches(&routes[*index], query))
        .max_by_key(|index| Rank::of(&routes[*index]))
}

fn matches(route: &RouteConditions, query: &RouteQuery) -> bool {
    let host = match &route.host {
        HostPattern::Any => true,
        HostPattern::Exact(name) => **name == *query.host,
        HostPattern::Subdomains(name) => {
            query.host.len() > name.len() + 1 && query.host.ends_with(&format!(".{name}"))
        }
    };
    let segments: Vec<&str> = query.path.split('/').collect();
    let prefix: Vec<&str> = route.path_prefix.split('/').collect();
    let path = segments.starts_with(&prefix);
    let listener = route
        .listener
        .is_none_or(|listener| listener == query.listener);
    let method = route.methods.is_empty() || has_method(route, query.method);
    let class = route.class.is_none() || route.class.as_deref() == query.class;
    host && path && listener && method && class
}

fn has_method(route: &RouteConditions, method: &str) -> bool {
    route.methods.iter().any(|allowed| **allowed == *method)
}

/// The precedence of a route. The fields are compared in the order of their declaration.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    has_listener: bool,
    host: HostRank,
    path_segments: usize,
    has_methods: bool,
    has_class: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum HostRank {
    Any,
    Subdomains { length: usize },
    Exact,
}

impl Rank {
    fn of(route: &RouteConditions) -> Rank {
        Rank {
            has_listener: route.listener.is_some(),
            host: match &route.host {
                HostPattern::Any => HostRank::Any,
                HostPattern::Subdomains(name) => HostRank::Subdomains { length: name.len() },
                HostPattern::Exact(_) => HostRank::Exact,
            },
            path_segments: route.path_prefix.matches('/').count(),
            has_methods: !route.methods.is_empty(),
            has_class: route.class.is_some(),
        }
    }
}

/// Whether a request can match both routes with the same precedence.
fn is_ambiguous(first: &RouteConditions, second: &RouteConditions) -> bool {
    let methods = match (first.methods.is_empty(), second.methods.is_empty()) {
        (true, true) => true,
        (false, false) => first
            .methods
            .iter()
            .any(|method| second.methods.contains(method)),
        _ => false,
    };
    methods
        && first.listener == second.listener
        && first.host == second.host
        && first.path_prefix == second.path_prefix
        && first.class == second.class
}

/// Whether the route at `index` is ambiguous with an earlier one.
fn is_ambiguous_with_earlier(routes: &[RouteConditions], index: usize) -> bool {
    let mut earlier = routes[..index].iter();
    earlier.any(|earlier| is_ambiguous(earlier, &routes[index]))
}

fn label() -> impl Strategy<Value = &'static str> {
    prop_oneof![Just("a"), Just("b"), Just("aa")]
}

fn host_name() -> impl Strategy<Value = String> {
    prop::collection::vec(label(), 1..4).prop_map(|labels| labels.join("."))
}

fn path(max_segments: usize) -> impl Strategy<Value = String> {
    prop::collection::vec(label(), 0..max_segments)
        .prop_map(|segments| format!("/{}", segments.join("/")))
}

fn random_route() -> impl Strategy<Value = RouteConditions> {
    let host = prop_oneof![
        1 => Just("*".to_owned()),
        2 => host_name(),
        2 => host_name().prop_map(|name| format!("*.{name}")),
    ];
    let methods = prop::sample::subsequence(vec!["GET", "POST"], 0..=2);
    let class = prop::option::of(prop_oneof![Just("x"), Just("y")]);
    (prop::option::of(0..2u16), host, path(4), methods, class).prop_map(
        |(listener, host, path, methods, class)| RouteConditions {
            listener,
            host: HostPattern::parse(&host).unwrap(),
            path_prefix: parse_path_prefix(&path).unwrap(),
            methods: methods.into_iter().map(Into::into).collect(),
            class: class.map(Into::into),
        },
    )
}

#[test]
fn table_agrees_with_reference() {
    let queries = prop::collection::vec(
        (
            0..3u16,
            host_name(),
            path(40),
            prop_oneof![Just("GET"), Just("POST"), Just("PUT")],
            prop::option::of(prop_oneof![Just("x"), Just("y"), Just("z")]),
        ),
        20,
    );
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let mut found = 0;
    TestRunner::new_with_rng(config, rng).run_one_by_one(
        &(prop::collection::vec(random_route(), 0..30), queries),
        |(routes, queries)| {
            let routes = unambiguous_routes(routes);
            let table = RouteTable::new(&routes).expect("no two routes are ambiguous");
            for (listener, host, path, method, class) in &queries {
                let query = RouteQuery {
                    listener: *listener,
                    host,
                    path,
                    method,
                    class: *class,
                };
                assert_eq!(
                    table.find(&query),
                    reference_find(&routes, &query),
                    "{query:?} in {routes:?}"
                );
                found += usize::from(table.find(&query).is_some());
            }
        },
    );
    assert!(found > 1000, "only {found} requests match a route");
}

/// Removes the routes that are ambiguous with an earlier one, and checks that the table reports the first of them.
fn unambiguous_routes(routes: Vec<RouteConditions>) -> Vec<RouteConditions> {
    let first_ambiguous =
        (0..routes.len()).find(|index| is_ambiguous_with_earlier(&routes, *index));
    match (RouteTable::new(&routes), first_ambiguous) {
        (Err(AmbiguousRoutes { first, second }), Some(expected)) => {
            assert!(
                is_ambiguous(&routes[first], &routes[second]),
                "{} and {}",
                routes[first],
                routes[second]
            );
            assert_eq!(second, expected);
            (0..routes.len())
                .filter(|index| !is_ambiguous_with_earlier(&routes, *index))
                .map(|index| routes[index].clone())
                .collect()
        }
        (Ok(_), None) => routes,
        (table, first_ambiguous) => {
            panic!("{table:?} where the first ambiguous route is {first_ambiguous:?}")
        }
    }
}

/// Runs a test on random values in sequence and without shrinking, so that its closure can count results.
trait OneByOne {
    fn run_one_by_one<S: Strategy>(self, strategy: &S, test: impl FnMut(S::Value));
}

impl OneByOne for TestRunner {
    fn run_one_by_one<S: Strategy>(mut self, strategy: &S, mut test: impl FnMut(S::Value)) {
        use proptest::strategy::ValueTree;
        for _ in 0..self.config().cases {
            test(
                strategy
                    .new_tree(&mut self)
                    .expect("the strategy generates a value")
                    .current(),
            );
        }
    }
}

/// A route with conditions on the host and the path only.
fn route(host: &str, path: &str) -> RouteConditions {
    RouteConditions {
        host: HostPattern::parse(host).unwrap(),
        path_prefix: parse_path_prefix(path).unwrap(),
        ..RouteConditions::default()
    }
}

#[test]
fn prefixes_match_complete_segments_and_ignore_trailing_slashes() {
    let routes = [route("a", "/api"), route("a", "/api/v1/"), route("a", "/")];
    let table = RouteTable::new(&routes).unwrap();
    let find = |path| {
        table.find(&RouteQuery {
            listener: 0,
            host: "a",
            path,
            method: "GET",
            class: None,
        })
    };
    assert_eq!(find("/api"), Some(0));
    assert_eq!(find("/api/"), Some(0));
    assert_eq!(find("/apis"), Some(2));
    assert_eq!(find("/api/v1"), Some(1));
    assert_eq!(find("/api/v10"), Some(0));
    assert_eq!(find("/"), Some(2));
    assert_eq!(
        RouteTable::new(&[route("a", "/x"), route("a", "/x/")]).unwrap_err(),
        AmbiguousRoutes {
            first: 0,
            second: 1
        }
    );
}

#[test]
fn lookup_cost_is_bounded_by_the_longest_prefix() {
    let table = RouteTable::new(&[route("a", "/x/x")]).unwrap();
    let long_path = "/x".repeat(4_000);
    let query = RouteQuery {
        listener: 0,
        host: "a",
        path: &long_path,
        method: "GET",
        class: None,
    };
    // Looking up every prefix of the path would hash about 3 TB in total.
    for _ in 0..100_000 {
        assert_eq!(table.find(&query), Some(0));
    }
}

#[test]
fn patterns_that_match_no_request_are_rejected() {
    for invalid in [
        "", "a b", "*.", "*a", "a.*", "a:80", "a.", "**", "*.*", "http://a",
    ] {
        assert_eq!(
            HostPattern::parse(invalid),
            Err(PatternError::Host),
            "{invalid}"
        );
    }
    assert_eq!(
        HostPattern::parse("*.Example.ORG"),
        Ok(HostPattern::Subdomains("example.org".into()))
    );
    for invalid in ["", "api", "/a//b", "/../a", "/%61", "/a b", "/a%2fb"] {
        assert_eq!(
            parse_path_prefix(invalid),
            Err(PatternError::Path),
            "{invalid}"
        );
    }
}
