//! Log lines: each record is one line, and a value cannot be read as another field.

use baobabstage::logging;
use baobabstage::settings::LogFormat;
use log::{LevelFilter, Log, Metadata, Record};
use serde_json::Value;
use std::sync::Mutex;
use test_case::test_case;

/// Collects the logged lines in both formats.
struct Capture;

static LINES: Mutex<Vec<(String, String)>> = Mutex::new(Vec::new());

/// Locked by the test that logs, since all tests share the logger.
static LOGGING: Mutex<()> = Mutex::new(());

impl Log for Capture {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = |format| logging::line(format, "certs-0", record.args(), record);
        let lines = (line(LogFormat::Text), line(LogFormat::Json));
        LINES.lock().unwrap().push(lines);
    }

    fn flush(&self) {}
}

fn logged(write: impl FnOnce()) -> (String, Value) {
    let _logging = LOGGING.lock().unwrap();
    // Another test may have set the logger already.
    let _ = log::set_logger(&Capture);
    log::set_max_level(LevelFilter::Debug);
    write();
    let lines = LINES.lock().unwrap().pop();
    let (text, json) = lines.unwrap();
    assert_eq!((text.lines().count(), json.lines().count()), (1, 1));
    (text, serde_json::from_str(&json).unwrap())
}

#[test_case("plain", "error=plain"; "plain")]
#[test_case("", "error=\"\""; "empty")]
#[test_case("two words", "error=\"two words\""; "space")]
#[test_case("x\nlevel=ERROR", "error=\"x\\nlevel=ERROR\""; "newline")]
#[test_case("x change=y", "error=\"x change=y\""; "other_field")]
#[test_case("say \"hi\"", "error=\"say \\\"hi\\\"\""; "quotes")]
#[test_case("a\\b", "error=\"a\\\\b\""; "backslash")]
#[test_case("\u{1b}[31m", "error=\"\\u{1b}[31m\""; "escape")]
#[test_case("\u{2028}", "error=\"\\u{2028}\""; "line_separator")]
fn line_quotes_value(value: &str, field: &str) {
    let (text, json) = logged(|| {
        baobabstage::event!(ChangeRefused, change = "one", error = value);
    });
    let fields = "daemon=certs-0 event=203 name=ChangeRefused change=one ";
    assert!(text.ends_with(&format!("{fields}{field}")), "{text}");
    assert_eq!(json["error"], value);
    assert_eq!(json["name"], "ChangeRefused");
}

#[test]
fn line_control_characters() {
    let value = "x\ny\u{1b}";
    let (text, json) = logged(|| baobabstage::event!(ChangeRefused, "error={value}"));
    assert!(text.ends_with("error=x y "), "{text}");
    assert_eq!(json["detail"], "error=x\ny\u{1b}");
}
