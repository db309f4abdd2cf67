//! Fragments of settings files.

#![allow(dead_code)] // Each test program uses some of them.

/// A listener; the tests' files begin with it.
pub const LISTENER: &str = "[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:8443\"\n";
/// A class of a service.
pub const CLASS: &str =
    "[[service.class]]\nname = \"c\"\nrepeat = \"safe\"\naim = \"100ms\"\ndeadline = \"1s\"\n";
/// A list of one server.
pub const SERVER: &str = "[[service.server]]\nname = \"s\"\naddress = \"127.0.0.1:9000\"\n";

/// The head of a service without servers.
pub fn service(name: &str) -> String {
    format!("[[service]]\nname = \"{name}\"\nserver = []\n")
}

/// `count` fragments, each written from its index.
pub fn times(count: usize, part: impl Fn(usize) -> String) -> String {
    (0..count).map(part).collect()
}

/// A class by its index.
pub fn class(index: usize) -> String {
    CLASS.replace("\"c\"", &format!("\"c{index}\""))
}

/// A listener by its index.
pub fn listener(index: usize) -> String {
    let [_, _, high, low] = u32::try_from(index).unwrap().to_be_bytes();
    format!("[[listener]]\nname = \"l{index}\"\naddress = \"127.1.{high}.{low}:8443\"\n")
}

/// A server by its index.
pub fn server(index: usize) -> String {
    let [_, upper, high, low] = u32::try_from(index).unwrap().to_be_bytes();
    format!("[[service.server]]\nname = \"s{index}\"\naddress = \"10.{upper}.{high}.{low}:80\"\n")
}

/// A tenant by its index.
pub fn member(index: usize) -> String {
    format!("[[service.member]]\nname = \"m{index}\"\nquota = \"1/s\"\n")
}

/// A route by its index, with `more` lines.
pub fn route(index: usize, more: &str) -> String {
    format!("[[service.route]]\npath = \"/r{index}\"\n{more}")
}

/// A complete service by its index.
pub fn whole_service(index: usize) -> String {
    service(&format!("a{index}")) + CLASS + &route(index, "")
}
