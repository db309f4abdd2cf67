//! Broken files, each with what is said of it, and whole ones with what they mean.

use reelfall_config::{check, reader, units};

const LISTENER: &str = "[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:8443\"\n";
const CLASS: &str =
    "[[service.class]]\nname = \"c\"\nrepeat = \"safe\"\naim = \"100ms\"\ndeadline = \"1s\"\n";
const SERVER: &str = "[[service.server]]\nname = \"s\"\naddress = \"127.0.0.1:9000\"\n";
const ROUTE: &str = "[[service.route]]\n";

fn file_with_service(service: &str) -> String {
    format!("{LISTENER}[[service]]\nname = \"a\"\n{service}{CLASS}{SERVER}{ROUTE}")
}

fn faults(text: &str) -> Vec<String> {
    let read = reader::toml("f.toml", text).and_then(check);
    read.err()
        .map(|f| f.0.iter().map(ToString::to_string).collect())
        .unwrap_or_default()
}

#[track_caller]
fn assert_fault(text: &str, expected: &str) {
    let said = faults(text);
    assert!(
        said.iter().any(|s| s == expected),
        "{said:#?} instead of\n{expected}\nfor\n{text}"
    );
}

/// A service that follows a registry; `registry` goes into that, `follow` into the service's part.
fn file_with_registry(registry: &str, follow: &str) -> String {
    let registry = format!("[[registry]]\nname = \"r\"\n{registry}\n");
    let follow = format!("registry = {{ name = \"r\", path = \"/flags\"{follow} }}\n");
    registry + &file_with_service(&follow).replace(SERVER, "")
}

#[test]
fn mistakes_of_a_fleet_are_told() {
    let fleet = |more: &str| {
        let head =
            "[fleet]\nname = \"f\"\nnode = \"n1\"\nlisten = \"127.0.0.1:7946\"\nkey_file = \"k\"\n";
        format!("{head}{more}\n{}", file_with_service(""))
    };
    assert_eq!(faults(&fleet("")), Vec::<String>::new());
    assert_eq!(
        faults(&fleet(
            "suspect_for = \"2s\"\nverdicts = { witnesses = 2, most = 0.1 }"
        )),
        Vec::<String>::new()
    );
    let management = "[management]\naddress = \"127.0.0.1:7000\"\n";
    assert_eq!(
        faults(&(management.to_owned() + &file_with_service(""))),
        Vec::<String>::new()
    );
    for (more, said) in [
        (
            "verdicts = { witnesses = 1 }",
            "f.toml:1: fleet: verdicts.witnesses is 1, not between 2 and 1000",
        ),
        (
            "verdicts = { lasts = \"2m\" }",
            "f.toml:1: fleet: verdicts.lasts is 120s, not between 1s and 60s",
        ),
        (
            "answer_within = \"1s\"",
            "f.toml:1: fleet: answer_within is more than 0 and less than probe_every",
        ),
        (
            "size = 0",
            "f.toml:1: fleet: size is 0, not between 1 and 100000",
        ),
    ] {
        assert_fault(&fleet(more), said);
    }
    let open = fleet("").replace("127.0.0.1:7946", "0.0.0.0:7946");
    assert_fault(
        &open,
        "f.toml:1: fleet: nobody can send to 0.0.0.0:7946: add advertise",
    );
}

const MEMBERS: &str = "members = [\"127.0.0.1:2181\"]";

