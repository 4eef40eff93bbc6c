//! The startup message, the first message on a connection. The router sends it to hosts, the client library
//! to routers.

use crate::put_cstring;

/// Version 3.0 of the protocol: the major version in the upper 16 bits, the minor version in the lower 16.
const PROTOCOL_VERSION: u32 = 0x0003_0000;
/// Parameters of the startup message: each name is followed by its value.
const PARAMETERS: [&str; 4] = ["user", "svc", "database", "main"];
/// Length of the length field, in bytes. Its value counts itself.
const LENGTH_FIELD_LEN: usize = 4;

/// Returns the encoded startup message. Unlike other messages, it has no type byte.
pub fn startup_message() -> Vec<u8> {
    let mut body = PROTOCOL_VERSION.to_be_bytes().to_vec();
    for parameter in PARAMETERS {
        put_cstring(&mut body, parameter);
    }
    body.push(0);
    let len = (LENGTH_FIELD_LEN + body.len()) as u32;
    [&len.to_be_bytes()[..], &body].concat()
}
