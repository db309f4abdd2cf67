//! Parts of settings files.

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

/// `count` parts, each made from its number.
pub fn times(count: usize, part: impl Fn(usize) -> String) -> String {
    (0..count).map(part).collect()
}

/// A class by its number.
pub fn class(n: usize) -> String {
    CLASS.replace("\"c\"", &format!("\"c{n}\""))
}

/// A listener by its number.
pub fn listener(n: usize) -> String {
    let [_, _, high, low] = u32::try_from(n).unwrap().to_be_bytes();
    format!("[[listener]]\nname = \"l{n}\"\naddress = \"127.1.{high}.{low}:8443\"\n")
}

/// A server by its number.
pub fn server(n: usize) -> String {
    let [_, upper, high, low] = u32::try_from(n).unwrap().to_be_bytes();
    format!("[[service.server]]\nname = \"s{n}\"\naddress = \"10.{upper}.{high}.{low}:80\"\n")
}

/// A member by its number.
pub fn member(n: usize) -> String {
    format!("[[service.member]]\nname = \"m{n}\"\nquota = \"1/s\"\n")
}

/// A route by its number, with what else it says.
pub fn route(n: usize, more: &str) -> String {
    format!("[[service.route]]\npath = \"/r{n}\"\n{more}")
}

/// A whole service by its number.
pub fn whole_service(n: usize) -> String {
    service(&format!("a{n}")) + CLASS + &route(n, "")
}
