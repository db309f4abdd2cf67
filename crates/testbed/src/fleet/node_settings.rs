//! The settings files of a fleet's nodes.

use super::links::Links;
use super::{name, server_name, Made, AIM};
use crate::link::Link;

pub(super) fn part(
    n: usize,
    made: &Made,
    links: &Links,
    key: &std::path::Path,
    more: &str,
) -> String {
    let places = (0..links.count().min(3)).map(|s| links.address(s));
    let seeds: Vec<String> = places
        .chain(made.seeds.iter().copied())
        .map(|s| format!("\"{s}\""))
        .collect();
    let named = made
        .named
        .iter()
        .find(|(of, _)| *of == n)
        .map_or_else(|| name(n), |(_, name)| name.clone());
    let own = key.with_file_name(format!("folder-{n}"));
    let more = more.replace("{folder}", &own.display().to_string());
    format!(
        "[management]\naddress = \"127.0.0.1:0\"\n\n[fleet]\nname = \"rig\"\nnode = \"{}\"\nlisten = \"127.0.0.1:0\"\n\
         advertise = \"{}\"\nkey_file = \"{}\"\nseeds = [{}]\n{more}\n",
        named,
        links.address(n),
        key.display(),
        seeds.join(", ")
    )
}

fn zone(of: usize, made: &Made) -> String {
    format!("z{}", of % made.zones.max(1))
}

/// The servers as a node's file names them, each by the node's own link to it.
pub(super) fn written(made: &Made, links: &[Link]) -> String {
    let zoned = |s: usize| match made.zones {
        0 | 1 => String::new(),
        _ => format!("zone = \"{}\"\n", zone(s, made)),
    };
    let server = |(s, link): (usize, &Link)| {
        let name = server_name(s);
        format!(
            "[[service.server]]\nname = \"{name}\"\naddress = \"{}\"\n{}",
            link.address,
            zoned(s)
        )
    };
    links.iter().enumerate().map(server).collect()
}

pub(super) fn settings(n: usize, made: &Made, source: &str, fleet: &str) -> String {
    let process = match made.zones {
        0 | 1 => format!("[process]\nnodes = {}\n", made.nodes),
        _ => format!(
            "[process]\nnodes = {}\nzone = \"{}\"\n",
            made.nodes,
            zone(n, made)
        ),
    };
    let service = |name: &str, repeat: &str| {
        let (before, after) = if made.lists > 0 {
            (source, "")
        } else {
            ("", source)
        };
        format!(
            "[[service]]\nname = \"{name}\"\n{before}tries = {{ most = 3, retry_share = 0.5 }}\n{}\n[[service.class]]\n\
             name = \"{name}\"\nrepeat = \"{repeat}\"\naim = \"{}ms\"\ndeadline = \"2s\"\n[[service.route]]\n\
             host = \"{name}.example.org\"\npath = \"/api\"\n{after}\n",
            made.service,
            AIM.as_millis()
        )
    };
    format!(
        "{process}\n{fleet}\n[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n\n{}{}",
        service("evaluate", "safe"),
        service("toggle", "unsafe")
    )
}
