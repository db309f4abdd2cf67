//! Connections of clients to members: frames in, answers out.

use super::requests;
use super::world::{lock, Conn, ConnId, World};
use bytes::{Bytes, BytesMut};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Longest request.
const FRAME_MOST: usize = (1 << 20) + (64 << 10);

pub(super) async fn accept(listener: TcpListener, member: usize, world: Arc<Mutex<World>>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        if lock(&world).members[member].dropped {
            continue;
        }
        let world = world.clone();
        connections.spawn(async move {
            let _ = stream.set_nodelay(true);
            // What a client does to its connection is its own affair.
            let _ = connection(stream, member, world).await;
        });
    }
}

/// Removes a connection when it ends, however it does.
struct Leaves(Arc<Mutex<World>>, ConnId);

impl Drop for Leaves {
    fn drop(&mut self) {
        lock(&self.0).forget(self.1);
    }
}

async fn thawed(frozen: &mut watch::Receiver<bool>) {
    // The sender lives as long as the member.
    let _ = frozen.wait_for(|f| !*f).await;
}

async fn connection(
    stream: TcpStream,
    member: usize,
    world: Arc<Mutex<World>>,
) -> std::io::Result<()> {
    let (mut read, mut write) = stream.into_split();
    let (out, mut outgoing) = mpsc::unbounded_channel::<(Instant, Bytes)>();
    let (close, mut closed) = watch::channel(false);
    let (id, mut frozen, mut has) = {
        let mut w = lock(&world);
        let id = w.number();
        let (frozen, has) = (
            w.members[member].frozen.subscribe(),
            w.members[member].has.subscribe(),
        );
        w.conns.insert(
            id,
            Conn {
                member,
                session: 0,
                who: Vec::new(),
                out,
                close,
            },
        );
        (id, frozen, has)
    };
    let _leaves = Leaves(world.clone(), id);
    let (saying, mut freezing) = (world.clone(), frozen.clone());
    let writer = crate::spawn(async move {
        while let Some((at, frame)) = outgoing.recv().await {
            thawed(&mut freezing).await;
            let delay = lock(&saying).members[member].delay;
            tokio::time::sleep_until((at + delay).into()).await;
            if write.write_all(&frame).await.is_err() {
                return;
            }
        }
    });
    let serve = async {
        let mut held = BytesMut::new();
        let mut greeted = false;
        loop {
            while let Some(head) = held.first_chunk::<4>() {
                if let Some(answer) = requests::four_letters(head) {
                    let _ = lock(&world)
                        .conns
                        .get(&id)
                        .map(|c| c.out.send((Instant::now(), answer)));
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    return;
                }
                let length = u32::from_be_bytes(*head) as usize;
                if length > FRAME_MOST {
                    return;
                }
                if held.len() < 4 + length {
                    break;
                }
                let frame = held.split_to(4 + length).split_off(4).freeze();
                thawed(&mut frozen).await;
                let handled = match greeted {
                    false => requests::greet(&mut lock(&world), id, &frame),
                    true => requests::handle(&mut lock(&world), id, &frame),
                };
                let Some(requests::Handled {
                    reply,
                    seen,
                    then_close,
                }) = handled
                else {
                    return;
                };
                greeted = true;
                // What was written is answered once this member has it.
                if has.wait_for(|has| *has >= seen).await.is_err() {
                    return;
                }
                if let Some(reply) = reply {
                    lock(&world).say(id, reply);
                }
                if then_close {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    return;
                }
            }
            match read.read_buf(&mut held).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    };
    tokio::select! {
        () = serve => {}
        _ = closed.wait_for(|closed| *closed) => {}
    }
    drop(writer);
    Ok(())
}
