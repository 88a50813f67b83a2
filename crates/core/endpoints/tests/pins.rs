//! Which pin applies to a request.

use rushquay_endpoints::{Nanos, Pin, Pins};

fn pin(number: u64, until: Nanos, class: Option<&str>, keys: Option<&str>) -> Pin {
    let text = |t: Option<&str>| t.map(str::to_owned);
    Pin { number, until, class: text(class), keys: text(keys) }
}

#[test]
fn the_most_specific_live_pin_applies() {
    let pins = Pins::new([
        (pin(1, 100, None, Some("boiler-*")), "prefix"),
        (pin(2, 100, Some("read"), None), "class"),
        (pin(3, 50, None, Some("boiler-7")), "key"),
        (pin(4, 100, Some("read"), Some("boiler-*")), "prefix and class"),
        (pin(5, 100, None, Some("boiler-7*")), "longer prefix"),
    ]);
    let find = |class, key, now| pins.find(class, key, now).copied();
    assert_eq!(find("read", "boiler-7", 10), Some("key"));
    assert_eq!(find("read", "boiler-7", 50), Some("longer prefix"));
    assert_eq!(find("read", "boiler-3", 10), Some("prefix and class"));
    assert_eq!(find("set", "boiler-3", 10), Some("prefix"));
    assert_eq!(find("read", "lamp", 10), Some("class"));
    assert_eq!(find("set", "lamp", 10), None);
    assert_eq!(find("read", "boiler-7", 100), None);
}

#[test]
fn among_equally_specific_pins_the_latest_applies_until_it_ends() {
    let pins = Pins::new([(pin(1, 90, None, Some("a")), "old"), (pin(2, 50, None, Some("a")), "new")]);
    assert_eq!(pins.find("read", "a", 10), Some(&"new"));
    assert_eq!(pins.find("read", "a", 60), Some(&"old"));
}
