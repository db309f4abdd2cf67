//! Fragments of settings files for tests.

#![allow(dead_code)] // Each test binary uses only some of them.

/// A listener.
pub const LISTENER: &str = "[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:8443\"\n";
/// A class `c` of a service, with idempotent requests.
pub const CLASS: &str =
    "[[service.class]]\nname = \"c\"\nrepeat = \"safe\"\naim = \"100ms\"\ndeadline = \"1s\"\n";
/// A static list of one server.
pub const SERVER: &str = "[[service.server]]\nname = \"s\"\naddress = \"127.0.0.1:9000\"\n";

/// The first lines of a service with an empty list of servers.
pub fn service(name: &str) -> String {
    format!("[[service]]\nname = \"{name}\"\nserver = []\n")
}

/// Concatenates `count` fragments; `part` returns the fragment for an index.
pub fn times(count: usize, part: impl Fn(usize) -> String) -> String {
    (0..count).map(part).collect()
}

/// The class with this index.
pub fn class(index: usize) -> String {
    CLASS.replace("\"c\"", &format!("\"c{index}\""))
}

/// The listener with this index.
pub fn listener(index: usize) -> String {
    let [_, _, high, low] = u32::try_from(index).unwrap().to_be_bytes();
    format!("[[listener]]\nname = \"l{index}\"\naddress = \"127.1.{high}.{low}:8443\"\n")
}

/// The server with this index.
pub fn server(index: usize) -> String {
    let [_, upper, high, low] = u32::try_from(index).unwrap().to_be_bytes();
    format!("[[service.server]]\nname = \"s{index}\"\naddress = \"10.{upper}.{high}.{low}:80\"\n")
}

/// The tenant with this index.
pub fn member(index: usize) -> String {
    format!("[[service.member]]\nname = \"m{index}\"\nquota = \"1/s\"\n")
}

/// The route with this index, followed by `more` lines.
pub fn route(index: usize, more: &str) -> String {
    format!("[[service.route]]\npath = \"/r{index}\"\n{more}")
}

/// The complete service with this index.
pub fn whole_service(index: usize) -> String {
    service(&format!("a{index}")) + CLASS + &route(index, "")
}
