//! What the gateway needs of a platform's wire formats.
//!
//! An adapter implements [`Dialect`]. It translates names and bytes and
//! decides nothing; all addresses, timeouts and repetitions are the gateway's.

use std::{sync::Arc, time::Duration};

use briarladder_core::fleet::{
    config::FleetConfig, placement::Affinity, server::ListedServer,
    stages::ResultHandle,
};
use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, request, response};

/// Bytes or headers that could not be decoded.
#[derive(Clone, Debug, Display, Error)]
#[display("{problem}; {remedy}")]
pub struct FormatError {
    /// What is wrong, with the name of the field.
    pub problem: String,
    /// What the sender should do.
    pub remedy: &'static str,
}

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identifies this attempt of the caller.
    pub attempt: Arc<str>,
    /// The host, without a port.
    pub host: Arc<str>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The caller's key.
    pub key: Option<Arc<str>>,
    /// The prompt, if the request carries one.
    pub prompt: Option<Prompt>,
    /// The pieces of each stage.
    pub pieces: Vec<u32>,
    /// The input of the first stages.
    pub piece_key: Option<Arc<str>>,
}

/// A prompt as its caller describes it.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// Tokens to read.
    pub prompt_tokens: u64,
    /// The parts in order; requests share parts.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Clone, Debug)]
pub struct PromptPart {
    /// Identifies its content.
    pub id: Arc<str>,
    /// Its length.
    pub tokens: u64,
}

impl Prompt {
    /// Returns the longest prefix that other requests share: all parts but
    /// the last, which belongs to the request or its session.
    #[must_use]
    pub fn shared_prefix(&self) -> Option<Affinity<'_>> {
        let last = self.parts.len().saturating_sub(1).max(1);
        let shared = self.parts.get(..last)?;
        Some(Affinity {
            prefix: &shared.last()?.id,
            tokens: shared.iter().map(|part| part.tokens).sum(),
        })
    }

    /// Returns the tokens that are read even where the prefix is cached.
    #[must_use]
    pub fn own_tokens(&self) -> u64 {
        self.parts.last().map_or(self.prompt_tokens, |part| part.tokens)
    }
}

/// What a backend server is told beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// The name of the server that is meant.
    pub server: &'a str,
    /// The time that is left.
    pub time_left: Duration,
    /// The workspace, if callers have keys.
    pub workspace: Option<&'a str>,
    /// The results of the stages.
    pub inputs: &'a [ResultHandle],
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The last event of a stream that is continued.
    pub resume: Option<&'a str>,
}

/// The head of an answer of a backend server.
#[derive(Clone, Copy, Debug, Default)]
#[allow(clippy::struct_excessive_bools)] // Independent facts of one head.
pub struct AnswerHead {
    /// It states that the request was not run.
    pub not_run: bool,
    /// The results of the stages are gone, so no server can run it.
    pub inputs_gone: bool,
    /// Another server has the address.
    pub other_server: bool,
    /// It carries the server's signature.
    pub signed: bool,
    /// It names the attempt that it was asked for.
    pub echoes_attempt: bool,
    /// It names another attempt.
    pub echoes_other: bool,
    /// The server is about to leave and wants no new work.
    pub leaving: bool,
    /// The server turned the request away and wants no other for this long.
    pub wants_none_for: Option<Duration>,
    /// How long the server keeps an idle connection.
    pub idle_timeout: Option<Duration>,
}

/// One piece of a call.
#[derive(Clone, Debug)]
pub struct PieceCall<'a> {
    /// The attempt of the caller.
    pub attempt: &'a str,
    /// The stage.
    pub stage: usize,
    /// The position of the piece in its stage.
    pub piece: u32,
    /// The time after which the piece is of no use.
    pub time_left: Duration,
    /// What it is made from.
    pub source: PieceSource<'a>,
}

