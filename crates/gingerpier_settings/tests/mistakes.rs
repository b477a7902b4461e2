//! What an operator is told of a settings file with several mistakes.

use {expect_test::expect, gingerpier_settings::read};

const MISTAKEN: &str = "\
role: backend
box: Kochi-1
zone: kochi
region: kerala
keys: keys
listen:
  peers: localhost:1
weights:
  origin: http://127.0.0.1:1
  chunk_memory: 64
  stall: 2
  colour: red
engines:
  - name: e1
    kind: lm
";

#[test]
fn every_mistake_is_listed_with_its_place() {
    let problems = read(MISTAKEN).expect_err("the settings have mistakes");
    expect![[r#"
        line 2, column 6: `Kochi-1`: character 1 is `K`; a name has lower-case letters, digits, `.`, `_` and `-`, and starts with a letter or digit
        line 7, column 8: `metrics` is missing: address for metrics
        line 7, column 10: `localhost:1` is no address: an IP number and a port, as in `10.0.0.4:7443`
        line 10, column 17: `64` is no size: a number and a unit (B, kB, MB, GB, KiB, MiB, GiB)
        line 11, column 10: `2` is no time: a number and a unit (ms, s, min, h)
        line 12, column 3: `colour` is not a known key here; known are: chunk_memory, fan_out, origin, receive, send, stall, window
        line 14, column 9: `url` is missing: URL of the engine"#]]
    .assert_eq(&problems.to_string());
}

#[test]
fn text_that_is_no_yaml_is_refused() {
    assert!(read("role: [").is_err());
    assert!(read("").is_err());
    assert!(read("role: entry\nrole: entry\n").is_err());
}
