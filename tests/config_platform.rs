//! The client of the platform, against canned responses over real sockets.

#[path = "truncation/cut.rs"]
mod cut;
#[path = "truncation/end.rs"]
mod end;

use std::net::SocketAddr;
use std::time::Duration;

use masticmoor::config::VALUE_LIMIT_BYTES;
use masticmoor::config::key::Key;
use masticmoor::config::platform::Client;
use masticmoor::config::platform::Error;
use masticmoor::config::platform::Value;
use masticmoor::ident;
use masticmoor::member::listing::Listing;
use masticmoor::member::listing::State;
use masticmoor::revision::Revision;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use cut::Cut;
use cut::Framing;
use end::End;

const TIMEOUT: Duration = Duration::from_millis(500);

/// Serves one call with a canned response, and returns the first line of the
/// request.
async fn replica(response: String) -> (SocketAddr, JoinHandle<String>) {
    replica_that_ends(response, End::Close).await
}

/// Serves one call like [`replica`], and ends the connection in some way.
async fn replica_that_ends(response: String, end: End) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let address = listener.local_addr().expect("local address");
    let task = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept a call");
        let mut request = vec![0; 4_096];
        let length = stream.read(&mut request).await.expect("read the request");
        let request = String::from_utf8_lossy(request.get(..length).unwrap_or_default());
        // The client may have closed the connection already.
        let _ = stream.write_all(response.as_bytes()).await;
        end.apply(stream).expect("end the connection");
        request.lines().next().unwrap_or_default().to_owned()
    });
    (address, task)
}

fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}")
}

fn value(revision: u64, text: &str) -> Value {
    Value {
        revision: Revision(revision),
        text: text.to_owned(),
    }
}

#[rstest]
#[case("200 OK", "revision: 7\r\n", Some(value(7, "a = 1")))]
#[case("404 Not Found", "", None)]
#[tokio::test]
async fn a_value_is_returned_with_its_revision(
    #[case] status: &str,
    #[case] headers: &str,
    #[case] expected: Option<Value>,
) {
    let (address, request) = replica(response(status, headers, "a = 1")).await;
    let found = Client::new(vec![address], TIMEOUT).get(Key::Rules).await;
    assert_eq!(found.unwrap(), expected);
    assert_eq!(request.await.unwrap(), "GET /v1/values/rules HTTP/1.1");
}

#[tokio::test]
async fn after_a_watch_without_a_new_value_the_next_replica_is_called() {
    let (first, request) = replica(response("304 Not Modified", "", "")).await;
    let (second, _) = replica(response("200 OK", "revision: 8\r\n", "b")).await;
    let mut client = Client::new(vec![first, second], TIMEOUT);
    let wait = Duration::from_secs(1);
    let key = Key::Workspaces(3);
    let found = client.watch(key, Revision(7), wait).await.unwrap();
    assert_eq!(found, None);
    let found = client.watch(key, Revision(7), wait).await.unwrap();
    assert_eq!(found, Some(value(8, "b")));
    let expected = "GET /v1/values/workspaces/3?after=7&wait_ms=1000 HTTP/1.1";
    assert_eq!(request.await.unwrap(), expected);
}

#[tokio::test]
async fn the_list_of_hosts_is_decoded() {
    let body = r#"[{"host":"e1","state":"live"},{"host":"e2","state":"leaving"}]"#;
    let (address, _) = replica(response("200 OK", "", body)).await;
    let listing = |host, state| Listing {
        host: ident::Host::from(host),
        state,
    };
    let expected = [listing("e1", State::Live), listing("e2", State::Leaving)];
    let found = Client::new(vec![address], TIMEOUT).hosts().await.unwrap();
    assert_eq!(found, expected);
}

#[rstest]
#[case(response("200 OK", "", "a"), "revision")]
#[case(response("500 Oops", "", "a"), "status")]
#[case(response("200 OK", "revision: 1\r\n", &"a".repeat(VALUE_LIMIT_BYTES + 1)), "body")]
#[case(format!("{}cut", "HTTP/1.1 200 OK\r\nrevision: 1\r\ncontent-length: 9\r\n\r\n"), "body")]
#[case("nonsense\r\n\r\n".to_owned(), "http")]
#[tokio::test]
async fn each_bad_response_is_an_error_of_its_kind(
    #[case] response: String,
    #[case] expected: &str,
) {
    let (address, _) = replica(response).await;
    let error = Client::new(vec![address], TIMEOUT)
        .get(Key::Register)
        .await
        .unwrap_err();
    let found = match error {
        Error::Revision => "revision",
        Error::Status { .. } => "status",
        Error::Body(_) => "body",
        Error::Http(_) => "http",
        other => panic!("{other}"),
    };
    assert_eq!(found, expected);
}

#[tokio::test]
async fn after_a_timeout_the_next_replica_is_called() {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (good, _) = replica(response("200 OK", "revision: 2\r\n", "c")).await;
    let mut client = Client::new(vec![silent.local_addr().unwrap(), good], TIMEOUT);
    let error = client.get(Key::Rules).await.unwrap_err();
    assert!(matches!(error, Error::Timeout { .. }), "{error}");
    let found = client.get(Key::Rules).await.unwrap();
    assert_eq!(found, Some(value(2, "c")));
    let nobody = Client::new(Vec::new(), TIMEOUT).get(Key::Rules).await;
    assert!(matches!(nobody, Err(Error::NoAddress)));
}

#[tokio::test]
async fn a_complete_value_is_returned_though_its_connection_is_reset_afterwards() {
    for _ in 0..20 {
        let response = response("200 OK", "revision: 7\r\n", "a = 1");
        let (address, _task) = replica_that_ends(response, End::Reset).await;
        let mut client = Client::new(vec![address], TIMEOUT);
        let found = client.get(Key::Register).await.expect("a value");
        assert_eq!(found, Some(value(7, "a = 1")));
    }
}

/// Guards against half a register or half of the rules, which may be valid too.
#[tokio::test]
async fn a_value_cut_at_any_byte_is_returned_only_if_it_is_framed() {
    let text = "a = 1\nb = 2\n";
    for cut in Cut::all("application/toml", text) {
        let response = format!("HTTP/1.1 200 OK\r\nrevision: 7\r\n{}", cut.text());
        let (address, _task) = replica_that_ends(response, cut.end).await;
        let mut client = Client::new(vec![address], TIMEOUT);
        let result = client.get(Key::Register).await;
        match cut.is_framed_whole() && cut.framing != Framing::Close {
            true => assert_eq!(
                result.ok().flatten(),
                Some(value(7, cut.prefix())),
                "{cut:?}"
            ),
            false => assert!(result.is_err(), "{cut:?}: {result:?}"),
        }
    }
}
