//! The daemon's settings: flags, environment variables, and a report of all errors.

use baobabstage::settings::{FLAGS, Flags, Settings, variable};
use std::collections::BTreeMap;
use std::process::Command;
use test_case::test_case;

const REQUIRED: [(&str, &str); 3] = [
    ("BAOBAB_DOMAIN", "espoo"),
    ("BAOBAB_REGION", "fi-south"),
    ("BAOBAB_PLATFORM", "127.0.0.1:1"),
];

fn settings(flags: &[&str], variables: &[(&str, &str)]) -> Result<Settings, String> {
    let flags = flags.iter().map(Into::into).collect();
    let flags = Flags::from_args(flags).map_err(|err| err.to_string())?;
    let variables = REQUIRED.iter().chain(variables);
    let variables: BTreeMap<String, String> = variables
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect();
    Settings::new(&flags, &variables).map_err(|err| err.to_string())
}

#[test]
fn new_flag_override() {
    let variables = [("BAOBAB_NAME", "from-variable")];
    let read = settings(&[], &variables).unwrap();
    assert_eq!(read.name.as_deref(), Some("from-variable"));
    let read = settings(&["--name", "from-flag"], &variables).unwrap();
    assert_eq!(read.name.as_deref(), Some("from-flag"));
}

#[test]
fn new_every_variable() {
    for flag in FLAGS {
        let name = variable(flag);
        // No flag accepts a space, so that each fails with an error that names its variable.
        let err = match flag {
            "backend-health" => continue,
            _ => settings(&[], &[(&name, " ")]).unwrap_err(),
        };
        assert!(err.contains(&name), "{flag}: {err}");
    }
}

#[test_case("BAOBAB_COLOUR", "red", "BAOBAB_COLOUR: no such variable"; "unknown_variable")]
#[test_case("BAOBAB_PLATFORM", "localhost:1", "--platform (BAOBAB_PLATFORM)"; "host_name")]
#[test_case("BAOBAB_DOMAIN", "a b", "--domain (BAOBAB_DOMAIN)"; "bad_name")]
#[test_case("BAOBAB_PEERS", "127.0.0.1:1,x", "--peers (BAOBAB_PEERS): \"x\""; "bad_peer")]
#[test_case("BAOBAB_DRAIN_TIMEOUT_MS", "-1", "--drain-timeout-ms"; "negative")]
#[test_case("BAOBAB_MAX_CHILDREN", "0", "0 is not in 1 to 10000"; "out_of_range")]
#[test_case("BAOBAB_DISTRIBUTION", "wait", "none of direct, tree"; "unknown_choice")]
#[test_case("BAOBAB_SERVICE", "certs", "--backend (BAOBAB_BACKEND): is required"; "service_alone")]
#[test_case("BAOBAB_BACKEND", "127.0.0.1:1", "--service (BAOBAB_SERVICE): is required"; "backend_alone")]
#[test_case("BAOBAB_OPERATOR", "0.0.0.0:0", "BAOBAB_OPERATOR_TOKEN is not set"; "operator_without_token")]
#[test_case("BAOBAB_OPERATOR_TOKEN", "a b", "BAOBAB_OPERATOR_TOKEN: has characters"; "bad_token")]
#[test_case("BAOBAB_CHECK_SETTINGS", "yes", "none of true, false"; "bad_check")]
#[test_case("BAOBAB_NAME", "a\nb", "--name (BAOBAB_NAME)"; "newline")]
fn new_invalid(name: &str, value: &str, message: &str) {
    let err = settings(&[], &[(name, value)]).unwrap_err();
    assert!(err.contains(message), "{err}");
    assert_eq!(err.lines().count(), 1, "{err}");
}

#[test]
fn new_all_errors() {
    let flags = [
        "--platform",
        "x",
        "--heartbeat-ms",
        "1",
        "--distribution",
        "y",
    ];
    let err = settings(&flags, &[("BAOBAB_DOMAIN", "")]).unwrap_err();
    for flag in ["--platform", "--heartbeat-ms", "--distribution", "--domain"] {
        assert!(err.contains(flag), "{flag}: {err}");
    }
    assert_eq!(err.lines().count(), 4, "{err}");
}

/// In the distribution tree, a daemon has no proof that its version is the newest: it would refuse every
/// keyed call.
#[test_case("direct" => Ok(true); "direct")]
#[test_case("tree" => Err(1); "tree")]
fn new_fail_closed(distribution: &str) -> Result<bool, usize> {
    let variables = [
        ("BAOBAB_FAIL_CLOSED", "true"),
        ("BAOBAB_DISTRIBUTION", distribution),
    ];
    let read = settings(&[], &variables);
    read.map(|read| read.fail_closed).map_err(|err| {
        err.lines()
            .filter(|line| line.contains("--fail-closed"))
            .count()
    })
}

#[test]
fn new_operator_token() {
    let variables = [
        ("BAOBAB_OPERATOR", "0.0.0.0:0"),
        ("BAOBAB_OPERATOR_TOKEN", "secret"),
    ];
    let read = settings(&[], &variables).unwrap();
    assert_eq!(read.token.as_deref(), Some("secret"));
}

fn baobabd(arguments: &[&str], variables: &[(&str, &str)]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_baobabd"))
        .args(arguments)
        .envs(variables.iter().copied())
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

#[test]
fn check_settings_only() {
    let flags = [
        "--domain=espoo",
        "--region=fi-south",
        "--platform=127.0.0.1:1",
    ];
    let flags: Vec<&str> = flags.iter().flat_map(|flag| flag.split('=')).collect();
    let by_variable = [("BAOBAB_CHECK_SETTINGS", "true")];
    let (code, text) = baobabd(&flags, &by_variable);
    assert_eq!((code, text.as_str()), (Some(0), "settings are valid\n"));
    let (code, text) = baobabd(&["--check-settings"], &[]);
    assert_eq!(code, Some(2));
    for flag in ["--domain", "--region", "--platform"] {
        assert!(text.contains(flag), "{flag}: {text}");
    }
    let (code, text) = baobabd(&[], &[("BAOBAB_CHECK_SETTINGS", "true")]);
    assert_eq!(code, Some(2), "{text}");
}

#[test]
fn start_without_token() {
    let variables = [("BAOBAB_OPERATOR", "0.0.0.0:0")].into_iter();
    let variables: Vec<_> = variables.chain(REQUIRED).collect();
    let (code, text) = baobabd(&[], &variables);
    assert_eq!(code, Some(2));
    assert!(text.contains("event=102 name=SettingsRefused"), "{text}");
}
