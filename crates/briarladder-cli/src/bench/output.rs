//! Stage requests, and the output that each response must have. The stand-ins
//! compute their outputs from the request alone.

use std::sync::Arc;

use briarladder_core::{
    ids::RequestId,
    objects::{Role, Stage, Work},
};
use briarladder_standins::output;
use briarladder_wire::backend::RunRequest;
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};

use super::deployment::ResolvedPipeline;

/// The output of a generation, in the daemon's format.
#[derive(Serialize)]
struct Generated<'a> {
    text: &'a str,
    total_tokens: usize,
}

/// Returns the expected output of a pipeline for an input.
pub(super) fn expected_output(
    pipeline: &ResolvedPipeline,
    input: &Arc<RawValue>,
) -> Arc<RawValue> {
    let mut previous = None;
    for stage in &pipeline.stages {
        let request =
            run_request(stage, RequestId(0), input, previous.as_ref());
        previous = Some(match &stage.work {
            Work::Generate { max_tokens, .. } => {
                generation_output(&output::tokens(input.get(), *max_tokens))
            }
            work => Arc::from(output::run_output(work.role(), &request)),
        });
    }
    // OK because a checked pipeline has at least one stage.
    previous.unwrap()
}

/// Returns the request of the first attempt at a stage.
pub(super) fn run_request(
    stage: &Stage,
    request_id: RequestId,
    input: &Arc<RawValue>,
    previous: Option<&Arc<RawValue>>,
) -> RunRequest {
    let (model_version, max_tokens) = match &stage.work {
        Work::Generate { model_version, max_tokens } => {
            (Some(model_version.clone()), Some(*max_tokens))
        }
        _ => (None, None),
    };
    let operation = match &stage.work {
        Work::Call { operation } => Some(Arc::from(operation.as_str())),
        _ => None,
    };
    RunRequest {
        request_id,
        stage: stage.name.clone(),
        attempt: 0,
        epoch: 1,
        priority: 0,
        deadline_ms: stage.timeout_ms,
        model_version,
        max_tokens,
        resume_tokens: Vec::new(),
        operation,
        input: Arc::clone(input),
        previous: previous.cloned(),
    }
}

/// Returns the output of a generation with these tokens.
pub(super) fn generation_output<T: AsRef<str>>(tokens: &[T]) -> Arc<RawValue> {
    let text: String = tokens.iter().map(AsRef::as_ref).collect();
    let output = Generated { text: &text, total_tokens: tokens.len() };
    // OK because only maps with keys that are not strings can't be
    // serialized.
    Arc::from(to_raw_value(&output).unwrap())
}

/// Returns whether a stage is a generation, which runs on engines.
pub(super) fn is_generation(stage: &Stage) -> bool {
    stage.work.role() == Role::Engine
}
