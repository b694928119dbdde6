//! End-to-end path: a request to any entry reaches an upstream through its
//! home, and the complete response returns.

use standin::answer;
use standin::fleet::Fleet;
use standin::fleet::client;
use standin::fleet::shape::Shape;

#[tokio::test(flavor = "multi_thread")]
async fn every_entry_answers_chats_lookups_and_purchases() {
    let fleet = Fleet::start(Shape::zones(2, 2, 1, 1)).await.unwrap();
    fleet.ready().await.unwrap();
    for host in fleet.hosts.keys() {
        let address = fleet.caller(host).unwrap();
        let (request, body) = client::chat("school", host, "hello", false).unwrap();
        let answer = client::send(address, request).await.unwrap();
        assert_eq!(answer.outcome(), "answered", "{host}: {answer:?}");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(text.contains(answer::text(&body).trim_end()), "{text}");

        let seat = client::send(address, client::lookup(7).unwrap())
            .await
            .unwrap();
        assert_eq!(seat.outcome(), "answered");

        let token = client::token(address).await.unwrap();
        for at in fleet.hosts.keys() {
            let buy = client::buy(host, 7, Some(&token)).unwrap();
            let bought = client::send(fleet.caller(at).unwrap(), buy).await.unwrap();
            assert_eq!(bought.outcome(), "answered", "{bought:?}");
        }
    }
    let mut runs = std::collections::BTreeMap::new();
    for plain in fleet.plains.values() {
        for (id, count) in plain.journal.snapshot().purchases {
            *runs.entry(id).or_insert(0) += count;
        }
    }
    assert_eq!(runs.len(), fleet.hosts.len());
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}
