//! Taking over from a process that serves, over a Unix socket: listening sockets, what was learned, and clients.
//!
//! [`reelfall_admin::succession`] decides which of the two accepts, and who has the clients.

use super::front::{Front, Handover, HandoverState};
use super::shared::Shared;
use super::task::AbortOnDrop;
use bytes::{Buf, BytesMut};
use reelfall_admin::succession::{Predecessor, Successor};
use reelfall_admin::takeover::{Frame, DESCRIPTORS_MOST, PROTOCOL_VERSION};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::timeout;

/// How long a new process waits for the snapshot of the old one, before it binds the address itself.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);
/// How long the other side of an exchange may take for one frame that is on its way.
const FRAME_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes of one read.
const READ_LEN: usize = 16 << 10;

/// The exchange between two processes of one node.
struct Exchange {
    stream: UnixStream,
    buffer: BytesMut,
    descriptors: VecDeque<OwnedFd>,
}

impl Exchange {
    /// Guards against processes of other users, who could take the sockets over or hand in some of their own. Harm: none
    /// where a node is started by one user.
    fn new(stream: UnixStream) -> io::Result<Exchange> {
        if stream.peer_cred()?.uid() != rustix::process::geteuid().as_raw() {
            return Err(io::Error::other(
                "the process on the other side has another user",
            ));
        }
        Ok(Exchange {
            stream,
            buffer: BytesMut::new(),
            descriptors: VecDeque::new(),
        })
    }

    async fn send(&self, frame: &Frame, descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
        let bytes = frame.encode()?;
        let mut sent = 0;
        let write = async {
            while sent < bytes.len() {
                let rest = bytes.get(sent..).unwrap_or_default();
                let with = if sent == 0 { descriptors } else { &[] };
                sent += self
                    .stream
                    .async_io(Interest::WRITABLE, || write(&self.stream, rest, with))
                    .await?;
            }
            Ok(())
        };
        timeout(FRAME_TIMEOUT, write)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// The next frame and its descriptors; may be dropped and called again.
    async fn receive(&mut self) -> io::Result<(Frame, Vec<OwnedFd>)> {
        loop {
            if let Some((frame, length)) = Frame::decode(&self.buffer)? {
                let n = frame.descriptor_count();
                if self.descriptors.len() < n {
                    return Err(io::Error::other("a frame without its descriptors"));
                }
                self.buffer.advance(length);
                return Ok((frame, self.descriptors.drain(..n).collect()));
            }
            if self.descriptors.len() > 2 * DESCRIPTORS_MOST {
                return Err(io::Error::other("descriptors without frames"));
            }
            let (buffer, descriptors, stream) =
                (&mut self.buffer, &mut self.descriptors, &self.stream);
            let n = stream
                .async_io(Interest::READABLE, || read(stream, buffer, descriptors))
                .await?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

fn write(stream: &UnixStream, bytes: &[u8], descriptors: &[BorrowedFd]) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS_MOST))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() && !control.push(SendAncillaryMessage::ScmRights(descriptors)) {
        return Err(io::Error::other("too many descriptors"));
    }
    Ok(sendmsg(
        stream,
        &[IoSlice::new(bytes)],
        &mut control,
        SendFlags::DONTWAIT | SendFlags::NOSIGNAL,
    )?)
}

fn read(
    stream: &UnixStream,
    buffer: &mut BytesMut,
    descriptors: &mut VecDeque<OwnedFd>,
) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS_MOST))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut bytes = [0; READ_LEN];
    let flags = RecvFlags::DONTWAIT | RecvFlags::CMSG_CLOEXEC;
    let got = recvmsg(
        stream,
        &mut [IoSliceMut::new(&mut bytes)],
        &mut control,
        flags,
    )?;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = message {
            descriptors.extend(rights);
        }
    }
    buffer.extend_from_slice(bytes.get(..got.bytes).unwrap_or_default());
    Ok(got.bytes)
}

/// The Unix socket at which the processes of a node meet.
pub struct HandoverSocket {
    folder: PathBuf,
    name: String,
}

impl HandoverSocket {
    /// The node of this name; `folder` is what its processes share.
    pub fn new(folder: &Path, name: &str) -> Self {
        HandoverSocket {
            folder: folder.to_owned(),
            name: name.to_owned(),
        }
    }

    /// The path to use, and the folder that has to be held open for it. A path that is too long for a socket is gone
    /// round by way of the folder's descriptor.
    fn path(&self, end: &str) -> io::Result<(PathBuf, std::fs::File)> {
        let folder = std::fs::File::open(&self.folder)?;
        let file = format!("reelfall-{}.{end}", self.name);
        let plain = self.folder.join(&file);
        if plain.as_os_str().len() < 100 {
            return Ok((plain, folder));
        }
        let descriptor = std::os::fd::AsRawFd::as_raw_fd(&folder);
        Ok((
            PathBuf::from(format!("/proc/self/fd/{descriptor}")).join(file),
            folder,
        ))
    }

