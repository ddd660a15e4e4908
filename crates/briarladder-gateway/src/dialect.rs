//! The interface between the gateway and a platform's wire formats.
//!
//! An adapter implements [`Dialect`]. It only translates names and bytes;
//! addresses, timeouts and retries are decided by the gateway.

use std::{sync::Arc, time::Duration};

use briarladder_core::fleet::{
    config::FleetConfig, placement::Affinity, server::ListedServer,
    server_limits::NamedLimit, server_speed::ServerLoad, stages::ResultHandle,
};
use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, request, response};

/// Bytes or headers that cannot be decoded.
#[derive(Clone, Debug, Display, Error)]
#[display("{problem}; {remedy}")]
pub struct FormatError {
    /// What is wrong, including the name of the field.
    pub problem: String,
    /// How the sender can correct it.
    pub remedy: &'static str,
}

/// The decoded head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The id of this attempt, chosen by the caller.
    pub attempt: Arc<str>,
    /// The host, without a port.
    pub host: Arc<str>,
    /// How long the caller waits, if it says so.
    pub timeout: Option<Duration>,
    /// The caller's API key, if it sent one.
    pub api_key: Option<Arc<str>>,
    /// The prompt, if the request carries one.
    pub prompt: Option<Prompt>,
    /// The number of pieces of each stage of the route.
    pub piece_counts: Vec<u32>,
    /// The input of the first stages, if there is one.
    pub piece_key: Option<Arc<str>>,
    /// The stream that it takes up, if it does.
    pub take_up: Option<TakenUpStream>,
}

/// A stream that has broken off, as a caller that takes it up describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TakenUpStream {
    /// The id of the last event that the caller has received.
    pub last_event_id: Arc<str>,
    /// The caller's attempt that brought the first event, if it names one.
    pub first_attempt: Option<Arc<str>>,
}

/// A prompt as described by the caller's headers.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The parts in order. Requests with equal leading parts share a prefix.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Clone, Debug)]
pub struct PromptPart {
    /// An id of the content: equal parts have equal ids.
    pub id: Arc<str>,
    /// The length in tokens.
    pub tokens: u64,
}

impl Prompt {
    /// Returns the longest prefix that other requests may share: all parts
    /// except the last, which is specific to the request or its session. A
    /// prompt of one part is a prefix as a whole.
    #[must_use]
    pub fn shared_prefix(&self) -> Option<Affinity<'_>> {
        let last = self.parts.len().saturating_sub(1).max(1);
        let shared = self.parts.get(..last)?;
        Some(Affinity {
            prefix: &shared.last()?.id,
            tokens: shared.iter().map(|part| part.tokens).sum(),
        })
    }

    /// Returns the parts that other requests may share: all except the last.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the number of tokens after the shared prefix, which are read
    /// even if the prefix is cached.
    #[must_use]
    pub fn suffix_tokens(&self) -> u64 {
        self.parts.last().map_or(self.prompt_tokens, |part| part.tokens)
    }
}

/// What a backend server is told in addition to the caller's headers.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// The name of the intended server.
    pub server: &'a str,
    /// The time until the request's deadline.
    pub time_left: Duration,
    /// The workspace of the caller's API key, if there is one.
    pub workspace: Option<&'a str>,
    /// The results of the stages, which the server fetches.
    pub inputs: &'a [ResultHandle],
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The id of the last event of a stream that is to be resumed.
    pub last_event_id: Option<&'a str>,
}

/// The decoded head of a backend server's response.
#[derive(Clone, Copy, Debug, Default)]
#[allow(clippy::struct_excessive_bools)] // Independent properties of one head.
pub struct ResponseHead {
    /// The server states that it did not run the request.
    pub not_run: bool,
    /// The server did not run the request because it has no room for it.
    pub lacks_room: bool,
    /// The results of the stages no longer exist, so no server can run the
    /// request.
    pub inputs_gone: bool,
    /// Another server now has the address.
    pub wrong_server: bool,
    /// The response carries the server's signature.
    pub signed: bool,
    /// The response names the attempt that was sent.
    pub echoes_attempt: bool,
    /// The response names another attempt.
    pub echoes_other_attempt: bool,
    /// The server is leaving and accepts no new requests.
    pub leaving: bool,
    /// The server rejected the request and accepts no other for this long.
    pub retry_after: Option<Duration>,
    /// How long the server keeps an idle connection open, if it says so.
    pub idle_timeout: Option<Duration>,
    /// The requests a second that the server takes from all daemons together,
    /// if it says so.
    pub limit: NamedLimit,
    /// How long the server stays cold, if it says so.
    pub cold_left: Option<Duration>,
    /// How many rejections a second the server withstands, if it says that it
    /// is brittle.
    pub max_rejections_per_s: Option<u32>,
    /// The server's load, if it says so.
    pub load: Option<ServerLoad>,
}

/// One piece in a call to a server.
#[derive(Clone, Debug)]
pub struct PieceCall<'a> {
    /// The caller's attempt id.
    pub attempt: &'a str,
    /// The index of the stage in the route.
    pub stage: usize,
    /// The index of the piece in its stage.
    pub piece: u32,
    /// The time after which the result is no longer useful.
    pub time_left: Duration,
    /// The source that it is produced from.
    pub source: PieceSource<'a>,
}

