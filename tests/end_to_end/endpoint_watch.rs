//! Endpoint lists and the watch that brings them.

use crate::support::*;
use crate::{
    assert_idle_connection_closed, concurrent_statuses, entry, gateway_setup, ready_list, start_gateway,
};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// An event of the watch, as a line.
fn event(revision: u64, complete: bool, entries: &[String]) -> String {
    list(revision, complete, entries) + "\n"
}

/// Servers start draining, are missing from a complete list, or are removed. Requests sent to them from
/// then on would fail, so their idle connections are closed and they get nothing new until they are ready
/// again.
#[test]
fn a_draining_or_removed_server_gets_no_new_requests() {
    let (a, b, c) = (Server::ok(), Server::ok(), Server::ok());
    let (gateway, discovery, _counter) = start_gateway(&[&a, &b, &c]);
    let mut client = gateway.client();
    eventually("a watch", || discovery.watching() == 1);
    assert_eq!(concurrent_statuses(&gateway, 12), [200; 12]);
    // Chunks may end anywhere, also in the middle of a line.
    let line = event(2, false, &[entry(0, &a, "Terminating")]);
    discovery.write(&line[..40]);
    discovery.write(&line[40..]);
    assert_idle_connection_closed(&a);
    let at_drain = a.count();
    assert_eq!(concurrent_statuses(&gateway, 12), [200; 12]);
    discovery.write(&event(3, true, &[entry(0, &a, "Terminating"), entry(2, &c, "Ready")]));
    assert_idle_connection_closed(&b);
    let at_removal = b.count();
    assert_eq!(concurrent_statuses(&gateway, 12), [200; 12]);
    assert_eq!((a.count(), b.count()), (at_drain, at_removal));
    discovery.write(&event(4, false, &[entry(2, &c, "Gone"), entry(0, &a, "Ready")]));
    assert_idle_connection_closed(&c);
    let at_withdrawal = c.count();
    assert_eq!(client.get_idempotent().status(), 200);
    assert_eq!((a.count(), c.count()), (at_drain + 1, at_withdrawal));
}

/// A line of the watch is no JSON, so a change may have been missed. The gateway asks for the complete list
/// and watches from its revision on.
#[test]
fn an_invalid_watch_event_is_followed_by_a_request_for_the_complete_list() {
    let (a, b) = (Server::ok(), Server::ok());
    let (gateway, discovery, _counter) = start_gateway(&[&a]);
    eventually("a watch", || discovery.watching() == 1);
    assert_eq!(gateway.client().get_idempotent().status(), 200);
    *discovery.list.lock().expect("a lock") = list(9, true, &[entry(1, &b, "Ready")]);
    discovery.write("{\"revision\": oops\n");
    eventually("a new watch", || discovery.watching() == 2);
    let asked = discovery.requests_seen.lock().expect("a lock").clone();
    assert!(asked[1].contains("/v1/servers HTTP"), "asked {asked:?}");
    assert!(asked[2].contains("since=9"), "asked {asked:?}");
    assert_eq!(gateway.client().get_idempotent().status(), 200);
    assert_eq!((a.count(), b.count()), (1, 1));
}

#[test]
fn a_watch_event_may_span_several_lines() {
    let (a, b) = (Server::ok(), Server::ok());
    let (gateway, discovery, _counter) = start_gateway(&[&a, &b]);
    eventually("a watch", || discovery.watching() == 1);
    assert_eq!(concurrent_statuses(&gateway, 8), [200; 8]);
    let line = list(2, false, &[entry(0, &a, "Terminating")]);
    let multi_line = line.replace('{', "{\n  ").replace(',', ",\n\n    ").replace('}', "\n}");
    // Chunks may end anywhere, also between two lines of an event.
    let cut = multi_line.find("\n\n").expect("several lines") + 1;
    discovery.write(&multi_line[..cut]);
    discovery.write(&(multi_line[cut..].to_owned() + "\n"));
    assert_idle_connection_closed(&a);
    let at_drain = a.count();
    assert_eq!(concurrent_statuses(&gateway, 8), [200; 8]);
    assert_eq!(a.count(), at_drain);
    let asked = discovery.requests_seen.lock().expect("a lock").clone();
    assert_eq!(asked.len(), 1, "the watch was reopened: {asked:?}");
}

