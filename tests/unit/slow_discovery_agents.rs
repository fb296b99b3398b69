//! Tests, in paused time, of watchers whose agents take long to answer, to send an object, or to get to a
//! request, and of watchers that come to another agent.

use super::*;

/// How a gateway comes to ask an agent for the first time.
#[derive(Clone, Copy, Debug)]
enum FirstRequest {
    /// It starts without a list.
    StartsWithoutList,
    /// It starts with a cached list.
    StartsWithCachedList,
    /// A SIGHUP switches it from another agent.
    SwitchesAgent,
}

const FIRST_REQUESTS: [FirstRequest; 3] =
    [FirstRequest::StartsWithoutList, FirstRequest::StartsWithCachedList, FirstRequest::SwitchesAgent];

/// Makes a gateway ask `agent` for the first time. Returns the watcher.
async fn ask_for_the_first_time(
    sink: &RecordingSink,
    limits: WatcherLimits,
    first_request: FirstRequest,
    agent: &StubAgent,
) -> WatcherHandle<StubAgent> {
    match first_request {
        FirstRequest::StartsWithoutList => WatcherHandle::start(sink, agent.clone(), None, limits),
        FirstRequest::StartsWithCachedList => WatcherHandle::start(sink, agent.clone(), Some(1), limits),
        FirstRequest::SwitchesAgent => {
            let earlier_agent = StubAgent::new(AgentMode::Healthy, 1);
            let mut watcher = WatcherHandle::start(sink, earlier_agent, Some(1), limits);
            sleep(Duration::from_secs(1)).await;
            watcher.switch_agent(sink, agent.clone());
            watcher
        }
    }
}

/// The longest time until a drain is applied that a slow agent gets at any time after the first request.
fn longest_time_until_drained(first_request: FirstRequest, new_agent: impl Fn() -> StubAgent) -> Duration {
    let elapsed = fault_durations().map(|asked_for| {
        run_in_paused_time(|sink, limits| {
            let agent = new_agent();
            async move {
                let _watcher = ask_for_the_first_time(&sink, limits, first_request, &agent).await;
                sleep(asked_for).await;
                agent.0.revision.set(2);
                time_until_drained(&sink).await
            }
        })
    });
    elapsed.max().expect("no time was tested")
}

/// Asserts that a drain at a slow agent, at any time after the first request, is applied in time.
fn assert_applied_in_time(first_request: FirstRequest, description: &str, new_agent: impl Fn() -> StubAgent) {
    let longest = longest_time_until_drained(first_request, new_agent);
    println!("{first_request:?}, {description}: drain applied within {longest:?}");
    assert!(
        longest < MAX_NOTIFICATION_DELAY,
        "{first_request:?}, {description}: the drain was applied only after {longest:?}"
    );
}

/// Regression test for an incident: the agent took longer for each answer than the request timeout, which is
/// half of the drain grace. The watcher gave up each request and sent the same one again, so that a gateway
/// that started or got a SIGHUP at that time never learned of a drain.
#[test]
fn a_drain_at_an_agent_that_is_slow_to_answer_is_applied_in_time() {
    for first_request in FIRST_REQUESTS {
        for delay in [300, 490, 510, 700, 1000, 1700, 2200].map(Duration::from_millis) {
            let new_agent = || StubAgent::with_response_delay(delay, 1);
            assert_applied_in_time(first_request, &format!("answers after {delay:?}"), new_agent);
        }
    }
}

/// Regression test for an incident: the objects of the agent took longer than the time limit for one object.
/// The watcher gave up each of them and requested the complete list again, without end. An object that begins
/// just before the drain comes first, so objects of 3 s could not be received in time.
#[test]
fn a_drain_at_an_agent_that_sends_objects_slowly_is_applied_in_time() {
    for first_request in FIRST_REQUESTS {
        for object_time in [1900, 2100, 2500, 2900].map(Duration::from_millis) {
            let new_agent = || StubAgent::with_slow_objects(object_time, 1);
            assert_applied_in_time(first_request, &format!("objects over {object_time:?}"), new_agent);
        }
    }
}

/// The agent loses the requests that it gets while it is down, and is slow to answer after its recovery. A
/// request from before the recovery gets no answer, and a later one must not be given up too early.
#[test]
fn a_drain_at_an_agent_that_is_slow_after_it_was_down_is_applied_in_time() {
    for stage in STAGES {
        for delay in [700, 1000, 2200].map(Duration::from_millis) {
            let longest = fault_durations().map(|faulty_for| {
                run_in_paused_time(|sink, limits| async move {
                    let mode = AgentMode::HangsAtHead;
                    let (_watcher, agent) = start_in_stage(&sink, limits, stage, mode, faulty_for).await;
                    agent.0.mode.set(AgentMode::Healthy);
                    agent.0.response_delay.set(delay);
                    agent.0.revision.set(2);
                    time_until_drained(&sink).await
                })
            });
            let longest = longest.max().expect("no fault duration was tested");
            println!("{stage:?}, down and then answers after {delay:?}: drain applied within {longest:?}");
            assert!(
                longest < MAX_NOTIFICATION_DELAY,
                "{stage:?}, answers after {delay:?}: the drain was applied only after {longest:?}"
            );
        }
    }
}

