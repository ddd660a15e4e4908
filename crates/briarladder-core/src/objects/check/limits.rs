//! Checks of limits, weights, guaranteed shares and ticket keys.

use super::{CheckErrorKind, CheckErrors, FieldPath};
use crate::objects::{
    Fleet, Object, Rank, Stage, Work, Workspace, parse::LocatedObject,
};

/// The number of hexadecimal digits of a 32-byte key.
const KEY_DIGITS: usize = 64;

/// The maximum sum of all guaranteed shares, in percent.
const WHOLE_PERCENT: u32 = 100;

pub fn check(objects: &[&LocatedObject], errors: &mut CheckErrors) {
    for located in objects {
        match &located.object {
            Object::Fleet(fleet) => check_fleet(located, fleet, errors),
            Object::Pipeline(pipeline) => {
                not_zero(located, pipeline.deadline_ms, "deadline_ms", errors);
            }
            Object::Stage(stage) => check_stage(located, stage, errors),
            Object::Workspace(workspace) => {
                check_workspace(located, workspace, errors);
            }
            Object::Region(region) => {
                for (i, pool) in region.pools.iter().enumerate() {
                    let field = format!("pools[{i}].slots_requests");
                    not_zero(located, pool.slots_requests, field, errors);
                }
            }
            Object::ModelVersion(_) | Object::Rank(_) => {}
        }
    }
    check_shares(objects, errors);
}

fn not_zero(
    located: &LocatedObject,
    value: impl Into<u64>,
    field: impl Into<FieldPath>,
    errors: &mut CheckErrors,
) {
    if value.into() == 0 {
        errors.add(located, field, CheckErrorKind::Zero);
    }
}

fn check_fleet(
    located: &LocatedObject,
    fleet: &Fleet,
    errors: &mut CheckErrors,
) {
    if fleet.ticket_keys.is_empty() {
        errors.add(located, "ticket_keys", CheckErrorKind::NoTicketKeys);
    }
    for (i, key) in fleet.ticket_keys.iter().enumerate() {
        let hex = key.secret_hex.bytes().all(|b| b.is_ascii_hexdigit());
        if !hex || key.secret_hex.len() != KEY_DIGITS {
            let field = format!("ticket_keys[{i}].secret_hex");
            errors.add(located, field, CheckErrorKind::BadTicketKey);
        }
    }
    let lifetime_ms = fleet.ticket_lifetime_ms;
    let retention_ms = fleet.outcome_retention_ms;
    not_zero(located, lifetime_ms, "ticket_lifetime_ms", errors);
    let rate = fleet.weight_store_bytes_per_s;
    not_zero(located, rate, "weight_store_bytes_per_s", errors);
    if retention_ms < lifetime_ms {
        let problem = CheckErrorKind::RetentionBelowLifetime {
            retention_ms,
            lifetime_ms,
        };
        errors.add(located, "outcome_retention_ms", problem);
    }
}

fn check_stage(
    located: &LocatedObject,
    stage: &Stage,
    errors: &mut CheckErrors,
) {
    not_zero(located, stage.timeout_ms, "timeout_ms", errors);
    // With an estimate of zero, admission would assume that the stage takes
    // no time.
    not_zero(located, stage.estimate_ms, "estimate_ms", errors);
    if let Work::Generate { max_tokens, .. } = stage.work {
        not_zero(located, max_tokens, "work.generate.max_tokens", errors);
    }
}

fn check_workspace(
    located: &LocatedObject,
    workspace: &Workspace,
    errors: &mut CheckErrors,
) {
    let caller_requests = workspace.caller_max_open_requests;
    let workspace_requests = workspace.max_open_requests;
    not_zero(located, workspace.weight, "weight", errors);
    not_zero(located, workspace_requests, "max_open_requests", errors);
    not_zero(located, caller_requests, "caller_max_open_requests", errors);
    for (i, caller) in workspace.callers.iter().enumerate() {
        not_zero(
            located,
            caller.weight,
            format!("callers[{i}].weight"),
            errors,
        );
    }
    if caller_requests > workspace_requests {
        let problem = CheckErrorKind::CallerAboveWorkspace {
            caller_requests,
            workspace_requests,
        };
        errors.add(located, "caller_max_open_requests", problem);
    }
}

fn check_shares(objects: &[&LocatedObject], errors: &mut CheckErrors) {
    let mut ranks: Vec<(&LocatedObject, &Rank)> = objects
        .iter()
        .filter_map(|located| match &located.object {
            Object::Rank(rank) => Some((*located, rank)),
            _ => None,
        })
        .collect();
    ranks.sort_by_key(|(_, rank)| rank.order);
    let share = |rank: &Rank| u32::from(rank.guaranteed_percent);
    let total_percent = ranks.iter().map(|(_, rank)| share(rank)).sum();
    let mut sum = 0;
    for (located, rank) in ranks {
        sum += share(rank);
        if sum > WHOLE_PERCENT {
            let problem = CheckErrorKind::SharesAboveWhole { total_percent };
            errors.add(located, "guaranteed_percent", problem);
            return;
        }
    }
}
