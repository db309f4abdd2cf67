//! Services at work, from settings to pools.

use super::*;
use crate::net::pool::Pool;
use reelfall_conf::{check, reader};

fn plan(text: &str) -> Plan {
    reader::toml("test", text).and_then(check).expect("a plan")
}

fn service(name: &str, servers: &[(&str, u16)]) -> String {
    let class = "repeat = \"safe\"\naim = \"100ms\"\ndeadline = \"1s\"\n";
    let mut text = format!(
        "[[service]]\nname = \"{name}\"\n[[service.class]]\nname = \"c\"\n{class}\
         [[service.route]]\nhost = \"{name}.example.org\"\n"
    );
    for (server, port) in servers {
        text += &format!("[[service.server]]\nname = \"{server}\"\naddress = \"127.0.0.1:{port}\"\n");
    }
    text
}

const HEAD: &str = "[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:0\"\n";

fn text(services: &[String]) -> String {
    HEAD.to_owned() + &services.concat()
}

async fn local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

fn start(text: &str) -> (Rc<Shared>, Services, Vec<Rc<Service>>) {
    let plan = plan(text);
    let shared = Shared::parted(plan.totals, None);
    let services = Services::new(shared.clone(), 7);
    let now = apply(&services, text);
    (shared, services, now)
}

fn apply(services: &Services, text: &str) -> Vec<Rc<Service>> {
    match services.apply(plan(text)) {
        Ok(Routing::Table(table)) => table.services().to_vec(),
        _ => panic!("the plan is not put in force"),
    }
}

fn same(a: &Rc<Service>, b: &Rc<Service>) -> bool {
    Rc::ptr_eq(&a.pool, &b.pool)
}

#[tokio::test]
async fn a_pool_stays_with_all_it_learned_unless_what_it_is_made_of_changes() {
    local(async {
        let (a, b) = (service("a", &[("a1", 1), ("a2", 2)]), service("b", &[("b1", 3)]));
        let (_shared, services, first) = start(&text(&[a.clone(), b.clone()]));
        // Limits, routes, lists and drains are not what a pool is made of.
        let changed =
            b.replace("[[service.class]]", "limits = { open = 7 }\nstate = \"draining\"\n[[service.class]]");
        let emptied = a.replace("\"127.0.0.1:2\"", "\"127.0.0.1:2\"\nstate = \"draining\"");
        let second = apply(&services, &text(&[changed, emptied]));
        assert!(same(&first[0], &second[1]) && same(&first[1], &second[0]));
        assert_eq!(second[0].unready(), Some("draining\n"));
        // A deadline is: the module has to be told anew.
        let later = a.replace("\"1s\"", "\"2s\"");
        let third = apply(&services, &text(&[later, b.clone()]));
        assert!(!same(&first[0], &third[0]) && same(&first[1], &third[1]));
        assert_eq!(first[0].member, third[0].member, "old and new hold from two places in the books");
        assert!(third.iter().all(|s| s.unready().is_none()));
    })
    .await;
}

#[tokio::test]
async fn a_removed_service_is_kept_no_longer_than_its_requests() {
    local(async {
        let (a, b) = (service("a", &[("a1", 1)]), service("b", &[("b1", 3)]));
        let (shared, services, mut first) = start(&text(&[a.clone(), b.clone()]));
        let pool: std::rc::Weak<Pool> = Rc::downgrade(&first[1].pool);
        first.clear();
        for _ in 0..50 {
            apply(&services, &text(std::slice::from_ref(&a)));
            apply(&services, &text(&[a.clone(), b.clone()]));
        }
        apply(&services, &text(&[a]));
        // Tasks that were ended are let go by the runtime in its own time.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        shared.tick();
        assert!(pool.upgrade().is_none(), "a removed pool is kept");
        assert!(services.leaving.borrow().is_empty());
        assert_eq!(shared.pools(), 1, "something is kept of pools that are gone");
    })
    .await;
}

#[tokio::test]
async fn a_server_that_is_added_later_counts_as_started_then() {
    local(async {
        let (_shared, services, _first) = start(&text(&[service("a", &[("a1", 1)])]));
        let since = |address: u16| {
            let since = services.since.borrow();
            since.as_ref().and_then(|s| s.get(&SocketAddr::from(([127, 0, 0, 1], address))).copied())
        };
        assert_eq!(since(1), Some(0.0));
        let two = service("a", &[("a1", 1), ("a2", 2)]);
        apply(&services, &text(std::slice::from_ref(&two)));
        assert_eq!(since(1), Some(0.0));
        assert!(since(2).is_some_and(|at| at > 1e9));
        let drained = two.replace("\"127.0.0.1:1\"", "\"127.0.0.1:1\"\nstate = \"draining\"");
        apply(&services, &text(&[drained]));
        assert_eq!(since(1), None);
        apply(&services, &text(&[two]));
        assert!(since(1).is_some_and(|at| at > 1e9), "back from a drain, and taken for warm");
    })
    .await;
}

#[tokio::test]
async fn a_drain_told_by_one_list_holds_for_the_pool_of_another() {
    local(async {
        let (a, b) = (service("a", &[("x", 1), ("a2", 2)]), service("b", &[("y", 1), ("b2", 3)]));
        let (_shared, services, now) = start(&text(&[a.clone(), b.clone()]));
        let sends = |s: &Rc<Service>, name: &str| {
            let id = s.pool.names.borrow().servers.get(name);
            id.and_then(|id| crate::net::upstream::Host::address(&s.pool, id)).is_some()
        };
        assert!(sends(&now[0], "x") && sends(&now[1], "y"));
        let drained = a.replace("\"127.0.0.1:1\"", "\"127.0.0.1:1\"\nstate = \"draining\"");
        apply(&services, &text(&[drained, b.clone()]));
        tokio::task::yield_now().await;
        assert!(!sends(&now[0], "x") && !sends(&now[1], "y") && sends(&now[1], "b2"));
        // Taken from one list altogether, it is the other's affair alone.
        apply(&services, &text(&[service("a", &[("a2", 2)]), b]));
        tokio::task::yield_now().await;
        assert!(sends(&now[1], "y"));
    })
    .await;
}