#[test]
fn mistakes_of_a_registry_are_told() {
    assert_eq!(
        faults(&file_with_registry(MEMBERS, "")),
        Vec::<String>::new()
    );
    let good = "[registry.entry]\npath = \"/nodes/n1\"\nname = \"n1\"";
    assert_eq!(
        faults(&file_with_registry(
            &format!("{MEMBERS}\n{good}"),
            ", stale = \"refuse\""
        )),
        Vec::<String>::new()
    );
    assert_fault(
        &file_with_registry("members = []", ""),
        "f.toml:1: registry `r` has no members: add their addresses",
    );
    assert_fault(
        &file_with_registry(&format!("{MEMBERS}\nsession = \"1ms\""), ""),
        "f.toml:1: registry `r`: session is 0.001s, not between 100ms and 600s",
    );
    assert_fault(
        &file_with_registry(&format!("{MEMBERS}\nsession = 6"), ""),
        "f.toml:4: `6` is a number alone: write a time with ms, s or m, as \"250ms\"",
    );
    assert_fault(
        &file_with_registry(&format!("{MEMBERS}\nconnect = \"1m\""), ""),
        "f.toml:1: registry `r`: connect is more than 0 and at most session",
    );
    assert_fault(
        &file_with_registry(
            &format!("{MEMBERS}\n{}", good.replace("/nodes/n1", "nodes")),
            "",
        ),
        "f.toml:4: `nodes` is no path of a registry: write it as \"/nodes/n1\"",
    );
    assert_fault(
        &file_with_registry(&format!("{MEMBERS}\n{good}\nguarded = true"), ""),
        "f.toml:4: registry `r`: a guarded entry needs digest_file, or nobody could change it",
    );
    assert_fault(
        &file_with_registry(MEMBERS, "").replace("path = \"/flags\"", "path = \"/flags/../x\""),
        "f.toml:7: service `a`: `/flags/../x` is no path of a registry: write it as \"/flags/evaluate\"",
    );
    assert_fault(
        &file_with_registry(MEMBERS, "")
            .replace("registry = { name = \"r\"", "registry = { name = \"q\""),
        "f.toml:7: service `a`: there is no registry `q`",
    );
    assert_fault(
        &file_with_registry(MEMBERS, ", entries = 0"),
        "f.toml:7: service `a`: entries is 0, not between 1 and 100000",
    );
    assert_fault(
        &file_with_registry(MEMBERS, ", reread = \"10ms\""),
        "f.toml:7: service `a`: reread and stale_after are 1s at least",
    );
    assert_fault(
        &file_with_registry(MEMBERS, ", stale = \"never\""),
        "f.toml:9: unknown variant `never`, expected `go-on` or `refuse`",
    );
}

#[test]
fn each_mistake_is_told_with_its_file_and_line() {
    assert_eq!(faults(&file_with_service("")), Vec::<String>::new());
    assert_fault(
        "",
        "f.toml: nothing to listen on: add [[listener]] with a name and an address",
    );
    assert_fault("", "f.toml: no services: add [[service]]");
    assert_fault("[process\n", "f.toml:1: unclosed table, expected `]`");
    assert_fault(
        "[process]\nmemory = 500\n",
        "f.toml:2: `500` is a number alone: write a size with B, KiB, MiB or GiB, as \"64KiB\"",
    );
    assert_fault(
        "[process]\nmemory = \"500\"\n",
        "f.toml:2: `500` has no unit: write a size with B, KiB, MiB or GiB, as \"64KiB\"",
    );
    assert_fault(
        "[process]\nmemory = \"5ms\"\n",
        "f.toml:2: `5ms` is no size: write it with B, KiB, MiB or GiB, as \"64KiB\"",
    );
    assert_fault(
        &format!("[process]\nmemory = \"1MiB\"\n{}", file_with_service("")),
        "f.toml:1: memory: 16MiB at least",
    );
    assert_fault(
        &format!("\n[process]\ndescriptors = 10\n{}", file_with_service("")),
        "f.toml:2: descriptors: 64 at least",
    );
    assert_fault(
        &format!("[process]\nnodes = 0\n{}", file_with_service("")),
        "f.toml:1: nodes: this one counts, so 1 at least",
    );
    assert_fault(
        &format!(
            "[process]\nserver_connections = 0\n{}",
            file_with_service("")
        ),
        "f.toml:1: server_connections: 1 at least",
    );
    assert_fault(
        &format!("[process]\nclients = 5000\n{}", file_with_service("")),
        "f.toml:1: clients: 5000 do not fit into the descriptors, which leave room for 8 to 570",
    );
    assert_fault(
        "[[listener]]\nname = \"l\"\naddress = \"localhost\"\n",
        "f.toml:3: `localhost` is no address: write one with its port, as \"127.0.0.1:8443\"",
    );
    assert_fault(
        &format!("{LISTENER}{}", file_with_service("")),
        "f.toml:4: listener `l` is there already, at line 1",
    );
    assert_fault(
        &format!(
            "{}{}",
            LISTENER.replace("\"l\"", "\"m\""),
            file_with_service("")
        ),
        "f.toml:4: listener `m` already has the address 127.0.0.1:8443",
    );
    assert_fault(
        &file_with_service("").replace("name = \"a\"", "name = \"a b\""),
        "f.toml:4: `a b` is no name for a service: use letters, digits, `-`, `_` and `.`",
    );
    assert_fault(&file_with_service("colour = 1\n"), "f.toml:6: unknown field `colour`, expected one of `name`, `state`, `server`, `discovery`, `registry`, `limits`, `graphql`, `tries`, `cold`, `class`, `member`, `route`");
    assert_fault(
        &file_with_service("state = \"off\"\n"),
        "f.toml:6: unknown variant `off`, expected `serving` or `draining`",
    );
    assert_fault(
        &file_with_service("discovery = \"127.0.0.1:8500\"\n"),
        "f.toml:4: service `a`: servers, a discovery and a registry are three sources: keep one",
    );
    assert_fault(
        &file_with_service("").replace(SERVER, ""),
        "f.toml:4: service `a` has no servers: add [[service.server]], a discovery or a registry",
    );
    assert_fault(
        &file_with_service("").replace(CLASS, ""),
        "f.toml:4: service `a` knows no requests: add [[service.class]]",
    );
    assert_fault(
        &file_with_service("").replace(ROUTE, ""),
        "f.toml:4: nothing reaches service `a`: add [[service.route]]",
    );
}

