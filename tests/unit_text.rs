//! Tests parsing and printing of ids, numbers and times, and the limits of ids.

use marjoramknot::units::{IdError, Millis, Revision, TeamId, ZoneId};
use rstest::rstest;

#[rstest]
#[case("Piešťany")]
#[case("booking-17.a:b_c")]
fn id_round_trip(#[case] text: &str) {
    let id: ZoneId = text.parse().expect("the id is valid");
    assert_eq!(id.to_string(), text);
    let json = serde_json::to_string(&id).expect("an id serializes");
    assert_eq!(
        serde_json::from_str::<ZoneId>(&json).expect("an id deserializes"),
        id
    );
}

#[rstest]
#[case("", IdError::Empty)]
#[case("a b", IdError::BadCharacter { found: ' ' })]
#[case("a/b", IdError::BadCharacter { found: '/' })]
#[case(&"x".repeat(65), IdError::TooLong { bytes: 65 })]
fn invalid_id_rejected(#[case] text: &str, #[case] error: IdError) {
    assert_eq!(text.parse::<TeamId>(), Err(error));
    let json = serde_json::to_string(text).expect("a text serializes");
    let rejected = serde_json::from_str::<TeamId>(&json).expect_err("an invalid id is rejected");
    assert!(rejected.is_data());
}

#[test]
fn number_text() {
    assert_eq!(
        "17".parse::<Revision>().expect("a number parses"),
        Revision(17)
    );
    assert_eq!(
        "250ms".parse::<Millis>().expect("a duration parses"),
        Millis(250)
    );
    assert_eq!(Millis(250).to_string(), "250ms");
}

#[test]
fn clock_margin() {
    assert_eq!(Millis(3_000).with_clock_margin(), Millis(3_300));
    assert_eq!(Millis::MAX.saturating_add(Millis(1)), Millis::MAX);
}
