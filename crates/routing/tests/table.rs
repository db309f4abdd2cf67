//! The table against a naive reference, on random tables and requests.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_routing::table::{
    parse_prefix, AmbiguousRoutes, Host, PatternError, RouteConditions, RouteQuery, RouteTable,
};

/// The rules of precedence, read off their text: everything stated must match, and the parts are compared in order.
fn naive(routes: &[RouteConditions], q: &RouteQuery) -> Option<usize> {
    let fits = |m: &RouteConditions| {
        let host = match &m.host {
            Host::Any => true,
            Host::Exact(name) => **name == *q.host,
            Host::Below(name) => {
                q.host.len() > name.len() + 1 && q.host.ends_with(&format!(".{name}"))
            }
        };
        let path = q
            .path
            .split('/')
            .collect::<Vec<_>>()
            .starts_with(&m.path.split('/').collect::<Vec<_>>());
        let listener = m.listener.is_none_or(|l| l == q.listener);
        let method = m.methods.is_empty() || m.methods.iter().any(|x| **x == *q.method);
        host && path && listener && method && m.class.as_deref().is_none_or(|c| Some(c) == q.class)
    };
    let rank = |m: &RouteConditions| {
        let host = match &m.host {
            Host::Any => (0, 0),
            Host::Below(name) => (1, name.len()),
            Host::Exact(_) => (2, 0),
        };
        let path = if m.path.is_empty() {
            0
        } else {
            m.path.matches('/').count()
        };
        (
            m.listener.is_some(),
            host,
            path,
            !m.methods.is_empty(),
            m.class.is_some(),
        )
    };
    (0..routes.len())
        .filter(|n| fits(&routes[*n]))
        .max_by_key(|n| rank(&routes[*n]))
}

fn alike(a: &RouteConditions, b: &RouteConditions) -> bool {
    let methods = match (a.methods.is_empty(), b.methods.is_empty()) {
        (true, true) => true,
        (false, false) => a.methods.iter().any(|m| b.methods.contains(m)),
        _ => false,
    };
    methods
        && a.listener == b.listener
        && a.host == b.host
        && a.path == b.path
        && a.class == b.class
}

fn label() -> impl Strategy<Value = &'static str> {
    prop_oneof![Just("a"), Just("b"), Just("aa")]
}

fn name() -> impl Strategy<Value = String> {
    prop::collection::vec(label(), 1..4).prop_map(|l| l.join("."))
}

fn path(most: usize) -> impl Strategy<Value = String> {
    prop::collection::vec(label(), 0..most).prop_map(|l| format!("/{}", l.join("/")))
}

fn route() -> impl Strategy<Value = RouteConditions> {
    let host = prop_oneof![
        1 => Just("*".to_owned()),
        2 => name(),
        2 => name().prop_map(|n| format!("*.{n}")),
    ];
    let methods = prop::sample::subsequence(vec!["GET", "POST"], 0..=2);
    let class = prop::option::of(prop_oneof![Just("x"), Just("y")]);
    (prop::option::of(0..2u16), host, path(4), methods, class).prop_map(
        |(listener, host, path, methods, class)| RouteConditions {
            listener,
            host: Host::parse(&host).unwrap(),
            path: parse_prefix(&path).unwrap(),
            methods: methods.into_iter().map(Into::into).collect(),
            class: class.map(Into::into),
        },
    )
}

