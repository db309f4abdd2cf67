//! Services at work, from settings to pools.

use super::prepared::{ListedServer, PreparedPlan};
use super::routing::Retire;
use super::{ListUpdates, Routing, Service, Services};
use crate::net::pool::Pool;
use crate::net::shared::Shared;
use reelfall_config::{check, reader, Plan};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::watch;

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
        text +=
            &format!("[[service.server]]\nname = \"{server}\"\naddress = \"127.0.0.1:{port}\"\n");
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
    start_with(text, Rc::new(drop))
}

fn start_with(text: &str, retire: Retire) -> (Rc<Shared>, Services, Vec<Rc<Service>>) {
    let plan = plan(text);
    let shared = Shared::for_services(plan.totals, None);
    let services = Services::new(shared.clone(), 7, retire);
    let now = apply(&services, text);
    (shared, services, now)
}

/// What is costly is done on another thread, as in a node.
fn prepare(services: &Services, text: &str) -> Arc<PreparedPlan> {
    let (plan, before, now) = (
        plan(text),
        services.current_plan(),
        services.shared.clock.now(),
    );
    let preparing = std::thread::spawn(move || match before {
        Some(before) => PreparedPlan::replacing(plan, &before, now),
        None => PreparedPlan::initial(plan),
    });
    preparing.join().expect("a plan")
}

fn apply(services: &Services, text: &str) -> Vec<Rc<Service>> {
    match services.apply(prepare(services, text)) {
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
        let (a, b) = (
            service("a", &[("a1", 1), ("a2", 2)]),
            service("b", &[("b1", 3)]),
        );
        let (_shared, services, first) = start(&text(&[a.clone(), b.clone()]));
        // Limits, routes, lists and drains are not what a pool is made of.
        let changed = b.replace(
            "[[service.class]]",
            "limits = { open = 7 }\nstate = \"draining\"\n[[service.class]]",
        );
        let emptied = a.replace("\"127.0.0.1:2\"", "\"127.0.0.1:2\"\nstate = \"draining\"");
        let second = apply(&services, &text(&[changed, emptied]));
        assert!(same(&first[0], &second[1]) && same(&first[1], &second[0]));
        assert_eq!(second[0].unavailable_reason(), Some("draining\n"));
        // A deadline is: the module has to be told anew.
        let later = a.replace("\"1s\"", "\"2s\"");
        let third = apply(&services, &text(&[later, b.clone()]));
        assert!(!same(&first[0], &third[0]) && same(&first[1], &third[1]));
        assert_eq!(
            first[0].member, third[0].member,
            "old and new hold from two places in the books"
        );
        assert!(third.iter().all(|s| s.unavailable_reason().is_none()));
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
        assert!(services.draining_services.borrow().is_empty());
        assert_eq!(
            shared.registered_pools(),
            1,
            "something is kept of pools that are gone"
        );
    })
    .await;
}

