//! Guards against names that end a label and so make all metrics unreadable.

use gingerpier_gateway::metrics::{EngineLabels, Metrics};

#[test]
fn labels_with_special_characters_are_escaped() {
    let metrics = Metrics::default();
    let labels = EngineLabels {
        service: "a\"} 1\n\\b".into(),
        standing: "open".into(),
    };
    metrics.engines.get_or_create(&labels).set(2);
    let text = metrics.text();
    let expected = r#"{service="a\"} 1\n\\b",standing="open"} 2"#;
    let lines: Vec<&str> = text
        .lines()
        .filter(|line| line.contains("standing="))
        .collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].ends_with(expected), "{lines:?}");
}
