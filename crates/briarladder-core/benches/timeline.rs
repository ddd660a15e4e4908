//! Measures the cost of recording one event: reading the hybrid logical clock,
//! building the subject, and storing the event in the ring buffer. The target
//! is 20,000 events per second on a small fraction of a core.

use std::{hint::black_box, time::Duration};

use briarladder_core::{
    ids::{Incarnation, RequestId},
    names::{ServerName, StageName, VmName},
    timeline::{EventBuffer, EventKind, EventSubject, Hlc, ProcessId},
};
use criterion::{Criterion, criterion_group, criterion_main};

fn record(c: &mut Criterion) {
    let vm = VmName::new("vm-1").expect("valid name");
    let stage = StageName::new("draft").expect("valid name");
    let server = ServerName::new("engine-1").expect("valid name");
    let process = ProcessId { vm, incarnation: Incarnation(1) };
    let mut buffer = EventBuffer::new(process, 16_384);
    let mut clock = Hlc::new();
    let mut unix_us = 1_700_000_000_000_000;
    c.bench_function("timeline_record", |b| {
        b.iter(|| {
            unix_us += 50;
            let timestamp = clock.tick(Duration::from_micros(unix_us));
            let subject = EventSubject::default()
                .with_request(RequestId(u128::from(unix_us)))
                .with_epoch(7)
                .with_stage(stage.clone())
                .with_server(server.clone());
            let kind = EventKind::Dispatched { attempt: 0 };
            black_box(buffer.record(timestamp, subject, kind))
        });
    });
    println!(
        "event size: {} bytes",
        size_of::<briarladder_core::timeline::Event>()
    );
}

criterion_group!(benches, record);
criterion_main!(benches);
