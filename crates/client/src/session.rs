//! Sessions: the tokens that routers hand out, stored and sent along with the session's next requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Upper limit of a session's requests in flight. Each response's token replaces those that its request sent
/// along, so this bounds the number of tokens, too.
pub(crate) const MAX_IN_FLIGHT: usize = 8;

/// First byte of an exported session: the version of its format.
const EXPORT_VERSION: u8 = 1;

/// A session: its name and its tokens. Clones are the same session.
#[derive(Clone, Debug)]
pub struct Session(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    name: String,
    tokens: Vec<String>,
    in_flight: usize,
}

/// What a request of a session sends along.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SessionContext {
    /// The session's name; empty if the request's key names it.
    pub(crate) name: String,
    /// The tokens to send along.
    pub(crate) tokens: Vec<String>,
}

/// Why a name or an exported session can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSession {
    /// The name has characters other than letters, digits and `-_.:@`.
    #[error("session name {0:?} has characters other than letters, digits and any of -_.:@")]
    Name(String),
    /// A token has characters other than letters, digits and `-_.:@`.
    #[error("session token {0:?} has characters other than letters, digits and any of -_.:@")]
    Token(String),
    /// There are more tokens than a session can have.
    #[error("a session of {0} tokens; {max} at most", max = MAX_IN_FLIGHT)]
    TooManyTokens(usize),
    /// The bytes begin with another version of the format, or are empty.
    #[error("not an exported session of version {version}", version = EXPORT_VERSION)]
    Version,
    /// The bytes end in the middle of a text, or before the name.
    #[error("an exported session that is cut off")]
    Truncated,
    /// A text is not UTF-8.
    #[error("an exported session with a text that is not UTF-8")]
    Encoding(#[from] std::string::FromUtf8Error),
}

impl Session {
    /// A new session. Its name can have letters, digits and any of `-_.:@`; with an empty name, the key of
    /// each request names the session.
    ///
    /// # Errors
    ///
    /// [`InvalidSession::Name`] if the name has any other character.
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

    /// The session's name.
    pub fn name(&self) -> String {
        self.state().name.clone()
    }

    /// The bytes that another process needs to continue the session with [`Session::import`]. Requests in
    /// flight are not covered.
    pub fn export(&self) -> Vec<u8> {
        let state = self.state();
        let mut bytes = vec![EXPORT_VERSION];
        for text in std::iter::once(&state.name).chain(&state.tokens) {
            bytes.extend((text.len() as u16).to_be_bytes());
            bytes.extend(text.as_bytes());
        }
        bytes
    }

    /// Continues an exported session.
    ///
    /// # Errors
    ///
    /// If the bytes are not the complete result of [`Session::export`].
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

    /// Takes one of the session's places for requests in flight; `None` while there is none.
    pub(crate) fn start_request(&self) -> Option<SessionContext> {
        let mut state = self.state();
        if state.in_flight >= MAX_IN_FLIGHT {
            return None;
        }
        state.in_flight += 1;
        Some(SessionContext { name: state.name.clone(), tokens: state.tokens.clone() })
    }

    /// Stores a token received by a request that had sent along the tokens in `sent`: it covers and replaces
    /// them. The request's next token then covers this one.
    pub(crate) fn store_token(&self, sent: &mut Vec<String>, token: String) {
        if !is_valid_text(&token) {
            return;
        }
        let mut state = self.state();
        state.tokens.retain(|stored| !sent.contains(stored));
        state.tokens.push(token.clone());
        *sent = vec![token];
    }

    /// Returns a request's place.
    pub(crate) fn finish_request(&self) {
        let mut state = self.state();
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// The stored tokens, for tests.
    #[doc(hidden)]
    pub fn tokens(&self) -> Vec<String> {
        self.state().tokens.clone()
    }
}

/// Whether a name or token can be a value in the statement's comment.
fn is_valid_text(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':' | b'@'))
}
