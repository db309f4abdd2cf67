//! Leases on the fleet's socket, and keepers' folders on threads of their own. What is decided is [`reelfall_lease`]'s; here it
//! is sent, timed and written.

mod call;
mod desk;
mod disk;

use crate::fleet::{To as Way, Together};
use crate::net::Log;
use disk::{Disk, Done, Says};
use reelfall_conf::model;
use reelfall_fleet::node::Node;
use reelfall_lease::clock::Margins;
use reelfall_lease::holder::{Change, Lease, Rules};
use reelfall_lease::keeper::{self, Effects, Keeper, To};
use reelfall_lease::say::{Asker, Message};
use reelfall_lease::token::{Act, Name};
use reelfall_lease::Micros;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, VecDeque};
use std::hash::BuildHasher;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};

/// A lease that an operator had this node give back is wanted again after so many times its length.
const WANTED_AGAIN: u32 = 2;

/// What nodes with the same keepers, in the same order, have in common.
///
/// Guards against files that name other keepers: two majorities of two lists need not meet, and each would have a holder of its
/// own. A process has one list, and with these bytes it counts in one group alone. Harm: nodes whose files differ keep and
/// hold nothing together.
fn group(keepers: &[String]) -> [u8; 8] {
    let mut hasher = blake3::Hasher::new();
    for name in keepers {
        hasher.update(&(name.len() as u64).to_le_bytes()).update(name.as_bytes());
    }
    hasher.finalize().as_bytes().first_chunk().copied().unwrap_or_default()
}

/// A keeper, and its folder.
struct Keeping {
    place: usize,
    disk: Disk,
    keeper: RefCell<Option<Keeper>>,
    /// Which opening of the folder the keeper is of.
    opening: Cell<u64>,
    /// What was said of the folder, or of its standing, last.
    told: RefCell<String>,
    /// What askers asked while too much waited for the disk.
    left: Cell<u64>,
}

/// One lease that this node may want.
struct Wanted {
    lease: Lease,
    /// It is wanted again from then on.
    again: Option<Micros>,
}

/// See the module.
pub struct Leases {
    together: Rc<Together>,
    keepers: Vec<String>,
    /// Goes before each message.
    group: [u8; 8],
    rules: Rules,
    longest: Micros,
    keeping: Option<Keeping>,
    wanted: RefCell<BTreeMap<Name, Wanted>>,
    /// What this node says to itself.
    inbox: RefCell<VecDeque<Message>>,
    /// There may be something to do.
    wake: Notify,
    /// A lease was got, or lost.
    changed: Notify,
    chance: RandomState,
    drawn: Cell<u64>,
    log: Log,
}

impl Leases {
    /// Begins, with the keeper's folder if this node is one.
    ///
    /// # Errors
    /// If the node can't have what it needs. A folder that can't be used now is no error: it is tried again.
    pub fn start(
        together: &Rc<Together>, fleet: &model::Fleet, settings: &model::Leases,
    ) -> Result<Rc<Leases>, String> {
        let margins = Margins { drift_ppm: (settings.drift * 1e6).ceil() as u32 };
        let length = (settings.length * 1e6) as Micros;
        let place = settings.keepers.iter().position(|name| *name == fleet.node);
        let (done, writes) = mpsc::unbounded_channel();
        let keeping = place.zip(settings.folder.clone()).map(|(place, folder)| {
            let disk = Disk::start(folder, done).map_err(|e| format!("leases: {e}"))?;
            let (keeper, opening, told, left) = Default::default();
            Ok::<_, String>(Keeping { place, disk, keeper, opening, told, left })
        });
        let leases = Rc::new(Leases {
            together: together.clone(),
            keepers: settings.keepers.clone(),
            group: group(&settings.keepers),
            rules: Rules { margins, ..Rules::of(settings.keepers.len(), length) },
            longest: length,
            keeping: keeping.transpose()?,
            wanted: RefCell::default(),
            inbox: RefCell::default(),
            wake: Notify::new(),
            changed: Notify::new(),
            chance: RandomState::new(),
            drawn: Cell::new(0),
            log: Log::default(),
        });
        let taking = Rc::downgrade(&leases);
        together.take_errands(Box::new(move |from, body| {
            if let Some(leases) = taking.upgrade() {
                leases.take(from, body);
            }
        }));
        tokio::task::spawn_local(leases.clone().run(writes));
        for call in &settings.calls {
            let name = Name::try_from(call.name.clone())
                .map_err(|e| format!("leases: call `{}`: {e}", call.name))?;
            leases.want(&name);
            tokio::task::spawn_local(call::run(leases.clone(), name, call.clone()));
        }
        Ok(leases)
    }

    fn now(&self) -> Micros {
        self.together.micros()
    }

    /// A number over all there are, drawn anew.
    fn draw(&self) -> u32 {
        self.drawn.set(self.drawn.get() + 1);
        self.chance.hash_one(self.drawn.get()) as u32
    }

