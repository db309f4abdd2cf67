//! The real program over loopback sockets: one test for each failure that the socket side guards against.

mod rig;

use rig::{get, Discovery, Node, Server};

#[test]
fn a_new_configuration_moves_the_watch_and_costs_no_request() {
    let (first, second) = (Server::good(), Server::good());
    let (old, new) = (Discovery::start(), Discovery::start());
    old.list(40, &[("s-1", first.address, "active")]);
    // The new service counts its versions anew, and knows another server.
    new.list(3, &[("s-2", second.address, "active")]);
    let node = Node::start(old.address, 256);
    assert_eq!(get(node.address, "r-1").status, 200);
    assert_eq!((first.seen(), second.seen()), (1, 0));
    node.configure(new.address);
    node.signal("HUP");
    new.until_watched();
    let mut n = 2;
    while second.seen() == 0 {
        assert_eq!(get(node.address, &format!("r-{n}")).status, 200);
        n += 1;
    }
    // A file that is no configuration leaves all as it is.
    node.spoil_configuration();
    node.signal("HUP");
    let before = second.seen();
    assert_eq!(get(node.address, "r-last").status, 200);
    assert_eq!(second.seen(), before + 1);
}