#[tokio::test]
async fn a_server_that_is_added_later_counts_as_started_then() {
    local(async {
        let (_shared, services, _first) = start(&text(&[service("a", &[("a1", 1)])]));
        let since = |address: u16| {
            let address = SocketAddr::from(([127, 0, 0, 1], address));
            services
                .current_plan()
                .and_then(|plan| plan.start_times.get(&address).copied())
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
        assert!(
            since(1).is_some_and(|at| at > 1e9),
            "back from a drain, and taken for warm"
        );
    })
    .await;
}

#[tokio::test]
async fn a_drain_told_by_one_list_holds_for_the_pool_of_another() {
    local(async {
        let (a, b) = (
            service("a", &[("x", 1), ("a2", 2)]),
            service("b", &[("y", 1), ("b2", 3)]),
        );
        let (_shared, services, now) = start(&text(&[a.clone(), b.clone()]));
        let sends = |s: &Rc<Service>, name: &str| {
            let id = s.pool.names.borrow().servers.get(name);
            id.and_then(|id| crate::net::upstream::AttemptContext::address(&s.pool, id))
                .is_some()
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

/// A service's list, as its pool will hear of it.
fn heard(service: &Service) -> watch::Receiver<Arc<Vec<ListedServer>>> {
    match &service.list_updates {
        ListUpdates::Channel(list_updates) => list_updates.subscribe(),
        ListUpdates::None => panic!("the list does not come from the file"),
    }
}

#[tokio::test]
async fn a_service_that_did_not_change_is_not_touched() {
    local(async {
        let graphql = "[service.graphql]\nother_query = \"c\"\nother_mutation = \"w\"\n\
             [[service.class]]\nname = \"w\"\nrepeat = \"unsafe\"\naim = \"100ms\"\ndeadline = \"1s\"\n";
        let a = service("a", &[("a1", 1), ("a2", 2)])
            .replace("[[service.route]]", &format!("{graphql}[[service.route]]"));
        let b = service("b", &[("b1", 3)]);
        let (_shared, services, first) = start(&text(&[a.clone(), b.clone()]));
        let list = heard(&first[0]);
        let parsed = first[0].graphql.borrow().clone().expect("settings of GraphQL");
        let settings = first[0].runtime_settings.borrow().clone().expect("settings");
        // The neighbour's routes, limits, list and classes change, and all lines move.
        let further = "[[service.route]]\nhost = \"more.example.org\"\n";
        let routed = format!("{b}{further}");
        let limited = b.replace("[[service.class]]", "limits = { open = 7 }\n[[service.class]]");
        let listed = service("b", &[("b1", 3), ("b2", 4)]);
        let remade = b.replace("\"1s\"", "\"2s\"");
        for b in [routed, limited, listed, remade] {
            let now = apply(&services, &text(&[b, a.clone()]));
            assert!(Rc::ptr_eq(&first[0], &now[1]));
            assert!(!list.has_changed().expect("the list is told still"), "told its list anew");
            assert!(now[1].graphql.borrow().as_ref().is_some_and(|g| Rc::ptr_eq(g, &parsed)));
            assert!(now[1].runtime_settings.borrow().as_ref().is_some_and(|s| Arc::ptr_eq(s, &settings)));
        }
    })
    .await;
}

#[tokio::test]
async fn a_change_of_a_list_or_of_terms_reaches_its_service() {
    local(async {
        let a = service("a", &[("a1", 1)]);
        let (_shared, services, first) = start(&text(std::slice::from_ref(&a)));
        let mut list = heard(&first[0]);
        let two = service("a", &[("a1", 1), ("a2", 2)]);
        apply(&services, &text(std::slice::from_ref(&two)));
        assert!(list.has_changed().expect("the list is told still"));
        assert_eq!(list.borrow_and_update().len(), 2);
        let draining = two.replace(
            "[[service.class]]",
            "state = \"draining\"\n[[service.class]]",
        );
        apply(&services, &text(&[draining]));
        assert!(first[0].is_draining.get());
        assert!(!list.has_changed().expect("the list is told still"));
        apply(&services, &text(&[two]));
        assert!(!first[0].is_draining.get());
    })
    .await;
}

#[tokio::test]
async fn plans_no_longer_in_force_are_freed_by_whoever_is_to_free_them() {
    local(async {
        let retired: Rc<RefCell<Vec<Arc<PreparedPlan>>>> = Rc::default();
        let freeing = retired.clone();
        let a = service("a", &[("a1", 1)]);
        let (_shared, services, _first) = start_with(
            &text(std::slice::from_ref(&a)),
            Rc::new(move |plan| freeing.borrow_mut().push(plan)),
        );
        assert!(retired.borrow().is_empty());
        for n in 1..=3 {
            let changed = format!("{a}[[service.route]]\nhost = \"more{n}.example.org\"\n");
            apply(&services, &text(&[changed]));
            assert_eq!(retired.borrow().len(), n);
        }
        assert!(
            retired
                .borrow_mut()
                .iter_mut()
                .all(|plan| Arc::get_mut(plan).is_some()),
            "held elsewhere"
        );
    })
    .await;
}

#[tokio::test]
async fn what_can_not_be_put_in_force_leaves_all_as_it_was() {
    local(async {
        let a = service("a", &[("a1", 1)]);
        let (shared, services, first) = start(&text(std::slice::from_ref(&a)));
        let before = services.current_plan().expect("a plan");
        let registry = "[[registry]]\nname = \"r\"\nmembers = [\"127.0.0.1:1\"]\ndigest_file = \"/none\"\n";
        let changed = a.replace("[[service.class]]", "state = \"draining\"\n[[service.class]]");
        let follower = service("z", &[])
            .replace("[[service.class]]", "registry = { name = \"r\", path = \"/z\" }\n[[service.class]]");
        let wrong = HEAD.to_owned() + registry + &changed + &follower;
        let fault = services.apply(prepare(&services, &wrong)).err().map(|error| error.to_string());
        let expected = "service `z`: /none: No such file or directory (os error 2)";
        assert_eq!(fault.as_deref(), Some(expected));
        assert!(fault.is_some_and(|fault| fault.contains("service `z`") && fault.contains("/none")));
        assert!(services.current_plan().is_some_and(|now| Arc::ptr_eq(&now, &before)));
        assert!(!first[0].is_draining.get());
        assert_eq!(shared.registered_pools(), 1);
    })
    .await;
}
