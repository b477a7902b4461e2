//! Figures that a platform fills in may be fractions. A process that refuses one ends at its start, and so do all.
//!
//! A deployment's twin of fewer machines had a retry budget of 34.42 requests. Every gateway ended at its start with
//! "line 14, column 14: invalid digit found in string", and no request was served.

use {
    gingerpier_settings::{Gateway, Loader, Settings, read, unit::Millis},
    proptest::prelude::*,
};

const GATEWAY: &str = "\
role: gateway
name: g
zone: z
regions: [z=r]
callers: 127.0.0.1:1
readiness: 127.0.0.1:2
control: 127.0.0.1:3
peers: 127.0.0.1:4
seeds: []
store: 127.0.0.1:5
";

const LOADER: &str = "\
role: loader
name: l
zone: z
regions: [z=r]
engine: 127.0.0.1:1
peers: 127.0.0.1:4
store: 127.0.0.1:5
";

fn gateway(line: &str) -> Result<Gateway, String> {
    match read(&format!("{GATEWAY}{line}\n")) {
        Ok(Settings::Gateway(settings)) => Ok(*settings),
        Ok(_) => Err("these are no settings of a gateway".to_owned()),
        Err(problems) => Err(problems.to_string()),
    }
}

fn loader(line: &str) -> Result<Loader, String> {
    match read(&format!("{LOADER}{line}\n")) {
        Ok(Settings::Loader(settings)) => Ok(*settings),
        Ok(_) => Err("these are no settings of a loader".to_owned()),
        Err(problems) => Err(problems.to_string()),
    }
}

/// A field of a gateway's settings with its value, as a number.
type Field = (&'static str, &'static str, fn(&Gateway) -> f64);

/// Times by which something has to be done, or a budget: rounded down.
const DOWN: [Field; 3] = [
    ("drain_within", "ms", |settings| {
        settings.drain_within.0 as f64
    }),
    ("version_within", "ms", |settings| {
        settings.version_within.0 as f64
    }),
    ("retry_extra", "", |settings| settings.retry_extra.into()),
];

/// Figures that keep their fraction.
const EXACT: [Field; 3] = [
    ("retry_ratio", "", |settings| settings.retry_ratio),
    ("cold_overshoot", "", |settings| settings.cold_overshoot),
    ("cold_allowance", "", |settings| settings.cold_allowance),
];

fn value((name, unit, value): Field, text: &str) -> Result<f64, String> {
    gateway(&format!("{name}: {text}{unit}")).map(|settings| value(&settings))
}

#[test]
fn a_bound_that_is_a_fraction_is_rounded_down() {
    for field in DOWN {
        assert_eq!(value(field, "34"), Ok(34.0), "{}", field.0);
        assert_eq!(value(field, "34.42"), Ok(34.0), "{}", field.0);
        assert_eq!(value(field, "34.99"), Ok(34.0), "{}", field.0);
        assert_eq!(value(field, "0.9"), Ok(0.0), "{}", field.0);
        assert_eq!(value(field, "0"), Ok(0.0), "{}", field.0);
        assert_eq!(value(field, "1.04e3"), Ok(1_040.0), "{}", field.0);
        assert_eq!(
            value(field, "4294967295"),
            Ok(4_294_967_295.0),
            "{}",
            field.0
        );
    }
}

#[test]
fn a_time_to_be_waited_is_rounded_up() {
    let window = |text: &str| gateway(&format!("retry_window: {text}")).map(|one| one.retry_window);
    assert_eq!(window("10s"), Ok(Millis(10_000)));
    assert_eq!(window("10.5s"), Ok(Millis(10_500)));
    assert_eq!(window("10000.1ms"), Ok(Millis(10_001)));
    assert_eq!(window("1e1s"), Ok(Millis(10_000)));
}

#[test]
fn shares_keep_their_fraction() {
    for field in EXACT {
        assert_eq!(value(field, "0.25"), Ok(0.25), "{}", field.0);
        assert_eq!(value(field, "1"), Ok(1.0), "{}", field.0);
        assert_eq!(value(field, "1.5"), Ok(1.5), "{}", field.0);
        assert_eq!(value(field, "2e-1"), Ok(0.2), "{}", field.0);
        assert_eq!(value(field, "0"), Ok(0.0), "{}", field.0);
    }
}

#[test]
fn a_loaders_figures_may_be_fractions() {
    let version =
        |text: &str| loader(&format!("version_within: {text}")).map(|one| one.version_within);
    assert_eq!(version("9700ms"), Ok(Millis(9_700)));
    assert_eq!(version("9700.7ms"), Ok(Millis(9_700)));
    assert_eq!(version("9.7e3ms"), Ok(Millis(9_700)));
    let link = |text: &str| loader(&format!("link: {text}")).map(|one| one.link_bits_per_second);
    assert_eq!(link("7.3"), Ok(7_300_000));
    assert_eq!(link("1e3"), Ok(1_000_000_000));
    assert_eq!(link("40"), Ok(40_000_000));
}

#[test]
fn figures_without_sense_are_refused_with_their_place() {
    for field in DOWN.into_iter().chain(EXACT) {
        for text in ["-1", "-0.5", "", "x", "1.2.3", "inf", "NaN"] {
            let problem = value(field, text).expect_err("the figure has no sense");
            // The place of an empty value is the end of its line.
            let line = if format!("{text}{}", field.1).is_empty() {
                12
            } else {
                11
            };
            assert!(
                problem.starts_with(&format!("line {line}, column ")),
                "{problem}"
            );
        }
    }
    for line in [
        "link: 0",
        "link: -1",
        "link: inf",
        "link:",
        "version_within: -1ms",
    ] {
        assert!(loader(line).is_err(), "{line}");
    }
}

proptest! {
    /// No figure that a platform may write ends a process, and none is rounded to the wrong side.
    #[test]
    fn any_figure_is_taken(figure in 0.0..1e9_f64) {
        for field in DOWN {
            let taken = value(field, &figure.to_string()).expect("a figure");
            prop_assert!(taken <= figure && figure < taken + 1.0);
        }
        let window = gateway(&format!("retry_window: {figure}ms")).expect("a time").retry_window;
        prop_assert!(window.0 as f64 >= figure);
    }
}
