//! Which requests are refused because of their correlation ids.

use super::*;

/// Ends a request; `forwarded` says whether any of it was written to a server.
fn run_request(
    ids: &CorrelationIds,
    id: &str,
    repeatable: bool,
    forwarded: bool,
) -> Result<(), RequestError> {
    let guard = ids.reserve(id.into(), repeatable)?;
    if forwarded {
        guard.forwarded().set();
    }
    Ok(())
}

/// Regression test for an incident: the id of a request was free again as soon as its client had left, although a
/// server was still executing the request.
#[test]
fn a_forwarded_request_that_must_not_be_executed_twice_is_refused_under_the_same_id() {
    let ids = CorrelationIds::default();
    assert_eq!(run_request(&ids, "a", false, true), Ok(()));
    assert_eq!(run_request(&ids, "a", false, true), Err(RequestError::CorrelationIdForwarded));
}

#[test]
fn an_id_can_be_used_again_if_nothing_was_forwarded_or_the_request_may_be_repeated() {
    let ids = CorrelationIds::default();
    for (id, repeatable, forwarded) in [("not forwarded", false, false), ("repeatable", true, true)] {
        assert_eq!(run_request(&ids, id, repeatable, forwarded), Ok(()));
        assert_eq!(run_request(&ids, id, repeatable, forwarded), Ok(()), "{id}");
    }
}

#[test]
fn an_id_in_flight_is_refused_even_if_the_request_may_be_repeated() {
    let ids = CorrelationIds::default();
    let _first = ids.reserve("a".into(), true);
    assert_eq!(run_request(&ids, "a", true, true), Err(RequestError::CorrelationIdInFlight));
}

#[test]
fn the_number_of_remembered_ids_is_bounded() {
    let ids = CorrelationIds::default();
    for number in 0..3 * MAX_FORWARDED_IDS {
        assert_eq!(run_request(&ids, &number.to_string(), false, true), Ok(()));
    }
    let forwarded = ids.forwarded.borrow();
    assert_eq!((forwarded.hashes.len(), forwarded.order.len()), (MAX_FORWARDED_IDS, MAX_FORWARDED_IDS));
    assert!(forwarded.contains(&(3 * MAX_FORWARDED_IDS - 1).to_string()), "the latest id is forgotten");
}
