use briarladder_core::fleet::caller_memory::{CONNECTION_BYTES, RUN_BYTES};

use super::*;

/// The buffers of hyper for the connections to the caller and to the server:
/// one to read and one to write each.
const BUFFERS_BYTES: usize = 4 * 8 * 1024;

/// The tasks of both connections, heads and small allocations.
const OTHER_BYTES: usize = 8 * 1024;

/// Returns the size of what an asynchronous function returns.
fn future_bytes<A, B, C, D, F>(_: fn(A, B, C, D) -> F) -> usize {
    size_of::<F>()
}

/// Guards against a request whose future grows beyond what is charged for a
/// request that runs.
#[test]
fn serve_fits_charge() {
    let charged_bytes = CONNECTION_BYTES + RUN_BYTES;
    let future_bytes = future_bytes(serve);
    let held_bytes = BUFFERS_BYTES + OTHER_BYTES + future_bytes;
    assert!(held_bytes <= charged_bytes, "the future has {future_bytes}");
}