#[test]
fn figures_are_held_to_their_ranges() {
    assert_fault(
        &file_with_service("").replace("\"100ms\"", "100"),
        "f.toml:9: `100` is a number alone: write a time with ms, s or m, as \"250ms\"",
    );
    assert_fault(
        &file_with_service("").replace("\"100ms\"", "\"100\""),
        "f.toml:9: `100` has no unit: write a time with ms, s or m, as \"250ms\"",
    );
    assert_fault(
        &file_with_service("").replace("\"100ms\"", "\"2s\""),
        "f.toml:6: class `c`: aim (2s) is past its deadline (1s)",
    );
    assert_fault(
        &file_with_service("").replace("\"100ms\"", "\"0s\""),
        "f.toml:6: class `c`: aim is more than 0",
    );
    assert_fault(
        &file_with_service("").replace("\"1s\"", "\"2m\""),
        "f.toml:6: class `c`: deadline is 120s, 60s at most",
    );
    assert_fault(
        &file_with_service("").replace("\"safe\"", "\"maybe\""),
        "f.toml:8: unknown variant `maybe`, expected `safe` or `unsafe`",
    );
    assert_fault(
        &file_with_service("tries = { most = 0 }\n"),
        "f.toml:4: service `a`: tries.most is 0, not between 1 and 16",
    );
    assert_fault(
        &file_with_service("tries = { retry_share = 1.5 }\n"),
        "f.toml:6: `1.5` is not between 0 and 1",
    );
    assert_fault(
        &file_with_service("tries = { connect = \"0s\" }\n"),
        "f.toml:4: service `a`: tries.connect and tries.idle are more than 0",
    );
    assert_fault(
        &file_with_service("cold = { factor = 0 }\n"),
        "f.toml:6: `0` is not between 0.000001 and 1000000",
    );
    assert_fault(
        &file_with_service("limits = { rate = 300 }\n"),
        "f.toml:6: `300` is a number alone: write a rate with /s or /m, as \"300/s\"",
    );
    assert_fault(
        &file_with_service("limits = { rate = \"0/s\" }\n"),
        "f.toml:6: service `a`: a rate is more than 0/s and its burst 1 at least",
    );
    assert_fault(
        &file_with_service("limits = { open = 5, open_reserved = 6 }\n"),
        "f.toml:6: service `a`: open requests: 6 are reserved, but it may have 5",
    );
    assert_fault(&file_with_service("limits = { open = 0 }\n"), "f.toml:6: service `a`: open requests: 0 lets nothing through; to stop it, write state = \"draining\"");
    assert_fault(
        &file_with_service("limits = { weight = 0 }\n"),
        "f.toml:6: service `a`: weight is 0, not between 1 and 1000",
    );
    assert_fault(
        &format!("[process]\ndescriptors = 100\n{}", file_with_service("limits = { open_reserved = 90 }\n")),
        "f.toml:1: the reservations do not fit the process: open requests: 90 units are reserved of 32",
    );
    assert_fault(
        &(file_with_service("") + "[[service.member]]\nname = \"m\"\nquota = \"0/s\"\n"),
        "f.toml:15: member `m`: a quota is more than 0/s",
    );
}

