//! The startup message, with which the router opens connections to hosts and the client library opens
//! connections to routers.

use crate::put_cstring;

/// Version 3.0 of the protocol: the major version in the upper half, the minor one in the lower.
const PROTOCOL_VERSION: u32 = 0x0003_0000;
/// Parameters of the startup message: names, each followed by its value.
const PARAMETERS: [&str; 4] = ["user", "svc", "database", "main"];
/// Length of the length field, in bytes; it counts itself.
const LENGTH_FIELD_LEN: usize = 4;

/// The startup message. It has no type field.
pub fn startup_message() -> Vec<u8> {
    let mut body = PROTOCOL_VERSION.to_be_bytes().to_vec();
    for parameter in PARAMETERS {
        put_cstring(&mut body, parameter);
    }
    body.push(0);
    let len = (LENGTH_FIELD_LEN + body.len()) as u32;
    [&len.to_be_bytes()[..], &body].concat()
}
