use super::{
    super::tests::{piece, queue},
    *,
};

/// Guards against log lines that don't tell why a call leaves with places
/// free while pieces wait.
#[test]
fn choose_batch_reports_limit() {
    let now = Instant::now();
    let server = Arc::from("a");
    let mut queue = queue(&["a", "b"]);
    let limit = |queue: &PieceQueue| queue.choose_batch(now, &server).1;
    queue.push(piece(1, now, 900));
    assert_eq!(limit(&queue), CallLimit::NoneWaiting);
    let mut avoiding = piece(2, now, 900);
    avoiding.avoid = Some(Arc::clone(&server));
    queue.push(avoiding);
    assert_eq!(limit(&queue), CallLimit::OtherServers);
    let mut large = piece(3, now, 900);
    large.result_bytes = 40_000_000;
    queue.push(large);
    assert_eq!(limit(&queue), CallLimit::Memory);
    for id in 4..12 {
        queue.push(piece(id, now, 900));
    }
    assert_eq!(limit(&queue), CallLimit::Full);
}
