//! The documented examples are settings that can be used.

use std::{fs, path::Path};

#[test]
fn every_documented_example_is_right() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings");
    let mut count = 0;
    for file in fs::read_dir(folder).expect("the folder is there").flatten() {
        let text = fs::read_to_string(file.path()).expect("it can be read");
        let read = gingerpier_settings::read(&text);
        assert!(
            read.is_ok(),
            "{}: {}",
            file.path().display(),
            read.expect_err("mistakes")
        );
        count += 1;
    }
    assert_eq!(count, 7);
}
