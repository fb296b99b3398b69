//! Frames of the simulator's wire: builds event frames and reads reply frames, byte by byte as the protocol's
//! page lays them out.

/// Codes of event records.
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

/// Bytes of an event record.
pub const EVENT_BYTES: usize = 48;

/// One event record: a code, the instance, and fields at their byte positions.
pub fn record(code: u16, instance: u32, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut record = vec![0u8; EVENT_BYTES];
    record[..2].copy_from_slice(&code.to_le_bytes());
    record[2..6].copy_from_slice(&instance.to_le_bytes());
    for (position, bytes) in fields {
        record[*position..position + bytes.len()].copy_from_slice(bytes);
    }
    record
}

/// A whole frame of event records at a time.
pub fn frame(now: f64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut frame = ((16 + body.len() + tail.len()) as u32).to_le_bytes().to_vec();
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(now.to_le_bytes());
    frame.extend(body);
    frame.extend(tail);
    frame
}