/// An agent that is down accepts a connection late and then loses the request. Both waits together must leave
/// time for another request within the drain grace after the agent's recovery.
#[test]
fn a_request_that_connects_late_delays_a_drain_by_less_than_the_grace() {
    for grace in [500, 1000, 2000].map(Duration::from_millis) {
        for faulty_for in fault_durations() {
            let elapsed = run_in_paused_time(|sink, limits| async move {
                let limits = WatcherLimits { drain_grace: grace, ..limits };
                let agent = StubAgent::new(AgentMode::HangsAtHead, 1);
                agent.0.connect_delay.set(RequestTiming::for_drain_grace(grace).timeout.mul_f64(0.9));
                let _watcher = WatcherHandle::start(&sink, agent.clone(), Some(1), limits);
                sleep(faulty_for).await;
                agent.0.connect_delay.set(Duration::ZERO);
                agent.0.mode.set(AgentMode::Healthy);
                agent.0.revision.set(2);
                time_until_drained(&sink).await
            });
            assert!(elapsed < grace, "grace {grace:?}: the drain was applied only after {elapsed:?}");
        }
    }
}

/// The agent answers so late that no drain can be applied in time. The gateway must still learn of it, and
/// must not open more connections than the descriptors that are reserved for them.
#[test]
fn an_agent_that_takes_seconds_for_each_answer_is_still_heard_with_few_connections() {
    const MAX_CONNECTIONS: u32 = 6;
    for grace in [200, 1000, 20_000].map(Duration::from_millis) {
        for delay in [700, 3000, 5000].map(Duration::from_millis) {
            let (elapsed, connections) = run_in_paused_time(|sink, limits| async move {
                let limits = WatcherLimits { drain_grace: grace, ..limits };
                let agent = StubAgent::with_response_delay(delay, 2);
                let _watcher = WatcherHandle::start(&sink, agent.clone(), None, limits);
                (time_until_drained(&sink).await, agent.0.max_open_connections.get())
            });
            assert!(
                elapsed <= delay + STEP,
                "grace {grace:?}, answers after {delay:?}: the list was applied only after {elapsed:?}"
            );
            assert!(
                connections <= MAX_CONNECTIONS,
                "grace {grace:?}, answers after {delay:?}: {connections} connections were open at once"
            );
        }
    }
    for mode in FAULTY_MODES {
        let connections = run_in_paused_time(|sink, limits| async move {
            let agent = StubAgent::new(mode, 1);
            let _watcher = WatcherHandle::start(&sink, agent.clone(), None, limits);
            sleep(10 * MAX_NOTIFICATION_DELAY).await;
            agent.0.max_open_connections.get()
        });
        assert!(connections <= MAX_CONNECTIONS, "{mode:?}: {connections} connections were open at once");
    }
}

/// An agent that is slow answers every request that it gets. Requests that are sent although an earlier one
/// is answered would make it slower still, so the first answer must end them.
#[test]
fn a_slow_agent_gets_no_further_requests_once_its_watch_is_open() {
    run_in_paused_time(|sink, limits| async move {
        let agent = StubAgent::with_response_delay(Duration::from_millis(1700), 1);
        let _watcher = WatcherHandle::start(&sink, agent.clone(), None, limits);
        sleep(2 * MAX_NOTIFICATION_DELAY).await;
        let (requests, lists) = (agent.0.connections_opened.get(), agent.0.lists_sent.get());
        assert!(lists <= 1, "{lists} complete lists were sent");
        sleep(10 * MAX_NOTIFICATION_DELAY).await;
        assert_eq!(agent.0.connections_opened.get(), requests, "the open watch was requested again");
        assert_eq!(agent.0.open_connections.get(), 1, "a connection besides the watch stayed open");
    });
}

