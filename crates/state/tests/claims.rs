//! Claims: at most one dispatcher for each request id.

mod common;

use common::apply;
use dockwood_state::{
    ClaimKey, ClaimRequest, ClaimSettlement, ClaimVerdict, Command, CommandBody, Outcome, State,
};

fn key() -> ClaimKey {
    ClaimKey { tenant: "t".to_string(), request: "r".to_string() }
}

fn claim(entry: &str, attempt: u64) -> ClaimRequest {
    ClaimRequest { key: key(), entry: entry.to_string(), attempt, content_digest: 7, created_ms: 0 }
}

fn verdict(state: &mut State, request: ClaimRequest) -> ClaimVerdict {
    match apply(state, CommandBody::Claim(vec![request])).outcome {
        Outcome::Claims(mut verdicts) => verdicts.remove(0),
        other => panic!("{other:?}"),
    }
}

#[test]
fn only_the_first_claim_and_its_repetition_are_held() {
    let mut state = State::default();
    assert_eq!(verdict(&mut state, claim("a", 1)), ClaimVerdict::Held);
    assert_eq!(verdict(&mut state, claim("a", 1)), ClaimVerdict::Held);
    assert!(matches!(verdict(&mut state, claim("a", 2)), ClaimVerdict::Taken(row) if row.entry == "a"));
    assert!(matches!(verdict(&mut state, claim("b", 1)), ClaimVerdict::Taken(_)));
}

#[test]
fn a_claim_with_different_content_is_detected() {
    let mut state = State::default();
    verdict(&mut state, claim("a", 1));
    let other = ClaimRequest { content_digest: 8, ..claim("a", 1) };
    assert_eq!(verdict(&mut state, other), ClaimVerdict::ContentDiffers);
}

#[test]
fn a_withdrawn_claim_can_be_claimed_again_but_a_settled_one_cannot() {
    let mut state = State::default();
    verdict(&mut state, claim("a", 1));
    let settle = |code| CommandBody::SettleClaims(vec![ClaimSettlement { key: key(), attempt: 1, code }]);
    apply(&mut state, settle(None));
    assert_eq!(verdict(&mut state, claim("b", 1)), ClaimVerdict::Held);
    apply(&mut state, settle(Some(1000)));
    assert!(
        matches!(verdict(&mut state, claim("c", 9)), ClaimVerdict::Taken(row) if row.settled == Some(1000))
    );
}

#[test]
fn a_request_id_older_than_the_claim_retention_is_refused() {
    let mut state = State::default();
    let old = ClaimRequest { created_ms: 1_000, ..claim("a", 1) };
    let body = CommandBody::Claim(vec![old]);
    let outcome = state.apply(&Command { at_ms: 1_000 + 5 * 60 * 1000, body }).outcome;
    assert_eq!(outcome, Outcome::Claims(vec![ClaimVerdict::TooOld]));
}

#[test]
fn claims_take_no_revision_and_expire() {
    let mut state = State::default();
    verdict(&mut state, claim("a", 1));
    assert_eq!((state.tables.revision, state.claims.len()), (0, 1));
    let later = CommandBody::Claim(vec![ClaimRequest {
        key: ClaimKey { request: "s".to_string(), ..key() },
        ..claim("a", 2)
    }]);
    state.apply(&Command { at_ms: state.tables.now_ms + 6 * 60 * 1000, body: later });
    assert_eq!(state.claims.len(), 1);
}
