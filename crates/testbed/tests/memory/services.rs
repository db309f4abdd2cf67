//! A node with a settings file, with a plain service and a GraphQL service.

use crate::clients::Behavior;
use crate::nodes::{check, program, run_clients, MAX_SOCKETS};
use crate::servers::{self, Answer};
use crate::{block_on, block_on_alone};
use reelfall_testbed::node::Node;

const MEMORY_MIB: [usize; 2] = [32, 64];
const GRAPHQL_SECTION: &str =
    "[service.graphql]\nquery = {}\nmutation = {}\nother_query = \"read\"\nother_mutation = \"write\"\n";

async fn settings(answer: Answer, memory_mib: usize) -> String {
    let server = servers::start(answer).await;
    let graphql_server = servers::start(Answer::GraphQl(900_000)).await;
    format!(
        "[process]\nmemory = \"{memory_mib}MiB\"\ndescriptors = {MAX_SOCKETS}\n\
         [[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n\
         [[service]]\nname = \"plain\"\n\
         [[service.class]]\nname = \"read\"\nrepeat = \"safe\"\naim = \"5s\"\ndeadline = \"6s\"\n\
         [[service.class]]\nname = \"write\"\nrepeat = \"unsafe\"\naim = \"5s\"\ndeadline = \"6s\"\n\
         [[service.route]]\npath = \"/api\"\n\
         [[service.server]]\nname = \"s-1\"\naddress = \"{server}\"\n\
         [[service]]\nname = \"graphql\"\n\
         [[service.class]]\nname = \"read\"\nrepeat = \"safe\"\naim = \"5s\"\ndeadline = \"6s\"\n\
         [[service.class]]\nname = \"write\"\nrepeat = \"unsafe\"\naim = \"5s\"\ndeadline = \"6s\"\n\
         {GRAPHQL_SECTION}\
         [[service.route]]\npath = \"/graphql\"\n\
         [[service.server]]\nname = \"g-1\"\naddress = \"{graphql_server}\"\n"
    )
}

async fn stays_within_its_memory(answer: Answer, behavior: Behavior) {
    for memory_mib in MEMORY_MIB {
        let settings = settings(answer, memory_mib).await;
        let node = Node::start(&program(), &settings).await.unwrap();
        node.wait_for_health("/_health", true).await.unwrap();
        let usage = run_clients(node.address(), node.pid(), behavior).await;
        check(&usage, memory_mib, behavior);
    }
}

/// Guards against memory that is counted in nodes of the platform only.
#[test]
fn slow_readers_of_large_answers_fit_in_memory() {
    block_on(stays_within_its_memory(
        Answer::Announced(32 << 20),
        Behavior::ReadSlowly,
    ));
}

/// Guards against bodies that no service's limit covers.
#[test]
fn clients_that_stop_in_a_large_body_fit_in_memory() {
    block_on(stays_within_its_memory(
        Answer::Announced(2),
        Behavior::StopInBody(4 << 20),
    ));
}

/// Guards against GraphQL answers that are counted only until they are validated.
#[test]
fn slow_readers_of_graphql_answers_fit_in_memory() {
    block_on_alone(stays_within_its_memory(
        Answer::Announced(2),
        Behavior::GraphQl(200_000),
    ));
}
