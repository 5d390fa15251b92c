//! The list of endpoints: drains, a list out of reach, zones.

use std::fmt::Write;

use expect_test::expect;
use juniperwing::interface::{CallStatus, EndpointListUpdate, Event, Readiness};
use juniperwing::time::Span;

use crate::helper::{Rig, terms};

#[test]
fn drains_are_kept_and_a_broken_list_is_asked_for_again() {
    let mut rig = Rig::new(4, 1, &[("a", "z"), ("b", "z")]);
    let entries = vec![rig.entry("a", "z", Readiness::Draining)];
    rig.give(Event::EndpointListUpdated(EndpointListUpdate::Changes(entries)));
    for id in 1..=3 {
        rig.accept(id, "safe", None, 16_000);
    }
    let entries = vec![rig.entry("c", "z", Readiness::Serving)];
    rig.give(Event::EndpointListUpdated(EndpointListUpdate::Snapshot(entries)));
    rig.accept(4, "safe", None, 16_000);
    rig.give(Event::EndpointListUpdated(EndpointListUpdate::Failed));
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
        (terms.fleet.is_list_pushed, terms.rules.list_refresh_interval) =
            (pushed, Span::from_millis(ask_every));
        let mut rig = Rig::with(terms, 1, &[("a", "z")]);
        let mut pauses = Vec::new();
        for broken in 0..6 {
            if broken == 4 {
                rig.give(Event::EndpointListUpdated(EndpointListUpdate::Changes(Vec::new())));
            }
            rig.trace.clear();
            rig.give(Event::EndpointListUpdated(EndpointListUpdate::Failed));
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

/// Where crossing zones is priced, the endpoints of the relay's own zone are asked first, in rotation; those of
/// others get what these turned away, and all when these drain.
#[test]
fn endpoints_of_the_own_zone_are_asked_first() {
    let mut terms = terms(2, 8);
    terms.fleet.home_zone = Some("z".into());
    let mut rig = Rig::with(terms, 1, &[("a", "y"), ("b", "z"), ("c", "z")]);
    for id in 1..=3 {
        rig.accept(id, "safe", None, 16_000);
    }
    rig.end(1, CallStatus::Error);
    rig.give(Event::EndpointListUpdated(EndpointListUpdate::Changes(vec![
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
