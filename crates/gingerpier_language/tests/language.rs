//! The language as an operator meets it: what is read, and what an error says.

use {
    expect_test::{Expect, expect},
    gingerpier_language::{Statement, parse, statement::Subject},
};

fn check_error(text: &str, expected: Expect) {
    let error = parse(text).expect_err("the text has a mistake");
    expected.assert_eq(&error.to_string());
}

#[test]
fn commands_joined_by_semicolons_are_one_change() {
    let text = "create model plate-notes for lm; # comment\n serve plate-notes in kochi replicas 4 for students,staff";
    let Ok(Statement::Change(commands)) = parse(text) else {
        panic!("no change: {text}")
    };
    assert_eq!(commands.len(), 2);
}

#[test]
fn queries_take_filters_in_any_order() {
    let Ok(Statement::Show(query)) = parse("show loaded of plate-notes in kochi") else {
        panic!("no query")
    };
    assert_eq!(query.subject, Subject::Loaded);
    assert_eq!(
        query.filter.zone.map(|zone| zone.to_string()),
        Some("kochi".to_owned())
    );
}

#[test]
fn every_command_is_read() {
    let digest = "0f".repeat(32);
    for text in [
        format!("create version v1 of m manifest {digest} bytes 12 from \"m/v1\""),
        format!("create version v1 of a manifest {digest} bytes 12 from \"a/v1\" base v3"),
        format!("set account league key {digest} rate 200 priority 0"),
        "create adapter a on m".to_owned(),
        "roll out m to v2 steps 10,50,100 replacing".to_owned(),
        "pause m; resume m; go back m".to_owned(),
        "drain b1; undrain b1; stop b1".to_owned(),
        "delete version v1 of m; delete account league".to_owned(),
        "dry run serve m in z replicas 0".to_owned(),
        "show audit last 5".to_owned(),
    ] {
        assert!(parse(&text).is_ok(), "{text}: {:?}", parse(&text));
    }
}

#[test]
fn errors_point_at_the_column() {
    check_error(
        "roll out plate-notes v2",
        expect!["line 1, column 22: `v2` where `to` was expected"],
    );
    check_error(
        "serve m in kochi replicas many",
        expect!["line 1, column 27: `many` where a number was expected"],
    );
    check_error(
        "roll out m to v2 steps 10,300",
        expect![
            "line 1, column 27: `300` where a number (number too large to fit in target type) was expected"
        ],
    );
    check_error(
        "pause",
        expect!["line 1, column 6: the end where a name was expected"],
    );
}