#[test]
fn a_server_is_not_listed_by_more_services_than_a_cold_one_bears() {
    let services: String = (0..9)
        .map(|n| format!("[[service]]\nname = \"s{n}\"\n{CLASS}{SERVER}{ROUTE}host = \"h{n}\"\n"))
        .collect();
    assert_fault(
        &(LISTENER.to_owned() + &services),
        "f.toml:107: 127.0.0.1:9000 is listed by more than 8 services",
    );
}

#[test]
fn a_graphql_service_never_takes_a_mutation_for_safe() {
    let with = |more: &str| {
        let unsafe_class = CLASS.replace("\"c\"", "\"u\"").replace("safe", "unsafe");
        let graphql =
            format!("[service.graphql]\nother_query = \"c\"\nother_mutation = \"u\"\n{more}");
        format!(
            "{LISTENER}[[service]]\nname = \"a\"\n{graphql}{CLASS}{unsafe_class}{SERVER}{ROUTE}"
        )
    };
    assert_eq!(
        faults(&with(
            "mutation = { toggle = \"u\" }\nquery = { evaluate = \"c\" }\n"
        )),
        Vec::<String>::new()
    );
    assert_fault(
        &with("mutation = { toggle = \"c\" }\n"),
        "f.toml:6: service `a`: mutation field `toggle` is mapped to a class that is safe to repeat",
    );
    assert_fault(
        &with("query = { evaluate = \"x\" }\n"),
        "f.toml:6: service `a`: there is no class `x`",
    );
    assert_fault(
        &with("depth = 100\n"),
        "f.toml:6: service `a`: depth is 100, not between 1 and 64",
    );
    assert_fault(
        &with("batch = 0\n"),
        "f.toml:6: service `a`: batch is 1 to 256, side_by_side 1 to 64",
    );
    assert_fault(
        &with("").replace("other_mutation = \"u\"", "other_mutation = \"c\""),
        "f.toml:6: service `a`: the class of mutations that are not mapped is safe to repeat",
    );
    assert_fault(
        &with("").replace("other_mutation = \"u\"\n", ""),
        "f.toml:6: missing field `other_mutation`",
    );
}

#[test]
fn routes_that_lead_nowhere_or_two_ways_are_named() {
    assert_fault(
        &(file_with_service("") + "listener = \"x\"\n"),
        "f.toml:14: there is no listener `x`",
    );
    assert_fault(
        &(file_with_service("") + "assign = \"x\"\n"),
        "f.toml:14: service `a` has no class `x`",
    );
    assert_fault(
        &(file_with_service("") + "methods = [\"BREW\"]\n"),
        "f.toml:14: method `BREW` is not served: GET, POST, PUT, PATCH, DELETE",
    );
    assert_fault(
        &(file_with_service("") + "methods = [\"GET\", \"GET\"]\n"),
        "f.toml:14: method `GET` is named twice",
    );
    assert_fault(
        &(file_with_service("") + "host = \"a:80\"\n"),
        "f.toml:15: `a:80`: a host pattern is a name, an address, or `*.` before a name",
    );
    assert_fault(&(file_with_service("") + "path = \"/../x\"\n"), "f.toml:15: `/../x`: a path prefix begins with `/` and has no dot segments, empty segments or needless escapes");
    assert_fault(
        &(file_with_service("") + ROUTE),
        "f.toml:15: this route can't be told apart from the one at line 14",
    );
    let other = "[[service]]\nname = \"b\"\n".to_owned() + CLASS + SERVER + ROUTE;
    assert_fault(
        &(file_with_service("") + &other + "path = \"/\"\n"),
        "f.toml:25: this route can't be told apart from the one at line 14",
    );
    // Alike but for the methods is no mistake.
    assert_eq!(
        faults(&(file_with_service("") + &other + "methods = [\"GET\"]\n")),
        Vec::<String>::new()
    );
}