/// Regression test for an incident: after a SIGHUP the watcher requested the complete list first and the watch
/// only afterwards, so that a change needed two answers of a slow agent.
#[test]
fn a_drain_at_a_new_agent_that_is_slow_to_answer_is_applied_within_the_grace() {
    for delay in [700, 1700, 3000, 3900].map(Duration::from_millis) {
        for switched_for in fault_durations() {
            let (elapsed, grace) = run_in_paused_time(|sink, limits| async move {
                let agent = StubAgent::with_response_delay(delay, 1);
                let _watcher =
                    ask_for_the_first_time(&sink, limits, FirstRequest::SwitchesAgent, &agent).await;
                sleep(switched_for).await;
                agent.0.revision.set(2);
                (time_until_drained(&sink).await, limits.drain_grace)
            });
            // What a new agent has counts as notified from `MAX_DELAY_AFTER_SIGHUP` on.
            let notified_after = MAX_DELAY_AFTER_SIGHUP.saturating_sub(switched_for);
            assert!(
                elapsed < notified_after + grace,
                "answers after {delay:?}, drain {switched_for:?} after SIGHUP: applied only after {elapsed:?}"
            );
        }
    }
}

/// Regression test for an incident: an agent that answers one request after the other, also those that have
/// been closed, got further requests faster than it answered them, and the gateway closed each of them before
/// its turn. The gateway never got a watch.
#[test]
fn a_drain_at_an_agent_where_requests_wait_in_turn_is_applied_in_time() {
    for first_request in [FirstRequest::StartsWithCachedList, FirstRequest::SwitchesAgent] {
        for service_time in [300, 600, 1000, 2000, 3000].map(Duration::from_millis) {
            let new_agent = || StubAgent::with_requests_in_turn(service_time, 1);
            assert_applied_in_time(first_request, &format!("{service_time:?} for each request"), new_agent);
        }
    }
}

/// A gateway without a list needs two answers, and the second one waits behind the requests that it sent
/// before the first. It must still get its watch, and then send no more requests.
#[test]
fn a_gateway_without_a_list_gets_a_watch_from_an_agent_where_requests_wait_in_turn() {
    const LONGEST_QUEUE: u32 = 6;
    for service_time in [600, 1000, 2000, 3000].map(Duration::from_millis) {
        run_in_paused_time(|sink, limits| async move {
            let agent = StubAgent::with_requests_in_turn(service_time, 1);
            let _watcher = WatcherHandle::start(&sink, agent.clone(), None, limits);
            sleep(service_time * LONGEST_QUEUE).await;
            agent.0.revision.set(2);
            let elapsed = time_until_drained(&sink).await;
            assert!(elapsed <= 2 * STEP, "{service_time:?}: no watch is open, applied after {elapsed:?}");
            let requests = agent.0.connections_opened.get();
            sleep(10 * MAX_NOTIFICATION_DELAY).await;
            assert_eq!(agent.0.connections_opened.get(), requests, "{service_time:?}: requests go on");
        });
    }
}

/// The revisions of a new agent start again, so that a watch for the changes after the known revision stays
/// silent. The gateway must read the new agent's complete list and watch from its revision.
#[test]
fn a_drain_at_a_new_agent_with_earlier_revisions_is_applied_in_time() {
    const KNOWN_REVISION: u64 = 41;
    for delay in [0, 700].map(Duration::from_millis) {
        for switched_for in fault_durations().step_by(3) {
            let elapsed = run_in_paused_time(|sink, limits| async move {
                let earlier_agent = StubAgent::new(AgentMode::Healthy, 1);
                let mut watcher = WatcherHandle::start(&sink, earlier_agent, Some(KNOWN_REVISION), limits);
                sleep(Duration::from_secs(1)).await;
                let agent = StubAgent::with_response_delay(delay, 1);
                watcher.switch_agent(&sink, agent.clone());
                sleep(switched_for).await;
                agent.0.revision.set(2);
                time_until_drained(&sink).await
            });
            assert!(
                elapsed < MAX_DELAY_AFTER_SIGHUP,
                "answers after {delay:?}, drain {switched_for:?} after SIGHUP: applied only after {elapsed:?}"
            );
        }
    }
}

/// Regression test for an incident: the agent's process ends, and the next one at its address counts its
/// revisions anew. The watcher took it for the old one and asked for changes after a revision that the new
/// process had not reached.
#[test]
fn a_drain_at_a_new_process_at_the_address_of_the_agent_is_applied_in_time() {
    const KNOWN_REVISION: u64 = 41;
    for down_for in fault_durations().step_by(3).skip(1) {
        let elapsed = run_in_paused_time(|sink, limits| async move {
            let agent = StubAgent::new(AgentMode::Healthy, 1);
            let _watcher = WatcherHandle::start(&sink, agent.clone(), Some(KNOWN_REVISION), limits);
            sleep(Duration::from_secs(1)).await;
            agent.0.mode.set(AgentMode::Refuses);
            sleep(down_for).await;
            agent.0.mode.set(AgentMode::Healthy);
            sleep(Duration::from_secs(1)).await;
            agent.0.revision.set(2);
            time_until_drained(&sink).await
        });
        assert!(elapsed < MAX_NOTIFICATION_DELAY, "down for {down_for:?}: applied only after {elapsed:?}");
    }
}
