//! A simulated router in front of a target and its link.

use std::{future::Future, net::SocketAddr, rc::Rc};

use soak::{
    callers::Caller,
    link::{Link, LinkFault},
    promises::{CallOutcome, PromiseChecker},
    target::{Target, TargetBehavior},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Text of the event of a stream after which something happens: the second of twelve.
const SECOND_EVENT: &[u8] = b"id: 2\n";

/// What happens to the router or the link after the second event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterSecondEvent {
    Nothing,
    /// The router closes its connections.
    RouterCuts,
    /// The link to the target resets its connections.
    LinkResets,
}

/// Starts a router that forwards one call to the target and the answer back. It closes the caller's connection
/// when the target's connection ends.
async fn start_router(link: Rc<Link>, after: AfterSecondEvent) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        let (caller, _) = listener.accept().await.unwrap();
        let target = TcpStream::connect(link.address).await.unwrap();
        let (mut from_caller, mut to_caller) = caller.into_split();
        let (mut from_target, mut to_target) = target.into_split();
        let requests = tokio::io::copy(&mut from_caller, &mut to_target);
        let responses = async {
            let (mut answer, mut buf) = (Vec::new(), [0; 64]);
            while let Ok(n @ 1..) = from_target.read(&mut buf).await {
                to_caller.write_all(&buf[..n]).await.unwrap();
                answer.extend_from_slice(&buf[..n]);
                let is_second = answer
                    .windows(SECOND_EVENT.len())
                    .any(|w| w == SECOND_EVENT);
                match after {
                    AfterSecondEvent::RouterCuts if is_second => return,
                    AfterSecondEvent::LinkResets if is_second => link.set_fault(LinkFault::Reset),
                    _ => {}
                }
            }
        };
        tokio::select! {
            _ = requests => {}
            () = responses => {}
        }
    });
    address
}

/// Sends a stream through the router to a target of this behavior, and returns its outcome.
pub async fn stream(
    promises: &Rc<PromiseChecker>,
    behavior: TargetBehavior,
    after: AfterSecondEvent,
    call: &str,
) -> CallOutcome {
    // The callers name no target, so the target gets the empty name.
    let (target, address) = Target::start("", promises).await;
    target.behavior.set(behavior);
    let link = Link::start(address).await.unwrap();
    promises.planned.add_link(&link);
    target.link.get_or_init(|| Rc::clone(&link));
    let router = start_router(link, after).await;
    let mut caller = Caller::connect(router).await.unwrap();
    caller.call("stream", call, "key").await
}

pub fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}
