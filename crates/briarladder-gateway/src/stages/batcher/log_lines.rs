//! The log lines of failed pieces.

use std::sync::Arc;

use super::{super::piece_group::Piece, QueueKey};

/// Logs the failure of a call for one of its pieces, under the id of the
/// piece's request.
pub(super) fn log_call_failed(
    key: &QueueKey,
    server: &Arc<str>,
    piece: &Piece,
    cause: &str,
) {
    if !piece.is_finished() {
        log::info!(
            "pieces: id={} stage={} piece={} service={} server={server} \
             outcome=call_failed tries={} cause={cause:?}",
            piece.task().attempt,
            piece.task().stage,
            piece.number(),
            key.service,
            piece.attempts
        );
    }
}

/// Logs the failure of a piece under the id of its request.
pub(super) fn log_piece_failed(
    key: &QueueKey,
    server: &Arc<str>,
    piece: &Piece,
    outcome: &'static str,
) {
    if !piece.is_finished() {
        log::info!(
            "pieces: id={} stage={} piece={} service={} server={server} \
             outcome={outcome} tries={}",
            piece.task().attempt,
            piece.task().stage,
            piece.number(),
            key.service,
            piece.attempts
        );
    }
}
