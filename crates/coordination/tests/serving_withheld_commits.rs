//! Tests of which commits a promotion in a synchronous group withholds.

use hookpoint_coordination::serving::withheld_commits::{
    PreviousPromotion, PromotionHistory, WithheldCommits,
};
use hookpoint_state::{DatabaseName, Term};

fn name(name: &str) -> DatabaseName {
    DatabaseName::new(name)
}

fn history(previous: Option<(WithheldCommits, bool)>, newest_term: u32) -> PromotionHistory {
    PromotionHistory {
        previous: previous.map(|(withheld, took_effect)| PreviousPromotion {
            candidate: name("a"),
            withheld,
            took_effect,
        }),
        newest_term: Term(newest_term),
    }
}

fn up_to(term: u32) -> WithheldCommits {
    WithheldCommits::UpTo(Term(term))
}

#[test]
fn an_outstanding_order_for_another_candidate_withholds_all_commits() {
    let all = WithheldCommits::All;
    // The previous promotion, the newest term, and what promotions of a and b withhold.
    let rows = [
        (None, 3, up_to(3), up_to(3)),
        (Some((up_to(3), false)), 3, up_to(3), all),
        (Some((up_to(3), false)), 4, up_to(4), up_to(4)),
        (Some((up_to(3), true)), 3, up_to(4), up_to(4)),
        (Some((up_to(3), true)), 5, up_to(5), up_to(5)),
        (Some((all, false)), 9, all, all),
        (Some((all, true)), 9, all, all),
        (Some((WithheldCommits::None, true)), 3, all, all),
    ];
    for (previous, newest_term, same, other) in rows {
        let history = history(previous, newest_term);
        assert_eq!(history.withheld_by(&name("a")), same, "{history:?}");
        assert_eq!(history.withheld_by(&name("b")), other, "{history:?}");
    }
}

#[test]
fn a_commit_is_withheld_up_to_the_ended_term() {
    assert!(!WithheldCommits::None.include(None));
    assert!(up_to(3).include(Some(Term(3))));
    assert!(up_to(3).include(None), "the term is not known");
    assert!(!up_to(3).include(Some(Term(4))));
    assert!(WithheldCommits::All.include(Some(Term(9))));
}

#[test]
fn writes_continue_in_the_term_that_has_settled() {
    let settled = WithheldCommits::after_settling(Term(4));
    assert!(!settled.include(Some(Term(4))));
    assert!(!settled.are_pending(Term(4)));
    assert!(settled.include(Some(Term(3))));
}
