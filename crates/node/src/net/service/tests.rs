//! Applying plans: which pools and services a reload retains, replaces, updates or frees.

use super::prepared::{ListedServer, PreparedPlan};
use super::routing::Retire;
use super::{ListUpdates, Routing, Service, Services};
use crate::net::memory::MemoryPlan;
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
    reader::parse_toml("test", text)
        .and_then(check)
        .expect("a valid plan")
}

fn service_section(name: &str, servers: &[(&str, u16)]) -> String {
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

fn settings_text(services: &[String]) -> String {
    HEAD.to_owned() + &services.concat()
}

async fn run_local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

fn start(text: &str) -> (Rc<Shared>, Services, Vec<Rc<Service>>) {
    start_with(text, Rc::new(drop))
}

fn start_with(text: &str, retire: Retire) -> (Rc<Shared>, Services, Vec<Rc<Service>>) {
    let plan = plan(text);
    let shared = Shared::for_services(plan.resources, None, MemoryPlan::of_settings(&plan));
    let services = Services::new(shared.clone(), 7, retire);
    let started = apply(&services, text);
    (shared, services, started)
}

/// Prepares a plan on another thread, as a node does.
fn prepare(services: &Services, text: &str) -> Arc<PreparedPlan> {
    let plan = plan(text);
    let current = services.current_plan();
    let now = services.shared.clock.now();
    let preparing = std::thread::spawn(move || match current {
        Some(current) => PreparedPlan::replacing(plan, &current, now),
        None => PreparedPlan::initial(plan),
    });
    preparing.join().expect("a valid plan")
}

fn apply(services: &Services, text: &str) -> Vec<Rc<Service>> {
    match services.apply(prepare(services, text)) {
        Ok(Routing::Table(table)) => table.services().to_vec(),
        _ => panic!("the plan is not applied"),
    }
}

fn has_same_pool(a: &Rc<Service>, b: &Rc<Service>) -> bool {
    Rc::ptr_eq(&a.pool, &b.pool)
}

#[tokio::test]
async fn pool_is_replaced_only_when_its_own_settings_change() {
    run_local(async {
        let (a, b) = (
            service_section("a", &[("a1", 1), ("a2", 2)]),
            service_section("b", &[("b1", 3)]),
        );
        let (_shared, services, first) = start(&settings_text(&[a.clone(), b.clone()]));
        // Limits, routes, lists and drains are not part of a pool's settings.
        let changed = b.replace(
            "[[service.class]]",
            "limits = { open = 7 }\nstate = \"draining\"\n[[service.class]]",
        );
        let drained = a.replace("\"127.0.0.1:2\"", "\"127.0.0.1:2\"\nstate = \"draining\"");
        let second = apply(&services, &settings_text(&[changed, drained]));
        assert!(has_same_pool(&first[0], &second[1]) && has_same_pool(&first[1], &second[0]));
        assert_eq!(second[0].unavailable_reason(), Some("draining\n"));
        // A deadline is a setting of the decision module.
        let longer_deadline = a.replace("\"1s\"", "\"2s\"");
        let third = apply(&services, &settings_text(&[longer_deadline, b.clone()]));
        assert!(!has_same_pool(&first[0], &third[0]) && has_same_pool(&first[1], &third[1]));
        assert_eq!(
            first[0].service_id, third[0].service_id,
            "the new pool has a different entry in the limits"
        );
        assert!(third
            .iter()
            .all(|service| service.unavailable_reason().is_none()));
    })
    .await;
}

#[tokio::test]
async fn removed_service_is_freed_with_its_last_request() {
    run_local(async {
        let (a, b) = (
            service_section("a", &[("a1", 1)]),
            service_section("b", &[("b1", 3)]),
        );
        let (shared, services, mut first) = start(&settings_text(&[a.clone(), b.clone()]));
        let pool: std::rc::Weak<Pool> = Rc::downgrade(&first[1].pool);
        first.clear();
        for _ in 0..50 {
            apply(&services, &settings_text(std::slice::from_ref(&a)));
            apply(&services, &settings_text(&[a.clone(), b.clone()]));
        }
        apply(&services, &settings_text(&[a]));
        // The runtime drops aborted tasks when it polls next.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        shared.tick();
        assert!(pool.upgrade().is_none(), "a removed pool is not freed");
        assert!(services.draining_services.borrow().is_empty());
        assert_eq!(
            shared.registered_pools(),
            1,
            "a removed pool is still registered"
        );
    })
    .await;
}

#[tokio::test]
async fn start_time_of_an_added_server_is_its_addition() {
    run_local(async {
        let (_shared, services, _first) =
            start(&settings_text(&[service_section("a", &[("a1", 1)])]));
        let start_time = |address: u16| {
            let address = SocketAddr::from(([127, 0, 0, 1], address));
            services
                .current_plan()
                .and_then(|plan| plan.start_times.get(&address).copied())
        };
        assert_eq!(start_time(1), Some(0.0));
        let two = service_section("a", &[("a1", 1), ("a2", 2)]);
        apply(&services, &settings_text(std::slice::from_ref(&two)));
        assert_eq!(start_time(1), Some(0.0));
        assert!(start_time(2).is_some_and(|at| at > 1e9));
        let drained = two.replace("\"127.0.0.1:1\"", "\"127.0.0.1:1\"\nstate = \"draining\"");
        apply(&services, &settings_text(&[drained]));
        assert_eq!(start_time(1), None);
        apply(&services, &settings_text(&[two]));
        assert!(
            start_time(1).is_some_and(|at| at > 1e9),
            "a server counts as warmed up after a drain"
        );
    })
    .await;
}

#[tokio::test]
async fn drain_in_one_list_applies_to_pools_of_other_lists() {
    run_local(async {
        let (a, b) = (
            service_section("a", &[("x", 1), ("a2", 2)]),
            service_section("b", &[("y", 1), ("b2", 3)]),
        );
        let (_shared, services, first) = start(&settings_text(&[a.clone(), b.clone()]));
        let has_address = |service: &Rc<Service>, name: &str| {
            let id = service.pool.names.borrow().servers.get(name);
            id.and_then(|id| crate::net::upstream::AttemptContext::address(&service.pool, id))
                .is_some()
        };
        assert!(has_address(&first[0], "x") && has_address(&first[1], "y"));
        let drained = a.replace("\"127.0.0.1:1\"", "\"127.0.0.1:1\"\nstate = \"draining\"");
        apply(&services, &settings_text(&[drained, b.clone()]));
        tokio::task::yield_now().await;
        assert!(
            !has_address(&first[0], "x")
                && !has_address(&first[1], "y")
                && has_address(&first[1], "b2")
        );
        // After its removal from the first list, the server's state depends on the second list only.
        apply(
            &services,
            &settings_text(&[service_section("a", &[("a2", 2)]), b]),
        );
        tokio::task::yield_now().await;
        assert!(has_address(&first[1], "y"));
    })
    .await;
}

/// Subscribes to the list of a service, as its pool does.
fn subscribe_to_list(service: &Service) -> watch::Receiver<Arc<Vec<ListedServer>>> {
    match &service.list_updates {
        ListUpdates::Channel(list_updates) => list_updates.subscribe(),
        ListUpdates::None => panic!("the list does not come from the file"),
    }
}

#[tokio::test]
async fn unchanged_service_is_not_updated() {
    run_local(async {
        let graphql = "[service.graphql]\nother_query = \"c\"\nother_mutation = \"w\"\n\
             [[service.class]]\nname = \"w\"\nrepeat = \"unsafe\"\naim = \"100ms\"\ndeadline = \"1s\"\n";
        let a = service_section("a", &[("a1", 1), ("a2", 2)])
            .replace("[[service.route]]", &format!("{graphql}[[service.route]]"));
        let b = service_section("b", &[("b1", 3)]);
        let (_shared, services, first) = start(&settings_text(&[a.clone(), b.clone()]));
        let list = subscribe_to_list(&first[0]);
        let parsed = first[0].graphql.borrow().clone().expect("settings of GraphQL");
        let settings = first[0].runtime_settings.borrow().clone().expect("settings");
        // The routes, limits, list and classes of the other service change, and so do the line numbers of this one.
        let further = "[[service.route]]\nhost = \"more.example.org\"\n";
        let routed = format!("{b}{further}");
        let limited = b.replace("[[service.class]]", "limits = { open = 7 }\n[[service.class]]");
        let listed = service_section("b", &[("b1", 3), ("b2", 4)]);
        let with_new_pool = b.replace("\"1s\"", "\"2s\"");
        for b in [routed, limited, listed, with_new_pool] {
            let updated = apply(&services, &settings_text(&[b, a.clone()]));
            assert!(Rc::ptr_eq(&first[0], &updated[1]));
            assert!(!list.has_changed().expect("a channel with a sender"), "the list was sent again");
            assert!(updated[1].graphql.borrow().as_ref().is_some_and(|current| Rc::ptr_eq(current, &parsed)));
            assert!(updated[1].runtime_settings.borrow().as_ref().is_some_and(|current| Arc::ptr_eq(current, &settings)));
        }
    })
    .await;
}

#[tokio::test]
async fn changed_list_and_state_reach_their_service() {
    run_local(async {
        let a = service_section("a", &[("a1", 1)]);
        let (_shared, services, first) = start(&settings_text(std::slice::from_ref(&a)));
        let mut list = subscribe_to_list(&first[0]);
        let two = service_section("a", &[("a1", 1), ("a2", 2)]);
        apply(&services, &settings_text(std::slice::from_ref(&two)));
        assert!(list.has_changed().expect("a channel with a sender"));
        assert_eq!(list.borrow_and_update().len(), 2);
        let draining = two.replace(
            "[[service.class]]",
            "state = \"draining\"\n[[service.class]]",
        );
        apply(&services, &settings_text(&[draining]));
        assert!(first[0].is_draining.get());
        assert!(!list.has_changed().expect("a channel with a sender"));
        apply(&services, &settings_text(&[two]));
        assert!(!first[0].is_draining.get());
    })
    .await;
}

#[tokio::test]
async fn replaced_plans_are_passed_to_retire() {
    run_local(async {
        let retired: Rc<RefCell<Vec<Arc<PreparedPlan>>>> = Rc::default();
        let sink = retired.clone();
        let a = service_section("a", &[("a1", 1)]);
        let (_shared, services, _first) = start_with(
            &settings_text(std::slice::from_ref(&a)),
            Rc::new(move |plan| sink.borrow_mut().push(plan)),
        );
        assert!(retired.borrow().is_empty());
        for n in 1..=3 {
            let changed = format!("{a}[[service.route]]\nhost = \"more{n}.example.org\"\n");
            apply(&services, &settings_text(&[changed]));
            assert_eq!(retired.borrow().len(), n);
        }
        assert!(
            retired
                .borrow_mut()
                .iter_mut()
                .all(|plan| Arc::get_mut(plan).is_some()),
            "a plan is still referenced"
        );
    })
    .await;
}

#[tokio::test]
async fn rejected_plan_changes_nothing() {
    run_local(async {
        let a = service_section("a", &[("a1", 1)]);
        let (shared, services, first) = start(&settings_text(std::slice::from_ref(&a)));
        let before = services.current_plan().expect("a valid plan");
        let registry = "[[registry]]\nname = \"r\"\nmembers = [\"127.0.0.1:1\"]\ndigest_file = \"/none\"\n";
        let changed = a.replace("[[service.class]]", "state = \"draining\"\n[[service.class]]");
        let follower = service_section("z", &[])
            .replace("[[service.class]]", "registry = { name = \"r\", path = \"/z\" }\n[[service.class]]");
        let invalid = HEAD.to_owned() + registry + &changed + &follower;
        let error = services.apply(prepare(&services, &invalid)).err().map(|error| error.to_string());
        let expected = "service `z`: /none: No such file or directory (os error 2)";
        assert_eq!(error.as_deref(), Some(expected));
        assert!(error.is_some_and(|error| error.contains("service `z`") && error.contains("/none")));
        assert!(services.current_plan().is_some_and(|current| Arc::ptr_eq(&current, &before)));
        assert!(!first[0].is_draining.get());
        assert_eq!(shared.registered_pools(), 1);
    })
    .await;
}
