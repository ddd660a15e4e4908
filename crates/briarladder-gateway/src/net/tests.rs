//! Tests of when a connection counts as dead.

use super::*;

/// How long a sound peer may be silent.
const MAX_SILENCE: Duration = Duration::from_millis(1900);

/// Returns when Linux closes a connection after the last bytes of its peer, as
/// `tcp_keepalive_timer` decides: at a probe's turn, once one probe is
/// unanswered and the user timeout has passed.
fn closed_after() -> (Duration, u32) {
    let mut elapsed = KEEPALIVE_IDLE_TIME;
    let mut unanswered = 0;
    while unanswered == 0 || elapsed < UNACKNOWLEDGED_TIMEOUT {
        unanswered += 1;
        elapsed += KEEPALIVE_INTERVAL;
    }
    (elapsed, unanswered)
}

/// Guards against a user timeout that closes connections of a sound peer which
/// is silent for a moment, before the number of probes has been sent.
#[test]
fn keepalive_tolerates_short_silence() {
    let (closed_after, unanswered) = closed_after();
    assert_eq!(unanswered, KEEPALIVE_PROBES);
    // A silence that all probes fall into lasts from the first to the last.
    let probed = KEEPALIVE_INTERVAL * (unanswered - 1);
    assert!(probed >= MAX_SILENCE, "{probed:?}");
    assert!(closed_after <= Duration::from_secs(4), "{closed_after:?}");
}

/// Guards against a request that is lost since it was sent while its peer was
/// silent for a moment: Linux sends it again after 0.2, 0.6, 1.4 and 3 s.
#[test]
fn unacknowledged_tolerates_short_silence() {
    let sent_again = [200, 600, 1400, 3000].map(Duration::from_millis);
    let sent_after =
        sent_again.into_iter().find(|after| *after > MAX_SILENCE).unwrap();
    assert!(sent_after < UNACKNOWLEDGED_TIMEOUT, "{sent_after:?}");
}
