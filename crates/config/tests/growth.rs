//! The cost of reading and checking a settings file is linear in its size, whichever kind of item it has many of.
//!
//! The cost is the minimum CPU time of the test's own thread over several runs, so that other load does not count. In a
//! file of eight times the size, the cost per item may be up to three times as high. A linear search through the earlier
//! items for each item would make it eight times as high.

mod common;

use common::{
    class, listener, member, route, server, service, times, whole_service, CLASS, LISTENER,
};
use nix::time::{clock_gettime, ClockId};
use reelfall_config::{check, reader, Model, Plan};
use std::hint::black_box;
use std::time::Duration;

/// The number of items of the large file, divided by that of the small file.
const SIZE_RATIO: usize = 8;
/// The maximum cost of the large file, divided by the cost of the small file.
const MAX_COST_RATIO: f64 = 24.0;
/// The number of runs, of which the one with the lowest cost counts.
const RUNS: usize = 5;
/// The difference between the indices of a service's two servers, so that no two servers share an address.
const SECOND_SERVER_OFFSET: usize = 10_000;
/// The number of registries in a file for each of its services.
const REGISTRIES_PER_SERVICE: usize = 8;

fn thread_cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .unwrap()
        .into()
}

/// The minimum CPU time of several runs, in seconds; each run gets a new input.
fn min_cost<Input, Output>(make_input: impl Fn() -> Input, run: impl Fn(Input) -> Output) -> f64 {
    let runs = (0..RUNS).map(|_| {
        let input = make_input();
        let start = thread_cpu_time();
        let output = black_box(run(black_box(input)));
        let cost = thread_cpu_time() - start;
        drop(output);
        cost.as_secs_f64()
    });
    runs.fold(f64::INFINITY, f64::min)
}

fn parse(text: &str) -> Model {
    reader::parse_toml("f.toml", text).unwrap()
}

#[track_caller]
fn assert_cost_ratio(operation: &str, small_cost: f64, large_cost: f64) {
    let ratio = large_cost / small_cost;
    assert!(
        ratio < MAX_COST_RATIO,
        "{operation} of {SIZE_RATIO} times the size costs {ratio:.1} times as much"
    );
}

/// Asserts that reading and checking are linear in the number of items, for files of `small_count` items and of
/// [`SIZE_RATIO`] times as many, which `make_file` writes.
#[track_caller]
fn assert_linear(small_count: usize, make_file: impl Fn(usize) -> String) {
    let texts = [make_file(small_count), make_file(small_count * SIZE_RATIO)];
    let [small_cost, large_cost] = texts
        .each_ref()
        .map(|text| min_cost(|| text, |text| parse(text)));
    assert_cost_ratio("reading", small_cost, large_cost);
    let models = texts.each_ref().map(|text| parse(text));
    let [small_cost, large_cost] = models
        .each_ref()
        .map(|model| min_cost(|| model.clone(), check));
    assert_cost_ratio("checking", small_cost, large_cost);
}

#[test]
fn cost_is_linear_in_services() {
    assert_linear(250, |count| {
        LISTENER.to_owned() + &times(count, whole_service)
    });
}

#[test]
fn cost_is_linear_in_servers_of_one_service() {
    let head = LISTENER.to_owned() + "[[service]]\nname = \"a\"\n" + CLASS + &route(0, "");
    assert_linear(1_000, |count| head.clone() + &times(count, server));
}

#[test]
fn cost_is_linear_in_servers_of_all_services() {
    let service_of_two_servers = |index| {
        let service = whole_service(index).replace("server = []\n", "");
        service + &server(index) + &server(index + SECOND_SERVER_OFFSET)
    };
    assert_linear(250, |count| {
        LISTENER.to_owned() + &times(count, service_of_two_servers)
    });
}

#[test]
fn cost_is_linear_in_routes_of_one_service() {
    let head = LISTENER.to_owned() + &service("a") + CLASS;
    assert_linear(1_000, |count| {
        head.clone() + &times(count, |index| route(index, ""))
    });
}

#[test]
fn cost_is_linear_in_tenants_of_one_service() {
    let head = LISTENER.to_owned() + &service("a") + CLASS + &route(0, "");
    assert_linear(1_000, |count| head.clone() + &times(count, member));
}

#[test]
fn cost_is_linear_in_listeners() {
    assert_linear(1_000, |count| times(count, listener) + &whole_service(0));
}

#[test]
fn cost_is_linear_in_listeners_named_by_routes() {
    let route_of_listener = |index| route(index, &format!("listener = \"l{index}\"\n"));
    assert_linear(1_000, |count| {
        times(count, listener) + &service("a") + CLASS + &times(count, route_of_listener)
    });
}

#[test]
fn cost_is_linear_in_classes_assigned_by_routes() {
    let route_of_class = |index| route(index, &format!("assign = \"c{index}\"\n"));
    let head = LISTENER.to_owned() + &service("a");
    assert_linear(1_000, |count| {
        head.clone() + &times(count, class) + &times(count, route_of_class)
    });
}

#[test]
fn cost_is_linear_in_classes_of_graphql_fields() {
    let head = LISTENER.to_owned() + &service("a");
    let graphql =
        "[service.graphql]\nother_query = \"c0\"\nother_mutation = \"u\"\n[service.graphql.query]\n";
    let unsafe_class = CLASS.replace("\"c\"", "\"u\"").replace("safe", "unsafe");
    let field = |index| format!("f{index} = \"c{index}\"\n");
    let tail = unsafe_class + &route(0, "");
    assert_linear(1_000, |count| {
        head.clone() + graphql + &times(count, field) + &times(count, class) + &tail
    });
}

#[test]
fn cost_is_linear_in_methods_of_one_route() {
    let head = LISTENER.to_owned() + &service("a") + CLASS;
    let method = |index| format!("\"M{index}\", ");
    let methods = |count| format!("methods = [{}]\n", times(count, method));
    assert_linear(1_000, |count| head.clone() + &route(0, &methods(count)));
}

#[test]
fn cost_is_linear_in_registries_followed_by_services() {
    let registry =
        |index| format!("[[registry]]\nname = \"r{index}\"\nmembers = [\"127.0.0.1:2181\"]\n");
    assert_linear(500, |services| {
        let registries = services * REGISTRIES_PER_SERVICE;
        let last = registries - 1;
        let source = format!("registry = {{ name = \"r{last}\", path = \"/a\" }}\n");
        let registered_service = |index| whole_service(index).replace("server = []\n", &source);
        LISTENER.to_owned() + &times(registries, registry) + &times(services, registered_service)
    });
}

#[test]
fn origin_lookup_is_linear_in_routes() {
    let plan = |services| {
        let text = LISTENER.to_owned() + &times(services, whole_service);
        check(parse(&text)).unwrap()
    };
    let sum_of_origin_lines = |plan: &Plan| {
        let lines = (0..plan.route_conditions.len())
            .filter_map(|route| plan.route_origin(route))
            .map(|origin| u64::from(origin.line));
        lines.sum::<u64>()
    };
    let plans = [plan(500), plan(500 * SIZE_RATIO)];
    let [small_cost, large_cost] = plans
        .each_ref()
        .map(|plan| min_cost(|| plan, sum_of_origin_lines));
    assert_cost_ratio("finding the origins of all routes", small_cost, large_cost);
}
