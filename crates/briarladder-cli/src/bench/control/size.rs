//! Fleet sizes and generated object sets.

use briarladder_core::objects::Object;
use serde_json::{Value, json};

use super::measurement::{Driver, to_f64};

/// Zones per region.
const ZONES_PER_REGION: usize = 2;

/// Name and role of the pools of each region. Backend servers are assigned to
/// them in turn.
const POOLS: [(&str, &str); 4] = [
    ("encoders", "encoder"),
    ("engines", "engine"),
    ("rerankers", "reranker"),
    ("retrievers", "retriever"),
];

/// The size of a fleet.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Size {
    /// Number of daemons.
    pub vms: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of workspaces.
    pub workspaces: usize,
}

/// The target scale of the design.
pub const TARGET: Size =
    Size { vms: 2_500, servers: 10_000, zones: 12, workspaces: 7_000 };

impl Size {
    /// Returns this size with all but the zones divided by `divisor`, but at
    /// least two daemons and one backend server per zone, and one workspace.
    pub fn divided(&self, divisor: usize) -> Size {
        Size {
            vms: (self.vms / divisor).max(2 * self.zones),
            servers: (self.servers / divisor).max(self.zones),
            workspaces: (self.workspaces / divisor).max(1),
            ..*self
        }
    }

    /// Returns the quantity of a driver at this size, 0 for
    /// [`Driver::Fixed`].
    pub fn driver_count(&self, driver: Driver) -> f64 {
        let count = match driver {
            Driver::Daemons => self.vms,
            Driver::ZoneDaemons => self.vms / self.zones,
            Driver::Servers => self.servers,
            Driver::Objects => self.servers + self.workspaces,
            Driver::Workspaces => self.workspaces,
            Driver::Fixed => 0,
        };
        to_f64(count as u64)
    }
}

/// Returns the name of the pool to which a backend server is assigned.
pub fn pool_name(server: usize) -> &'static str {
    POOLS[server % POOLS.len()].0
}

fn region(size: &Size, index: usize) -> Value {
    let zones = ZONES_PER_REGION.min(size.zones - index * ZONES_PER_REGION);
    let servers_per_zone = size.servers / size.zones;
    let zone = |zone: usize| {
        let server = |i: usize| {
            let subnet = 16 + index * ZONES_PER_REGION + zone;
            json!({"name": format!("server-{index}-{zone}-{i:04}"),
                "pool": pool_name(i),
                "address": format!("10.{subnet}.{}.{}:80", i / 250, i % 250)})
        };
        json!({"name": format!("zone-{index}-{zone}"),
            "servers": (0..servers_per_zone).map(server).collect::<Vec<_>>()})
    };
    let pool = |(name, role): &(&str, &str)| {
        let versions: &[&str] =
            if *role == "engine" { &["fold-1"] } else { &[] };
        json!({"name": name, "role": role, "slots_requests": 8,
            "model_versions": versions})
    };
    json!({"kind": "region", "name": format!("region-{index}"),
        "pools": POOLS.iter().map(pool).collect::<Vec<_>>(),
        "zones": (0..zones).map(zone).collect::<Vec<_>>()})
}

/// Returns the objects that configure a fleet of this size. `weight` applies to the first workspace
/// only, so that sets with different weights differ in one object.
pub fn objects(size: &Size, weight: u32) -> anyhow::Result<Vec<Object>> {
    let mut values = vec![
        json!({"kind": "fleet", "ticket_lifetime_ms": 60_000,
            "outcome_retention_ms": 600_000,
            "weight_store_bytes_per_s": 1_000_000_000,
            "ticket_keys": [{"id": 1, "secret_hex": "0".repeat(64)}]}),
        json!({"kind": "rank", "name": "urgent", "order": 0,
            "guaranteed_percent": 50}),
        json!({"kind": "model_version", "name": "fold-1", "model": "fold",
            "weights_bytes": 1}),
        json!({"kind": "stage", "name": "draft", "pool": "engines",
            "work": {"generate": {"model_version": "fold-1",
                "max_tokens": 64}},
            "estimate_ms": 500, "timeout_ms": 2_000}),
    ];
    let pipelines: Vec<String> =
        (0..8).map(|i| format!("pipeline-{i}")).collect();
    values.extend(pipelines.iter().map(|name| {
        json!({"kind": "pipeline", "name": name, "stages": ["draft"],
            "deadline_ms": 5_000, "default_rank": "urgent"})
    }));
    let regions = size.zones.div_ceil(ZONES_PER_REGION);
    values.extend((0..regions).map(|index| region(size, index)));
    values.extend((0..size.workspaces).map(|i| {
        json!({"kind": "workspace", "name": format!("workspace-{i}"),
            "home_region": format!("region-{}", i % regions),
            "pipelines": &pipelines[..3],
            "weight": if i == 0 { weight } else { 1 },
            "max_open_requests": 40, "caller_max_open_requests": 10})
    }));
    let parse = |value| Ok(serde_json::from_value(value)?);
    values.into_iter().map(parse).collect()
}
