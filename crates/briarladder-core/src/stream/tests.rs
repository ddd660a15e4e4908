use super::*;

const TOKENS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn accept(
    stream: &mut TokenStream,
    attempt: AttemptNumber,
    indexes: impl IntoIterator<Item = u32>,
) -> Vec<TokenOutcome> {
    let token = |index: u32| TOKENS[index as usize].into();
    indexes
        .into_iter()
        .map(|index| stream.accept(attempt, index, token(index)))
        .collect()
}

/// A fault of an engine during a generation.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Crash,
    SkipToken,
    RepeatToken,
    RepeatAll,
    EndEarly,
    EndLate,
    OtherText,
}

/// Fault matrix: two faults in a row at each token, then an engine without
/// faults. Guards against lost or repeated tokens in the response to the
/// caller.
#[test]
fn fault_matrix_keeps_response() {
    let faults = [
        Fault::Crash,
        Fault::SkipToken,
        Fault::RepeatToken,
        Fault::RepeatAll,
        Fault::EndEarly,
        Fault::EndLate,
        Fault::OtherText,
    ];
    for first in faults {
        for second in faults {
            for step in 0..5 {
                let case = format!("{first:?}, {second:?} at {step}");
                let mut stream = TokenStream::new(5);
                let mut forwarded = String::new();
                for fault in [Some(first), Some(second), None] {
                    run_engine(&mut stream, &mut forwarded, fault, step);
                }
                assert!(stream.is_complete(), "{case}");
                assert_eq!(forwarded, "abcde", "{case}");
                assert_eq!(stream.text(), "abcde", "{case}");
            }
        }
    }
}

/// Runs one attempt that resumes after the received tokens, with a fault at
/// token `step`.
fn run_engine(
    stream: &mut TokenStream,
    forwarded: &mut String,
    fault: Option<Fault>,
    step: u32,
) {
    let attempt = stream.begin_attempt();
    let from = stream.received_tokens();
    let mut forward = |stream: &mut TokenStream, index: u32, text: &str| {
        if stream.accept(attempt, index, text.into()) == TokenOutcome::New {
            forwarded.push_str(text);
        }
    };
    for index in from..5 {
        let text = TOKENS[index as usize];
        match fault {
            Some(Fault::Crash) if index == step => return,
            Some(Fault::SkipToken) if index == step => continue,
            Some(Fault::RepeatToken) if index == step => {
                forward(stream, index, text);
            }
            Some(Fault::RepeatAll) if index == step => {
                for known in 0..index {
                    forward(stream, known, TOKENS[known as usize]);
                }
            }
            Some(Fault::EndEarly) if index == step => {
                stream.end(attempt, 5);
                return;
            }
            Some(Fault::OtherText) if index == step && index > 0 => {
                forward(stream, index - 1, "x");
            }
            _ => {}
        }
        forward(stream, index, text);
    }
    let late = matches!(fault, Some(Fault::EndLate));
    stream.end(attempt, if late { 6 } else { 5 });
}

/// Guards against forwarding tokens after a gap.
#[test]
fn accept_stops_at_gap() {
    let mut stream = TokenStream::new(5);
    let attempt = stream.begin_attempt();
    let gap = TokenOutcome::Failed(StreamFault::Gap { expected: 1, index: 2 });
    let accepted = accept(&mut stream, attempt, [0, 2, 1]);
    assert_eq!(accepted, [TokenOutcome::New, gap, gap]);
    let end = stream.end(attempt, 1);
    assert!(matches!(end, EndOutcome::Incomplete { .. }), "{end:?}");
    assert_eq!(stream.resume_tokens(), [Arc::from("a")]);
}

/// Guards against joining two generations that differ.
#[test]
fn accept_stops_at_other_text() {
    let mut stream = TokenStream::new(5);
    let first = stream.begin_attempt();
    accept(&mut stream, first, [0]);
    let second = stream.begin_attempt();
    let fault = TokenOutcome::Failed(StreamFault::Diverged { index: 0 });
    assert_eq!(stream.accept(second, 0, "x".into()), fault);
    assert_eq!(accept(&mut stream, second, [1]), [fault]);
}

/// Guards against accepting tokens of an earlier attempt or after the end.
#[test]
fn accept_drops_late_tokens() {
    let mut stream = TokenStream::new(5);
    let first = stream.begin_attempt();
    let second = stream.begin_attempt();
    assert_eq!(accept(&mut stream, first, [0]), [TokenOutcome::Late]);
    assert_eq!(stream.end(first, 0), EndOutcome::Late);
    assert_eq!(accept(&mut stream, second, [0]), [TokenOutcome::New]);
    assert_eq!(stream.end(second, 1), EndOutcome::Complete);
    assert_eq!(accept(&mut stream, second, [1]), [TokenOutcome::Late]);
    stream.begin_attempt();
    assert!(stream.is_complete());
}

/// Guards against an engine that generates without end.
#[test]
fn accept_bounds_response() {
    let mut stream = TokenStream::new(2);
    let attempt = stream.begin_attempt();
    let fault = TokenOutcome::Failed(StreamFault::TooLong { index: 2 });
    let accepted = accept(&mut stream, attempt, 0..3);
    assert_eq!(accepted, [TokenOutcome::New, TokenOutcome::New, fault]);
}

/// Guards against an incomplete response that counts as complete.
#[test]
fn end_compares_total() {
    for total_tokens in [0, 1, 3, 4] {
        let mut stream = TokenStream::new(5);
        let attempt = stream.begin_attempt();
        accept(&mut stream, attempt, [0, 1]);
        let end = EndOutcome::Incomplete { received_tokens: 2, total_tokens };
        assert_eq!(stream.end(attempt, total_tokens), end);
        assert!(!stream.is_complete());
    }
}
