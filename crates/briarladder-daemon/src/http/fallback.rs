//! Problem details for requests that no handler accepts, such as those to an
//! unknown path.

use briarladder_wire::callers::{Outcome, Problem};
use salvo::{Response, handler, http::StatusCode};

use super::respond;

/// Writes problem details for a response that has a status and no body.
#[handler]
pub(super) fn write_problem(response: &mut Response) {
    let status = response.status_code.unwrap_or(StatusCode::NOT_FOUND);
    let (title, detail) = match status {
        StatusCode::NOT_FOUND => (
            "There is no such endpoint",
            "the path is not part of the interface; docs/callers.md lists \
             the endpoints",
        ),
        StatusCode::METHOD_NOT_ALLOWED => (
            "The method is not allowed",
            "the endpoint does not accept this method; docs/callers.md lists \
             the endpoints",
        ),
        _ => (
            "The request can't be processed",
            "the request could not be parsed; docs/callers.md describes the \
             endpoints",
        ),
    };
    let problem = Problem {
        kind: "/problems/unknown-call".into(),
        title: title.into(),
        status: status.as_u16(),
        detail: detail.into(),
        outcome: Outcome::NotRun,
        request_id: None,
        retry_after_ms: None,
    };
    respond::problem(response, &problem);
}
