//! Time-outs, the cutoff, and what is answered at once for want of time.

use std::fmt::Write;

use expect_test::expect;
use juniperwing::interface::CallStatus;
use juniperwing::rules::Fit;
use juniperwing::time::Span;

use crate::helper::Rig;

/// The paper's own example (Table 1): best at three restarts, whatever more pushes are allowed.
#[test]
fn algorithm_2_on_the_papers_example() {
    let fit = Fit { mu: -2.3, sigma: 0.97 };
    let mut trace = String::new();
    for pushes in [1, 2, 3, 4, 5, 8] {
        let time_out = fit.timeout(Span::from_millis(700), pushes);
        writeln!(trace, "{pushes} pushes: {} ms", time_out.as_nanos() / 1_000_000).expect("a string");
    }
    expect![[r#"
        1 pushes: 700 ms
        2 pushes: 350 ms
        3 pushes: 233 ms
        4 pushes: 175 ms
        5 pushes: 175 ms
        8 pushes: 175 ms
    "#]]
    .assert_eq(&trace);
}

/// With a TTL of many medians the chance of success is 1 in floating point; the search must not stop there.
#[test]
fn algorithm_2_where_success_is_all_but_sure() {
    let time_out = Fit { mu: -2.3, sigma: 0.6 }.timeout(Span::from_millis(16_000), 8);
    expect!["2000 ms"].assert_eq(&format!("{} ms", time_out.as_nanos() / 1_000_000));
    // A tenth of a millisecond, as on one machine: the chance of a miss is 0 in floating point.
    let time_out = Fit { mu: -9.2, sigma: 0.25 }.timeout(Span::from_millis(4_000), 8);
    expect!["500 ms"].assert_eq(&format!("{} ms", time_out.as_nanos() / 1_000_000));
}

#[test]
fn cutoff_answers_at_once_what_has_less_time_left_than_a_usual_call() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.warm(1, 6, 400);
    rig.accept(10, "safe", None, 300);
    rig.accept(11, "safe", None, 900);
    expect![[r#"
        2400   throttle 10
        2400   push 11 to a for 900 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// What waits is looked at when its time has come, however often the time after which it is vain has changed.
#[test]
fn a_full_hold_asks_for_few_wake_ups() {
    let mut rig = Rig::new(1, 1, &[("a", "z")]);
    rig.warm(1, 6, 100);
    for id in 100..140 {
        rig.accept(id, "once", None, 16_000);
        rig.pass_woken(10);
    }
    for latency in 1..=20 {
        rig.pass_woken(10 * latency);
        rig.end(rig.oldest(), CallStatus::Delivered);
    }
    let wakes = rig.pass_woken(16_000);
    assert!(wakes < 100, "{wakes} wake-ups for 20 notifications");
    assert_eq!(rig.trace.lines().filter(|line| line.contains("throttle")).count(), 19);
}

/// Calls cut short say that a call lasts longer, not how long: the fit's word beyond what was ever delivered must
/// not end what has all its time, or nothing would be sent again and nothing learned.
#[test]
fn calls_cut_short_do_not_have_all_that_comes_given_up() {
    let mut rig = Rig::new(8, 1, &[("a", "z")]);
    rig.warm(1, 6, 100);
    for id in 10..18 {
        rig.accept(id, "once", None, 16_000);
        rig.pass(10);
    }
    rig.pass(15_990);
    for id in rig.out_now() {
        rig.end(id, CallStatus::TimedOut);
    }
    rig.pass(20_000);
    rig.trace.clear();
    rig.accept(30, "safe", None, 16_000);
    rig.pass_until_out(30);
    expect![[r#"
        36670  push 30 to a for 2000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A told wait, or a pause, that ends after the time of a notification: it is answered at once, not held until near
/// its TTL, whether it waits already or comes later.
#[test]
fn what_cannot_go_in_time_is_answered_at_once() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.accept(1, "safe", None, 16_000);
    rig.accept(2, "safe", None, 9_000);
    rig.end(2, CallStatus::NoConnection);
    rig.refuse(1, Span::from_millis(12_000));
    rig.pass(100);
    rig.accept(3, "safe", None, 8_000);
    rig.accept(4, "safe", None, 30_000);
    rig.pass_until_out(4);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to a for 9000 ms
        0      recall what is not out to a
        0      throttle 2
        100    throttle 3
        12270  push 4 to a for 17830 ms
    "#]]
    .assert_eq(&rig.trace);
}
