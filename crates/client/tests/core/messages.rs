//! Messages of a router, encoded without the library's own code.

/// The message ReadyForQuery with the status "idle" (no transaction is open).
pub const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";

/// Returns a message with its type and length field.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// Returns a complete response with one row of one column.
pub fn row(value: &[u8]) -> Vec<u8> {
    let data = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
    let messages = [
        message(b'T', &[0, 1]),
        message(b'D', &data),
        message(b'C', b"SELECT 1\0"),
        READY_FOR_QUERY.to_vec(),
    ];
    messages.concat()
}

/// Returns an ErrorResponse that leaves the connection open, followed by ReadyForQuery.
pub fn error(code: &str, detail: Option<&str>) -> Vec<u8> {
    [error_response("ERROR", code, detail), READY_FOR_QUERY.to_vec()].concat()
}

/// Returns an ErrorResponse after which the router closes the connection.
pub fn fatal_error(code: &str, detail: Option<&str>) -> Vec<u8> {
    error_response("FATAL", code, detail)
}

/// Returns a ParameterStatus message with a session token.
pub fn session_token(token: &str) -> Vec<u8> {
    message(b'S', format!("session_token\0{token}\0").as_bytes())
}

fn error_response(severity: &str, code: &str, detail: Option<&str>) -> Vec<u8> {
    let detail = detail.map(|detail| format!("D{detail}\0")).unwrap_or_default();
    let fields = format!("S{severity}\0V{severity}\0C{code}\0Mno\0{detail}\0");
    message(b'E', fields.as_bytes())
}