#[test]
fn all_mistakes_are_told_at_once_in_their_order() {
    let text = file_with_service("tries = { most = 0 }\n").replace("\"100ms\"", "\"2s\"")
        + "listener = \"x\"\n";
    let lines: Vec<String> = faults(&text)
        .iter()
        .map(|f| f.split(": ").next().unwrap_or_default().to_owned())
        .collect();
    assert_eq!(lines, ["f.toml:4", "f.toml:7", "f.toml:15"]);
}

#[test]
fn the_example_of_a_fleet_holds_together() {
    let text = include_str!("../../../deploy/examples/fleet.toml");
    let plan = check(reader::toml("fleet.toml", text).unwrap()).unwrap();
    let fleet = plan.model.fleet.unwrap();
    assert_eq!(
        (fleet.rules.quorum.witnesses, fleet.rules.seeds.len()),
        (3, 3)
    );
}

#[test]
fn the_example_holds_together_and_routes_as_it_says() {
    let text = include_str!("../../../deploy/examples/services.toml");
    let plan = check(reader::toml("services.toml", text).unwrap()).unwrap();
    let service = |host, path, method| {
        let q = reelfall_routing::table::RouteQuery {
            listener: 0,
            host,
            path,
            method,
            class: None,
        };
        let route = plan.table.find(&q);
        assert_eq!(
            plan.candidates(&q).first().copied(),
            route,
            "what is explained is not what happens"
        );
        route.map(|r| plan.model.services[plan.goals[r].service].name.as_str())
    };
    assert_eq!(
        service("flags.example.org", "/api", "GET"),
        Some("evaluate")
    );
    assert_eq!(service("flags.example.org", "/api", "POST"), None);
    assert_eq!(
        service("admin.example.org", "/api/flags/7", "POST"),
        Some("toggle")
    );
    assert_eq!(
        service("admin.example.org", "/api/rollouts/7", "POST"),
        Some("rollout")
    );
    assert_eq!(
        service("admin.example.org", "/api/rolloutsx", "POST"),
        Some("toggle")
    );
    assert_eq!(service("other.example.org", "/api", "GET"), None);
}

#[test]
fn no_text_brings_the_reader_down() {
    let text = file_with_service("limits = { rate = \"5/s\" }\n");
    for end in 0..text.len() {
        let _ = faults(&text[..end]);
        let mut spoilt = text.clone().into_bytes();
        spoilt[end] = b'\x01';
        let _ = faults(&String::from_utf8_lossy(&spoilt));
    }
}

#[test]
fn units_are_read_as_they_are_written() {
    assert_eq!(units::time("250ms"), Ok(0.25));
    assert_eq!(units::time("1.5 s"), Ok(1.5));
    assert_eq!(units::time("2m"), Ok(120.0));
    assert_eq!(units::rate("90/m"), Ok(1.5));
    assert_eq!(units::size("64KiB"), Ok(65536));
    for bad in [
        "",
        "ms",
        "-5ms",
        "5",
        "5 ",
        "5MS",
        "5sec",
        "1e3s",
        "5..5s",
        "99999999999999999999999999B",
    ] {
        assert!(
            units::time(bad).is_err() && units::size(bad).is_err() && units::rate(bad).is_err(),
            "{bad}"
        );
    }
    assert!(units::size("99999999999GiB").is_err());
}
