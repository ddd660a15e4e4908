//! Reads the head and body of a request, within limits.

use std::{str::FromStr, sync::Arc, time::Duration};

use briarladder_core::{
    ids::RequestId,
    names::{CallerName, PipelineName, WorkspaceName},
};
use briarladder_wire::{
    backend::IDEMPOTENCY_KEY_HEADER,
    callers::{
        CALLER_HEADER, DEADLINE_HEADER, RANK_HEADER, REQUEST_ID_HEADER,
        RequestHead, WORKSPACE_HEADER,
    },
};
use salvo::{Request, http::ParseError};
use serde_json::value::RawValue;

use crate::refusal::{Refusal, RefusalKind};

/// The caller of requests that name none.
const DEFAULT_CALLER: &str = "default";

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Reads what describes a request.
///
/// # Errors
///
/// Returns the first header that breaks a rule.
pub(super) fn head(
    request: &Request,
    pipeline: &str,
) -> Result<RequestHead, Refusal> {
    let pipeline = PipelineName::new(pipeline)
        .map_err(|error| invalid(error.to_string()))?;
    let key = header_text(request, IDEMPOTENCY_KEY_HEADER)?;
    if key.is_some_and(|key| key.len() > MAX_KEY_BYTES) {
        return Err(invalid(format!(
            "header {IDEMPOTENCY_KEY_HEADER} is longer than {MAX_KEY_BYTES} \
             bytes; use a shorter key"
        )));
    }
    Ok(RequestHead {
        request_id: request_id(request)?.unwrap_or_else(RequestId::random),
        pipeline,
        workspace: workspace(request)?,
        caller: match parsed(request, CALLER_HEADER)? {
            Some(caller) => caller,
            // OK because the default is a valid name.
            None => CallerName::new(DEFAULT_CALLER).unwrap(),
        },
        rank: parsed(request, RANK_HEADER)?,
        deadline_ms: parsed(request, DEADLINE_HEADER)?,
        idempotency_key: key.map(Arc::from),
    })
}

/// Reads the identifier that the caller drew, if it did.
///
/// # Errors
///
/// Returns an error when it breaks a rule.
pub(super) fn request_id(
    request: &Request,
) -> Result<Option<RequestId>, Refusal> {
    parsed(request, REQUEST_ID_HEADER)
}

/// Reads the workspace, which every request has to name.
///
/// # Errors
///
/// Returns an error when the header is absent or breaks a rule.
pub(super) fn workspace(request: &Request) -> Result<WorkspaceName, Refusal> {
    parsed(request, WORKSPACE_HEADER)?.ok_or_else(|| {
        invalid(format!(
            "header {WORKSPACE_HEADER} is missing; set it to the name of \
             your workspace"
        ))
    })
}

/// Reads a JSON body.
///
/// # Errors
///
/// Returns an error when the body is too large, comes too slowly or is not
/// JSON.
pub(super) async fn body(
    request: &mut Request,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Arc<RawValue>, Refusal> {
    let read = request.payload_with_max_size(max_bytes);
    let read = tokio::time::timeout(timeout, read).await;
    let bytes = match read {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(ParseError::PayloadTooLarge)) => {
            return Err(Refusal::new(
                RefusalKind::TooLarge,
                format!(
                    "the body is larger than {max_bytes} bytes; send less"
                ),
            ));
        }
        Ok(Err(error)) => {
            return Err(invalid(format!("the body can't be read: {error}")));
        }
        Err(_) => {
            return Err(Refusal::new(
                RefusalKind::TooSlow,
                format!(
                    "the body took longer than {} ms; send it faster",
                    timeout.as_millis()
                ),
            ));
        }
    };
    let json: Box<RawValue> =
        serde_json::from_slice(bytes).map_err(|error| {
            invalid(format!(
                "the body is not JSON: {error}; send one JSON value"
            ))
        })?;
    Ok(Arc::from(json))
}

/// Returns a header's text, if it is present.
pub(super) fn header_text<'a>(
    request: &'a Request,
    name: &str,
) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = request.headers().get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| {
        invalid(format!("header {name} has characters that are not ASCII"))
    })?;
    Ok(Some(text))
}

fn parsed<T: FromStr<Err: std::fmt::Display>>(
    request: &Request,
    name: &str,
) -> Result<Option<T>, Refusal> {
    let Some(text) = header_text(request, name)? else { return Ok(None) };
    text.parse()
        .map(Some)
        .map_err(|error| invalid(format!("header {name}: {error}")))
}

fn invalid(detail: String) -> Refusal {
    Refusal::new(RefusalKind::InvalidRequest, detail)
}
