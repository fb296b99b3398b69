//! Tests of the lines that are exchanged with the counter service.

use super::*;

#[test]
fn an_increment_line_holds_the_key_the_amount_and_a_positive_whole_time_to_live() {
    let line = |amount, ttl| Increment { key: CounterKey(0xb4d6_5521), amount, ttl }.to_line();
    assert_eq!(line(-2.5, 4000.9), "bump 00000000b4d65521 -2.5 4000\r\n");
    assert_eq!(line(3.0, 0.2), "bump 00000000b4d65521 3 1\r\n");
}

#[test]
fn every_reply_of_the_protocol_is_parsed_and_any_other_line_is_invalid() {
    for (line, reply) in [
        ("ok 12.5\r", Reply::Total(12.5)),
        ("ok  -3", Reply::Total(-3.0)),
        ("busy\r", Reply::Busy),
        ("error\r", Reply::Error),
        ("error unknown call", Reply::Error),
        ("pong\r", Reply::Pong),
    ] {
        assert_eq!(Reply::parse(line.as_bytes()), Ok(reply), "reply line {line:?} was parsed wrongly");
    }
    for line in
        ["", "ok", "ok many", "ok NaN", "ok inf", "ok 1 2", "busy now", "pong 1", "OK 1", "\u{1}\u{2}"]
    {
        assert!(Reply::parse(line.as_bytes()).is_err(), "invalid reply line {line:?} was accepted");
    }
    assert!(Reply::parse(b"ok 1\xff").is_err(), "a reply line that is not UTF-8 was accepted");
}
