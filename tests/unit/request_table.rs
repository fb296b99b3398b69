//! How the request table answers requests, ends attempts and assigns ids.

use super::*;
use hyper::{HeaderMap, Method, Uri};

/// Time for which the servers remember the idempotency key of a request, ms.
const REPEAT_WINDOW: Millis = 500.0;

fn pending_request() -> (PendingRequest, oneshot::Receiver<Answer>) {
    let forward = ForwardedRequest {
        method: Method::GET,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    PendingRequest::new(forward, Weak::new(), ForwardedFlag::default(), 1000.0, Some(REPEAT_WINDOW))
}

fn start_attempt(table: &mut RequestTable, id: RequestId) -> AttemptId {
    let request = table.get_mut(id).expect("the request is not in the table");
    AttemptId {
        request: id,
        number: request.start_attempt(ServerId(1), 10.0).expect("the attempt got no number"),
    }
}

#[test]
fn a_request_gets_one_answer_and_stays_until_its_attempts_have_ended() {
    let mut table = RequestTable::default();
    let (request, mut answer) = pending_request();
    let id = table.insert(request);
    let attempt = start_attempt(&mut table, id);
    table.answer(id, Answer::Failed);
    table.answer(id, Answer::TimedOut);
    assert!(matches!(answer.try_recv(), Ok(Answer::Failed)));
    assert_eq!(table.incomplete_ids().count(), 0);
    assert!(table.get_mut(id).is_some(), "the request was removed while its attempt was in flight");
    assert!(table.end_attempt(attempt, Outcome::Cancelled, 15.0).is_some());
    assert!(table.get_mut(id).is_none(), "the request stayed after its last attempt ended");
}

#[test]
fn an_attempt_ends_once() {
    let mut table = RequestTable::default();
    let (request, _answer) = pending_request();
    let id = table.insert(request);
    let attempt = start_attempt(&mut table, id);
    let event = table.end_attempt(attempt, Outcome::TimedOut, 15.0);
    assert!(matches!(event, Some(Event::AttemptEnded { complete: false, elapsed: 5.0, attempt: 0, .. })));
    assert!(!table.is_in_flight(attempt));
    assert!(table.end_attempt(attempt, Outcome::Reset, 16.0).is_none());
    assert!(table.get_mut(id).is_some(), "the request was removed before it was answered");
}

#[test]
fn an_id_in_use_is_not_reused_when_ids_wrap_around() {
    let mut table = RequestTable { next_id: u32::MAX, ..RequestTable::default() };
    let ids: Vec<RequestId> = (0..2).map(|_| table.insert(pending_request().0)).collect();
    assert_eq!(ids, [RequestId(u32::MAX), RequestId(0)]);
    table.next_id = u32::MAX;
    assert_eq!(table.insert(pending_request().0), RequestId(1));
}

/// A further attempt whose connection opens late must not begin after the servers have forgotten the request's
/// idempotency key. Attempts that were certainly not executed do not count.
#[test]
fn a_further_attempt_begins_only_within_the_repeat_window_of_the_first_that_may_have_run() {
    let mut table = RequestTable::default();
    let id = table.insert(pending_request().0);
    let refused = start_attempt(&mut table, id);
    assert!(table.is_in_repeat_window(refused, 10_000.0), "the first attempt was limited by the window");
    table.end_attempt(refused, Outcome::ConnectFailed, 20.0);
    let started = |table: &mut RequestTable, at: Millis| {
        let request = table.get_mut(id).expect("the request is not in the table");
        let number = request.start_attempt(ServerId(1), at).expect("the attempt got no number");
        AttemptId { request: id, number }
    };
    let executed = started(&mut table, 300.0);
    assert!(
        table.is_in_repeat_window(executed, 10_000.0),
        "an attempt that was not executed began the window"
    );
    table.end_attempt(executed, Outcome::Reset, 400.0);
    let further = started(&mut table, 500.0);
    assert!(table.is_in_repeat_window(further, 300.0 + REPEAT_WINDOW - 1.0), "the window ended too early");
    assert!(!table.is_in_repeat_window(further, 300.0 + REPEAT_WINDOW), "the window did not end");
}
