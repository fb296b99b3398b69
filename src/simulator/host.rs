//! Runs the gateways of one process, which share no state, and answers the simulator's frames.

use super::action_encoder::encode;
use super::error::FrameError;
use super::event_decoder::decode;
use super::frame::FieldReader;
use super::layout::event::{instance_started, instance_stopped};
use super::layout::{header, record, EVENT_BYTES, HEADER_BYTES, REPLY_HEADER_BYTES};
use crate::action::Action;
use crate::config::parse_settings;
use crate::ids::Millis;
use crate::policy::Gateway;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};

/// The gateways that the simulator runs in this process.
#[derive(Default)]
pub struct GatewayHost {
    /// The running gateways by instance number.
    gateways: HashMap<u32, Gateway>,
    /// The actions that the current event caused. The vector is reused to avoid an allocation per event.
    actions: Vec<Action>,
}

impl GatewayHost {
    /// Reads frames and writes their replies until the input ends. The input may end only between two frames.
    ///
    /// # Errors
    /// Returns an error if the input violates the protocol, or if reading or writing fails.
    pub fn run(&mut self, mut input: impl Read, mut output: impl Write) -> Result<(), FrameError> {
        let mut frame_number = 0;
        let mut frame = Vec::new();
        while read_frame(&mut input, &mut frame).map_err(|error| error.in_frame(frame_number))? {
            let reply = self.answer(&frame).map_err(|error| error.in_frame(frame_number))?;
            output
                .write_all(&reply)
                .and_then(|()| output.flush())
                .map_err(|source| FrameError::Io { stream: "standard output", source })?;
            frame_number += 1;
        }
        Ok(())
    }

    /// Handles the events of one complete frame, which begins with its length field, and returns the reply.
    ///
    /// # Errors
    /// Returns an error if the frame violates the protocol.
    pub fn answer(&mut self, frame: &[u8]) -> Result<Vec<u8>, FrameError> {
        let frame_header = FieldReader { bytes: frame, section: "header" };
        let (count, now) =
            (frame_header.u32(header::RECORD_COUNT)? as usize, frame_header.f64(header::TIME)?);
        let body = frame.get(HEADER_BYTES..).unwrap_or(&[]);
        let (events, tail) = count
            .checked_mul(EVENT_BYTES)
            .and_then(|bytes| body.split_at_checked(bytes))
            .ok_or(FrameError::TooManyRecords { count })?;
        let tail = FieldReader { bytes: tail, section: "tail" };
        let mut reply = vec![0; REPLY_HEADER_BYTES];
        let mut action_count = 0u32;
        for (record_number, bytes) in events.chunks_exact(EVENT_BYTES).enumerate() {
            let event_record = FieldReader { bytes, section: "event" };
            let instance =
                self.handle_event(now, event_record, tail).map_err(|error| error.in_record(record_number))?;
            for action in &self.actions {
                reply.extend_from_slice(encode(instance, action).as_bytes());
                action_count += 1;
            }
        }
        let reply_bytes = reply.len() as u32;
        reply[..4].copy_from_slice(&action_count.to_le_bytes());
        reply[4..8].copy_from_slice(&reply_bytes.to_le_bytes());
        Ok(reply)
    }

    /// Handles one event and replaces `self.actions` with the actions that the event causes. Returns the
    /// number of the instance to which the event is addressed.
    fn handle_event(
        &mut self,
        now: Millis,
        event_record: FieldReader<'_>,
        tail: FieldReader<'_>,
    ) -> Result<u32, FrameError> {
        let instance = event_record.u32(record::INSTANCE)?;
        self.actions.clear();
        match event_record.u16(record::CODE)? {
            instance_started::CODE => self.start_gateway(instance, event_record, tail)?,
            instance_stopped::CODE => drop(self.gateways.remove(&instance)),
            code => self.dispatch_event(now, instance, code, event_record, tail)?,
        }
        Ok(instance)
    }

    fn start_gateway(
        &mut self,
        instance: u32,
        event_record: FieldReader<'_>,
        tail: FieldReader<'_>,
    ) -> Result<(), FrameError> {
        let offset = event_record.u32(instance_started::SETTINGS_OFFSET)?;
        let bytes = event_record.u32(instance_started::SETTINGS_BYTES)?;
        let text = std::str::from_utf8(tail.items(offset, bytes, 1)?);
        let settings = parse_settings(text.map_err(|_| FrameError::SettingsNotUtf8)?)?;
        let seed = event_record.u64(instance_started::SEED)?;
        self.gateways.insert(instance, Gateway::new(settings, seed));
        Ok(())
    }

    fn dispatch_event(
        &mut self,
        now: Millis,
        instance: u32,
        code: u16,
        event_record: FieldReader<'_>,
        tail: FieldReader<'_>,
    ) -> Result<(), FrameError> {
        let gateway =
            self.gateways.get_mut(&instance).ok_or(FrameError::UnknownInstance { code, instance })?;
        if let Some(event) = decode(code, event_record, tail)? {
            gateway.handle(now, event, &mut self.actions);
        }
        Ok(())
    }
}

/// Reads one frame into `frame`, with its length field. Returns false if the input ends before the first byte
/// of the frame.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, FrameError> {
    let input_error = |source| FrameError::Io { stream: "standard input", source };
    let Some(length_bytes) = read_length(input)? else { return Ok(false) };
    let length = u32::from_le_bytes(length_bytes) as usize;
    if length < HEADER_BYTES {
        return Err(FrameError::ShorterThanHeader { length });
    }
    frame.clear();
    frame.extend_from_slice(&length_bytes);
    // The buffer grows only as bytes arrive. A large length that is not followed by bytes therefore does not
    // cause a large allocation.
    let remaining = (length - length_bytes.len()) as u64;
    input.by_ref().take(remaining).read_to_end(frame).map_err(input_error)?;
    if frame.len() != length {
        return Err(FrameError::TruncatedFrame { received: frame.len(), length });
    }
    Ok(true)
}

/// Reads the length field at the start of a frame. Returns `None` if the input ends before the first byte.
fn read_length(input: &mut impl Read) -> Result<Option<[u8; 4]>, FrameError> {
    let mut length = [0; 4];
    let mut received = 0;
    while received < length.len() {
        match input.read(&mut length[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return Err(FrameError::TruncatedLength),
            Ok(count) => received += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(source) => return Err(FrameError::Io { stream: "standard input", source }),
        }
    }
    Ok(Some(length))
}