/// An event has an entry that is invalid, ends in the middle, or lacks its entries. Ignoring it could leave
/// the gateway with a server that is gone, so it asks for the complete list.
#[test]
fn an_invalid_entry_or_an_unfinished_event_is_followed_by_a_request_for_the_complete_list() {
    let (a, b) = (Server::ok(), Server::ok());
    let valid_entry = entry(1, &b, "Ready");
    for bad in [
        event(2, false, &[r#"{"id":7}"#.into(), valid_entry.clone()]),
        event(2, false, &[entry(0, &a, "Asleep"), valid_entry.clone()]),
        event(2, false, &[entry(4, &a, "Ready").replace("127.0.0.1", "nowhere")]),
        // Ends in the middle; nothing but heartbeats follows.
        list(2, false, std::slice::from_ref(&valid_entry))[..60].to_owned(),
        r#"{"revision":2}"#.to_owned() + "\n",
    ] {
        let (gateway, discovery, _counter) = start_gateway(&[&a]);
        eventually("a watch", || discovery.watching() == 1);
        *discovery.list.lock().expect("a lock") = list(9, true, std::slice::from_ref(&valid_entry));
        let at_first = a.count();
        discovery.write(&bad);
        eventually("a new watch", || discovery.watching() == 2);
        let asked = discovery.requests_seen.lock().expect("a lock").clone();
        assert!(asked[1].contains("/v1/servers HTTP") && asked[2].contains("since=9"), "{bad:?}: {asked:?}");
        assert_eq!(gateway.client().get_idempotent().status(), 200, "{bad:?}");
        assert_eq!(a.count(), at_first, "{bad:?}: forwarded to a server that is not in the complete list");
    }
}

/// The complete list itself has an invalid entry. Asking again would bring the same list for ever; its
/// other entries are used, and the watch goes on.
#[test]
fn a_complete_list_with_an_invalid_entry_is_requested_once() {
    let a = Server::ok();
    let (gateway, discovery, _counter) = start_gateway(&[&a]);
    eventually("a watch", || discovery.watching() == 1);
    let bad = r#"{"id":7}"#.to_owned();
    *discovery.list.lock().expect("a lock") = list(9, true, &[bad.clone(), entry(0, &a, "Ready")]);
    discovery.write(&event(8, false, std::slice::from_ref(&bad)));
    eventually("a new watch", || discovery.watching() == 2);
    // Nor is one that comes on the watch itself requested again.
    discovery.write(&event(10, true, &[bad, entry(0, &a, "Terminating")]));
    eventually("the drain", || gateway.client().get_idempotent().status() != 200);
    assert_eq!(discovery.requests_seen.lock().expect("a lock").len(), 3);
}

/// Discovery does not respond when the gateway starts. It serves from its cached list, keeps asking, and
/// uses the current list as soon as there is one.
#[test]
fn discovery_that_is_down_at_the_start_is_used_once_it_is_back() {
    let (a, b) = (Server::ok(), Server::ok());
    let (setup, discovery, _counter) = gateway_setup(&[&a]);
    discovery.unresponsive.store(true, Ordering::SeqCst);
    let gateway = setup.start();
    // Serves from its cached list, and keeps asking.
    assert_eq!(gateway.client().get_idempotent().status(), 200);
    eventually("several requests", || discovery.calls() >= 3);
    *discovery.list.lock().expect("a lock") = list(7, true, &[entry(1, &b, "Ready")]);
    discovery.unresponsive.store(false, Ordering::SeqCst);
    eventually("a watch", || discovery.watching() == 1);
    discovery.write(&event(8, false, &[entry(0, &a, "Gone"), entry(1, &b, "Ready")]));
    assert_idle_connection_closed(&a);
    assert_eq!(gateway.client().get_idempotent().status(), 200);
    assert_eq!((a.count(), b.count()), (1, 1));
}

/// A watch is reset in the middle of a line: it resumes from the last complete revision. Then its agent
/// falls silent, and a reload names another one. Revisions of two agents need not agree, so the gateway
/// asks the new one for its complete list, and the old one no more.
#[test]
fn a_watch_that_is_reset_resumes_and_a_new_discovery_address_takes_effect_meanwhile() {
    let (a, b) = (Server::ok(), Server::ok());
    let (mut setup, first, _counter) = gateway_setup(&[&a]);
    let gateway = setup.start();
    eventually("a watch", || first.watching() == 1);
    let change = event(5, false, &[entry(1, &b, "Ready")]);
    first.write(&change);
    eventually("the change", || gateway.client().get_idempotent().status() == 200 && b.count() > 0);
    first.write(&change[..40]);
    first.reset();
    eventually("a new watch", || first.watching() == 1);
    let asked = first.requests_seen.lock().expect("a lock").clone();
    assert!(asked.last().is_some_and(|a| a.contains("follow=1&since=5")), "{asked:?}");
    // A reload names another agent while the first one is silent.
    first.unresponsive.store(true, Ordering::SeqCst);
    first.reset();
    let before = first.calls();
    eventually("a request that is not answered", || first.calls() > before);
    let second = Discovery::start(ready_list(1, &[&a, &b]));
    *second.list.lock().expect("a lock") = list(1, true, &[entry(1, &b, "Ready")]);
    setup.discovery = second.address;
    gateway.reload(&setup.config());
    eventually("a watch at the new agent", || second.watching() == 1);
    let asked = second.requests_seen.lock().expect("a lock").clone();
    assert!(asked[0].contains("/v1/servers HTTP"), "revisions of two agents need not agree: {asked:?}");
    // Its list was applied before the watch was opened.
    let (at_a, late) = (a.count(), first.calls());
    let mut client = gateway.client();
    assert!((0..8).all(|_| client.get_idempotent().status() == 200));
    assert_eq!(a.count(), at_a, "only the new agent's list counts");
    assert_eq!(first.calls(), late, "the old agent still gets requests");
}

/// A watch stays open and sends no heartbeat (an empty line), as when its agent hangs. Changes would never
/// arrive, so it is opened again.
#[test]
fn a_watch_without_heartbeats_is_reopened() {
    let server = Server::ok();
    let (_gateway, discovery, _counter) = start_gateway(&[&server]);
    eventually("a watch", || discovery.watching() == 1);
    discovery.silent_watches.store(true, Ordering::SeqCst);
    let start = Instant::now();
    eventually("a new watch", || discovery.watching() == 2);
    assert!(start.elapsed() < Duration::from_secs(4), "after {:?}", start.elapsed());
}
