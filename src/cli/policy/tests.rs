use super::*;

#[test]
fn a_moment_is_of_today_unless_it_says_otherwise() {
    let now: Zoned = "2026-12-01T17:00:00+05:30[Asia/Kolkata]".parse().expect("a time");
    let at = |text: &str| parse_time(text, &now).map(|n| n / 1_000_000_000);
    let six = now.timestamp().as_second() as u64 - 11 * 3600 + 120;
    assert_eq!((at("06:02"), at("2026-12-01 06:02")), (Ok(six), Ok(six)));
    assert_eq!(at("2026-11-30 06:02"), Ok(six - 86_400));
    assert!(at("soon").is_err());
}
