//! Checks of deadlines and of the position of non-idempotent stages.

use super::{CheckErrorKind, CheckErrors, index::ObjectIndex};
use crate::objects::{Object, Pipeline, Stage, parse::LocatedObject};

pub fn check(
    objects: &[&LocatedObject],
    index: &ObjectIndex,
    errors: &mut CheckErrors,
) {
    for located in objects {
        match &located.object {
            Object::Pipeline(pipeline) => {
                check_pipeline(located, pipeline, index, errors);
            }
            Object::Stage(stage) if stage.timeout_ms < stage.estimate_ms => {
                let problem = CheckErrorKind::TimeoutBelowEstimate {
                    timeout_ms: stage.timeout_ms,
                    estimate_ms: stage.estimate_ms,
                };
                errors.add(located, "timeout_ms", problem);
            }
            _ => {}
        }
    }
}

fn check_pipeline(
    located: &LocatedObject,
    pipeline: &Pipeline,
    index: &ObjectIndex,
    errors: &mut CheckErrors,
) {
    if pipeline.stages.is_empty() {
        errors.add(located, "stages", CheckErrorKind::EmptyPipeline);
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
        errors.add(located, "deadline_ms", problem);
    }
    check_non_idempotent(located, &stages, errors);
}

fn check_non_idempotent(
    located: &LocatedObject,
    stages: &[Option<&Stage>],
    errors: &mut CheckErrors,
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
            errors.add(located, format!("stages[{i}]"), problem);
        }
    }
    // If there are several, the check above has reported the others.
    if let Some((i, stage)) = non_idempotent.last()
        && i + 1 < stages.len()
    {
        let stage = stage.name.as_str().to_owned();
        let problem = CheckErrorKind::NonIdempotentNotLast { stage };
        errors.add(located, format!("stages[{i}]"), problem);
    }
}
