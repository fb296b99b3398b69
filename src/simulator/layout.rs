//! Codes and byte offsets of the simulator's protocol. The constants have the names that the policy uses; a
//! comment contains the protocol's own name where it is different. Offsets in a record are counted from the
//! start of the record, which begins with its code. The tail of a frame is everything after the event
//! records; an offset that is the value of a field, such as the one at `SETTINGS_OFFSET`, is counted from the
//! start of the tail.

/// Size of a frame header, bytes.
pub const HEADER_BYTES: usize = 16;
/// Size of a reply header, bytes.
pub const REPLY_HEADER_BYTES: usize = 8;
/// Size of an event record, bytes.
pub const EVENT_BYTES: usize = 48;
/// Size of an action record, bytes.
pub const ACTION_BYTES: usize = 32;
/// Size of an endpoint in the tail, bytes.
pub const ENDPOINT_BYTES: usize = 22;

/// Offsets of the fields of a frame header, which begins with the length of the frame.
pub mod header {
    pub const RECORD_COUNT: usize = 4;
    pub const TIME: usize = 8;
}

/// Offsets of the fields at the start of every event and action record.
pub mod record {
    pub const CODE: usize = 0;
    pub const INSTANCE: usize = 2; // who
}

/// Codes and field offsets of the event records.
pub mod event {
    /// `PROVISION`: an instance starts.
    pub mod instance_started {
        pub const CODE: u16 = 1040;
        pub const SEED: usize = 6; // salt
        pub const SETTINGS_OFFSET: usize = 14; // config
        pub const SETTINGS_BYTES: usize = 18;
    }

    /// `DETACH`: an instance was killed.
    pub mod instance_stopped {
        pub const CODE: u16 = 1020;
    }

    /// `MESSAGE`: another instance has sent a message. The gateways of this crate send none.
    pub mod peer_message {
        pub const CODE: u16 = 1050;
    }

    /// `ROSTER_CHANGE`: the endpoint list has changed or could not be fetched.
    pub mod endpoints_changed {
        pub const CODE: u16 = 1080;
        pub const UPDATE: usize = 6; // kind
        pub const ENDPOINTS_OFFSET: usize = 11; // members_list
        pub const ENDPOINTS_COUNT: usize = 15;
    }

    /// `INGRESS`: a request has arrived from a client.
    pub mod request {
        pub const CODE: u16 = 1010;
        pub const ID: usize = 6; // op_id
        pub const GATEWAY_COUNT: usize = 16; // n_entries
        pub const TIME_LEFT: usize = 20;
        pub const CLASS: usize = 28; // priority
        pub const UNITS: usize = 30;
        pub const PLAN: usize = 34; // terms
        pub const TENANT: usize = 38; // api_key
    }

    /// `COMPLETED`: an attempt has ended.
    pub mod attempt_ended {
        pub const CODE: u16 = 1030;
        pub const ID: usize = 6; // op_id
        pub const ELAPSED: usize = 14; // took
        pub const SERVER: usize = 22;
        pub const OUTCOME: usize = 26;
        pub const COMPLETE: usize = 27;
        pub const ATTEMPT: usize = 28; // copy
    }

    /// `HEAD_RECEIVED`: the response of an attempt has begun.
    pub mod response_started {
        pub const CODE: u16 = 1090;
        pub const ID: usize = 6; // op_id
        pub const ATTEMPT: usize = 10; // copy
    }

    /// `DROPPED`: the client has disconnected.
    pub mod client_disconnected {
        pub const CODE: u16 = 1100;
        pub const ID: usize = 6; // op_id
    }

    /// `WAKEUP`: a timer has fired.
    pub mod timer {
        pub const CODE: u16 = 1070;
        pub const TOKEN: usize = 6; // name
    }

    /// `PING_RESULT`: a health check has ended.
    pub mod health_checked {
        pub const CODE: u16 = 1000;
        pub const OUTCOME: usize = 6;
        pub const SERVER: usize = 7;
        pub const ELAPSED: usize = 11; // took
    }

    /// `RECKONED`: a call to the counter service has ended.
    pub mod counter_replied {
        pub const CODE: u16 = 1060;
        pub const ELAPSED: usize = 6; // took
        pub const OUTCOME: usize = 14;
        pub const KEY: usize = 15; // entry_name
        pub const TOTAL: usize = 23; // sum
    }
}

/// Offsets of the fields of an endpoint in the tail. An endpoint has neither a code nor an instance.
pub mod endpoint {
    pub const WEIGHT: usize = 0;
    pub const SERVER: usize = 4;
    pub const ZONE: usize = 8; // dc
    pub const STARTED_AT: usize = 11; // ready_at
    pub const CELL: usize = 19; // unit_group
    pub const STATE: usize = 21;
}

/// Codes of the states of an endpoint.
pub mod endpoint_state {
    pub const REMOVED: u8 = 0; // gone
    pub const READY: u8 = 1;
    pub const DRAINING: u8 = 2;
}

/// Codes of the kinds of endpoint update.
pub mod endpoint_update {
    pub const INCREMENTAL: u8 = 0; // delta
    pub const COMPLETE: u8 = 1; // full
    pub const CACHED: u8 = 2;
    pub const FAILED: u8 = 3;
}

/// Codes of the outcomes of an attempt, a health check or a counter call.
pub mod outcome {
    pub const OK: u8 = 0;
    pub const CANCELLED: u8 = 1;
    pub const TIMED_OUT: u8 = 4;
    pub const REJECTED: u8 = 8; // full
    pub const NOT_SENT: u8 = 9; // moot
    pub const RESET: u8 = 10;
    pub const ERROR: u8 = 13;
    pub const CONNECT_FAILED: u8 = 14;
}

/// Codes and field offsets of the action records.
pub mod action {
    /// `PASS_ON`: start an attempt.
    pub mod forward {
        pub const CODE: u16 = 1000;
        pub const ID: usize = 6; // op_id
        pub const SERVER: usize = 10;
        pub const TIMEOUT: usize = 14; // try_for
    }

    /// `SHED`: reject a request.
    pub mod reject {
        pub const CODE: u16 = 1010;
        pub const ID: usize = 6; // op_id
        pub const RETRY_AFTER: usize = 10;
    }

    /// `ABORT`: fail a request.
    pub mod fail {
        pub const CODE: u16 = 1020;
        pub const ID: usize = 6; // op_id
    }

    /// `UNDO_SEND`: cancel an attempt.
    pub mod cancel {
        pub const CODE: u16 = 1030;
        pub const ID: usize = 6; // op_id
        pub const ATTEMPT: usize = 10; // copy
    }

    /// `DEFER`: set a timer.
    pub mod timer {
        pub const CODE: u16 = 1040;
        pub const AFTER: usize = 6; // delay
        pub const TOKEN: usize = 14; // name
    }

    /// `ASK_LOAD`: check a server's health.
    pub mod health_check {
        pub const CODE: u16 = 1050;
        pub const SERVER: usize = 6;
    }

    /// `TRACK`: watch the endpoint list.
    pub mod watch_endpoints {
        pub const CODE: u16 = 1100;
        pub const ON: usize = 6;
    }

    /// `POST_AMOUNT`: add to a counter.
    pub mod increment_counter {
        pub const CODE: u16 = 1120;
        pub const KEY: usize = 6; // entry_name
        pub const ADD: usize = 14;
        pub const TTL: usize = 18;
    }
}
