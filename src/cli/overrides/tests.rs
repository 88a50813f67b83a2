use super::*;

#[test]
fn ends_are_given_as_a_span_or_a_time() {
    let now: Zoned = "2026-12-01T05:00:00+05:30[Asia/Kolkata]".parse().expect("a time");
    let of = |span: Option<&str>, until: Option<&str>| {
        let end = End { span: span.map(str::to_owned), until: until.map(str::to_owned) };
        end.at(&now).map(|n| (n / 1_000_000_000) as i64 - now.timestamp().as_second())
    };
    assert_eq!(of(Some("2h"), None), Ok(7200));
    assert_eq!(of(Some("1h 30m"), None), Ok(5400));
    assert_eq!(of(None, Some("07:30")), Ok(9000));
    // The time has passed today, so it means tomorrow.
    assert_eq!(of(None, Some("04:30")), Ok(84_600));
    assert_eq!(of(None, Some("2026-12-01T07:30:00+05:30")), Ok(9000));
    assert!(of(Some("soon"), None).expect_err("no span").contains("such as 2h"));
    assert!(of(None, Some("half past")).expect_err("no time").contains("07:30"));
}
