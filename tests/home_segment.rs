//! The segments of a chat's prompt that other chats may share.

use bytes::Bytes;
use masticmoor::class::Class;
use masticmoor::home::segment;
use masticmoor::peer::frame::Call;
use masticmoor::register::upstream::Pool;
use rstest::rstest;

fn call(pool: Pool, body: &'static str) -> Call {
    Call {
        workspace: "school".into(),
        chat: "c1".into(),
        class: Class::default(),
        pool,
        idempotent: true,
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(body.as_bytes()),
        fingerprint: 1,
        left_ms: 1_000,
    }
}

#[rstest]
#[case::all_but_the_last(r#"{"messages":[{"a":1},{"b":2},{"c":3}]}"#, 2)]
#[case::a_single_message_belongs_to_the_request(r#"{"messages":[{"a":1}]}"#, 0)]
#[case::none(r#"{"messages":[]}"#, 0)]
#[case::unreadable("{", 0)]
fn a_chat_shares_all_messages_but_its_last(#[case] body: &'static str, #[case] count: usize) {
    let segments = segment::of(&call(Pool::Model("assistant".into()), body));
    assert_eq!(segments.len(), count);
    let plain = segment::of(&call(Pool::Service("tickets".into()), body));
    assert!(plain.is_empty());
}

#[test]
fn chats_that_begin_with_the_same_message_share_its_segment() {
    let one = r#"{"messages":[{"role":"system","content":"x"},{"a":1}]}"#;
    let other = r#"{"messages":[{"role":"system","content":"x"},{"b":2},{"c":3}]}"#;
    let segments = |body| segment::of(&call(Pool::Model("assistant".into()), body));
    assert_eq!(segments(one).first(), segments(other).first());
    assert_ne!(segments(one).first(), segments(other).last());
}
