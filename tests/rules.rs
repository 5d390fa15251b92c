//! Short traces of decisions, compared with kept ones.

mod helper;

use std::fmt::Write;

use expect_test::expect;
use helper::{Rig, terms};
use juniperwing::interface::{Event, LimitReport, News, NtfId, Past, Readiness, Status};
use juniperwing::rules::Fit;
use juniperwing::time::Span;

/// The paper's own example (Table 1): best at three restarts, whatever more pushes are allowed.
#[test]
fn algorithm_2_on_the_papers_example() {
    let fit = Fit { mu: -2.3, sigma: 0.97 };
    let mut trace = String::new();
    for pushes in [1, 2, 3, 4, 5, 8] {
        let time_out = fit.time_out(Span::from_millis(700), pushes);
        writeln!(trace, "{pushes} pushes: {} ms", time_out.nanos() / 1_000_000).expect("a string");
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
    let time_out = Fit { mu: -2.3, sigma: 0.6 }.time_out(Span::from_millis(16_000), 8);
    expect!["2000 ms"].assert_eq(&format!("{} ms", time_out.nanos() / 1_000_000));
    // A tenth of a millisecond, as on one machine: the chance of a miss is 0 in floating point.
    let time_out = Fit { mu: -9.2, sigma: 0.25 }.time_out(Span::from_millis(4_000), 8);
    expect!["500 ms"].assert_eq(&format!("{} ms", time_out.nanos() / 1_000_000));
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

#[test]
fn once_only_has_one_push_that_may_have_run() {
    let mut rig = Rig::new(4, 1, &[("a", "z"), ("b", "z")]);
    rig.accept(1, "once", None, 16_000);
    rig.end(1, Status::NoConnection);
    rig.pass(300);
    rig.end(1, Status::Error);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        90     push 1 to b for 15910 ms
        300    expire 1
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn collapsible_restarts_only_in_its_group_and_window() {
    let mut rig = Rig::new(4, 1, &[("a", "z"), ("b", "y"), ("c", "z")]);
    rig.accept(1, "mark", None, 16_000);
    rig.end(1, Status::Reset);
    rig.pass(3_700);
    rig.end(1, Status::Error);
    rig.pass(200);
    rig.end(1, Status::Error);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 1 to c for 16000 ms
        3700   push 1 to a for 12300 ms
        3900   expire 1
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn one_key_goes_one_at_a_time_and_rests_after_doubt() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    for id in 1..=3 {
        rig.accept(id, "once", Some("k"), 16_000);
    }
    rig.pass(100);
    rig.end(1, Status::Reset);
    rig.pass(400);
    rig.end(2, Status::Delivered);
    rig.pass(10);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        100    expire 1
        400    push 2 to a for 15600 ms
        500    push 3 to a for 15500 ms
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn drains_are_kept_and_a_broken_list_is_asked_for_again() {
    let mut rig = Rig::new(4, 1, &[("a", "z"), ("b", "z")]);
    let entries = vec![rig.entry("a", "z", Readiness::Draining)];
    rig.give(Event::List(News::Changes(entries)));
    for id in 1..=3 {
        rig.accept(id, "safe", None, 16_000);
    }
    let entries = vec![rig.entry("c", "z", Readiness::Serving)];
    rig.give(Event::List(News::Whole(entries)));
    rig.accept(4, "safe", None, 16_000);
    rig.give(Event::List(News::Broken));
    rig.pass(1_000);
    expect![[r#"
        0      subscribe
        0      push 1 to b for 16000 ms
        0      push 2 to b for 16000 ms
        180    subscribe
    "#]]
    .assert_eq(&rig.trace);
}

/// Where it counts as told at once, each moment without a watch may miss a drain; else a list out of reach is asked
/// for ever more rarely, and word from it ends that. Whatever `ask_every` is, the first pause is short, and not none.
#[test]
fn a_list_out_of_reach_is_asked_for_soon_where_it_is_pushed_and_ever_later_where_it_is_not() {
    let mut trace = String::new();
    for (pushed, ask_every) in [(true, 10_000), (false, 10_000), (false, 60_000), (false, 0)] {
        let mut terms = terms(2, 4);
        (terms.fleet.list_pushed, terms.figures.ask_every) = (pushed, Span::from_millis(ask_every));
        let mut rig = Rig::with(terms, 1, &[("a", "z")]);
        let mut pauses = Vec::new();
        for broken in 0..6 {
            if broken == 4 {
                rig.give(Event::List(News::Changes(Vec::new())));
            }
            rig.trace.clear();
            rig.give(Event::List(News::Broken));
            let mut ms = 0;
            while rig.trace.is_empty() && ms < 20_000 {
                rig.pass(10);
                ms += 10;
            }
            pauses.push(ms);
        }
        writeln!(trace, "pushed {pushed}, ask every {ask_every} ms: {pauses:?}").expect("a string");
    }
    expect![[r#"
        pushed true, ask every 10000 ms: [180, 260, 280, 200, 170, 210]
        pushed false, ask every 10000 ms: [180, 2050, 4370, 3160, 170, 1620]
        pushed false, ask every 60000 ms: [180, 2050, 4370, 3160, 170, 1620]
        pushed false, ask every 0 ms: [20, 210, 440, 320, 20, 170]
    "#]]
    .assert_eq(&trace);
}

/// Before a planned restart: what would be out of time by the next process is handed back at once, with a time to come
/// back; the rest is held for it. What is out may end.
#[test]
fn with_no_slots_any_more_what_the_next_process_could_not_push_in_time_is_handed_back_at_once() {
    let mut rig = Rig::new(1, 1, &[("a", "z")]);
    for (id, ttl) in [(1, 16_000), (2, 2_000), (3, 16_000)] {
        rig.accept(id, "safe", None, ttl);
    }
    rig.accept(4, "once", Some("k"), 16_000);
    rig.accept(5, "once", Some("k"), 1_500);
    rig.pass(100);
    rig.give(Event::Slots(0));
    rig.accept(6, "safe", None, 2_200);
    rig.accept(7, "safe", None, 2_400);
    rig.pass(50);
    rig.end(1, Status::Delivered);
    rig.accept(8, "mark", None, 900);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        100    throttle 5
        100    throttle 2
        100    throttle 6
        150    throttle 8
    "#]]
    .assert_eq(&rig.trace);
}

/// What an earlier life left untried has waited longest: it goes before what has come since, past its objective too.
#[test]
fn what_a_restart_finds_untried_goes_before_what_has_come_since() {
    let mut rig = Rig::new(1, 1, &[("a", "z")]);
    for id in [1, 2] {
        rig.resume(id, "safe", None, Past { taken_up: true, ..Past::default() });
    }
    rig.accept(3, "safe", None, 16_000);
    rig.pass(2_100);
    rig.accept(4, "safe", None, 16_000);
    for id in [1, 2, 4] {
        rig.end(id, Status::Delivered);
    }
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        2100   push 2 to a for 13900 ms
        2100   push 4 to a for 16000 ms
        2100   push 3 to a for 13900 ms
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn waits_are_heeded_for_the_whole_destination() {
    let mut rig = Rig::new(4, 1, &[("a", "z"), ("b", "z")]);
    rig.accept(1, "safe", None, 16_000);
    rig.accept(2, "safe", None, 16_000);
    rig.refuse(1, Span::from_millis(800));
    rig.refuse(2, Span::from_millis(300));
    rig.pass(9_000);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to b for 16000 ms
        0      recall what is not out to a
        0      recall what is not out to b
        0      recall what is not out to a
        0      recall what is not out to b
        1500   push 2 to a for 14500 ms
        3000   push 1 to b for 13000 ms
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn what_is_withdrawn_or_settled_is_passed_over() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.accept(1, "safe", None, 16_000);
    rig.give(Event::Withdrawn(NtfId(1)));
    rig.end(1, Status::TimedOut);
    rig.give(Event::Withdrawn(NtfId(1)));
    rig.pass(1_000);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A silent endpoint is set aside before any time-out, then tried by a trickle that doubles when it is back.
#[test]
fn a_silent_destination_gets_a_trickle_and_is_not_pushed_over() {
    let mut rig = Rig::new(8, 1, &[("a", "z")]);
    rig.warm(1, 20, 100);
    for id in 100..103 {
        rig.accept(id, "safe", None, 30_000);
    }
    rig.pass(500);
    for id in 103..116 {
        rig.accept(id, "safe", None, 30_000);
    }
    rig.pass(2_900);
    rig.end(rig.oldest(), Status::Delivered);
    rig.pass(2_000);
    expect![[r#"
        2000   push 100 to a for 3750 ms
        2000   push 101 to a for 3750 ms
        2000   push 102 to a for 3750 ms
        2500   push 103 to a for 3750 ms
        2500   push 104 to a for 3750 ms
        2500   push 105 to a for 3750 ms
        2500   push 106 to a for 3750 ms
        2500   push 107 to a for 3750 ms
        2750   cancel push 0 of 100
        2750   cancel push 0 of 101
        2750   cancel push 0 of 102
        2760   push 100 to a for 4177 ms
        2760   push 101 to a for 4177 ms
        2760   a set aside
        5400   a is back
        5640   push 102 to a for 3765 ms
        6390   push 108 to a for 3263 ms
        6390   cancel push 1 of 102
        6390   cancel push 0 of 104
        6390   cancel push 0 of 105
        6390   cancel push 0 of 106
        6390   cancel push 0 of 107
        6400   a set aside
    "#]]
    .assert_eq(&rig.trace);
}

/// When all slots are taken, calls long overdue are called off; once-only ones never are.
#[test]
fn overdue_calls_are_called_off_for_want_of_slots() {
    let mut rig = Rig::new(4, 1, &[("a", "z"), ("b", "z")]);
    rig.warm(1, 20, 100);
    rig.accept(100, "once", None, 16_000);
    for id in 101..106 {
        rig.accept(id, "safe", None, 16_000);
    }
    rig.pass(1_000);
    expect![[r#"
        2000   push 100 to a for 16000 ms
        2000   push 101 to b for 2000 ms
        2000   push 102 to a for 2000 ms
        2000   push 103 to b for 2000 ms
        2750   cancel push 0 of 101
        2750   cancel push 0 of 102
        2750   cancel push 0 of 103
        2760   push 101 to a for 2177 ms
        2760   push 102 to b for 2177 ms
        2760   push 103 to a for 2177 ms
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn calls_are_filled_before_they_go() {
    let mut rig = Rig::new(4, 3, &[("a", "z")]);
    for id in 1..=4 {
        rig.accept(id, "safe", None, 16_000);
        rig.pass(10);
    }
    rig.pass(1_000);
    expect![[r#"
        0      subscribe
        20     push 1 to a for 15980 ms
        20     push 2 to a for 15980 ms
        20     push 3 to a for 15980 ms
        1030   push 4 to a for 15000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A call ends with the first TTL in it, so only those go together whom that leaves enough: their own time-out,
/// or what nine in ten calls last (here 900 ms).
#[test]
fn a_call_ends_with_the_first_ttl_in_it_and_costs_nobody_much() {
    let mut rig = Rig::new(8, 4, &[("a", "z")]);
    rig.warm(1, 6, 200);
    rig.warm(7, 1, 500);
    rig.accept(10, "once", None, 600);
    rig.accept(11, "once", None, 16_000);
    rig.accept(12, "safe", None, 900);
    rig.accept(13, "safe", None, 16_000);
    rig.pass(1_050);
    expect![[r#"
        8700   push 10 to a for 600 ms
        8710   push 11 to a for 15990 ms
        8710   push 13 to a for 1998 ms
        8720   push 12 to a for 880 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// The outcomes of one call may come one by one, each with its own wait; the longest stands.
#[test]
fn every_outcome_of_a_call_may_tell_a_wait() {
    let mut rig = Rig::new(4, 2, &[("a", "z")]);
    rig.accept(1, "safe", None, 16_000);
    rig.accept(2, "safe", None, 16_000);
    rig.end(1, Status::Busy);
    rig.refuse(2, Span::from_millis(700));
    rig.pass(9_000);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to a for 16000 ms
        700    push 1 to a for 15300 ms
        700    push 2 to a for 15300 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A full call outweighs the first budget of a returning endpoint; it must still go, or nothing ever would.
#[test]
fn a_returning_endpoint_gets_full_calls_too() {
    let mut rig = Rig::new(8, 4, &[("a", "z")]);
    rig.warm(1, 6, 400);
    for id in 100..112 {
        rig.accept(id, "safe", None, 30_000);
    }
    rig.pass(5_000);
    rig.end(100, Status::Delivered);
    rig.pass(2_000);
    expect![[r#"
        8400   push 100 to a for 3750 ms
        8400   push 101 to a for 3750 ms
        8400   push 102 to a for 3750 ms
        8400   push 103 to a for 3750 ms
        8400   push 104 to a for 3750 ms
        8400   push 105 to a for 3750 ms
        8400   push 106 to a for 3750 ms
        8400   push 107 to a for 3750 ms
        8400   push 108 to a for 3750 ms
        8400   push 109 to a for 3750 ms
        8400   push 110 to a for 3750 ms
        8400   push 111 to a for 3750 ms
        10400  a set aside
        13400  a is back
    "#]]
    .assert_eq(&rig.trace);
}

/// Calls after an idle spell are lost while later ones are answered: connections die unseen while idle.
#[test]
fn connections_that_die_while_idle_are_closed_before_the_next_call() {
    let mut rig = Rig::new(8, 1, &[("a", "z")]);
    rig.warm(1, 6, 100);
    rig.pass(2_000);
    rig.accept(10, "safe", None, 16_000);
    rig.pass(800);
    rig.accept(11, "safe", None, 16_000);
    rig.pass(100);
    rig.end(11, Status::Delivered);
    rig.pass(2_500);
    rig.accept(12, "safe", None, 16_000);
    expect![[r#"
        2600   push 10 to a for 2000 ms
        3400   push 11 to a for 2000 ms
        3500   close idle connections to a
        6000   close idle connections to a
        6000   push 12 to a for 2000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Most pushes fail at once, but not all: a delivery in between must not clear the endpoint.
#[test]
fn failures_with_a_delivery_between_set_an_endpoint_aside() {
    let mut rig = Rig::new(8, 1, &[("a", "z")]);
    for (id, status) in [Status::Error, Status::Error, Status::Delivered, Status::Error, Status::Error]
        .into_iter()
        .enumerate()
    {
        rig.accept(id as u64, "once", None, 16_000);
        rig.pass(50);
        rig.end(id as u64, status);
    }
    expect![[r#"
        0      subscribe
        0      push 0 to a for 16000 ms
        50     expire 0
        50     push 1 to a for 16000 ms
        100    expire 1
        100    push 2 to a for 16000 ms
        150    push 3 to a for 16000 ms
        200    expire 3
        200    push 4 to a for 16000 ms
        250    a set aside
        250    expire 4
    "#]]
    .assert_eq(&rig.trace);
}

/// The few connections of a destination are taken by others: refused once, delivered next. None is left idle there.
#[test]
fn where_connections_are_short_none_is_left_idle() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.warm(1, 6, 100);
    rig.accept(10, "safe", None, 16_000);
    for status in [Status::NoConnection, Status::Delivered] {
        rig.end(10, status);
        rig.pass(1_000);
    }
    rig.accept(11, "safe", None, 16_000);
    expect![[r#"
        600    push 10 to a for 2000 ms
        690    push 10 to a for 2272 ms
        1600   close idle connections to a
        2600   close idle connections to a
        2600   push 11 to a for 2000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// An endpoint that says it has no room for a connection is up: no sign of an outage, and none is left idle.
#[test]
fn an_endpoint_short_of_connections_is_no_endpoint_in_trouble() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.accept(1, "safe", None, 16_000);
    for status in [Status::Crowded, Status::Crowded, Status::Crowded, Status::Crowded, Status::Delivered] {
        rig.end(1, status);
        rig.pass(2_400);
    }
    rig.accept(2, "safe", None, 16_000);
    rig.end(2, Status::Delivered);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      close idle connections to a
        90     close idle connections to a
        90     push 1 to a for 15910 ms
        2400   close idle connections to a
        4450   close idle connections to a
        4450   push 1 to a for 11550 ms
        4800   close idle connections to a
        6990   close idle connections to a
        6990   push 1 to a for 9010 ms
        7200   close idle connections to a
        8780   close idle connections to a
        8780   push 1 to a for 7220 ms
        9600   close idle connections to a
        12000  close idle connections to a
        12000  push 2 to a for 16000 ms
        12000  close idle connections to a
    "#]]
    .assert_eq(&rig.trace);
}

/// Nobody listens at one of two: it is left out like any that fails, and the other does not wait for it.
#[test]
fn an_endpoint_that_refuses_all_connections_is_set_aside() {
    let mut rig = Rig::new(4, 1, &[("a", "z"), ("b", "z")]);
    rig.warm(1, 6, 100);
    for id in 10..18 {
        rig.accept(id, "safe", None, 16_000);
        rig.pass(400);
        if rig.trace.contains(&format!("push {id} to a")) {
            rig.end(id, Status::NoConnection);
            rig.pass(200);
        }
        rig.end(id, Status::Delivered);
    }
    expect![[r#"
        600    push 10 to a for 2000 ms
        1090   push 10 to b for 2215 ms
        1200   push 11 to a for 2000 ms
        1730   push 11 to b for 2210 ms
        1800   push 12 to a for 2000 ms
        2200   a set aside
        2300   push 12 to b for 2214 ms
        2400   push 13 to b for 2000 ms
        2800   push 14 to b for 2000 ms
        3200   push 15 to b for 2000 ms
        3600   push 16 to b for 2000 ms
        4000   push 17 to a for 2000 ms
        4510   push 17 to b for 2212 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Refused with no wait told: each time it comes back ever more rarely, for many others may do so too.
#[test]
fn refusals_in_a_row_are_met_with_longer_pauses() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.accept(1, "safe", None, 30_000);
    for _ in 0..3 {
        rig.end(1, Status::Busy);
        rig.pass(9_000);
    }
    expect![[r#"
        0      subscribe
        0      push 1 to a for 30000 ms
        90     push 1 to a for 29910 ms
        11050  push 1 to a for 18950 ms
        14050  a set aside
        19580  push 1 to a for 10420 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Once-only pushes hang in most slots while others wait: they are given up, or the relay would stand still.
#[test]
fn once_only_pushes_are_called_off_where_most_slots_are_stuck() {
    let mut rig = Rig::new(3, 1, &[("a", "z")]);
    rig.warm(1, 20, 100);
    rig.accept(100, "once", None, 16_000);
    rig.pass(50);
    rig.accept(101, "once", None, 16_000);
    rig.pass(50);
    rig.accept(102, "safe", None, 16_000);
    rig.accept(103, "safe", None, 16_000);
    rig.pass(3_000);
    expect![[r#"
        2000   push 100 to a for 16000 ms
        2050   push 101 to a for 16000 ms
        2100   push 102 to a for 2000 ms
        2850   cancel push 0 of 102
        2860   push 102 to a for 2177 ms
        3500   a set aside
        3610   cancel push 0 of 100
        3610   cancel push 0 of 101
        3620   expire 100
        3620   expire 101
    "#]]
    .assert_eq(&rig.trace);
}

/// The same where a limit is told: what is refused uses it up too, so calls are spaced by up to four parts of it.
#[test]
fn refusals_above_a_told_limit_space_calls_in_equal_parts_of_it() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.limit = Some(LimitReport { left: 0.1, rate: 10.0 });
    rig.accept(1, "safe", None, 30_000);
    for _ in 0..3 {
        rig.end(1, Status::Busy);
        rig.pass(4_000);
    }
    expect![[r#"
        0      subscribe
        0      push 1 to a for 30000 ms
        200    push 1 to a for 29800 ms
        4520   push 1 to a for 25480 ms
        9100   push 1 to a for 20900 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Refused calls use the limit up too, so a refusal spaces a relay's calls for longer than the pause after it:
/// until answers tell that more than half of the limit is left.
#[test]
fn a_pace_kept_after_a_refusal_shrinks_as_answers_tell_of_room() {
    let mut rig = Rig::new(1, 1, &[("a", "z")]);
    rig.limit = Some(LimitReport { left: 0.0, rate: 2.0 });
    for id in 1..=6 {
        rig.accept(id, "safe", None, 30_000);
    }
    rig.end(1, Status::Busy);
    for (id, left) in [(2, 0.3), (3, 0.7), (4, 1.0), (5, 1.0), (6, 1.0)] {
        rig.pass_until_out(id);
        rig.limit = Some(LimitReport { left, rate: 2.0 });
        rig.end(id, Status::Delivered);
    }
    expect![[r#"
        0      subscribe
        0      push 1 to a for 30000 ms
        1000   push 2 to a for 29000 ms
        2150   push 3 to a for 27850 ms
        3150   push 4 to a for 26850 ms
        3860   push 5 to a for 26140 ms
        4360   push 6 to a for 25640 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Filling must leave time within the objective for the call itself: where calls last long, they wait less.
#[test]
fn calls_that_last_long_wait_less_to_be_filled() {
    let mut rig = Rig::new(4, 10, &[("a", "z")]);
    for id in 1..=8 {
        rig.accept(id, "safe", None, 16_000);
        rig.pass_until_out(id);
        rig.pass(400);
        rig.end(id, Status::Delivered);
    }
    expect![[r#"
        0      subscribe
        1000   push 1 to a for 15000 ms
        2400   push 2 to a for 15000 ms
        3800   push 3 to a for 15000 ms
        5200   push 4 to a for 15000 ms
        6600   push 5 to a for 15000 ms
        7600   push 6 to a for 2566 ms
        8600   push 7 to a for 2566 ms
        9600   push 8 to a for 2566 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Of many relays most see no more of an outage than one refused connection, while together they hold enough to
/// push a cold destination over.
#[test]
fn one_refused_connection_is_enough_to_come_back_slowly() {
    let mut rig = Rig::one_of(100, 8, 1, &[("a", "z"), ("b", "z")]);
    for id in 1..=8 {
        rig.accept(id, "safe", None, 16_000);
    }
    rig.out_now().into_iter().for_each(|id| rig.end(id, Status::NoConnection));
    rig.pass(6_000);
    for _ in 0..40 {
        rig.out_now().into_iter().for_each(|id| rig.end(id, Status::Delivered));
        rig.pass(50);
    }
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to b for 16000 ms
        0      push 3 to a for 16000 ms
        0      push 4 to b for 16000 ms
        90     push 2 to a for 15910 ms
        90     push 1 to b for 15910 ms
        90     push 4 to a for 15910 ms
        3090   a set aside
        6000   a is back
        6000   b is back
        6000   push 3 to b for 10000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A relay that has just started was handed little for want of time, not of traffic: its calls to a
/// destination that refuses all are no rarer than those of one that was handed as much a second for longer.
#[test]
fn a_relay_that_has_just_started_tries_a_shut_destination_as_often_as_one_that_has_long_run() {
    let tries = |before: u64| {
        let mut rig = Rig::one_of(100, 4, 1, &[("a", "z")]);
        let (mut next, mut refused) = (1, 0);
        for second in 0..before + 24 {
            rig.accept(next, "safe", None, 16_000);
            next += 1;
            for _ in 0..50 {
                rig.pass(20);
                let status = if second < before { Status::Delivered } else { Status::Busy };
                refused += if second < before { 0 } else { rig.out_now().len() };
                rig.out_now().into_iter().for_each(|id| rig.end(id, status));
            }
        }
        refused
    };
    expect!["10 12"].assert_eq(&format!("{} {}", tries(2), tries(40)));
}

/// On sockets a notice takes time: whoever hears of the end later must not see the next of the key before it.
#[test]
fn the_next_of_a_key_waits_until_the_end_before_it_was_heard() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.hears = false;
    rig.accept(1, "once", Some("k"), 16_000);
    rig.accept(2, "once", Some("k"), 16_000);
    rig.end(1, Status::Error);
    rig.pass(500);
    rig.give(Event::Heard(NtfId(1)));
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      expire 1
        500    push 2 to a for 15500 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A push that was out when the relay was killed may have run.
#[test]
fn after_a_restart_what_may_have_run_goes_again_only_where_that_is_safe() {
    let mut rig = Rig::new(4, 1, &[("a", "z"), ("b", "y")]);
    rig.pass(5_000);
    let out = |rig: &Rig, ms| Past {
        pushes: 1,
        ran: Some(rig.ago(ms)),
        doubt: Some(rig.ago(0).0),
        ended: false,
        taken_up: true,
    };
    for (id, topic, past) in [
        (1, "once", out(&rig, 1_000)),
        (2, "once", Past::default()),
        (3, "mark", out(&rig, 1_000)),
        (4, "mark", out(&rig, 4_500)),
        (5, "safe", Past { pushes: 8, ..out(&rig, 1_000) }),
        (6, "once", Past { ended: true, ..out(&rig, 1_000) }),
        (7, "once", Past::default()),
    ] {
        rig.resume(id, topic, Some("k").filter(|_| topic == "once"), past);
    }
    rig.pass(400);
    rig.end(2, Status::Delivered);
    rig.pass(400);
    rig.give(Event::Heard(NtfId(6)));
    rig.pass(400);
    expect![[r#"
        0      subscribe
        5000   expire 1
        5000   push 3 to a for 16000 ms
        5000   expire 4
        5000   expire 5
        5300   push 2 to b for 15700 ms
        5800   push 7 to a for 15200 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A copy over a new connection takes its time: the end of the window is for its arrival, not its sending.
#[test]
fn a_copy_is_sent_early_enough_to_arrive_in_its_window() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.warm(1, 6, 400);
    rig.accept(10, "mark", None, 16_000);
    rig.accept(11, "mark", None, 16_000);
    rig.pass(3_500);
    rig.end(10, Status::Error);
    rig.pass(350);
    rig.end(11, Status::Error);
    expect![[r#"
        2400   push 10 to a for 2666 ms
        2400   push 11 to a for 2666 ms
        5900   push 10 to a for 2500 ms
        6250   expire 11
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_relay_that_stops_makes_no_further_calls() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.accept(1, "safe", None, 16_000);
    rig.give(Event::Slots(0));
    rig.accept(2, "safe", None, 16_000);
    rig.end(1, Status::Busy);
    rig.pass(1_000);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_wait_binds_whatever_became_of_the_push() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.accept(1, "safe", None, 16_000);
    rig.ends(1, Status::Delivered, Some(Span::from_millis(700)));
    rig.accept(2, "safe", None, 16_000);
    rig.pass(3_000);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      recall what is not out to a
        840    push 2 to a for 15160 ms
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
        rig.end(rig.oldest(), Status::Delivered);
    }
    let wakes = rig.pass_woken(16_000);
    assert!(wakes < 100, "{wakes} wake-ups for 20 notifications");
    assert_eq!(rig.trace.lines().filter(|line| line.contains("throttle")).count(), 19);
}

/// One answer never comes, with others of its key behind it: called off long before its TTL, and they go on.
#[test]
fn a_push_in_order_whose_answer_does_not_come_is_called_off_for_those_behind_it() {
    let mut rig = Rig::new(8, 1, &[("a", "z"), ("b", "z")]);
    rig.warm(1, 6, 100);
    for id in 10..13 {
        rig.accept(id, "once", Some("k"), 16_000);
    }
    rig.accept(20, "once", Some("nobody-behind"), 16_000);
    rig.pass(4_000);
    expect![[r#"
        600    push 10 to a for 16000 ms
        600    push 20 to b for 16000 ms
        2100   cancel push 0 of 10
        2110   expire 10
        2410   push 11 to a for 14190 ms
    "#]]
    .assert_eq(&rig.trace);
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
        rig.end(id, Status::TimedOut);
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

/// Where crossing zones is priced, the endpoints of the relay's own zone are asked first, in rotation; those of
/// others get what these turned away, and all when these drain.
#[test]
fn endpoints_of_the_own_zone_are_asked_first() {
    let mut terms = terms(2, 8);
    terms.fleet.home = Some("z".into());
    let mut rig = Rig::with(terms, 1, &[("a", "y"), ("b", "z"), ("c", "z")]);
    for id in 1..=3 {
        rig.accept(id, "safe", None, 16_000);
    }
    rig.end(1, Status::Error);
    rig.give(Event::List(News::Changes(vec![
        rig.entry("b", "z", Readiness::Draining),
        rig.entry("c", "z", Readiness::Deleted),
    ])));
    rig.accept(4, "safe", None, 16_000);
    expect![[r#"
        0      subscribe
        0      push 1 to b for 16000 ms
        0      push 2 to c for 16000 ms
        0      push 3 to b for 16000 ms
        0      push 1 to c for 16000 ms
        0      push 4 to a for 16000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A rate is listed and nothing is told in answers: what is refused is above the limit, no sign of an outage, and if
/// a wait is told sets a pace that grows with each and shrinks with deliveries. A short wait's end is no return.
#[test]
fn a_listed_rate_stands_in_for_a_told_limit() {
    let mut rig = Rig::listed(50, 20.0, &["a"]);
    rig.accept(1, "safe", None, 90_000);
    for wait in [0, 300, 300] {
        rig.pass_until_out(1);
        rig.ends(1, Status::Busy, Some(Span::from_millis(wait)).filter(|wait| *wait > Span::ZERO));
    }
    for id in 1..=3 {
        rig.accept(id + 1, "safe", None, 90_000);
        rig.pass_until_out(id);
        rig.end(id, Status::Delivered);
    }
    expect![[r#"
        0      subscribe
        50     push 1 to a for 89950 ms
        190    push 1 to a for 89810 ms
        190    recall what is not out to a
        5950   push 1 to a for 84050 ms
        5950   recall what is not out to a
        12720  push 2 to a for 83230 ms
        17520  push 1 to a for 72480 ms
        20920  push 3 to a for 86600 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A connection that its endpoint would have closed before this relay came again is closed at once: of few
/// connections, idle ones are the most where many relays each come seldom.
#[test]
fn a_connection_used_seldom_is_not_left_idle() {
    let mut terms = terms(50, 8);
    terms.allowance.idle = Span::from_millis(5_000);
    let mut rig = Rig::with(terms, 1, &[("a", "z")]);
    for (id, ms) in [(1, 100), (2, 1_000), (3, 6_000), (4, 1_000)] {
        rig.pass(ms);
        rig.accept(id, "safe", None, 16_000);
        rig.end(id, Status::Delivered);
    }
    expect![[r#"
        0      subscribe
        100    push 1 to a for 16000 ms
        1100   push 2 to a for 16000 ms
        7100   push 3 to a for 16000 ms
        7100   close idle connections to a
        8100   push 4 to a for 16000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// One of two endpoints answers for one topic type and not for another: what is of the other goes to its sibling,
/// and the first keeps its part of the rest.
#[test]
fn an_endpoint_that_fails_one_topic_type_is_left_out_for_that_type() {
    let mut rig = Rig::new(8, 1, &[("a", "z"), ("b", "z")]);
    rig.warm(1, 6, 100);
    rig.accept(10, "safe", None, 16_000);
    rig.accept(11, "mark", None, 16_000);
    rig.pass(100);
    rig.end(11, Status::Delivered);
    rig.pass_until_out(10);
    rig.end(10, Status::TimedOut);
    for (id, topic) in [(20, "safe"), (21, "mark"), (22, "safe"), (23, "mark"), (24, "safe")] {
        rig.pass(100);
        rig.accept(id, topic, None, 16_000);
        rig.pass(50);
        rig.end(id, Status::Delivered);
    }
    expect![[r#"
        600    push 10 to a for 2000 ms
        600    push 11 to b for 2000 ms
        700    push 10 to b for 2271 ms
        800    push 20 to b for 2000 ms
        950    push 21 to a for 2000 ms
        1100   push 22 to b for 2000 ms
        1250   push 23 to a for 2000 ms
        1400   push 24 to b for 2000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Full queues behind a silence: refusals in a row, some with a wait and some without, with none delivered between,
/// are met as an outage is, though a rate is listed.
#[test]
fn refusals_in_a_row_keep_a_relay_to_its_part_though_a_rate_is_listed() {
    let mut rig = Rig::listed(50, 20.0, &["a"]);
    rig.accept(1, "safe", None, 60_000);
    for wait in [200, 0, 0] {
        rig.pass_until_out(1);
        rig.ends(1, Status::Busy, Some(Span::from_millis(wait)).filter(|wait| *wait > Span::ZERO));
    }
    rig.pass_until_out(1);
    expect![[r#"
        0      subscribe
        50     push 1 to a for 59950 ms
        50     recall what is not out to a
        450    push 1 to a for 59550 ms
        7100   push 1 to a for 52900 ms
        15330  push 1 to a for 44670 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Where no connection is to be had, a relay that sees little keeps to its part in full, longer than a cold
/// destination takes to warm up: many such relays, one notification each, would push it over together.
#[test]
fn no_connection_pauses_up_to_the_part_in_full() {
    let mut rig = Rig::listed(300, 5.0, &["a", "b"]);
    rig.pass(20_000);
    rig.accept(1, "safe", None, 90_000);
    for _ in 0..3 {
        rig.pass_until_out(1);
        rig.pass(1_000);
        rig.end(1, Status::NoConnection);
    }
    rig.pass_until_out(1);
    expect![[r#"
        0      subscribe
        20000  push 1 to a for 90000 ms
        21540  push 1 to b for 88460 ms
        71710  push 1 to a for 38290 ms
        72710  throttle 1
    "#]]
    .assert_eq(&rig.trace);
}

/// Other terms while it runs: fewer slots than calls out only mean no new ones; what was taken keeps its effect;
/// waits stay; the way back is the same step.
#[test]
fn other_terms_take_effect_in_a_running_relay_both_ways() {
    let mut rig = Rig::new(3, 1, &[("a", "z"), ("b", "y")]);
    let mut fewer = terms(2, 1);
    fewer.fleet.home = Some("y".into());
    for id in 1..=3 {
        rig.accept(id, "once", None, 16_000);
    }
    rig.give(Event::Terms(fewer));
    rig.accept(4, "safe", None, 16_000);
    rig.pass(10);
    rig.end(1, Status::Delivered);
    rig.end(2, Status::Delivered);
    rig.pass(10);
    rig.end(3, Status::TimedOut);
    rig.pass(10);
    rig.refuse(4, Span::from_millis(300));
    rig.give(Event::Terms(terms(2, 3)));
    rig.accept(5, "safe", None, 16_000);
    rig.accept(6, "safe", None, 16_000);
    rig.pass(20_000);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to b for 16000 ms
        10     push 3 to b for 15990 ms
        20     expire 3
        20     push 4 to b for 15980 ms
        30     recall what is not out to a
        30     recall what is not out to b
        1520   push 4 to a for 14480 ms
        3020   push 5 to b for 13010 ms
        6020   b set aside
        16020  throttle 6
    "#]]
    .assert_eq(&rig.trace);
}

/// Rates listed from now on are gone by at once, and no longer once they are not: the list itself has not changed.
#[test]
fn listed_rates_come_and_go_with_the_terms() {
    let mut rig = Rig::new(8, 1, &[("a", "z")]);
    for listed in [false, true, false] {
        let mut other = terms(2, 8);
        other.fleet.rates_listed = listed;
        rig.give(Event::Terms(other));
        for id in 1..=2 {
            rig.accept(id, "safe", None, 16_000);
        }
        rig.pass(1_500);
        for id in rig.out_now() {
            rig.end(id, Status::Delivered);
        }
    }
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to a for 16000 ms
        1500   push 1 to a for 16000 ms
        2500   push 2 to a for 15000 ms
        3000   push 1 to a for 16000 ms
        3000   push 2 to a for 16000 ms
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
    rig.end(2, Status::NoConnection);
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

/// A connection refused at once may be a full table and is tried again soon; one that did not come up for long is
/// out of reach, and the second in a row pauses nearly to the relay's part.
#[test]
fn a_connection_that_does_not_come_up_pauses_longer_than_one_refused_at_once() {
    let mut trace = String::new();
    for ms in [50, 1_000] {
        let mut rig = Rig::one_of(300, 8, 1, &[("a", "z"), ("b", "z")]);
        rig.pass(20_000);
        rig.accept(1, "safe", None, 90_000);
        for _ in 0..2 {
            rig.pass_until_out(1);
            rig.pass(ms);
            rig.end(1, Status::NoConnection);
        }
        rig.pass_until_out(1);
        writeln!(trace, "{}", rig.trace).expect("a string");
    }
    expect![[r#"
        0      subscribe
        20000  push 1 to a for 90000 ms
        20140  push 1 to b for 89860 ms
        21220  push 1 to a for 88780 ms

        0      subscribe
        20000  push 1 to a for 90000 ms
        21090  push 1 to b for 88910 ms
        30290  push 1 to a for 79710 ms

    "#]]
    .assert_eq(&trace);
}
