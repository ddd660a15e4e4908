//! Deadlines, and the place of stages that may run only once.

use super::{CheckErrorKind, Faults, index::ObjectIndex};
use crate::objects::{Object, Pipeline, Stage, parse::LocatedObject};

pub fn check(
    objects: &[&LocatedObject],
    index: &ObjectIndex,
    faults: &mut Faults,
) {
    for at in objects {
        match &at.object {
            Object::Pipeline(pipeline) => {
                check_pipeline(at, pipeline, index, faults);
            }
            Object::Stage(stage) if stage.timeout_ms < stage.estimate_ms => {
                let problem = CheckErrorKind::TimeoutBelowEstimate {
                    timeout_ms: stage.timeout_ms,
                    estimate_ms: stage.estimate_ms,
                };
                faults.add(at, "timeout_ms", problem);
            }
            _ => {}
        }
    }
}

fn check_pipeline(
    at: &LocatedObject,
    pipeline: &Pipeline,
    index: &ObjectIndex,
    faults: &mut Faults,
) {
    if pipeline.stages.is_empty() {
        faults.add(at, "stages", CheckErrorKind::EmptyPipeline);
    }
    let stages: Vec<Option<&Stage>> = pipeline
        .stages
        .iter()
        .map(|name| index.stages.get(name.as_str()).copied())
        .collect();
    let estimates_ms = stages
        .iter()
        .flatten()
        .fold(0_u64, |sum, stage| sum.saturating_add(stage.estimate_ms));
    let deadline_ms = pipeline.deadline_ms;
    if estimates_ms > deadline_ms && deadline_ms > 0 {
        let problem =
            CheckErrorKind::DeadlineTooShort { deadline_ms, estimates_ms };
        faults.add(at, "deadline_ms", problem);
    }
    check_non_idempotent(at, &stages, faults);
}

fn check_non_idempotent(
    at: &LocatedObject,
    stages: &[Option<&Stage>],
    faults: &mut Faults,
) {
    let non_idempotent: Vec<(usize, &Stage)> = stages
        .iter()
        .enumerate()
        .filter_map(|(i, stage)| stage.map(|stage| (i, stage)))
        .filter(|(_, stage)| !stage.idempotent)
        .collect();
    if let [(_, first), others @ ..] = &non_idempotent[..] {
        for (i, second) in others {
            let problem = CheckErrorKind::SecondNonIdempotent {
                first: first.name.as_str().to_owned(),
                second: second.name.as_str().to_owned(),
            };
            faults.add(at, format!("stages[{i}]"), problem);
        }
    }
    // Earlier ones are faults already, as one of several.
    if let Some((i, stage)) = non_idempotent.last()
        && i + 1 < stages.len()
    {
        let stage = stage.name.as_str().to_owned();
        let problem = CheckErrorKind::NonIdempotentNotLast { stage };
        faults.add(at, format!("stages[{i}]"), problem);
    }
}