    /// Listens for a process that takes over. The socket of an earlier run is replaced, never missing in between.
    fn listen(&self) -> io::Result<UnixListener> {
        let ((fresh, _folder), (path, _same)) =
            (self.path("takeover.new")?, self.path("takeover")?);
        let _ = std::fs::remove_file(&fresh);
        let listener = UnixListener::bind(&fresh)?;
        std::fs::rename(&fresh, &path)?;
        Ok(listener)
    }

    /// Asks the process that serves for what it has. `None` if there is none, or nothing comes of it.
    pub async fn request_snapshot(&self, shared: &Shared) -> Option<Snapshot> {
        let (path, _folder) = self.path("takeover").ok()?;
        let request = timeout(SNAPSHOT_TIMEOUT, async {
            let mut exchange = Exchange::new(UnixStream::connect(path).await?)?;
            exchange
                .send(
                    &Frame::Hello {
                        version: PROTOCOL_VERSION,
                    },
                    &[],
                )
                .await?;
            match exchange.receive().await? {
                (Frame::Snapshot { listeners, learned }, descriptors) => {
                    let listeners = listeners.into_iter().zip(descriptors).collect();
                    Ok(Snapshot {
                        listeners,
                        learned,
                        exchange,
                    })
                }
                _ => Err(io::Error::other("it gives nothing")),
            }
        });
        match request.await {
            Ok(Ok(snapshot)) => Some(snapshot),
            Ok(Err(e))
                if matches!(
                    e.kind(),
                    io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused
                ) =>
            {
                None
            }
            Ok(Err(e)) => {
                shared.log.write_line(format_args!(
                    "the process that serves: {e}; binding the address beside it"
                ));
                None
            }
            Err(_) => {
                shared.log.write_line(format_args!(
                    "the process that serves gives nothing; binding the address beside it"
                ));
                None
            }
        }
    }
}

/// What the old process handed over.
pub struct Snapshot {
    listeners: Vec<(String, OwnedFd)>,
    learned: Vec<(String, serde_json::Value)>,
    exchange: Exchange,
}

impl Snapshot {
    /// The listening socket of a name, if it was given.
    pub fn listener(&mut self, name: &str) -> Option<OwnedFd> {
        let at = self.listeners.iter().position(|(n, _)| n == name)?;
        Some(self.listeners.swap_remove(at).1)
    }

    /// What the module of a pool had learned.
    pub fn learned(&self, pool: &str) -> Option<&serde_json::Value> {
        self.learned.iter().find(|(n, _)| n == pool).map(|(_, l)| l)
    }
}

/// What the modules of a process have learned, by their pools' names.
pub type CollectLearned = Box<dyn Fn() -> Vec<(String, serde_json::Value)>>;

/// This process in the succession of the node's processes.
pub struct Takeover {
    socket: Option<HandoverSocket>,
    shared: Rc<Shared>,
    predecessor: RefCell<Predecessor>,
    successor: Cell<Successor>,
    collect_learned: CollectLearned,
    serving: Cell<bool>,
    /// The old process is gone.
    pub predecessor_gone: Notify,
}

impl Takeover {
    /// The state of a process that has a predecessor or not; the processes of the node meet at `socket`, if they can.
    pub fn new(
        shared: Rc<Shared>,
        socket: Option<HandoverSocket>,
        has_predecessor: bool,
        collect_learned: CollectLearned,
    ) -> Rc<Self> {
        let mut successor = Successor::default();
        if has_predecessor {
            successor.handle_snapshot();
        }
        shared.set_process_count(successor.process_count());
        let (predecessor, successor) = (RefCell::default(), Cell::new(successor));
        Rc::new(Takeover {
            socket,
            shared,
            predecessor,
            successor,
            collect_learned,
            serving: Cell::new(false),
            predecessor_gone: Notify::new(),
        })
    }

    /// Whether this process serves, and one that served before it knows.
    pub fn is_serving(&self) -> bool {
        self.serving.get()
    }

    fn update_predecessor(&self, front: &Front, change: impl FnOnce(&mut Predecessor)) {
        change(&mut self.predecessor.borrow_mut());
        front.notify_handover_changed();
    }