    fn me(&self) -> Asker {
        let me = self.together.me();
        Asker { name: me.name, tag: me.life.tag }
    }

    /// Does what is due for as long as it is polled.
    async fn run(self: Rc<Self>, mut writes: mpsc::UnboundedReceiver<Done>) {
        loop {
            self.tick();
            let due = self.deadline().saturating_sub(self.now()).clamp(1_000, 1_000_000);
            tokio::select! {
                () = tokio::time::sleep(Duration::from_micros(due)) => {}
                () = self.wake.notified() => {}
                Some(done) = writes.recv() => self.written(done),
            }
        }
    }

    fn deadline(&self) -> Micros {
        let wanted = self.wanted.borrow();
        let leases = wanted.values().filter_map(|w| w.lease.deadline().or(w.again));
        let keeper = self.keeping.iter().filter_map(|k| k.keeper.borrow().as_ref().map(Keeper::deadline));
        leases.chain(keeper).min().unwrap_or(Micros::MAX)
    }

    fn tick(&self) {
        let now = self.now();
        for wanted in self.wanted.borrow_mut().values_mut() {
            if wanted.again.take_if(|again| *again <= now).is_some() {
                wanted.lease.want(now);
            }
            if wanted.lease.deadline().is_some_and(|due| due <= now) {
                wanted.lease.tick(now, self.draw());
            }
        }
        if let Some(keeping) = &self.keeping {
            let due = |k: &&mut Keeper| k.deadline() <= now && keeping.disk.has_room();
            if let Some(keeper) = keeping.keeper.borrow_mut().as_mut().filter(due) {
                keeper.tick(now);
            }
        }
        self.settle();
    }

    // ---- what comes ----

    /// Another node has said something.
    fn take(&self, from: &Node, body: &[u8]) {
        let Some(message) = body.strip_prefix(&self.group).and_then(Message::read) else { return };
        let place = || self.keepers.iter().position(|name| *name == from.name);
        match message {
            Message::Ask(ask) => {
                let asker = Asker { name: from.name.clone(), tag: from.life.tag };
                self.keep(|keeper, now| keeper.asked(now, &asker, ask));
            }
            Message::Between(between) => {
                if let Some(place) = place() {
                    self.keep(|keeper, now| keeper.heard(now, place, between));
                }
            }
            Message::Said(said) => {
                if let Some(place) = place() {
                    self.hear(place, said);
                }
            }
        }
        self.settle();
        self.wake.notify_one();
    }

    /// Has the keeper do something, if there is one that may.
    fn keep(&self, does: impl FnOnce(&mut Keeper, Micros)) {
        let Some(keeping) = &self.keeping else { return };
        if !keeping.disk.has_room() {
            // Guards against a disk that is slower than askers ask. Harm: they ask again.
            keeping.left.set(keeping.left.get() + 1);
            return;
        }
        if let Some(keeper) = keeping.keeper.borrow_mut().as_mut() {
            does(keeper, self.now());
        }
    }

    fn hear(&self, place: usize, said: reelfall_lease::say::Said) {
        let (now, chance) = (self.now(), self.draw());
        if let Some(wanted) = self.wanted.borrow_mut().get_mut(said.lease()) {
            wanted.lease.heard(now, place, said, chance);
        }
    }

    /// Sends, writes and tells what has come of anything, until nothing more does.
    fn settle(&self) {
        loop {
            self.settle_leases();
            self.settle_keeper();
            let Some(message) = self.inbox.borrow_mut().pop_front() else { return };
            let Some(place) = self.keeping.as_ref().map(|k| k.place) else { continue };
            match message {
                Message::Ask(ask) => {
                    let me = self.me();
                    self.keep(|keeper, now| keeper.asked(now, &me, ask));
                }
                Message::Said(said) => self.hear(place, said),
                Message::Between(_) => {}
            }
        }
    }

    fn settle_leases(&self) {
        let mut asks = Vec::new();
        for (name, wanted) in self.wanted.borrow_mut().iter_mut() {
            asks.extend(wanted.lease.asks());
            for change in wanted.lease.changes() {
                self.changed.notify_waiters();
                match change {
                    Change::Got(token) => {
                        self.log.say(format_args!("lease {name}: held here, token {}", token.number()))
                    }
                    Change::Gave(token) => {
                        self.log.say(format_args!("lease {name}: given back, token {}", token.number()))
                    }
                    Change::Lost(token) => {
                        self.log.say(format_args!("lease {name}: lost, token {}", token.number()))
                    }
                }
            }
        }
        for (keeper, ask) in asks {
            let message = Message::Ask(ask);
            if self.keeping.as_ref().is_some_and(|k| k.place == keeper) {
                self.inbox.borrow_mut().push_back(message);
            } else if let Some((name, body)) = self.keepers.get(keeper).zip(self.written_out(&message)) {
                self.together.run_errand(&Way::Name(name.clone()), body);
            }
        }
    }

