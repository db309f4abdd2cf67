//! Formats output lines. Durations are printed with six decimals, as the simulator expects them.

use reelfall_balancer::interface::Action;
use reelfall_balancer::settings::NameTable;
use std::io::Write;

/// Appends the line for an action of an instance. Server names come from the instance's own table.
pub(crate) fn write_action(
    output: &mut Vec<u8>,
    instance: u32,
    action: &Action,
    servers: &NameTable,
) {
    let name = |server: &u32| quoted(servers.name(*server).unwrap_or_default());
    let fields = match action {
        Action::Attempt {
            request,
            server,
            timeout,
        } => {
            let timeout = timeout.map_or(String::new(), |cap| format!(",\"cap\":{cap:.6}"));
            format!("\"id\":{request},\"server\":{}{timeout}", name(server))
        }
        Action::Reject {
            request,
            retry_after,
        } => {
            let retry_after = retry_after.map_or(String::new(), |time| {
                format!(",\"not-before-for\":{time:.6}")
            });
            format!("\"id\":{request}{retry_after}")
        }
        Action::Fail { request } => format!("\"id\":{request}"),
        Action::Cancel { request, attempt } => format!("\"id\":{request},\"attempt\":{attempt}"),
        Action::Watch => "\"on\":true".to_owned(),
        Action::HealthCheck { server } => format!("\"server\":{}", name(server)),
        Action::StartTimer { after, tag } => format!("\"after\":{after:.6},\"tag\":\"{tag}\""),
    };
    write_line(output, keyword(action), instance, &fields);
}

/// Appends the line that reports that an instance was not created, and why.
pub(crate) fn write_refusal(output: &mut Vec<u8>, instance: u32, reason: &str) {
    let fields = format!("\"reason-text\":{}", quoted(reason));
    write_line(output, "bail-out", instance, &fields);
}

/// Appends the line that ends the output of a batch.
pub(crate) fn write_batch_end(output: &mut Vec<u8>) {
    output.extend_from_slice(b"{\"what\":\"end\"}\n");
}

fn keyword(action: &Action) -> &'static str {
    match action {
        Action::Attempt { .. } => "attempt",
        Action::Reject { .. } => "say-no",
        Action::Fail { .. } => "lose",
        Action::Cancel { .. } => "stop-attempt",
        Action::Watch => "observe",
        Action::HealthCheck { .. } => "check",
        Action::StartTimer { .. } => "set-alarm",
    }
}

fn write_line(output: &mut Vec<u8>, keyword: &str, instance: u32, fields: &str) {
    // Writing to a Vec can't fail.
    let _ = writeln!(
        output,
        "{{\"what\":\"{keyword}\",\"node\":{instance},{fields}}}"
    );
}

fn quoted(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}