/// What a piece is made from.
#[derive(Clone, Copy, Debug)]
pub enum PieceSource<'a> {
    /// The caller's own input.
    Key(&'a str),
    /// The results of earlier stages, by reference.
    Inputs(&'a [Arc<str>]),
}

/// What became of one piece of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PieceOutcome {
    /// It was made; the reference of the result.
    Made(Arc<str>),
    /// Its time had passed.
    Late,
    /// An input is gone.
    InputGone,
    /// The server has no room for the result.
    NoRoom,
    /// It failed.
    Failed,
}

/// An item of the store, or its removal, as the platform spells it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreItem {
    /// The key.
    pub key: Arc<str>,
    /// The revision of its last change.
    pub revision: u64,
    /// The bytes, or `None` if it was removed.
    pub value: Option<Arc<[u8]>>,
}

/// A page of a list of the store.
#[derive(Clone, Debug)]
pub struct StorePage {
    /// The items.
    pub items: Vec<StoreItem>,
    /// Whether there are more.
    pub more: bool,
    /// The revision of the store.
    pub revision: u64,
}

/// Changes of the store.
#[derive(Clone, Debug)]
pub struct StoreChanges {
    /// The changes, oldest first.
    pub items: Vec<StoreItem>,
    /// The revision to go on from.
    pub revision: u64,
}

/// What an item of the store holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemKind<'a> {
    /// The configuration.
    Config,
    /// The backend server of this name.
    Server(&'a str),
    /// Nothing that the gateway reads.
    Other,
}

/// The wire formats of a platform.
pub trait Dialect {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// If a header can't be read.
    fn caller_request(
        &self,
        head: &request::Parts,
    ) -> Result<CallerRequest, FormatError>;

    /// Returns whether a caller's header is passed on to backend servers.
    /// Headers of one connection are not asked for.
    fn passes_to_server(&self, name: &http::HeaderName) -> bool;

    /// Adds what the backend server is told.
    fn add_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Decodes the head of an answer to an attempt.
    fn answer_head(&self, head: &response::Parts, attempt: &str)
    -> AnswerHead;

    /// Returns the path of a call for pieces.
    fn pieces_path(&self) -> &'static str;

    /// Encodes a call for pieces.
    fn encode_pieces(&self, pieces: &[PieceCall<'_>]) -> Bytes;

    /// Decodes the answer to a call for pieces.
    ///
    /// # Errors
    ///
    /// If it can't be read.
    fn decode_pieces(
        &self,
        body: &[u8],
    ) -> Result<Vec<PieceOutcome>, FormatError>;

    /// Adds the name of the server that a call for pieces is meant for.
    fn expect_server(&self, headers: &mut HeaderMap, server: &str);

    /// Returns the path of a call that releases results.
    fn release_path(&self) -> &'static str;

    /// Encodes a call that releases results.
    fn encode_release(&self, references: &[Arc<str>]) -> Bytes;

    /// Returns the path of a page of all items after a key.
    fn list_path(&self, after: Option<&str>) -> String;

    /// Returns the path of a call that waits for changes after a revision.
    fn watch_path(&self, after: u64, wait: Duration) -> String;

    /// Decodes a page.
    ///
    /// # Errors
    ///
    /// If it can't be read.
    fn decode_page(&self, body: &[u8]) -> Result<StorePage, FormatError>;

    /// Decodes changes.
    ///
    /// # Errors
    ///
    /// If they can't be read.
    fn decode_changes(&self, body: &[u8])
    -> Result<StoreChanges, FormatError>;

    /// Returns what an item holds.
    fn item_kind<'a>(&self, key: &'a str) -> ItemKind<'a>;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// If it can't be read.
    fn decode_config(&self, value: &[u8]) -> Result<FleetConfig, FormatError>;

    /// Decodes a backend server.
    ///
    /// # Errors
    ///
    /// If it names no server to use.
    fn decode_server(
        &self,
        name: &str,
        value: &[u8],
    ) -> Result<ListedServer, FormatError>;
}
