//! Message types and framing of version 3 of the PostgreSQL frontend/backend protocol ("Message Formats" in
//! PostgreSQL's documentation), as far as the stand-ins speak it.

/// Query, from a client: one simple query.
pub(crate) const QUERY: u8 = b'Q';
/// AuthenticationOk and its relatives, from a server.
pub(crate) const AUTHENTICATION: u8 = b'R';
/// BackendKeyData, from a server: the key for cancel requests.
pub(crate) const BACKEND_KEY_DATA: u8 = b'K';
/// ParameterStatus, from a server: a name and a value.
pub(crate) const PARAMETER_STATUS: u8 = b'S';
/// ReadyForQuery, from a server: ends the startup and each answer.
pub(crate) const READY_FOR_QUERY: u8 = b'Z';
/// RowDescription, from a server.
pub(crate) const ROW_DESCRIPTION: u8 = b'T';
/// DataRow, from a server.
pub(crate) const DATA_ROW: u8 = b'D';
/// CommandComplete, from a server.
pub(crate) const COMMAND_COMPLETE: u8 = b'C';
/// EmptyQueryResponse, from a server.
pub(crate) const EMPTY_QUERY_RESPONSE: u8 = b'I';
/// ErrorResponse, from a server: fields of a type byte and a string each.
pub(crate) const ERROR_RESPONSE: u8 = b'E';

/// Bytes of a message's type and length.
pub(crate) const HEAD_LEN: usize = 5;
/// Bytes of a message's length, which counts itself.
pub(crate) const LENGTH_LEN: usize = 4;

/// A complete message of a type.
pub(crate) fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend(((body.len() + LENGTH_LEN) as u32).to_be_bytes());
    out.extend(body);
    out
}

/// The length of a message's body, by its head.
pub(crate) fn body_len(head: &[u8; HEAD_LEN]) -> usize {
    let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    len.saturating_sub(LENGTH_LEN)
}
