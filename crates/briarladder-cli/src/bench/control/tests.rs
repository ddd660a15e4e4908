//! Tests the allowances for HTTP and JSON-RPC against captured bytes, and the
//! platform calls of a restarting zone.

use std::{net::SocketAddr, time::Duration};

use briarladder_core::config::{
    Bundle, ManifestResponse, ManifestSelector, READERS_PER_ZONE,
};
use briarladder_daemon::{backend::BackendClient, peers::PeerClient};
use briarladder_wire::peers::{ManifestQuery, PEER_KEY_HEADER};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{
    loopback::restart_zone,
    measurement::{
        GET_REQUEST_BYTES, GET_RESPONSE_BYTES, RPC_REQUEST_BYTES,
        RPC_RESPONSE_BYTES,
    },
};
use crate::{
    fleet::{Fleet, FleetSettings},
    samples::Sample,
};

/// A key of the length that operators are told to use.
const KEY: &str = "loopback-demo-peer-key";

/// Returns the bytes that arrive until the stream pauses for 200 ms or ends.
async fn read_available(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(Ok(count)) = tokio::time::timeout(
        Duration::from_millis(200),
        stream.read(&mut buffer),
    )
    .await
    {
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
    bytes
}

/// Returns the bytes of the first request to a listener.
async fn capture_request(listener: TcpListener) -> Vec<u8> {
    let (mut stream, _) = listener.accept().await.unwrap();
    read_available(&mut stream).await
}

async fn send_request(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request).await.unwrap();
    read_available(&mut stream).await
}

fn assert_allowance(captured: usize, body: usize, allowance: usize) {
    let framing = captured - body;
    assert!(
        (allowance / 2..=allowance).contains(&framing),
        "{framing} bytes of framing, {allowance} allowed"
    );
}

/// Guards against an allowance that is too low, or so high that it dominates
/// the body: it must be at most twice the framing that is sent.
#[tokio::test]
async fn framing_fits_captured_messages() {
    let objects = Sample::Dobradura.objects().unwrap();
    let fleet = Fleet::start(objects, FleetSettings::default());
    let fleet = fleet.await.unwrap();

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = PeerClient::new(&KEY.parse().unwrap()).unwrap();
    let query = ManifestQuery { which: ManifestSelector::Newest, have: None };
    let (request, _) = tokio::join!(
        capture_request(listener),
        client.config_manifest(address, query)
    );
    let text = String::from_utf8_lossy(&request);
    assert!(text.contains(PEER_KEY_HEADER), "{text}");
    let body = serde_json::to_vec(&query).unwrap().len();
    assert_allowance(request.len(), body, RPC_REQUEST_BYTES);

    let peer = fleet.daemons()[0].daemon();
    let response = send_request(peer.peer_address, &request).await;
    let manifest_response = peer
        .config
        .with(|store| store.manifest_for(ManifestSelector::Newest, None));
    assert!(matches!(manifest_response, ManifestResponse::Full(_)));
    let body = serde_json::to_vec(&manifest_response).unwrap().len();
    assert_allowance(response.len(), body, RPC_RESPONSE_BYTES);

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = BackendClient::new(1 << 20).unwrap();
    let (request, _) =
        tokio::join!(capture_request(listener), client.load(address));
    assert_allowance(request.len(), 0, GET_REQUEST_BYTES);

    let backend = fleet.cluster().backends()[0].address();
    let response = send_request(backend, &request).await;
    let body =
        response.windows(4).position(|window| window == b"\r\n\r\n").unwrap()
            + 4;
    assert_allowance(body, 0, GET_RESPONSE_BYTES);
    fleet.stop().await;
}

/// Guards against a restarting zone in which every daemon reads every chunk
/// from the platform, which is 52,000 calls at once at the target scale.
#[tokio::test]
async fn only_readers_of_restarting_zone_read_chunks() {
    let objects = Sample::Dobradura.objects().unwrap();
    let settings =
        FleetSettings { daemons_per_zone: 6, ..FleetSettings::default() };
    let mut fleet = Fleet::start(objects, settings).await.unwrap();
    let bundle = Bundle::new(1, fleet.cluster().objects()).unwrap();
    let calls = restart_zone(&mut fleet, 1).await.unwrap();
    let max_reads = READERS_PER_ZONE * bundle.chunks.len();
    assert!(
        calls.chunks <= max_reads as u64,
        "{calls:?}, at most {max_reads}"
    );
    assert!(calls.chunks > 0, "{calls:?}");
    fleet.stop().await;
}
