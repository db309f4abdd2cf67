//! How long idle connections to servers are kept, where servers have few to give.

/// The keep-alive of one service's idle connections, in seconds: multiplicative decrease when a server turns a new
/// connection away, additive increase while none does.
///
/// Guards against a fleet that holds all the connections that its servers accept, most of them for nothing: each node draws
/// a rare server now and then and would keep the connection to it until the server's own time-out, so that others are
/// turned away there. How many a server accepts is told nowhere; that it turns one away is the only sign. It ought to catch
/// any bound that is shared with strangers. Harm: where a server does so because it drains, some connections are opened
/// anew that need not have been, for as long as `RECOVERY`.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlive {
    most: f64,
    now: f64,
    turned_away: bool,
}

/// Part of the longest keep-alive that is always left.
const LEAST: f64 = 1.0 / 16.0;
/// Seconds in which the whole of it is regained.
const RECOVERY: f64 = 20.0;

impl KeepAlive {
    /// Begins with the longest that servers allow, in seconds.
    pub fn new(most: f64) -> Self {
        KeepAlive {
            most,
            now: most,
            turned_away: false,
        }
    }

    /// How long an idle connection is kept now, in seconds.
    pub fn seconds(&self) -> f64 {
        self.now
    }

    /// A server has turned a new connection away. Several between two looks are one sign.
    pub fn turned_away(&mut self) {
        self.turned_away = true;
    }

    /// What has been seen in the last `dt` seconds takes effect.
    pub fn tick(&mut self, dt: f64) {
        if std::mem::take(&mut self.turned_away) {
            self.now = (self.now / 2.0).max(self.most * LEAST);
        } else {
            self.now = (self.now + self.most * dt / RECOVERY).min(self.most);
        }
    }
}
