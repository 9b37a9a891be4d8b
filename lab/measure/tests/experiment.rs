//! Tests which descriptions of experiments are accepted or rejected, and the written report.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hookpoint_measure::experiment::{
    DescriptionError, Kind, Measurement, Outcome, Results, parse, write,
};
use hookpoint_measure::scale::ScalePoint;

const LOAD: &str = r#"
title = "t"
kind = "load"
sizes = [1, 8]
repeats = 2
seconds = 3
[[variants]]
name = "direct"
address = "127.0.0.1:5432"
[[variants]]
name = "proxy"
address = "$proxy"
"#;

const SCALE: &str = r#"
title = "t"
kind = "scale"
sizes = [3, 5]
repeats = 1
seconds = 1
[[variants]]
name = "one"
groups = 1
"#;

fn addresses() -> BTreeMap<String, SocketAddr> {
    let address = SocketAddr::from(([127, 0, 0, 1], 6432));
    BTreeMap::from([("proxy".to_owned(), address)])
}

#[test]
fn valid_descriptions_are_accepted() {
    let load = parse(LOAD, &addresses()).expect("a valid description");
    assert_eq!(load.kind, Kind::Load);
    let found: Vec<_> = load
        .variants
        .iter()
        .map(|variant| variant.socket_address())
        .collect();
    let expected = ["127.0.0.1:5432", "127.0.0.1:6432"];
    let expected: Vec<_> = expected.iter().map(|text| text.parse().ok()).collect();
    assert_eq!(found, expected);
    let scale = parse(SCALE, &addresses()).expect("a valid description");
    assert_eq!((scale.kind, scale.seed), (Kind::Scale, 1));
}

#[test]
fn examples_are_valid() {
    let addresses = ["database", "proxy"].map(|name| {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        (name.to_owned(), address)
    });
    let addresses = BTreeMap::from(addresses);
    for text in [
        include_str!("../../experiments/relay.toml"),
        include_str!("../../experiments/fleet.toml"),
    ] {
        parse(text, &addresses).expect("a valid example");
    }
}

#[test]
fn invalid_descriptions_are_rejected() {
    let missing = |variant: &str| DescriptionError::MissingField {
        variant: variant.to_owned(),
        field: "an address",
    };
    // The description, the text replaced in it, its replacement, and the expected error.
    let cases = [
        (LOAD, "[1, 8]", "[]", DescriptionError::EmptyOrZero("sizes")),
        (
            LOAD,
            "[1, 8]",
            "[0, 8]",
            DescriptionError::EmptyOrZero("the first size"),
        ),
        (
            LOAD,
            "[1, 8]",
            "[8, 1]",
            DescriptionError::SizesNotAscending,
        ),
        (
            LOAD,
            "[1, 8]",
            "[8, 8]",
            DescriptionError::SizesNotAscending,
        ),
        (
            LOAD,
            "repeats = 2",
            "repeats = 0",
            DescriptionError::EmptyOrZero("repeats"),
        ),
        (
            LOAD,
            "seconds = 3",
            "seconds = 0",
            DescriptionError::EmptyOrZero("seconds"),
        ),
        (
            LOAD,
            "\"proxy\"",
            "\"direct\"",
            DescriptionError::DuplicateVariant("direct".to_owned()),
        ),
        (
            LOAD,
            "$proxy",
            "$other",
            DescriptionError::AddressNotGiven("other".to_owned()),
        ),
        (
            LOAD,
            "127.0.0.1:5432",
            "here",
            DescriptionError::InvalidAddress("here".to_owned()),
        ),
        (LOAD, "address = \"$proxy\"", "", missing("proxy")),
        (
            LOAD,
            "seconds = 3",
            "seconds = 3\nmix = \"odd\"",
            DescriptionError::UnknownMix("odd".to_owned()),
        ),
        (
            LOAD,
            "seconds = 3",
            "seconds = 3\nzones = 2",
            DescriptionError::NotApplicable("zones"),
        ),
        (
            LOAD,
            "address = \"$proxy\"",
            "address = \"$proxy\"\ngroups = 1",
            DescriptionError::NotApplicable("groups"),
        ),
        (
            SCALE,
            "groups = 1",
            "relay = true",
            DescriptionError::NotApplicable("an address"),
        ),
        (
            SCALE,
            "seconds = 1",
            "seconds = 1\nrate = 5.0",
            DescriptionError::NotApplicable("rate"),
        ),
        (
            SCALE,
            "[3, 5]",
            "[3, 5000]",
            DescriptionError::TooLarge {
                what: "nodes",
                most: 500,
            },
        ),
        (
            SCALE,
            "repeats = 1",
            "repeats = 300",
            DescriptionError::TooLarge {
                what: "the number of runs",
                most: 500,
            },
        ),
    ];
    for (text, from, to, expected) in cases {
        let changed = text.replace(from, to);
        assert_ne!(changed, text, "{from} is not in the description");
        assert_eq!(parse(&changed, &addresses()), Err(expected), "{to}");
    }
    for (from, to) in [
        ("kind = \"load\"", "kind = \"odd\""),
        ("seconds", "secs"),
        ("[[", "[[["),
    ] {
        let result = parse(&LOAD.replace(from, to), &addresses());
        assert!(
            matches!(result, Err(DescriptionError::Toml(_))),
            "{to}: {result:?}"
        );
    }
}

#[test]
fn report_contains_ratios_lines_and_plots() {
    let run = |variant: &str, size: usize, processor_percent: f64| Measurement {
        variant: variant.to_owned(),
        size,
        round: 0,
        load_average: 1.0,
        outcome: Outcome::Scale(Box::new(ScalePoint {
            nodes: size,
            processor_percent,
            term_times_ms: vec![3.0, 1.0],
            ..ScalePoint::default()
        })),
    };
    let results = Results {
        title: "Two variants".to_owned(),
        variants: vec!["base".to_owned(), "other".to_owned()],
        measurements: vec![
            run("base", 10, 1.0),
            run("other", 10, 2.0),
            run("base", 20, 2.0),
            run("other", 20, 6.0),
        ],
    };
    let directory = std::env::temp_dir().join(format!("hookpoint-report-{}", std::process::id()));
    write(&directory, &results).expect("a report");
    let text = std::fs::read_to_string(directory.join("report.md")).expect("the report");
    for expected in [
        "| 20 | other | 6.000 (6.000–6.000) | 3.000 (3.000–3.000) | 1.0 |",
        "base: 0.0000 + 0.100000 × size, R² 1.000.",
        "![spread of a term](term.svg)",
    ] {
        assert!(text.contains(expected), "{expected} is not in:\n{text}");
    }
    let plot = std::fs::read_to_string(directory.join("processor.svg")).expect("a plot");
    assert!(plot.starts_with("<svg") && plot.contains("other"), "{plot}");
    std::fs::remove_dir_all(&directory).expect("the directory is removed");
}
