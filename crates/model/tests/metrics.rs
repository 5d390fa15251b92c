//! The computation of metrics from recorded events.

use juniperwing::time::{Span, Time};
use juniperwing_model::metrics::{MetricsRecorder, Submission, WorstWindow, benefit_fraction};
use juniperwing_model::scenario::{Decay, Semantics, ServiceTimeDistribution, Topic};

fn topic(decay: Decay) -> Topic {
    Topic {
        name: "t".to_owned(),
        traffic_weight: 1.0.into(),
        semantics: Semantics::Idempotent,
        deduplication_window_ms: 0.0,
        is_ordered: false,
        mean_work_ms: 10.0.into(),
        work_cv: 1.0.into(),
        work_distribution: ServiceTimeDistribution::Lognormal,
        attempt_cv: 0.2,
        latency_target_ms: 2_000.0,
        ttl_ms: 16_000.0,
        benefit: 1.0,
        late_benefit_fraction: 0.2,
        decay,
        kinds: Vec::new(),
    }
}

#[test]
fn value_decays_after_the_objective() {
    let at = |decay, ms| (benefit_fraction(&topic(decay), Span::from_millis(ms)) * 1_000.0).round() / 1_000.0;
    assert_eq!([0, 2_000, 9_000, 16_000, 16_001].map(|ms| at(Decay::Linear, ms)), [1.0, 1.0, 0.6, 0.2, 0.0]);
    assert_eq!([2_000, 4_000, 6_000, 12_000].map(|ms| at(Decay::Exponential, ms)), [1.0, 0.5, 0.25, 0.2]);
}

#[test]
fn worst_window_is_found_and_an_empty_run_serves_all() {
    assert_eq!(MetricsRecorder::new(&[], &[]).finish().served, 1.0);
    let mut recorder = MetricsRecorder::new(&["t".to_owned()], &[]);
    for second in 0..40u64 {
        let at = Time::from_nanos(second * 1_000_000_000);
        let submission = Submission { at, topic: 0, account: None, benefit: 1.0 };
        recorder.record_submission(&submission);
        if !(12..17).contains(&second) {
            recorder.record_delivery(&submission, Span::from_millis(100), 1.0);
        }
    }
    let metrics = recorder.finish();
    assert_eq!(
        (metrics.served, metrics.worst_window),
        (35.0 / 40.0, WorstWindow { served: 0.5, start_s: 7 })
    );
    assert_eq!(metrics.topics[0].latency_ms[0].round(), 100.0);
}
