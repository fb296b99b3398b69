//! Feeds valid and malformed frames to the simulator's adapter and checks its replies and errors.

#[allow(dead_code)] // each test program uses only some of the helpers
#[path = "support/frames.rs"]
mod frames;

use frames::{event_code, frame, record};
use rate_limiting_gateway::{config::parse_settings, simulator::GatewayHost};

/// An event code that the protocol does not define.
const UNKNOWN_CODE: u16 = 7;

const SETTINGS: &str = "classes.count=1\nclasses.0.deadline=1500.0\nclasses.0.goal_time=500.0\n\
    classes.0.idempotency=free\nplans.count=1\nplans.0.rate=5.0\nplans.0.store_size=10.0\nbalancers=3\n\
    family_info.shared_counter=true\nfuture.key=whatever\n";

fn start_frame(instance: u32, text: &str) -> Vec<u8> {
    let start_event = record(
        event_code::INSTANCE_STARTED,
        instance,
        &[(6, &7u64.to_le_bytes()), (18, &(text.len() as u32).to_le_bytes())],
    );
    let mut entry = 1f32.to_le_bytes().to_vec();
    entry.extend(1u32.to_le_bytes());
    entry.extend([0u8; 13]);
    entry.extend([1]);
    assert_eq!(entry.len(), 22);
    let entry_offset = (text.len() as u32).to_le_bytes();
    let list = record(
        event_code::ENDPOINTS_CHANGED,
        instance,
        &[(6, &[2]), (11, &entry_offset), (15, &1u32.to_le_bytes())],
    );
    frame(1000.0, &[start_event, list], &[text.as_bytes(), &entry].concat())
}

fn request(instance: u32, id: u32) -> Vec<u8> {
    record(
        event_code::REQUEST,
        instance,
        &[
            (6, &id.to_le_bytes()),
            (16, &2f32.to_le_bytes()),
            (20, &1500f64.to_le_bytes()),
            (30, &1f32.to_le_bytes()),
        ],
    )
}

fn run(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
    let mut output = Vec::new();
    let result = GatewayHost::default().run(input, &mut output).map_err(|e| e.to_string());
    (result, output)
}

fn assert_fails(input: &[u8], message: &str) {
    let (result, output) = run(input);
    let error = result.expect_err("the adapter accepted malformed input");
    assert!(error.contains(message) && !error.contains('\n'), "unexpected error: {error}");
    assert!(output.is_empty(), "the adapter wrote a reply to malformed input");
}

#[test]
fn a_frame_without_events_gets_an_empty_reply_and_empty_input_is_no_error() {
    let (result, output) = run(&frame(5.0, &[], &[]));
    assert!(result.is_ok());
    assert_eq!(output, [0, 0, 0, 0, 8, 0, 0, 0]);
    assert!(run(&[]).0.is_ok());
}

#[test]
fn a_request_is_forwarded_by_the_instance_that_received_it() {
    /// The first bytes of the action record: the code 1000 and the instance 3.
    const FORWARD_OF_INSTANCE_3: [u8; 6] = [0xe8, 3, 3, 0, 0, 0];
    let mut input = start_frame(3, SETTINGS);
    input.extend(frame(1001.0, &[request(3, 9)], &[]));
    let (result, output) = run(&input);
    assert!(result.is_ok());
    assert!(output.windows(6).any(|bytes| bytes == FORWARD_OF_INSTANCE_3));
}

/// A faulty simulator or a broken pipe can deliver an incomplete frame or a wrong length. The adapter must
/// end with an error that names the cause, and must not reply to a frame that it could not read.
#[test]
fn malformed_frames_are_errors_and_get_no_reply() {
    assert_fails(&[16, 0], "input ended within the frame length");
    assert_fails(&frame(0.0, &[], &[])[..12], "input ended within the frame, after");
    assert_fails(&[3, 0, 0, 0], "shorter than a header");
    assert_fails(&u32::MAX.to_le_bytes(), "input ended within the frame, after");
    let mut wrong_record_count = frame(0.0, &[], &[]);
    wrong_record_count[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_fails(&wrong_record_count, "do not fit");
    assert_fails(&frame(f64::NAN, &[], &[]), "not finite");
    assert_fails(&frame(0.0, &[record(UNKNOWN_CODE, 1, &[])], &[]), "which is not running");
    let settings_past_tail =
        record(event_code::INSTANCE_STARTED, 1, &[(14, &9u32.to_le_bytes()), (18, &9u32.to_le_bytes())]);
    assert_fails(
        &frame(0.0, &[settings_past_tail], b"short"),
        "tail: 9 items of 1 bytes at 9 extend past the end",
    );
}

/// An unknown event, an invalid field or invalid settings must be an error. If the adapter guessed at them,
/// the gateway would make wrong decisions and nobody would notice.
#[test]
fn malformed_events_and_settings_are_errors() {
    let error_after_start = |event: Vec<u8>| {
        let mut input = start_frame(1, SETTINGS);
        input.extend(frame(1001.0, &[event], &[]));
        run(&input).0.expect_err("the adapter accepted a malformed event").to_string()
    };
    assert!(error_after_start(record(UNKNOWN_CODE, 1, &[])).contains("unknown event code 7"));
    assert!(
        error_after_start(record(event_code::ATTEMPT_ENDED, 1, &[(26, &[99])])).contains("unknown outcome")
    );
    assert!(error_after_start(record(event_code::REQUEST, 1, &[(20, &f64::INFINITY.to_le_bytes())]))
        .contains("not finite"));
    assert!(parse_settings("").is_err());
    assert!(parse_settings("classes.count=4000000000").is_err());
    assert!(parse_settings(&SETTINGS.replace("1500.0", "inf")).is_err());
    assert!(parse_settings(&SETTINGS.replace("1500.0", "soon")).is_err());
    assert!(parse_settings(SETTINGS).is_ok());
}

/// The simulator may run any number of instances in one process. If the replies of an instance depended on
/// the other instances in its process, a simulation could not be reproduced.
#[test]
fn the_replies_of_an_instance_do_not_depend_on_other_instances_in_its_process() {
    // All frames of one instance.
    let input_of = |instance: u32| {
        let mut input = start_frame(instance, SETTINGS);
        for i in 0..40 {
            input.extend(frame(1001.0 + f64::from(i) * 9.0, &[request(instance, i as u32)], &[]));
        }
        input
    };
    let (alone_1, alone_2) = (run(&input_of(1)).1, run(&input_of(2)).1);
    let mut host = GatewayHost::default();
    let mut together: [Vec<u8>; 2] = Default::default();
    for instance in [1u32, 2] {
        together[instance as usize - 1].extend(host.answer(&start_frame(instance, SETTINGS)).unwrap());
    }
    for i in 0..40 {
        for instance in [1u32, 2] {
            let request_frame = frame(1001.0 + f64::from(i) * 9.0, &[request(instance, i as u32)], &[]);
            together[instance as usize - 1].extend(host.answer(&request_frame).unwrap());
        }
    }
    assert_eq!([alone_1, alone_2], together);
}
