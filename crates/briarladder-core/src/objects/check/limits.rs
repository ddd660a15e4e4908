//! Limits, weights, shares and ticket keys.

use super::{CheckErrorKind, Faults, FieldPath};
use crate::objects::{
    Fleet, Object, Rank, Stage, Work, Workspace, parse::LocatedObject,
};

/// The digits of a 32-byte key in hexadecimal.
const KEY_DIGITS: usize = 64;

/// All guaranteed shares together, in percent.
const WHOLE_PERCENT: u32 = 100;

pub fn check(objects: &[&LocatedObject], faults: &mut Faults) {
    for at in objects {
        match &at.object {
            Object::Fleet(fleet) => check_fleet(at, fleet, faults),
            Object::Pipeline(pipeline) => {
                not_zero(at, pipeline.deadline_ms, "deadline_ms", faults);
            }
            Object::Stage(stage) => check_stage(at, stage, faults),
            Object::Workspace(workspace) => {
                check_workspace(at, workspace, faults);
            }
            Object::Region(region) => {
                for (i, pool) in region.pools.iter().enumerate() {
                    let field = format!("pools[{i}].slots_requests");
                    not_zero(at, pool.slots_requests, field, faults);
                }
            }
            Object::ModelVersion(_) | Object::Rank(_) => {}
        }
    }
    check_shares(objects, faults);
}

fn not_zero(
    at: &LocatedObject,
    value: impl Into<u64>,
    field: impl Into<FieldPath>,
    faults: &mut Faults,
) {
    if value.into() == 0 {
        faults.add(at, field, CheckErrorKind::Zero);
    }
}

fn check_fleet(at: &LocatedObject, fleet: &Fleet, faults: &mut Faults) {
    if fleet.ticket_keys.is_empty() {
        faults.add(at, "ticket_keys", CheckErrorKind::NoTicketKeys);
    }
    for (i, key) in fleet.ticket_keys.iter().enumerate() {
        let hex = key.secret_hex.bytes().all(|b| b.is_ascii_hexdigit());
        if !hex || key.secret_hex.len() != KEY_DIGITS {
            let field = format!("ticket_keys[{i}].secret_hex");
            faults.add(at, field, CheckErrorKind::BadTicketKey);
        }
    }
    let lifetime_ms = fleet.ticket_lifetime_ms;
    let retention_ms = fleet.outcome_retention_ms;
    not_zero(at, lifetime_ms, "ticket_lifetime_ms", faults);
    let rate = fleet.weight_store_bytes_per_s;
    not_zero(at, rate, "weight_store_bytes_per_s", faults);
    if retention_ms < lifetime_ms {
        let problem = CheckErrorKind::RetentionBelowLifetime {
            retention_ms,
            lifetime_ms,
        };
        faults.add(at, "outcome_retention_ms", problem);
    }
}

fn check_stage(at: &LocatedObject, stage: &Stage, faults: &mut Faults) {
    not_zero(at, stage.timeout_ms, "timeout_ms", faults);
    // A zero estimate would make admission count the stage as free.
    not_zero(at, stage.estimate_ms, "estimate_ms", faults);
    if let Work::Generate { max_tokens, .. } = stage.work {
        not_zero(at, max_tokens, "work.generate.max_tokens", faults);
    }
}

fn check_workspace(
    at: &LocatedObject,
    workspace: &Workspace,
    faults: &mut Faults,
) {
    let caller_requests = workspace.caller_max_open_requests;
    let workspace_requests = workspace.max_open_requests;
    not_zero(at, workspace.weight, "weight", faults);
    not_zero(at, workspace_requests, "max_open_requests", faults);
    not_zero(at, caller_requests, "caller_max_open_requests", faults);
    for (i, caller) in workspace.callers.iter().enumerate() {
        not_zero(at, caller.weight, format!("callers[{i}].weight"), faults);
    }
    if caller_requests > workspace_requests {
        let problem = CheckErrorKind::CallerAboveWorkspace {
            caller_requests,
            workspace_requests,
        };
        faults.add(at, "caller_max_open_requests", problem);
    }
}

fn check_shares(objects: &[&LocatedObject], faults: &mut Faults) {
    let mut ranks: Vec<(&LocatedObject, &Rank)> = objects
        .iter()
        .filter_map(|at| match &at.object {
            Object::Rank(rank) => Some((*at, rank)),
            _ => None,
        })
        .collect();
    ranks.sort_by_key(|(_, rank)| rank.order);
    let share = |rank: &Rank| u32::from(rank.guaranteed_percent);
    let total_percent = ranks.iter().map(|(_, rank)| share(rank)).sum();
    let mut sum = 0;
    for (at, rank) in ranks {
        sum += share(rank);
        if sum > WHOLE_PERCENT {
            let problem = CheckErrorKind::SharesAboveWhole { total_percent };
            faults.add(at, "guaranteed_percent", problem);
            return;
        }
    }
}
