//! Descriptions of experiments: what is taken, what is refused and why; and a report.

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
fn sound_descriptions_are_taken() {
    let load = parse(LOAD, &addresses()).expect("a sound description");
    assert_eq!(load.kind, Kind::Load);
    let places: Vec<_> = load
        .variants
        .iter()
        .map(|one| one.socket_address())
        .collect();
    let expected = ["127.0.0.1:5432", "127.0.0.1:6432"];
    let expected: Vec<_> = expected.iter().map(|text| text.parse().ok()).collect();
    assert_eq!(places, expected);
    let scale = parse(SCALE, &addresses()).expect("a sound description");
    assert_eq!((scale.kind, scale.seed), (Kind::Scale, 1));
}

#[test]
fn examples_are_sound() {
    let addresses = ["database", "proxy"].map(|name| {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        (name.to_owned(), address)
    });
    let addresses = BTreeMap::from(addresses);
    for text in [
        include_str!("../../experiments/relay.toml"),
        include_str!("../../experiments/fleet.toml"),
    ] {
        parse(text, &addresses).expect("a sound example");
    }
}

#[test]
fn unsound_descriptions_are_refused() {
    let missing = |variant: &str| DescriptionError::Missing {
        variant: variant.to_owned(),
        field: "an address",
    };
    // The description, what is replaced in it by what, and the refusal.
    let cases = [
        (LOAD, "[1, 8]", "[]", DescriptionError::Empty("sizes")),
        (
            LOAD,
            "[1, 8]",
            "[0, 8]",
            DescriptionError::Empty("the first size"),
        ),
        (LOAD, "[1, 8]", "[8, 1]", DescriptionError::Sizes),
        (LOAD, "[1, 8]", "[8, 8]", DescriptionError::Sizes),
        (
            LOAD,
            "repeats = 2",
            "repeats = 0",
            DescriptionError::Empty("repeats"),
        ),
        (
            LOAD,
            "seconds = 3",
            "seconds = 0",
            DescriptionError::Empty("seconds"),
        ),
        (
            LOAD,
            "\"proxy\"",
            "\"direct\"",
            DescriptionError::Twins("direct".to_owned()),
        ),
        (
            LOAD,
            "$proxy",
            "$other",
            DescriptionError::NotSet("other".to_owned()),
        ),
        (
            LOAD,
            "127.0.0.1:5432",
            "here",
            DescriptionError::Address("here".to_owned()),
        ),
        (LOAD, "address = \"$proxy\"", "", missing("proxy")),
        (
            LOAD,
            "seconds = 3",
            "seconds = 3\nmix = \"odd\"",
            DescriptionError::Mix("odd".to_owned()),
        ),
        (
            LOAD,
            "seconds = 3",
            "seconds = 3\nzones = 2",
            DescriptionError::Foreign("zones"),
        ),
        (
            LOAD,
            "address = \"$proxy\"",
            "address = \"$proxy\"\ngroups = 1",
            DescriptionError::Foreign("groups"),
        ),
        (
            SCALE,
            "groups = 1",
            "relay = true",
            DescriptionError::Foreign("an address"),
        ),
        (
            SCALE,
            "seconds = 1",
            "seconds = 1\nrate = 5.0",
            DescriptionError::Foreign("rate"),
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
        let refused = parse(&LOAD.replace(from, to), &addresses());
        assert!(
            matches!(refused, Err(DescriptionError::Toml(_))),
            "{to}: {refused:?}"
        );
    }
}

#[test]
fn a_report_holds_ratios_lines_and_plots() {
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
    std::fs::remove_dir_all(&directory).expect("removed");
}
