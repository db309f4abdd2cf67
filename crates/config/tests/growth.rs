//! Reading and checking cost in proportion to the file, whatever it has many of.
//!
//! What is counted is the processor time of the test's own thread, so other load does not show, and of several runs
//! the least. Eight times the size may cost three times as much by the item; looking through all earlier items for
//! each would cost eight times as much.

mod common;

use common::{
    class, listener, member, route, server, service, times, whole_service, CLASS, LISTENER,
};
use nix::time::{clock_gettime, ClockId};
use reelfall_config::{check, reader, Model};
use std::hint::black_box;
use std::time::Duration;

/// The large file has so many times the items of the small one.
const LARGER: usize = 8;
/// The large file may cost so many times what the small one does.
const MAX_COST_RATIO: f64 = 24.0;
/// Runs of which the least counts.
const RUNS: usize = 5;

fn processor_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .unwrap()
        .into()
}

/// The least processor time of several runs, each with an input of its own.
fn cost<T, U>(input: impl Fn() -> T, run: impl Fn(T) -> U) -> f64 {
    let runs = (0..RUNS).map(|_| {
        let input = input();
        let start = processor_time();
        let output = black_box(run(black_box(input)));
        let cost = processor_time() - start;
        drop(output);
        cost.as_secs_f64()
    });
    runs.fold(f64::INFINITY, f64::min)
}

fn read(text: &str) -> Model {
    reader::toml("f.toml", text).unwrap()
}

#[track_caller]
fn assert_ratio(what: &str, small: f64, large: f64) {
    let times = large / small;
    assert!(
        times < MAX_COST_RATIO,
        "{what} of {LARGER} times the size costs {times:.1} times as much"
    );
}

/// Reads and checks files that have `small` of something and [`LARGER`] times as many, made by `file`.
#[track_caller]
fn assert_linear(small: usize, file: impl Fn(usize) -> String) {
    let texts = [file(small), file(small * LARGER)];
    let [first, second] = texts
        .each_ref()
        .map(|text| cost(|| text, |text| read(text)));
    assert_ratio("reading", first, second);
    let models = texts.each_ref().map(|text| read(text));
    let [first, second] = models.each_ref().map(|model| cost(|| model.clone(), check));
    assert_ratio("checking", first, second);
}

#[test]
fn with_the_services() {
    assert_linear(250, |n| LISTENER.to_owned() + &times(n, whole_service));
}

#[test]
fn with_the_servers_of_a_service() {
    let head = LISTENER.to_owned() + "[[service]]\nname = \"a\"\n" + CLASS + &route(0, "");
    assert_linear(1_000, |n| head.clone() + &times(n, server));
}

#[test]
fn with_the_servers_over_all_services() {
    let part = |n| whole_service(n).replace("server = []\n", "") + &server(n) + &server(n + 10_000);
    assert_linear(250, |n| LISTENER.to_owned() + &times(n, part));
}

#[test]
fn with_the_routes_of_a_service() {
    let head = LISTENER.to_owned() + &service("a") + CLASS;
    assert_linear(1_000, |n| head.clone() + &times(n, |n| route(n, "")));
}

#[test]
fn with_the_members_of_a_service() {
    let head = LISTENER.to_owned() + &service("a") + CLASS + &route(0, "");
    assert_linear(1_000, |n| head.clone() + &times(n, member));
}

#[test]
fn with_the_listeners() {
    assert_linear(1_000, |n| times(n, listener) + &whole_service(0));
}

#[test]
fn with_the_listeners_that_routes_name() {
    let named = |n| route(n, &format!("listener = \"l{n}\"\n"));
    assert_linear(1_000, |n| {
        times(n, listener) + &service("a") + CLASS + &times(n, named)
    });
}

#[test]
fn with_the_classes_that_routes_assign() {
    let assigns = |n| route(n, &format!("assign = \"c{n}\"\n"));
    let head = LISTENER.to_owned() + &service("a");
    assert_linear(1_000, |n| {
        head.clone() + &times(n, class) + &times(n, assigns)
    });
}

#[test]
fn with_the_classes_that_fields_have() {
    let head = LISTENER.to_owned() + &service("a");
    let graphql =
        "[service.graphql]\nother_query = \"c0\"\nother_mutation = \"u\"\n[service.graphql.query]\n";
    let unsafe_class = CLASS.replace("\"c\"", "\"u\"").replace("safe", "unsafe");
    let field = |n| format!("f{n} = \"c{n}\"\n");
    let tail = unsafe_class + &route(0, "");
    assert_linear(1_000, |n| {
        head.clone() + graphql + &times(n, field) + &times(n, class) + &tail
    });
}

#[test]
fn with_the_methods_of_a_route() {
    let head = LISTENER.to_owned() + &service("a") + CLASS;
    let methods = |n| format!("methods = [{}]\n", times(n, |n| format!("\"M{n}\", ")));
    assert_linear(1_000, |n| head.clone() + &route(0, &methods(n)));
}

#[test]
fn with_the_registries_that_services_follow() {
    let registry = |n| format!("[[registry]]\nname = \"r{n}\"\nmembers = [\"127.0.0.1:2181\"]\n");
    let registries = |services| services * 8;
    assert_linear(500, |n| {
        let last = registries(n) - 1;
        let follows = format!("registry = {{ name = \"r{last}\", path = \"/a\" }}\n");
        let part = |n| whole_service(n).replace("server = []\n", &follows);
        LISTENER.to_owned() + &times(registries(n), registry) + &times(n, part)
    });
}

#[test]
fn with_the_routes_whose_places_are_asked_for() {
    let plan = |n| check(read(&(LISTENER.to_owned() + &times(n, whole_service)))).unwrap();
    let places = |plan: &reelfall_config::Plan| {
        let lines = (0..plan.matches.len())
            .filter_map(|route| plan.origin(route))
            .map(|o| u64::from(o.line));
        lines.sum::<u64>()
    };
    let plans = [plan(500), plan(500 * LARGER)];
    let [first, second] = plans.each_ref().map(|plan| cost(|| plan, places));
    assert_ratio("the places of all routes", first, second);
}
