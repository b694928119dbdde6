//! The text form of tokens. Guards against panics on arbitrary input and against
//! text that parses into a token with another text form.

use masticmoor::token::Fault;
use masticmoor::token::HOST_BYTES;
use masticmoor::token::TAG_BYTES;
use masticmoor::token::Token;
use proptest::prelude::*;
use rstest::rstest;

fn token(issuer: &str) -> Token {
    Token {
        issuer: issuer.into(),
        start: 7,
        sequence: 8,
        expires: 9,
        tag: [10; TAG_BYTES],
    }
}

#[rstest]
fn a_token_is_restored_from_its_text_form() {
    let token = token("10.0.0.1");
    assert_eq!(Token::parse(&token.to_string()), Ok(token));
}

#[rstest]
#[case("", Fault::TooShort { length: 0 })]
#[case("AQAA", Fault::TooShort { length: 3 })]
#[case("AgAA", Fault::Version { version: 2 })]
#[case("not a token", Fault::NotBase64)]
#[case(&token("").to_string(), Fault::HostLength { length: 0 })]
fn invalid_text_gives_a_fault(#[case] text: &str, #[case] fault: Fault) {
    assert_eq!(Token::parse(text), Err(fault));
}

#[rstest]
fn text_longer_than_any_token_is_refused() {
    let longest = token(&"x".repeat(HOST_BYTES)).to_string();
    assert!(Token::parse(&longest).is_ok());
    let too_long = token(&"x".repeat(HOST_BYTES + 4)).to_string();
    assert!(matches!(
        Token::parse(&too_long),
        Err(Fault::TooLong { .. } | Fault::HostLength { .. })
    ));
    assert!(matches!(
        Token::parse(&"A".repeat(1 << 20)),
        Err(Fault::TooLong { .. })
    ));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_parsed_text_round_trips(text in ".{0,200}") {
        if let Ok(token) = Token::parse(&text) {
            prop_assert_eq!(token.to_string(), text);
        }
    }

    #[test]
    fn any_parsed_version_1_text_round_trips(text in "AQ[A-Za-z0-9_-]{0,200}") {
        if let Ok(token) = Token::parse(&text) {
            prop_assert_eq!(token.to_string(), text);
        }
    }
}
