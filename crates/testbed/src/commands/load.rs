//! The command `load`: sends requests at random times.

use reelfall_testbed::load::{self, RequestHeader, Workload};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a client waits for a response.
const CLIENT_DEADLINE: Duration = Duration::from_millis(600);

#[derive(clap::Args)]
pub struct LoadArgs {
    /// Address that the requests are sent to
    #[arg(long)]
    to: SocketAddr,
    /// Value of the header `Host`
    #[arg(long, default_value = "flags.example.org")]
    host: String,
    /// Path of the requests
    #[arg(long, default_value = "/api")]
    path: String,
    /// Send POST instead of GET requests
    #[arg(long)]
    post: bool,
    /// Value of the header `X-Service-Class`; without it, the header is not sent
    #[arg(long)]
    class: Option<String>,
    /// Requests per second
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Duration of the load in seconds
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Seed of the random times of the requests
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Sends requests and prints the figures.
pub async fn run(args: LoadArgs) {
    let class_header = args.class.map(|class| RequestHeader {
        name: "x-service-class",
        value: class,
    });
    let workload = Workload {
        name: format!("load{}", args.seed),
        host: args.host,
        method: if args.post { "POST" } else { "GET" },
        path: args.path,
        headers: class_header.into_iter().collect(),
        body: None,
        deadline: CLIENT_DEADLINE,
        rate: args.rate,
    };
    let duration = Duration::from_secs_f64(args.seconds);
    for stats in load::run(args.to, &[workload], duration, args.seed).await {
        println!("{}", stats.figures());
    }
}
