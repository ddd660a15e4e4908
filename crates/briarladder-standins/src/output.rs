//! Deterministic outputs, so that tests can detect lost, duplicated and
//! swapped responses.
//!
//! # Example
//!
//! ```
//! use briarladder_standins::output;
//!
//! let first = output::token_text(r#"{"sheet": 4}"#, 0);
//! assert_eq!(first, output::token_text(r#"{"sheet": 4}"#, 0));
//! assert_ne!(first, output::token_text(r#"{"sheet": 5}"#, 0));
//! ```

use std::fmt::Write;

use briarladder_core::objects::Role;
use briarladder_wire::backend::RunRequest;
use rapidhash::v3::rapidhash_v3;
use serde_json::value::RawValue;

/// The number of values in the vector of an encoder.
const VECTOR_VALUES: u32 = 4;
/// The number of documents that a retriever or reranker returns.
const DOCUMENTS: u64 = 3;
/// The length of the shortest cached prefix. Each longer one doubles it.
const PREFIX_BYTES: usize = 256;

/// Returns the text of the token at an index of a generation. It depends
/// only on the input of the request, not on the attempt or the engine.
#[must_use]
pub fn token_text(input: &str, index: u32) -> String {
    format!("{:08x}-{index}", rapidhash_v3(input.as_bytes()) >> 32)
}

/// Returns the texts of all tokens of a generation.
#[must_use]
pub fn tokens(input: &str, total_tokens: u32) -> Vec<String> {
    (0..total_tokens).map(|index| token_text(input, index)).collect()
}

/// Returns the output of an encoder, retriever, reranker or plain service
/// for a request.
///
/// # Panics
///
/// Panics for engines, whose output is a stream of tokens.
#[must_use]
pub fn run_output(role: Role, run: &RunRequest) -> Box<RawValue> {
    let previous = run.previous.as_ref().map_or("", |value| value.get());
    let seed = rapidhash_v3(run.input.get().as_bytes())
        ^ rapidhash_v3(previous.as_bytes()).rotate_left(17);
    let mut text = String::with_capacity(96);
    let written = match role {
        Role::Encoder => {
            let values = (0..VECTOR_VALUES).map(|i| (seed >> (8 * i)) & 0xff);
            let values = values.collect::<Vec<_>>();
            write!(text, r#"{{"of":"{seed:016x}","vector":{values:?}}}"#)
        }
        Role::Retriever | Role::Reranker => {
            let documents =
                (0..DOCUMENTS).map(|i| seed.rotate_left(7) % 97 + i);
            let mut documents = documents.collect::<Vec<_>>();
            if role == Role::Reranker {
                documents.reverse();
            }
            write!(text, r#"{{"of":"{seed:016x}","documents":{documents:?}}}"#)
        }
        Role::Service => {
            let operation = run.operation.as_deref().unwrap_or_default();
            let operation = serde_json::Value::from(operation);
            write!(
                text,
                r#"{{"receipt":"{seed:016x}","operation":{operation}}}"#
            )
        }
        Role::Engine => panic!("an engine returns tokens"),
    };
    written.expect("writing to a string succeeds");
    RawValue::from_string(text).expect("the output is valid JSON")
}

/// Returns the hashes of the prefixes of an input that an engine caches,
/// shortest first: the first 256 bytes, 512 bytes and so on. An input that
/// is shorter than 256 bytes is its own only prefix.
#[must_use]
pub fn prefix_hashes(input: &str) -> Vec<u64> {
    let bytes = input.as_bytes();
    let mut hashes = Vec::new();
    let mut length = PREFIX_BYTES.min(bytes.len());
    loop {
        hashes.push(rapidhash_v3(&bytes[..length]));
        if length * 2 > bytes.len() || length == 0 {
            return hashes;
        }
        length *= 2;
    }
}
