//! Answers of other routers: how much of one is read.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use rstest::rstest;
use scaleford::{
    edge::{PeerConn, PeerRequest},
    store::StoreError,
    stream_origin::StreamKey,
    units::StoreRevision,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::LocalSet,
};

/// Time in which any answer comes.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Size of the pieces of a body, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// Size of the stand-in's send buffer, in bytes: bytes there count as taken, and it grows to megabytes by itself.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Maximum size of what a router takes of an answer without end, in bytes, with what waits in the systems' buffers:
/// those of a new connection are small.
const MAX_TAKEN_BYTES: usize = 2 << 20;

/// Size of a list that a router reads, in bytes.
const LIST_BYTES: usize = 24 << 20;

/// Reads a request, answers with a body of `len` bytes, and returns how many of them were taken before the
/// connection was closed.
async fn answer(mut stream: TcpStream, status: &str, len: usize) -> usize {
    let socket = socket2::SockRef::from(&stream);
    socket.set_send_buffer_size(SEND_BUFFER_BYTES).unwrap();
    let mut request = Vec::new();
    while !request.windows(4).any(|w| w == b"\r\n\r\n") {
        assert!(stream.read_buf(&mut request).await.unwrap() > 0);
    }
    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {len}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut taken = 0;
    while taken < len {
        let piece = [0; PIECE_BYTES];
        match stream.write(&piece[..PIECE_BYTES.min(len - taken)]).await {
            Ok(n) => taken += n,
            Err(_) => break,
        }
    }
    taken
}

/// Sends a request to a stand-in that answers with a body of `len` bytes; returns the result, and how many bytes of
/// the body were taken.
async fn call(
    request: PeerRequest,
    status: &'static str,
    len: usize,
) -> (Result<Bytes, StoreError>, usize) {
    let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = TcpListener::bind(any_port).await.unwrap();
    let address = listener.local_addr().unwrap();
    let stand_in = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        answer(stream, status, len).await
    });
    let local = LocalSet::new();
    let result = local
        .run_until(async {
            let conn = PeerConn::open(address).await?;
            conn.call(request, Bytes::new(), TIMEOUT).await
        })
        .await;
    // The connection ends with the tasks that serve it.
    drop(local);
    (result, stand_in.await.unwrap())
}

/// Each answer of another router, also a refusal or an origin of some bytes, was read up to 32 MB.
#[rstest]
#[tokio::test]
async fn an_answer_without_end_is_not_read_as_far_as_a_whole_list(
    #[values(
        PeerRequest::Claim,
        PeerRequest::Change,
        PeerRequest::Origin(StreamKey::new(None, "c-1")),
        PeerRequest::Tunnel("i-1".parse().unwrap()),
        PeerRequest::SlotRejected("i-1".parse().unwrap())
    )]
    request: PeerRequest,
    #[values("200 OK", "400 Bad Request", "503 Service Unavailable")] status: &'static str,
) {
    let (result, taken) = call(request, status, usize::MAX >> 1).await;
    let error = result.unwrap_err();
    assert!(
        matches!(&error, StoreError::NoAnswer(e) if e.contains("larger than")),
        "{error}"
    );
    assert!(taken <= MAX_TAKEN_BYTES, "{taken} bytes");
}

/// Guards against a bound that keeps a router of a large fleet from its list.
#[rstest]
#[case::list(PeerRequest::Store(StoreRevision::default(), Duration::ZERO))]
#[case::changes(PeerRequest::Store(StoreRevision::first_era(7), Duration::ZERO))]
#[case::decisions(PeerRequest::Explain("c-1".to_owned()))]
#[tokio::test]
async fn a_list_of_many_megabytes_is_read(#[case] request: PeerRequest) {
    let (result, taken) = call(request, "200 OK", LIST_BYTES).await;
    assert_eq!(result.unwrap().len(), LIST_BYTES);
    assert_eq!(taken, LIST_BYTES);
}
