//! Large settings files, made to a size.

use std::fmt::Write;

/// How large a file is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Services.
    pub services: usize,
    /// Servers, over all services.
    pub servers: usize,
    /// Routes, over all services.
    pub routes: usize,
    /// Lines of servers in the services' lists; a server may be in several.
    pub listed: usize,
}

/// What every file begins with: one listener, at any free port.
pub const HEAD: &str = "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n";

/// The host of a service by its number.
pub fn host(service: usize) -> String {
    format!("service-{service}.example.org")
}

/// A path that a service serves in every revision of a file, but for the last service.
pub const PATH: &str = "/api/0";

/// A settings file. The first services have the lists in `loaded` in place of made ones, which lead to no server.
/// Two revisions differ in the last route alone.
pub fn text(size: &Size, loaded: &[String], revision: usize) -> String {
    let mut text = HEAD.to_owned();
    for service in 0..size.services {
        let class = "aim = \"500ms\"\ndeadline = \"10s\"\n";
        let _ = write!(
            text,
            "\n[[service]]\nname = \"service-{service}\"\n\
             [[service.class]]\nname = \"read\"\nrepeat = \"safe\"\n{class}"
        );
        for route in routes(size, service) {
            let _ = write!(text, "[[service.route]]\nhost = \"{}\"\n", host(service));
            let _ = match route + 1 == size.routes {
                true => writeln!(text, "path = \"/revision/{revision}\""),
                false => writeln!(text, "path = \"/api/{}\"", route / size.services),
            };
        }
        match loaded.get(service) {
            Some(list) => text += list,
            None => {
                lines(size, service).for_each(|line| listed(&mut text, line % size.servers.max(1)))
            }
        }
    }
    text
}

/// The routes of a service, of all that are dealt out one by one.
fn routes(size: &Size, service: usize) -> impl Iterator<Item = usize> {
    (service..size.routes).step_by(size.services.max(1))
}

/// The lines of servers of a service: one after the other, so that none has a server twice.
fn lines(size: &Size, service: usize) -> std::ops::Range<usize> {
    let first = |service: usize| service * size.listed / size.services.max(1);
    first(service)..first(service + 1)
}

/// A server that nobody asks.
fn listed(text: &mut String, server: usize) {
    let (high, low) = (server / 250, server % 250 + 1);
    let _ = write!(
        text,
        "[[service.server]]\nname = \"server-{server}\"\naddress = \"127.64.{high}.{low}:9000\"\n"
    );
}