    fn settle_keeper(&self) {
        let Some(keeping) = &self.keeping else { return };
        let Effects { records, says } = match keeping.keeper.borrow_mut().as_mut() {
            Some(keeper) => keeper.effects(),
            None => return,
        };
        if records.is_empty() && says.is_empty() {
            return;
        }
        if records.is_empty() && keeping.disk.is_idle() {
            return self.say(says);
        }
        // What is said after a write that waits must not overtake it.
        if !keeping.disk.write(keeping.opening.get(), records, says) {
            self.stop(keeping, "more waits for the disk than may");
        }
    }

    fn written_out(&self, message: &Message) -> Option<Vec<u8>> {
        message.write().map(|bytes| [self.group.as_slice(), &bytes].concat())
    }

    fn say(&self, says: Says) {
        let me = self.me().tag;
        for (to, message) in says {
            match to {
                To::Asker(asker) if asker.tag == me => self.inbox.borrow_mut().push_back(message),
                To::Asker(asker) => {
                    if let Some(body) = self.written_out(&message) {
                        self.together.run_errand(&Way::Tag(asker.tag), body);
                    }
                }
                To::Keeper(place) => {
                    if let Some((name, body)) = self.keepers.get(place).zip(self.written_out(&message)) {
                        self.together.run_errand(&Way::Name(name.clone()), body);
                    }
                }
            }
        }
    }

    // ---- the disk ----

    fn written(&self, done: Done) {
        let Some(keeping) = &self.keeping else { return };
        match done {
            Done::Opened(opening, image) => {
                keeping.opening.set(opening);
                keeping.disk.begin_anew();
                let margins = self.rules.margins;
                let rules = keeper::Rules { margins, longest: self.longest, ..keeper::Rules::default() };
                let (keepers, now) = (self.keepers.len(), self.now());
                let tag = self.chance.hash_one("seal") | 1;
                let keeper = Keeper::open(keeping.place, keepers, rules, *image, tag, now);
                keeping.keeper.replace(Some(keeper));
            }
            Done::Written(opening, writes, says) => {
                if opening == keeping.opening.get() && keeping.keeper.borrow().is_some() {
                    keeping.disk.done(writes);
                    self.say(says);
                }
            }
            Done::Failed(why) => self.stop(keeping, &why),
        }
        self.settle();
        self.tell(keeping);
    }

    /// The keeper is no more, until its folder is open again: what it had in mind may not be on the disk.
    fn stop(&self, keeping: &Keeping, why: &str) {
        keeping.keeper.replace(None);
        keeping.opening.set(0);
        if keeping.told.replace(why.to_owned()) != why {
            self.log.say(format_args!("leases: the keeper's folder: {why}"));
        }
    }

    /// Says once where the keeper stands.
    fn tell(&self, keeping: &Keeping) {
        let standing = keeping.keeper.borrow().as_ref().map(Keeper::standing);
        let Some(standing) = standing.map(desk::standing) else { return };
        if *keeping.told.borrow() != standing {
            self.log.say(format_args!("leases: this keeper {standing}"));
            keeping.told.replace(standing);
        }
    }

    // ---- what tasks see ----

    /// The lease is wanted from now on.
    fn want(&self, name: &Name) {
        let now = self.now();
        let mut wanted = self.wanted.borrow_mut();
        let lease = || Wanted { lease: Lease::new(name.clone(), self.rules), again: None };
        wanted.entry(name.clone()).or_insert_with(lease).lease.want(now);
        self.wake.notify_one();
    }

    /// Something to be done by grace of the lease, if it is held at this moment.
    pub fn act<T>(&self, name: &Name, what: T) -> Option<Act<T>> {
        let wanted = self.wanted.borrow();
        let act = wanted.get(name)?.lease.held(self.now()).map(|held| held.act(what));
        act
    }

    /// Waits until the lease is held.
    async fn until_held(&self, name: &Name) {
        loop {
            let changed = self.changed.notified();
            if self.act(name, ()).is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Gives the lease back for a while, so that somebody else gets it. Whether it was held.
    fn give_back(&self, name: &Name) -> bool {
        let now = self.now();
        let held = self.act(name, ()).is_some();
        if let Some(wanted) = self.wanted.borrow_mut().get_mut(name) {
            wanted.lease.give_back(now);
            wanted.again = Some(now + self.rules.length * u64::from(WANTED_AGAIN));
        }
        self.settle();
        self.wake.notify_one();
        held
    }

    /// The node ends: what it holds is given back, and nothing is wanted any more.
    pub fn leave(&self) {
        let now = self.now();
        for wanted in self.wanted.borrow_mut().values_mut() {
            wanted.lease.give_back(now);
            wanted.again = None;
        }
        self.settle();
    }
}
