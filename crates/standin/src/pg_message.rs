//! Types and framing of the messages of version 3 of the PostgreSQL frontend/backend protocol that the
//! stand-ins use ("Message Formats" in PostgreSQL's documentation).

/// Query, from a client: a simple query.
pub(crate) const QUERY: u8 = b'Q';
/// AuthenticationOk and the other authentication messages, from a server.
pub(crate) const AUTHENTICATION: u8 = b'R';
/// BackendKeyData, from a server: the process id and key that a cancel request must contain.
pub(crate) const BACKEND_KEY_DATA: u8 = b'K';
/// ParameterStatus, from a server: the name and value of a parameter.
pub(crate) const PARAMETER_STATUS: u8 = b'S';
/// ReadyForQuery, from a server: the last message of the startup and of each response.
pub(crate) const READY_FOR_QUERY: u8 = b'Z';
/// RowDescription, from a server: the columns of the rows that follow.
pub(crate) const ROW_DESCRIPTION: u8 = b'T';
/// DataRow, from a server: the values of one row.
pub(crate) const DATA_ROW: u8 = b'D';
/// CommandComplete, from a server: the end of a statement that succeeded.
pub(crate) const COMMAND_COMPLETE: u8 = b'C';
/// EmptyQueryResponse, from a server: the response to a query without a statement.
pub(crate) const EMPTY_QUERY_RESPONSE: u8 = b'I';
/// ErrorResponse, from a server: a list of fields, each of a type byte and a string.
pub(crate) const ERROR_RESPONSE: u8 = b'E';

/// Bytes of the type and the length of a message.
pub(crate) const HEAD_LEN: usize = 5;
/// Bytes of the length of a message, which includes itself.
pub(crate) const LENGTH_LEN: usize = 4;

/// Returns a message of this type with its length and body.
pub(crate) fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend(((body.len() + LENGTH_LEN) as u32).to_be_bytes());
    out.extend(body);
    out
}

/// Returns the length of a message's body, as given in its head.
pub(crate) fn body_len(head: &[u8; HEAD_LEN]) -> usize {
    let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    len.saturating_sub(LENGTH_LEN)
}
