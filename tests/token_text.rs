//! The text form of tokens.

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
fn a_token_survives_its_text_form() {
    let token = token("10.0.0.1");
    assert_eq!(Token::parse(&token.to_string()), Ok(token));
}

#[rstest]
#[case("", Fault::TooShort { length: 0 })]
#[case("AQAA", Fault::TooShort { length: 3 })]
#[case("AgAA", Fault::Version { version: 2 })]
#[case("not a token", Fault::NotBase64)]
#[case(&token("").to_string(), Fault::HostLength { length: 0 })]
fn a_text_that_is_no_token_is_told(#[case] text: &str, #[case] fault: Fault) {
    assert_eq!(Token::parse(text), Err(fault));
}

#[rstest]
fn the_length_is_bounded() {
    let longest = token(&"x".repeat(HOST_BYTES)).to_string();
    assert!(Token::parse(&longest).is_ok());
    let longer = token(&"x".repeat(HOST_BYTES + 4)).to_string();
    assert!(matches!(
        Token::parse(&longer),
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
    fn any_text_is_a_token_or_a_fault(text in ".{0,200}") {
        if let Ok(token) = Token::parse(&text) {
            prop_assert_eq!(token.to_string(), text);
        }
    }

    #[test]
    fn any_bytes_are_a_token_or_a_fault(text in "AQ[A-Za-z0-9_-]{0,200}") {
        if let Ok(token) = Token::parse(&text) {
            prop_assert_eq!(token.to_string(), text);
        }
    }
}
