//! Tests line fits and summaries of known values.

use hookpoint_measure::fit::{Line, Spread};

#[test]
fn least_squares_line() {
    // Points, then the expected intercept, slope and coefficient of determination.
    type Case = (&'static [(f64, f64)], Option<(f64, f64, f64)>);
    let cases: [Case; 6] = [
        (&[], None),
        (&[(1.0, 2.0)], None),
        (&[(1.0, 2.0), (1.0, 4.0)], None),
        (&[(0.0, 1.0), (2.0, 5.0)], Some((1.0, 2.0, 1.0))),
        (&[(1.0, 3.0), (2.0, 3.0), (3.0, 3.0)], Some((3.0, 0.0, 1.0))),
        (
            &[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0), (3.0, 3.0)],
            Some((0.3, 0.8, 0.64)),
        ),
    ];
    for (points, expected) in cases {
        let line = Line::through(points);
        let found = line.map(|line| (line.intercept, line.slope, line.r_squared));
        match (found, expected) {
            (None, None) => {}
            (Some(found), Some(expected)) => {
                assert!((found.0 - expected.0).abs() < 1e-9, "{points:?}: {found:?}");
                assert!((found.1 - expected.1).abs() < 1e-9, "{points:?}: {found:?}");
                assert!((found.2 - expected.2).abs() < 1e-9, "{points:?}: {found:?}");
            }
            (found, expected) => panic!("{points:?}: found {found:?}, expected {expected:?}"),
        }
    }
}

#[test]
fn spread_summarizes_values() {
    assert_eq!(Spread::of([]), None);
    let spread = Spread::of((1..=200).rev().map(f64::from));
    let expected = Spread {
        count: 200,
        low: 1.0,
        median: 100.0,
        p99: 198.0,
        high: 200.0,
    };
    assert_eq!(spread, Some(expected));
}
