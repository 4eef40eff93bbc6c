//! The SQLSTATEs that are sent or recognised here, by their names in PostgreSQL (appendix A of its manual,
//! "PostgreSQL Error Codes").

/// `protocol_violation`: a message that can't be read, or that doesn't belong there.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// `feature_not_supported`: a command that is not served.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// `invalid_parameter_value`: a field of a statement that has no such value.
pub const INVALID_PARAMETER_VALUE: &str = "22023";
/// `read_only_sql_transaction`: a write at a replica.
pub const READ_ONLY_SQL_TRANSACTION: &str = "25006";
/// `syntax_error`: a statement that can't be parsed.
pub const SYNTAX_ERROR: &str = "42601";
/// `too_many_connections`: the server is at its limit and has run nothing.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// `query_canceled`: the client has cancelled its request.
pub const QUERY_CANCELED: &str = "57014";
/// `admin_shutdown`: the server closes the connection between two requests.
pub const ADMIN_SHUTDOWN: &str = "57P01";
/// `cannot_connect_now`: the server is not ready yet.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
/// `idle_session_timeout`: the client has taken too long over a message.
pub const IDLE_SESSION_TIMEOUT: &str = "57P05";
/// `system_error`: no answer could be obtained.
pub const SYSTEM_ERROR: &str = "58000";
/// `snapshot_too_old`: a read at a replica that is too far behind for it.
pub const SNAPSHOT_TOO_OLD: &str = "72000";
