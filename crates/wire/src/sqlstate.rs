//! The SQLSTATEs that the router and the client library send or recognise, with their names in PostgreSQL
//! (appendix A of its manual, "PostgreSQL Error Codes").

/// `protocol_violation`: a message is malformed or not allowed at this point.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// `feature_not_supported`: the command is not supported.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// `invalid_parameter_value`: a field of the statement has an invalid value.
pub const INVALID_PARAMETER_VALUE: &str = "22023";
/// `read_only_sql_transaction`: a write was sent to a replica.
pub const READ_ONLY_SQL_TRANSACTION: &str = "25006";
/// `syntax_error`: the statement can't be parsed.
pub const SYNTAX_ERROR: &str = "42601";
/// `too_many_connections`: the server rejected a connection or a request for lack of capacity and has
/// executed nothing.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// `query_canceled`: the client cancelled the request.
pub const QUERY_CANCELED: &str = "57014";
/// `admin_shutdown`: the server closes the connection between two requests.
pub const ADMIN_SHUTDOWN: &str = "57P01";
/// `cannot_connect_now`: the server is not ready yet.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
/// `idle_session_timeout`: the client did not send a complete message in time.
pub const IDLE_SESSION_TIMEOUT: &str = "57P05";
/// `system_error`: no response could be obtained from a host.
pub const SYSTEM_ERROR: &str = "58000";
/// `snapshot_too_old`: the replica's lag is too large for the read.
pub const SNAPSHOT_TOO_OLD: &str = "72000";
