//! The settings file of a node in front of GraphQL servers.

use crate::pool::Pool;

/// Formats the settings file of a node in front of a pool. `service_settings` holds additional lines of the `[[service]]`
/// section.
pub fn settings(pool: &Pool, service_settings: &str) -> String {
    format!(
        "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n\n[[service]]\nname = \"graphql\"\n{service_settings}\n\n\
         [service.graphql]\nquery = {{ evaluate = \"evaluate\" }}\n\
         mutation = {{ toggle = \"toggle\", rollout = \"rollout\" }}\n\
         other_query = \"evaluate\"\nother_mutation = \"rollout\"\n\n\
         [[service.class]]\nname = \"evaluate\"\nrepeat = \"safe\"\naim = \"200ms\"\ndeadline = \"2s\"\n\n\
         [[service.class]]\nname = \"toggle\"\nrepeat = \"unsafe\"\naim = \"200ms\"\ndeadline = \"2s\"\n\n\
         [[service.class]]\nname = \"rollout\"\nrepeat = \"unsafe\"\naim = \"200ms\"\ndeadline = \"2s\"\n\n\
         [[service.route]]\npath = \"/graphql\"\n\n{}",
        pool.server_settings()
    )
}
