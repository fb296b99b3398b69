//! How the request table answers requests, ends attempts and assigns ids.

use super::*;
use hyper::{HeaderMap, Method, Uri};

fn pending_request() -> (PendingRequest, oneshot::Receiver<Answer>) {
    let forward = ForwardedRequest {
        method: Method::GET,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    PendingRequest::new(forward, Weak::new(), 1000.0)
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
