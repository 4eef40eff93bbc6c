//! A session's tokens, kept and given back by themselves.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};

/// So many requests of a session are out at a time: each answer's token replaces those that its request
/// brought, so there are never more tokens than this to bring.
pub(crate) const AT_ONCE: usize = 8;
const VERSION: u8 = 1;

/// A session: its name, and what its routers have handed out. Clones are the same session.
#[derive(Clone, Debug)]
pub struct Session(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    name: String,
    tokens: Vec<String>,
    out: usize,
}

/// Bytes that are no session of this library.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidSession;

impl fmt::Display for InvalidSession {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a session that this library has written")
    }
}

impl std::error::Error for InvalidSession {}

fn plain(text: &str) -> bool {
    text.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':' | b'@'))
}

impl Session {
    /// A new session; its name may hold letters, digits and any of `-_.:@`. An empty name means that the key
    /// of each request names it.
    pub fn new(name: &str) -> Result<Session, InvalidSession> {
        Session::with(name, Vec::new())
    }

    fn with(name: &str, tokens: Vec<String>) -> Result<Session, InvalidSession> {
        let sound = plain(name) && tokens.len() <= AT_ONCE && tokens.iter().all(|t| plain(t));
        let state = State { name: name.into(), tokens, out: 0 };
        sound.then(|| Session(Arc::new(Mutex::new(state)))).ok_or(InvalidSession)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Its name.
    pub fn name(&self) -> String {
        self.state().name.clone()
    }

    /// What another process needs to go on with it. Requests that are still out are not in it.
    pub fn export(&self) -> Vec<u8> {
        let state = self.state();
        let mut out = vec![VERSION];
        for text in std::iter::once(&state.name).chain(&state.tokens) {
            out.extend((text.len() as u16).to_be_bytes());
            out.extend(text.as_bytes());
        }
        out
    }

    /// Goes on with an exported session.
    pub fn import(bytes: &[u8]) -> Result<Session, InvalidSession> {
        let Some((&VERSION, mut rest)) = bytes.split_first() else { return Err(InvalidSession) };
        let mut texts = Vec::new();
        while let Some((head, after)) = rest.split_first_chunk::<2>() {
            let len = usize::from(u16::from_be_bytes(*head));
            let (text, next) = after.split_at_checked(len).ok_or(InvalidSession)?;
            texts.push(String::from_utf8(text.to_vec()).map_err(|_| InvalidSession)?);
            rest = next;
        }
        if !rest.is_empty() || texts.is_empty() {
            return Err(InvalidSession);
        }
        let name = texts.remove(0);
        Session::with(&name, texts)
    }

    /// A request is about to go out: its tokens, or none while too many are out.
    pub(crate) fn begin(&self) -> Option<Vec<String>> {
        let mut state = self.state();
        if state.out >= AT_ONCE {
            return None;
        }
        state.out += 1;
        Some(state.tokens.clone())
    }

    /// A token came for a request that brought these: it covers them.
    pub(crate) fn token(&self, brought: &mut Vec<String>, token: String) {
        if !plain(&token) {
            return;
        }
        let mut state = self.state();
        state.tokens.retain(|t| !brought.contains(t));
        state.tokens.push(token.clone());
        // The next one for the same request covers this one too.
        *brought = vec![token];
    }

    /// A request has ended.
    pub(crate) fn end(&self) {
        let mut state = self.state();
        state.out = state.out.saturating_sub(1);
    }

    /// Tokens held, for tests.
    #[doc(hidden)]
    pub fn tokens(&self) -> Vec<String> {
        self.state().tokens.clone()
    }
}