    /// This process can serve: it accepts, tells the old one, accepts its clients, and listens for its own successor.
    pub async fn serve(self: Rc<Self>, front: Rc<Front>, snapshot: Option<Snapshot>) {
        let mut successor = self.successor.get();
        successor.set_ready();
        self.successor.set(successor);
        front.notify_handover_changed();
        let _listening = self.listen_for_successor(&front);
        let mut exchange = snapshot.map(|snapshot| snapshot.exchange);
        let announced = match &exchange {
            Some(exchange) => exchange.send(&Frame::Serving, &[]).await.is_ok(),
            None => false,
        };
        // Whoever is told yes ends the old process: it has to have heard before.
        self.serving.set(true);
        if let Some(exchange) = &mut exchange {
            if announced {
                while let Ok((frame, descriptors)) = exchange.receive().await {
                    let Frame::Client { listener } = frame else {
                        break;
                    };
                    descriptors
                        .into_iter()
                        .for_each(|d| front.accept_handover(d.into(), &listener));
                }
            }
            let mut successor = self.successor.get();
            successor.handle_predecessor_gone();
            self.successor.set(successor);
            self.shared.set_process_count(successor.process_count());
            self.predecessor_gone.notify_one();
        }
        std::future::pending().await
    }

    fn listen_for_successor(self: &Rc<Self>, front: &Rc<Front>) -> Option<AbortOnDrop> {
        let listener = match self.socket.as_ref()?.listen() {
            Ok(listener) => listener,
            Err(e) => {
                self.shared
                    .log
                    .write_line(format_args!("no process will be able to take over: {e}"));
                return None;
            }
        };
        let (takeover, front) = (self.clone(), front.clone());
        let task = tokio::task::spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let (takeover, front) = (takeover.clone(), front.clone());
                        tokio::task::spawn_local(async move {
                            takeover.serve_successor(stream, &front).await
                        });
                    }
                    Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
                }
            }
        });
        Some(AbortOnDrop(task.abort_handle()))
    }

    /// Serves a process that wants to take over, to the end of either.
    async fn serve_successor(&self, stream: UnixStream, front: &Rc<Front>) {
        let Ok(mut exchange) = Exchange::new(stream) else {
            return;
        };
        let Ok(Ok((Frame::Hello { version }, _))) =
            timeout(FRAME_TIMEOUT, exchange.receive()).await
        else {
            return;
        };
        if !self.predecessor.borrow_mut().handle_hello(version) {
            let _ = exchange.send(&Frame::Busy, &[]).await;
            return;
        }
        let ended = self.hand_over(&mut exchange, front).await;
        self.shared
            .log
            .write_line(format_args!("the process that takes over: {ended}"));
        front.hand_over_to(None);
        self.update_predecessor(front, Predecessor::handle_successor_lost);
        self.shared
            .set_process_count(self.successor.get().process_count());
    }

    /// Hands over all there is; comes back only when the successor is lost.
    async fn hand_over(&self, exchange: &mut Exchange, front: &Rc<Front>) -> io::Error {
        let listening = front.listening();
        let (names, listeners): (Vec<String>, Vec<_>) = listening
            .iter()
            .map(|l| (l.name().to_owned(), l.as_fd()))
            .unzip();
        self.shared.set_process_count(2);
        let snapshot = Frame::Snapshot {
            listeners: names,
            learned: (self.collect_learned)(),
        };
        if let Err(e) = exchange.send(&snapshot, &listeners).await {
            return e;
        }
        match exchange.receive().await {
            Ok((Frame::Serving, _)) => {}
            Ok(_) => return io::Error::other("it violates the protocol"),
            Err(e) => return e,
        }
        let (sender, mut handovers) = mpsc::unbounded_channel::<Handover>();
        front.hand_over_to(Some(sender));
        self.update_predecessor(front, Predecessor::handle_serving);
        let ended = loop {
            let next = tokio::select! {
                ended = exchange.receive() => break ended.err().unwrap_or(io::Error::other("it violates the protocol")),
                Some(next) = handovers.recv() => next,
            };
            if let Err(e) = send_client(exchange, next).await {
                break e;
            }
        };
        // Whoever is on its way still comes back: this process serves on.
        handovers.close();
        while let Ok(Handover { stream, done, .. }) = handovers.try_recv() {
            let _ = done.send(Err(stream));
        }
        ended
    }
}

impl HandoverState for Takeover {
    fn accepts(&self) -> bool {
        self.predecessor.borrow().accepts() && self.successor.get().accepts()
    }

    fn shares_listeners(&self) -> bool {
        self.predecessor.borrow().shares_listeners()
    }

    fn hands_over(&self) -> bool {
        self.predecessor.borrow().hands_over()
    }

    fn terminate(&self) {
        self.predecessor.borrow_mut().terminate();
    }

    fn end_accept_grace(&self) {
        self.predecessor.borrow_mut().end_accept_grace();
    }
}

async fn send_client(exchange: &Exchange, handover: Handover) -> io::Result<()> {
    let Handover {
        stream,
        listener,
        done,
    } = handover;
    let sent = exchange
        .send(&Frame::Client { listener }, &[stream.as_fd()])
        .await;
    // Whoever waits for the result may have ended meanwhile.
    let _ = done.send(if sent.is_ok() { Ok(()) } else { Err(stream) });
    sent
}
