//! Stand-ins and instruments for trying, testing and measuring reelfall on loopback addresses.
//!
//! | module | what it stands in for, or measures |
//! | --- | --- |
//! | [`pool`] | servers with a set capacity that count effects and fail in chosen ways |
//! | [`graphql`] | a GraphQL server with a small schema of flags, to run on those servers |
//! | [`discovery`] | the platform's list of servers |
//! | [`link`] | a network path that delays, freezes, cuts, throttles or half-opens |
//! | [`fleet`] | many nodes that know each other, faults between them, and what came of it in one history |
//! | [`load`] | clients: requests at random moments, whether or not answers come |
//! | [`client`] | one client with its connections |
//! | [`node`] | the program under test, as a process of its own |
//! | [`relay`] | a proxy that decides nothing: the yardstick for cost |
//! | [`scenario`] | promises, kept or broken under load and faults |
//! | [`demo`] | a node with its stand-ins, to be tried by hand |
//! | [`measure`] | what the node costs |
//! | [`scripted`] | peers of which each byte is told, in blocking code |

pub mod client;
pub mod demo;
pub mod discovery;
pub mod fleet;
pub mod graphql;
pub mod link;
pub mod load;
pub mod measure;
pub mod membership;
pub mod node;
pub mod pool;
pub mod ports;
pub mod registry;
pub mod relay;
pub mod scenario;
pub mod scripted;

/// What can go wrong with a stand-in itself.
pub type Error = Box<dyn std::error::Error + Send + Sync>;
/// What a stand-in gives.
pub type Result<T> = std::result::Result<T, Error>;

/// A generator of random numbers that gives the same for the same seed: SplitMix64.
#[derive(Clone, Debug)]
pub struct Draw(pub u64);

impl Draw {
    /// The next number.
    pub fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// A fraction of [0, 1).
    pub fn fraction(&mut self) -> f64 {
        (self.number() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The gap to the next of events that come at random, `rate` a second on average, in seconds.
    pub fn gap(&mut self, rate: f64) -> f64 {
        -(1.0 - self.fraction()).ln() / rate
    }
}

/// Ends a task when it is dropped.
#[derive(Debug)]
pub struct Task(pub tokio::task::AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts a task that ends with what is returned.
pub fn task(run: impl std::future::Future<Output = ()> + Send + 'static) -> Task {
    Task(tokio::spawn(run).abort_handle())
}

/// Waits for SIGINT or SIGTERM.
pub async fn until_ended() {
    use tokio::signal::unix::{signal, SignalKind};
    let (Ok(mut interrupt), Ok(mut terminate)) = (
        signal(SignalKind::interrupt()),
        signal(SignalKind::terminate()),
    ) else {
        return;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}
