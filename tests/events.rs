//! The catalogue of log events agrees with the code.

use baobabstage::event::Event;

#[test]
fn catalogue_agrees() {
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
