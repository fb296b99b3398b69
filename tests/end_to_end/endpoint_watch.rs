//! Endpoint lists, and the watch on the discovery agent that delivers their changes.

use crate::support::*;
use crate::{
    assert_idle_connection_closed, concurrent_statuses, entry, gateway_setup, ready_list, start_gateway,
};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A watch event, as one line.
fn event(revision: u64, complete: bool, entries: &[String]) -> String {
    endpoint_list(revision, complete, entries) + "\n"
}

/// Servers start draining, are missing from a complete list, or are removed. Requests sent to them after that
/// would fail, so the gateway must close their idle connections and send them no new requests until they are
/// ready again.
#[test]
fn a_draining_or_removed_server_gets_no_new_requests() {
    let (a, b, c) = (Server::ok(), Server::ok(), Server::ok());
    let (gateway, discovery, _counter) = start_gateway(&[&a, &b, &c]);
    let mut client = gateway.client();
    eventually("the gateway opens a watch", || discovery.watch_count() == 1);
    assert_eq!(concurrent_statuses(&gateway, 12), [200; 12]);
    // A chunk may end anywhere, including in the middle of a line.
    let line = event(2, false, &[entry(0, &a, "Terminating")]);
    discovery.write(&line[..40]);
    discovery.write(&line[40..]);
    assert_idle_connection_closed(&a);
    let count_at_drain = a.request_count();
    assert_eq!(concurrent_statuses(&gateway, 12), [200; 12]);
    discovery.write(&event(3, true, &[entry(0, &a, "Terminating"), entry(2, &c, "Ready")]));
    assert_idle_connection_closed(&b);
    let b_count_at_removal = b.request_count();
    assert_eq!(concurrent_statuses(&gateway, 12), [200; 12]);
    assert_eq!(
        (a.request_count(), b.request_count()),
        (count_at_drain, b_count_at_removal),
        "a draining or removed server got a request"
    );
    discovery.write(&event(4, false, &[entry(2, &c, "Gone"), entry(0, &a, "Ready")]));
    assert_idle_connection_closed(&c);
    let c_count_at_removal = c.request_count();
    assert_eq!(client.get_idempotent().status(), 200);
    assert_eq!(
        (a.request_count(), c.request_count()),
        (count_at_drain + 1, c_count_at_removal),
        "the request did not go to the ready server"
    );
}

/// A line of the watch is not valid JSON, so the gateway may have missed a change. It must request the
/// complete list and open a new watch from the revision of that list.
#[test]
fn an_invalid_watch_event_is_followed_by_a_request_for_the_complete_list() {
    let (a, b) = (Server::ok(), Server::ok());
    let (gateway, discovery, _counter) = start_gateway(&[&a]);
    eventually("the gateway opens a watch", || discovery.watch_count() == 1);
    assert_eq!(gateway.client().get_idempotent().status(), 200);
    *discovery.list.lock().expect("lock poisoned") = endpoint_list(9, true, &[entry(1, &b, "Ready")]);
    discovery.write("{\"revision\": oops\n");
    eventually("the gateway opens a new watch", || discovery.watch_count() == 2);
    let requests = discovery.request_lines.lock().expect("lock poisoned").clone();
    assert!(requests[1].contains("/v1/servers HTTP"), "not a request for the complete list: {requests:?}");
    assert!(requests[2].contains("since=9"), "not a watch from revision 9: {requests:?}");
    assert_eq!(gateway.client().get_idempotent().status(), 200);
    assert_eq!((a.request_count(), b.request_count()), (1, 1));
}

#[test]
fn a_watch_event_may_span_several_lines() {
    let (a, b) = (Server::ok(), Server::ok());
    let (gateway, discovery, _counter) = start_gateway(&[&a, &b]);
    eventually("the gateway opens a watch", || discovery.watch_count() == 1);
    assert_eq!(concurrent_statuses(&gateway, 8), [200; 8]);
    let line = endpoint_list(2, false, &[entry(0, &a, "Terminating")]);
    let multi_line = line.replace('{', "{\n  ").replace(',', ",\n\n    ").replace('}', "\n}");
    // A chunk may end anywhere, including between two lines of an event.
    let split_at = multi_line.find("\n\n").expect("the event does not span several lines") + 1;
    discovery.write(&multi_line[..split_at]);
    discovery.write(&(multi_line[split_at..].to_owned() + "\n"));
    assert_idle_connection_closed(&a);
    let count_at_drain = a.request_count();
    assert_eq!(concurrent_statuses(&gateway, 8), [200; 8]);
    assert_eq!(a.request_count(), count_at_drain, "the draining server got a request");
    let requests = discovery.request_lines.lock().expect("lock poisoned").clone();
    assert_eq!(requests.len(), 1, "the watch was reopened: {requests:?}");
}