/// The source that a piece is produced from.
#[derive(Clone, Copy, Debug)]
pub enum PieceSource<'a> {
    /// The caller's own input.
    Key(&'a str),
    /// References to the results of earlier stages.
    Inputs(&'a [Arc<str>]),
}

/// The outcome of one piece in a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PieceOutcome {
    /// It was produced; the reference of the result.
    Completed(Arc<str>),
    /// Its deadline had passed.
    Late,
    /// An input no longer exists.
    InputGone,
    /// The server has no memory for the result.
    NoRoom,
    /// The server failed to produce it.
    Failed,
}

/// An item of the platform's store, or its removal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreItem {
    /// The key.
    pub key: Arc<str>,
    /// The revision of its last change.
    pub revision: u64,
    /// The value, or `None` if the item was removed.
    pub value: Option<Arc<[u8]>>,
}

/// A page of a listing of the store.
#[derive(Clone, Debug)]
pub struct StorePage {
    /// The items.
    pub items: Vec<StoreItem>,
    /// Whether more pages follow.
    pub more: bool,
    /// The revision of the store when the page was read.
    pub revision: u64,
}

/// Changes of the store after some revision.
#[derive(Clone, Debug)]
pub struct StoreChanges {
    /// The changes, oldest first.
    pub items: Vec<StoreItem>,
    /// The revision to watch from next.
    pub revision: u64,
}

/// The kind of an item of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemKind<'a> {
    /// The configuration.
    Config,
    /// The backend server of this name.
    Server(&'a str),
    /// The evacuation of the zone of this name. While the item exists, the
    /// servers of the zone get no requests. Its value has no meaning.
    Evacuation(&'a str),
    /// Anything else, which the gateway ignores.
    Other,
}

/// The decoded entry of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodedServer {
    /// The server.
    pub server: ListedServer,
    /// How long it stays cold.
    pub cold_left: Duration,
}

/// The wire formats of a platform.
pub trait Dialect {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// If a header is malformed.
    fn decode_caller_request(
        &self,
        head: &request::Parts,
    ) -> Result<CallerRequest, FormatError>;

    /// Returns whether a caller's header is forwarded to backend servers. It
    /// is not called for hop-by-hop headers.
    fn passes_to_server(&self, name: &http::HeaderName) -> bool;

    /// Adds the headers that tell a backend server about the request.
    fn add_dispatch_headers(
        &self,
        headers: &mut HeaderMap,
        dispatch: &Dispatch<'_>,
    );

    /// Decodes the head of the response to an attempt.
    fn decode_response_head(
        &self,
        head: &response::Parts,
        attempt: &str,
    ) -> ResponseHead;

    /// Returns the path of a call that lists the parts of prompts that an
    /// engine keeps.
    fn prompt_cache_path(&self) -> &'static str;

    /// Decodes the ids of the parts that an engine keeps.
    ///
    /// # Errors
    ///
    /// If they are malformed.
    fn decode_prompt_cache(
        &self,
        body: &[u8],
    ) -> Result<Vec<Arc<str>>, FormatError>;

    /// Returns the path of a call that produces pieces.
    fn pieces_path(&self) -> &'static str;

    /// Encodes the body of a call that produces pieces.
    fn encode_pieces(&self, pieces: &[PieceCall<'_>]) -> Bytes;

    /// Decodes the response to a call that produces pieces.
    ///
    /// # Errors
    ///
    /// If it is malformed.
    fn decode_pieces(
        &self,
        body: &[u8],
    ) -> Result<Vec<PieceOutcome>, FormatError>;

    /// Adds the header with the name of the server that a call is intended
    /// for.
    fn add_expected_server(&self, headers: &mut HeaderMap, server: &str);

    /// Returns the path of a call that releases results.
    fn release_path(&self) -> &'static str;

    /// Encodes the body of a call that releases results.
    fn encode_release(&self, references: &[Arc<str>]) -> Bytes;

    /// Returns the path that lists a page of the items after a key.
    fn list_path(&self, after: Option<&str>) -> String;

    /// Returns the path that waits for changes after a revision.
    fn watch_path(&self, after: u64, wait: Duration) -> String;

    /// Returns the era of the store that an answer names: how often it was
    /// restored from a copy. `None` if the answer names none.
    ///
    /// # Errors
    ///
    /// If it is malformed.
    fn decode_store_era(
        &self,
        headers: &HeaderMap,
    ) -> Result<Option<u64>, FormatError>;

    /// Decodes a page of a listing.
    ///
    /// # Errors
    ///
    /// If it is malformed.
    fn decode_page(&self, body: &[u8]) -> Result<StorePage, FormatError>;

    /// Decodes changes.
    ///
    /// # Errors
    ///
    /// If they are malformed.
    fn decode_changes(&self, body: &[u8])
    -> Result<StoreChanges, FormatError>;

    /// Returns the kind of an item by its key.
    fn item_kind<'a>(&self, key: &'a str) -> ItemKind<'a>;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// If it is malformed.
    fn decode_config(&self, value: &[u8]) -> Result<FleetConfig, FormatError>;

    /// Decodes the entry of a backend server.
    ///
    /// # Errors
    ///
    /// If the entry is malformed or describes no usable server.
    fn decode_server(
        &self,
        name: &str,
        value: &[u8],
    ) -> Result<DecodedServer, FormatError>;
}
