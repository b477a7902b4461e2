//! Measurements with regression bounds; not shipped.
//!
//! Each bench prints one line of key=value pairs a figure. With `--check` it fails where a bound
//! in `bounds.txt` is crossed.
//!
//! ```
//! use gingerpier_benches::bounds::Bounds;
//!
//! let bounds = Bounds::parse("routing.decision_ns <= 5000\n").expect("a bound");
//! assert!(bounds.check("routing", &[("decision_ns", 900.0)]).is_empty());
//! assert_eq!(bounds.check("routing", &[("decision_ns", 9000.0)]).len(), 1);
//! ```

pub mod bounds;
pub mod options;
pub mod process;
pub mod routing;
