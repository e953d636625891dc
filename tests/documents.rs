//! Checks that the documentation matches the code.

use baobabstage::Change;
use baobabstage::event::Event;
use baobabstage::settings::{FLAGS, variable};
use std::process::Command;

const CONFIGURATION: &str = include_str!("../docs/CONFIGURATION.md");
const OPERATIONS: &str = include_str!("../docs/OPERATIONS.md");
const README: &str = include_str!("../README.md");

#[test]
fn configuration_lists_every_flag() {
    for flag in FLAGS {
        let row = format!("| `--{flag}` | `{}` |", variable(flag));
        assert_eq!(CONFIGURATION.matches(&row).count(), 1, "{row}");
    }
    let listed = CONFIGURATION.lines().filter_map(|line| {
        let flag = line.strip_prefix("| `--")?;
        Some(flag.split('`').next().unwrap_or_default())
    });
    let other = ["check-settings", "daemons", "output", "timeout-ms"];
    let unknown: Vec<&str> = listed
        .filter(|flag| !FLAGS.contains(flag) && !other.contains(flag))
        .collect();
    assert_eq!(unknown, Vec::<&str>::new());
}

/// The help lists every flag, so that a new flag cannot be missing from `FLAGS`, and from the
/// documentation, unnoticed.
#[test]
fn help_lists_every_flag() {
    let program = env!("CARGO_BIN_EXE_baobabd");
    let output = Command::new(program).arg("--help").output().unwrap();
    let help = String::from_utf8(output.stdout).unwrap();
    let shown = help.lines().filter_map(|line| {
        let flag = line.trim().strip_prefix("--")?;
        Some(flag.split(' ').next().unwrap_or_default().to_owned())
    });
    let shown: Vec<String> = shown.filter(|flag| flag != "check-settings").collect();
    assert_eq!(shown, FLAGS);
}

/// Returns the indented code blocks of a Markdown page.
fn blocks(page: &str) -> Vec<String> {
    let mut blocks = vec![String::new()];
    for line in page.lines() {
        let last = blocks.last_mut().unwrap();
        if let Some(code) = line.strip_prefix("    ") {
            last.push_str(code);
            last.push('\n');
        } else if line.is_empty() {
            last.push('\n');
        } else if !last.is_empty() {
            blocks.push(String::new());
        }
    }
    blocks
}

#[test]
fn change_files_valid() {
    for page in [README, CONFIGURATION] {
        let blocks = blocks(page);
        let mut files = blocks
            .iter()
            .filter(|block| block.trim().starts_with("id ="));
        let file = files.next().expect("a change file");
        assert_eq!(Change::from_toml(file).unwrap().id(), "add-certs");
    }
}

#[test]
fn operations_event_names() {
    let rows = OPERATIONS
        .lines()
        .filter_map(|line| line.strip_prefix("| "));
    let mut found = 0;
    for row in rows.filter(|row| row.starts_with(|c: char| c.is_ascii_digit())) {
        let events = row.split('|').next().unwrap_or_default().trim();
        for event in events.split(", ") {
            let Some((number, name)) = event.split_once(' ') else {
                continue;
            };
            let known = Event::ALL
                .iter()
                .any(|event| event.number().to_string() == number && format!("{event:?}") == name);
            assert!(known, "{event}");
            found += 1;
        }
    }
    assert!(found > 5, "{found} events");
}
