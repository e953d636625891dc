//! Consistency of the log events with their catalogue and their use.

use baobabstage::event::Event;
use std::path::Path;

#[test]
fn catalogue_matches_events() {
    let catalogue = include_str!("../docs/EVENTS.md");
    let listed: Vec<&str> = catalogue
        .lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| number"))
        .collect();
    let coded: Vec<String> = Event::ALL
        .iter()
        .map(|event| {
            let (number, level, text) = (event.number(), event.level(), event.text());
            let level = match level {
                log::Level::Error => "Error",
                log::Level::Warn => "Warn",
                log::Level::Info => "Info",
                log::Level::Debug => "Debug",
                log::Level::Trace => "Trace",
            };
            format!("| {number} | {event:?} | {level} | {text} |")
        })
        .collect();
    assert_eq!(listed, coded);
}

/// Appends the Rust sources below a directory.
fn sources(directory: &Path, text: &mut String) {
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&std::fs::read_to_string(&path).unwrap());
        }
    }
}

#[test]
fn events_all_used() {
    let mut text = String::new();
    for directory in ["src", "platform/src"] {
        let root = Path::new(env!("CARGO_MANIFEST_DIR"));
        sources(&root.join(directory), &mut text);
    }
    let text: String = text.split_whitespace().collect();
    let unused: Vec<&Event> = Event::ALL
        .iter()
        .filter(|event| {
            let ends = [",", ")"];
            !ends
                .iter()
                .any(|end| text.contains(&format!("event!({event:?}{end}")))
        })
        .collect();
    assert_eq!(unused, Vec::<&Event>::new());
}