#[test]
fn the_table_finds_what_the_rules_say() {
    let queries = prop::collection::vec(
        (
            0..3u16,
            name(),
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
        &(prop::collection::vec(route(), 0..30), queries),
        |(routes, queries)| {
            let first = (0..routes.len()).find_map(|n| {
                (0..n)
                    .find(|m| alike(&routes[*m], &routes[n]))
                    .map(|m| (m, n))
            });
            let table = RouteTable::new(&routes);
            // One pair is named; it is a pair that can't be told apart, and none is overlooked.
            let routes: Vec<RouteConditions> = match (table, first) {
                (Err(AmbiguousRoutes { first, second }), Some((_, n))) => {
                    assert!(
                        alike(&routes[first], &routes[second]),
                        "{} and {}",
                        routes[first],
                        routes[second]
                    );
                    assert_eq!(second, n);
                    let alone = |n: &usize| !(0..*n).any(|m| alike(&routes[m], &routes[*n]));
                    (0..routes.len())
                        .filter(alone)
                        .map(|n| routes[n].clone())
                        .collect()
                }
                (Ok(_), None) => routes,
                (table, first) => panic!("{table:?} where {first:?} are alike"),
            };
            let table = RouteTable::new(&routes).expect("no two are alike");
            for (listener, host, path, method, class) in &queries {
                let q = RouteQuery {
                    listener: *listener,
                    host,
                    path,
                    method,
                    class: *class,
                };
                assert_eq!(table.find(&q), naive(&routes, &q), "{q:?} in {routes:?}");
                found += usize::from(table.find(&q).is_some());
            }
        },
    );
    assert!(
        found > 1000,
        "too few of the requests match anything: {found}"
    );
}

/// Runs a test over values drawn from a strategy, in order and without shrinking closures that count.
trait OneByOne {
    fn run_one_by_one<S: Strategy>(self, strategy: &S, test: impl FnMut(S::Value));
}

impl OneByOne for TestRunner {
    fn run_one_by_one<S: Strategy>(mut self, strategy: &S, mut test: impl FnMut(S::Value)) {
        use proptest::strategy::ValueTree;
        for _ in 0..self.config().cases {
            test(strategy.new_tree(&mut self).expect("a value").current());
        }
    }
}

fn one(host: &str, path: &str) -> RouteConditions {
    RouteConditions {
        host: Host::parse(host).unwrap(),
        path: parse_prefix(path).unwrap(),
        ..RouteConditions::default()
    }
}

#[test]
fn prefixes_end_on_segment_borders_and_a_slash_at_the_end_changes_nothing() {
    let routes = [one("a", "/api"), one("a", "/api/v1/"), one("a", "/")];
    let table = RouteTable::new(&routes).unwrap();
    let at = |path| {
        table.find(&RouteQuery {
            listener: 0,
            host: "a",
            path,
            method: "GET",
            class: None,
        })
    };
    assert_eq!(at("/api"), Some(0));
    assert_eq!(at("/api/"), Some(0));
    assert_eq!(at("/apis"), Some(2));
    assert_eq!(at("/api/v1"), Some(1));
    assert_eq!(at("/api/v10"), Some(0));
    assert_eq!(at("/"), Some(2));
    assert_eq!(
        RouteTable::new(&[one("a", "/x"), one("a", "/x/")]).unwrap_err(),
        AmbiguousRoutes {
            first: 0,
            second: 1
        }
    );
}

#[test]
fn a_path_of_thousands_of_segments_costs_no_more_than_the_longest_prefix() {
    let table = RouteTable::new(&[one("a", "/x/x")]).unwrap();
    let long = "/x".repeat(4_000);
    let q = RouteQuery {
        listener: 0,
        host: "a",
        path: &long,
        method: "GET",
        class: None,
    };
    // Were each prefix looked up, these would hash some 3 TB.
    for _ in 0..100_000 {
        assert_eq!(table.find(&q), Some(0));
    }
}

#[test]
fn patterns_that_no_request_could_match_are_refused() {
    for bad in [
        "", "a b", "*.", "*a", "a.*", "a:80", "a.", "**", "*.*", "http://a",
    ] {
        assert_eq!(Host::parse(bad), Err(PatternError::Host), "{bad}");
    }
    assert_eq!(
        Host::parse("*.Example.ORG"),
        Ok(Host::Below("example.org".into()))
    );
    for bad in ["", "api", "/a//b", "/../a", "/%61", "/a b", "/a%2fb"] {
        assert_eq!(parse_prefix(bad), Err(PatternError::Path), "{bad}");
    }
}
