//! Builds event frames of the simulator protocol, byte by byte as the protocol's documentation lays them out.

/// Codes of the event records.
pub mod event_code {
    pub const INSTANCE_STARTED: u16 = 1040;
    pub const ENDPOINTS_CHANGED: u16 = 1080;
    pub const REQUEST: u16 = 1010;
    pub const ATTEMPT_ENDED: u16 = 1030;
    pub const RESPONSE_STARTED: u16 = 1090;
    pub const CLIENT_DISCONNECTED: u16 = 1100;
    pub const TIMER: u16 = 1070;
    pub const COUNTER_REPLIED: u16 = 1060;
}

/// Size of an event record, bytes.
pub const EVENT_BYTES: usize = 48;

/// Builds an event record. `fields` gives the byte position and the bytes of each field after the code and
/// the instance.
pub fn record(code: u16, instance: u32, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut record = vec![0u8; EVENT_BYTES];
    record[..2].copy_from_slice(&code.to_le_bytes());
    record[2..6].copy_from_slice(&instance.to_le_bytes());
    for (position, bytes) in fields {
        record[*position..position + bytes.len()].copy_from_slice(bytes);
    }
    record
}

/// Builds a frame: its header with the time `now`, the event records, and the tail, which contains the data
/// that records refer to.
pub fn frame(now: f64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut frame = ((16 + body.len() + tail.len()) as u32).to_le_bytes().to_vec();
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(now.to_le_bytes());
    frame.extend(body);
    frame.extend(tail);
    frame
}
