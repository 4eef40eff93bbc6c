//! Sessions. Routers issue session tokens with their responses; a session stores them and sends them with its
//! next requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum number of a session's requests in flight. The token of a response replaces the tokens that were
/// sent with the request, so this also limits the number of stored tokens.
pub(crate) const MAX_IN_FLIGHT: usize = 8;

/// First byte of an exported session: the version of the format.
const EXPORT_VERSION: u8 = 1;

/// A session: a name and the tokens received so far. Clones share one state.
#[derive(Clone, Debug)]
pub struct Session(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    name: String,
    tokens: Vec<String>,
    in_flight: usize,
}

/// The name and tokens that a request of a session sends in its statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SessionContext {
    /// The session's name; if it is empty, the request's key is the session's name.
    pub(crate) name: String,
    /// The stored tokens.
    pub(crate) tokens: Vec<String>,
}

/// Why a session name or an exported session is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSession {
    /// The name has characters other than ASCII letters, digits and `-_.:@`.
    #[error("session name {0:?} has characters other than ASCII letters, digits and -_.:@")]
    Name(String),
    /// A token has characters other than ASCII letters, digits and `-_.:@`.
    #[error("session token {0:?} has characters other than ASCII letters, digits and -_.:@")]
    Token(String),
    /// There are more tokens than the eight that a session can have. Carries their number.
    #[error("exported session has {0} tokens, but a session can have at most {max}", max = MAX_IN_FLIGHT)]
    TooManyTokens(usize),
    /// The bytes are empty or begin with an unsupported version of the format.
    #[error("exported session is empty or not of format version {version}", version = EXPORT_VERSION)]
    Version,
    /// The bytes end within a string or before the name.
    #[error("exported session is truncated within a string or before the session name")]
    Truncated,
    /// The name or a token is not UTF-8.
    #[error("exported session has a name or token that is not UTF-8")]
    Encoding(#[from] std::string::FromUtf8Error),
}

impl Session {
    /// Creates a session without tokens. The name may have ASCII letters, digits and any of `-_.:@`; if
    /// it is empty, the key of each request is the session's name.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidSession::Name`] if the name has any other character.
    pub fn new(name: &str) -> Result<Session, InvalidSession> {
        Session::with_tokens(name, Vec::new())
    }

    fn with_tokens(name: &str, tokens: Vec<String>) -> Result<Session, InvalidSession> {
        if !is_valid_text(name) {
            return Err(InvalidSession::Name(name.into()));
        }
        if tokens.len() > MAX_IN_FLIGHT {
            return Err(InvalidSession::TooManyTokens(tokens.len()));
        }
        if let Some(token) = tokens.iter().find(|token| !is_valid_text(token)) {
            return Err(InvalidSession::Token(token.clone()));
        }
        let state = State { name: name.into(), tokens, in_flight: 0 };
        Ok(Session(Arc::new(Mutex::new(state))))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the session's name.
    pub fn name(&self) -> String {
        self.state().name.clone()
    }

    /// Encodes the name and the stored tokens, with which another process can continue the session by calling
    /// [`Session::import`]. Tokens of requests still in flight are not included.
    pub fn export(&self) -> Vec<u8> {
        let state = self.state();
        let mut bytes = vec![EXPORT_VERSION];
        for text in std::iter::once(&state.name).chain(&state.tokens) {
            bytes.extend((text.len() as u16).to_be_bytes());
            bytes.extend(text.as_bytes());
        }
        bytes
    }

    /// Creates a session from the name and tokens of an exported session.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes can't be the result of [`Session::export`]. Bytes that were cut off
    /// between two tokens are not detected.
    pub fn import(bytes: &[u8]) -> Result<Session, InvalidSession> {
        let Some((&EXPORT_VERSION, mut rest)) = bytes.split_first() else {
            return Err(InvalidSession::Version);
        };
        let mut texts = Vec::new();
        while let Some((length, after_length)) = rest.split_first_chunk::<2>() {
            let length = usize::from(u16::from_be_bytes(*length));
            let (text, next) = after_length.split_at_checked(length).ok_or(InvalidSession::Truncated)?;
            texts.push(String::from_utf8(text.to_vec())?);
            rest = next;
        }
        if !rest.is_empty() || texts.is_empty() {
            return Err(InvalidSession::Truncated);
        }
        let name = texts.remove(0);
        Session::with_tokens(&name, texts)
    }

    /// Occupies one of the session's [`MAX_IN_FLIGHT`] slots and returns the name and the tokens that the
    /// request must send. Returns `None` if no slot is free.
    pub(crate) fn start_request(&self) -> Option<SessionContext> {
        let mut state = self.state();
        if state.in_flight >= MAX_IN_FLIGHT {
            return None;
        }
        state.in_flight += 1;
        Some(SessionContext { name: state.name.clone(), tokens: state.tokens.clone() })
    }

    /// Stores a token received by a request whose statement carried the tokens in `sent`. The token covers
    /// those and replaces them. Then sets `sent` to the new token, so that the request's next token replaces
    /// it.
    pub(crate) fn store_token(&self, sent: &mut Vec<String>, token: String) {
        if !is_valid_text(&token) {
            return;
        }
        let mut state = self.state();
        state.tokens.retain(|stored| !sent.contains(stored));
        state.tokens.push(token.clone());
        *sent = vec![token];
    }

    /// Frees the slot of a request.
    pub(crate) fn finish_request(&self) {
        let mut state = self.state();
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Returns the stored tokens, for tests.
    #[doc(hidden)]
    pub fn tokens(&self) -> Vec<String> {
        self.state().tokens.clone()
    }
}

/// Returns whether a name or token can be a value in the statement's comment.
fn is_valid_text(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':' | b'@'))
}
