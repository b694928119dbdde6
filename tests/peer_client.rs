//! Responses of other hosts that end early.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use masticmoor::entry::source::Source;
use masticmoor::outcome::Code;
use masticmoor::outcome::Outcome;
use masticmoor::outcome::Refusal;
use masticmoor::peer::client::Client;
use masticmoor::peer::client::Error;
use masticmoor::peer::client::Timing;
use masticmoor::peer::codec;
use masticmoor::peer::codec::Decoder;
use masticmoor::peer::frame::Exchange;
use masticmoor::peer::frame::Frame;
use masticmoor::peer::frame::Head;
use masticmoor::peer::partition::Partition;
use masticmoor::peer::server;
use masticmoor::peer::server::Service;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

/// Time limit of connections and pings.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a frame.
const MAX_FRAME_BYTES: usize = 1 << 16;

const EXCHANGE: Exchange = Exchange {
    start: 7,
    sequence: 1,
};

/// Returns the frames of a complete response.
fn frames() -> Vec<Frame> {
    let head = Head {
        status: 200,
        headers: Vec::new(),
        waited_us: 0,
    };
    vec![
        Frame::Head(head),
        Frame::Data(Bytes::from_static(b"data: one\n\n")),
        Frame::Data(Bytes::from_static(b"data: [DONE]\n\n")),
        Frame::End,
    ]
}

/// Starts a host that responds with some frames and then ends the response in order.
async fn host(frames: Vec<Frame>) -> (SocketAddr, DropGuard) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = Service {
        frame: Box::new(move |_, _, out| {
            for frame in &frames {
                out.try_send(frame.clone()).unwrap();
            }
        }),
        post: Box::new(|_, _| Box::pin(async { None })),
        frame_bytes: MAX_FRAME_BYTES,
        ping: TIMEOUT,
        ping_timeout: TIMEOUT,
    };
    let stop = CancellationToken::new();
    tokio::spawn(server::run(listener, Arc::new(service), stop.clone()));
    (address, stop.drop_guard())
}

fn client() -> Client {
    let timing = Timing {
        connect: TIMEOUT,
        ping: TIMEOUT,
        ping_timeout: TIMEOUT,
        frame_bytes: MAX_FRAME_BYTES,
    };
    Client::new(timing, Partition::default())
}

#[tokio::test]
async fn a_response_that_ends_before_its_last_frame_is_truncated() {
    let all = frames();
    for count in 0..all.len() {
        let sent: Vec<Frame> = all.iter().take(count).cloned().collect();
        let (address, _guard) = host(sent.clone()).await;
        let client = client();
        let mut response = client.call(address, EXCHANGE, Frame::End).await.unwrap();
        for expected in &sent {
            assert_eq!(response.next().await.unwrap(), *expected);
        }
        let end = response.next().await;
        assert!(matches!(end, Err(Error::Truncated)), "{count}: {end:?}");
        let response = client.call(address, EXCHANGE, Frame::End).await.unwrap();
        let mut source = Source::Remote(response);
        for expected in &sent {
            assert_eq!(source.next().await, *expected);
        }
        let Frame::Refused(Refusal { outcome, code, .. }) = source.next().await else {
            panic!("{count}: no refusal at the end of the response");
        };
        assert_eq!((outcome, code), (Outcome::Unknown, Code::HomeLost));
    }
}

#[test]
fn a_response_cut_at_any_byte_yields_only_its_whole_frames() {
    let frames = frames();
    let encoded: Vec<Bytes> = frames
        .iter()
        .map(|frame| codec::encode(EXCHANGE, frame.clone()).unwrap())
        .collect();
    let bytes = encoded.concat();
    for cut in 0..=bytes.len() {
        let (sent, _) = bytes.split_at(cut);
        let mut decoder = Decoder::new(MAX_FRAME_BYTES);
        decoder.push(sent);
        let mut found = Vec::new();
        while let Some(envelope) = decoder.frame().unwrap() {
            found.push(envelope.frame);
        }
        let ends = encoded.iter().scan(0, |end, bytes| {
            *end += bytes.len();
            Some(*end)
        });
        let whole = ends.filter(|end| *end <= cut).count();
        let expected: Vec<Frame> = frames.iter().take(whole).cloned().collect();
        assert_eq!(found, expected, "{cut}");
    }
}
