//! The recorded calls of plain services.

mod common;

use briarladder_core::objects::Role;
use briarladder_standins::{
    fault::Fault,
    output,
    service::{Service, ServiceSettings},
};
use briarladder_wire::backend::{CallRecord, RunRequest, RunResponse};
use common::{SHORT_DELAY, get, request, run_with_key, server};
use tokio::time::{sleep, timeout};

async fn service(deduplicates: bool) -> Service {
    let mut settings = ServiceSettings::new(server(4));
    settings.service_time = SHORT_DELAY;
    settings.deduplicates = deduplicates;
    Service::start(settings).await.unwrap()
}

fn booking() -> RunRequest {
    let mut request = request("{\"seats\":2}");
    request.operation = Some("book".into());
    request
}

async fn record(service: &Service, key: &str) -> CallRecord {
    let path = format!("/v1/calls/{key}");
    get(service.address(), &path).await.unwrap().json().await.unwrap()
}

/// Guards against a record whose state lags behind the call, or whose output
/// differs from the response.
#[tokio::test]
async fn call_is_recorded() {
    let service = service(false).await;
    let request = booking();
    assert!(matches!(record(&service, "k").await, CallRecord::NeverSeen));
    let during = async {
        sleep(SHORT_DELAY / 2).await;
        record(&service, "k").await
    };
    let call = run_with_key(service.address(), &request, "k");
    let (response, during) = tokio::join!(call, during);
    assert!(matches!(during, CallRecord::Running));
    let response: RunResponse = response.unwrap().json().await.unwrap();
    let expected = output::run_output(Role::Service, &request);
    assert_eq!(response.output.get(), expected.get());
    let CallRecord::Done { output } = record(&service, "k").await else {
        panic!("the call is not recorded as done");
    };
    assert_eq!(output.get(), expected.get());
}

/// Guards against a journal that misses a repeated call.
#[tokio::test]
async fn repeated_call_shows_in_journal() {
    let service = service(false).await;
    for key in ["once", "twice", "twice"] {
        run_with_key(service.address(), &booking(), key).await.unwrap();
    }
    let journal = service.journal();
    assert_eq!(journal.count_by_key("once"), 1);
    assert_eq!(journal.count_by_key("twice"), 2);
    assert_eq!(journal.duplicate_keys(), ["twice".into()]);
}

/// Guards against a deduplicating service that runs a known key again.
#[tokio::test]
async fn deduplication_returns_recorded_output() {
    let service = service(true).await;
    let address = service.address();
    let request = booking();
    let (first, second) =
        tokio::join!(run_with_key(address, &request, "k"), async {
            sleep(SHORT_DELAY / 2).await;
            run_with_key(address, &request, "k").await
        });
    assert_eq!(first.unwrap().status(), 200);
    assert_eq!(second.unwrap().status(), 409);
    let third = run_with_key(address, &request, "k").await.unwrap();
    assert_eq!(third.status(), 200);
    assert_eq!(service.journal().count_by_key("k"), 1);
    assert_eq!(
        service.journal().count_by_stage(request.request_id, "stage-1"),
        1
    );
}

/// Guards against a call that is cancelled when its caller disconnects.
#[tokio::test]
async fn call_survives_disconnect() {
    let service = service(false).await;
    let request = booking();
    let call = run_with_key(service.address(), &request, "k");
    assert!(timeout(SHORT_DELAY / 2, call).await.is_err());
    sleep(SHORT_DELAY).await;
    assert!(matches!(record(&service, "k").await, CallRecord::Done { .. }));
}

/// Guards against a crash that erases the record of a call that ran.
#[tokio::test]
async fn record_survives_crash() {
    let service = service(false).await;
    service.faults().add_for_next(1, Fault::Crash);
    let call = run_with_key(service.address(), &booking(), "k").await;
    assert!(call.is_err());
    service.restart().await.unwrap();
    assert!(matches!(record(&service, "k").await, CallRecord::Done { .. }));
    assert_eq!(service.journal().count_by_key("k"), 1);
}