/// A watch event has an invalid entry, is incomplete, or lacks its entries. If the gateway ignored the event,
/// it could keep a server that no longer exists, so it must request the complete list.
#[test]
fn an_invalid_entry_or_an_incomplete_event_is_followed_by_a_request_for_the_complete_list() {
    let (a, b) = (Server::ok(), Server::ok());
    let valid_entry = entry(1, &b, "Ready");
    for invalid_event in [
        event(2, false, &[r#"{"id":7}"#.into(), valid_entry.clone()]),
        event(2, false, &[entry(0, &a, "Asleep"), valid_entry.clone()]),
        event(2, false, &[entry(4, &a, "Ready").replace("127.0.0.1", "nowhere")]),
        // The event is cut off, and only heartbeats follow.
        endpoint_list(2, false, std::slice::from_ref(&valid_entry))[..60].to_owned(),
        r#"{"revision":2}"#.to_owned() + "\n",
    ] {
        let (gateway, discovery, _counter) = start_gateway(&[&a]);
        eventually("the gateway opens a watch", || discovery.watch_count() == 1);
        *discovery.list.lock().expect("lock poisoned") =
            endpoint_list(9, true, std::slice::from_ref(&valid_entry));
        let count_before = a.request_count();
        discovery.write(&invalid_event);
        eventually("the gateway opens a new watch", || discovery.watch_count() == 2);
        let requests = discovery.request_lines.lock().expect("lock poisoned").clone();
        assert!(
            requests[1].contains("/v1/servers HTTP") && requests[2].contains("since=9"),
            "the complete list was not requested and watched after {invalid_event:?}: {requests:?}"
        );
        assert_eq!(gateway.client().get_idempotent().status(), 200, "not served after {invalid_event:?}");
        assert_eq!(
            a.request_count(),
            count_before,
            "forwarded to a server that is not in the complete list, after {invalid_event:?}"
        );
    }
}

/// The complete list itself has an invalid entry. Requesting it again would return the same list every time,
/// so the gateway must use the other entries and keep the watch open.
#[test]
fn a_complete_list_with_an_invalid_entry_is_requested_once() {
    let a = Server::ok();
    let (gateway, discovery, _counter) = start_gateway(&[&a]);
    eventually("the gateway opens a watch", || discovery.watch_count() == 1);
    let invalid_entry = r#"{"id":7}"#.to_owned();
    *discovery.list.lock().expect("lock poisoned") =
        endpoint_list(9, true, &[invalid_entry.clone(), entry(0, &a, "Ready")]);
    discovery.write(&event(8, false, std::slice::from_ref(&invalid_entry)));
    eventually("the gateway opens a new watch", || discovery.watch_count() == 2);
    // A complete list that arrives on the watch itself is not requested again either.
    discovery.write(&event(10, true, &[invalid_entry, entry(0, &a, "Terminating")]));
    eventually("the gateway applies the drain of the only server", || {
        gateway.client().get_idempotent().status() != 200
    });
    assert_eq!(
        discovery.request_lines.lock().expect("lock poisoned").len(),
        3,
        "the list was requested again"
    );
}

/// Discovery does not respond when the gateway starts. The gateway must serve with its cached list, keep
/// requesting the list, and use the current list as soon as discovery sends it.
#[test]
fn the_current_list_is_used_once_discovery_recovers_after_the_gateway_started() {
    let (a, b) = (Server::ok(), Server::ok());
    let (setup, discovery, _counter) = gateway_setup(&[&a]);
    discovery.unresponsive.store(true, Ordering::SeqCst);
    let gateway = setup.start();
    // The gateway serves with its cached list, and keeps requesting the current one.
    assert_eq!(gateway.client().get_idempotent().status(), 200);
    eventually("the gateway requests the list several times", || discovery.call_count() >= 3);
    *discovery.list.lock().expect("lock poisoned") = endpoint_list(7, true, &[entry(1, &b, "Ready")]);
    discovery.unresponsive.store(false, Ordering::SeqCst);
    eventually("the gateway opens a watch", || discovery.watch_count() == 1);
    discovery.write(&event(8, false, &[entry(0, &a, "Gone"), entry(1, &b, "Ready")]));
    assert_idle_connection_closed(&a);
    assert_eq!(gateway.client().get_idempotent().status(), 200);
    assert_eq!((a.request_count(), b.request_count()), (1, 1));
}

/// A watch is reset in the middle of a line; the gateway must resume it from the last complete revision. Then
/// its agent stops responding, and a reload sets the address of another agent. The revisions of two agents
/// need not agree, so the gateway must also request the complete list from the new agent, watch from its
/// revision, and stop calling the old agent.
#[test]
fn a_reset_watch_resumes_and_a_reload_switches_from_a_silent_agent_to_another() {
    let (a, b) = (Server::ok(), Server::ok());
    let (mut setup, first, _counter) = gateway_setup(&[&a]);
    let gateway = setup.start();
    eventually("the gateway opens a watch", || first.watch_count() == 1);
    let change = event(5, false, &[entry(1, &b, "Ready")]);
    first.write(&change);
    eventually("the gateway applies the change", || {
        gateway.client().get_idempotent().status() == 200 && b.request_count() > 0
    });
    first.write(&change[..40]);
    first.reset();
    eventually("the gateway opens a new watch", || first.watch_count() == 1);
    let requests = first.request_lines.lock().expect("lock poisoned").clone();
    assert!(
        requests.last().is_some_and(|a| a.contains("follow=1&since=5")),
        "the watch was not resumed from revision 5: {requests:?}"
    );
    // A reload sets the address of another agent while the first one does not respond.
    first.unresponsive.store(true, Ordering::SeqCst);
    first.reset();
    let calls_before = first.call_count();
    eventually("the silent agent receives a request", || first.call_count() > calls_before);
    let second = Discovery::start(ready_list(1, &[&a, &b]));
    *second.list.lock().expect("lock poisoned") = endpoint_list(1, true, &[entry(1, &b, "Ready")]);
    setup.discovery = second.address;
    gateway.reload(&setup.config());
    // The watch for the changes after revision 5 of the first agent is opened at once. The complete list of
    // the new agent has an earlier revision, and the watch is opened again from there.
    eventually("the gateway watches the new agent", || second.last_call_contains("follow=1&since=1"));
    let requests = second.request_lines.lock().expect("lock poisoned").clone();
    assert_eq!(requests.len(), 3, "not a watch, the complete list and a watch: {requests:?}");
    assert!(requests[0].contains("follow=1&since=5"), "the first request is not for a watch: {requests:?}");
    assert!(
        requests[1].contains("/v1/servers HTTP"),
        "the complete list of the new agent was not requested: {requests:?}"
    );
    // The gateway has applied the new agent's list before it opened the second watch.
    let (requests_to_a, calls_to_first) = (a.request_count(), first.call_count());
    let mut client = gateway.client();
    assert!((0..8).all(|_| client.get_idempotent().status() == 200), "a request was not served");
    assert_eq!(
        a.request_count(),
        requests_to_a,
        "a server that is not in the new agent's list got a request"
    );
    assert_eq!(first.call_count(), calls_to_first, "the old agent still gets requests");
}

/// A watch stays open but sends no heartbeats (empty lines), as when its agent hangs. Changes would never
/// arrive, so the gateway must open the watch again.
#[test]
fn a_watch_without_heartbeats_is_reopened() {
    let server = Server::ok();
    let (_gateway, discovery, _counter) = start_gateway(&[&server]);
    eventually("the gateway opens a watch", || discovery.watch_count() == 1);
    discovery.silent_watches.store(true, Ordering::SeqCst);
    let start = Instant::now();
    eventually("the gateway opens a new watch", || discovery.watch_count() == 2);
    assert!(
        start.elapsed() < Duration::from_secs(4),
        "the watch was only reopened after {:?}",
        start.elapsed()
    );
}
